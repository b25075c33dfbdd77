//! Selects the instances that watch the store on behalf of the fleet, and limits how old the data of the others may be.
//!
//! A few instances, spread across availability zones, watch the store. The others learn from the messages that they
//! receive from their peers anyway up to which revision a peer has read the store and when the store last confirmed
//! that. An instance that is behind requests the missing changes from such a peer. No agreement is needed: an instance
//! derives its own rank from the peers that it hears, two instances that disagree both watch, and an instance without a
//! recent confirmation watches the store itself, whichever instance should have done so.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::revision::Revision;
use crate::time::Time;

/// Instances per watcher: answering their requests takes a small part of a watcher's time.
const INSTANCES_PER_WATCHER: usize = 32;

/// Minimum number of watchers in a fleet: the loss of one may go unnoticed.
const MIN_WATCHERS: usize = 2;

/// Timeout of a watch, as a fraction of the [`ApplyLimit`]: a watch that gets no answer is detected by its deadline,
/// with time left to read everything.
const WATCH_FRACTION: f64 = 0.5;

/// Age of the last confirmation at which an instance that heard nothing watches the store itself, as a fraction of the
/// [`ApplyLimit`]. It is longer than the timeout of a watch, so that no other instance calls the store while the
/// watchers work, and it leaves time for the answer.
const FALLBACK_FRACTION: f64 = 0.7;

/// Age of the last confirmation at which a watch ends, as a fraction of the [`ApplyLimit`]: its answer reaches the other
/// instances before they watch the store themselves.
const CONFIRM_FRACTION: f64 = 0.6;

/// Fraction of the limit over which the instances spread that call: the first one to ask spares the others theirs.
const SPREAD_FRACTION: f64 = 0.1;

/// Shortest limit: a store can't be watched so closely that a change is applied sooner.
const MIN_APPLY_LIMIT: Duration = Duration::from_millis(500);

/// Longest limit: stores let a watch wait for about thirty seconds, and the timeout of a watch is half of the limit.
const MAX_APPLY_LIMIT: Duration = Duration::from_secs(20);

/// An instance that did not run for longer than this has received messages that are as old as the pause.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// How long after such a pause messages don't count as confirmations: the backlog is read immediately on resuming.
const BACKLOG_TIME: Duration = Duration::from_millis(200);

/// Retention of the last confirmation accepted from a process: longer than the longest fallback age, so that a
/// confirmation that is received again after this time is too old to count.
const CONFIRMATION_RETENTION: Duration = Duration::from_secs(60);

/// How long after its end a time without a confirmation is remembered: removals are not trusted for less long.
const SILENCE_RETENTION: Duration = Duration::from_secs(2);

/// Age of a proof from which on an instance asks the watchers for a newer one, as a fraction of the maximum age. It is
/// older than proofs become while watches work normally, so that watchers needn't ask.
const ASK_WATCHERS_FRACTION: f64 = 0.4;

/// Age from which on the first instance of each zone is asked as well as the watchers, as a fraction of the maximum
/// age.
const ASK_ALL_FRACTION: f64 = 0.55;

/// Age from which on an instance asks the store itself, as a fraction of the maximum age. The instances spread these
/// calls over [`SPREAD_FRACTION`].
const ASK_STORE_FRACTION: f64 = 0.75;

/// Pause after the first failed call; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause of a watcher after failed calls, before jitter: it lets a watcher notice within a second that the store
/// is back.
const MAX_WATCHER_BACKOFF: Duration = Duration::from_millis(800);

/// Longest pause of all other instances, before jitter: they usually learn from the watchers that the store is back, also
/// during the pause.
const MAX_LISTENER_BACKOFF: Duration = Duration::from_millis(2_000);

/// Shortest time that an instance waits for a peer's answer, also if a call to the store is due meanwhile: almost all answers
/// arrive within it.
const MIN_ASK_TIME: Duration = Duration::from_millis(200);

/// Longest time that an instance waits for a peer's answer.
const MAX_ASK_TIME: Duration = Duration::from_millis(800);

/// Range of the random factor by which a pause is multiplied.
const JITTER: Range<f64> = 0.5..1.5;

/// Time to read everything once a call succeeds, as a fraction of the [`ApplyLimit`].
const READ_FRACTION: f64 = 0.1;

/// Time limit of a question to a peer, if this instance calls the store itself in `left`.
///
/// Guards against an instance that asks a peer right before it would call the store, and goes on with old data because the
/// peer gives no answer.
pub fn ask_timeout(left: Duration) -> Duration {
    left.clamp(MIN_ASK_TIME, MAX_ASK_TIME)
}

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

/// Ranks instances as watchers: the first of each zone, then the second of each zone, and so on. Within a zone,
/// instances are ordered by descending capacity, then by name.
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
    /// Number of instances that rank before it.
    pub rank: usize,
    /// Number of instances.
    pub members: usize,
}

impl Default for FleetRank {
    /// The rank of an instance that hears no peers.
    fn default() -> FleetRank {
        FleetRank { rank: 0, members: 1 }
    }
}

impl FleetRank {
    /// The rank of the instance `name` among `ranked`, which is in the order of [`rank_candidates`].
    pub fn among(ranked: &[Candidate<'_>], name: &str) -> FleetRank {
        let rank = ranked.iter().position(|c| c.name == name);
        FleetRank {
            rank: rank.unwrap_or_default(),
            members: ranked.len().max(1),
        }
    }

    /// Whether it watches the store on behalf of the others.
    pub fn is_watcher(self) -> bool {
        self.rank < watcher_count(self.members)
    }
}

/// Time within which a change in the store must be applied, and the timeouts that follow from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ApplyLimit(pub Duration);

impl ApplyLimit {
    /// The limit `time`, clamped to what a watch can achieve.
    pub fn within(time: Duration) -> ApplyLimit {
        ApplyLimit(time.clamp(MIN_APPLY_LIMIT, MAX_APPLY_LIMIT))
    }

    /// How long a watch of the store waits for a change.
    pub fn watch_timeout(self) -> Duration {
        self.0.mul_f64(WATCH_FRACTION)
    }

    /// Pause of an instance of this rank after a call to the store that failed, as did the `failures` calls before it.
    /// The store answers a call within `answer_timeout`; `jitter`, 0 to 1, spreads the calls of different instances.
    pub fn backoff(self, rank: FleetRank, failures: u32, answer_timeout: Duration, jitter: f64) -> Duration {
        let max = match rank.is_watcher() {
            true => MAX_WATCHER_BACKOFF,
            false => MAX_LISTENER_BACKOFF,
        };
        let max = max.min(self.max_backoff(answer_timeout));
        let pause = INITIAL_BACKOFF.saturating_mul(1 << failures.min(8)).min(max);
        pause.mul_f64(JITTER.start + jitter * (JITTER.end - JITTER.start))
    }

    /// Longest pause, before jitter, with which a change is applied within the limit once the store is back: a call that
    /// is lost just before that, the pause, and reading everything.
    ///
    /// Guards against an instance that goes on with an old configuration although it reaches the store again, because the
    /// watchers that would have told it were stopped meanwhile.
    fn max_backoff(self, answer_timeout: Duration) -> Duration {
        let read = self.0.mul_f64(READ_FRACTION);
        let left = self.0.saturating_sub(answer_timeout + read);
        left.div_f64(JITTER.end).max(INITIAL_BACKOFF)
    }

    /// Age of the last confirmation at which an instance of this rank watches the store itself.
    pub fn fallback_age(self, rank: FleetRank) -> Duration {
        let fraction = rank.rank as f64 / rank.members.max(1) as f64;
        self.0.mul_f64(FALLBACK_FRACTION + SPREAD_FRACTION * fraction)
    }
}

/// The index of the peer to ask for changes after `revision`: one of those with the highest revision, selected by
/// `draw`; `None` if no peer is ahead.
///
/// Guards against all instances without a watch asking the same peer: on a small link the last one would get its answer
/// only after a second.
pub fn most_advanced(known: &[Revision], revision: Revision, draw: usize) -> Option<usize> {
    let highest = known
        .iter()
        .copied()
        .max()
        .filter(|highest| *highest > revision)?;
    let ahead: Vec<usize> = (0..known.len()).filter(|peer| known[*peer] == highest).collect();
    ahead.get(draw % ahead.len()).copied()
}

/// How far an instance has read the store, as reported to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SyncStatus {
    /// Revision up to which it has read the store.
    pub revision: Revision,
    /// Time since the store had nothing beyond that revision.
    pub age: Duration,
}

impl SyncStatus {
    /// The status as carried in messages, with its age in milliseconds.
    pub fn new(revision: Revision, millis: u32) -> SyncStatus {
        let age = Duration::from_millis(u64::from(millis));
        SyncStatus { revision, age }
    }

    /// The time whose state it shows, if its age counts from `from`; `None` if that is before the start of the clock.
    pub fn as_of(self, from: Time) -> Option<Time> {
        (from.since(Time::ZERO) >= self.age).then(|| from - self.age)
    }

    /// Its age in milliseconds, rounded up so that it is not reported as shorter than it is; `u32::MAX`, the maximum in
    /// messages, if it is older.
    pub fn age_millis(self) -> u32 {
        u32::try_from(self.age.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
    }
}

/// Identifies a confirmation by the store that the data of an instance is up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ConfirmationId {
    /// Random ID of the process whose call the store answered, new with each start.
    pub process: u64,
    /// Increases with each confirmation that this process receives from the store.
    pub number: u64,
}

/// How far an instance has read the store, and the store's confirmation of that, its own or one reported by a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmedStatus {
    /// The status.
    pub status: SyncStatus,
    /// The confirmation.
    pub confirmation: ConfirmationId,
}

impl ConfirmedStatus {
    /// The status as carried in messages, with its age in milliseconds.
    pub fn new(revision: Revision, millis: u32, confirmation: ConfirmationId) -> ConfirmedStatus {
        ConfirmedStatus {
            status: SyncStatus::new(revision, millis),
            confirmation,
        }
    }
}

/// The last confirmation accepted from another process.
#[derive(Debug, Clone, Copy)]
struct AcceptedConfirmation {
    number: u64,
    at: Time,
}

/// A time without a confirmation by the store.
#[derive(Debug, Clone, Copy)]
struct Silence {
    from: Time,
    until: Time,
}

impl Silence {
    fn length(self) -> Duration {
        self.until.since(self.from)
    }
}

/// How an instance follows the store now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchAction {
    /// Watch the store.
    Watch,
    /// Rely on the messages of peers until then.
    Listen(Time),
}

/// How far this instance has read the store, and when that was last confirmed to be up to date.
#[derive(Debug, Clone)]
pub struct SyncState {
    revision: Revision,
    confirmed: Option<Time>,
    /// The longest of the recent times without a confirmation.
    silence: Option<Silence>,
    /// The confirmation that `confirmed` is derived from.
    confirmation: ConfirmationId,
    /// Random ID of this process.
    process: u64,
    /// The last confirmation accepted from each other process.
    accepted: BTreeMap<u64, AcceptedConfirmation>,
    /// Time of the last [`SyncState::on_tick`].
    last_tick: Option<Time>,
    /// When it last resumed after a pause.
    resumed: Option<Time>,
    /// Time up to which all changes are proven to be read.
    proven: Option<Time>,
}

/// Peers to ask for a newer proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofPeers {
    /// None: the own proof is recent.
    Nobody,
    /// The watchers.
    Watchers,
    /// The watchers and the first instance of each zone.
    All,
}

/// The time up to which an answer of the store proves that there were no other changes. The call was sent at `sent` and
/// allowed the store to wait for `wait`; `is_quiet` says that the answer reports no change.
///
/// Guards against an answer that is delayed by seconds on its way. An answer that reports a change may have been sent
/// as soon as the call arrived; one sent because the wait was over was sent at the end of the wait.
pub fn proven_until(now: Time, sent: Time, wait: Duration, is_quiet: bool) -> Time {
    match is_quiet && now >= sent + wait {
        true => sent + wait,
        false => sent,
    }
}

impl SyncState {
    /// The state of an instance that has read nothing; `process` is the random ID of its process.
    pub fn new(process: u64) -> SyncState {
        SyncState {
            revision: Revision::ZERO,
            confirmed: None,
            silence: None,
            confirmation: ConfirmationId::default(),
            process,
            accepted: BTreeMap::new(),
            last_tick: None,
            resumed: None,
            proven: None,
        }
    }

    /// Revision up to which all changes were read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Time since the last confirmation; `None` if the store never gave one.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Handles an answer of the store: all changes up to `revision`, for a call sent at `sent` that allowed the store
    /// to wait for `wait`.
    ///
    /// Guards against an instance that is paused during its watch and on resuming takes an old answer for a current
    /// one, and against an answer that a link holds back: see [`proven_until`]. An answer of an earlier epoch of the store
    /// says nothing of what is known now.
    pub fn on_store_answer(&mut self, now: Time, sent: Time, wait: Duration, revision: Revision) {
        if revision.epoch < self.revision.epoch {
            return;
        }
        let answered = proven_until(now, sent, wait, revision <= self.revision);
        self.revision = self.revision.max(revision);
        let confirmation = ConfirmationId {
            process: self.process,
            number: answered.as_micros(),
        };
        self.confirm(answered, confirmation);
    }

    /// How long a watch waits that is sent now, `wait` at most: an answer without changes then confirms the data before the
    /// other instances watch the store themselves.
    pub fn watch_wait(&self, limit: ApplyLimit, now: Time, wait: Duration) -> Duration {
        let age = self.age(now).unwrap_or(Duration::MAX);
        wait.min(limit.0.mul_f64(CONFIRM_FRACTION).saturating_sub(age))
    }

    /// Records a confirmation as of `at`, unless a later one is known.
    fn confirm(&mut self, at: Time, confirmation: ConfirmationId) {
        if self.confirmed < Some(at) {
            let silence = self.confirmed.replace(at).map(|from| Silence { from, until: at });
            let is_kept = |kept: Silence| at.since(kept.until) < SILENCE_RETENTION;
            let kept = self.silence.filter(|kept| is_kept(*kept));
            self.silence = silence.into_iter().chain(kept).max_by_key(|s| s.length());
            self.confirmation = confirmation;
        }
    }

    /// When the store came back, if no instance that this one heard of had an answer from it for `min_outage` or longer.
    /// Its latest answer, or that of a peer, shows its state as of `latest`.
    pub fn outage_end(&self, latest: Time, min_outage: Duration) -> Option<Time> {
        let from = self.confirmed?;
        let silence = Silence { from, until: latest };
        let mut silences = self.silence.into_iter().chain([silence]);
        let outage = silences.rfind(|s| s.length() >= min_outage);
        outage.map(|outage| outage.until)
    }

    /// Time since the last proof that all changes were read; `None` without one. A status that peers send unasked is no
    /// proof: a message may be delayed by seconds.
    pub fn proof_age(&self, now: Time) -> Option<Duration> {
        self.proven.map(|at| now.since(at))
    }

    /// Handles a proof of the store that there were no unread changes up to `until`.
    pub fn on_proof(&mut self, until: Time) {
        self.proven = self.proven.max(Some(until));
    }

    /// Handles a peer's answer to a request for a proof sent at `asked`. Returns whether the peer has a higher
    /// revision.
    pub fn on_peer_proof(&mut self, asked: Time, status: SyncStatus) -> bool {
        if status.revision > self.revision {
            return true;
        }
        if !self.is_comparable(status) {
            return false;
        }
        if let Some(until) = status.as_of(asked) {
            self.on_proof(until);
        }
        false
    }

    /// The answer to a peer that asks for a proof.
    pub fn proof_status(&self, now: Time) -> Option<SyncStatus> {
        let (revision, age) = (self.revision, self.proof_age(now)?);
        Some(SyncStatus { revision, age })
    }

    /// Peers to ask for a newer proof, if a proof may be `limit` old.
    pub fn proof_peers(&self, limit: Duration, now: Time) -> ProofPeers {
        match self.proof_age(now) {
            Some(age) if age < limit.mul_f64(ASK_WATCHERS_FRACTION) => ProofPeers::Nobody,
            Some(age) if age < limit.mul_f64(ASK_ALL_FRACTION) => ProofPeers::Watchers,
            _ => ProofPeers::All,
        }
    }

    /// When to ask the store itself for a proof, if a proof may be `limit` old and peers have given none in time.
    pub fn store_proof_due(&self, rank: FleetRank, limit: Duration) -> Time {
        let fraction = rank.rank as f64 / rank.members.max(1) as f64;
        self.proven.unwrap_or(Time::ZERO) + limit.mul_f64(ASK_STORE_FRACTION + SPREAD_FRACTION * fraction)
    }

    /// Whether a status with a lower revision says that this instance has read all changes: not if it is of an earlier epoch of
    /// the store.
    ///
    /// Guards against the holder of a revoked key being let in by data that the store no longer has.
    fn is_comparable(&self, status: SyncStatus) -> bool {
        status.revision.epoch == self.revision.epoch
    }

    /// Records that all changes up to a peer's status, requested from the peer at `requested_at`, were applied.
    pub fn on_peer_changes(&mut self, requested_at: Time, status: ConfirmedStatus) {
        let ConfirmedStatus { status, confirmation } = status;
        self.revision = self.revision.max(status.revision);
        if !self.is_comparable(status) {
            return;
        }
        // Counted from the request, the age is never too low, so the confirmation need not be recorded as accepted.
        if let Some(at) = status.as_of(requested_at) {
            self.confirm(at, confirmation);
        }
    }

    /// Handles a status sent by a peer. Returns whether the peer has a higher revision.
    ///
    /// Guards against confirmations that never expire: the age in a message excludes its transit time, so instances
    /// that relay the same confirmation to each other would keep it recent, and none would call the store in place of
    /// watchers that have lost it. Each confirmation is therefore accepted only once, with the age in the first message
    /// that reports it.
    pub fn on_peer_status(&mut self, now: Time, status: ConfirmedStatus) -> bool {
        let ConfirmedStatus { status, confirmation } = status;
        if status.revision > self.revision {
            return true;
        }
        if !self.is_comparable(status) {
            return false;
        }
        self.detect_pause(now);
        let is_in_backlog = self.resumed.is_some_and(|at| now.since(at) < BACKLOG_TIME);
        let at = status.as_of(now);
        if let Some(at) = at.filter(|_| !is_in_backlog && self.is_new(confirmation)) {
            self.accept(now, confirmation);
            self.confirm(at, confirmation);
        }
        false
    }

    /// Whether a confirmation is from another process and later than the last one accepted from that process.
    fn is_new(&self, confirmation: ConfirmationId) -> bool {
        let ConfirmationId { process, number } = confirmation;
        let accepted = self.accepted.get(&process);
        process != self.process && accepted.is_none_or(|accepted| accepted.number < number)
    }

    fn accept(&mut self, now: Time, confirmation: ConfirmationId) {
        let ConfirmationId { process, number } = confirmation;
        self.accepted
            .retain(|_, accepted| now.since(accepted.at) < CONFIRMATION_RETENTION);
        self.accepted
            .insert(process, AcceptedConfirmation { number, at: now });
    }

    /// Notes that this instance runs; must be called more often than [`PAUSE_THRESHOLD`]. Returns how long it did not run
    /// if it has resumed after a pause.
    ///
    /// Guards against an instance that is paused and then takes the messages that arrived meanwhile for current ones.
    pub fn on_tick(&mut self, now: Time) -> Option<Duration> {
        self.detect_pause(now);
        let last_tick = self.last_tick.replace(now)?;
        Some(now.since(last_tick)).filter(|pause| *pause > PAUSE_THRESHOLD)
    }

    /// Records that this instance has resumed after a pause if its last tick is more than [`PAUSE_THRESHOLD`] ago. Also
    /// called for each message, because messages may be read before the first tick after a pause.
    fn detect_pause(&mut self, now: Time) {
        if self.last_tick.is_some_and(|at| now.since(at) > PAUSE_THRESHOLD) {
            self.resumed = Some(now);
        }
    }

    /// The status to send to peers; `None` until the store has confirmed anything.
    pub fn sync_status(&self, now: Time) -> Option<ConfirmedStatus> {
        let (revision, age) = (self.revision, self.age(now)?);
        Some(ConfirmedStatus {
            status: SyncStatus { revision, age },
            confirmation: self.confirmation,
        })
    }

    /// Whether to watch the store, or to rely on peers until the last confirmation is too old.
    pub fn watch_action(&self, rank: FleetRank, limit: ApplyLimit, now: Time) -> WatchAction {
        let Some(confirmed) = self.confirmed else {
            return WatchAction::Watch;
        };
        let until = confirmed + limit.fallback_age(rank);
        match rank.is_watcher() || now >= until {
            true => WatchAction::Watch,
            false => WatchAction::Listen(until),
        }
    }
}
