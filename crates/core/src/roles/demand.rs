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
pub struct Mean {
    memory: f64,
    rate: Demand,
    weight: f64,
    at: Time,
}

impl Mean {
    /// A mean that forgets with the time constant `memory`.
    pub fn new(memory: Duration) -> Mean {
        Mean {
            memory: memory.as_secs_f64(),
            rate: Demand::default(),
            weight: 0.0,
            at: Time::ZERO,
        }
    }

    /// Adds the work asked for since the last call.
    pub fn add(&mut self, now: Time, work: Demand) {
        let keep = (-now.since(self.at).as_secs_f64() / self.memory).exp();
        self.rate = self.rate.scaled(keep);
        self.rate
            .add(work.prefill / self.memory, work.decode / self.memory);
        self.weight = self.weight * keep + (1.0 - keep);
        self.at = now;
    }

    /// Tokens a second; corrected for the time before the first call.
    pub fn rate(&self) -> Demand {
        self.rate.scaled(1.0 / self.weight.max(0.2))
    }
}
