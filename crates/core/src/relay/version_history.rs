//! Which software versions of the engines have served each service.
//!
//! Failure guarded against: a stream of which no record is found is taken for one of the only version that this process
//! has seen, but another one served before the process started, or while it was cut off. A version is certain only if
//! the history is complete for as long as a stream may last. The history therefore outlives the processes: the
//! [`VersionRecord`] in the store names all versions that may have begun a stream that still runs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::streams::MAX_LIFETIME;
use crate::relay::streams::SoftwareVersion;
use crate::time::Time;

/// How long after its end a version is added to a record that lacks it. Shorter than the time after which it is removed,
/// so that instances that disagree by a moment do not add and remove it in turn.
const MAX_ADDED_AGE: Duration = Duration::from_secs(30);

/// A version that serves a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceVersion {
    /// The service.
    pub service: String,
    /// The version of its engines.
    pub version: SoftwareVersion,
}

/// The versions of each service that may have begun a stream that still runs, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The versions by service.
    pub services: BTreeMap<String, BTreeSet<SoftwareVersion>>,
}

impl VersionRecord {
    fn add(&mut self, entry: &ServiceVersion) {
        let versions = self.services.entry(entry.service.clone()).or_default();
        versions.insert(entry.version);
    }

    fn entries(&self) -> impl Iterator<Item = ServiceVersion> + '_ {
        self.services.iter().flat_map(|(service, versions)| {
            versions.iter().map(|version| ServiceVersion {
                service: service.clone(),
                version: *version,
            })
        })
    }
}

/// Time that a history covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Coverage {
    /// The contents of the store have not been read.
    #[default]
    Nothing,
    /// The time since then.
    Since(Time),
    /// The time before the start of the process as well.
    Everything,
}

/// What is known of a version.
#[derive(Debug, Clone, Copy)]
struct Served {
    /// When it was last seen to serve; `None` while it does.
    ended: Option<Time>,
    /// Whether this process has seen it serve, and not only read it in the record.
    is_seen: bool,
}

impl Served {
    /// Whether it may have begun a stream that still runs.
    fn is_recent(self, now: Time) -> bool {
        self.ended.is_none_or(|at| now.since(at) < MAX_LIFETIME)
    }

    /// Whether it is added to a record that lacks it.
    fn is_added(self, now: Time) -> bool {
        self.is_seen && self.ended.is_none_or(|at| now.since(at) < MAX_ADDED_AGE)
    }
}

/// The versions that have served lately.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    served: BTreeMap<ServiceVersion, Served>,
    coverage: Coverage,
    /// When engines may last have served unseen.
    gap: Option<Time>,
}

impl VersionHistory {
    /// An empty history, which covers no time.
    pub fn new() -> VersionHistory {
        VersionHistory::default()
    }

    /// Records which versions serve from now on, at engines that leave too.
    pub fn on_served(&mut self, now: Time, serving: &BTreeSet<ServiceVersion>) {
        for served in self.served.values_mut() {
            served.ended.get_or_insert(now);
        }
        let served = Served {
            ended: None,
            is_seen: true,
        };
        for entry in serving {
            self.served.insert(entry.clone(), served);
        }
        self.expire(now);
    }

    /// Notes that an engine may have served and left unseen: for as long as its streams may last, no version is certain.
    pub fn on_gap(&mut self, now: Time) {
        self.gap = Some(now);
    }

    /// Handles the record in the store. Only instances with a complete history create it, so it covers the time before
    /// this process. A version that it names may have served again until now, even if it was seen to end before.
    pub fn on_record(&mut self, now: Time, record: &VersionRecord) {
        let served = Served {
            ended: Some(now),
            is_seen: false,
        };
        for entry in record.entries() {
            let known = self.served.entry(entry).or_insert(served);
            known.ended = known.ended.map(|_| now);
        }
        self.coverage = Coverage::Everything;
    }

    /// Handles contents of the store that lack the record. If they lack a configuration as well (`is_unused`), nothing has
    /// been served yet.
    pub fn on_no_record(&mut self, now: Time, is_unused: bool) {
        if self.coverage == Coverage::Nothing {
            self.coverage = match is_unused {
                true => Coverage::Everything,
                false => Coverage::Since(now),
            };
        }
    }

    /// The version of all streams of a service: the only one that has served for as long as a stream may last. `None` if
    /// there were several, or the history is not complete.
    pub fn only_version(&self, now: Time, service: &str) -> Option<SoftwareVersion> {
        if !self.is_complete(now) {
            return None;
        }
        let served = self.served.iter();
        let mut recent = served.filter(|(entry, served)| entry.service == service && served.is_recent(now));
        let (first, _) = recent.next()?;
        recent.next().is_none().then_some(first.version)
    }

    /// The record that is to replace `current` in the store; `None` if none is.
    ///
    /// Versions are removed only if `may_remove`: one instance at a time does.
    pub fn next_record(
        &mut self,
        now: Time,
        current: Option<&VersionRecord>,
        may_remove: bool,
    ) -> Option<VersionRecord> {
        self.expire(now);
        let is_complete = self.is_complete(now);
        if current.is_none() && !is_complete {
            return None;
        }
        let mut next = VersionRecord::default();
        let is_kept = |entry: &ServiceVersion| !may_remove || !is_complete || self.served.contains_key(entry);
        for entry in current.iter().flat_map(|record| record.entries()).filter(is_kept) {
            next.add(&entry);
        }
        for (entry, served) in &self.served {
            if current.is_none() || served.is_added(now) {
                next.add(entry);
            }
        }
        (current != Some(&next)).then_some(next)
    }

    fn is_complete(&self, now: Time) -> bool {
        if self.gap.is_some_and(|at| now.since(at) < MAX_LIFETIME) {
            return false;
        }
        match self.coverage {
            Coverage::Nothing => false,
            Coverage::Since(start) => now.since(start) >= MAX_LIFETIME,
            Coverage::Everything => true,
        }
    }

    fn expire(&mut self, now: Time) {
        self.served.retain(|_, served| served.is_recent(now));
    }
}
