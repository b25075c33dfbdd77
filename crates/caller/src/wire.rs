//! Request and response bodies of the HTTP interface for callers, in OpenAI style.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

/// A message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Role of the author.
    pub role: String,
    /// Content of the message.
    #[serde(default)]
    pub content: Option<Content>,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Content {
    /// One string.
    Text(String),
    /// A list of parts.
    Parts(Vec<Part>),
}

/// Part of a message; only text is supported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Text of the part.
    pub text: String,
}

/// The prompt of a completion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Prompt {
    /// One string.
    Text(String),
    /// A list, which must contain exactly one string.
    List(Vec<String>),
}

/// Stop sequences, at which an answer would end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Stop {
    /// One sequence.
    Text(String),
    /// Several sequences.
    List(Vec<String>),
}

impl Stop {
    /// Whether there is no stop sequence.
    pub fn is_empty(&self) -> bool {
        match self {
            Stop::Text(text) => text.is_empty(),
            Stop::List(list) => list.is_empty(),
        }
    }
}

/// Options of a streamed answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether the token counts are sent in a separate event.
    #[serde(default)]
    pub include_usage: bool,
}

/// A request to generate text: `messages` for a chat, `prompt` for a completion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionBody {
    /// Name of the model or service.
    pub model: String,
    /// Messages of a chat.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// Prompt of a completion.
    #[serde(default)]
    pub prompt: Option<Prompt>,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The newer name of `max_tokens`.
    #[serde(default, rename = "max_completion_tokens")]
    pub max_completion: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default, deserialize_with = "null_as_default")]
    pub stream: bool,
    /// Sampling seed.
    #[serde(default)]
    pub seed: Option<i128>,
    /// Options of a streamed answer.
    #[serde(default, deserialize_with = "null_as_default")]
    pub stream_options: StreamOptions,
    /// Number of answers to generate; only 1 is supported.
    #[serde(default)]
    pub n: Option<u32>,
    /// Stop sequences; not supported.
    #[serde(default)]
    pub stop: Option<Stop>,
    /// Tools that the model may call; not supported.
    #[serde(default)]
    pub tools: Option<Vec<serde_json::Value>>,
}

impl CompletionBody {
    /// Maximum number of tokens to generate, from whichever of the two fields the caller used.
    pub fn limit(&self) -> Option<u32> {
        self.max_completion.or(self.max_tokens)
    }
}

/// Deserializes `null` as the default value, since common clients send it.
fn null_as_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Option::deserialize(deserializer).map(Option::unwrap_or_default)
}

/// The models that callers can use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelsBody {
    /// Always `list`.
    pub object: String,
    /// The models.
    pub data: Vec<ModelBody>,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelBody {
    /// Name of the model.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Creation time in seconds since the Unix epoch; unknown, so 0.
    pub created: u64,
    /// Owner of the model.
    pub owned_by: String,
}

impl ModelsBody {
    /// The list of the models with these names.
    pub fn of(names: Vec<String>) -> ModelsBody {
        let model = |id| ModelBody {
            id,
            object: "model".to_string(),
            created: 0,
            owned_by: "sequoiastream".to_string(),
        };
        ModelsBody {
            object: "list".to_string(),
            data: names.into_iter().map(model).collect(),
        }
    }
}

/// Token counts of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens generated.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
}

/// Response body for a request that got no complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// Details of an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Human-readable message.
    pub message: String,
    /// Error type as defined by OpenAI.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason, or the outcome if there is no reason.
    pub code: String,
    /// Always `null`; common clients expect the field.
    pub param: Option<String>,
    /// How the request ended: `not-run`, `failed` or `unknown`.
    pub outcome: String,
    /// Why the request did not run, or why it failed or its outcome is unknown, if there is a reason code.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Seconds after which the caller may retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}
