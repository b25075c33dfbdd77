//! How much engine time a product uses, as a mean that forgets within seconds.

use std::time::Duration;

use crate::time::Time;

/// Time constant of the mean: unused share is lent, and lent share taken back, about this fast.
pub const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Engine seconds used per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Usage {
    rate: f64,
    at: Time,
}

impl Usage {
    /// The rate now.
    pub fn rate(&self, now: Time) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// What the rate would be with `cost` engine seconds more.
    pub fn with(&self, now: Time, cost: f64) -> f64 {
        self.rate(now) + cost / TIME_CONSTANT.as_secs_f64()
    }

    /// Adds `cost` engine seconds.
    pub fn add(&mut self, now: Time, cost: f64) {
        self.rate = self.with(now, cost);
        self.at = now;
    }
}
