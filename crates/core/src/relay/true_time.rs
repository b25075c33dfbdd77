//! True time, from the wall clocks of many instances.
//!
//! Failure guarded against: the wall clocks of some instances jump by seconds, that of the one that counts among them, and
//! requests are counted in the wrong window. Each instance keeps how far the clock of each peer is ahead of its own
//! monotonic clock, which does not jump, and takes the median.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;

/// Messages wait on their way and in queues; the one that waited least of so long a time counts.
const SAMPLE_PERIOD: Duration = Duration::from_secs(2);

/// How long a peer's clock counts that is no longer heard of: monotonic clocks hardly drift, but peers are replaced.
const CLOCK_TTL: Duration = Duration::from_secs(60);

/// How far a peer's clock was ahead of the monotonic clock here, in microseconds: the most of this epoch and the last.
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
    /// Takes a message that an instance sent when its wall clock showed `wall`, in microseconds since the epoch.
    pub fn on_clock(&mut self, now: Time, instance: &str, wall: u64) {
        let lead = wall.saturating_sub(now.as_micros());
        if lead == 0 {
            return;
        }
        let fresh = ClockOffset {
            period_start: now,
            last_seen: now,
            current: lead,
            previous: 0,
        };
        match self.0.get_mut(instance) {
            Some(known) if now.since(known.period_start) < SAMPLE_PERIOD => {
                known.current = known.current.max(lead);
                known.last_seen = now;
            }
            Some(known) => {
                *known = ClockOffset {
                    previous: known.current,
                    ..fresh
                }
            }
            None => {
                self.0.insert(instance.to_string(), fresh);
            }
        }
    }

    /// How far true time is ahead of the monotonic clock here, in microseconds; `None` before any clock was last_seen.
    pub fn offset(&mut self, now: Time) -> Option<u64> {
        self.0.retain(|_, lead| now.since(lead.last_seen) < CLOCK_TTL);
        let mut leads: Vec<u64> = self.0.values().map(|l| l.current.max(l.previous)).collect();
        leads.sort_unstable();
        leads.get(leads.len() / 2).copied()
    }
}
