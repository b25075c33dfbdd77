//! HTTP clients for engines and plain services.
//!
//! `docs/design/engine-protocol.md` specifies the protocol that an engine must implement. The clients never retry a
//! request by themselves and follow no redirects: the core decides whether an attempt may be retried.

pub mod channel;
pub mod delivery;
mod engine;
mod error;
pub mod events;
mod joined_head;
mod limited_read;
mod lines;
pub mod patience;
mod plain;
pub mod wire;

pub use engine::EngineClient;
pub use engine::EngineStream;
pub use engine::Permit;
pub use engine::Probe;
pub use error::UpstreamError;
pub use lines::LineReader;
pub use plain::PlainCall;
pub use plain::PlainClient;
pub use plain::PlainReply;
