//! Call budget and call counts of an instance. Both are needed because the platform counts every call, and its rate
//! limits grow more slowly than the fleet.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use crate::error::KvError;

/// Default number of calls per second that an instance may make.
pub const DEFAULT_RATE: u32 = 100;

/// Initial upper bound of the random delay before a call while calls fail; doubled with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);

/// Maximum upper bound of that delay.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Kinds of calls, as the platform counts them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Reading a key.
    Read,
    /// Writing a key.
    Write,
    /// Waiting for a key to change; counts as one call however long it waits.
    Watch,
    /// Granting, renewing or releasing a lease.
    Lease,
    /// Listing machines.
    List,
    /// Reading from the weight store.
    Weights,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [CallKind; 6] = [
        CallKind::Read,
        CallKind::Write,
        CallKind::Watch,
        CallKind::Lease,
        CallKind::List,
        CallKind::Weights,
    ];

    /// Value of the metrics label for this kind.
    pub fn label(self) -> &'static str {
        match self {
            CallKind::Read => "read",
            CallKind::Write => "write",
            CallKind::Watch => "watch",
            CallKind::Lease => "lease",
            CallKind::List => "list",
            CallKind::Weights => "weights",
        }
    }
}

/// Number of calls of one kind since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallCount {
    /// Calls made.
    pub calls: u64,
    /// Calls made that got no usable response.
    pub failed: u64,
    /// Calls not made because the budget was exhausted.
    pub refused: u64,
}

/// Call budget shared by all clients of one instance: a token bucket and call counters.
///
/// Guards against all instances sending their deferred calls at once after an outage, which would overload the
/// service again. While calls fail, each further call is delayed by a random time that grows with the number of
/// consecutive failures. The calls of the fleet therefore stay spread out when the service recovers, and no instance
/// ever exceeds its rate.
#[derive(Debug)]
pub struct CallMeter {
    rate: f64,
    burst: f64,
    state: Mutex<MeterState>,
}

#[derive(Debug)]
struct MeterState {
    tokens: f64,
    refilled: Instant,
    failures: u32,
    counts: [CallCount; CallKind::ALL.len()],
}

impl Default for CallMeter {
    fn default() -> Self {
        CallMeter::new(DEFAULT_RATE)
    }
}

impl CallMeter {
    /// Creates a budget of `rate` calls per second with bursts of up to twice that number.
    pub fn new(rate: u32) -> CallMeter {
        let burst = f64::from(rate) * 2.0;
        let state = MeterState {
            tokens: burst,
            refilled: Instant::now(),
            failures: 0,
            counts: Default::default(),
        };
        CallMeter {
            rate: f64::from(rate),
            burst,
            state: Mutex::new(state),
        }
    }

    /// Returns the call counts of `kind`.
    pub fn count(&self, kind: CallKind) -> CallCount {
        self.lock().counts[kind as usize]
    }

    /// Takes one call from the budget and returns how long to wait before making it.
    ///
    /// # Errors
    ///
    /// [`KvError::Budget`] if the wait for the budget would exceed `limit`; the call must not be made.
    pub fn take(&self, kind: CallKind, limit: Duration) -> Result<Duration, KvError> {
        let mut state = self.lock();
        let now = Instant::now();
        let fresh = now.duration_since(state.refilled).as_secs_f64() * self.rate;
        state.tokens = (state.tokens + fresh).min(self.burst);
        state.refilled = now;
        let missing = (1.0 - state.tokens).max(0.0);
        let wait = Duration::from_secs_f64(missing / self.rate);
        if wait > limit {
            state.counts[kind as usize].refused += 1;
            return Err(KvError::Budget);
        }
        state.tokens -= 1.0;
        state.counts[kind as usize].calls += 1;
        Ok(wait + backoff(state.failures))
    }

    /// Records the result of a call.
    pub fn end(&self, kind: CallKind, error: Option<&KvError>) {
        let mut state = self.lock();
        match error {
            Some(error) if error.is_outage() => {
                state.counts[kind as usize].failed += 1;
                state.failures = state.failures.saturating_add(1);
            }
            _ => state.failures = 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, MeterState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the meter's lock")
    }
}

/// Returns a random delay for the given number of consecutive failures.
pub(crate) fn backoff(failures: u32) -> Duration {
    if failures == 0 {
        return Duration::ZERO;
    }
    let bound = INITIAL_BACKOFF
        .saturating_mul(1 << failures.min(6))
        .min(MAX_BACKOFF);
    bound.mul_f64(rand::rng().random_range(0.0..1.0))
}
