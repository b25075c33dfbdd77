//! Estimates true time from the wall clocks of many instances.
//!
//! Guards against wall clocks that jump by seconds at some instances, including the one that counts, so that requests
//! would be counted in the wrong window. Each instance tracks how far the clock of each peer is ahead of its own
//! monotonic clock, which does not jump, and takes the median.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;

/// Messages are delayed on their way and in queues; the one with the least delay in each period counts.
const SAMPLE_PERIOD: Duration = Duration::from_secs(2);

/// How long the clock of a peer that is no longer heard counts: monotonic clocks hardly drift, but peers are replaced.
const CLOCK_TTL: Duration = Duration::from_secs(60);

/// How far a peer's clock was ahead of the local monotonic clock, in microseconds: the maximum of this period and the
/// previous one.
#[derive(Debug, Clone, Copy)]
struct ClockOffset {
    period_start: Time,
    last_seen: Time,
    current: u64,
    previous: u64,
}

/// The clocks of all instances.
#[derive(Debug, Clone, Default)]
pub struct TrueTime(BTreeMap<String, ClockOffset>);

impl TrueTime {
    /// Handles a message that an instance sent when its wall clock showed `wall`, in microseconds since the epoch.
    pub fn on_clock(&mut self, now: Time, instance: &str, wall: u64) {
        let offset = wall.saturating_sub(now.as_micros());
        if offset == 0 {
            return;
        }
        let new_entry = ClockOffset {
            period_start: now,
            last_seen: now,
            current: offset,
            previous: 0,
        };
        match self.0.get_mut(instance) {
            Some(known) if now.since(known.period_start) < SAMPLE_PERIOD => {
                known.current = known.current.max(offset);
                known.last_seen = now;
            }
            Some(known) => {
                *known = ClockOffset {
                    previous: known.current,
                    ..new_entry
                }
            }
            None => {
                self.0.insert(instance.to_string(), new_entry);
            }
        }
    }

    /// How far true time is ahead of the local monotonic clock, in microseconds; `None` before any clock is known.
    pub fn offset(&mut self, now: Time) -> Option<u64> {
        self.0.retain(|_, offset| now.since(offset.last_seen) < CLOCK_TTL);
        let mut offsets: Vec<u64> = self.0.values().map(|c| c.current.max(c.previous)).collect();
        offsets.sort_unstable();
        offsets.get(offsets.len() / 2).copied()
    }
}
