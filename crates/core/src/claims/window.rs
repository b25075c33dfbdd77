//! Which keys are accepted, and how long their claims must be kept.
//!
//! Failure guarded against: a claim is dropped while some instance still accepts its key; a repeat then finds
//! nothing and the order runs twice. It would show as a second run half an hour or more after the first, when
//! wall clocks disagree or step.
//!
//! The guard rests on durations, not on agreement of clocks. With E the largest error of a clock, a bucket is
//! created no earlier than [`FUTURE`] + E before its slot begins, and its keys are accepted no later than
//! [`RETENTION`] + E after it ends; a claim is written within [`MAX_DEADLINE`] of that. The key-value service
//! drops a bucket [`KEEP`] after its last write, counted by its own monotonic clock. This holds for E up to
//! `(KEEP - RETENTION - FUTURE - MAX_DEADLINE - slot) / 2`, about 28 minutes. [`MAX_SKEW`] keeps E far below
//! that: an instance whose wall clock leaves its monotonic clock by more refuses keys, and an owner refuses an
//! entry whose clock differs by more.

use std::time::Duration;

use crate::claims::IdempotencyKey;
use crate::claims::KeyError;
use crate::time::Time;
use crate::time::WallTime;

/// How long after its own time a key is accepted.
pub const RETENTION: Duration = Duration::from_secs(60 * 60);

/// How far ahead of this instance's clock a key may be.
pub const MAX_FUTURE: Duration = Duration::from_secs(60);

/// Longest deadline of a non-idempotent request.
pub const MAX_DEADLINE: Duration = Duration::from_secs(120);

/// How long a bucket is kept after its last write.
pub const BUCKET_TTL: Duration = Duration::from_secs(2 * 60 * 60);

/// Largest step or difference of wall clocks that is put up with.
pub const MAX_SKEW: Duration = Duration::from_secs(5 * 60);

/// A reading of both clocks of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clocks {
    /// Monotonic time.
    pub time: Time,
    /// Wall clock.
    pub wall: WallTime,
}

/// Judges the age of keys, and notices that the wall clock stepped.
#[derive(Debug, Clone, Copy)]
pub struct KeyAgeCheck {
    first: Clocks,
}

impl KeyAgeCheck {
    /// Takes a reading that later ones are held against.
    pub fn new(first: Clocks) -> KeyAgeCheck {
        KeyAgeCheck { first }
    }

    /// Whether the wall clock has moved with the monotonic one.
    pub fn is_steady(&self, now: Clocks) -> bool {
        let expected = self.first.wall.0 + millis(now.time.since(self.first.time));
        expected.abs_diff(now.wall.0) <= millis(MAX_SKEW)
    }

    /// Accepts `key` at this time.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if its time lies outside the window, or the clock stepped.
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

/// Whether two wall clocks are close enough.
pub(super) fn clocks_agree(one: WallTime, other: WallTime) -> bool {
    one.0.abs_diff(other.0) <= millis(MAX_SKEW)
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
