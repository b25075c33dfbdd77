//! The holder's local view of its lease: how long it may act on it.

use std::time::Duration;

use crate::time::Time;

/// The holder's local view of its lease.
///
/// Failure guarded against: a holder sends a renewal, is paused before it reads the answer, and counts the
/// lease from the time it read the answer. It would then act on a lease that has expired and that another
/// instance holds. Counting from the time the renewal was sent is safe because the platform counts from the
/// time it received the renewal, which is never before it was sent, and the margin covers the difference in
/// rate between the two clocks.
#[derive(Debug, Clone)]
pub struct LocalLease {
    ttl: Duration,
    clock_margin: Duration,
    expires_at: Option<Time>,
}

impl LocalLease {
    /// No lease held; confirmed leases will last `ttl`, of which `clock_margin` is subtracted.
    pub fn new(ttl: Duration, clock_margin: Duration) -> LocalLease {
        LocalLease {
            ttl,
            clock_margin,
            expires_at: None,
        }
    }

    /// Notes that the platform confirmed a grant or renewal that was sent at `sent`.
    pub fn confirm(&mut self, sent: Time) {
        let expires_at = sent + self.ttl.saturating_sub(self.clock_margin);
        self.expires_at = self.expires_at.max(Some(expires_at));
    }

    /// Notes that the lease was lost or released.
    pub fn clear(&mut self) {
        self.expires_at = None;
    }

    /// Whether the lease is certain not to have expired at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// When the lease itself ends, after the margin in which the holder no longer acts on it; [`Time::ZERO`] if none is held.
    pub fn ends_at(&self) -> Time {
        self.expires_at
            .map_or(Time::ZERO, |expires_at| expires_at + self.clock_margin)
    }

    /// When the lease expires by the local view; [`Time::ZERO`] if none is held.
    pub fn expires_at(&self) -> Time {
        self.expires_at.unwrap_or(Time::ZERO)
    }
}
