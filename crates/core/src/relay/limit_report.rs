//! What an engine reports about the requests per second that it accepts from all instances together.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::engines::Incarnation;
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

/// A report as an instance passes it on to its peers. Clocks of instances can't be compared, so it contains ages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLimitReport {
    /// Hash of the engine's id.
    pub engine: u64,
    /// Start time of the engine, as in its registration.
    pub started: Option<u64>,
    /// The limit; `None` if the engine no longer reports one.
    pub limit: Option<RequestRate>,
    /// Milliseconds since the request was sent that the engine answered.
    pub sent: u32,
    /// Milliseconds since the answer was received.
    pub received: u32,
}

impl PeerLimitReport {
    /// The message about `report`, if it is sent at `now`.
    pub fn new(now: Time, engine: Incarnation, report: LimitReport) -> PeerLimitReport {
        let millis = |micros: u128| u32::try_from(micros / 1_000).unwrap_or(u32::MAX);
        PeerLimitReport {
            engine: engine.id,
            started: engine.started,
            limit: report.limit,
            // The interval between both times may only become longer.
            sent: millis(now.since(report.sent).as_micros() + 999),
            received: millis(now.since(report.received).as_micros()),
        }
    }

    /// The incarnation of the engine.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.engine,
            started: self.started,
        }
    }

    /// The report, if the message is received at `now`.
    pub fn report(&self, now: Time) -> LimitReport {
        let before = |millis: u32| now - Duration::from_millis(u64::from(millis));
        LimitReport {
            limit: self.limit,
            sent: before(self.sent),
            received: before(self.received),
        }
    }
}
