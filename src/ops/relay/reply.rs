//! Final answers that this instance gives itself.
//!
//! A status that promises that a request has not run and never will can only be made by [`Reply::refuse`], which takes
//! the record of the attempts as proof.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use actix_web::http::StatusCode;
use actix_web::http::header;
use rand::RngExt;
use sequoiastream_core::attempt::Attempts;

/// Minimum delay after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Maximum delay before a retry, as a fraction of the time left. Callers comply with delays of up to a third of it.
const MAX_RETRY_AFTER_PART: f64 = 0.3;

/// Delay after which a caller may retry at another instance.
pub(super) const RETRY_ELSEWHERE: Duration = Duration::from_millis(100);

/// Reason of a refusal: the first event would be later than the route's latency target.
pub(super) const WOULD_BE_LATE: &str = "it would be late";

/// Reason of a refusal: all engines are at their request limits.
pub(super) const AT_LIMITS: &str = "its engines are at their request limits";

/// Reasons of refusals for lack of capacity, besides that no engine can take the request.
pub(super) const CAPACITY_REASONS: [&str; 2] = [WOULD_BE_LATE, AT_LIMITS];

/// A final answer that this instance gives itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The request is invalid.
    Bad,
    /// No route matches the request.
    NoRoute,
    /// No workspace holds the key.
    Denied,
    /// The body exceeds the size limit.
    TooLong,
    /// The answer would be a stream, and the caller's version of HTTP has no framing that shows where a stream ends.
    OldVersion,
    /// The body did not arrive in time. The request did not run.
    Incomplete,
    /// The request did not run; the caller may retry after this time.
    Refused(Duration),
    /// The request did not run, and it has expired.
    Expired,
    /// The request may have run, and failed.
    Failed,
    /// The request may have run, and it has expired.
    Late,
    /// The request has crashed engines and is blocked.
    Convicted,
}

/// Why a request is refused before it is sent to an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refusal {
    pub(super) reason: &'static str,
    /// When the first event was expected, or an engine may be sent a request, if known.
    pub(super) expected: Option<Duration>,
}

impl Reply {
    /// Refuses a request that did not run, or fails one that may have run. `left` is the time until it expires.
    pub fn refuse(attempts: &Attempts, left: Duration) -> Reply {
        match (attempts.may_have_run(), left.is_zero()) {
            (true, true) => Reply::Late,
            (true, false) => Reply::Failed,
            (false, true) => Reply::Expired,
            (false, false) => Reply::Refused(retry_after(left)),
        }
    }

    /// This reply, with another time after which a refused caller may retry.
    pub fn with_delay(self, delay: Duration) -> Reply {
        match self {
            Reply::Refused(_) => Reply::Refused(delay),
            other => other,
        }
    }

    /// The value of the label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Reply::Bad => "bad",
            Reply::NoRoute => "no-route",
            Reply::Denied => "denied",
            Reply::TooLong => "too-long",
            Reply::Incomplete => "incomplete",
            Reply::OldVersion => "old-version",
            Reply::Refused(_) => "refused",
            Reply::Expired => "expired",
            Reply::Failed => "failed",
            Reply::Late => "late",
            Reply::Convicted => "convicted",
        }
    }

    /// The HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Reply::Bad => StatusCode::BAD_REQUEST,
            Reply::NoRoute => StatusCode::NOT_FOUND,
            Reply::Denied => StatusCode::UNAUTHORIZED,
            Reply::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Reply::Incomplete => StatusCode::REQUEST_TIMEOUT,
            Reply::OldVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Reply::Refused(_) | Reply::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Reply::Failed | Reply::Convicted => StatusCode::BAD_GATEWAY,
            Reply::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the HTTP response.
    pub fn into_response(self) -> HttpResponse {
        let mut builder = HttpResponseBuilder::new(self.status());
        if let Reply::Refused(delay) = self {
            builder.insert_header((header::RETRY_AFTER, format!("{:.3}", delay.as_secs_f64())));
        }
        builder.finish()
    }
}

/// Returns the maximum delay before a retry with which a caller complies that has `left` left.
pub fn max_retry_after(left: Duration) -> Duration {
    left.mul_f64(MAX_RETRY_AFTER_PART).max(MIN_RETRY_AFTER)
}

/// Returns a random delay before a retry, within the first third of the time left, so that callers that were refused
/// together don't retry together.
fn retry_after(left: Duration) -> Duration {
    let max = max_retry_after(left);
    let min = max.mul_f64(0.3).max(MIN_RETRY_AFTER);
    let spread = max.saturating_sub(min);
    min + spread.mul_f64(rand::rng().random::<f64>())
}
