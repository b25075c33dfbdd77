//! A fleet that follows a store, with faults of both.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::watchers::ConfirmedStatus;
use sequoiastream_core::relay::watchers::FleetRank;
use sequoiastream_core::relay::watchers::SyncState;
use sequoiastream_core::relay::watchers::WatchAction;
use sequoiastream_core::relay::watchers::ask_timeout;
use sequoiastream_core::relay::watchers::rank_candidates;
use sequoiastream_core::relay::watchers::watcher_count;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::RESPONSE_TIMEOUT;

use super::LIMIT;
use super::at;
use super::candidate;

/// Time between two messages of an instance.
const STEP: Duration = Duration::from_millis(25);

/// Number of ticks per [`STEP`] with [`Timing::Delayed`].
const TICKS_PER_STEP: u32 = 25;

/// Transit time of most messages, in milliseconds: the network within and between zones, and the queues of both
/// instances.
const TRANSIT_MILLIS: std::ops::RangeInclusive<u64> = 1..=4;

/// Transit time of one in fifty messages, in milliseconds, due to queueing on a link.
const SLOW_TRANSIT_MILLIS: std::ops::RangeInclusive<u64> = 5..=60;

/// Range of the time for which a link holds back one in fifty answers of the store, in milliseconds.
const HELD_BACK_MILLIS: std::ops::RangeInclusive<u64> = 100..=600;

/// Number of peers that get each message.
const FANOUT: usize = 16;

/// A peer that has not been heard for longer than this doesn't count as a neighbour.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_800);

/// How long a watcher waits after changes before it watches again.
const BATCH_DELAY: Duration = Duration::from_millis(800);

/// How long an instance must have been without faults of its own before the limit applies to it.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Interval at which an instance computes its rank among its neighbours.
const RANK_INTERVAL: Duration = Duration::from_millis(400);

/// Duration of a call that the store answers at once.
const CALL_TIME: Duration = Duration::from_millis(25);

/// State of an instance's calls to the store.
#[derive(Debug, Clone, Copy)]
pub(super) enum Call {
    None,
    /// A watch, or a read if `wait` is zero, that was sent at `sent`.
    Waiting {
        sent: Time,
        wait: Duration,
        revision: Revision,
        answer: Option<Answer>,
    },
    /// The last call failed; the next one begins at this time.
    Backoff(Time),
    /// No call until this time.
    Listening(Time),
    /// A watch returned changes; the next one begins at this time, and later changes are batched.
    Batching(Time),
}

/// An answer of the store on its way to an instance.
#[derive(Debug, Clone, Copy)]
pub(super) struct Answer {
    /// The store's revision when it answered.
    revision: Revision,
    /// When the answer reaches the instance, unless that is paused.
    arrives: Time,
}

#[derive(Debug)]
pub(super) struct Instance {
    pub(super) zone: usize,
    pub(super) state: SyncState,
    pub(super) call: Call,
    /// Time at which each peer was last heard.
    pub(super) heard: Vec<Option<Time>>,
    pub(super) turn: usize,
    /// Paused or stopped until this time.
    pub(super) paused: Time,
    /// The store doesn't answer it until this time.
    pub(super) unreachable: Time,
    /// Whether the next call reads everything.
    pub(super) must_read: bool,
    /// Number of calls that failed since its data was last confirmed.
    pub(super) failures: u32,
    /// When the last call failed.
    pub(super) last_failure: Option<Time>,
    /// Whether its open watch never gets an answer.
    pub(super) silent: bool,
    /// The question to a peer that it waits for; it does nothing else meanwhile.
    pub(super) question: Option<Question>,
    /// Time since which it has had no fault of its own.
    pub(super) healthy_since: Time,
}

/// A question to a peer that is ahead.
#[derive(Debug, Clone, Copy)]
pub(super) struct Question {
    /// When the wait for the answer ends.
    until: Time,
    /// When it was sent, and what the peer answers; `None` if the answer is lost.
    answer: Option<(Time, ConfirmedStatus)>,
}

impl Instance {
    /// Pauses after a call that got no answer.
    fn on_failure(&mut self, now: Time, rank: FleetRank, jitter: f64) {
        let pause = LIMIT.backoff(rank, self.failures, RESPONSE_TIMEOUT, jitter);
        self.call = Call::Backoff(now + pause);
        self.failures += 1;
        self.last_failure = Some(now);
    }

    /// Forgets failed calls if its data was confirmed since.
    fn detect_recovery(&mut self, now: Time) {
        let confirmed = self.state.age(now).map(|age| now - age);
        if confirmed > self.last_failure {
            self.failures = 0;
        }
    }
}

/// A message in transit.
#[derive(Debug, Clone, Copy)]
struct Message {
    from: usize,
    to: usize,
    status: Option<ConfirmedStatus>,
}

/// How long messages take, and when instances act.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timing {
    /// Messages arrive immediately, and all instances act at the same time.
    Lockstep,
    /// Messages take [`TRANSIT_MILLIS`] or [`SLOW_TRANSIT_MILLIS`], and instances act at different times.
    Delayed,
}

pub struct World {
    pub(super) random: ChaCha8Rng,
    pub(super) timing: Timing,
    /// Messages in transit, by time of arrival.
    in_transit: BTreeMap<Time, Vec<Message>>,
    pub(super) now: Time,
    pub(super) revision: Revision,
    /// Time of each change of the store's current epoch, from the first one.
    pub(super) changed: Vec<Time>,
    /// When the store was last restored from a copy.
    pub(super) restored: Time,
    pub(super) instances: Vec<Instance>,
    pub(super) names: Vec<String>,
    pub(super) zones: Vec<String>,
    /// Time until which each zone hears no other zone.
    pub(super) cut: Vec<Time>,
    pub(super) calls: u64,
}

impl World {
    /// A fleet whose size the seed draws.
    pub fn new(seed: u64, timing: Timing) -> World {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // Most runs have up to 60 instances, as today's fleets do; one in eight has up to 400.
        let max_size = if seed.is_multiple_of(8) { 400 } else { 60 };
        let size = random.random_range(1..=max_size);
        let zones = random.random_range(1..=12);
        World::of(random, timing, size, zones)
    }

    /// A world with this number of instances and of zones.
    pub fn of(random: ChaCha8Rng, timing: Timing, size: usize, zones: usize) -> World {
        let now = at(0);
        let instance = |index: usize| Instance {
            zone: index % zones,
            state: SyncState::new(index as u64),
            call: Call::None,
            heard: vec![None; size],
            turn: index,
            paused: now,
            unreachable: now,
            must_read: false,
            failures: 0,
            last_failure: None,
            silent: false,
            question: None,
            healthy_since: now,
        };
        World {
            random,
            timing,
            in_transit: BTreeMap::new(),
            now,
            revision: Revision::new(1, 1),
            changed: vec![now],
            restored: now,
            instances: (0..size).map(instance).collect(),
            names: (0..size).map(|index| format!("{index:03}")).collect(),
            zones: (0..zones).map(|zone| format!("{zone:02}")).collect(),
            cut: vec![now; zones],
            calls: 0,
        }
    }

    /// Runs with faults of all kinds.
    pub fn run(mut self, seconds: u32) {
        let steps = seconds * 40;
        for step in 0..steps {
            self.advance(|world| {
                if world.random.random_bool(0.05) {
                    world.change();
                }
                if world.random.random_bool(0.002) {
                    world.restore();
                }
                if world.random.random_bool(0.02) {
                    world.inject_fault();
                }
            });
            if step > 80 {
                self.check_lag();
            }
        }
        self.check_call_rate();
    }

    /// Runs outages of the store for all instances. As the store returns, the instances that watched it are stopped.
    pub fn run_outages(mut self, rounds: u32) {
        for _ in 0..rounds {
            self.run_checked(Duration::from_secs(6));
            let length = Duration::from_millis(self.random.random_range(7_000..12_000));
            let returns = self.now + length;
            for instance in &mut self.instances {
                instance.unreachable = returns;
                instance.healthy_since = returns;
            }
            self.run_checked(length);
            let watchers = (0..self.instances.len()).filter(|index| self.rank(*index).is_watcher());
            for index in watchers.collect::<Vec<_>>() {
                self.instances[index].paused = returns + Duration::from_secs(5);
                self.instances[index].healthy_since = returns + Duration::from_secs(5);
            }
            self.run_checked(Duration::from_secs(6));
        }
    }

    /// Runs changes whose answers the watchers read late: they are paused as the store answers, read the answer when they
    /// resume, tell the others of it, and are stopped before they watch again. Another change follows the first at once.
    pub fn run_late_answers(mut self, rounds: u32) {
        for _ in 0..rounds {
            self.run_quiet();
            let pause = Duration::from_millis(self.random.random_range(500..1_200));
            let watchers = (0..self.instances.len()).filter(|index| self.rank(*index).is_watcher());
            let watchers: Vec<usize> = watchers.collect();
            self.pause(&watchers, pause);
            self.run_changed(STEP);
            self.run_changed(STEP);
            self.run_changed(pause + STEP * 2);
            self.pause(&watchers, Duration::from_secs(5));
            self.run_changed(Duration::from_secs(5));
        }
    }

    /// Changes the store, then runs for this time and checks each step.
    fn run_changed(&mut self, time: Duration) {
        let later = self.now + time;
        self.change();
        while self.now < later {
            self.advance(|_| {});
            self.check_lag();
        }
    }

    /// Runs without new faults for this time, while the store changes, and checks each step.
    fn run_checked(&mut self, time: Duration) {
        let later = self.now + time;
        while self.now < later {
            self.advance(|world| {
                if world.random.random_bool(0.05) {
                    world.change();
                }
            });
            self.check_lag();
        }
    }

    /// Changes the store.
    fn change(&mut self) {
        self.revision = self.revision.next();
        self.changed.push(self.now);
    }

    /// Runs for [`STEP`], in which each instance acts once. `on_start` is called at the start of the step.
    fn advance<F>(&mut self, on_start: F)
    where
        F: FnOnce(&mut World),
    {
        match self.timing {
            Timing::Lockstep => {
                self.now = self.now + STEP;
                on_start(self);
                self.answer_calls();
                (0..self.instances.len()).for_each(|index| self.send_messages(index));
                (0..self.instances.len()).for_each(|index| self.follow_store(index));
            }
            Timing::Delayed => {
                on_start(self);
                self.answer_calls();
                (0..TICKS_PER_STEP as usize).for_each(|tick| self.advance_tick(tick));
            }
        }
    }

    /// Has the store answer the calls that are due, also those of instances that are paused: these read the answer, as it
    /// was, when they resume.
    fn answer_calls(&mut self) {
        let now = self.now;
        for index in 0..self.instances.len() {
            let instance = &self.instances[index];
            let Call::Waiting {
                sent,
                wait,
                revision,
                answer: None,
            } = instance.call
            else {
                continue;
            };
            let is_due =
                now.since(sent) >= CALL_TIME && (self.revision > revision || now.since(sent) >= wait);
            if !is_due || instance.unreachable > now || instance.silent {
                continue;
            }
            let is_held_back = self.timing == Timing::Delayed && self.random.random_bool(0.02);
            let held_back = match is_held_back {
                true => Duration::from_millis(self.random.random_range(HELD_BACK_MILLIS)),
                false => Duration::ZERO,
            };
            let answered = Answer {
                revision: self.revision,
                arrives: now + held_back,
            };
            let instance = &mut self.instances[index];
            if let Call::Waiting { answer, .. } = &mut instance.call {
                *answer = Some(answered);
            }
            // A fault of its link, but not of the peers that it tells.
            if !held_back.is_zero() {
                instance.healthy_since = instance.healthy_since.max(answered.arrives);
            }
        }
    }

    /// Delivers the messages that arrive in this tick, then runs the instances that act in it.
    fn advance_tick(&mut self, tick: usize) {
        self.now = self.now + STEP / TICKS_PER_STEP;
        while let Some(arrivals) = self.in_transit.first_entry().filter(|e| *e.key() <= self.now) {
            let messages = arrivals.remove();
            messages.into_iter().for_each(|message| self.deliver(message));
        }
        // Consecutive instances act in different ticks.
        let acting = (0..self.instances.len()).filter(|index| index * 7 % TICKS_PER_STEP as usize == tick);
        for index in acting.collect::<Vec<_>>() {
            self.send_messages(index);
            self.follow_store(index);
        }
    }

    /// Runs ten seconds without new faults.
    fn run_quiet(&mut self) {
        let later = self.now + Duration::from_secs(10);
        while self.now < later {
            self.advance(|_| {});
        }
    }

    /// Checks that after all faults only the watchers call the store.
    fn check_call_rate(mut self) {
        self.run_quiet();
        let watchers = watcher_count(self.instances.len());
        let before = self.calls;
        self.run_quiet();
        let calls = self.calls - before;
        // One watch per second each, and one that was about to begin.
        let max_calls = u64::try_from(watchers * 11).expect("few calls");
        assert!(
            calls <= max_calls,
            "{calls} calls in ten seconds by {watchers} watchers"
        );
    }

    fn is_up(&self, index: usize) -> bool {
        self.instances[index].paused <= self.now
    }

    fn hears(&self, from: usize, to: usize) -> bool {
        let [from, to] = [from, to].map(|index| self.instances[index].zone);
        from == to || [from, to].iter().all(|zone| self.cut[*zone] <= self.now)
    }

    /// Sends the messages of an instance for one step.
    fn send_messages(&mut self, from: usize) {
        if !self.is_up(from) {
            return;
        }
        let now = self.now;
        let size = self.instances.len();
        let sender = &mut self.instances[from];
        sender.state.on_tick(now);
        let status = sender.state.sync_status(now);
        let turn = sender.turn;
        sender.turn += 1;
        for next in 0..FANOUT.min(size - 1) {
            let to = (from + 1 + (turn * FANOUT + next) % (size - 1)) % size;
            // One in ten messages is lost. A paused instance would read its messages on resuming; the simulation drops
            // them.
            if !self.is_up(to) || !self.hears(from, to) || self.random.random_bool(0.1) {
                continue;
            }
            let message = Message { from, to, status };
            match self.timing {
                Timing::Lockstep => self.deliver(message),
                Timing::Delayed => {
                    let arrival = now + self.draw_transit_time();
                    self.in_transit.entry(arrival).or_default().push(message);
                }
            }
        }
    }

    fn draw_transit_time(&mut self) -> Duration {
        let range = match self.random.random_bool(0.02) {
            true => SLOW_TRANSIT_MILLIS,
            false => TRANSIT_MILLIS,
        };
        Duration::from_millis(self.random.random_range(range))
    }

    /// Delivers a message, unless its receiver is down.
    fn deliver(&mut self, message: Message) {
        let Message { from, to, status } = message;
        if !self.is_up(to) {
            return;
        }
        let now = self.now;
        self.instances[to].heard[from] = Some(now);
        let Some(status) = status else { return };
        if !self.instances[to].state.on_peer_status(now, status) {
            return;
        }
        match self.timing {
            Timing::Lockstep => self.instances[to].state.on_peer_changes(now, status),
            Timing::Delayed => self.ask(to, status),
        }
    }

    /// Asks a peer that is ahead, unless the instance is busy. One in ten answers is lost, as that of a peer that has just lost
    /// its power.
    fn ask(&mut self, index: usize, status: ConfirmedStatus) {
        let now = self.now;
        let transit = self.draw_transit_time() + self.draw_transit_time();
        let is_lost = self.random.random_bool(0.1);
        let instance = &mut self.instances[index];
        let next_call = match instance.call {
            Call::Listening(until) | Call::Backoff(until) => until,
            Call::None | Call::Waiting { .. } | Call::Batching(_) => return,
        };
        if instance.question.is_none() {
            let timeout = ask_timeout(next_call.since(now));
            instance.question = Some(Question {
                until: now + if is_lost { timeout } else { transit },
                answer: (!is_lost).then_some((now, status)),
            });
        }
    }

    /// Whether the instance waits for the answer of a peer. Applies the answer that has arrived.
    fn is_asking(&mut self, index: usize) -> bool {
        let now = self.now;
        let instance = &mut self.instances[index];
        let Some(question) = instance.question.filter(|question| question.until <= now) else {
            return instance.question.is_some();
        };
        instance.question = None;
        if let Some((asked, status)) = question.answer {
            instance.state.on_peer_changes(asked, status);
        }
        false
    }

    fn rank(&self, index: usize) -> FleetRank {
        let own = &self.instances[index];
        let heard = |peer: &usize| own.heard[*peer].is_some_and(|at| self.now.since(at) <= SILENCE_LIMIT);
        let members = (0..self.instances.len()).filter(|peer| *peer == index || heard(peer));
        let candidates =
            members.map(|peer| candidate(&self.zones[self.instances[peer].zone], 1, &self.names[peer]));
        FleetRank::among(&rank_candidates(candidates.collect()), &self.names[index])
    }

    fn follow_store(&mut self, index: usize) {
        if !self.is_up(index) || self.is_asking(index) {
            return;
        }
        let now = self.now;
        let rank = match self.instances[index].call {
            Call::Backoff(until) | Call::Listening(until) | Call::Batching(until) if now < until => {
                FleetRank::default()
            }
            Call::None | Call::Waiting { .. } | Call::Backoff(_) | Call::Listening(_) | Call::Batching(_) => {
                self.rank(index)
            }
        };
        let jitter = self.random.random();
        let instance = &mut self.instances[index];
        let is_reachable = instance.unreachable <= now;
        instance.detect_recovery(now);
        match instance.call {
            Call::Backoff(until) | Call::Listening(until) | Call::Batching(until) if now < until => {}
            Call::None | Call::Backoff(_) | Call::Listening(_) | Call::Batching(_) => {
                let is_after_batch = matches!(instance.call, Call::Batching(_));
                let failed = matches!(instance.call, Call::Backoff(_));
                if let WatchAction::Listen(until) = instance.state.watch_action(rank, LIMIT, now) {
                    // Decides again at that time, or when its rank may have changed.
                    instance.call = Call::Listening(until.min(now + RANK_INTERVAL));
                    return;
                }
                self.calls += 1;
                let read = failed || instance.must_read || instance.state.revision().is_zero();
                instance.must_read = false;
                let wait = match (read, is_after_batch) {
                    (true, _) => Duration::ZERO,
                    (false, true) => LIMIT.watch_timeout() - BATCH_DELAY,
                    (false, false) => LIMIT.watch_timeout(),
                };
                let wait = instance.state.watch_wait(LIMIT, now, wait);
                let revision = instance.state.revision();
                // Only open connections go silent, not new ones; but a call that is sent during a partition is lost.
                instance.silent = !is_reachable;
                instance.call = Call::Waiting {
                    sent: now,
                    wait,
                    revision,
                    answer: None,
                };
            }
            Call::Waiting {
                sent,
                wait,
                revision,
                answer,
            } => {
                if let Some(answer) = answer.filter(|answer| answer.arrives <= now) {
                    if wait > Duration::ZERO && answer.revision.epoch != revision.epoch {
                        // The store has no history from there.
                        instance.must_read = true;
                        instance.call = Call::None;
                        return;
                    }
                    instance
                        .state
                        .on_store_answer(now, sent, wait.max(CALL_TIME), answer.revision);
                    instance.call = match answer.revision > revision && !revision.is_zero() {
                        true => Call::Batching(now + BATCH_DELAY),
                        false => Call::None,
                    };
                } else if now.since(sent) >= wait + RESPONSE_TIMEOUT {
                    instance.on_failure(now, rank, jitter);
                }
            }
        }
    }

    /// Checks that no instance that is in contact with others lags behind the store by more than the limit, whichever
    /// instances are its watchers.
    fn check_lag(&self) {
        let now = self.now;
        for (index, instance) in self.instances.iter().enumerate() {
            let is_stable =
                now.since(Time::ZERO) > SETTLE_TIME && instance.healthy_since + SETTLE_TIME <= now;
            if !is_stable || !self.is_up(index) {
                continue;
            }
            let Revision { epoch, number } = instance.state.revision();
            let missed = usize::try_from(number).expect("a few");
            let missed = match epoch == self.revision.epoch {
                true => self.changed.get(missed).copied(),
                false => Some(self.restored),
            };
            let lag = missed.map_or(Duration::ZERO, |at| now.since(at));
            assert!(
                lag <= LIMIT.0,
                "instance {index} of {} lags by {lag:?} at {now}: {:?}, {:?}",
                self.instances.len(),
                instance.call,
                instance.state
            );
        }
    }
}
