//! Which instance acts for all of them towards the platform's API, and when it may.
//!
//! The holder of a lease in the store acts, under the revision at which its record was created as fencing number: a later
//! holder's is higher. The API may not check it, so a late call must be impossible, not refused: a holder believes in its
//! lease from when the renewal left, stops a margin before it ends, and a successor waits as long as a lease lasts before
//! its first call.

use std::time::Duration;

use crate::authority::LeaseBelief;
use crate::time::Time;

/// Part of a lease's time after which it is renewed: a renewal may fail.
const RENEW_FRACTION: f64 = 0.33;

/// Part of a lease's time that a holder doesn't count on: a call that it begins has left by then.
const MARGIN_FRACTION: f64 = 0.3;

/// How much later each next instance tries to become the holder: the store may turn the first ones away.
const ACQUIRE_STAGGER: Duration = Duration::from_millis(300);

/// Turns that an instance waits at most.
const MAX_STAGGER_STEPS: u32 = 16;

/// Pause after a call for the lease that failed.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// A holder's record as the store shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The instance.
    pub holder: String,
    /// The process: it changes with each start.
    pub process: String,
    /// Revision at which the record was created.
    pub revision: u64,
}

/// What is to be done for the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing now.
    Wait,
    /// Take it, if it is free.
    Acquire,
    /// Renew it.
    Renew,
}

/// An instance on its way to the lease, or with it.
#[derive(Debug, Clone)]
pub struct LeaderLease {
    lease: Duration,
    belief: LeaseBelief,
    /// Fencing number and when calls may begin.
    held: Option<(u64, Time)>,
    /// Since when the store shows no holder.
    free_since: Option<Time>,
    /// Nothing is done for the lease before.
    next_call: Time,
}

impl LeaderLease {
    /// Nobody's lease, for leases of the time `lease`.
    pub fn new(lease: Duration) -> LeaderLease {
        LeaderLease {
            lease,
            belief: LeaseBelief::new(lease, lease.mul_f64(MARGIN_FRACTION)),
            held: None,
            free_since: None,
            next_call: Time::ZERO,
        }
    }

    /// How long a lease lasts.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// What is to be done, if the store shows a holder or none, by the one of this `rank` among the live instances.
    pub fn next_action(&mut self, now: Time, is_free: bool, rank: u32) -> LeaseAction {
        if self.held.is_some() {
            return match now >= self.next_call {
                true => LeaseAction::Renew,
                false => LeaseAction::Wait,
            };
        }
        if !is_free {
            self.free_since = None;
            return LeaseAction::Wait;
        }
        let since = *self.free_since.get_or_insert(now);
        match now >= self.next_call && now.since(since) >= ACQUIRE_STAGGER * rank.min(MAX_STAGGER_STEPS) {
            true => LeaseAction::Acquire,
            false => LeaseAction::Wait,
        }
    }

    /// Notes that the lease was taken, by a grant sent at `sent`, with this fencing number.
    ///
    /// Failure guarded against: the former holder's last call is still on its way, or this instance was the holder before
    /// that one: no call leaves before a lease's time is over.
    pub fn on_acquired(&mut self, now: Time, sent: Time, fence: u64) {
        self.belief.confirm(sent);
        self.held = Some((fence, now + self.lease));
        self.next_call = sent + self.lease.mul_f64(RENEW_FRACTION);
    }

    /// Notes that a renewal sent at `sent` was confirmed.
    pub fn on_renewed(&mut self, sent: Time) {
        self.belief.confirm(sent);
        self.next_call = sent + self.lease.mul_f64(RENEW_FRACTION);
    }

    /// Notes that a call for the lease failed.
    pub fn on_failure(&mut self, now: Time) {
        self.next_call = now + RETRY_DELAY;
    }

    /// Notes that the lease is lost, or somebody else has it.
    pub fn on_lost(&mut self, now: Time) {
        self.belief.clear();
        self.held = None;
        self.free_since = None;
        self.next_call = now + RETRY_DELAY;
    }

    /// Whether this instance has the lease, as far as it knows.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// The fencing number of a call that leaves now; `None` if none may leave.
    pub fn fence(&self, now: Time) -> Option<u64> {
        let (fence, from) = self.held?;
        (now >= from && self.belief.holds(now)).then_some(fence)
    }
}
