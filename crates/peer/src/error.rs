//! Errors of messages between instances.

use thiserror::Error;

/// Reason why a message was not delivered or not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No connection was established: the peer has not received the message.
    #[error("could not connect to the peer: {0}")]
    Connect(String),
    /// The connection failed after the message was sent: the peer may have acted on it.
    #[error("the connection to the peer failed: {0}")]
    Broken(String),
    /// No response arrived in time: the peer may have acted on the message.
    #[error("the peer did not respond in time")]
    Timeout,
    /// The keyed hash doesn't match: the sender does not have the cluster key.
    #[error("the keyed hash of the message does not match")]
    Forged,
    /// The message was received before.
    #[error("the message was received before")]
    Replayed,
    /// The message could not be decoded.
    #[error("could not decode the message: {0}")]
    Malformed(String),
    /// The message exceeds the maximum length.
    #[error("message too long: {0} bytes")]
    TooLong(usize),
}

impl PeerError {
    /// Whether the peer has definitely not received the message.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, PeerError::Connect(_) | PeerError::TooLong(_))
    }
}

impl From<postcard::Error> for PeerError {
    fn from(error: postcard::Error) -> PeerError {
        PeerError::Malformed(error.to_string())
    }
}
