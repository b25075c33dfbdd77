//! Bodies of the engine protocol. The stand-in engine uses the same types.

use std::net::SocketAddr;

use sequoiastream_core::config::Role;
pub use sequoiastream_core::engine::Target;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// Header by which an upstream vouches that a request it refused did not start.
pub const NOT_STARTED: &str = "x-not-started";

/// Header by which an engine says which version of the model answers.
pub const MODEL_VERSION: &str = "x-model-version";

/// Header by which an engine names its incarnation: a new one with each start of its process.
pub const INCARNATION: &str = "x-engine-incarnation";

/// Status by which an engine refuses an attempt that asks for another version of the model than it has.
pub const VERSION_MISMATCH: u16 = 412;

/// Asks an engine to generate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateBody {
    /// Names this attempt; each piece of the answer repeats it.
    pub attempt: Uuid,
    /// Model to run.
    pub model: String,
    /// The whole prompt.
    pub prompt: String,
    /// Most tokens to generate, counted from offset 0.
    pub limit: u32,
    /// Seed: the same seed, prompt and model version give the same tokens.
    pub seed: u64,
    /// Offset of the first token wanted; tokens before it are known to the caller already.
    pub offset: u32,
    /// The version of the model that must answer, if it matters; an engine that has another one refuses.
    #[serde(default)]
    pub version: Option<u32>,
    /// Text of the tokens before the offset, if it is to be continued as it stands, whatever version made it.
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
    /// The attempt that it answers.
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
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Of these, tokens found in the prefix cache.
    pub cached: u32,
}

/// Asks an engine to stop an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelBody {
    /// The attempt.
    pub attempt: Uuid,
}

/// What an engine reports of itself. The report is as old as `age`.
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
    /// Whether it is away for an order that is in progress.
    pub away: bool,
    /// Highest fencing number it has seen.
    pub fence: u64,
    /// Sequence number of the last order that took effect, 0 if none.
    pub sequence: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Prompt tokens waiting to be processed.
    pub prefill: u64,
    /// Tokens held in KV cache.
    pub used: u64,
    /// Tokens that fit into KV cache.
    pub capacity: u64,
    /// Prompt tokens that it processes per second when alone.
    pub prefill_rate: u32,
    /// Tokens that it generates per second for one request when alone.
    pub decode_rate: u32,
    /// Most requests that it runs at once in role decode.
    pub slots: u32,
    /// Age of this report in milliseconds.
    pub age: u64,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fencing number of the authority that gives it.
    pub fence: u64,
    /// Sequence number within the engine, raised with each new order.
    pub sequence: u64,
    /// Names the order.
    pub id: Uuid,
    /// What the engine shall be.
    pub target: Target,
}

/// A refusal of an order with an old fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StaleBody {
    /// Highest fencing number that the engine has seen.
    pub fence: u64,
}

/// A change of an engine's prefix cache. Events come late, and numbers may be missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the engine's events.
    pub number: u64,
    /// Digest of the prompt's prefix up to and including the block.
    pub block: u64,
    /// Whether the block came in (`true`) or was evicted.
    pub stored: bool,
}
