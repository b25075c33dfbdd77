//! The outcome of a request, and the reasons for refusing one.
//!
//! Callers act on the outcome: after `not-run` a caller may safely send a non-idempotent request again, after
//! `unknown` it must ask for the status. A wrong `not-run` can make an order run twice. Reporting `not-run` therefore
//! takes a proof value, which only the package `sequoiastream-caller` can create, when a request arrives.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// How a request ended. Sent in the header `sequoiastream-outcome` and in the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The caller has received the complete answer.
    Whole,
    /// No upstream started the request.
    NotRun,
    /// The request ran and failed permanently.
    Failed,
    /// The request may have run.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Whole => "whole",
            Outcome::NotRun => "not-run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        })
    }
}

/// Why a request was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed or lacks required data.
    BadRequest,
    /// The API key belongs to no product.
    UnknownKey,
    /// There is no such service.
    UnknownService,
    /// No engine of the service can accept work now.
    NoEngine,
    /// The product's share is used up and no other product lends capacity.
    OverShare,
    /// No engine can meet the deadline.
    TooLate,
    /// The request needs the platform's key-value service, which is unreachable.
    PlatformOut,
    /// This instance is stopping.
    Stopping,
    /// This instance is isolated and doesn't know the configuration in force.
    Isolated,
    /// The request's fingerprint is quarantined.
    Quarantined,
    /// An upstream refused the request and guarantees that it did not start.
    UpstreamRefused,
    /// The product's retry budget is used up.
    RetryBudget,
    /// A request with the same idempotency key is running.
    KeyRunning,
    /// The idempotency key lies outside the retention window.
    KeyExpired,
    /// The idempotency key was used for a request with another method, path or body.
    KeyReused,
    /// The instances' clocks differ too much to determine the age of the idempotency key.
    ClockStepped,
}
