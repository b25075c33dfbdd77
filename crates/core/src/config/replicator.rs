//! Accepting changes and following those of others: the decisions of the configuration's keeper.
//!
//! A change is accepted by one compare-and-swap on the head's key, compared on the key-value service's own
//! version of the key. The swap that loses is worked out anew on the head that won; see
//! `docs/design/config.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::config::ApplyError;
use crate::config::Base;
use crate::config::CommandStatus;
use crate::config::Follower;
use crate::config::Head;
use crate::config::Progress;
use crate::config::Proposal;
use crate::config::ProposalError;
use crate::config::Revision;
use crate::config::State;
use crate::config::StoredHead;
use crate::config::Update;
use crate::config::Version;
use crate::time::Time;

/// Pause before a failed call to the key-value service is made again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long a fetch from a peer may take before another peer is asked.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an instance that has just started waits for the key-value service before it asks a peer.
const STARTUP_WAIT: Duration = Duration::from_secs(2);

/// Names a proposal that was submitted here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubmissionId(pub u64);

/// How a swap of the head ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapResult {
    /// It took effect.
    Done(Revision),
    /// It did not: the key stands so.
    Conflict(StoredHead),
    /// It did not take effect, for another reason.
    Failed,
    /// It may have taken effect.
    Unknown,
    /// The head is too large to be stored, in bytes.
    TooLarge(usize),
}

/// What the keeper is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A watch gave the head, or a read did.
    Read(StoredHead),
    /// The read asked for by [`Action::Read`] gave nothing.
    ReadFailed,
    /// The snapshot asked for; `None` if there was none or no answer.
    Snapshot(Option<Box<State>>),
    /// An operator proposes a change.
    Submitted(SubmissionId, Box<Proposal>),
    /// Whether the snapshot of this version, asked for by [`Action::Store`], is in place.
    SnapshotStored(SubmissionId, Version, bool),
    /// How [`Action::Swap`] ended.
    Swapped(SubmissionId, SwapResult),
    /// A peer has this version in force.
    PeerVersion(SocketAddr, Version),
    /// What the peer asked by [`Action::Fetch`] told; `None` if nothing.
    Fetched(Option<Update>),
    /// Time passed.
    Tick,
}

/// What the keeper wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the head; give [`Event::Read`] or [`Event::ReadFailed`].
    Read,
    /// Read the snapshot of this version.
    ReadSnapshot(Version),
    /// Store a snapshot under its version if there is none yet.
    StoreSnapshot(SubmissionId, Box<State>),
    /// Swap in the head if the key still has the revision.
    SwapHead(SubmissionId, Revision, Box<Head>),
    /// Remove the snapshot of this version: no reader can need it.
    RemoveSnapshot(Version),
    /// Ask the peer for what came after the version.
    Fetch(SocketAddr, Version),
    /// A new version is in force: publish it.
    Publish,
    /// Tell the operator.
    Answer(SubmissionId, Result<Outcome, SubmitError>),
    /// Input older than what is known was ignored; the version it offered.
    Stale(Version),
    /// Input contradicts what is known and was ignored.
    Inconsistent(ApplyError),
}

/// A change that is in force here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// The version that it made.
    pub version: Version,
    /// Whether it had been accepted before it was submitted here.
    pub repeated: bool,
}

/// Why a proposal was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// It stands against the configuration or another change.
    #[error(transparent)]
    Rejected(#[from] ProposalError),
    /// It was not accepted in time, and won't be.
    #[error("the change was not accepted in time; nothing changed")]
    TimedOut,
    /// It is too large to be stored.
    #[error("the change makes a value of {0} bytes, too many; give it in parts")]
    TooLarge(usize),
    /// It may or may not have been accepted.
    #[error("it could not be found out in time whether the change was accepted")]
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Waits for the head, or for the state to reach it.
    Waiting,
    /// Waits until the time for another try.
    Paused(Time),
    Storing,
    Swapping,
}

#[derive(Debug)]
struct Submission {
    proposal: Proposal,
    started: Time,
    step: Step,
    /// Revision that our last swap compared with, while its fate is open.
    swap_revision: Option<Revision>,
    /// Whether a swap was tried.
    swap_tried: bool,
    /// The head that our last swap offered.
    offered_head: Option<Head>,
    /// Snapshot that nobody needs once our last swap took effect.
    outdated_snapshot: Option<Version>,
    /// Version whose snapshot we stored, or failed to store.
    snapshot: Option<(Version, bool)>,
}

/// Keeper of the configuration of one instance.
#[derive(Debug)]
pub struct Replicator {
    follower: Follower,
    started: Time,
    timeout: Duration,
    submissions: BTreeMap<SubmissionId, Submission>,
    reading: bool,
    snapshot: Option<Version>,
    fetch_started: Option<Time>,
    peer_versions: BTreeMap<SocketAddr, Version>,
    actions: Vec<Action>,
}

impl Replicator {
    /// A keeper that knows only the empty configuration and gives each proposal `timeout`. `now` is the start of
    /// its process.
    pub fn new(now: Time, timeout: Duration) -> Replicator {
        Replicator {
            follower: Follower::default(),
            started: now,
            timeout,
            submissions: BTreeMap::new(),
            reading: false,
            snapshot: None,
            fetch_started: None,
            peer_versions: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// The configuration in force.
    pub fn state(&self) -> &State {
        self.follower.state()
    }

    /// What to tell a peer that has version `after` in force.
    pub fn update_after(&self, after: Version) -> Update {
        self.follower.update_after(after)
    }

    /// Works out what to do about `event`.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Read(stored) => {
                self.reading = false;
                self.on_stored(now, stored);
            }
            Event::ReadFailed => {
                self.reading = false;
                self.pause_waiting(now);
            }
            Event::Snapshot(snapshot) => self.on_snapshot(now, snapshot),
            Event::Submitted(ticket, proposal) => self.submit(now, ticket, *proposal),
            Event::SnapshotStored(ticket, version, stored) => {
                self.on_snapshot_stored(now, ticket, (version, stored));
            }
            Event::Swapped(ticket, swapped) => self.on_swapped(now, ticket, swapped),
            Event::PeerVersion(peer, version) => {
                self.peer_versions.insert(peer, version);
                self.fetch(now);
            }
            Event::Fetched(update) => self.on_fetched(now, update),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    fn on_stored(&mut self, now: Time, stored: StoredHead) {
        let offered = stored.head.version;
        let progress = self.follower.on_stored(stored);
        self.on_progress(now, progress, offered);
    }

    fn on_progress(&mut self, now: Time, progress: Progress, offered: Version) {
        match progress {
            Progress::Advanced => {
                self.actions.push(Action::Publish);
                self.resume(now);
            }
            Progress::Unchanged => self.resume(now),
            Progress::Stale => {
                self.actions.push(Action::Stale(offered));
                self.pause_waiting(now);
            }
            Progress::Inconsistent(error) => {
                self.actions.push(Action::Inconsistent(error));
                self.pause_waiting(now);
            }
            Progress::NeedsSnapshot(base) => {
                if self.snapshot.is_none() {
                    self.snapshot = Some(base);
                    self.actions.push(Action::ReadSnapshot(base));
                }
            }
        }
    }

    fn on_snapshot(&mut self, now: Time, snapshot: Option<Box<State>>) {
        let asked = self.snapshot.take();
        match snapshot {
            Some(state) if Some(state.version) == asked => {
                let offered = state.version;
                let progress = self.follower.on_snapshot(*state);
                self.on_progress(now, progress, offered);
            }
            // The snapshot was removed since the head was read, or the call failed: begin with the head again.
            _ => self.pause_waiting(now),
        }
    }

    fn on_fetched(&mut self, now: Time, update: Option<Update>) {
        self.fetch_started = None;
        let Some(update) = update else { return };
        let offered = update.version();
        let progress = self.follower.on_update(update);
        self.on_progress(now, progress, offered);
        self.fetch(now);
    }

    /// Asks the peer that is farthest ahead, one at a time.
    ///
    /// Failure guarded against: the key-value service is slow or out and an accepted change isn't in force here
    /// for as long. A peer that has it tells it instead; its version digest comes with each heartbeat.
    fn fetch(&mut self, now: Time) {
        let busy = self
            .fetch_started
            .is_some_and(|since| now.since(since) < FETCH_TIMEOUT);
        if busy || self.is_starting(now) {
            return;
        }
        let ours = self.follower.state().version;
        self.peer_versions.retain(|_, version| *version > ours);
        let farthest = self.peer_versions.iter().max_by_key(|(_, version)| **version);
        if let Some(peer) = farthest.map(|(peer, _)| *peer) {
            self.peer_versions.remove(&peer);
            self.fetch_started = Some(now);
            self.actions.push(Action::Fetch(peer, ours));
        }
    }

    /// Guards against a configuration that goes back over a restart: a peer that is itself behind would tell an
    /// old one to an instance that knew a later one before it was restarted. The key-value service is asked
    /// first; only if it gives no answer does the instance trust the peer that is farthest ahead.
    fn is_starting(&self, now: Time) -> bool {
        self.follower.stored().is_none() && now.since(self.started) < STARTUP_WAIT
    }

    fn submit(&mut self, now: Time, ticket: SubmissionId, proposal: Proposal) {
        let job = Submission {
            proposal,
            started: now,
            step: Step::Waiting,
            swap_revision: None,
            swap_tried: false,
            offered_head: None,
            outdated_snapshot: None,
            snapshot: None,
        };
        self.submissions.insert(ticket, job);
        self.attempt(now, ticket);
    }

    /// Tries the proposals that waited for the head or the state.
    fn resume(&mut self, now: Time) {
        let waiting = self
            .submissions
            .iter()
            .filter(|(_, job)| job.step == Step::Waiting);
        let waiting: Vec<SubmissionId> = waiting.map(|(ticket, _)| *ticket).collect();
        for ticket in waiting {
            self.attempt(now, ticket);
        }
    }

    fn pause_waiting(&mut self, now: Time) {
        for job in self
            .submissions
            .values_mut()
            .filter(|job| job.step == Step::Waiting)
        {
            job.step = Step::Paused(now + RETRY_DELAY);
        }
    }

    fn tick(&mut self, now: Time) {
        self.fetch(now);
        let behind = self
            .follower
            .stored()
            .is_some_and(|s| s.head.version > self.follower.state().version);
        if behind && self.snapshot.is_none() {
            let base = self.follower.stored().map(|s| s.head.base).unwrap_or_default();
            self.snapshot = Some(base);
            self.actions.push(Action::ReadSnapshot(base));
            self.read();
        }
        let due = |job: &Submission| match job.step {
            Step::Paused(until) => now >= until,
            Step::Waiting => now.since(job.started) >= self.timeout,
            Step::Storing | Step::Swapping => false,
        };
        let due: Vec<SubmissionId> = self
            .submissions
            .iter()
            .filter(|(_, j)| due(j))
            .map(|(t, _)| *t)
            .collect();
        for ticket in due {
            self.attempt(now, ticket);
        }
    }

    fn read(&mut self) {
        if !self.reading {
            self.reading = true;
            self.actions.push(Action::Read);
        }
    }

    fn answer(&mut self, ticket: SubmissionId, answer: Result<Outcome, SubmitError>) {
        self.submissions.remove(&ticket);
        self.actions.push(Action::Answer(ticket, answer));
    }

    /// Whether the last swap of this job may still take effect: the key stands as the swap expects it.
    fn may_take_effect(&self, job: &Submission) -> bool {
        let revision = self.follower.stored().map(|s| s.revision);
        job.swap_revision.is_some() && (revision.is_none() || job.swap_revision >= revision)
    }

    /// One step towards accepting the proposal of `ticket`.
    fn attempt(&mut self, now: Time, ticket: SubmissionId) {
        let Some(mut job) = self.submissions.remove(&ticket) else {
            return;
        };
        job.step = Step::Waiting;
        if let CommandStatus::Accepted(version) = self.follower.state().find(job.proposal.id) {
            if let Some(outdated) = job.outdated_snapshot {
                self.actions.push(Action::RemoveSnapshot(outdated));
            }
            let repeated = !job.swap_tried;
            return self.answer(ticket, Ok(Outcome { version, repeated }));
        }
        if now.since(job.started) >= self.timeout {
            let refused = match self.may_take_effect(&job) {
                true => SubmitError::Unknown,
                false => SubmitError::TimedOut,
            };
            return self.answer(ticket, Err(refused));
        }
        let version = self.follower.state().version;
        let ready = self
            .follower
            .stored()
            .filter(|s| s.head.version == version)
            .cloned();
        match ready {
            Some(stored) => self.propose(ticket, job, &stored),
            None => {
                self.submissions.insert(ticket, job);
                if self.snapshot.is_none() {
                    self.read();
                }
            }
        }
    }

    fn propose(&mut self, ticket: SubmissionId, mut job: Submission, stored: &StoredHead) {
        let head = &stored.head;
        let state = self.follower.state();
        // Nothing was in force here when the statement came in: its operator has not decided on version 0.
        if job.proposal.base == Base::Implied(Version::default()) {
            job.proposal.base = Base::Implied(state.version);
        }
        match head.check(state, &job.proposal) {
            Err(rejected) => return self.answer(ticket, Err(rejected.into())),
            Ok(Some(version)) => {
                let repeated = !job.swap_tried;
                return self.answer(ticket, Ok(Outcome { version, repeated }));
            }
            Ok(None) => {}
        }
        let basis = match job.snapshot.filter(|(version, _)| *version == head.version) {
            None if head.is_long() => {
                let state = Box::new(state.clone());
                job.step = Step::Storing;
                self.submissions.insert(ticket, job);
                return self.actions.push(Action::StoreSnapshot(ticket, state));
            }
            Some((_, true)) => {
                // A reader may still hold a head that names `head.base`; one that names `head.prior` is a whole
                // tail behind, finds nothing and begins again with the head.
                job.outdated_snapshot = Some(head.prior).filter(|prior| *prior > Version::default());
                head.shorten()
            }
            // Without a snapshot the change goes on top of the long tail; a later writer shortens it.
            _ => head.clone(),
        };
        match basis.push(state, &job.proposal) {
            Err(rejected) => self.answer(ticket, Err(rejected.into())),
            Ok(next) => {
                job.step = Step::Swapping;
                job.swap_revision = Some(stored.revision);
                job.swap_tried = true;
                job.offered_head = Some(next.clone());
                self.submissions.insert(ticket, job);
                self.actions
                    .push(Action::SwapHead(ticket, stored.revision, Box::new(next)));
            }
        }
    }

    fn on_snapshot_stored(&mut self, now: Time, ticket: SubmissionId, snapshot: (Version, bool)) {
        let head = self.follower.stored().map(|s| s.head.clone()).unwrap_or_default();
        match self.submissions.get_mut(&ticket) {
            Some(job) if head.version == snapshot.0 => job.snapshot = Some(snapshot),
            _ => self.discard(Some(snapshot), &head),
        }
        self.attempt(now, ticket);
    }

    fn on_swapped(&mut self, now: Time, ticket: SubmissionId, swapped: SwapResult) {
        let Some(job) = self.submissions.get_mut(&ticket) else {
            return;
        };
        job.step = Step::Waiting;
        match swapped {
            SwapResult::Done(revision) => {
                if let Some(head) = job.offered_head.take() {
                    self.on_stored(now, StoredHead { revision, head });
                }
            }
            SwapResult::Conflict(stored) => {
                job.swap_revision = None;
                job.outdated_snapshot = None;
                let snapshot = job.snapshot.take();
                self.discard(snapshot, &stored.head);
                self.on_stored(now, stored);
            }
            SwapResult::Failed => {
                job.swap_revision = None;
                job.step = Step::Paused(now + RETRY_DELAY);
            }
            SwapResult::TooLarge(bytes) => self.answer(ticket, Err(SubmitError::TooLarge(bytes))),
            // Read back: the command id in the head is the proof that it took effect.
            SwapResult::Unknown => self.read(),
        }
    }

    /// Removes the snapshot that we stored for a swap that lost or wasn't tried, unless the head builds on it.
    /// Nobody can come to build on it: a swap at its version compares with a revision that is past.
    fn discard(&mut self, snapshot: Option<(Version, bool)>, head: &Head) {
        let Some((version, true)) = snapshot else { return };
        if head.version > version && head.base != version && head.prior != version {
            self.actions.push(Action::RemoveSnapshot(version));
        }
    }
}
