//! Renders answers in OpenAI style, as server-sent events or as one body.

use std::io::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use sequoiastream_core::outcome::Outcome;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::gateway::Finish;
use crate::gateway::Token;
use crate::refusal::Refusal;
use crate::wire::ErrorBody;
use crate::wire::ErrorDetail;
use crate::wire::Usage;

/// Initial capacity of the buffer for a token's event, in bytes; most events fit.
const EVENT_CAPACITY: usize = 320;

/// The endpoint whose response format is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// Format of one answer, with the fields that each of its events repeats.
#[derive(Debug, Clone)]
pub struct AnswerFormat {
    style: Style,
    id: Uuid,
    model: String,
    created: u64,
    usage: bool,
}

impl AnswerFormat {
    /// The format of the answer to request `id`; `model` is the name that the caller used.
    pub fn new(style: Style, id: Uuid, model: String) -> AnswerFormat {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        AnswerFormat {
            style,
            id,
            model,
            created: since.as_secs(),
            usage: false,
        }
    }

    /// Sets whether the token counts are sent in a separate event at the end.
    pub fn usage(mut self, usage: bool) -> AnswerFormat {
        self.usage = usage;
        self
    }

    /// The ID by which a caller resumes the request: the request ID, and the version of the model that answers.
    pub fn resume_id(&self, version: Option<u32>) -> String {
        match version {
            Some(version) => format!("{}.{version}", self.id),
            None => self.id.to_string(),
        }
    }

    /// The event of a token; `first_event` is set for the first event on a connection. The event ID lets the caller
    /// resume after this token. Serialized without an intermediate tree of JSON values, since this runs for each token.
    pub fn token(&self, token: &Token, first_event: bool) -> Bytes {
        let choice = match self.style {
            Style::Chat => TokenChoice {
                delta: Some(Delta {
                    content: &token.text,
                    role: first_event.then_some("assistant"),
                }),
                finish_reason: None,
                index: 0,
                text: None,
            },
            Style::Text => TokenChoice {
                delta: None,
                finish_reason: None,
                index: 0,
                text: Some(&token.text),
            },
        };
        let chunk = TokenChunk {
            choices: [choice],
            created: self.created,
            id: self.id,
            model: &self.model,
            object: self.object_type(),
        };
        let mut bytes = Vec::with_capacity(EVENT_CAPACITY);
        // Writing to memory can't fail, and neither can serializing these plain values.
        let _ = match token.version {
            Some(version) => write!(bytes, "id: {}.{version}/{}\ndata: ", self.id, token.offset + 1),
            None => write!(bytes, "id: {}/{}\ndata: ", self.id, token.offset + 1),
        };
        let _ = serde_json::to_writer(&mut bytes, &chunk);
        bytes.extend_from_slice(b"\n\n");
        Bytes::from(bytes)
    }

    /// The last events of a complete answer.
    pub fn done(&self, finish: &Finish) -> Bytes {
        let choice = match self.style {
            Style::Chat => json!({"index": 0, "delta": {}, "finish_reason": finish.reason}),
            Style::Text => json!({"index": 0, "text": "", "finish_reason": finish.reason}),
        };
        let mut last = self.chunk(vec![choice]);
        last["outcome"] = json!(Outcome::Whole);
        if !self.usage {
            last["usage"] = usage(finish);
            return Bytes::from(format!("data: {last}\n\ndata: [DONE]\n\n"));
        }
        let mut counts = self.chunk(Vec::new());
        counts["outcome"] = json!(Outcome::Whole);
        counts["usage"] = usage(finish);
        Bytes::from(format!("data: {last}\n\ndata: {counts}\n\ndata: [DONE]\n\n"))
    }

    /// The last event of an incomplete answer.
    pub fn failed(&self, refusal: &Refusal) -> Bytes {
        let body = serde_json::to_string(&error_body(refusal)).unwrap_or_default();
        Bytes::from(format!("event: error\ndata: {body}\n\n"))
    }

    /// The complete answer as one body.
    pub fn whole(&self, text: &str, finish: &Finish) -> Value {
        let choice = match self.style {
            Style::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish.reason,
            }),
            Style::Text => json!({"index": 0, "text": text, "finish_reason": finish.reason}),
        };
        let mut body = self.chunk(vec![choice]);
        body["object"] = json!(match self.style {
            Style::Chat => "chat.completion",
            Style::Text => "text_completion",
        });
        body["usage"] = usage(finish);
        body["outcome"] = json!(Outcome::Whole);
        body
    }

    fn chunk(&self, choices: Vec<Value>) -> Value {
        json!({
            "id": self.id.to_string(),
            "object": self.object_type(),
            "created": self.created,
            "model": self.model,
            "choices": choices,
        })
    }

    fn object_type(&self) -> &'static str {
        match self.style {
            Style::Chat => "chat.completion.chunk",
            Style::Text => "text_completion",
        }
    }
}

/// The JSON of a token's event. The fields are in alphabetical order, as in the other events.
#[derive(Debug, Serialize)]
struct TokenChunk<'a> {
    choices: [TokenChoice<'a>; 1],
    created: u64,
    id: Uuid,
    model: &'a str,
    object: &'static str,
}

#[derive(Debug, Serialize)]
struct TokenChoice<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    finish_reason: Option<&'static str>,
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct Delta<'a> {
    content: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
}

fn usage(finish: &Finish) -> Value {
    json!(Usage {
        prompt_tokens: finish.prompt_tokens,
        completion_tokens: finish.output_tokens,
        total_tokens: finish.prompt_tokens + finish.output_tokens,
    })
}

/// The response body for a refusal.
pub fn error_body(refusal: &Refusal) -> ErrorBody {
    let reason = refusal.reason().map(|r| match serde_json::to_value(r) {
        Ok(Value::String(text)) => text,
        _ => String::new(),
    });
    ErrorBody {
        error: ErrorDetail {
            message: refusal.message().to_string(),
            kind: kind(refusal).to_string(),
            code: reason.clone().unwrap_or_else(|| refusal.outcome().to_string()),
            param: None,
            outcome: refusal.outcome().to_string(),
            reason,
            retry_after: refusal.retry_after().map(|d| d.as_secs_f64().ceil() as u64),
        },
    }
}

/// The OpenAI error type, from which common clients choose the exception to raise.
fn kind(refusal: &Refusal) -> &'static str {
    match refusal.status() {
        400 | 404 | 409 | 422 => "invalid_request_error",
        401 => "authentication_error",
        429 => "rate_limit_error",
        _ => "server_error",
    }
}
