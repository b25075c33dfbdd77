//! Seeded runs of a fleet that shares an engine's limit on requests per second.
//!
//! The engine reports a limit, changes it, stops reporting it and reports it again. Instances have different amounts of
//! traffic and bursts of it; they start, leave, are killed, and are paused; each learns of the others with a delay.
//! Time is simulated. `SEQUOIASTREAM_SEEDS=1000..100000 cargo test --release --test testsuite relay::limit_fleet` runs
//! other seeds, as many as wanted.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::limit_report::LimitReport;
use sequoiastream_core::relay::limit_report::PeerLimitReport;
use sequoiastream_core::relay::limit_report::RequestRate;
use sequoiastream_core::relay::limit_share::FleetPosition;
use sequoiastream_core::relay::load_message::FANOUT;
use sequoiastream_core::relay::rate_limits::RateLimits;
use sequoiastream_core::time::Time;

use super::entry;
use crate::claims::client::PrintSeedOnPanic;
use crate::claims::client::seeds_or;

const SEEDS: std::ops::Range<u64> = 0..60;

const STEP_MILLIS: u64 = 5;

/// Length of the windows in which an engine's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after which an engine's first report of a limit, or a change of it, must be complied with.
const GRACE: Duration = Duration::from_secs(3);

/// Time after which an instance that was told the limit counts.
const TOLD_GRACE: Duration = Duration::from_millis(500);

/// Time after the first instance learned the limit from which on there are bursts: by then, the others were told.
const BURST_GRACE: Duration = Duration::from_secs(2);

/// Time for which an instance does not count after a start or a pause.
const EXCUSED_TIME: Duration = Duration::from_secs(7);

/// Maximum time after which an instance knows that another one started, leaves or is gone.
const MAX_LIST_DELAY_MILLIS: u64 = 2_000;

/// Time between two messages of an instance to its peers.
const MESSAGE_MILLIS: u64 = 25;

/// Time for which a leaving instance serves.
const LEAVING_MILLIS: u64 = 5_000;

/// Times at which the engine reports its limit for the first time, changes it, stops reporting it, and reports it
/// again; and the end of the run.
const TIMES_MILLIS: [u64; 5] = [8_000, 20_000, 32_000, 40_000, 52_000];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Live,
    Leaving,
    Gone,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A request of an instance reaches the engine.
    Arrive { instance: usize, sent: Time },
    /// An answer reaches an instance.
    Answer {
        instance: usize,
        sent: Time,
        limit: Option<RequestRate>,
    },
    /// A message of a peer reaches an instance.
    Message(usize, PeerLimitReport),
    /// An instance learns which others there are.
    List(usize),
    /// An instance changes its state.
    Become(usize, State),
}

#[derive(Debug)]
struct SimulatedInstance {
    limits: RateLimits,
    state: State,
    /// Requests per second.
    demand: f64,
    paused_until: Time,
    /// Number of times that it told others what it knows.
    message_rounds: usize,
    /// When an answer first told it a limit.
    told: Option<Time>,
    excused_until: Time,
}

#[derive(Debug)]
struct Fleet {
    random: ChaCha8Rng,
    now: Time,
    engine: Engine,
    /// Limits that the engine reports, by the time from which on it does.
    schedule: Vec<(Time, Option<RequestRate>)>,
    instances: Vec<SimulatedInstance>,
    events: BTreeMap<Time, Vec<Event>>,
    arrivals: VecDeque<(Time, usize)>,
    /// Number of requests that the engine received, by second.
    counts: BTreeMap<u64, usize>,
    /// When the first instance was told the present limit.
    first_told: Option<Time>,
    /// Whether the requests are checked.
    checked: bool,
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

impl Fleet {
    fn new(mut random: ChaCha8Rng, count: usize, limits: [f64; 3], demand: f64) -> Fleet {
        let rate = |limit| RequestRate::per_second(limit);
        let [first, changed, ended, again, _] = TIMES_MILLIS.map(at);
        let schedule = vec![
            (Time::ZERO, None),
            (first, rate(limits[0])),
            (changed, rate(limits[1])),
            (ended, None),
            (again, rate(limits[2])),
        ];
        let weights: Vec<f64> = (0..count).map(|_| random.random_range(0.2..1.0)).collect();
        let total: f64 = weights.iter().sum();
        let instance = |weight: &f64| SimulatedInstance {
            limits: RateLimits::new(),
            state: State::Live,
            demand: demand * weight / total,
            paused_until: Time::ZERO,
            message_rounds: 0,
            told: None,
            excused_until: Time::ZERO,
        };
        let mut fleet = Fleet {
            random,
            now: Time::ZERO,
            engine: Engine::new(EngineKey(0), entry("e0", Stage::Decode)),
            schedule,
            instances: weights.iter().map(instance).collect(),
            events: BTreeMap::new(),
            arrivals: VecDeque::new(),
            counts: BTreeMap::new(),
            first_told: None,
            checked: true,
        };
        (0..count).for_each(|index| fleet.list(index));
        fleet
    }

    fn limit(&self) -> Option<RequestRate> {
        let past = self.schedule.iter().rev().find(|(at, _)| *at <= self.now);
        past.and_then(|(_, limit)| *limit)
    }

    fn later(&mut self, millis: std::ops::Range<u64>, event: Event) {
        let due = self.now + Duration::from_millis(self.random.random_range(millis));
        self.events.entry(due).or_default().push(event);
    }

    /// The position of an instance, if it knows the present state of all others.
    fn list(&mut self, index: usize) {
        let live = |range: std::ops::Range<usize>| {
            let others = range.filter(|other| *other != index);
            others
                .filter(|other| self.instances[*other].state == State::Live)
                .count()
        };
        let known = self.instances.iter().filter(|i| i.state != State::Gone).count();
        let position = FleetPosition {
            rank: u32::try_from(live(0..index)).expect("a small number"),
            live: live(0..self.instances.len()) + 1,
            known: known.max(1),
        };
        self.instances[index].limits.set_position(position);
    }

    fn become_state(&mut self, index: usize, state: State) {
        let instance = &mut self.instances[index];
        if state == State::Live {
            instance.limits = RateLimits::new();
            instance.told = None;
            instance.excused_until = self.now + EXCUSED_TIME;
        }
        instance.state = state;
        self.list(index);
        for other in (0..self.instances.len()).filter(|other| *other != index) {
            self.later(0..MAX_LIST_DELAY_MILLIS, Event::List(other));
        }
    }

    fn fault(&mut self) {
        let index = self.random.random_range(0..self.instances.len());
        let is_live = self.instances[index].state == State::Live;
        match self.random.random_range(0..4) {
            0 if is_live => {
                let pause = Duration::from_millis(self.random.random_range(200..4_000));
                let instance = &mut self.instances[index];
                instance.paused_until = self.now + pause;
                instance.excused_until = self.now + pause + EXCUSED_TIME;
            }
            1 if is_live => self.become_state(index, State::Gone),
            2 if is_live => {
                self.become_state(index, State::Leaving);
                self.later(
                    LEAVING_MILLIS..LEAVING_MILLIS + 1,
                    Event::Become(index, State::Gone),
                );
            }
            3 if self.instances[index].state == State::Gone => self.become_state(index, State::Live),
            _ => {}
        }
    }

    fn is_running(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        instance.state != State::Gone && instance.paused_until <= self.now
    }

    fn send(&mut self, index: usize) {
        let sent = self.now;
        let limits = &self.instances[index].limits;
        if !self.is_running(index) || !limits.has_room(sent, self.engine.incarnation()) {
            return;
        }
        self.instances[index].limits.on_send(sent, &self.engine);
        self.later(
            1..20,
            Event::Arrive {
                instance: index,
                sent,
            },
        );
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { instance, sent } => {
                self.arrivals.push_back((self.now, instance));
                *self.counts.entry(self.now.as_micros() / 1_000_000).or_default() += 1;
                let limit = self.limit();
                self.later(
                    5..200,
                    Event::Answer {
                        instance,
                        sent,
                        limit,
                    },
                );
                self.check();
            }
            Event::Answer { instance, .. } if self.instances[instance].state == State::Gone => {}
            Event::Answer { instance, .. } | Event::List(instance) | Event::Message(instance, _)
                if !self.is_running(instance) =>
            {
                let due = self.instances[instance].paused_until;
                if due > self.now {
                    self.events.entry(due).or_default().push(event);
                }
            }
            Event::Answer {
                instance,
                sent,
                limit,
            } => {
                let received = self.now;
                let known = &mut self.instances[instance];
                known.limits.on_answer(
                    &self.engine,
                    LimitReport {
                        limit,
                        sent,
                        received,
                    },
                );
                known.told = known.told.or(limit.map(|_| received));
                self.first_told = self.first_told.or(limit.map(|_| received));
                if limit.is_none() {
                    known.told = None;
                }
            }
            Event::Message(instance, report) => {
                let key = Some(self.engine.key);
                self.instances[instance]
                    .limits
                    .on_peer_report(self.now, key, &report);
            }
            Event::List(instance) => self.list(instance),
            Event::Become(instance, state) => self.become_state(instance, state),
        }
    }

    /// Checks the requests in the window that ends now.
    fn check(&mut self) {
        let (now, window_start) = (self.now, self.now - WINDOW);
        while self.arrivals.front().is_some_and(|(at, _)| *at <= window_start) {
            self.arrivals.pop_front();
        }
        let first = self
            .schedule
            .iter()
            .rev()
            .take_while(|(at, l)| *at > now || l.is_some());
        let Some(first) = first.filter(|(at, _)| *at <= now).map(|(at, _)| *at).min() else {
            return;
        };
        if !self.checked || now.since(first) < GRACE {
            return;
        }
        // After a change, the higher one of both limits applies until every window is behind it.
        let recent = self.schedule.iter().rev().filter(|(at, _)| *at <= now);
        let mut limits = Vec::new();
        for (at, limit) in recent {
            limits.push(limit.map_or(0.0, RequestRate::as_f64));
            if now.since(*at) >= WINDOW + GRACE {
                break;
            }
        }
        let limit = limits.into_iter().fold(0.0, f64::max);
        let counts = |index: usize| {
            let instance = &self.instances[index];
            let is_told = instance.told.is_some_and(|at| now.since(at) >= TOLD_GRACE);
            is_told && instance.excused_until <= now
        };
        let count = self.arrivals.iter().filter(|(_, index)| counts(*index)).count();
        let allowed = limit * WINDOW.as_secs_f64() * 1.5 + 5.0;
        assert!(
            count as f64 <= allowed,
            "{count} requests in 4 s at {now}, allowed {allowed} by the limit {limit} of {} instances",
            self.instances.len()
        );
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(STEP_MILLIS);
        self.first_told = self.first_told.filter(|_| self.limit().is_some());
        while let Some(entry) = self.events.first_entry().filter(|e| *e.key() <= self.now) {
            entry.remove().into_iter().for_each(|event| self.handle(event));
        }
        if (self.now.as_micros() / 1_000).is_multiple_of(MESSAGE_MILLIS) {
            self.send_messages();
        }
        for index in 0..self.instances.len() {
            let mean = self.instances[index].demand * STEP_MILLIS as f64 / 1_000.0;
            let whole = mean.floor();
            let extra = self.random.random_bool(mean - whole);
            for _ in 0..whole as usize + usize::from(extra) {
                self.send(index);
            }
        }
    }

    /// Each instance tells some others what it knows; some messages are lost.
    fn send_messages(&mut self) {
        let count = self.instances.len();
        let turn = (self.now.as_micros() / 1_000 / MESSAGE_MILLIS) as u32;
        for from in (0..count)
            .filter(|from| self.is_running(*from))
            .collect::<Vec<_>>()
        {
            for report in self.instances[from].limits.peer_reports(self.now, turn) {
                let round = self.instances[from].message_rounds;
                self.instances[from].message_rounds += 1;
                for offset in 0..count.min(FANOUT) {
                    let to = (round * FANOUT + offset) % count;
                    if to != from && !self.random.random_bool(0.2) {
                        self.later(0..6, Event::Message(to, report));
                    }
                }
            }
        }
    }

    /// Each instance has several requests at once. Bursts before the instances know the limit are not theirs to avoid.
    fn burst(&mut self) {
        let is_known = self
            .first_told
            .is_some_and(|at| self.now.since(at) >= BURST_GRACE);
        if !is_known {
            return;
        }
        let size = self.random.random_range(1..6);
        for index in 0..self.instances.len() {
            (0..size).for_each(|_| self.send(index));
        }
    }
}

/// Guards against instances that together exceed an engine's limit: when they learn it, when it changes, when it ends,
/// in bursts, and while instances start, leave, are killed or paused.
#[test]
fn limit_kept_by_fleet() {
    for seed in seeds_or(SEEDS) {
        let _print = PrintSeedOnPanic(seed);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = [1, 2, 3, 8, 20, 60, 200][random.random_range(0..7)];
        let limits: [f64; 3] = std::array::from_fn(|_| random.random_range(-1.2_f64..4.1).exp());
        // The first windows that are checked begin a second before the first report.
        let least = limits.into_iter().fold(f64::MAX, f64::min);
        let demand = least * random.random_range(0.5..3.0);
        let has_faults = random.random_bool(0.6);
        let mut fleet = Fleet::new(random, count, limits, demand);
        while fleet.now < at(TIMES_MILLIS[4]) {
            fleet.step();
            if fleet.random.random_bool(0.002) {
                fleet.burst();
            }
            if has_faults && fleet.random.random_bool(0.003) {
                fleet.fault();
            }
        }
    }
}

/// Guards against instances that hardly use an engine that limits its requests.
#[test]
fn limit_used_by_fleet() {
    for seed in seeds_or(0..50) {
        let _print = PrintSeedOnPanic(seed);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = [1, 2, 8, 60][random.random_range(0..4)];
        let limit = random.random_range(2.0..60.0);
        let mut fleet = Fleet::new(random, count, [limit; 3], 8.0 * limit * count as f64);
        // The limit is reported from the start: what was sent before it is of no interest here.
        fleet.checked = false;
        fleet.schedule = vec![(Time::ZERO, RequestRate::per_second(limit))];
        while fleet.now < at(20_000) {
            fleet.step();
        }
        let used: usize = (8..18).filter_map(|second| fleet.counts.get(&second)).sum();
        let allowed = limit * 10.0;
        assert!(
            used as f64 >= 0.9 * allowed - 2.0 && used as f64 <= 1.1 * allowed + 5.0,
            "{used} requests of {allowed} by {count} instances"
        );
    }
}
