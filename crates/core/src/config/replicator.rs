//! Replication of the configuration: accepts changes submitted here and follows those accepted elsewhere.
//!
//! A change is accepted by one compare-and-swap on the head's key, which compares the key's revision in the
//! key-value service. A proposal whose swap fails on a conflict is checked again on the head that won; see
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

/// Delay before a failed call to the key-value service is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Timeout of a fetch from a peer, after which another peer may be asked.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a newly started instance waits for the key-value service before it asks a peer.
const STARTUP_WAIT: Duration = Duration::from_secs(2);

/// Identifies a proposal that was submitted to this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubmissionId(pub u64);

/// Result of a compare-and-swap on the head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapResult {
    /// The swap took effect.
    Done(Revision),
    /// The swap did not take effect, because the key holds this head.
    Conflict(StoredHead),
    /// The swap did not take effect, for another reason.
    Failed,
    /// The swap may have taken effect.
    Unknown,
    /// The head is too large to be stored, in bytes.
    TooLarge(usize),
}

/// Input to the [`Replicator`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A read or a watch returned the head.
    Read(StoredHead),
    /// The read requested by [`Action::Read`] failed.
    ReadFailed,
    /// The snapshot requested by [`Action::ReadSnapshot`]; `None` if it is absent or the read failed.
    Snapshot(Option<Box<State>>),
    /// An operator submitted a proposal.
    Submitted(SubmissionId, Box<Proposal>),
    /// Whether the snapshot of this version, requested by [`Action::StoreSnapshot`], is stored.
    SnapshotStored(SubmissionId, Version, bool),
    /// Result of [`Action::SwapHead`].
    Swapped(SubmissionId, SwapResult),
    /// A peer reported that it has this version in force.
    PeerVersion(SocketAddr, Version),
    /// The response of the peer to [`Action::Fetch`]; `None` if there was none.
    Fetched(Option<Update>),
    /// Periodic timer.
    Tick,
}

/// Output of the [`Replicator`], for its driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the head, and report [`Event::Read`] or [`Event::ReadFailed`].
    Read,
    /// Read the snapshot of this version, and report [`Event::Snapshot`].
    ReadSnapshot(Version),
    /// Store a snapshot under its version, unless one is stored already.
    StoreSnapshot(SubmissionId, Box<State>),
    /// Replace the head if the key still has the revision.
    SwapHead(SubmissionId, Revision, Box<Head>),
    /// Remove the snapshot of this version, which no reader can need.
    RemoveSnapshot(Version),
    /// Request from the peer the changes after the version.
    Fetch(SocketAddr, Version),
    /// A new version is in force: publish it.
    Publish,
    /// Answer the operator who submitted the proposal.
    Answer(SubmissionId, Result<Outcome, SubmitError>),
    /// An input older than what is known was ignored; its version.
    Stale(Version),
    /// An input that contradicts what is known was ignored.
    Inconsistent(ApplyError),
}

/// A submitted change that was accepted and is in force here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// The version that the change produced.
    pub version: Version,
    /// Whether the change was accepted before it was submitted here.
    pub repeated: bool,
}

/// Why a submitted proposal failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// The proposal conflicts with the configuration or another change.
    #[error(transparent)]
    Rejected(#[from] ProposalError),
    /// The proposal was not accepted in time, and won't be later.
    #[error("the change was not accepted before the timeout; nothing was changed")]
    TimedOut,
    /// The resulting head is too large to be stored; its size in bytes.
    #[error("the change makes a value of {0} bytes, too large to store; split it into several changes")]
    TooLarge(usize),
    /// The proposal may or may not have been accepted.
    #[error("it is unknown whether the change was accepted: no proof of it was found before the timeout")]
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Waits for the head, or for the state to catch up with it.
    Waiting,
    /// Waits until this time before the next attempt.
    Paused(Time),
    Storing,
    Swapping,
}

#[derive(Debug)]
struct Submission {
    proposal: Proposal,
    started: Time,
    step: Step,
    /// Revision compared by our last swap, as long as its result is unknown.
    swap_revision: Option<Revision>,
    /// Whether a swap was attempted.
    swap_tried: bool,
    /// The new head in our last swap.
    offered_head: Option<Head>,
    /// Snapshot that no reader needs once our last swap has taken effect.
    outdated_snapshot: Option<Version>,
    /// Version whose snapshot we tried to store, and whether that succeeded.
    snapshot: Option<(Version, bool)>,
}

/// Replicates the configuration on one instance. This is a state machine without I/O.
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
    /// Creates a replicator that has the empty configuration and fails proposals that are not accepted within
    /// `timeout`. `now` is the start time of the process.
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

    /// The update for a peer that has version `after` in force.
    pub fn update_after(&self, after: Version) -> Update {
        self.follower.update_after(after)
    }

    /// Handles `event` and returns the actions to carry out.
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
            Event::Submitted(id, proposal) => self.submit(now, id, *proposal),
            Event::SnapshotStored(id, version, stored) => {
                self.on_snapshot_stored(now, id, (version, stored));
            }
            Event::Swapped(id, swapped) => self.on_swapped(now, id, swapped),
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
        let requested = self.snapshot.take();
        match snapshot {
            Some(state) if Some(state.version) == requested => {
                let offered = state.version;
                let progress = self.follower.on_snapshot(*state);
                self.on_progress(now, progress, offered);
            }
            // The snapshot was removed after the head was read, or the call failed: start again from the head.
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

    /// Fetches from the peer with the highest version, one peer at a time.
    ///
    /// Failure guarded against: the key-value service is slow or unavailable, and for that long an accepted change is
    /// not in force here. The change is fetched from a peer that has it; each heartbeat carries its sender's version.
    fn fetch(&mut self, now: Time) {
        let fetching = self
            .fetch_started
            .is_some_and(|since| now.since(since) < FETCH_TIMEOUT);
        if fetching || self.is_starting(now) {
            return;
        }
        let ours = self.follower.state().version;
        self.peer_versions.retain(|_, version| *version > ours);
        let furthest_ahead = self.peer_versions.iter().max_by_key(|(_, version)| **version);
        if let Some(peer) = furthest_ahead.map(|(peer, _)| *peer) {
            self.peer_versions.remove(&peer);
            self.fetch_started = Some(now);
            self.actions.push(Action::Fetch(peer, ours));
        }
    }

    /// Whether this instance has just started and should wait for the key-value service.
    ///
    /// Guards against a configuration that goes back to an older version over a restart: a peer that is itself behind
    /// would send an old configuration to an instance that had a later one before its restart. The key-value service is
    /// asked first; only if it does not answer does the instance fetch from the peer with the highest version.
    fn is_starting(&self, now: Time) -> bool {
        self.follower.stored().is_none() && now.since(self.started) < STARTUP_WAIT
    }

    fn submit(&mut self, now: Time, id: SubmissionId, proposal: Proposal) {
        let submission = Submission {
            proposal,
            started: now,
            step: Step::Waiting,
            swap_revision: None,
            swap_tried: false,
            offered_head: None,
            outdated_snapshot: None,
            snapshot: None,
        };
        self.submissions.insert(id, submission);
        self.attempt(now, id);
    }

    /// Attempts the proposals that are waiting for the head or the state.
    fn resume(&mut self, now: Time) {
        let waiting = self
            .submissions
            .iter()
            .filter(|(_, submission)| submission.step == Step::Waiting);
        let waiting: Vec<SubmissionId> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            self.attempt(now, id);
        }
    }

    fn pause_waiting(&mut self, now: Time) {
        for submission in self
            .submissions
            .values_mut()
            .filter(|submission| submission.step == Step::Waiting)
        {
            submission.step = Step::Paused(now + RETRY_DELAY);
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
        let due = |submission: &Submission| match submission.step {
            Step::Paused(until) => now >= until,
            Step::Waiting => now.since(submission.started) >= self.timeout,
            Step::Storing | Step::Swapping => false,
        };
        let due: Vec<SubmissionId> = self
            .submissions
            .iter()
            .filter(|(_, j)| due(j))
            .map(|(t, _)| *t)
            .collect();
        for id in due {
            self.attempt(now, id);
        }
    }

    fn read(&mut self) {
        if !self.reading {
            self.reading = true;
            self.actions.push(Action::Read);
        }
    }

    fn answer(&mut self, id: SubmissionId, answer: Result<Outcome, SubmitError>) {
        self.submissions.remove(&id);
        self.actions.push(Action::Answer(id, answer));
    }

    /// Whether the last swap of this submission may still take effect: the key may still have the expected revision.
    fn may_take_effect(&self, submission: &Submission) -> bool {
        let revision = self.follower.stored().map(|s| s.revision);
        submission.swap_revision.is_some() && (revision.is_none() || submission.swap_revision >= revision)
    }

    /// Takes the next step towards accepting the submission `id`.
    fn attempt(&mut self, now: Time, id: SubmissionId) {
        let Some(mut submission) = self.submissions.remove(&id) else {
            return;
        };
        submission.step = Step::Waiting;
        if let CommandStatus::Accepted(version) = self.follower.state().find(submission.proposal.id) {
            if let Some(outdated) = submission.outdated_snapshot {
                self.actions.push(Action::RemoveSnapshot(outdated));
            }
            let repeated = !submission.swap_tried;
            return self.answer(id, Ok(Outcome { version, repeated }));
        }
        if now.since(submission.started) >= self.timeout {
            let refused = match self.may_take_effect(&submission) {
                true => SubmitError::Unknown,
                false => SubmitError::TimedOut,
            };
            return self.answer(id, Err(refused));
        }
        let version = self.follower.state().version;
        let ready = self
            .follower
            .stored()
            .filter(|s| s.head.version == version)
            .cloned();
        match ready {
            Some(stored) => self.propose(id, submission, &stored),
            None => {
                self.submissions.insert(id, submission);
                if self.snapshot.is_none() {
                    self.read();
                }
            }
        }
    }

    fn propose(&mut self, id: SubmissionId, mut submission: Submission, stored: &StoredHead) {
        let head = &stored.head;
        let state = self.follower.state();
        // No configuration was in force here when the statement came in: the operator did not base it on version 0.
        if submission.proposal.base == Base::Implied(Version::default()) {
            submission.proposal.base = Base::Implied(state.version);
        }
        match head.check(state, &submission.proposal) {
            Err(rejected) => return self.answer(id, Err(rejected.into())),
            Ok(Some(version)) => {
                let repeated = !submission.swap_tried;
                return self.answer(id, Ok(Outcome { version, repeated }));
            }
            Ok(None) => {}
        }
        let base_head = match submission
            .snapshot
            .filter(|(version, _)| *version == head.version)
        {
            None if head.is_long() => {
                let state = Box::new(state.clone());
                submission.step = Step::Storing;
                self.submissions.insert(id, submission);
                return self.actions.push(Action::StoreSnapshot(id, state));
            }
            Some((_, true)) => {
                // A reader may still hold a head whose base is `head.base`. A reader of a head whose base is
                // `head.prior` is a whole tail behind; it finds no snapshot and starts again from the head.
                submission.outdated_snapshot = Some(head.prior).filter(|prior| *prior > Version::default());
                head.shorten()
            }
            // Without a snapshot, the change is appended to the long tail; a later writer shortens it.
            _ => head.clone(),
        };
        match base_head.push(state, &submission.proposal) {
            Err(rejected) => self.answer(id, Err(rejected.into())),
            Ok(next) => {
                submission.step = Step::Swapping;
                submission.swap_revision = Some(stored.revision);
                submission.swap_tried = true;
                submission.offered_head = Some(next.clone());
                self.submissions.insert(id, submission);
                self.actions
                    .push(Action::SwapHead(id, stored.revision, Box::new(next)));
            }
        }
    }

    fn on_snapshot_stored(&mut self, now: Time, id: SubmissionId, snapshot: (Version, bool)) {
        let head = self.follower.stored().map(|s| s.head.clone()).unwrap_or_default();
        match self.submissions.get_mut(&id) {
            Some(submission) if head.version == snapshot.0 => submission.snapshot = Some(snapshot),
            _ => self.discard(Some(snapshot), &head),
        }
        self.attempt(now, id);
    }

    fn on_swapped(&mut self, now: Time, id: SubmissionId, swapped: SwapResult) {
        let Some(submission) = self.submissions.get_mut(&id) else {
            return;
        };
        submission.step = Step::Waiting;
        match swapped {
            SwapResult::Done(revision) => {
                if let Some(head) = submission.offered_head.take() {
                    self.on_stored(now, StoredHead { revision, head });
                }
            }
            SwapResult::Conflict(stored) => {
                submission.swap_revision = None;
                submission.outdated_snapshot = None;
                let snapshot = submission.snapshot.take();
                self.discard(snapshot, &stored.head);
                self.on_stored(now, stored);
            }
            SwapResult::Failed => {
                submission.swap_revision = None;
                submission.step = Step::Paused(now + RETRY_DELAY);
            }
            SwapResult::TooLarge(bytes) => self.answer(id, Err(SubmitError::TooLarge(bytes))),
            // Read the head again: it contains the command id if the swap took effect.
            SwapResult::Unknown => self.read(),
        }
    }

    /// Removes the snapshot that we stored for a swap that failed or was not attempted, unless the head refers to it.
    /// No later head can refer to it: a swap at its version would compare an outdated revision.
    fn discard(&mut self, snapshot: Option<(Version, bool)>, head: &Head) {
        let Some((version, true)) = snapshot else { return };
        if head.version > version && head.base != version && head.prior != version {
            self.actions.push(Action::RemoveSnapshot(version));
        }
    }
}
