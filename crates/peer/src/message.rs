//! The messages themselves.

use sequoiastream_core::config::Update;
use sequoiastream_core::config::Version;
use sequoiastream_core::membership::Beat;
use serde::Deserialize;
use serde::Serialize;

/// What goes over UDP: may get lost, come twice or out of order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Only shows that the sender runs.
    Ping,
    /// A heartbeat.
    Beat(Beat),
}

/// A question over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Only asks for an answer.
    Ping,
    /// Asks for the configuration after this version.
    Config(Version),
}

/// The answer to a question over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Answer to [`Request::Ping`].
    Pong,
    /// Answer to [`Request::Config`].
    Config(Update),
    /// The request is not served here.
    Unserved,
}
