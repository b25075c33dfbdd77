//! The phases of a graceful shutdown.
//!
//! Callers cache the address of an instance for [`ShutdownTimes::address_ttl`]. If the instance refused requests at
//! once, those of callers with a cached address would fail. It is therefore first removed from the addresses given to
//! callers, continues to serve for that time and a margin, and only then refuses new work.

use std::time::Duration;

use crate::time::Time;

/// Durations of the phases of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// How long callers cache an address.
    pub address_ttl: Duration,
    /// Added to it, for address lists still in transit and peers that learn of the shutdown late.
    pub margin: Duration,
    /// Minimum time for which new work is refused before the listener closes.
    pub refuse: Duration,
    /// Maximum time to wait for running work after that.
    pub drain: Duration,
}

/// The phase of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The shutdown has not begun.
    Serving,
    /// The instance's address is no longer given to callers; new work is still served.
    Unlisted,
    /// New work is refused; running work is completed.
    Refusing,
    /// All work has ended, or the time to wait for it has passed.
    Drained,
}

/// The state of one shutdown.
#[derive(Debug, Clone)]
pub struct Shutdown {
    times: ShutdownTimes,
    begun: Option<Time>,
    phase: Phase,
}

impl Shutdown {
    /// Creates a shutdown that has not begun.
    pub fn new(times: ShutdownTimes) -> Shutdown {
        Shutdown {
            times,
            begun: None,
            phase: Phase::Serving,
        }
    }

    /// Begins the shutdown; further calls have no effect.
    pub fn begin(&mut self, now: Time) {
        self.begun.get_or_insert(now);
        self.phase = self.phase.max(Phase::Unlisted);
    }

    /// Advances the shutdown to `now` and returns its phase, where `running` is the amount of unfinished work.
    pub fn step(&mut self, now: Time, running: usize) -> Phase {
        let Some(begun) = self.begun else {
            return self.phase;
        };
        let refusing = begun + self.times.address_ttl + self.times.margin;
        if now >= refusing {
            self.phase = self.phase.max(Phase::Refusing);
        }
        let closing = refusing + self.times.refuse;
        let idle = running == 0 && now >= closing;
        if idle || now >= closing + self.times.drain {
            self.phase = Phase::Drained;
        }
        self.phase
    }
}
