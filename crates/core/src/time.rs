//! Monotonic time as a plain value, so that the decision logic needs no access to a clock.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point on the monotonic clock of one process, in microseconds since an arbitrary origin.
///
/// Times of different processes can't be compared. The daemon counts from the instant at which it started; tests
/// choose any value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Time(u64);

impl Time {
    /// The origin.
    pub const ZERO: Time = Time(0);

    /// The time `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// The time `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The duration since `earlier`, zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, rhs: Duration) -> Time {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// Milliseconds since the Unix epoch, for output to people and for the times that clients embed in idempotency keys.
///
/// Wall clocks can step, so no safety decision may depend on one alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct WallTime(pub u64);
