//! How many log lines a process writes.
//!
//! Failure guarded against: all engines fail, each request leaves some lines, and writing them takes the processor time
//! that serving would have needed. Each event has a budget of its own, so that a flood of one doesn't hide another,
//! and what happens to requests that went well is sampled.

use std::collections::BTreeMap;

use sequoiastream_core::log_event;
use sequoiastream_core::time::Time;

/// Lines a second of one event.
const RATE: f64 = 10.0;

/// Lines of one event at once.
const BURST: f64 = 40.0;

/// Lines a second of an event that says that all went well.
const GOOD_RATE: f64 = 1.0;

/// Lines of such an event at once.
const GOOD_BURST: f64 = 3.0;

/// Lines a second of all events: at 400 bytes a line, 24 KB.
const ALL_RATE: f64 = 60.0;

/// Lines of all events at once.
const ALL_BURST: f64 = 240.0;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    left: f64,
    at: Time,
}

impl Bucket {
    fn fill(&mut self, now: Time, rate: f64, burst: f64) {
        let earned = now.since(self.at).as_secs_f64() * rate;
        self.left = (self.left + earned).min(burst);
        self.at = now;
    }
}

/// What is left to write.
#[derive(Debug, Clone)]
pub struct LogBudget {
    events: BTreeMap<u16, Bucket>,
    all: Bucket,
    dropped: BTreeMap<u16, u64>,
}

impl LogBudget {
    /// A full budget.
    pub fn new(now: Time) -> LogBudget {
        let all = Bucket {
            left: ALL_BURST,
            at: now,
        };
        LogBudget {
            events: BTreeMap::new(),
            all,
            dropped: BTreeMap::new(),
        }
    }

    /// Whether a line of event `number` is written; counts it as dropped if not.
    pub fn allow(&mut self, now: Time, number: u16) -> bool {
        let (rate, burst) = match number == log_event::FORWARDED.number {
            true => (GOOD_RATE, GOOD_BURST),
            false => (RATE, BURST),
        };
        let full = Bucket { left: burst, at: now };
        let bucket = self.events.entry(number).or_insert(full);
        bucket.fill(now, rate, burst);
        self.all.fill(now, ALL_RATE, ALL_BURST);
        if bucket.left < 1.0 || self.all.left < 1.0 {
            *self.dropped.entry(number).or_default() += 1;
            return false;
        }
        bucket.left -= 1.0;
        self.all.left -= 1.0;
        true
    }

    /// Lines that were not written, by event.
    pub fn dropped(&self) -> &BTreeMap<u16, u64> {
        &self.dropped
    }

    /// Notes a line that could not be written since nobody reads.
    pub fn on_unread(&mut self, number: u16) {
        *self.dropped.entry(number).or_default() += 1;
    }
}
