//! The daemon's side of this package.

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

/// A request to generate.
#[derive(Debug)]
pub struct GenerateCall {
    /// The proof that it has not run; gone once it was sent.
    pub unsent: Unsent,
    /// Names the request; the answer's events repeat it.
    pub id: Uuid,
    /// The product that asks.
    pub product: Name,
    /// Service or model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Seed of the sampling.
    pub seed: u64,
    /// What the caller has already.
    pub resume: Resume,
    /// 0 is the most urgent.
    pub priority: u8,
    /// How long the caller waits; `None` for the product's default.
    pub deadline: Option<Duration>,
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finish {
    /// `stop` or `length`.
    pub reason: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Of these, tokens found in a prefix cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub output_tokens: u32,
}

/// A token of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Its offset in the whole output.
    pub offset: u32,
    /// Its text.
    pub text: String,
    /// Version of the model that made the text up to here; `None` if several did, so that a caller can't come
    /// back for the rest.
    pub version: Option<u32>,
}

/// Part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent {
    /// A token.
    Token(Token),
    /// The answer is whole.
    Done(Finish),
    /// The answer ends here without being whole.
    Failed(Refusal),
}

/// The events of one answer. Dropping it cancels the request.
#[derive(Debug)]
pub struct Answer {
    /// The events. Bounded, so that a caller that doesn't read holds its engine back instead of filling memory.
    pub events: mpsc::Receiver<AnswerEvent>,
}

/// A call to pass through to a plain service.
#[derive(Debug)]
pub struct ForwardCall {
    /// The proof that it has not run; gone once it was sent.
    pub unsent: Unsent,
    /// The product that asks.
    pub product: Name,
    /// The service.
    pub service: String,
    /// HTTP method, upper case.
    pub method: String,
    /// Path and query, beginning with `/`.
    pub path: String,
    /// Idempotency key, if the caller gave one.
    pub idempotency_key: Option<String>,
    /// Content type, if the caller gave one.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// How long the caller waits; `None` for the product's default.
    pub deadline: Option<Duration>,
}

/// A plain service's answer.
#[derive(Debug, Clone)]
pub struct ForwardReply {
    /// HTTP status.
    pub status: u16,
    /// Content type, if it said one.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// A caller that asks which addresses to use.
#[derive(Debug)]
pub struct AddressCall {
    /// The proof that nothing of it has run.
    pub unsent: Unsent,
    /// The product that asks.
    pub product: Name,
    /// The service or model that it wants.
    pub service: Option<String>,
    /// What the caller calls its conversation.
    pub conversation: String,
    /// Availability zone of the caller; the asked instance's if absent.
    pub zone: Option<Name>,
}

/// Which addresses to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddressList {
    /// The addresses, the best first.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be kept.
    pub max_age: Duration,
}

/// Decides what requests lead to.
pub trait Gateway: Clone + 'static {
    /// The product that an API key belongs to.
    fn product(&self, key: &str) -> Option<Name>;

    /// Whether this instance takes new work.
    fn ready(&self) -> bool;

    /// How long a caller may take to send the body of a request.
    fn body_timeout(&self) -> Duration;

    /// The models and services that callers can name.
    fn models(&self) -> Vec<String>;

    /// Starts to generate.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if no answer was begun.
    fn generate(&self, call: GenerateCall) -> impl Future<Output = Result<Answer, Refusal>>;

    /// Passes a call through to a plain service.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if there is no answer of the service.
    fn forward(&self, call: ForwardCall) -> impl Future<Output = Result<ForwardReply, Refusal>>;

    /// What is known of the product's request with this idempotency key, of one service or of all.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the key is none.
    fn status(&self, call: StatusCall) -> impl Future<Output = Result<RequestState, Refusal>>;
    /// Which addresses the caller should use.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if there is no such service.
    fn addresses(&self, call: AddressCall) -> Result<AddressList, Refusal>;

    /// The metrics page.
    fn metrics(&self) -> String;
}
