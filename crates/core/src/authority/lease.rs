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
    margin: Duration,
    until: Option<Time>,
}

impl LocalLease {
    /// No belief, for a lease of `ttl` from which `margin` is taken off.
    pub fn new(ttl: Duration, margin: Duration) -> LocalLease {
        LocalLease {
            ttl,
            margin,
            until: None,
        }
    }

    /// The platform confirmed a grant or renewal that was sent at `sent`.
    pub fn confirm(&mut self, sent: Time) {
        let until = sent + self.ttl.saturating_sub(self.margin);
        self.until = self.until.max(Some(until));
    }

    /// The lease is lost or given up.
    pub fn clear(&mut self) {
        self.until = None;
    }

    /// Whether the lease surely has not lapsed at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// When the belief ends; [`Time::ZERO`] if there is none.
    pub fn until(&self) -> Time {
        self.until.unwrap_or(Time::ZERO)
    }
}
