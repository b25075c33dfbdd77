//! Proofs that an instance has read all changes of the store. The seeded run draws when the store changes, how long
//! each message and each answer of the store is delayed, when the store is restored from a copy, and which instances are
//! paused.
//! `SEQUOIASTREAM_SEEDS=1000..5000` runs other seeds.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::watchers::ConfirmationId;
use sequoiastream_core::relay::watchers::ConfirmedStatus;
use sequoiastream_core::relay::watchers::FleetRank;
use sequoiastream_core::relay::watchers::ProofPeers;
use sequoiastream_core::relay::watchers::SyncState;
use sequoiastream_core::relay::watchers::SyncStatus;
use sequoiastream_core::relay::watchers::proven_until;
use sequoiastream_core::time::Time;

use crate::claims::client::PrintSeedOnPanic;
use crate::claims::client::seeds_or;
use crate::relay::rev;

const STEP: Duration = Duration::from_millis(20);

const LIMIT: Duration = Duration::from_secs(4);

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

#[test]
fn proof_by_answer() {
    let wait = Duration::from_millis(1_500);
    assert_eq!(
        proven_until(at(1_510), at(0), wait, true),
        at(1_500),
        "there was no change during the whole wait"
    );
    assert_eq!(
        proven_until(at(9_000), at(0), wait, true),
        at(1_500),
        "the answer was delayed afterwards"
    );
    assert_eq!(
        proven_until(at(1_510), at(0), wait, false),
        at(0),
        "the answer may have been sent at once"
    );
    assert_eq!(
        proven_until(at(700), at(0), wait, true),
        at(0),
        "the watch ended early"
    );
}

#[test]
fn asks_by_age() {
    let mut state = SyncState::new(0);
    assert_eq!(state.proof_peers(LIMIT, at(0)), ProofPeers::All);
    state.on_proof(at(0));
    assert_eq!(state.proof_peers(LIMIT, at(1_500)), ProofPeers::Nobody);
    assert_eq!(state.proof_peers(LIMIT, at(1_700)), ProofPeers::Watchers);
    assert_eq!(state.proof_peers(LIMIT, at(2_300)), ProofPeers::All);
    let rank = FleetRank { rank: 5, members: 10 };
    assert_eq!(state.store_proof_due(rank, LIMIT), at(3_200));
}

/// Guards against the answer to a request that was sent long ago making the data appear recent.
#[test]
fn peer_proof_counts_from_question() {
    let mut state = SyncState::new(0);
    let status = |revision, age| SyncStatus::new(revision, age);
    assert!(
        state.on_peer_proof(at(0), status(rev(3), 10)),
        "the peer knows more"
    );
    assert_eq!(state.proof_age(at(0)), None);
    let confirmation = ConfirmationId {
        process: 1,
        number: 1,
    };
    state.on_peer_changes(at(0), ConfirmedStatus::new(rev(3), 10, confirmation));
    assert!(!state.on_peer_proof(at(100), status(rev(3), 10)));
    assert_eq!(state.proof_age(at(5_000)), Some(Duration::from_millis(4_910)));
    assert!(
        !state.on_peer_proof(at(50), status(rev(2), 10)),
        "an older answer changes nothing"
    );
    assert_eq!(state.proof_age(at(5_000)), Some(Duration::from_millis(4_910)));
}

/// A message to an instance.
#[derive(Debug, Clone, Copy)]
enum Message {
    /// A peer's request for a proof: the peer and the time at which it sent the request.
    Request(usize, Time),
    /// A peer's response: the time at which the request was sent, and the status that the peer reported.
    Response(Time, SyncStatus),
    /// The store's answer to a watch: the time at which the watch was sent, whether there was no change, and the
    /// revision that the answer reaches.
    WatchAnswer(Time, bool, Revision),
}

struct World {
    rng: ChaCha8Rng,
    /// Time and revision of each change. A restoration of the store is one too: the first of a new epoch.
    changes: Vec<(Time, Revision)>,
    states: Vec<SyncState>,
    paused: Vec<Time>,
    watching: Vec<bool>,
    messages: BTreeMap<(Time, u64), (usize, Message)>,
    count: u64,
}

const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);

impl World {
    fn new(seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..8);
        World {
            rng,
            changes: Vec::new(),
            states: vec![SyncState::new(0); count],
            paused: vec![Time::ZERO; count],
            watching: vec![false; count],
            messages: BTreeMap::new(),
            count: 0,
        }
    }

    fn send(&mut self, from: Time, to: usize, message: Message) {
        let max_delay = if self.rng.random_bool(0.2) { 6_000 } else { 30 };
        let delay = Duration::from_millis(self.rng.random_range(0..max_delay));
        self.count += 1;
        self.messages.insert((from + delay, self.count), (to, message));
    }

    fn revision(&self, now: Time) -> Revision {
        let changes = self.changes.iter().take_while(|(at, _)| *at <= now);
        changes.last().map_or(Revision::ZERO, |(_, revision)| *revision)
    }

    /// Starts a watch. It is answered when there is a change, or when its timeout is over.
    fn watch(&mut self, now: Time, index: usize) {
        let known = self.states[index].revision();
        let next = self.changes.iter().find(|(_, revision)| *revision > known);
        let next = next.map(|(at, _)| *at);
        let end = now + WATCH_TIMEOUT;
        let (answered, is_quiet) = match next {
            Some(change) if change <= end => (change.max(now), false),
            _ => (end, true),
        };
        let revision = self.revision(answered);
        self.watching[index] = true;
        self.send(answered, index, Message::WatchAnswer(now, is_quiet, revision));
    }

    fn handle(&mut self, now: Time, index: usize, message: Message) {
        match message {
            Message::Request(from, sent) => {
                let status = self.states[index].proof_status(now);
                let status = status.map(|status| SyncStatus::new(status.revision, status.age_millis()));
                if let Some(status) = status {
                    self.send(now, from, Message::Response(sent, status));
                }
            }
            Message::Response(sent, status) => {
                if self.states[index].on_peer_proof(sent, status) {
                    let confirmation = ConfirmationId {
                        process: 1,
                        number: now.as_micros(),
                    };
                    let status = ConfirmedStatus { status, confirmation };
                    self.states[index].on_peer_changes(now, status);
                }
            }
            Message::WatchAnswer(sent, is_quiet, revision) => {
                self.watching[index] = false;
                if revision.epoch != self.states[index].revision().epoch {
                    // The watch has no answer from there: everything is read again.
                    let revision = self.revision(now);
                    self.states[index].on_store_answer(now, now, Duration::ZERO, revision);
                    return self.states[index].on_proof(now);
                }
                self.states[index].on_store_answer(now, sent, WATCH_TIMEOUT, revision);
                self.states[index].on_proof(proven_until(now, sent, WATCH_TIMEOUT, is_quiet));
            }
        }
    }

    fn step(&mut self, now: Time) {
        while let Some(entry) = self.messages.first_entry().filter(|entry| entry.key().0 <= now) {
            let (to, message) = entry.remove();
            match now < self.paused[to] {
                // A paused instance reads its messages when it resumes.
                true => {
                    self.count += 1;
                    self.messages.insert((self.paused[to], self.count), (to, message));
                }
                false => self.handle(now, to, message),
            }
        }
        for index in 0..self.states.len() {
            if now < self.paused[index] {
                continue;
            }
            if self.rng.random_bool(0.002) {
                self.paused[index] = now + Duration::from_millis(self.rng.random_range(500..6_000));
            } else if index < 2 && !self.watching[index] {
                self.watch(now, index);
            } else if self.states[index].proof_peers(LIMIT, now) != ProofPeers::Nobody
                && self.rng.random_bool(0.1)
            {
                let peer = self.rng.random_range(0..self.states.len());
                self.send(now, peer, Message::Request(index, now));
            }
        }
    }

    fn check(&self, now: Time) {
        for (index, state) in self.states.iter().enumerate() {
            let Some(age) = state.proof_age(now) else { continue };
            let proven = now - age;
            assert!(
                self.revision(proven) <= state.revision(),
                "instance {index} at {now}: {state:?} is proven up to {proven}, revision {}",
                self.revision(proven)
            );
        }
    }
}

/// Guards against a revoked key working for longer than allowed because an instance takes its data for more recent than
/// it is.
#[test]
fn proof_never_too_new() {
    let mut proven = 0;
    for seed in seeds_or(0..64) {
        let _failing = PrintSeedOnPanic(seed);
        let mut world = World::new(seed);
        let mut change = at(0);
        while change < at(40_000) {
            change = change + Duration::from_millis(world.rng.random_range(5..4_000));
            let last = world
                .changes
                .last()
                .map_or(Revision::ZERO, |(_, revision)| *revision);
            let revision = match world.rng.random_bool(0.15) {
                // Restored from a copy that lacks up to five changes.
                true => Revision::new(
                    last.epoch + 1,
                    last.number.saturating_sub(world.rng.random_range(1..6)).max(1),
                ),
                false => last.next(),
            };
            world.changes.push((change, revision));
        }
        for step in 0..2_000 {
            let now = at(0) + STEP * step;
            world.step(now);
            world.check(now);
        }
        let now = at(0) + STEP * 2_000;
        let is_recent = |state: &SyncState| state.proof_age(now).is_some_and(|age| age < LIMIT);
        proven += world.states.iter().filter(|state| is_recent(state)).count();
    }
    assert!(proven > 0, "some instances have a recent proof at the end");
}
