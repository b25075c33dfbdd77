//! What an instance tells its peers of the paces of engines that it observed.
//!
//! A record is sent when an engine's interval has changed by more than a tenth, and at the latest a few seconds after
//! the last one while there are observations. It is repeated in each message until all peers have had a turn.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::engines::Engine;
use crate::relay::engines::EngineKey;
use crate::time::Time;

/// Time between two messages.
pub const PACE_INTERVAL: Duration = Duration::from_millis(500);

/// Change of an interval, as a fraction of the one that was last sent, from which it is sent again.
const MIN_CHANGE: f64 = 0.1;

/// Number of observations from which a change is sent: single intervals vary by more than [`MIN_CHANGE`].
const MIN_COUNT: u32 = 4;

/// Time after which an interval is sent again while it is observed, in case a message was lost.
const RESEND_TIME: Duration = Duration::from_secs(4);

/// Age from which observations that were not sent are outdated.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Maximum number of records in a message; each has at most 16 bytes.
pub const MAX_RECORDS: usize = 64;

/// Bytes that the datagrams of one turn may have in total, with their headers: together 2.4 KB per second.
const TURN_BYTES: usize = 1_200;

/// Bytes of a message without its records: the headers of IP and UDP, the sender, the service and the signature.
const MESSAGE_BYTES: usize = 120;

/// Bytes of a record.
const RECORD_BYTES: usize = 14;

/// The pace of an engine, as instances report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceRecord {
    /// Hash of the engine's id.
    pub engine: u64,
    /// Mean interval between two events without other requests, in tenths of a millisecond.
    pub interval: u16,
    /// Number of intervals that were observed, at most 255.
    pub weight: u8,
}

impl PaceRecord {
    /// The mean interval.
    pub fn interval(&self) -> Duration {
        Duration::from_micros(u64::from(self.interval) * 100)
    }
}

/// A message with paces of engines of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceMessage {
    /// The service.
    pub service: String,
    /// Its engines, as far as the sender has news of them.
    pub records: Vec<PaceRecord>,
}

/// A message that is due, and the peers that it is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueMessage {
    /// The message.
    pub message: PaceMessage,
    /// Index of the first of the peers.
    pub first: usize,
    /// Number of peers, from the first on and from the beginning after the last.
    pub peers: usize,
}

/// Number of peers that a message with this number of records is sent to.
fn recipients(records: usize) -> usize {
    let bytes = MESSAGE_BYTES + records * RECORD_BYTES;
    (TURN_BYTES / bytes).max(1)
}

/// Own observations of an engine.
#[derive(Debug, Clone, Copy)]
struct Observations {
    engine: u64,
    /// Number and sum of the intervals since the last record, in seconds.
    count: u32,
    sum: f64,
    /// When the last of them was observed.
    at: Time,
    /// When the last record was made, and its interval; the time of the first observation and 0 before that.
    last: (Time, f64),
}

impl Observations {
    fn is_due(&self, now: Time) -> bool {
        let (sent, last) = self.last;
        let has_changed = (self.mean() - last).abs() > last * MIN_CHANGE;
        match self.count {
            0 => false,
            _ if now.since(self.at) > MAX_AGE => false,
            _ if now.since(sent) >= RESEND_TIME => true,
            count => count >= MIN_COUNT && has_changed,
        }
    }

    fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }

    fn take(&mut self, now: Time) -> PaceRecord {
        let mean = self.mean();
        let record = PaceRecord {
            engine: self.engine,
            // The conversion saturates.
            interval: (mean * 1e4).round() as u16,
            weight: u8::try_from(self.count).unwrap_or(u8::MAX),
        };
        self.count = 0;
        self.sum = 0.0;
        self.last = (now, mean);
        record
    }
}

/// A record that not all peers have been sent.
#[derive(Debug, Clone, Copy)]
struct Unsent {
    engine: EngineKey,
    record: PaceRecord,
    /// Number of peers that have not been sent it.
    peers: usize,
}

/// Own observations of the engines of a service, and the records that are being sent.
#[derive(Debug, Clone, Default)]
pub struct PaceReports {
    observed: BTreeMap<EngineKey, Observations>,
    unsent: Vec<Unsent>,
    /// Index of the next peer that is sent a message.
    next_peer: usize,
}

impl PaceReports {
    /// Records an interval without other requests, in seconds.
    pub fn on_interval(&mut self, now: Time, engine: &Engine, interval: f64) {
        let first = Observations {
            engine: engine.hash,
            count: 0,
            sum: 0.0,
            at: now,
            last: (now, 0.0),
        };
        let seen = self.observed.entry(engine.key).or_insert(first);
        if now.since(seen.at) > MAX_AGE {
            seen.count = 0;
            seen.sum = 0.0;
        }
        seen.at = now;
        seen.count = seen.count.saturating_add(1);
        seen.sum += interval;
    }

    /// Returns the next message of the service `name` to some of this number of peers; `None` if there is none.
    pub fn take_due(&mut self, now: Time, name: &str, peers: usize) -> Option<DueMessage> {
        if peers == 0 {
            return None;
        }
        self.add_due(now, peers);
        let records: Vec<PaceRecord> = self.unsent.iter().map(|u| u.record).collect();
        if records.is_empty() {
            return None;
        }
        let recipients = recipients(records.len()).min(peers);
        self.on_sent(recipients);
        let first = self.next_peer % peers;
        self.next_peer = (first + recipients) % peers;
        let service = name.to_string();
        Some(DueMessage {
            message: PaceMessage { service, records },
            first,
            peers: recipients,
        })
    }

    /// Adds the records that are due, up to the length of a message: those that were not sent for the longest time
    /// first. The others remain due.
    fn add_due(&mut self, now: Time, peers: usize) {
        let due = self.observed.iter().filter(|(_, seen)| seen.is_due(now));
        let mut due: Vec<(Time, EngineKey)> = due.map(|(key, seen)| (seen.last.0, *key)).collect();
        due.sort();
        for (_, engine) in due {
            let is_full = self.unsent.len() >= MAX_RECORDS;
            let current = self.unsent.iter_mut().find(|unsent| unsent.engine == engine);
            let Some(seen) = self
                .observed
                .get_mut(&engine)
                .filter(|_| current.is_some() || !is_full)
            else {
                continue;
            };
            let record = seen.take(now);
            match current {
                // Sending it to all peers once more would keep the waiting ones out of messages for ever.
                Some(current) if is_full => current.record = record,
                Some(current) => (current.record, current.peers) = (record, peers),
                None => self.unsent.push(Unsent {
                    engine,
                    record,
                    peers,
                }),
            }
        }
    }

    /// Records that all records were sent to a number of peers.
    fn on_sent(&mut self, peers: usize) {
        self.unsent.retain_mut(|unsent| {
            unsent.peers = unsent.peers.saturating_sub(peers);
            unsent.peers > 0
        });
    }

    /// Discards the observations of engines for which `known` returns false.
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(EngineKey) -> bool,
    {
        self.observed.retain(|engine, _| known(*engine));
        self.unsent.retain(|unsent| known(unsent.engine));
    }
}
