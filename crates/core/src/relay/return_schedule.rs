//! Tells refused callers when to return to a service whose engines limit their requests.
//!
//! Guards against callers that return before an engine may get their requests, or all at the same time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;

/// The limits of a service's engines at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LimitedService {
    /// Requests per second that this instance may send to all of them together.
    pub rate: f64,
    /// Time until one of them may be sent a request; `None` if this instance may send none to any of them.
    pub wait: Option<Duration>,
}

impl LimitedService {
    /// Adds an engine to which this instance may send `rate` requests per second, the next one after `wait`.
    pub fn with(self, rate: f64, wait: Option<Duration>) -> LimitedService {
        LimitedService {
            rate: self.rate + rate,
            wait: self.wait.into_iter().chain(wait).min(),
        }
    }
}

/// The time at which the last refused caller of each service was told to return.
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule(BTreeMap<String, Time>);

impl ReturnSchedule {
    /// A schedule without any callers.
    pub fn new() -> ReturnSchedule {
        ReturnSchedule::default()
    }

    /// The delay after which the next refused caller of a service is to return: one after the other, at the rate of the
    /// engines. `None` if that is more than `max`, or this instance may send the engines no requests.
    pub fn next_delay(
        &mut self,
        now: Time,
        service: &str,
        limited: LimitedService,
        max: Duration,
    ) -> Option<Duration> {
        let first = now + limited.wait?;
        let interval = Duration::try_from_secs_f64(limited.rate.recip()).ok()?;
        let last = self.0.get(service);
        let due = last.map_or(first, |last| first.max(*last + interval));
        let delay = due.since(now);
        if delay > max {
            return None;
        }
        self.0.insert(service.to_string(), due);
        Some(delay)
    }
}
