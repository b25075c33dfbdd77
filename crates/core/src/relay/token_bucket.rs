//! Counts how many requests may be sent now at a limited rate.

use std::time::Duration;

use crate::time::Time;

/// Time for which tokens accumulate while nothing is sent. Requests come in bursts, so a rate would not be used fully
/// without it; all of the tokens may be used at once.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Maximum time for which requests sent before the rate was limited delay further ones.
const MAX_DEBT_TIME: Duration = Duration::from_secs(3);

/// Time for whose tokens calls that can't be refused, such as orders, may be sent in advance.
const ADVANCE_TIME: Duration = Duration::from_secs(1);

/// A bucket that fills at a rate, in tokens per second, that may be different at each call. A request takes one token.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TokenBucket {
    /// Negative after calls in advance, and after requests from before the rate was limited.
    tokens: f64,
    updated: Time,
}

impl TokenBucket {
    /// An empty bucket.
    pub fn empty(now: Time) -> TokenBucket {
        TokenBucket {
            tokens: 0.0,
            updated: now,
        }
    }

    /// Removes the tokens for `sent` requests of the last second, as far as they exceed `rate`: an engine that limits
    /// its requests has received too many.
    pub fn charge_excess(&mut self, now: Time, rate: f64, sent: f64) {
        self.refill(now, rate);
        let lowest = -rate * MAX_DEBT_TIME.as_secs_f64();
        self.tokens = self.tokens.min(rate - sent).max(lowest);
    }

    /// Whether a request may be sent.
    pub fn has_token(&self, now: Time, rate: f64) -> bool {
        rate > 0.0 && self.tokens(now, rate) >= 1.0
    }

    /// Time until a request may be sent, if none is sent before; `None` if it may never be.
    pub fn time_to_token(&self, now: Time, rate: f64) -> Option<Duration> {
        self.time_to(now, rate, 1.0)
    }

    /// Time until a call that can't be refused may be sent, if nothing is sent before; `None` if it may never be.
    pub fn time_to_advance(&self, now: Time, rate: f64) -> Option<Duration> {
        self.time_to(now, rate, -rate * ADVANCE_TIME.as_secs_f64())
    }

    /// Takes a token, in advance if there is none.
    pub fn take(&mut self, now: Time, rate: f64) {
        self.refill(now, rate);
        self.tokens -= 1.0;
    }

    fn time_to(&self, now: Time, rate: f64, tokens: f64) -> Option<Duration> {
        let missing = (tokens - self.tokens(now, rate)).max(0.0);
        // A rate of zero has an infinite time, which can't be represented.
        Duration::try_from_secs_f64(missing / rate).ok()
    }

    fn tokens(&self, now: Time, rate: f64) -> f64 {
        let capacity = match rate > 0.0 {
            true => (rate * BURST_TIME.as_secs_f64()).max(1.0),
            false => 0.0,
        };
        let added = rate * now.since(self.updated).as_secs_f64();
        (self.tokens + added).min(capacity)
    }

    fn refill(&mut self, now: Time, rate: f64) {
        self.tokens = self.tokens(now, rate);
        self.updated = now;
    }
}
