//! Client of sequoiastream towards engines and plain services.
//!
//! Engines and plain services are met over HTTP; `docs/design/engine-protocol.md` describes what is asked of
//! an engine. The client never repeats a request by itself and follows no redirect: whether an attempt may be
//! repeated is decided in the core.

pub mod channel;
mod engine;
mod error;
pub mod events;
mod lines;
mod plain;
pub mod wire;

pub use engine::EngineClient;
pub use engine::EngineStream;
pub use engine::Probe;
pub use error::UpstreamError;
pub use lines::LineReader;
pub use plain::PlainCall;
pub use plain::PlainClient;
pub use plain::PlainReply;
