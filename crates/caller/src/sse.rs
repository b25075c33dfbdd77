//! Answers in the style of OpenAI, streamed as server-sent events or whole.

use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::gateway::Finish;
use crate::refusal::Refusal;
use crate::wire::ErrorBody;
use crate::wire::ErrorDetail;
use crate::wire::Usage;

/// Whether the answer is to a chat or to a completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// What each event of an answer repeats.
#[derive(Debug, Clone)]
pub struct Frame {
    /// Style of the answer.
    pub style: Style,
    /// The request.
    pub id: Uuid,
    /// Model or service, as the caller named it.
    pub model: String,
}

impl Frame {
    /// The event for the token at `offset`. Its id lets the caller come back behind it.
    pub fn token(&self, offset: u32, text: &str) -> Bytes {
        let choice = match self.style {
            Style::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
            Style::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        let data = self.body(choice, None);
        Bytes::from(format!("id: {}/{}\ndata: {data}\n\n", self.id, offset + 1))
    }

    /// The last events of a whole answer.
    pub fn done(&self, finish: &Finish) -> Bytes {
        let choice = match self.style {
            Style::Chat => json!({"index": 0, "delta": {}, "finish_reason": finish.reason}),
            Style::Text => json!({"index": 0, "text": "", "finish_reason": finish.reason}),
        };
        let data = self.body(choice, Some(finish));
        Bytes::from(format!("data: {data}\n\ndata: [DONE]\n\n"))
    }

    /// The last event of an answer that is not whole.
    pub fn failed(&self, refusal: &Refusal) -> Bytes {
        let body = serde_json::to_string(&error_body(refusal)).unwrap_or_default();
        Bytes::from(format!("event: error\ndata: {body}\n\n"))
    }

    /// The whole answer as one body.
    pub fn whole(&self, text: &str, finish: &Finish) -> Value {
        let choice = match self.style {
            Style::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish.reason,
            }),
            Style::Text => json!({"index": 0, "text": text, "finish_reason": finish.reason}),
        };
        let mut body = self.body(choice, Some(finish));
        body["object"] = json!(match self.style {
            Style::Chat => "chat.completion",
            Style::Text => "text_completion",
        });
        body
    }

    fn body(&self, choice: Value, finish: Option<&Finish>) -> Value {
        let mut body = json!({
            "id": self.id.to_string(),
            "object": match self.style {
                Style::Chat => "chat.completion.chunk",
                Style::Text => "text_completion",
            },
            "model": self.model,
            "choices": [choice],
        });
        if let Some(finish) = finish {
            body["usage"] = json!(Usage {
                prompt_tokens: finish.prompt,
                completion_tokens: finish.output,
                total_tokens: finish.prompt + finish.output,
            });
            body["outcome"] = json!("whole");
        }
        body
    }
}

/// The body of a refusal.
pub fn error_body(refusal: &Refusal) -> ErrorBody {
    let reason = refusal.reason().map(|r| match serde_json::to_value(r) {
        Ok(Value::String(text)) => text,
        _ => String::new(),
    });
    ErrorBody {
        error: ErrorDetail {
            message: refusal.message().to_string(),
            outcome: refusal.outcome().to_string(),
            reason,
            retry_after: refusal.after().map(|d| d.as_secs_f64().ceil() as u64),
        },
    }
}
