//! The messages themselves.

use serde::Deserialize;
use serde::Serialize;

/// What goes over UDP: may get lost, come twice or out of order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Only shows that the sender runs.
    Ping,
}

/// A question over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Only asks for an answer.
    Ping,
}

/// The answer to a question over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Answer to [`Request::Ping`].
    Pong,
}
