//! Client side of a streamed answer.

use std::fmt;
use std::pin::Pin;

use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use serde_json::Value;

use crate::http;

type Body = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// A streamed answer, read incrementally by the test.
pub struct Answer {
    body: Body,
    buffer: Vec<u8>,
    /// Number of tokens read so far.
    pub tokens: usize,
    /// Text read so far.
    pub text: String,
    /// Id of the last event that had one, used to resume the stream.
    pub last_id: String,
    /// Outcome reported by the last event.
    pub outcome: Option<String>,
    /// The error that ended the answer.
    pub error: Option<Value>,
    /// Whether `[DONE]` was received.
    pub done: bool,
}

impl Answer {
    /// Sends the request and reads the status and headers of the answer.
    ///
    /// # Errors
    ///
    /// Status and body, if the answer is not streamed.
    ///
    /// # Panics
    ///
    /// If no answer is received.
    pub async fn open(url: &str, headers: &[(&str, &str)], body: &Value) -> Result<Answer, http::Reply> {
        let mut request = http::client().post(url);
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let mut answer = request
            .send_json(body)
            .await
            .unwrap_or_else(|e| panic!("POST {url}: {e}"));
        let streamed = answer
            .headers()
            .get("content-type")
            .is_some_and(|v| v == "text/event-stream");
        if !streamed {
            return Err(http::reply(&mut answer).await.expect("a body"));
        }
        Ok(Answer {
            body: Box::pin(answer),
            buffer: Vec::new(),
            tokens: 0,
            text: String::new(),
            last_id: String::new(),
            outcome: None,
            error: None,
            done: false,
        })
    }

    /// Reads until `count` tokens have been received or the answer has ended.
    pub async fn read(&mut self, count: usize) {
        while self.tokens < count && self.read_event().await {}
    }

    /// Reads to the end of the answer.
    pub async fn read_all(&mut self) {
        while self.read_event().await {}
    }

    /// Reads one event; returns `false` if there are no more.
    async fn read_event(&mut self) -> bool {
        loop {
            let end = self.buffer.windows(2).position(|w| w == b"\n\n");
            if let Some(end) = end {
                let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
                self.take(&String::from_utf8_lossy(&event));
                return true;
            }
            match self.body.next().await {
                Some(Ok(bytes)) => self.buffer.extend_from_slice(&bytes),
                Some(Err(_)) | None => return false,
            }
        }
    }

    fn take(&mut self, event: &str) {
        for line in event.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                self.last_id = id.to_string();
            }
            if let Some(data) = line.strip_prefix("data: ") {
                self.take_data(data);
            }
        }
    }

    fn take_data(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_else(|e| panic!("{e} in {data:?}"));
        let choice = &value["choices"][0];
        let text = choice["text"].as_str().or(choice["delta"]["content"].as_str());
        if let Some(text) = text.filter(|t| !t.is_empty()) {
            self.text.push_str(text);
            self.tokens += 1;
        }
        let outcome = value["outcome"].as_str().or(value["error"]["outcome"].as_str());
        self.outcome = outcome.map(str::to_string).or(self.outcome.take());
        if value["error"].is_object() {
            self.error = Some(value["error"].clone());
        }
    }
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer")
            .field("text", &self.text)
            .field("outcome", &self.outcome)
            .field("error", &self.error)
            .finish_non_exhaustive()
    }
}
