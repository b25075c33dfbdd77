//! Who watches the store, and how old what the others act on may be.
//!
//! The seeded runs draw fleets of 1 to 400 instances in 1 to 12 availability zones. `SEQUOIASTREAM_SEEDS=1000..5000 cargo
//! test --release --test testsuite relay::watchers` runs others for as long as one likes.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::relay::watchers::ApplyLimit;
use sequoiastream_core::relay::watchers::Candidate;
use sequoiastream_core::relay::watchers::FleetRank;
use sequoiastream_core::relay::watchers::SyncState;
use sequoiastream_core::relay::watchers::SyncStatus;
use sequoiastream_core::relay::watchers::WatchAction;
use sequoiastream_core::relay::watchers::most_advanced;
use sequoiastream_core::relay::watchers::rank_candidates;
use sequoiastream_core::relay::watchers::watcher_count;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::ANSWER;

use crate::claims::client::PrintSeedOnPanic;
use crate::claims::client::seeds_or;

const SEEDS: std::ops::Range<u64> = 0..16;

/// Time between two messages of an instance.
const STEP: Duration = Duration::from_millis(25);

/// Peers that get each message.
const FANOUT: usize = 16;

/// A peer not heard of for so long doesn't count as a neighbour.
const SILENT: Duration = Duration::from_millis(1_800);

/// Within which time a change must be in force, on the strictest sheet.
const BOUND: ApplyLimit = ApplyLimit(Duration::from_secs(2));

/// How long a watcher waits after changes before it watches again.
const REST: Duration = Duration::from_millis(800);

/// How long an instance must have been without trouble of its own until it is held to that.
const STABLE: Duration = Duration::from_secs(3);

/// How often an instance works out its place among its neighbours.
const SEAT: Duration = Duration::from_millis(400);

/// Time for a call that the store answers at once.
const CALL: Duration = Duration::from_millis(25);

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

fn word(revision: u64, millis: u64) -> SyncStatus {
    let age = Duration::from_millis(millis);
    SyncStatus { revision, age }
}

#[test]
fn count_by_members() {
    assert_eq!(
        [1, 2, 8, 64, 195, 985, 2_000].map(watcher_count),
        [1, 2, 2, 2, 7, 31, 63]
    );
}

fn candidate<'n>(zone: &'n str, capacity: u32, name: &'n str) -> Candidate<'n> {
    Candidate { zone, capacity, name }
}

/// Guards against all watchers being in a single zone that is cut off.
#[test]
fn rank_across_zones() {
    let fleet = vec![
        candidate("a", 100, "a-1"),
        candidate("a", 500, "a-2"),
        candidate("a", 500, "a-3"),
        candidate("b", 100, "b-1"),
        candidate("c", 100, "c-2"),
        candidate("c", 100, "c-1"),
    ];
    let ranked = rank_candidates(fleet);
    let names: Vec<&str> = ranked.iter().map(|c| c.name).collect();
    assert_eq!(names, ["a-2", "b-1", "c-1", "a-3", "c-2", "a-1"]);
    assert_eq!(
        FleetRank::among(&ranked, "c-2"),
        FleetRank { rank: 4, members: 6 }
    );
}

/// Guards against no instance watching when instances disagree on who is alive.
#[test]
fn seat_alone_watches() {
    assert!(FleetRank::default().is_watcher());
    for members in 1..400 {
        let watchers = (0..members).filter(|rank| FleetRank { rank: *rank, members }.is_watcher());
        assert_eq!(watchers.count(), watcher_count(members));
    }
}

/// A change is in force on the last of three hundred instances after 0.7 s. Order: all that listen hear from the same two dozen
/// who knows it, and all ask the same one of them.
#[test]
fn furthest_one_of_several() {
    let known = [7, 9, 3, 9, 9];
    let asked: Vec<usize> = (0..6).filter_map(|draw| most_advanced(&known, 8, draw)).collect();
    assert_eq!(asked, [1, 3, 4, 1, 3, 4]);
    assert_eq!(most_advanced(&known, 9, 0), None);
    assert_eq!(most_advanced(&[], 0, 0), None);
}

#[test]
fn duty_listens_while_confirmed() {
    let seat = FleetRank { rank: 4, members: 8 };
    let mut reach = SyncState::default();
    assert_eq!(
        reach.watch_action(seat, BOUND, at(0)),
        WatchAction::Watch,
        "nothing is known yet"
    );
    reach.on_store_answer(at(10), at(0), Duration::ZERO, 7);
    assert_eq!(
        reach.watch_action(seat, BOUND, at(10)),
        WatchAction::Listen(at(1_500))
    );
    assert!(!reach.on_peer_status(at(900), word(7, 300)));
    assert_eq!(
        reach.watch_action(seat, BOUND, at(1_500)),
        WatchAction::Listen(at(2_100))
    );
    assert_eq!(reach.watch_action(seat, BOUND, at(2_100)), WatchAction::Watch);
    let watcher = FleetRank { rank: 1, members: 8 };
    assert_eq!(reach.watch_action(watcher, BOUND, at(10)), WatchAction::Watch);
}

/// Work goes to an engine that has left. Order: a peer knows of its leaving, and its word passes for a confirmation of
/// what is known here.
#[test]
fn word_ahead_confirms_nothing() {
    let mut reach = SyncState::default();
    reach.on_store_answer(at(0), at(0), Duration::ZERO, 7);
    assert!(reach.on_peer_status(at(1_000), word(8, 0)));
    assert_eq!(reach.age(at(1_000)), Some(Duration::from_secs(1)));
    reach.on_peer_changes(at(1_010), word(8, 5));
    assert_eq!(
        (reach.revision(), reach.age(at(1_010))),
        (8, Some(Duration::from_millis(5)))
    );
}

/// An instance acts on news of ten seconds ago and tells its zone that they are of now. Order: its watch waits for a second,
/// the instance is paused, the answer waits in its socket, it goes on.
#[test]
fn answer_after_pause_is_old() {
    let mut reach = SyncState::default();
    reach.on_store_answer(at(11_000), at(1_000), BOUND.watch_timeout(), 7);
    assert_eq!(reach.age(at(11_000)), Some(Duration::from_secs(9)));
}

/// The same for messages of peers that waited meanwhile: they say what was so when they were sent.
#[test]
fn word_after_pause_not_believed() {
    let mut reach = SyncState::default();
    reach.on_tick(at(0));
    reach.on_store_answer(at(0), at(0), Duration::ZERO, 7);
    reach.on_tick(at(10_000));
    assert!(!reach.on_peer_status(at(10_001), word(7, 20)));
    assert_eq!(reach.age(at(10_001)), Some(Duration::from_millis(10_001)));
    reach.on_tick(at(10_025));
    reach.on_peer_status(at(10_400), word(7, 20));
    assert_eq!(reach.age(at(10_400)), Some(Duration::from_millis(20)));
}

/// What an instance does at the store.
#[derive(Debug, Clone, Copy)]
enum Call {
    None,
    /// A watch that began then, or a read if the wait is nothing.
    Waiting {
        sent: Time,
        wait: Duration,
        revision: u64,
    },
    /// The last call failed; the next begins then.
    Pause(Time),
    /// None until then.
    Listening(Time),
    /// A watch returned changes; the next one begins at this time, and later changes are batched.
    Resting(Time),
}

#[derive(Debug)]
struct Instance {
    zone: usize,
    reach: SyncState,
    call: Call,
    /// When each peer was last heard.
    heard: Vec<Option<Time>>,
    turn: usize,
    /// Paused or dead until then.
    gone: Time,
    /// The store doesn't answer it until then.
    away: Time,
    /// A watch that is open falls silent.
    silent: bool,
    /// Since when nothing of its own went wrong.
    sound: Time,
}

struct World {
    random: ChaCha8Rng,
    now: Time,
    revision: u64,
    /// When each revision came, from the first.
    changed: Vec<Time>,
    instances: Vec<Instance>,
    names: Vec<String>,
    zones: Vec<String>,
    /// Zones that hear nobody elsewhere, until then.
    cut: Vec<Time>,
    calls: u64,
}

impl World {
    fn new(seed: u64) -> World {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // Mostly fleets of today, now and then one of hundreds.
        let most = if seed.is_multiple_of(8) { 400 } else { 60 };
        let size = random.random_range(1..=most);
        let zones = random.random_range(1..=12);
        let now = at(0);
        let instance = |index: usize| Instance {
            zone: index % zones,
            reach: SyncState::default(),
            call: Call::None,
            heard: vec![None; size],
            turn: index,
            gone: now,
            away: now,
            silent: false,
            sound: now,
        };
        World {
            random,
            now,
            revision: 1,
            changed: vec![now],
            instances: (0..size).map(instance).collect(),
            names: (0..size).map(|index| format!("{index:03}")).collect(),
            zones: (0..zones).map(|zone| format!("{zone:02}")).collect(),
            cut: vec![now; zones],
            calls: 0,
        }
    }

    fn run(mut self, seconds: u32) {
        let steps = seconds * 40;
        for step in 0..steps {
            self.now = self.now + STEP;
            if self.random.random_bool(0.05) {
                self.revision += 1;
                self.changed.push(self.now);
            }
            if self.random.random_bool(0.02) {
                self.trouble();
            }
            self.exchange();
            for index in 0..self.instances.len() {
                self.follow(index);
            }
            if step > 80 {
                self.check();
            }
        }
        self.calm();
    }

    /// Ten seconds without trouble.
    fn rest(&mut self) {
        let later = self.now + Duration::from_secs(10);
        while self.now < later {
            self.now = self.now + STEP;
            self.exchange();
            for index in 0..self.instances.len() {
                self.follow(index);
            }
        }
    }

    /// After all trouble: the store is called by the watchers only.
    fn calm(mut self) {
        self.rest();
        let watchers = watcher_count(self.instances.len());
        let before = self.calls;
        self.rest();
        let calls = self.calls - before;
        // A watch a second each, and one that was about to begin.
        let most = u64::try_from(watchers * 11).expect("few calls");
        assert!(
            calls <= most,
            "{calls} calls in ten seconds by {watchers} watchers"
        );
    }

    fn trouble(&mut self) {
        let now = self.now;
        let long = Duration::from_millis(self.random.random_range(200..6_000));
        let size = self.instances.len();
        let zone = self.random.random_range(0..self.cut.len());
        let part = *[1, 1, 2, size.div_ceil(2), size]
            .iter()
            .choose(&mut self.random)
            .expect("some");
        let zonal = self.random.random_bool(0.3);
        let kind = self.random.random_range(0..8);
        if kind >= 6 {
            // The store turns away just those that watch, everywhere or in a zone that hears nobody else.
            let zones = self.cut.len();
            self.cut[zone] = now + long;
            for index in (0..size.min(3 * zones)).filter(|index| kind == 6 || index % zones == zone) {
                let instance = &mut self.instances[index];
                instance.away = instance.away.max(now + long);
                instance.sound = instance.sound.max(now + long);
            }
            return;
        }
        if kind == 5 {
            // Cut off from the other zones, not from the store: no trouble that excuses an instance.
            self.cut[zone] = now + long;
            return;
        }
        let chosen = (0..size).filter(|index| !zonal || self.instances[*index].zone == zone);
        let chosen = chosen.sample(&mut self.random, part);
        for index in chosen {
            let instance = &mut self.instances[index];
            // Troubles overlap: the later one may end first.
            let sound = if kind == 4 { now } else { now + long };
            instance.sound = instance.sound.max(sound);
            match kind {
                // Paused: goes on with what it had, its calls and its messages.
                0 => instance.gone = instance.gone.max(now + long),
                // Killed, and started anew.
                1 => {
                    instance.gone = instance.gone.max(now + long);
                    instance.reach = SyncState::default();
                    instance.call = Call::None;
                    instance.heard.fill(None);
                }
                // The store turns it away or says nothing.
                2 | 3 => instance.away = instance.away.max(now + long),
                // Its open connection to the store falls silent for good; new ones work.
                _ => instance.silent = true,
            }
        }
    }

    fn is_up(&self, index: usize) -> bool {
        self.instances[index].gone <= self.now
    }

    fn hears(&self, from: usize, to: usize) -> bool {
        let [from, to] = [from, to].map(|index| self.instances[index].zone);
        from == to || [from, to].iter().all(|zone| self.cut[*zone] <= self.now)
    }

    fn exchange(&mut self) {
        let now = self.now;
        let size = self.instances.len();
        for from in (0..size).filter(|index| self.is_up(*index)).collect::<Vec<_>>() {
            self.instances[from].reach.on_tick(now);
            let word = self.instances[from].reach.sync_status(now);
            let turn = self.instances[from].turn;
            self.instances[from].turn += 1;
            for next in 0..FANOUT.min(size - 1) {
                let to = (from + 1 + (turn * FANOUT + next) % (size - 1)) % size;
                // One in ten is lost. What comes to a paused instance is read when it goes on: lost is as good here.
                if !self.is_up(to) || !self.hears(from, to) || self.random.random_bool(0.1) {
                    continue;
                }
                self.instances[to].heard[from] = Some(now);
                let Some(word) = word else { continue };
                if self.instances[to].reach.on_peer_status(now, word) {
                    self.instances[to].reach.on_peer_changes(now, word);
                }
            }
        }
    }

    fn seat(&self, index: usize) -> FleetRank {
        let own = &self.instances[index];
        let heard = |peer: &usize| own.heard[*peer].is_some_and(|at| self.now.since(at) <= SILENT);
        let members = (0..self.instances.len()).filter(|peer| *peer == index || heard(peer));
        let candidates =
            members.map(|peer| candidate(&self.zones[self.instances[peer].zone], 1, &self.names[peer]));
        FleetRank::among(&rank_candidates(candidates.collect()), &self.names[index])
    }

    fn follow(&mut self, index: usize) {
        if !self.is_up(index) {
            return;
        }
        let now = self.now;
        let seat = match self.instances[index].call {
            Call::Waiting { .. } => FleetRank::default(),
            Call::Pause(until) | Call::Listening(until) | Call::Resting(until) if now < until => {
                FleetRank::default()
            }
            Call::None | Call::Pause(_) | Call::Listening(_) | Call::Resting(_) => self.seat(index),
        };
        let instance = &mut self.instances[index];
        let reached = instance.away <= now;
        match instance.call {
            Call::Pause(until) | Call::Listening(until) | Call::Resting(until) if now < until => {}
            Call::None | Call::Pause(_) | Call::Listening(_) | Call::Resting(_) => {
                let is_rested = matches!(instance.call, Call::Resting(_));
                let failed = matches!(instance.call, Call::Pause(_));
                if let WatchAction::Listen(until) = instance.reach.watch_action(seat, BOUND, now) {
                    // Looks again then, or when its seat may have changed.
                    instance.call = Call::Listening(until.min(now + SEAT));
                    return;
                }
                self.calls += 1;
                let read = failed || instance.reach.revision() == 0;
                let wait = match (read, is_rested) {
                    (true, _) => Duration::ZERO,
                    (false, true) => BOUND.watch_timeout() - REST,
                    (false, false) => BOUND.watch_timeout(),
                };
                let revision = instance.reach.revision();
                // Silence strikes connections that are open, not new ones.
                instance.silent = false;
                instance.call = Call::Waiting {
                    sent: now,
                    wait,
                    revision,
                };
            }
            Call::Waiting { sent, wait, revision } => {
                let due = now.since(sent) >= CALL && (self.revision > revision || now.since(sent) >= wait);
                if due && reached && !instance.silent {
                    instance
                        .reach
                        .on_store_answer(now, sent, wait.max(CALL), self.revision);
                    instance.call = match self.revision > revision && revision > 0 {
                        true => Call::Resting(now + REST),
                        false => Call::None,
                    };
                } else if now.since(sent) >= wait + ANSWER {
                    instance.call = Call::Pause(now + Duration::from_millis(100));
                }
            }
        }
    }

    /// Nobody that is in touch lags behind the store by more than the bound, whoever its watchers are.
    fn check(&self) {
        let now = self.now;
        for (index, instance) in self.instances.iter().enumerate() {
            let sound = now.since(Time::ZERO) > STABLE && instance.sound + STABLE <= now;
            if !sound || !self.is_up(index) {
                continue;
            }
            let missed = usize::try_from(instance.reach.revision()).expect("a few");
            let lag = self
                .changed
                .get(missed)
                .map_or(Duration::ZERO, |at| now.since(*at));
            assert!(
                lag <= BOUND.0,
                "instance {index} of {} lags by {lag:?} at {now}: {:?}, {:?}",
                self.instances.len(),
                instance.call,
                instance.reach
            );
        }
    }
}

/// Work goes to engines that have left, by routes no longer in force. Order: any mix of watchers that are killed, paused
/// and woken with old news, turned away by the store or left without an answer on a connection that looks alive; half of
/// the fleet at once; zones cut off from each other.
#[test]
fn lag_within_bound() {
    for seed in seeds_or(SEEDS) {
        let _failing = PrintSeedOnPanic(seed);
        World::new(seed).run(30);
    }
}
