//! A sum in which each amount loses half of its weight in a fixed time.

use std::time::Duration;

use crate::time::Time;

/// The sum at the time of its last update.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingSum {
    at: Time,
    value: f64,
}

impl DecayingSum {
    /// Adds an amount.
    pub fn add(&mut self, now: Time, half_life: Duration, amount: f64) {
        let value = self.value(now, half_life) + amount;
        *self = DecayingSum { at: now, value };
    }

    /// The sum, decayed to `now`.
    pub fn value(&self, now: Time, half_life: Duration) -> f64 {
        self.value * 0.5_f64.powf(now.since(self.at).as_secs_f64() / half_life.as_secs_f64())
    }

    /// The amount per second, if amounts come at a steady rate.
    pub fn rate(&self, now: Time, half_life: Duration) -> f64 {
        self.value(now, half_life) * std::f64::consts::LN_2 / half_life.as_secs_f64()
    }
}
