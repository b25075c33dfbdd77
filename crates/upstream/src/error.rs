//! Errors of calls to upstreams.

use sequoiastream_core::attempt::End;
use thiserror::Error;

use crate::channel::ChannelError;

/// Why an attempt at an upstream returned no complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UpstreamError {
    /// The connection could not be established: no byte of the request was sent.
    #[error("could not connect to the upstream: {0}")]
    Connect(String),
    /// The upstream refused the request and guarantees that it did not start.
    #[error("the upstream refused the request before it started (status {0})")]
    NotStarted(u16),
    /// The engine has loaded a different model version than the attempt requires, and did not start the attempt.
    #[error("the engine has another version of the model")]
    VersionMismatch,
    /// The upstream answered with an error; it may have run the request.
    #[error("the upstream answered with status {0}")]
    Status(u16),
    /// The connection broke after the request was sent.
    #[error("the connection to the upstream broke: {0}")]
    Broken(String),
    /// No answer arrived before the timeout.
    #[error("the upstream gave no answer in time")]
    Timeout,
    /// The answer could not be parsed.
    #[error("could not read the upstream's answer: {0}")]
    Malformed(String),
    /// The engine has seen a higher fencing token.
    #[error("the engine has seen fencing token {0}")]
    Stale(u64),
}

impl From<ChannelError> for UpstreamError {
    fn from(error: ChannelError) -> UpstreamError {
        match error {
            ChannelError::Unsent(_) | ChannelError::Refused(_) => UpstreamError::Connect(error.to_string()),
            ChannelError::Broken(_) => UpstreamError::Broken(error.to_string()),
            ChannelError::Timeout => UpstreamError::Timeout,
            ChannelError::TooLong(_) => UpstreamError::Malformed(error.to_string()),
        }
    }
}

impl UpstreamError {
    /// How the attempt ended, which determines whether the request may have run.
    pub fn end(&self) -> End {
        match self {
            UpstreamError::Connect(_) => End::Unsent,
            UpstreamError::NotStarted(_) | UpstreamError::VersionMismatch => End::Declined,
            UpstreamError::Status(_) | UpstreamError::Stale(_) => End::Failed,
            UpstreamError::Broken(_) | UpstreamError::Malformed(_) => End::Broken,
            UpstreamError::Timeout => End::Silent,
        }
    }

    /// Whether the upstream certainly did not start the request.
    pub fn is_not_started(&self) -> bool {
        self.end().proves_not_run()
    }
}
