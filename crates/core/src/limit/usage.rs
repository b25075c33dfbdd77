//! How much engine time a product or a workspace uses, as an exponentially decaying mean over a few seconds.

use std::time::Duration;

use crate::time::Time;

/// Time constant of the mean. Unused share is lent to other products, and taken back from them, about this fast.
pub const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Engine seconds used per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Usage {
    rate: f64,
    at: Time,
}

impl Usage {
    /// Returns the rate at `now`.
    pub fn rate(&self, now: Time) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the rate with `cost` engine seconds added.
    pub fn with(&self, now: Time, cost: f64) -> f64 {
        self.rate(now) + cost / TIME_CONSTANT.as_secs_f64()
    }

    /// Adds `cost` engine seconds.
    pub fn add(&mut self, now: Time, cost: f64) {
        self.rate = self.with(now, cost);
        self.at = now;
    }

    /// Removes `cost` engine seconds that were added at `added`, as far as they are still contained in the rate.
    pub fn remove(&mut self, now: Time, cost: f64, added: Time) {
        let mut removed = Usage::default();
        removed.add(added, cost);
        self.rate = (self.rate(now) - removed.rate(now)).max(0.0);
        self.at = now;
    }
}

/// Returns the seconds in which an unused `rate` falls to `target`; zero if it is not higher.
pub fn decay_seconds(rate: f64, target: f64) -> f64 {
    let over = rate / target.max(f64::MIN_POSITIVE);
    TIME_CONSTANT.as_secs_f64() * over.max(1.0).ln()
}
