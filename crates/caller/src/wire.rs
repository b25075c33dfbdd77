//! Bodies of the callers' HTTP interface, in the style of OpenAI.

use serde::Deserialize;
use serde::Serialize;

/// A message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who wrote it.
    pub role: String,
    /// What it says.
    pub content: String,
}

/// A request to generate: `messages` for a chat, `prompt` for a completion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionBody {
    /// Model or service.
    pub model: String,
    /// Messages of a chat.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// Prompt of a completion.
    #[serde(default)]
    pub prompt: Option<String>,
    /// Most tokens to generate.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Seed of the sampling.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Counts of tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Both together.
    pub total_tokens: u32,
}

/// Why a request got no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorDetail,
}

/// What went wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// For people.
    pub message: String,
    /// How the request ended: `not-run`, `failed` or `unknown`.
    pub outcome: String,
    /// Why it did not run, if it did not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Seconds after which to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}
