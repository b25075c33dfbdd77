//! How many log lines a process writes.
//!
//! Failure guarded against: all engines fail, each request leaves some lines, and writing them takes the processor time
//! that serving would have needed. Each event has a budget of its own, so that a flood of one doesn't hide another,
//! and what happens to requests that went well is sampled.

use std::collections::BTreeMap;

use sequoiastream_core::log_event;
use sequoiastream_core::time::Time;

/// Lines a second of one event.
const EVENT_RATE: f64 = 10.0;

/// Lines of one event at once.
const EVENT_BURST: f64 = 40.0;

/// Lines a second of an event that says that all went well.
const SUCCESS_RATE: f64 = 1.0;

/// Lines of such an event at once.
const SUCCESS_BURST: f64 = 3.0;

/// Lines a second of all events: at 400 bytes a line, 24 KB.
const TOTAL_RATE: f64 = 60.0;

/// Lines of all events at once.
const TOTAL_BURST: f64 = 240.0;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    refilled_at: Time,
}

impl Bucket {
    fn refill(&mut self, now: Time, rate: f64, burst: f64) {
        let earned = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(burst);
        self.refilled_at = now;
    }
}

/// What is left to write.
#[derive(Debug, Clone)]
pub struct LogBudget {
    events: BTreeMap<u16, Bucket>,
    total: Bucket,
    dropped: BTreeMap<u16, u64>,
}

impl LogBudget {
    /// A full budget.
    pub fn new(now: Time) -> LogBudget {
        let all = Bucket {
            tokens: TOTAL_BURST,
            refilled_at: now,
        };
        LogBudget {
            events: BTreeMap::new(),
            total: all,
            dropped: BTreeMap::new(),
        }
    }

    /// Whether a line of event `number` is written; counts it as dropped if not.
    pub fn allow(&mut self, now: Time, number: u16) -> bool {
        let (rate, burst) = match number == log_event::FORWARDED.number {
            true => (SUCCESS_RATE, SUCCESS_BURST),
            false => (EVENT_RATE, EVENT_BURST),
        };
        let full = Bucket {
            tokens: burst,
            refilled_at: now,
        };
        let bucket = self.events.entry(number).or_insert(full);
        bucket.refill(now, rate, burst);
        self.total.refill(now, TOTAL_RATE, TOTAL_BURST);
        if bucket.tokens < 1.0 || self.total.tokens < 1.0 {
            *self.dropped.entry(number).or_default() += 1;
            return false;
        }
        bucket.tokens -= 1.0;
        self.total.tokens -= 1.0;
        true
    }

    /// Lines that were not written, by event.
    pub fn dropped(&self) -> &BTreeMap<u16, u64> {
        &self.dropped
    }

    /// Notes a line that could not be written since nobody reads.
    pub fn count_unwritten(&mut self, number: u16) {
        *self.dropped.entry(number).or_default() += 1;
    }
}
