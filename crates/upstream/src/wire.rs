//! Headers and message bodies of the engine protocol, shared with the stand-in engine.

use std::net::SocketAddr;

use sequoiastream_core::config::Role;
pub use sequoiastream_core::engine::Target;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// Response header by which an upstream guarantees that a request it refused did not start.
pub const NOT_STARTED: &str = "x-not-started";

/// Header with the id of an attempt, in a request and in an upstream's guarantee that it did not start.
pub const ATTEMPT: &str = "x-attempt";

/// Response header with the version of the model that answers.
pub const MODEL_VERSION: &str = "x-model-version";

/// Response header with the engine's incarnation, which is new with each start of its process.
pub const INCARNATION: &str = "x-engine-incarnation";

/// Status by which an engine refuses an attempt that requires a different model version than it has loaded.
pub const VERSION_MISMATCH: u16 = 412;

/// Statuses with which an upstream may refuse a request that it did not start.
pub const REFUSING: [u16; 5] = [400, VERSION_MISMATCH, 421, 429, 503];

/// Request to generate tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateBody {
    /// Id of this attempt; each piece of the answer repeats it.
    pub attempt: Uuid,
    /// Model to run.
    pub model: String,
    /// The complete prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate, counted from offset 0.
    pub limit: u32,
    /// Seed: the same seed, prompt and model version give the same tokens.
    pub seed: u64,
    /// Offset of the first token to send; the caller already has the tokens before it.
    pub offset: u32,
    /// The model version that must answer, if required; an engine with a different version refuses.
    #[serde(default)]
    pub version: Option<u32>,
    /// Text of the tokens before the offset, if the engine must continue it unchanged, whichever version generated it.
    #[serde(default)]
    pub prefix: Option<String>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Engine to fetch the prompt's KV cache from instead of processing the prompt again.
    pub import: Option<SocketAddr>,
}

/// One line of an engine's streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceBody {
    /// Id of the attempt that it answers.
    pub attempt: Uuid,
    /// Offset of the token in the whole output.
    pub offset: u32,
    /// The token's text; empty on the last line.
    pub text: String,
    /// Set on the last line, which carries no token.
    pub finish: Option<FinishBody>,
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishBody {
    /// `stop` or `length`.
    pub reason: String,
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Number of these that were found in the prefix cache.
    pub cached: u32,
}

/// Request to stop an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelBody {
    /// Id of the attempt.
    pub attempt: Uuid,
}

/// An engine's load report, taken `age` milliseconds ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadBody {
    /// The role it has.
    pub role: Role,
    /// The model it has loaded.
    pub model: String,
    /// The adapter it has loaded.
    pub adapter: Option<String>,
    /// Version of the model that it has loaded.
    pub version: u32,
    /// Whether it is unavailable while an order is in progress.
    pub away: bool,
    /// Highest fencing token it has seen.
    pub fence: u64,
    /// Sequence number of the last order that took effect, 0 if none.
    pub sequence: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of prompt tokens waiting to be processed.
    pub prefill: u64,
    /// Number of tokens in the KV cache.
    pub used: u64,
    /// Capacity of the KV cache, in tokens.
    pub capacity: u64,
    /// Prompt tokens that it processes per second when alone.
    pub prefill_rate: u32,
    /// Tokens that it generates per second for one request when alone.
    pub decode_rate: u32,
    /// Maximum number of requests that it runs concurrently in the decode role.
    pub slots: u32,
    /// Age of this report in milliseconds.
    pub age: u64,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fencing token of the authority that sends it.
    pub fence: u64,
    /// Sequence number within the engine, raised with each new order.
    pub sequence: u64,
    /// Id of the order.
    pub id: Uuid,
    /// The state that the engine must reach.
    pub target: Target,
}

/// A refusal of an order with an old fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StaleBody {
    /// Highest fencing token that the engine has seen.
    pub fence: u64,
}

/// A change of an engine's prefix cache. Events are delayed, and numbers may be missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event at this engine.
    pub number: u64,
    /// Digest of the prompt's prefix up to and including the block.
    pub block: u64,
    /// Whether the block was stored (`true`) or evicted.
    pub stored: bool,
}
