//! Messages between entry instances: postcard over UDP and TCP.
//!
//! UDP carries messages that may get lost ([`datagram`]): heartbeats and digests. TCP carries requests that need a
//! response ([`call`]): claims, configuration, hand-over. An instance without the cluster key can't communicate with
//! its peers: each message carries a keyed hash, and replayed messages are rejected ([`seal`]). An instance that can't
//! reach an engine connects to it through a peer ([`tunnel`]).

pub mod call;
mod channel;
pub mod datagram;
mod error;
pub mod message;
pub mod responder;
pub mod seal;
mod serve;
pub mod tunnel;

pub use error::PeerError;
pub use serve::serve;
