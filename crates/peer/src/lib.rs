//! Messages between entry instances: postcard over UDP and TCP.
//!
//! UDP carries what may get lost ([`datagram`]): heartbeats and digests. TCP carries questions that want an
//! answer ([`call`]): claims, configuration, hand-over. An instance without the cluster key can't speak to its
//! peers: each message carries a keyed hash, and a message seen before is refused ([`seal`]).

pub mod call;
pub mod datagram;
mod error;
pub mod message;
pub mod seal;

pub use error::PeerError;
