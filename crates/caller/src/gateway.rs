//! The interface that the daemon implements, and the calls and answers that pass through it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream_core::answer::Resume;
use sequoiastream_core::name::Name;
use tokio::sync::mpsc;
use uuid::Uuid;

use crate::proof::Unsent;
use crate::refusal::Refusal;
use crate::status::RequestState;
use crate::status::StatusCall;

/// A request to generate text.
#[derive(Debug)]
pub struct GenerateCall {
    /// Proof that the request has not run; consumed when it is sent.
    pub unsent: Unsent,
    /// ID of the request; every event of the answer repeats it.
    pub id: Uuid,
    /// The product that sent the request.
    pub product: Name,
    /// Name of the service or model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Which part of the answer the caller already has.
    pub resume: Resume,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// How long the caller waits for the answer; `None` for the product's default.
    pub deadline: Option<Duration>,
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finish {
    /// `stop` or `length`.
    pub reason: String,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens found in a prefix cache.
    pub cached_tokens: u32,
    /// Number of tokens generated.
    pub output_tokens: u32,
}

/// A token of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Offset of the token in the whole output.
    pub offset: u32,
    /// Text of the token.
    pub text: String,
    /// Version of the model that generated the text up to this token; `None` if several versions did, in which case
    /// the caller can't resume the answer.
    pub version: Option<u32>,
}

/// An event of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent {
    /// A token.
    Token(Token),
    /// The answer is complete.
    Done(Finish),
    /// The answer ended before it was complete.
    Failed(Refusal),
}

/// The event stream of one answer. Dropping it cancels the request.
#[derive(Debug)]
pub struct Answer {
    /// The events. The channel is bounded, so that a caller that doesn't read slows its engine down instead of filling
    /// memory.
    pub events: mpsc::Receiver<AnswerEvent>,
}

/// A request to forward to a plain service.
#[derive(Debug)]
pub struct ForwardCall {
    /// Proof that the request has not run; consumed when it is sent.
    pub unsent: Unsent,
    /// The product that sent the request.
    pub product: Name,
    /// The service.
    pub service: String,
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Idempotency key, if the caller gave one.
    pub idempotency_key: Option<String>,
    /// Content type, if the caller gave one.
    pub content_type: Option<String>,
    /// Request body.
    pub body: Bytes,
    /// How long the caller waits for the answer; `None` for the product's default.
    pub deadline: Option<Duration>,
}

/// The response of a plain service.
#[derive(Debug, Clone)]
pub struct ForwardReply {
    /// HTTP status code.
    pub status: u16,
    /// Content type, if the service gave one.
    pub content_type: Option<String>,
    /// Response body.
    pub body: Bytes,
}

/// A query for the addresses that a caller should use.
#[derive(Debug)]
pub struct AddressCall {
    /// Proof that the query has not run.
    pub unsent: Unsent,
    /// The product that sent the request.
    pub product: Name,
    /// The service or model that the caller wants to use.
    pub service: Option<String>,
    /// The caller's own ID of its conversation.
    pub conversation: String,
    /// Availability zone of the caller; defaults to that of the instance that answers.
    pub zone: Option<Name>,
}

/// The addresses that a caller should use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressList {
    /// The addresses, best first.
    pub addresses: Vec<SocketAddr>,
    /// How long the list may be cached.
    pub max_age: Duration,
}

/// Handles the requests of callers; implemented by the daemon.
pub trait Gateway: Clone + 'static {
    /// The product to which an API key belongs.
    fn product(&self, key: &str) -> Option<Name>;

    /// Whether this instance accepts new work.
    fn ready(&self) -> bool;

    /// How long a caller may take to send the body of a request.
    fn body_timeout(&self) -> Duration;

    /// Names of the models and services that callers can use.
    fn models(&self) -> Vec<String>;

    /// Starts to generate an answer.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if no answer was started.
    fn generate(&self, call: GenerateCall) -> impl Future<Output = Result<Answer, Refusal>>;

    /// Forwards a request to a plain service.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the service gave no response.
    fn forward(&self, call: ForwardCall) -> impl Future<Output = Result<ForwardReply, Refusal>>;

    /// Looks up the state of the product's request with this idempotency key, in one service or in all of them.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the text is not a valid idempotency key.
    fn status(&self, call: StatusCall) -> impl Future<Output = Result<RequestState, Refusal>>;

    /// Lists the addresses that the caller should use.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if there is no such service.
    fn addresses(&self, call: AddressCall) -> Result<AddressList, Refusal>;

    /// The metrics in OpenMetrics text format.
    fn metrics(&self) -> String;
}
