//! How much engine time a product uses, as an exponentially decaying mean over a few seconds.

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
}
