//! The final word on a request.
//!
//! A caller acts on the outcome: after `not-run` it may safely send a non-idempotent request again, after
//! `unknown` it must ask. A wrong `not-run` doubles an order; the proof that it takes to say `not-run` is in the
//! package `sequoiastream-caller`, which alone can make one, when a request arrives.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// How a request ended. Stands in the header `sequoiastream-outcome` and in the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The caller has the whole answer.
    Whole,
    /// No upstream started the request.
    NotRun,
    /// It ran and failed for good.
    Failed,
    /// It may have run.
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
    /// The request is malformed or lacks what it needs.
    BadRequest,
    /// The API key is not of any product.
    UnknownKey,
    /// No such service.
    UnknownService,
    /// No engine of the service can take work now.
    NoEngine,
    /// The product's share is used up and nobody lends.
    OverShare,
    /// The deadline can't be met by any engine.
    TooLate,
    /// The platform's key-value service is out of reach and the request needs it.
    PlatformOut,
    /// This instance is stopping.
    Stopping,
    /// This instance is cut off and doesn't know the configuration in force.
    Isolated,
    /// The request's fingerprint is quarantined.
    Quarantined,
    /// An upstream refused it and vouches that it did not start.
    UpstreamRefused,
    /// The retry budget of the product is spent.
    RetryBudget,
    /// A request with the same idempotency key is running.
    KeyRunning,
    /// The idempotency key lies outside the retention window.
    KeyExpired,
    /// The idempotency key was used for a request with another method, path or body.
    KeyReused,
    /// The clocks of the instances differ so much that the key's age can't be judged.
    ClockStepped,
}
