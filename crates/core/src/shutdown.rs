//! The steps of a graceful shutdown.
//!
//! Callers keep an address for a while (`keep`). An instance that refused at once would fail callers who did
//! nothing wrong, so it stops being named first, serves for that time and a margin, and only then refuses.

use std::time::Duration;

use crate::time::Time;

/// Times of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// How long callers keep an address.
    pub address_ttl: Duration,
    /// Added to it, for answers on their way and peers that heard late.
    pub margin: Duration,
    /// Shortest time for which new work is refused before the listener closes.
    pub refuse: Duration,
    /// Longest time for which running work is awaited after that.
    pub drain: Duration,
}

/// Where a shutdown stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not begun.
    Serving,
    /// No longer named, still serving new work.
    Unlisted,
    /// Refusing new work, finishing what runs.
    Refusing,
    /// Nothing runs any more, or it was waited for in vain.
    Drained,
}

/// The steps of one shutdown.
#[derive(Debug, Clone)]
pub struct Shutdown {
    times: ShutdownTimes,
    begun: Option<Time>,
    phase: Phase,
}

impl Shutdown {
    /// A shutdown that has not begun.
    pub fn new(times: ShutdownTimes) -> Shutdown {
        Shutdown {
            times,
            begun: None,
            phase: Phase::Serving,
        }
    }

    /// Begins; a second call changes nothing.
    pub fn begin(&mut self, now: Time) {
        self.begun.get_or_insert(now);
        self.phase = self.phase.max(Phase::Unlisted);
    }

    /// The phase at `now`, with `running` pieces of work not yet finished.
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
