//! Retry budgets, delays between retries, and time-outs of attempts.
//!
//! Failure guarded against: a retry storm. When engines come back after an outage, every failed request is sent again
//! in addition to the new ones, and the engines are overloaded again. A budget per product limits retries to a
//! fraction [`RETRY_RATIO`] of the new requests, whatever fails.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::name::Name;

/// Retries that each new request adds to the budget of its product.
pub const RETRY_RATIO: f64 = 0.2;

/// Maximum number of retries in a product's budget, which is also its initial value: a product with little traffic
/// must be able to retry when an engine fails.
const MAX_CREDIT: f64 = 10.0;

/// Delay before the first retry of a request; it doubles with each further retry.
const BASE_DELAY: Duration = Duration::from_millis(20);

/// Maximum delay between attempts, before jitter.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of attempts at one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// Multiple of the expected time to the first token after which an attempt is abandoned for another engine.
const TIMEOUT_FACTOR: f64 = 4.0;

/// Minimum time to wait for an attempt's first token.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The retry budgets of all products at one instance.
#[derive(Debug, Clone)]
pub struct RetryBudgets {
    credits: BTreeMap<Name, f64>,
    rng: ChaCha8Rng,
}

impl RetryBudgets {
    /// Creates the budgets, without any request recorded. `seed` determines the jitter.
    pub fn new(seed: u64) -> RetryBudgets {
        RetryBudgets {
            credits: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records a new request of `product`, which adds [`RETRY_RATIO`] to its budget.
    pub fn record_request(&mut self, product: &Name) {
        let credit = self.credits.entry(product.clone()).or_insert(MAX_CREDIT);
        *credit = (*credit + RETRY_RATIO).min(MAX_CREDIT);
    }

    /// Takes retry number `retry` (counted from 1) of a request of `product` from the budget and returns the delay
    /// before it. Returns `None` if the request may not be retried.
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

/// How long to wait for an attempt's first token, if `left` remains until the deadline and the token is expected after
/// `expected`. `attempt` counts from 0. Each attempt but the last gets at most half of the remaining time, so that
/// another attempt can follow.
pub fn first_token_timeout(left: Duration, expected: Duration, attempt: u32) -> Duration {
    match attempt + 1 < MAX_ATTEMPTS {
        true => expected.mul_f64(TIMEOUT_FACTOR).max(MIN_TIMEOUT).min(left / 2),
        false => left,
    }
}
