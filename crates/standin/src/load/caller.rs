//! A single caller: sends a job and records the response and its timing.

use std::time::Duration;
use std::time::Instant;

use awc::Client;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::json;
use uuid::Uuid;

use crate::engine::expected_text;
use crate::load::mix::Job;
use crate::load::mix::Kind;

/// How long a caller waits past its deadline to learn the outcome of its request.
const OUTCOME_GRACE: Duration = Duration::from_secs(10);

/// Maximum size of the body of a plain response or an error response, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// How a request ended, as observed by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// The complete answer arrived.
    Whole,
    /// Refused: no upstream started the request.
    NotRun,
    /// The request ran and failed.
    Failed,
    /// The request may have run, or there was no response.
    Unknown,
    /// A complete answer whose text doesn't match the request.
    Wrong,
}

/// The observed result of a call.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// How the request ended.
    pub ending: Ending,
    /// Reason given by the error response, if any.
    pub reason: Option<String>,
    /// Time from sending to the end of the response.
    pub elapsed: Duration,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Time between each token and the previous one.
    pub token_gaps: Vec<Duration>,
    /// Idempotency key of an order.
    pub key: Option<Uuid>,
}

impl CallResult {
    fn of(ending: Ending, sent: Instant) -> CallResult {
        CallResult {
            ending,
            reason: None,
            elapsed: sent.elapsed(),
            first_token: None,
            token_gaps: Vec::new(),
            key: None,
        }
    }
}

/// Destination, credentials and deadline of a call.
#[derive(Debug, Clone)]
pub struct Session {
    /// Base URL of an instance.
    pub base: String,
    /// API key.
    pub key: String,
    /// Requested model.
    pub model: String,
    /// Plain service that receives the orders.
    pub service: String,
    /// Time from sending within which the answer must be complete.
    pub deadline: Duration,
}

#[derive(Debug, Deserialize)]
struct EventBody {
    #[serde(default)]
    choices: Vec<ChoiceBody>,
    outcome: Option<String>,
    error: Option<ErrorBody>,
}

#[derive(Debug, Deserialize)]
struct ChoiceBody {
    #[serde(default)]
    text: String,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    outcome: String,
    reason: Option<String>,
}

/// Sends `job` and waits until it ends, or until 10 s past its deadline.
pub async fn call(client: &Client, session: &Session, job: &Job) -> CallResult {
    let sent = Instant::now();
    let limit = session.deadline + OUTCOME_GRACE;
    let result = match job.kind {
        Kind::Order => tokio::time::timeout(limit, order(client, session, sent)).await,
        Kind::Check | Kind::Chat => tokio::time::timeout(limit, generate(client, session, job, sent)).await,
    };
    result.unwrap_or_else(|_| CallResult::of(Ending::Unknown, sent))
}

async fn order(client: &Client, session: &Session, sent: Instant) -> CallResult {
    let key = Uuid::now_v7();
    let url = format!("{}/services/{}/orders", session.base, session.service);
    let request = client
        .post(url)
        .bearer_auth(&session.key)
        .insert_header(("idempotency-key", key.to_string()))
        .insert_header((
            "sequoiastream-deadline-ms",
            session.deadline.as_millis().to_string(),
        ));
    let mut result = match request.send_json(&json!({"boxes": 4})).await {
        Err(_) => CallResult::of(Ending::Unknown, sent),
        Ok(mut answer) => {
            let outcome = answer.headers().get("sequoiastream-outcome");
            let outcome = outcome
                .and_then(|v| v.to_str().ok())
                .unwrap_or("unknown")
                .to_string();
            let body = answer.body().limit(MAX_ANSWER_BYTES).await.unwrap_or_default();
            let mut result = CallResult::of(parse_ending(&outcome), sent);
            result.reason = reason(&body);
            result
        }
    };
    result.key = Some(key);
    result
}

fn parse_ending(outcome: &str) -> Ending {
    match outcome {
        "whole" => Ending::Whole,
        "not-run" => Ending::NotRun,
        "failed" => Ending::Failed,
        _ => Ending::Unknown,
    }
}

fn reason(body: &[u8]) -> Option<String> {
    let event: EventBody = serde_json::from_slice(body).ok()?;
    event.error?.reason
}

async fn generate(client: &Client, session: &Session, job: &Job, sent: Instant) -> CallResult {
    let body = json!({
        "model": session.model, "prompt": job.prompt, "max_tokens": job.max_tokens, "seed": job.seed, "stream": true,
    });
    let request = client
        .post(format!("{}/v1/completions", session.base))
        .bearer_auth(&session.key)
        .insert_header((
            "sequoiastream-deadline-ms",
            session.deadline.as_millis().to_string(),
        ));
    let mut answer = match request.send_json(&body).await {
        Ok(answer) => answer,
        Err(_) => return CallResult::of(Ending::Unknown, sent),
    };
    if !answer.status().is_success() {
        let body = answer.body().limit(MAX_ANSWER_BYTES).await.unwrap_or_default();
        let outcome = serde_json::from_slice::<EventBody>(&body)
            .ok()
            .and_then(|e| e.error);
        let mut result = CallResult::of(
            outcome
                .as_ref()
                .map_or(Ending::Unknown, |e| parse_ending(&e.outcome)),
            sent,
        );
        result.reason = outcome.and_then(|e| e.reason);
        return result;
    }
    let mut reader = EventReader::new(sent);
    while let Some(Ok(bytes)) = answer.next().await {
        reader.take(&bytes);
    }
    reader.finish(job)
}

/// Decodes the server-sent events of a streamed answer.
struct EventReader {
    sent: Instant,
    buffer: Vec<u8>,
    text: String,
    last: Option<Instant>,
    result: CallResult,
}

impl EventReader {
    fn new(sent: Instant) -> EventReader {
        EventReader {
            sent,
            buffer: Vec::new(),
            text: String::new(),
            last: None,
            result: CallResult::of(Ending::Unknown, sent),
        }
    }

    fn take(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            if let Some(data) = line.strip_prefix(b"data: ") {
                self.event(data);
            }
        }
    }

    fn event(&mut self, data: &[u8]) {
        let Ok(event) = serde_json::from_slice::<EventBody>(data) else {
            return;
        };
        if let Some(error) = event.error {
            self.result.ending = parse_ending(&error.outcome);
            self.result.reason = error.reason;
        } else if let Some(outcome) = event.outcome {
            self.result.ending = parse_ending(&outcome);
        } else if let Some(choice) = event.choices.first() {
            self.token(&choice.text);
        }
    }

    fn token(&mut self, text: &str) {
        let now = Instant::now();
        match self.last {
            None => self.result.first_token = Some(now - self.sent),
            Some(last) => self.result.token_gaps.push(now - last),
        }
        self.last = Some(now);
        self.text.push_str(text);
    }

    fn finish(mut self, job: &Job) -> CallResult {
        self.result.elapsed = self.sent.elapsed();
        let whole = self.result.ending == Ending::Whole;
        if whole && self.text != expected_text(job.seed, &job.prompt, 1, job.max_tokens) {
            self.result.ending = Ending::Wrong;
        }
        self.result
    }
}
