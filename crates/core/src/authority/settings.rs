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
    pub margin: Duration,
    /// Between two renewals.
    pub renew: Duration,
    /// Before a failed call is made again.
    pub retry: Duration,
    /// After the lease became vacant, before this instance competes for it.
    pub delay: Duration,
    /// How long an instance keeps work from an engine after it was asked to.
    pub hold: Duration,
    /// How long an instance must have been out of reach before a change no longer waits for it.
    pub absence: Duration,
    /// Between two reads of the report of an engine that is being changed.
    pub probe: Duration,
    /// Between two reads of the report of any other engine.
    pub rest: Duration,
    /// After which an answer that did not come is taken as lost.
    pub lost: Duration,
}

impl Timing {
    /// Times for leases of `ttl`; `delay` differs between instances so that they don't compete at once.
    pub fn new(ttl: Duration, delay: Duration) -> Timing {
        Timing {
            ttl,
            margin: ttl / 5,
            renew: ttl / 3,
            retry: ttl / 10,
            delay,
            hold: ttl,
            absence: ttl * 2,
            probe: ttl / 40,
            rest: ttl * 2,
            lost: ttl,
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
