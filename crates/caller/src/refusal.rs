//! Refusals: the reason, the outcome, and when to retry.

use std::time::Duration;

use sequoiastream_core::outcome::Outcome;
use sequoiastream_core::outcome::Reason;

use crate::proof::NotRun;
use crate::proof::Unsent;

/// Why a request got no complete answer.
///
/// A refusal with the outcome `not-run` can be created only from a [`NotRun`], which proves it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    outcome: Outcome,
    reason: Option<Reason>,
    message: String,
    after: Option<Duration>,
}

impl Refusal {
    /// The request ran and failed permanently.
    pub fn failed(message: impl Into<String>) -> Refusal {
        Refusal {
            outcome: Outcome::Failed,
            reason: None,
            message: message.into(),
            after: None,
        }
    }

    /// The request may have run.
    pub fn unknown(message: impl Into<String>) -> Refusal {
        Refusal {
            outcome: Outcome::Unknown,
            ..Refusal::failed(message)
        }
    }

    /// Another request with the same idempotency key is running; its status can be queried after this delay.
    pub fn key_running(after: Duration) -> Refusal {
        Refusal {
            outcome: Outcome::Unknown,
            reason: Some(Reason::KeyRunning),
            message: "a request with this idempotency key is running".to_string(),
            after: Some(after),
        }
    }

    /// The request crashed engines, or is suspected of it, and must not run.
    pub fn quarantined(message: impl Into<String>) -> Refusal {
        Refusal {
            reason: Some(Reason::Quarantined),
            ..Refusal::failed(message)
        }
    }

    /// The request is invalid.
    pub(crate) fn bad_request(message: impl Into<String>) -> Refusal {
        Refusal::not_run(Unsent::begin().refuse(Reason::BadRequest), message)
    }

    /// No route matches the path of the request.
    pub(crate) fn unknown_path(message: impl Into<String>) -> Refusal {
        Refusal::not_run(Unsent::begin().refuse(Reason::UnknownService), message)
    }

    /// No upstream started the request.
    pub fn not_run(proof: NotRun, message: impl Into<String>) -> Refusal {
        Refusal {
            outcome: Outcome::NotRun,
            reason: Some(proof.reason()),
            message: message.into(),
            after: proof.retry_after(),
        }
    }

    /// How the request ended.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Why the request did not run, or why its outcome is unknown or failed, if there is a reason code.
    pub fn reason(&self) -> Option<Reason> {
        self.reason
    }

    /// Message for the caller.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Delay after which the caller may retry.
    pub fn retry_after(&self) -> Option<Duration> {
        self.after
    }

    /// The HTTP status code of the response.
    pub fn status(&self) -> u16 {
        match (self.outcome, self.reason) {
            (Outcome::NotRun, Some(reason)) => status_of(reason),
            (Outcome::Failed, Some(Reason::Quarantined)) => 422,
            (Outcome::Failed, _) => 502,
            (_, Some(Reason::KeyRunning)) => 409,
            _ => 504,
        }
    }
}

fn status_of(reason: Reason) -> u16 {
    match reason {
        Reason::BadRequest | Reason::KeyExpired => 400,
        Reason::UnknownKey => 401,
        Reason::UnknownService => 404,
        Reason::KeyRunning => 409,
        Reason::Quarantined | Reason::KeyReused => 422,
        Reason::OverShare | Reason::TooLate | Reason::RetryBudget => 429,
        Reason::NoEngine
        | Reason::PlatformOut
        | Reason::Stopping
        | Reason::Isolated
        | Reason::ClockStepped
        | Reason::UpstreamRefused => 503,
    }
}
