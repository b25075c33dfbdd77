//! Whether a request may be tried again, when, and for how long.
//!
//! Failure guarded against: a retry storm. When engines come back after an outage, every request that failed is
//! sent again beside the fresh ones; the engines fall over once more. A budget per product bounds what upstreams
//! see to [`RATIO`] above the fresh traffic, whatever fails.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::name::Name;

/// Retries that each fresh request earns.
pub const RETRY_RATIO: f64 = 0.2;

/// Retries that a product can have saved up, and has before its first request: one with little traffic must get
/// over an engine that fails.
const MAX_CREDIT: f64 = 10.0;

/// Pause before the first retry of a request; doubles with each.
const BASE_DELAY: Duration = Duration::from_millis(20);

/// Longest pause.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Attempts at one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// Times the expected time to the first token after which an attempt is given up for another engine.
const TIMEOUT_FACTOR: f64 = 4.0;

/// Least time for which an attempt's first token is waited for.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry budgets of all products at one instance.
#[derive(Debug, Clone)]
pub struct RetryBudgets {
    credits: BTreeMap<Name, f64>,
    rng: ChaCha8Rng,
}

impl RetryBudgets {
    /// Budgets before any request. `seed` draws the jitter.
    pub fn new(seed: u64) -> RetryBudgets {
        RetryBudgets {
            credits: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Counts a fresh request of `product`.
    pub fn record_request(&mut self, product: &Name) {
        let credit = self.credits.entry(product.clone()).or_insert(MAX_CREDIT);
        *credit = (*credit + RETRY_RATIO).min(MAX_CREDIT);
    }

    /// Asks for retry number `retry` (from 1) of a request of `product`; takes it from the budget and returns
    /// the pause before it. `None` if it may not be tried again.
    pub fn take_retry(&mut self, product: &Name, retry: u32) -> Option<Duration> {
        if retry >= MAX_ATTEMPTS {
            return None;
        }
        let credit = self.credits.entry(product.clone()).or_insert(MAX_CREDIT);
        if *credit < 1.0 {
            return None;
        }
        *credit -= 1.0;
        let delay = BASE_DELAY.saturating_mul(1 << (retry - 1).min(10)).min(MAX_DELAY);
        Some(delay.mul_f64(0.5 + self.rng.random::<f64>()))
    }
}

/// How long an attempt's first token is waited for, with `left` to the deadline and `expected` estimated: each
/// attempt gets at most half of what is left, so that one more fits behind it.
pub fn first_token_timeout(left: Duration, expected: Duration, attempt: u32) -> Duration {
    match attempt + 1 < MAX_ATTEMPTS {
        true => expected.mul_f64(TIMEOUT_FACTOR).max(MIN_TIMEOUT).min(left / 2),
        false => left,
    }
}
