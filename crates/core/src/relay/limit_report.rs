//! What an engine reports about the requests per second that it accepts from all instances together.

use serde::Deserialize;
use serde::Serialize;

use crate::time::Time;

/// Parts of a request per second in which rates are counted.
const THOUSANDTHS: f64 = 1_000.0;

/// A number of requests per second, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct RequestRate(u32);

impl RequestRate {
    /// The rate `rate`, rounded down. A rate that is too high to be represented becomes the highest one; `None` if
    /// `rate` is negative or not a finite number.
    pub fn per_second(rate: f64) -> Option<RequestRate> {
        // The conversion saturates.
        (rate.is_finite() && rate >= 0.0).then_some(RequestRate((rate * THOUSANDTHS) as u32))
    }

    /// The number of requests per second.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / THOUSANDTHS
    }
}

/// The limit that an engine reported in an answer. The engine reported it between the two times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReport {
    /// The limit; `None` if the engine reported none.
    pub limit: Option<RequestRate>,
    /// When the request was sent that the engine answered.
    pub sent: Time,
    /// When the answer was received.
    pub received: Time,
}

impl LimitReport {
    /// Whether this report applies instead of `other`. Answers may overtake each other: if it is not certain which one
    /// the engine sent last, the stricter one applies.
    pub fn supersedes(&self, other: &LimitReport) -> bool {
        let (is_later, is_earlier) = (self.sent >= other.received, self.received <= other.sent);
        let is_stricter = match (self.limit, other.limit) {
            (Some(limit), Some(other)) => limit < other,
            (Some(_), None) => true,
            (None, _) => false,
        };
        is_later || (is_stricter && !is_earlier)
    }

    /// This report with the times of `other`, which reports the same limit, where they are later.
    pub fn confirmed_by(self, other: &LimitReport) -> LimitReport {
        LimitReport {
            limit: self.limit,
            sent: self.sent.max(other.sent),
            received: self.received.max(other.received),
        }
    }
}
