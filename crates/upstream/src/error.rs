//! Errors of calls to upstreams.

use sequoiastream_core::attempt::End;
use thiserror::Error;

/// Why an attempt at an upstream gave no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UpstreamError {
    /// No connection was made: no byte of the request left.
    #[error("could not connect to the upstream: {0}")]
    Connect(String),
    /// The upstream refused and vouches that the request did not start.
    #[error("the upstream refused the request before it started (status {0})")]
    NotStarted(u16),
    /// The engine has another version of the model than the attempt asks for, and did not start it.
    #[error("the engine has another version of the model")]
    VersionMismatch,
    /// The upstream answered with an error; it may have run the request.
    #[error("the upstream answered with status {0}")]
    Status(u16),
    /// The connection broke after the request was sent.
    #[error("the connection to the upstream broke: {0}")]
    Broken(String),
    /// No answer came in time.
    #[error("the upstream gave no answer in time")]
    Timeout,
    /// The answer could not be read.
    #[error("could not read the upstream's answer: {0}")]
    Malformed(String),
    /// The engine has seen a higher fencing token.
    #[error("the engine has seen fencing token {0}")]
    Stale(u64),
}

impl UpstreamError {
    /// What it proves of the request.
    pub fn end(&self) -> End {
        match self {
            UpstreamError::Connect(_) => End::Unsent,
            UpstreamError::NotStarted(_) | UpstreamError::VersionMismatch => End::Declined,
            UpstreamError::Status(_) | UpstreamError::Stale(_) => End::Failed,
            UpstreamError::Broken(_) | UpstreamError::Malformed(_) => End::Broken,
            UpstreamError::Timeout => End::Silent,
        }
    }

    /// Whether it is sure that the upstream did not start the request.
    pub fn is_not_started(&self) -> bool {
        self.end().proves_not_run()
    }
}
