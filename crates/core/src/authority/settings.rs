//! Settings of one service's authority on one instance.

use std::time::Duration;

use crate::authority::Incarnation;
use crate::name::Name;

/// Time-outs and intervals, all derived from the duration of the lease.
#[derive(Debug, Clone)]
pub struct Timing {
    /// How long a lease lasts after its last renewal.
    pub ttl: Duration,
    /// Subtracted from the lease's duration on this side, to allow for clocks that run at different rates.
    pub clock_margin: Duration,
    /// Interval between two renewals of the lease.
    pub renew_interval: Duration,
    /// Delay before a failed call is repeated.
    pub retry_delay: Duration,
    /// Delay between the lease becoming vacant and this instance competing for it.
    pub acquire_delay: Duration,
    /// How long an instance routes no new requests to an engine after it was asked to hold them.
    pub hold_ttl: Duration,
    /// How long an instance must have been unreachable before a change no longer waits for it.
    pub absence_timeout: Duration,
    /// Interval between two reads of the report of an engine that is being changed.
    pub probe_interval: Duration,
    /// Interval between two reads of the report of an engine that needs no change.
    pub idle_interval: Duration,
    /// How long to wait for an answer before it is treated as lost.
    pub call_timeout: Duration,
}

impl Timing {
    /// Timing for leases of `ttl`. `acquire_delay` differs between instances so that they don't all compete
    /// for the lease at once.
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
    /// Name of this instance.
    pub instance: Name,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Time-outs and intervals.
    pub timing: Timing,
}
