//! Errors of calls to the platform.

use std::time::Duration;

use thiserror::Error;

/// Why a call to the platform gave no answer that can be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KvError {
    /// No answer within the call's deadline. A write may or may not have taken effect.
    #[error("the platform gave no answer within {0:?}")]
    Timeout(Duration),
    /// No connection was made: the call did not leave.
    #[error("could not connect to the platform: {0}")]
    Connect(String),
    /// The connection failed. A write may or may not have taken effect.
    #[error("the connection to the platform broke: {0}")]
    Connection(String),
    /// The platform answered that it can't serve the call; it did not take effect.
    #[error("the platform refused the call with status {0}")]
    Refused(u16),
    /// The answer could not be read.
    #[error("could not read the platform's answer: {0}")]
    Malformed(String),
    /// The call budget of this instance is spent; the call was not made.
    #[error("the call budget of this instance is spent")]
    Budget,
    /// The lease is not known to the platform: it has lapsed or was released.
    #[error("the lease has lapsed")]
    LeaseLapsed,
    /// It could not be found out whether the write took effect.
    #[error("could not find out whether the write took effect")]
    Unresolved,
}

impl KvError {
    /// Whether the platform gave no usable answer, as in an outage.
    pub fn is_outage(&self) -> bool {
        match self {
            KvError::Timeout(_) | KvError::Connect(_) | KvError::Connection(_) => true,
            KvError::Refused(status) => *status >= 500,
            KvError::Malformed(_) | KvError::Budget | KvError::LeaseLapsed | KvError::Unresolved => false,
        }
    }

    /// Whether a write that ended so may have taken effect.
    pub fn is_ambiguous(&self) -> bool {
        match self {
            KvError::Timeout(_) | KvError::Connection(_) | KvError::Malformed(_) | KvError::Unresolved => {
                true
            }
            KvError::Connect(_) | KvError::Refused(_) | KvError::Budget | KvError::LeaseLapsed => false,
        }
    }
}
