//! Errors of platform calls.

use std::time::Duration;

use thiserror::Error;

/// Reason why a call to the platform returned no usable response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KvError {
    /// No response within the deadline of the call. A write may or may not have taken effect.
    #[error("the platform did not respond within {0:?}")]
    Timeout(Duration),
    /// No connection was established; the request was not sent.
    #[error("could not connect to the platform: {0}")]
    Connect(String),
    /// The connection failed. A write may or may not have taken effect.
    #[error("the connection to the platform failed: {0}")]
    Connection(String),
    /// The platform refused the call; it did not take effect.
    #[error("the platform refused the call with status {0}")]
    Refused(u16),
    /// The response could not be decoded.
    #[error("could not decode the platform's response: {0}")]
    Malformed(String),
    /// The call budget of this instance is exhausted; the call was not made.
    #[error("the call budget of this instance is exhausted")]
    Budget,
    /// The platform does not know the lease: it has expired or was released.
    #[error("the lease has expired")]
    LeaseLapsed,
    /// It could not be determined whether the write took effect.
    #[error("could not determine whether the write took effect")]
    Unresolved,
}

impl KvError {
    /// Whether the error indicates an outage of the platform.
    pub fn is_outage(&self) -> bool {
        match self {
            KvError::Timeout(_) | KvError::Connect(_) | KvError::Connection(_) => true,
            KvError::Refused(status) => *status >= 500,
            KvError::Malformed(_) | KvError::Budget | KvError::LeaseLapsed | KvError::Unresolved => false,
        }
    }

    /// Whether a write that failed with this error may have taken effect.
    pub fn is_ambiguous(&self) -> bool {
        match self {
            KvError::Timeout(_) | KvError::Connection(_) | KvError::Malformed(_) | KvError::Unresolved => {
                true
            }
            KvError::Connect(_) | KvError::Refused(_) | KvError::Budget | KvError::LeaseLapsed => false,
        }
    }
}
