//! Bodies of the callers' HTTP interface, in the style of OpenAI.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

/// A message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who wrote it.
    pub role: String,
    /// What it says.
    #[serde(default)]
    pub content: Option<Content>,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Content {
    /// In one text.
    Text(String),
    /// In parts.
    Parts(Vec<Part>),
}

/// Part of a message; only text is supported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Its text.
    pub text: String,
}

/// The prompt of a completion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Prompt {
    /// One text.
    Text(String),
    /// A list, which must hold one text.
    List(Vec<String>),
}

/// Texts at which an answer would stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Stop {
    /// One text.
    Text(String),
    /// Several.
    List(Vec<String>),
}

impl Stop {
    /// Whether there is none.
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
    /// Whether the counts of tokens come in an event of their own.
    #[serde(default)]
    pub include_usage: bool,
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
    pub prompt: Option<Prompt>,
    /// Most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The same by its newer name.
    #[serde(default, rename = "max_completion_tokens")]
    pub max_completion: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default, deserialize_with = "null_as_default")]
    pub stream: bool,
    /// Seed of the sampling.
    #[serde(default)]
    pub seed: Option<i128>,
    /// Options of a streamed answer.
    #[serde(default, deserialize_with = "null_as_default")]
    pub stream_options: StreamOptions,
    /// Answers wanted; only 1 is supported.
    #[serde(default)]
    pub n: Option<u32>,
    /// Texts at which to stop; not supported.
    #[serde(default)]
    pub stop: Option<Stop>,
    /// Tools that the model may call; not supported.
    #[serde(default)]
    pub tools: Option<Vec<serde_json::Value>>,
}

impl CompletionBody {
    /// Most tokens to generate, by whichever name the caller used.
    pub fn limit(&self) -> Option<u32> {
        self.max_completion.or(self.max_tokens)
    }
}

/// Takes `null` for the default, as ordinary clients do.
fn null_as_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Option::deserialize(deserializer).map(Option::unwrap_or_default)
}

/// The models that can be named.
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
    /// Its name.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Seconds since the Unix epoch; not known, so 0.
    pub created: u64,
    /// Who offers it.
    pub owned_by: String,
}

impl ModelsBody {
    /// A list of these models.
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
    /// Kind of error, as ordinary clients know it.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason, or the outcome where there is none.
    pub code: String,
    /// Always absent; ordinary clients look for it.
    pub param: Option<String>,
    /// How the request ended: `not-run`, `failed` or `unknown`.
    pub outcome: String,
    /// Why it did not run, if it did not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Seconds after which to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}
