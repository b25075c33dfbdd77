//! Selects the instance that calls the platform's API on behalf of the fleet, and limits when it may.
//!
//! The leader is the holder of a lease in the store. The revision at which its record was created gives its fencing
//! token: that of a later holder is higher, see [`Revision::token`]. The API may not check it, so a late call must be
//! impossible, not just rejected: a holder counts its lease from when the renewal was sent, begins no call in a margin before
//! the lease ends, and gives up each call that is on its way when it ends. A successor waits for the length of a lease before
//! its first call.

use std::time::Duration;

use crate::authority::LocalLease;
use crate::relay::revision::Revision;
use crate::time::Time;

/// Fraction of the lease after which it is renewed: a renewal may fail.
const RENEW_FRACTION: f64 = 0.33;

/// Fraction of the lease, at its end, in which a holder begins no call: there is time for one that was begun before.
const MARGIN_FRACTION: f64 = 0.3;

/// Delay between the attempts of successive instances to acquire the lease: the store may reject the first ones.
const ACQUIRE_STAGGER: Duration = Duration::from_millis(300);

/// Maximum number of delays that an instance waits.
const MAX_STAGGER_STEPS: u32 = 16;

/// Pause after a failed call for the lease.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// A holder's record in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The instance.
    pub holder: String,
    /// The process: it changes with each start.
    pub process: String,
    /// Revision at which the record was created.
    pub revision: Revision,
}

/// Permission for a call under the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPermit {
    /// Fencing token of the call.
    pub fence: u64,
    /// When the lease ends unless it is renewed: the call must not arrive later.
    pub until: Time,
}

/// The next call for the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// None now.
    Wait,
    /// Acquire it, if it is free.
    Acquire,
    /// Renew it.
    Renew,
}

/// State of this instance as holder of the lease or as a candidate for it.
#[derive(Debug, Clone)]
pub struct LeaderLease {
    lease: Duration,
    belief: LocalLease,
    /// Fencing token, and when calls may begin.
    held: Option<(u64, Time)>,
    /// Since when the store shows no holder.
    free_since: Option<Time>,
    /// No call for the lease is made before.
    next_call: Time,
}

impl LeaderLease {
    /// A lease of length `lease` that this instance does not hold.
    pub fn new(lease: Duration) -> LeaderLease {
        LeaderLease {
            lease,
            belief: LocalLease::new(lease, lease.mul_f64(MARGIN_FRACTION)),
            held: None,
            free_since: None,
            next_call: Time::ZERO,
        }
    }

    /// Length of the lease.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// The next call for the lease, given whether the store shows it as free and the `rank` of this instance among the
    /// live instances.
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

    /// Notes that the lease was acquired with this fencing token, by a grant sent at `sent`.
    ///
    /// Guards against two holders that act alternately, and against a last call of the former holder that is delayed in the
    /// network after it was sent for the last time: no call is sent until the length of a lease has passed.
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

    /// Notes that the lease is lost, or that another instance holds it.
    pub fn on_lost(&mut self, now: Time) {
        self.belief.clear();
        self.held = None;
        self.free_since = None;
        self.next_call = now + RETRY_DELAY;
    }

    /// Whether this instance holds the lease, as far as it knows.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// The fencing token for a call that is sent now; `None` if none may be sent.
    pub fn fence(&self, now: Time) -> Option<u64> {
        let (fence, from) = self.held?;
        (now >= from && self.belief.is_valid(now)).then_some(fence)
    }

    /// Permission for a call that is sent now; `None` if none may be sent.
    pub fn permit(&self, now: Time) -> Option<CallPermit> {
        let fence = self.fence(now)?;
        let until = self.belief.ends_at();
        Some(CallPermit { fence, until })
    }

    /// Whether a call that was sent under `fence` may still arrive: this instance has not lost that lease, and it has not
    /// ended.
    pub fn is_valid(&self, now: Time, fence: u64) -> bool {
        let is_same = self.held.is_some_and(|(held, _)| held == fence);
        is_same && now < self.belief.ends_at()
    }
}
