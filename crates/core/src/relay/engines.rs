//! Registered engines, and which of them may get work.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::relay::hash::Hash;
use crate::relay::hash::hash_pair;
use crate::relay::revision::Revision;
use crate::relay::streams::SoftwareVersion;
use crate::relay::version_history::ServiceVersion;
use crate::time::Time;

/// How long after the store's return an engine whose entry has disappeared may still get work. Entries that expired
/// during an outage are back within about two seconds if their engines are alive. An engine that has left must get no
/// work two seconds after the store reported it.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(1_700);

/// Shortest time without contact to the store, as a multiple of the interval of the engines' heartbeats, in which
/// entries of live engines expire: after three intervals, of which half of one has passed on average.
const EXPIRY_INTERVALS: f64 = 2.5;

/// Shortest outage of the store in which entries expire, if engines renew them once in `heartbeat`.
pub fn min_expiry_outage(heartbeat: Duration) -> Duration {
    heartbeat.mul_f64(EXPIRY_INTERVALS)
}

/// Identifies one registration of an engine: a new registration under the same id gets a new key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineKey(pub u32);

/// Part of a model's work that an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// All of it, or the engine runs no model.
    Whole,
    /// Computes prefills for other engines.
    Prefill,
    /// Generates, and computes the prefill of prompts for which no other engine did.
    Decode,
}

/// Identifies one run of an engine process. It does not change when the engine registers again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// Hash of the engine's id.
    pub id: u64,
    /// Start time of the engine, see [`Entry::started`].
    pub started: Option<u64>,
}

impl Incarnation {
    /// Hash of the incarnation.
    pub fn hash(self) -> u64 {
        hash_pair(self.id, self.started.unwrap_or_default())
    }
}

/// Registration of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Id of the engine, new with each start.
    pub id: String,
    /// Service that the engine belongs to.
    pub service: String,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it announced that it is leaving.
    pub leaving: bool,
    /// Part of the work that it does.
    pub stage: Stage,
    /// Version of its software; empty if not reported.
    pub version: String,
    /// Whether it is a spot machine: cheaper, and may be reclaimed at any time.
    pub spot: bool,
    /// Sequence number of the engine's own updates to its entry.
    pub sequence: u64,
    /// Store revision at which the registration was created.
    pub create_revision: Revision,
    /// Start time of the engine, in milliseconds since the Unix epoch; `None` if not reported. A restarted engine may
    /// have the same id.
    pub started: Option<u64>,
}

/// An engine that may be sent work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Key of this registration.
    pub key: EngineKey,
    /// Its registration.
    pub entry: Entry,
    /// Hash of its id.
    pub hash: u64,
    /// Version of its software.
    pub version: SoftwareVersion,
}

impl Engine {
    /// Creates an engine from its registration.
    pub fn new(key: EngineKey, entry: Entry) -> Engine {
        let hash = Hash::new().with(entry.id.as_bytes()).value();
        let version = SoftwareVersion::of(&entry.version);
        Engine {
            key,
            entry,
            hash,
            version,
        }
    }

    /// The version that it serves its service at; `None` if it only computes prefills for other engines.
    pub fn service_version(&self) -> Option<ServiceVersion> {
        (self.entry.stage != Stage::Prefill).then(|| ServiceVersion {
            service: self.entry.service.clone(),
            version: self.version,
        })
    }

    /// Returns the incarnation of the engine.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.hash,
            started: self.entry.started,
        }
    }
}

#[derive(Debug, Clone)]
struct KnownEngine {
    engine: Engine,
    revision: Revision,
    /// Until when it is kept although its entry has disappeared.
    kept_until: Option<Time>,
    /// Revision of an entry that is no sign of life: its removal was seen, and the store was restored from a copy with it.
    copied: Option<Revision>,
}

/// What is kept of an engine that was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Tombstone {
    revision: Revision,
    version: EntryVersion,
}

/// Orders the updates of an engine: by start time first, because a restarted engine resets its sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
struct EntryVersion {
    started: Option<u64>,
    sequence: u64,
}

impl EntryVersion {
    fn of(entry: &Entry) -> EntryVersion {
        EntryVersion {
            started: entry.started,
            sequence: entry.sequence,
        }
    }
}

/// Whether two entries under the same id are of the same run of the engine.
///
/// Guards against forgetting the load of all engines when the store is restored: entries are written again then, and their
/// create revisions change. Only the start time tells a restarted engine after that.
fn is_same_registration(known: &Entry, entry: &Entry) -> bool {
    let is_restored = known.create_revision.epoch != entry.create_revision.epoch;
    known.started == entry.started && (is_restored || known.create_revision == entry.create_revision)
}

/// A change to one engine in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineUpdate {
    /// The engine's entry, with its revision.
    Entry(Revision, Entry),
    /// The engine with this id was removed at this revision.
    Removed(Revision, String),
}

/// All entries in the store.
#[derive(Debug, Clone, Default)]
pub struct EngineList {
    /// The entries that could be read, each with its revision.
    pub entries: Vec<(Revision, Entry)>,
    /// Ids of engines whose entry exists and could not be read.
    pub unreadable: BTreeSet<String>,
}

impl From<Vec<(Revision, Entry)>> for EngineList {
    fn from(entries: Vec<(Revision, Entry)>) -> EngineList {
        let unreadable = BTreeSet::new();
        EngineList { entries, unreadable }
    }
}

/// How an engine stopped being available for new work, or was kept although its entry has disappeared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// It announced that it is leaving.
    Announced,
    /// Its entry was removed.
    Removed,
    /// Its entry has disappeared, and it is kept because the removal is not trusted.
    Missing,
    /// Its entry did not come back in time.
    Overdue,
}

impl Departure {
    /// Name for the log.
    pub fn label(self) -> &'static str {
        match self {
            Departure::Announced => "announced",
            Departure::Removed => "removed",
            Departure::Missing => "missing",
            Departure::Overdue => "overdue",
        }
    }
}

/// All engines, as last seen in the store.
///
/// Neither store revisions nor an engine's own updates may go backwards. Failure guarded against: an engine announces
/// that it is leaving, and an earlier update of it reaches the store afterwards. The entry then shows it as ready
/// again, or is created anew after the engine has left, and work goes to an engine that is shutting down. Each engine
/// therefore numbers its updates, starting again after each restart.
#[derive(Debug, Clone, Default)]
pub struct Engines {
    known: BTreeMap<String, KnownEngine>,
    tombstones: BTreeMap<String, Tombstone>,
    next: u32,
    /// Until when removals are not trusted, because entries may have expired in an outage of the store.
    distrust_until: Option<Time>,
    /// What has happened since the last [`Engines::take_departures`].
    departures: Vec<(String, Departure)>,
    /// Versions that entries had which were replaced or removed since the last [`Engines::take_versions`].
    seen_versions: BTreeSet<ServiceVersion>,
}

/// Maximum number of removed engines that are remembered to reject late updates from peers.
const MAX_TOMBSTONES: usize = 1_024;

impl Engines {
    /// Creates an empty registry.
    pub fn new() -> Engines {
        Engines::default()
    }

    /// Records that the store is back since `at` after an outage in which entries may have expired. Must be called before
    /// the first answer after the outage is applied.
    pub fn on_outage_end(&mut self, at: Time) {
        self.distrust_until = Some(at + REREGISTRATION_GRACE);
    }

    /// Applies an update; returns whether anything changed.
    pub fn on_update(&mut self, now: Time, update: EngineUpdate) -> bool {
        match update {
            EngineUpdate::Entry(revision, entry) => self.on_entry(revision, entry),
            EngineUpdate::Removed(revision, id) => self.on_removed(now, revision, id),
        }
    }

    /// Applies the complete contents of the store as of `revision`; returns whether anything changed.
    ///
    /// An engine whose entry can't be read stays as it was known until its entry is removed or can be read again: to refuse its
    /// requests would serve nobody. If it has left, its first refused connection shows that at the latest.
    pub fn on_snapshot<L>(&mut self, now: Time, revision: Revision, list: L) -> bool
    where
        L: Into<EngineList>,
    {
        let EngineList {
            entries,
            unreadable: mut present,
        } = list.into();
        present.extend(entries.iter().map(|(_, e)| e.id.clone()));
        let mut changed = false;
        for (at, entry) in entries {
            changed |= self.on_entry(at, entry);
        }
        let absent = |(id, known): (&String, &KnownEngine)| {
            (!present.contains(id) && known.revision <= revision).then(|| id.clone())
        };
        let absent: Vec<String> = self.known.iter().filter_map(absent).collect();
        for id in absent {
            changed |= self.on_removed(now, revision, id);
        }
        changed
    }

    /// Returns the engines that have departed since the last call, by id.
    pub fn take_departures(&mut self) -> Vec<(String, Departure)> {
        std::mem::take(&mut self.departures)
    }

    /// Returns the versions that serve, at engines that leave too, and those of engines that have gone since the last call:
    /// an engine may come and go between two calls.
    pub fn take_versions(&mut self) -> BTreeSet<ServiceVersion> {
        let mut versions = std::mem::take(&mut self.seen_versions);
        versions.extend(self.known.values().filter_map(|k| k.engine.service_version()));
        versions
    }

    fn on_entry(&mut self, revision: Revision, entry: Entry) -> bool {
        let tombstone = self.tombstones.get(&entry.id);
        if tombstone.is_some_and(|t| t.revision >= revision || t.version >= EntryVersion::of(&entry)) {
            return false;
        }
        if let Some(known) = self.known.get_mut(&entry.id) {
            if known.revision > revision || (known.revision == revision && known.kept_until.is_none()) {
                return false;
            }
            let is_restored = revision.epoch > known.revision.epoch;
            known.revision = revision;
            // The revision is assigned by the store, the sequence number by the engine.
            let known_entry = &known.engine.entry;
            if EntryVersion::of(known_entry) > EntryVersion::of(&entry) {
                return false;
            }
            let is_unchanged = EntryVersion::of(known_entry) == EntryVersion::of(&entry);
            if is_restored && is_unchanged && known.kept_until.is_some() {
                known.copied = Some(revision);
            }
            if known.copied == Some(revision) {
                return false;
            }
            known.kept_until = None;
            known.copied = None;
            if is_same_registration(known_entry, &entry) {
                let changed = *known_entry != entry;
                if entry.leaving && !known_entry.leaving {
                    self.departures.push((entry.id.clone(), Departure::Announced));
                }
                let engine = Engine::new(known.engine.key, entry);
                let before = std::mem::replace(&mut known.engine, engine);
                self.seen_versions.extend(before.service_version());
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
            kept_until: None,
            copied: None,
        };
        let before = self.known.insert(id, known);
        self.seen_versions
            .extend(before.and_then(|known| known.engine.service_version()));
        true
    }

    /// Failure guarded against: the store was down, all entries expired meanwhile, and on its return it shows no
    /// engines at all; every request would be refused until the engines have registered again. If an entry disappears
    /// within [`REREGISTRATION_GRACE`] of the store's return, its engine is kept until the end of that time, however
    /// late this instance learns of it. An engine that has really left is detected by its first refused connection at
    /// the latest.
    /// Whether the entry of an engine is known, or was until it was removed.
    pub fn has_known(&self, id: &str) -> bool {
        self.known.contains_key(id) || self.tombstones.contains_key(id)
    }

    fn on_removed(&mut self, now: Time, revision: Revision, id: String) -> bool {
        let kept_until = self.distrust_until.filter(|until| now < *until);
        match self.known.get_mut(&id) {
            Some(known) if known.revision > revision => false,
            Some(known) if kept_until.is_some() && !known.engine.entry.leaving => {
                known.revision = revision;
                if known.kept_until.is_none() {
                    known.kept_until = kept_until;
                    self.departures.push((id, Departure::Missing));
                }
                false
            }
            Some(known) => {
                let version = EntryVersion::of(&known.engine.entry);
                self.seen_versions.extend(known.engine.service_version());
                self.known.remove(&id);
                self.departures.push((id.clone(), Departure::Removed));
                self.add_tombstone(id, Tombstone { revision, version });
                true
            }
            None => {
                self.add_tombstone(
                    id,
                    Tombstone {
                        revision,
                        version: EntryVersion::default(),
                    },
                );
                false
            }
        }
    }

    fn add_tombstone(&mut self, id: String, tombstone: Tombstone) {
        let kept = self.tombstones.entry(id).or_default();
        kept.revision = kept.revision.max(tombstone.revision);
        kept.version = kept.version.max(tombstone.version);
        while self.tombstones.len() > MAX_TOMBSTONES {
            let oldest = self.tombstones.iter().min_by_key(|(_, t)| t.revision);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                break;
            };
            self.tombstones.remove(&id);
        }
    }

    /// Removes engines whose entry did not come back in time; returns whether any was removed.
    pub fn on_tick(&mut self, now: Time) -> bool {
        let is_overdue = |known: &KnownEngine| known.kept_until.is_some_and(|until| now >= until);
        let tombstone = |known: &KnownEngine| Tombstone {
            revision: known.revision,
            version: EntryVersion::of(&known.engine.entry),
        };
        let overdue: Vec<(String, Tombstone)> = self
            .known
            .iter()
            .filter(|(_, known)| is_overdue(known))
            .map(|(id, known)| (id.clone(), tombstone(known)))
            .collect();
        for (id, tombstone) in &overdue {
            let removed = self.known.remove(id);
            self.seen_versions
                .extend(removed.and_then(|known| known.engine.service_version()));
            self.departures.push((id.clone(), Departure::Overdue));
            self.add_tombstone(id.clone(), *tombstone);
        }
        !overdue.is_empty()
    }

    /// Returns the engines that may get new work, by service, in the order of their ids.
    pub fn available(&self) -> BTreeMap<String, Vec<Engine>> {
        let mut services: BTreeMap<String, Vec<Engine>> = BTreeMap::new();
        let available = self.known.values().filter(|k| !k.engine.entry.leaving);
        for known in available {
            let service = services.entry(known.engine.entry.service.clone()).or_default();
            service.push(known.engine.clone());
        }
        services
    }

    /// Returns the incarnations of all known engines, including leaving ones.
    pub fn incarnations(&self) -> BTreeSet<Incarnation> {
        self.known.values().map(|k| k.engine.incarnation()).collect()
    }

    /// Whether any engine is kept although its entry has disappeared.
    pub fn has_missing(&self) -> bool {
        self.known.values().any(|k| k.kept_until.is_some())
    }

    /// Returns the number of known engines.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no engine is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
