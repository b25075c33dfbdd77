//! A rate limit for the log lines of a process.
//!
//! Failure guarded against: all engines fail, every request logs several lines, and writing them uses processor time
//! that is needed to serve requests. Each event has a token bucket of its own, so that a flood of one event doesn't
//! suppress the others, and the event of successful requests is sampled at a lower rate.

use std::collections::BTreeMap;

use sequoiastream_core::log_event;
use sequoiastream_core::time::Time;

/// Lines per second of one event.
const EVENT_RATE: f64 = 10.0;

/// Maximum burst of one event, in lines.
const EVENT_BURST: f64 = 40.0;

/// Lines per second of the event that reports success.
const SUCCESS_RATE: f64 = 1.0;

/// Maximum burst of that event, in lines.
const SUCCESS_BURST: f64 = 3.0;

/// Lines per second of all events together: 24 KB per second at 400 bytes per line.
const TOTAL_RATE: f64 = 60.0;

/// Maximum burst of all events together, in lines.
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

/// The remaining lines of each event and of all events, and the number of lines dropped.
#[derive(Debug, Clone)]
pub struct LogBudget {
    events: BTreeMap<u16, Bucket>,
    total: Bucket,
    dropped: BTreeMap<u16, u64>,
}

impl LogBudget {
    /// Creates a full budget.
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

    /// Whether a line of event `number` may be written; if not, counts it as dropped.
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

    /// Number of lines dropped, by event number.
    pub fn dropped(&self) -> &BTreeMap<u16, u64> {
        &self.dropped
    }

    /// Counts a line as dropped because the writer thread did not accept it: the log is not being read.
    pub fn count_unwritten(&mut self, number: u16) {
        *self.dropped.entry(number).or_default() += 1;
    }
}
