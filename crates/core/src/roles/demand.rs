//! What is asked of a service, forecast at two speeds.

use std::time::Duration;

use crate::time::Time;

/// Work asked for: tokens, or tokens a second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Prompt tokens that are not cached.
    pub prefill: f64,
    /// Output tokens.
    pub decode: f64,
}

impl Demand {
    /// The demand times `factor`.
    pub fn scaled(self, factor: f64) -> Demand {
        Demand {
            prefill: self.prefill * factor,
            decode: self.decode * factor,
        }
    }

    /// Adds more work.
    pub fn add(&mut self, prefill: f64, decode: f64) {
        self.prefill += prefill;
        self.decode += decode;
    }
}

/// A moving average of tokens a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MovingAverage {
    time_constant: f64,
    rate: Demand,
    weight: f64,
    updated_at: Time,
}

impl MovingAverage {
    /// A mean that forgets with the time constant `memory`.
    pub fn new(time_constant: Duration) -> MovingAverage {
        MovingAverage {
            time_constant: time_constant.as_secs_f64(),
            rate: Demand::default(),
            weight: 0.0,
            updated_at: Time::ZERO,
        }
    }

    /// Adds the work asked for since the last call.
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

    /// Tokens a second; corrected for the time before the first call.
    pub fn rate(&self) -> Demand {
        self.rate.scaled(1.0 / self.weight.max(0.2))
    }
}
