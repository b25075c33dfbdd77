//! Which instances watch the store for all, and how old what the others act on may be.
//!
//! A few instances of the fleet, spread across availability zones, ask the store. The others hear from their peers, in the
//! messages that they get anyway, up to which revision these know the store and when the store last confirmed it;
//! whoever is behind asks the peer for what it lacks. Nothing has to be agreed on: an instance works out its own place by
//! the peers that it hears, two that disagree both watch, and one that has heard no recent confirmation watches by itself,
//! whoever should have done so.

use std::cmp::Reverse;
use std::time::Duration;

use crate::time::Time;

/// Instances per watcher: answering their questions takes a small part of a watcher's time.
const INSTANCES_PER_WATCHER: usize = 32;

/// Minimum number of watchers in a fleet: the loss of one may go unnoticed.
const MIN_WATCHERS: usize = 2;

/// Part of the time within which a change must be in force for which a watch waits: one that falls silent is found out by
/// its deadline with time left to read everything.
const WATCH_FRACTION: f64 = 0.5;

/// Part of it after which an instance that heard nothing watches by itself: longer than a watch waits, so that nobody
/// calls the store while the watchers are well, and with time left for the answer.
const FALLBACK_FRACTION: f64 = 0.7;

/// Part of it over which the instances spread that call: the first one to ask spares the others theirs.
const SPREAD_FRACTION: f64 = 0.1;

/// A store can't be watched so closely that a change is in force sooner.
const MIN_APPLY_LIMIT: Duration = Duration::from_millis(500);

/// Stores let a watch wait for some thirty seconds, and it waits for half of this.
const MAX_APPLY_LIMIT: Duration = Duration::from_secs(20);

/// An instance that did not run for so long has messages waiting that are as old.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// How long it believes no message after that: what waited is read at once.
const BACKLOG_TIME: Duration = Duration::from_millis(200);

/// Part of the longest age of a proof from which on an instance asks its peers for a newer one: older than what a watch
/// shows in its ordinary course, so that watchers needn't ask.
const ASK_WATCHERS_FRACTION: f64 = 0.4;

/// Part of it from which on the first instance of each zone is asked as well as the watchers.
const ASK_ALL_FRACTION: f64 = 0.55;

/// Part of it from which on an instance asks the store itself; the instances spread these calls over [`SPREAD`].
const ASK_STORE_FRACTION: f64 = 0.75;

/// The number of watchers in a fleet of `members` instances.
pub fn watcher_count(members: usize) -> usize {
    members
        .div_ceil(INSTANCES_PER_WATCHER)
        .max(MIN_WATCHERS)
        .min(members)
}

/// An instance that may watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'n> {
    /// Availability zone.
    pub zone: &'n str,
    /// Capacity in thousandths of a core.
    pub capacity: u32,
    /// Name, unique in the fleet.
    pub name: &'n str,
}

/// Ranks instances as watchers: the first of each zone, then the second of each zone, and so on. Within a zone, instances
/// are ordered by descending capacity, then by name.
///
/// Guards against all watchers being in a single zone that is cut off.
pub fn rank_candidates(mut candidates: Vec<Candidate<'_>>) -> Vec<Candidate<'_>> {
    candidates.sort_by_key(|c| (c.zone, Reverse(c.capacity), c.name));
    let mut previous = None;
    let mut zone_rank = 0;
    let mut ranked: Vec<(usize, Candidate<'_>)> = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        zone_rank = if previous == Some(candidate.zone) {
            zone_rank + 1
        } else {
            0
        };
        previous = Some(candidate.zone);
        ranked.push((zone_rank, candidate));
    }
    ranked.sort_by_key(|(zone_rank, _)| *zone_rank);
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

/// The rank of an instance among those that it hears, itself included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetRank {
    /// How many come before it.
    pub rank: usize,
    /// How many there are.
    pub members: usize,
}

impl Default for FleetRank {
    /// An instance that hears nobody.
    fn default() -> FleetRank {
        FleetRank { rank: 0, members: 1 }
    }
}

impl FleetRank {
    /// The seat of the instance `name` among `ranked`, which is in the order of [`rank_candidates`].
    pub fn among(ranked: &[Candidate<'_>], name: &str) -> FleetRank {
        let rank = ranked.iter().position(|c| c.name == name);
        FleetRank {
            rank: rank.unwrap_or_default(),
            members: ranked.len().max(1),
        }
    }

    /// Whether it watches for the others.
    pub fn is_watcher(self) -> bool {
        self.rank < watcher_count(self.members)
    }
}

/// The times that follow from how soon a change must be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ApplyLimit(pub Duration);

impl ApplyLimit {
    /// The times by which a change is in force within `time`, as far as a watch can do that.
    pub fn within(time: Duration) -> ApplyLimit {
        ApplyLimit(time.clamp(MIN_APPLY_LIMIT, MAX_APPLY_LIMIT))
    }

    /// How long a watch waits.
    pub fn watch_timeout(self) -> Duration {
        self.0.mul_f64(WATCH_FRACTION)
    }

    /// How old what an instance knows may be until it watches by itself.
    pub fn fallback_age(self, seat: FleetRank) -> Duration {
        let turn = seat.rank as f64 / seat.members.max(1) as f64;
        self.0.mul_f64(FALLBACK_FRACTION + SPREAD_FRACTION * turn)
    }
}

/// Which of the peers that know the store furthest beyond `revision` is asked, by their revisions and a draw.
///
/// Failure guarded against: all that listen ask the same one, and on a small link the last gets its answer after a second.
pub fn most_advanced(known: &[u64], revision: u64, draw: usize) -> Option<usize> {
    let most = known.iter().copied().max().filter(|most| *most > revision)?;
    let ahead: Vec<usize> = (0..known.len()).filter(|peer| known[*peer] == most).collect();
    ahead.get(draw % ahead.len()).copied()
}

/// What a peer says of its knowledge of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SyncStatus {
    /// Up to which revision it knows the store.
    pub revision: u64,
    /// How long ago the store had nothing beyond that.
    pub age: Duration,
}

impl SyncStatus {
    /// The word as messages carry it: its age in milliseconds.
    pub fn new(revision: u64, millis: u32) -> SyncStatus {
        let age = Duration::from_millis(u64::from(millis));
        SyncStatus { revision, age }
    }

    /// Its age in milliseconds, the longest that messages carry if it is longer.
    pub fn age_millis(self) -> u32 {
        u32::try_from(self.age.as_millis()).unwrap_or(u32::MAX)
    }
}

/// What an instance is to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchAction {
    /// Watch the store.
    Watch,
    /// Listen to the peers until then.
    Listen(Time),
}

/// How far this instance knows the store, and since when that is all there is.
#[derive(Debug, Clone, Default)]
pub struct SyncState {
    revision: u64,
    confirmed: Option<Time>,
    /// The last time at which this instance ran.
    last_tick: Option<Time>,
    /// When it last ran again after a pause.
    resumed: Option<Time>,
    /// Everything up to then was taken in, by proof.
    proven: Option<Time>,
}

/// Whom an instance asks for a newer proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofPeers {
    /// Nobody: its own is new.
    Nobody,
    /// The watchers.
    Watchers,
    /// The watchers and the first instance of each zone.
    All,
}

/// Up to when an answer of the store proves that nothing else happened, one to a call sent at `sent` with leave to wait
/// for `wait`.
///
/// Failure guarded against: an answer is held up on its way for seconds. One that came because something happened may have
/// left at once; one that came because the wait was over left when it was over.
pub fn proven_until(now: Time, sent: Time, wait: Duration, is_quiet: bool) -> Time {
    match is_quiet && now >= sent + wait {
        true => sent + wait,
        false => sent,
    }
}

impl SyncState {
    /// Up to which revision everything was taken in.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// How old what it knows may be; `None` if the store never confirmed it.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Takes the store's own answer: all up to `revision`, asked for at `sent` with leave to wait for `wait`.
    ///
    /// Failure guarded against: an instance is paused while its watch waits, and when it goes on takes an answer from
    /// before for one of now. The store has answered when the wait was over at the latest.
    pub fn on_store_answer(&mut self, now: Time, sent: Time, wait: Duration, revision: u64) {
        self.revision = self.revision.max(revision);
        let answered = now.min(sent + wait);
        self.confirmed = self.confirmed.max(Some(answered));
    }

    /// How long ago everything is known up to, by proof; `None` without one. What peers say by themselves is none: a
    /// message may be held up for seconds.
    pub fn proof_age(&self, now: Time) -> Option<Duration> {
        self.proven.map(|at| now.since(at))
    }

    /// Takes the store's own proof that nothing that is not known happened up to `until`.
    pub fn on_proof(&mut self, until: Time) {
        self.proven = self.proven.max(Some(until));
    }

    /// Takes what a peer answered to a question that left at `asked`; whether the peer knows more.
    pub fn on_peer_proof(&mut self, asked: Time, word: SyncStatus) -> bool {
        if word.revision > self.revision {
            return true;
        }
        if asked.since(Time::ZERO) >= word.age {
            self.on_proof(asked - word.age);
        }
        false
    }

    /// What it answers to a peer that asks for a proof.
    pub fn proof_status(&self, now: Time) -> Option<SyncStatus> {
        let (revision, age) = (self.revision, self.proof_age(now)?);
        Some(SyncStatus { revision, age })
    }

    /// Whom to ask for a newer proof, if one may be `limit` old.
    pub fn proof_peers(&self, limit: Duration, now: Time) -> ProofPeers {
        match self.proof_age(now) {
            Some(age) if age < limit.mul_f64(ASK_WATCHERS_FRACTION) => ProofPeers::Nobody,
            Some(age) if age < limit.mul_f64(ASK_ALL_FRACTION) => ProofPeers::Watchers,
            _ => ProofPeers::All,
        }
    }

    /// When to ask the store itself for a proof that may be `limit` old: peers have given none in time.
    pub fn store_proof_due(&self, seat: FleetRank, limit: Duration) -> Time {
        let turn = seat.rank as f64 / seat.members.max(1) as f64;
        self.proven.unwrap_or(Time::ZERO) + limit.mul_f64(ASK_STORE_FRACTION + SPREAD_FRACTION * turn)
    }

    /// Takes in what a peer had: everything up to its word.
    pub fn on_peer_changes(&mut self, now: Time, word: SyncStatus) {
        self.revision = self.revision.max(word.revision);
        self.on_peer_status(now, word);
    }

    /// Takes what a peer says; whether the peer knows more.
    pub fn on_peer_status(&mut self, now: Time, word: SyncStatus) -> bool {
        if word.revision > self.revision {
            return true;
        }
        let is_backlog = self.resumed.is_some_and(|at| now.since(at) < BACKLOG_TIME);
        if !is_backlog && now.since(Time::ZERO) >= word.age {
            self.confirmed = self.confirmed.max(Some(now - word.age));
        }
        false
    }

    /// Notes that this instance runs; to be called more often than [`ASLEEP`].
    ///
    /// Failure guarded against: an instance is paused, and the messages that came meanwhile pass for ones of now.
    pub fn on_tick(&mut self, now: Time) {
        let latest = self.last_tick.replace(now);
        if latest.is_some_and(|at| now.since(at) > PAUSE_THRESHOLD) {
            self.resumed = Some(now);
        }
    }

    /// What it tells its peers; nothing before the store has confirmed anything.
    pub fn sync_status(&self, now: Time) -> Option<SyncStatus> {
        let (revision, age) = (self.revision, self.age(now)?);
        Some(SyncStatus { revision, age })
    }

    /// Whether to watch, or to listen until what it knows is too old.
    pub fn watch_action(&self, seat: FleetRank, bound: ApplyLimit, now: Time) -> WatchAction {
        let Some(confirmed) = self.confirmed else {
            return WatchAction::Watch;
        };
        let until = confirmed + bound.fallback_age(seat);
        match seat.is_watcher() || now >= until {
            true => WatchAction::Watch,
            false => WatchAction::Listen(until),
        }
    }
}
