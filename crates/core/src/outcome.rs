//! The final word on a request.
//!
//! A caller acts on the outcome: after `not-run` it may safely send a non-idempotent request again, after
//! `unknown` it must ask. A wrong `not-run` doubles an order. [`NotRun`] therefore has no public constructor
//! of its own: it is made from a proof that nothing was sent.

use std::fmt;
use std::time::Duration;

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

/// An attempt of which no byte has left this instance.
///
/// Neither `Clone` nor `Copy`: sending consumes it, so that after a send nothing is left to make a
/// [`NotRun`] from.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// Begins an attempt. Each attempt begins exactly one.
    pub fn begin() -> Unsent {
        Unsent(())
    }

    /// Gives the attempt up before its first byte left.
    pub fn refuse(self, reason: Reason) -> NotRun {
        NotRun { reason, after: None }
    }

    /// Marks the first byte as sent. From here on only the upstream can vouch that nothing ran.
    pub fn send(self) -> Sent {
        Sent(())
    }
}

/// An attempt of which at least one byte may have reached an upstream.
#[derive(Debug)]
pub struct Sent(());

impl Sent {
    /// The upstream answered with a refusal by which it vouches that the request did not start.
    pub fn vouched(self) -> NotRun {
        NotRun {
            reason: Reason::UpstreamRefused,
            after: None,
        }
    }
}

/// A refusal that vouches that no upstream started the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    reason: Reason,
    after: Option<Duration>,
}

impl NotRun {
    /// Why it was refused.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// When it makes sense to come back, if it does.
    pub fn after(&self) -> Option<Duration> {
        self.after
    }

    /// Sets when to come back.
    pub fn come_back(mut self, after: Duration) -> NotRun {
        self.after = Some(after);
        self
    }
}
