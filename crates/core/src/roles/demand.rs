//! Demand on a service, and its moving average.

use std::time::Duration;

use crate::time::Time;

/// Demand in tokens, or in tokens per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Prompt tokens that are not cached.
    pub prefill: f64,
    /// Output tokens.
    pub decode: f64,
}

impl Demand {
    /// The demand multiplied by `factor`.
    pub fn scaled(self, factor: f64) -> Demand {
        Demand {
            prefill: self.prefill * factor,
            decode: self.decode * factor,
        }
    }

    /// Adds demand, in tokens.
    pub fn add(&mut self, prefill: f64, decode: f64) {
        self.prefill += prefill;
        self.decode += decode;
    }
}

/// Exponentially weighted moving average of the demand, in tokens per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MovingAverage {
    time_constant: f64,
    rate: Demand,
    weight: f64,
    updated_at: Time,
}

impl MovingAverage {
    /// An average whose older values decay with `time_constant`.
    pub fn new(time_constant: Duration) -> MovingAverage {
        MovingAverage {
            time_constant: time_constant.as_secs_f64(),
            rate: Demand::default(),
            weight: 0.0,
            updated_at: Time::ZERO,
        }
    }

    /// Adds the demand since the last call, in tokens.
    pub fn add(&mut self, now: Time, work: Demand) {
        let decay = (-now.since(self.updated_at).as_secs_f64() / self.time_constant).exp();
        self.rate = self.rate.scaled(decay);
        self.rate.add(
            work.prefill / self.time_constant,
            work.decode / self.time_constant,
        );
        self.weight = self.weight * decay + (1.0 - decay);
        self.updated_at = now;
    }

    /// Tokens per second, corrected for the time before the first call.
    pub fn rate(&self) -> Demand {
        self.rate.scaled(1.0 / self.weight.max(0.2))
    }
}
