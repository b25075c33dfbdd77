//! The call budget of an instance, and counting, since the platform counts each call and its rates grow more
//! slowly than the fleet.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use crate::error::KvError;

/// Calls a second that an instance may make if nothing else is set.
pub const DEFAULT_RATE: u32 = 100;

/// First bound of the pause before a call while calls fail; doubled with each failure in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);

/// Highest bound of that pause.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Kinds of calls, as the platform counts them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Reading a key.
    Read,
    /// Writing a key.
    Write,
    /// Waiting for a key to change; one call for as long as it waits.
    Watch,
    /// Granting, renewing or releasing a lease.
    Lease,
    /// Reading the list of machines.
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

    /// The kind as a label of metrics.
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

/// Calls of one kind since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallCount {
    /// Made.
    pub calls: u64,
    /// Of these, without a usable answer.
    pub failed: u64,
    /// Not made, since the budget was spent.
    pub refused: u64,
}

/// The call budget that all clients of one instance share: a token bucket, and what was spent.
///
/// Failure guarded against: after an outage all instances call at once what they put off, and the service goes
/// down again. While calls fail each further call waits a random time that grows with the failures, so the
/// calls of the fleet stay spread when the service returns, and no instance ever exceeds its rate.
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
    /// A budget of `rate` calls a second, and twice as many at once.
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

    /// What was spent on `kind`.
    pub fn count(&self, kind: CallKind) -> CallCount {
        self.lock().counts[kind as usize]
    }

    /// Takes a call from the budget; returns how long to wait before it is made.
    ///
    /// # Errors
    ///
    /// [`KvError::Budget`] if the wait would be longer than `limit`; the call may not be made.
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

    /// Notes how a call ended.
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
            .expect("no thread panics while it holds the meter")
    }
}

/// A random pause after so many failures in a row.
pub(crate) fn backoff(failures: u32) -> Duration {
    if failures == 0 {
        return Duration::ZERO;
    }
    let bound = INITIAL_BACKOFF
        .saturating_mul(1 << failures.min(6))
        .min(MAX_BACKOFF);
    bound.mul_f64(rand::rng().random_range(0.0..1.0))
}
