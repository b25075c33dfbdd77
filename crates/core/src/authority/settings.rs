//! Settings of one service's authority in one instance.

use std::time::Duration;

use crate::authority::Incarnation;
use crate::name::Name;

/// Times of the decision, all derived from the lease's.
#[derive(Debug, Clone)]
pub struct Timing {
    /// How long a lease lasts after its last renewal.
    pub ttl: Duration,
    /// Taken off the belief in it, for clocks that run differently.
    pub clock_margin: Duration,
    /// Between two renewals.
    pub renew_interval: Duration,
    /// Before a failed call is made again.
    pub retry_delay: Duration,
    /// After the lease became vacant, before this instance competes for it.
    pub acquire_delay: Duration,
    /// How long an instance keeps work from an engine after it was asked to.
    pub hold_ttl: Duration,
    /// How long an instance must have been out of reach before a change no longer waits for it.
    pub absence_timeout: Duration,
    /// Between two reads of the report of an engine that is being changed.
    pub probe_interval: Duration,
    /// Between two reads of the report of any other engine.
    pub idle_interval: Duration,
    /// After which an answer that did not come is taken as lost.
    pub call_timeout: Duration,
}

impl Timing {
    /// Times for leases of `ttl`; `delay` differs between instances so that they don't compete at once.
    pub fn new(ttl: Duration, acquire_delay: Duration) -> Timing {
        Timing {
            ttl,
            clock_margin: ttl / 5,
            renew_interval: ttl / 3,
            retry_delay: ttl / 10,
            acquire_delay,
            hold_ttl: ttl,
            absence_timeout: ttl * 2,
            probe_interval: ttl / 40,
            idle_interval: ttl * 2,
            call_timeout: ttl,
        }
    }
}

/// Settings of an [`Authority`](crate::authority::Authority).
#[derive(Debug, Clone)]
pub struct Settings {
    /// The service.
    pub service: Name,
    /// This instance.
    pub instance: Name,
    /// This process.
    pub incarnation: Incarnation,
    /// Times.
    pub timing: Timing,
}
