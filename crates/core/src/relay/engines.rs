//! The engines that registered themselves, and which of them may get work.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::relay::hash::Hash;
use crate::time::Time;

/// How long an engine whose entry vanished around an outage of the store may go on getting work. Entries that lapsed
/// meanwhile are back within about two seconds of the store's return if their engine lives; an engine that has left
/// must have no work two seconds after the store said so.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(1_700);

/// A call to the store that failed so short a time ago makes a vanished entry doubtful: a store that is back is asked
/// within the longest pause between two calls.
pub const STORE_FAILURE_WINDOW: Duration = Duration::from_millis(1_300);

/// An engine in one of its lives: another registration under the same id is another key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineKey(pub u32);

/// Which part of a model's work an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Everything, or it runs no model.
    Whole,
    /// Reads prompts for others.
    Prefill,
    /// Generates, and reads prompts that nobody read for it.
    Decode,
}

/// What an engine registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its id, new with each start.
    pub id: String,
    /// The service it is of.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it said that it leaves.
    pub leaving: bool,
    /// Which part of the work it does.
    pub stage: Stage,
    /// Whether it may be reclaimed, and costs less for that.
    pub spot: bool,
    /// Counts what the engine wrote of itself.
    pub sequence: u64,
    /// The store's revision at which the registration was created.
    pub create_revision: u64,
}

/// An engine that may be sent work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Its key.
    pub key: EngineKey,
    /// What it registered.
    pub entry: Entry,
    /// Hash of its id.
    pub hash: u64,
}

impl Engine {
    /// The engine with this key that registered so.
    pub fn new(key: EngineKey, entry: Entry) -> Engine {
        let hash = Hash::new().with(entry.id.as_bytes()).value();
        Engine { key, entry, hash }
    }
}

#[derive(Debug, Clone)]
struct KnownEngine {
    engine: Engine,
    revision: u64,
    /// When its entry vanished in doubt.
    missing_since: Option<Time>,
}

/// What is kept of an engine that is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Tombstone {
    revision: u64,
    sequence: u64,
}

/// What the store said of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineUpdate {
    /// Its entry, at this revision.
    Entry(u64, Entry),
    /// The engine of this id is gone since this revision.
    Removed(u64, String),
}

/// All engines, as the store last showed them.
///
/// Neither revisions nor what an engine wrote of itself go back. Failure guarded against: an engine says that it
/// leaves, and an earlier word of it reaches the store later; the entry shows it as ready again, or is created anew
/// after the engine has left, and work goes to an engine that ends under it. Each engine counts its words.
#[derive(Debug, Clone, Default)]
pub struct Engines {
    known: BTreeMap<String, KnownEngine>,
    tombstones: BTreeMap<String, Tombstone>,
    next: u32,
    store_failure: Option<Time>,
}

/// Ids of engines that are gone, kept against late news of peers.
const MAX_TOMBSTONES: usize = 1_024;

impl Engines {
    /// Nobody yet.
    pub fn new() -> Engines {
        Engines::default()
    }

    /// Notes that a call to the store failed.
    pub fn on_store_failure(&mut self, now: Time) {
        self.store_failure = Some(now);
    }

    /// Takes news; whether anything changed.
    pub fn on_update(&mut self, now: Time, news: EngineUpdate) -> bool {
        match news {
            EngineUpdate::Entry(revision, entry) => self.on_entry(revision, entry),
            EngineUpdate::Removed(revision, id) => self.on_removed(now, revision, id),
        }
    }

    /// Takes everything that the store holds as of `revision`; whether anything changed.
    pub fn on_snapshot(&mut self, now: Time, revision: u64, entries: Vec<(u64, Entry)>) -> bool {
        let named: BTreeSet<String> = entries.iter().map(|(_, e)| e.id.clone()).collect();
        let mut changed = false;
        for (at, entry) in entries {
            changed |= self.on_entry(at, entry);
        }
        let absent = |(id, known): (&String, &KnownEngine)| {
            (!named.contains(id) && known.revision <= revision).then(|| id.clone())
        };
        let absent: Vec<String> = self.known.iter().filter_map(absent).collect();
        for id in absent {
            changed |= self.on_removed(now, revision, id);
        }
        changed
    }

    fn on_entry(&mut self, revision: u64, entry: Entry) -> bool {
        let grave = self.tombstones.get(&entry.id);
        if grave.is_some_and(|g| g.revision >= revision || g.sequence >= entry.sequence) {
            return false;
        }
        if let Some(known) = self.known.get_mut(&entry.id) {
            if known.revision > revision || (known.revision == revision && known.missing_since.is_none()) {
                return false;
            }
            known.revision = revision;
            // The entry's revision is the store's count, its sequence the engine's own.
            if known.engine.entry.sequence > entry.sequence {
                return false;
            }
            known.missing_since = None;
            if known.engine.entry.create_revision == entry.create_revision {
                let changed = known.engine.entry != entry;
                known.engine.entry = entry;
                return changed;
            }
        }
        let key = EngineKey(self.next);
        self.next += 1;
        let id = entry.id.clone();
        self.tombstones.remove(&id);
        let known = KnownEngine {
            engine: Engine::new(key, entry),
            revision,
            missing_since: None,
        };
        self.known.insert(id, known);
        true
    }

    /// Failure guarded against: the store was away, all entries lapsed meanwhile, and on its return it shows no
    /// engine at all; every request would be refused until the engines have registered again. An entry that
    /// vanishes within [`DOUBT`] of a failed call keeps its engine for [`RETURN`]. An engine that left for good is
    /// found out by its first refused connection at the latest.
    fn on_removed(&mut self, now: Time, revision: u64, id: String) -> bool {
        let doubtful = self
            .store_failure
            .is_some_and(|at| now.since(at) < STORE_FAILURE_WINDOW);
        match self.known.get_mut(&id) {
            Some(known) if known.revision > revision => false,
            Some(known) if doubtful && !known.engine.entry.leaving => {
                known.revision = revision;
                known.missing_since.get_or_insert(now);
                false
            }
            Some(known) => {
                let sequence = known.engine.entry.sequence;
                self.known.remove(&id);
                self.add_tombstone(id, Tombstone { revision, sequence });
                true
            }
            None => {
                self.add_tombstone(
                    id,
                    Tombstone {
                        revision,
                        sequence: 0,
                    },
                );
                false
            }
        }
    }

    fn add_tombstone(&mut self, id: String, grave: Tombstone) {
        let kept = self.tombstones.entry(id).or_default();
        kept.revision = kept.revision.max(grave.revision);
        kept.sequence = kept.sequence.max(grave.sequence);
        while self.tombstones.len() > MAX_TOMBSTONES {
            let oldest = self.tombstones.iter().min_by_key(|(_, g)| g.revision);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                break;
            };
            self.tombstones.remove(&id);
        }
    }

    /// Drops engines whose entry did not come back in time; whether any was.
    pub fn on_tick(&mut self, now: Time) -> bool {
        let late = |known: &KnownEngine| {
            known
                .missing_since
                .is_some_and(|at| now.since(at) >= REREGISTRATION_GRACE)
        };
        let grave = |known: &KnownEngine| Tombstone {
            revision: known.revision,
            sequence: known.engine.entry.sequence,
        };
        let lost: Vec<(String, Tombstone)> = self
            .known
            .iter()
            .filter(|(_, known)| late(known))
            .map(|(id, known)| (id.clone(), grave(known)))
            .collect();
        for (id, grave) in &lost {
            self.known.remove(id);
            self.add_tombstone(id.clone(), *grave);
        }
        !lost.is_empty()
    }

    /// The engines that may get new work, by service, in the order of their ids.
    pub fn available(&self) -> BTreeMap<String, Vec<Engine>> {
        let mut services: BTreeMap<String, Vec<Engine>> = BTreeMap::new();
        let open = self.known.values().filter(|k| !k.engine.entry.leaving);
        for known in open {
            let service = services.entry(known.engine.entry.service.clone()).or_default();
            service.push(known.engine.clone());
        }
        services
    }

    /// Whether an engine's entry is missing in doubt.
    pub fn has_missing(&self) -> bool {
        self.known.values().any(|k| k.missing_since.is_some())
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
