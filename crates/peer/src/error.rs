//! Errors of messages between instances.

use std::io::ErrorKind;

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
    /// The peer opened no tunnel: it can't reach the upstream or serves too many tunnels.
    #[error("the peer can't connect to the upstream")]
    Unreachable,
}

impl PeerError {
    /// Whether the peer has definitely not received the message or, for a tunnel, has passed nothing on.
    pub fn is_not_sent(&self) -> bool {
        matches!(
            self,
            PeerError::Connect(_) | PeerError::TooLong(_) | PeerError::Unreachable
        )
    }
}

impl From<postcard::Error> for PeerError {
    fn from(error: postcard::Error) -> PeerError {
        PeerError::Malformed(error.to_string())
    }
}

impl From<PeerError> for std::io::Error {
    fn from(error: PeerError) -> std::io::Error {
        let kind = match &error {
            PeerError::Connect(_) | PeerError::Broken(_) => ErrorKind::ConnectionReset,
            PeerError::Timeout => ErrorKind::TimedOut,
            PeerError::Unreachable => ErrorKind::HostUnreachable,
            PeerError::Forged | PeerError::Replayed | PeerError::Malformed(_) | PeerError::TooLong(_) => {
                ErrorKind::InvalidData
            }
        };
        std::io::Error::new(kind, error)
    }
}
