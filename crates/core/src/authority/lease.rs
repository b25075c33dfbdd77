//! How long a holder may believe in its lease.

use std::time::Duration;

use crate::time::Time;

/// A holder's belief in its lease.
///
/// Failure guarded against: a holder that renews, is paused before it reads the answer, and counts the lease
/// from when it read it. It would believe in a lease that has lapsed and that another holds. The guard holds
/// because the platform counts from when it received the renewal, which is never before it was sent, and the
/// margin covers how differently the two clocks run.
#[derive(Debug, Clone)]
pub struct LocalLease {
    ttl: Duration,
    clock_margin: Duration,
    expires_at: Option<Time>,
}

impl LocalLease {
    /// No belief, for a lease of `ttl` from which `margin` is taken off.
    pub fn new(ttl: Duration, clock_margin: Duration) -> LocalLease {
        LocalLease {
            ttl,
            clock_margin,
            expires_at: None,
        }
    }

    /// The platform confirmed a grant or renewal that was sent at `sent`.
    pub fn confirm(&mut self, sent: Time) {
        let expires_at = sent + self.ttl.saturating_sub(self.clock_margin);
        self.expires_at = self.expires_at.max(Some(expires_at));
    }

    /// The lease is lost or given up.
    pub fn clear(&mut self) {
        self.expires_at = None;
    }

    /// Whether the lease surely has not lapsed at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// When the belief ends; [`Time::ZERO`] if there is none.
    pub fn expires_at(&self) -> Time {
        self.expires_at.unwrap_or(Time::ZERO)
    }
}
