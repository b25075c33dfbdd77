//! Which software version of the engines began each stream.
//!
//! Failure guarded against: a stream holds events of engines of two versions, which do not fit together. It is broken
//! off and continued by another engine, within one answer or when its caller takes it up, at any instance. Engines
//! don't check this.
//!
//! The instance that passes on the first event of a stream records the version and tells the [`homes`] of the stream, a
//! few peers that every instance computes alike. An instance at which the stream is taken up and that does not know it
//! asks them. A record lasts as long as the caller of the stream waits. Where no record is found, the version may follow
//! from the [`version_history`](crate::relay::version_history). While it does not, instances also keep the records of
//! their own streams in the store, for the case that all of them end at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::hash::Hash;
use crate::relay::hash::hash_pair;
use crate::relay::tunnel_peers::address_hash;
use crate::time::Time;

/// Number of peers that are told of a stream. If three in five instances are killed at the same time, one of 50 streams
/// is known to none of them any more; fewer peers would lose far more, more would cost each instance of a large fleet
/// more than it may spend on control.
pub const HOMES: usize = 8;

/// Maximum time for which a record is kept: callers wait less for a stream.
pub const MAX_LIFETIME: Duration = Duration::from_secs(60);

/// Maximum number of records; those that expire first are removed first. Two megabytes.
const MAX_RECORDS: usize = 32_768;

/// Identifies a stream: a hash of the id of the caller's attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(u64);

impl StreamId {
    /// The stream that the attempt with this id began.
    pub fn of(attempt: &[u8]) -> StreamId {
        StreamId(Hash::new().with(attempt).value())
    }
}

/// A software version of engines: a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SoftwareVersion(u64);

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl SoftwareVersion {
    /// The version with this name.
    pub fn of(name: &str) -> SoftwareVersion {
        SoftwareVersion(Hash::new().with(name.as_bytes()).value())
    }
}

/// The version of a stream, as instances tell each other. Their clocks can't be compared, so it contains a remaining
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub stream: StreamId,
    /// The version that began it.
    pub version: SoftwareVersion,
    /// Milliseconds for which its caller still waits.
    pub left: u32,
}

impl StreamRecord {
    /// The record of a stream whose caller waits for `left`.
    pub fn new(stream: StreamId, version: SoftwareVersion, left: Duration) -> StreamRecord {
        let left = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        StreamRecord {
            stream,
            version,
            left,
        }
    }

    /// Time for which its caller still waits.
    fn left(&self) -> Duration {
        Duration::from_millis(u64::from(self.left))
    }
}

#[derive(Debug, Clone)]
struct Known {
    version: SoftwareVersion,
    until: Time,
    /// Service of the stream, if this instance has begun or continued it.
    owner: Option<String>,
}

/// The streams that this instance knows.
#[derive(Debug, Clone, Default)]
pub struct Streams {
    known: BTreeMap<StreamId, Known>,
    /// Keys of `known`, by the time until which each is kept.
    expiries: BTreeSet<(Time, StreamId)>,
    /// Streams that peers are still to be told of.
    unsent: Vec<StreamId>,
}

impl Streams {
    /// No streams.
    pub fn new() -> Streams {
        Streams::default()
    }

    /// Records a stream of `service`: an engine delivered its first event, or it is taken up and can have no other version.
    pub fn on_begun(&mut self, now: Time, service: &str, record: StreamRecord) {
        self.on_record(now, record);
        self.on_continued(service, record.stream);
        self.unsent.push(record.stream);
    }

    /// Records that this instance continues a stream of `service` that it has a record of.
    pub fn on_continued(&mut self, service: &str, stream: StreamId) {
        if let Some(known) = self.known.get_mut(&stream) {
            known.owner.get_or_insert_with(|| service.to_string());
        }
    }

    /// Records what a peer or the store reports. A stream has one version for ever, so a record is never replaced by a
    /// different one.
    pub fn on_record(&mut self, now: Time, record: StreamRecord) {
        let StreamRecord { stream, version, .. } = record;
        let until = now + record.left().min(MAX_LIFETIME);
        let known = self.known.entry(stream).or_insert(Known {
            version,
            until,
            owner: None,
        });
        let before = known.until;
        known.until = before.max(until);
        self.expiries.remove(&(before, stream));
        self.expiries.insert((known.until, stream));
        while self.known.len() > MAX_RECORDS {
            self.remove_first();
        }
    }

    /// Removes the record that expires first.
    fn remove_first(&mut self) {
        if let Some((_, stream)) = self.expiries.pop_first() {
            self.known.remove(&stream);
        }
    }

    /// The record of a stream.
    pub fn record(&self, now: Time, stream: StreamId) -> Option<StreamRecord> {
        let known = self.known.get(&stream).filter(|known| known.until > now)?;
        Some(StreamRecord::new(stream, known.version, known.until.since(now)))
    }

    /// The records that peers are to be told, each once.
    pub fn take_unsent(&mut self, now: Time) -> Vec<StreamRecord> {
        let unsent = std::mem::take(&mut self.unsent);
        unsent
            .into_iter()
            .filter_map(|stream| self.record(now, stream))
            .collect()
    }

    /// Removes the records that have expired.
    pub fn expire(&mut self, now: Time) {
        while self.expiries.first().is_some_and(|(until, _)| *until <= now) {
            self.remove_first();
        }
    }

    /// The records of the streams that this instance has begun or continued, of the services that `is_wanted` selects.
    pub fn own_records<F>(&self, now: Time, is_wanted: F) -> Vec<StreamRecord>
    where
        F: Fn(&str) -> bool,
    {
        let wanted = |known: &Known| known.until > now && known.owner.as_deref().is_some_and(&is_wanted);
        let own = self.known.iter().filter(|(_, known)| wanted(known));
        own.map(|(stream, known)| StreamRecord::new(*stream, known.version, known.until.since(now)))
            .collect()
    }

    /// Whether there is room for records that nobody has asked for, beside those that this instance must keep.
    pub fn has_spare_room(&self) -> bool {
        self.known.len() < MAX_RECORDS / 2
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// The peers that are told of a stream, and asked for it: the same at every instance that has the same peers.
pub fn homes<I>(peers: I, stream: StreamId) -> Vec<SocketAddr>
where
    I: Iterator<Item = SocketAddr>,
{
    let mut ranked: Vec<(u64, SocketAddr)> = peers
        .map(|peer| (hash_pair(stream.0, address_hash(peer)), peer))
        .collect();
    if ranked.len() > HOMES {
        ranked.select_nth_unstable(HOMES);
        ranked.truncate(HOMES);
    }
    ranked.into_iter().map(|(_, peer)| peer).collect()
}
