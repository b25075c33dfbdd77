//! Errors of messages between instances.

use thiserror::Error;

/// Why a message did not get through or was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No connection was made: the peer has not seen the message.
    #[error("could not connect to the peer: {0}")]
    Connect(String),
    /// The connection broke after the message was sent: the peer may have acted on it.
    #[error("the connection to the peer broke: {0}")]
    Broken(String),
    /// No answer came in time: the peer may have acted on the message.
    #[error("the peer gave no answer in time")]
    Timeout,
    /// The keyed hash doesn't fit: the sender lacks the cluster key.
    #[error("the message's keyed hash doesn't fit")]
    Forged,
    /// The message was seen before.
    #[error("the message was seen before")]
    Replayed,
    /// The message can't be read.
    #[error("could not read the message: {0}")]
    Malformed(String),
    /// The message is larger than what may be sent.
    #[error("the message has {0} bytes, too many")]
    TooLong(usize),
}

impl PeerError {
    /// Whether it is sure that the peer has not seen the message.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, PeerError::Connect(_) | PeerError::TooLong(_))
    }
}

impl From<postcard::Error> for PeerError {
    fn from(error: postcard::Error) -> PeerError {
        PeerError::Malformed(error.to_string())
    }
}
