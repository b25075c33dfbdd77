//! Which keys are accepted, and how long their claims must be stored.
//!
//! Failure guarded against: a claim is deleted while some instance still accepts its key; a repeated request then
//! finds no claim and runs a second time. It would show as a second run half an hour or more after the first, when
//! wall clocks disagree or step.
//!
//! The guard rests on durations, not on agreement between clocks. With E the largest error of a clock, a bucket is
//! created no earlier than [`MAX_FUTURE`] + E before its time slot begins, and its keys are accepted no later than
//! [`RETENTION`] + E after the slot ends; a claim is written within [`MAX_DEADLINE`] of that. The key-value service
//! deletes a bucket [`BUCKET_TTL`] after its last write, measured by the service's own monotonic clock. This holds
//! for E up to `(BUCKET_TTL - RETENTION - MAX_FUTURE - MAX_DEADLINE - slot) / 2`, about 28 minutes. [`MAX_SKEW`]
//! keeps E far below that: an instance whose wall clock deviates by more from its monotonic clock rejects keys, and
//! an owner refuses an entry instance whose clock differs by more.

use std::time::Duration;

use crate::claims::IdempotencyKey;
use crate::claims::KeyError;
use crate::time::Time;
use crate::time::WallTime;

/// How long after its timestamp a key is accepted.
pub const RETENTION: Duration = Duration::from_secs(60 * 60);

/// How far ahead of this instance's clock the timestamp of a key may be.
pub const MAX_FUTURE: Duration = Duration::from_secs(60);

/// Longest deadline of a non-idempotent request.
pub const MAX_DEADLINE: Duration = Duration::from_secs(120);

/// How long the key-value service keeps a bucket after its last write.
pub const BUCKET_TTL: Duration = Duration::from_secs(2 * 60 * 60);

/// Largest step of a wall clock, or difference between two, that is tolerated.
pub const MAX_SKEW: Duration = Duration::from_secs(5 * 60);

/// A simultaneous reading of the two clocks of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clocks {
    /// Monotonic clock.
    pub time: Time,
    /// Wall clock.
    pub wall: WallTime,
}

/// Checks the age of keys, and detects that the wall clock stepped.
#[derive(Debug, Clone, Copy)]
pub struct KeyAgeCheck {
    first: Clocks,
}

impl KeyAgeCheck {
    /// Creates a check with the reading that later ones are compared with.
    pub fn new(first: Clocks) -> KeyAgeCheck {
        KeyAgeCheck { first }
    }

    /// Whether the wall clock has advanced with the monotonic clock, within [`MAX_SKEW`].
    pub fn is_steady(&self, now: Clocks) -> bool {
        let expected = self.first.wall.0 + millis(now.time.since(self.first.time));
        expected.abs_diff(now.wall.0) <= millis(MAX_SKEW)
    }

    /// Checks whether `key` is accepted at this time.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if the timestamp of the key is outside the accepted window, or the wall clock stepped.
    pub fn check(&self, key: &IdempotencyKey, now: Clocks) -> Result<(), KeyError> {
        if !self.is_steady(now) {
            return Err(KeyError::ClockStepped);
        }
        let key_time = key.time().0;
        if key_time > now.wall.0 + millis(MAX_FUTURE) {
            return Err(KeyError::Future);
        }
        if key_time + millis(RETENTION) < now.wall.0 {
            return Err(KeyError::Old);
        }
        Ok(())
    }
}

/// Whether two wall clocks differ by at most [`MAX_SKEW`].
pub(super) fn clocks_agree(one: WallTime, other: WallTime) -> bool {
    one.0.abs_diff(other.0) <= millis(MAX_SKEW)
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
