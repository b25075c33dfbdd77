//! Seeded runs of several authority machines before a fake key-value service and fake engines.
//!
//! Calls, orders and answers are delayed, lost and doubled, holders are paused and killed, the service is out.
//! The engines check each order that takes effect; the machines check themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::authority::Action;
use sequoiastream_core::authority::Authority;
use sequoiastream_core::authority::CallId;
use sequoiastream_core::authority::EngineConfig;
use sequoiastream_core::authority::Event;
use sequoiastream_core::authority::Fence;
use sequoiastream_core::authority::HoldAnswer;
use sequoiastream_core::authority::Incarnation;
use sequoiastream_core::authority::Order;
use sequoiastream_core::authority::OrderAnswer;
use sequoiastream_core::authority::Phase;
use sequoiastream_core::authority::Record;
use sequoiastream_core::authority::RecordVersion;
use sequoiastream_core::authority::Report;
use sequoiastream_core::authority::SendOrder;
use sequoiastream_core::authority::Settings;
use sequoiastream_core::authority::Timing;
use sequoiastream_core::authority::WriteOutcome;
use sequoiastream_core::config::Fencing;
use sequoiastream_core::config::Role;
use sequoiastream_core::engine::Target;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use uuid::Uuid;

/// Seeds that each run of the test suite takes.
const SEEDS: std::ops::Range<u64> = 0..150;

/// Names other seeds for a long run, such as `1000..5000`. A failure names its seed.
const SEEDS_FROM: &str = "SEQUOIASTREAM_SEEDS";

/// Simulated time with faults, and after them.
const FAULTY: Duration = Duration::from_secs(240);
const QUIET: Duration = Duration::from_secs(240);

const NODES: usize = 3;
const STEP: Duration = Duration::from_millis(100);
const TTL: Duration = Duration::from_secs(10);
const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn start() -> Target {
    Target {
        role: Role::Mixed,
        model: "m".to_string(),
        adapter: None,
        version: 1,
    }
}

/// Runs one instance's machine; a kill makes a new one.
struct Node {
    machine: Authority,
    incarnation: Incarnation,
    paused: Time,
}

struct Engine {
    fencing: Fencing,
    target: Target,
    sequence: u64,
    fence: Fence,
    away: Time,
    orders: BTreeMap<u64, Order>,
    history: Vec<(Time, Target, u64, Time)>,
    wish: Role,
    released: u64,
}

#[derive(Debug, Default)]
struct Kv {
    version: u64,
    record: Option<Record>,
    /// Node, incarnation and end of the lease.
    lease: Option<(usize, Incarnation, Time)>,
    out: Time,
}

#[derive(Debug, Clone)]
enum Call {
    Acquire,
    Renew,
    Read,
    Write(u64, Box<Record>),
}

#[derive(Debug, Clone)]
enum Message {
    Node(usize, Incarnation, Event),
    Kv(usize, Incarnation, CallId, Call, Time),
    Engine(usize, Incarnation, CallId, Name, Order),
}

struct World {
    seed: u64,
    rng: ChaCha8Rng,
    now: Time,
    faulty: bool,
    /// How much goes wrong in this run, 0 to 4.
    weight: u32,
    kv: Kv,
    nodes: Vec<Node>,
    engines: BTreeMap<Name, Engine>,
    queue: BTreeMap<(Time, u64), Message>,
    count: u64,
    applied: u64,
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::from_millis(1_000),
            faulty: true,
            weight: (seed % 5) as u32,
            kv: Kv::default(),
            nodes: Vec::new(),
            engines: BTreeMap::new(),
            queue: BTreeMap::new(),
            count: 0,
            applied: 0,
        };
        for (index, fencing) in [Fencing::Checked, Fencing::Ignored].into_iter().enumerate() {
            let engine = Engine {
                fencing,
                target: start(),
                sequence: 0,
                fence: Fence(0),
                away: Time::ZERO,
                orders: BTreeMap::new(),
                history: vec![(Time::ZERO, start(), 0, Time::ZERO)],
                wish: Role::Mixed,
                released: 0,
            };
            world.engines.insert(name(&format!("e{index}")), engine);
        }
        for index in 0..NODES {
            let node = world.new_node(index);
            world.nodes.push(node);
        }
        world
    }

    fn new_node(&mut self, index: usize) -> Node {
        let incarnation = Incarnation(Uuid::from_u128(u128::from(self.rng.next_u64())));
        let delay = Duration::from_millis(300 * (index as u64 + 1));
        let settings = Settings {
            service: name("s"),
            instance: name(&format!("i{index}")),
            incarnation,
            timing: Timing::new(TTL, delay),
        };
        Node {
            machine: Authority::new(settings),
            incarnation,
            paused: Time::ZERO,
        }
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.faulty && self.rng.random_range(0..200) < percent * self.weight
    }

    /// A delay on the way: mostly short, now and then longer than a lease.
    fn delay(&mut self) -> Duration {
        match self.chance(4) {
            true => self.millis(1_000..40_000),
            false => self.millis(1..60),
        }
    }

    fn post(&mut self, after: Duration, message: Message) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), message);
    }

    /// An answer on its way to a node: delayed, sometimes lost, sometimes doubled.
    fn answer(&mut self, node: usize, incarnation: Incarnation, event: Event) {
        if self.chance(2) {
            return;
        }
        let delay = self.delay();
        if self.chance(3) {
            let again = self.delay();
            self.post(again, Message::Node(node, incarnation, event.clone()));
        }
        self.post(delay, Message::Node(node, incarnation, event));
    }

    fn wishes(&self) -> Event {
        let wish = |(name, engine): (&Name, &Engine)| EngineConfig {
            name: name.clone(),
            fencing: engine.fencing,
            role: Some(engine.wish),
            released_sequence: engine.released,
        };
        Event::Configured {
            model: "m".to_string(),
            engines: self.engines.iter().map(wish).collect(),
        }
    }

    fn run(&mut self) {
        let end = self.now + FAULTY;
        while self.now < end {
            self.disturb();
            self.step();
        }
        self.faulty = false;
        self.kv.out = self.now;
        let end = self.now + QUIET;
        while self.now < end {
            self.operate();
            self.step();
        }
        self.check_end();
    }

    fn disturb(&mut self) {
        let node = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..600) {
            0..4 => {
                let pause = self.millis(1_000..30_000);
                self.nodes[node].paused = self.now + pause;
            }
            4 | 5 => self.nodes[node] = self.new_node(node),
            6 => {
                let out = self.millis(1_000..25_000);
                self.kv.out = self.now + out;
            }
            7..30 => {
                let role = ROLES[self.rng.random_range(0..ROLES.len())];
                let index = self.rng.random_range(0..self.engines.len());
                let engine = self.engines.values_mut().nth(index);
                engine.expect("in range").wish = role;
            }
            30..34 => self.operate(),
            _ => {}
        }
    }

    /// Releases an order that surely can't arrive: its process is gone, and no copy is on its way.
    fn operate(&mut self) {
        let Some(record) = &self.kv.record else { return };
        for (name, order) in &record.engines {
            let sequence = order.order.sequence;
            let alive = self.nodes.iter().any(|n| n.incarnation == order.incarnation);
            let underway = self
                .queue
                .values()
                .any(|m| matches!(m, Message::Engine(_, _, _, e, o) if e == name && o.sequence == sequence));
            if order.phase == Phase::Open && !underway && (!alive || !self.faulty) {
                self.engines.get_mut(name).expect("known").released = sequence;
            }
        }
    }

    fn step(&mut self) {
        let until = self.now + STEP;
        while let Some((&(at, id), _)) = self.queue.first_key_value()
            && at <= until
        {
            let message = self.queue.remove(&(at, id)).expect("it is first");
            self.now = self.now.max(at);
            self.deliver(message);
        }
        self.now = until;
        let believers = self.nodes.iter().filter(|n| n.machine.is_holder(until));
        assert!(
            believers.count() <= 1,
            "seed {} at {until}: two holders",
            self.seed
        );
        for node in 0..NODES {
            if self.now < self.nodes[node].paused {
                continue;
            }
            let event = match self.kv.lease {
                _ if self.now < self.kv.out => None,
                Some((_, _, end)) if self.now < end => Some(Event::Occupied),
                _ => Some(Event::Vacant),
            };
            let wishes = self.wishes();
            for event in event.into_iter().chain([wishes, Event::Tick]) {
                self.feed(node, event);
            }
        }
    }

    fn feed(&mut self, node: usize, event: Event) {
        let actions = self.nodes[node].machine.handle_event(self.now, event);
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        let incarnation = self.nodes[node].incarnation;
        match action {
            Action::Acquire(call) => self.call_kv(node, call, Call::Acquire),
            Action::Renew(call) => self.call_kv(node, call, Call::Renew),
            Action::Release => self.release(node),
            Action::Read(call) => self.call_kv(node, call, Call::Read),
            Action::Write { call, expect, record } => {
                self.call_kv(node, call, Call::Write(expect.0, Box::new(record)));
            }
            Action::Probe(engine) => {
                let lag = self.millis(0..3_000);
                let report = self.engines[&engine].report(self.now, lag);
                self.answer(node, incarnation, Event::Reported { engine, report });
            }
            Action::Hold(engine) => {
                let event = self.held(engine);
                self.answer(node, incarnation, event);
            }
            Action::AskWeights { engine, .. } => {
                self.answer(node, incarnation, Event::WeightsChecked { engine, ready: true });
            }
            Action::Send(send) => {
                assert!(self.now < send.deadline, "seed {}: decided too late", self.seed);
                self.send(node, send);
            }
            Action::AskSettlement {
                holder,
                incarnation: opened,
                engine,
                sequence,
            } => self.ask(node, &holder, opened, engine, sequence),
            Action::InvariantBroken(rule) => panic!("seed {}: {rule}", self.seed),
            _ => {}
        }
    }

    /// An order leaves: mostly at once; now and then the connection is refused, or the order takes longer
    /// than its sender waits, or its sender is paused right between its check and its send.
    fn send(&mut self, node: usize, send: SendOrder) {
        let incarnation = self.nodes[node].incarnation;
        let answer = |answer| Event::Answered {
            call: send.call,
            engine: send.engine.clone(),
            answer,
        };
        if self.chance(10) {
            return self.answer(node, incarnation, answer(OrderAnswer::Unsent));
        }
        let mut delay = self.delay();
        if self.chance(20) {
            delay = self.millis(3_000..60_000);
            match self.chance(50) {
                true => self.nodes[node].paused = self.now + delay,
                false => self.answer(node, incarnation, answer(OrderAnswer::Unknown)),
            }
        }
        let message = Message::Engine(node, incarnation, send.call, send.engine, send.order);
        self.post(delay, message);
    }

    fn release(&mut self, node: usize) {
        let by = self.nodes[node].incarnation;
        let owned = self.kv.lease.is_some_and(|(n, i, _)| (n, i) == (node, by));
        if owned && self.now >= self.kv.out {
            self.kv.lease = None;
        }
    }

    fn held(&mut self, engine: Name) -> Event {
        let mut answers = BTreeMap::new();
        for node in 0..NODES {
            let answer = match self.now < self.nodes[node].paused {
                true => HoldAnswer::Missing,
                false => HoldAnswer::InFlight(u32::from(self.chance(20))),
            };
            answers.insert(name(&format!("i{node}")), answer);
        }
        Event::HoldAnswered {
            engine,
            asked: self.now,
            done: self.now,
            answers,
        }
    }

    fn ask(&mut self, node: usize, holder: &Name, opened: Incarnation, engine: Name, sequence: u64) {
        let from = self.nodes[node].incarnation;
        let other = (0..NODES)
            .find(|n| name(&format!("i{n}")) == *holder)
            .expect("known");
        if self.now < self.nodes[other].paused {
            return;
        }
        let settlement = self.nodes[other].machine.settlement(opened, &engine, sequence);
        let event = Event::Settled {
            engine,
            sequence,
            settlement,
        };
        self.answer(node, from, event);
    }

    fn call_kv(&mut self, node: usize, call: CallId, what: Call) {
        let delay = self.delay();
        let incarnation = self.nodes[node].incarnation;
        let sent = self.now;
        self.post(delay, Message::Kv(node, incarnation, call, what, sent));
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Node(node, incarnation, event) => {
                if self.nodes[node].incarnation != incarnation {
                    return;
                }
                match self.now < self.nodes[node].paused {
                    true => {
                        let later = self.nodes[node].paused.since(self.now);
                        self.post(later, Message::Node(node, incarnation, event));
                    }
                    false => self.feed(node, event),
                }
            }
            Message::Kv(node, incarnation, call, what, sent) => {
                let event = self.serve(node, incarnation, call, what, sent);
                self.answer(node, incarnation, event);
            }
            Message::Engine(node, incarnation, call, engine, order) => {
                let answer = self.apply(&engine, order);
                let answer = if self.chance(10) {
                    OrderAnswer::Unknown
                } else {
                    answer
                };
                self.answer(node, incarnation, Event::Answered { call, engine, answer });
            }
        }
    }

    /// What the key-value service does with a call, whose answer may say less than what it did.
    fn serve(&mut self, node: usize, by: Incarnation, call: CallId, what: Call, sent: Time) -> Event {
        let out = self.now < self.kv.out;
        let lost = self.chance(5);
        let owned = self
            .kv
            .lease
            .filter(|(n, i, end)| (*n, *i) == (node, by) && self.now < *end);
        let free = self.kv.lease.is_none_or(|(_, _, end)| self.now >= end);
        match what {
            Call::Acquire if out || !free => Event::NotAcquired { call },
            Call::Acquire => {
                self.kv.lease = Some((node, by, self.now + TTL));
                match lost {
                    true => Event::NotAcquired { call },
                    false => Event::Acquired { call, sent },
                }
            }
            Call::Renew if out => Event::RenewFailed { call },
            Call::Renew => match owned {
                None => Event::Expired { call },
                Some(_) => {
                    self.kv.lease = Some((node, by, self.now + TTL));
                    match lost {
                        true => Event::RenewFailed { call },
                        false => Event::Renewed { call, sent },
                    }
                }
            },
            Call::Read if out || lost => Event::ReadFailed { call },
            Call::Read => Event::Read {
                call,
                version: RecordVersion(self.kv.version),
                record: self.kv.record.clone(),
            },
            Call::Write(_, _) if out => Event::Wrote {
                call,
                outcome: WriteOutcome::Unknown,
            },
            Call::Write(expect, record) => {
                let written = match expect == self.kv.version {
                    true => {
                        self.kv.version += 1;
                        self.kv.record = Some(*record);
                        WriteOutcome::Done(RecordVersion(self.kv.version))
                    }
                    false => WriteOutcome::Conflict,
                };
                let written = if lost { WriteOutcome::Unknown } else { written };
                Event::Wrote {
                    call,
                    outcome: written,
                }
            }
        }
    }

    /// An order reaches an engine. What must hold: an order that takes effect is the last recorded one, comes
    /// after all before it, and is the same whenever it comes again. A late copy of the one before may reach an
    /// engine that checks numbers while the next is not there yet; it must change nothing, not even the number.
    fn apply(&mut self, name: &Name, order: Order) -> OrderAnswer {
        let (seed, now) = (self.seed, self.now);
        let recorded = self.kv.record.as_ref().and_then(|r| r.engines.get(name)).cloned();
        let engine = self.engines.get_mut(name).expect("known");
        if engine.fencing == Fencing::Checked && order.fence < engine.fence {
            return OrderAnswer::Stale(engine.fence);
        }
        let recorded = recorded.expect("an order has a record").order;
        let copy = engine.fencing == Fencing::Checked
            && order.fence <= engine.fence
            && order.sequence == engine.sequence
            && order.target == engine.target;
        assert!(
            recorded.sequence == order.sequence || copy,
            "seed {seed} at {now}: stale order at {name}"
        );
        assert!(
            order.sequence >= engine.sequence,
            "seed {seed} at {now}: older order at {name}"
        );
        let first = engine
            .orders
            .entry(order.sequence)
            .or_insert_with(|| order.clone());
        let same = first.id == order.id && first.target == order.target;
        assert!(same, "seed {seed} at {now}: conflicting orders at {name}");
        engine.fence = engine.fence.max(order.fence);
        engine.sequence = order.sequence;
        if engine.target != order.target {
            engine.target = order.target;
            engine.away = now + Duration::from_secs(2);
            self.applied += 1;
        }
        let state = (now, engine.target.clone(), engine.sequence, engine.away);
        engine.history.push(state);
        OrderAnswer::Applied
    }

    fn check_end(&self) {
        for (name, engine) in &self.engines {
            assert_eq!(
                engine.target.role, engine.wish,
                "seed {}: {name} is not what was wished",
                self.seed
            );
        }
    }
}

impl Engine {
    fn report(&self, now: Time, lag: Duration) -> Report {
        let taken = now - lag;
        let shown = self.history.iter().rev().find(|(at, ..)| *at <= taken);
        let (_, target, sequence, away) = shown.unwrap_or(&self.history[0]);
        Report {
            target: target.clone(),
            away: taken < *away,
            idle: true,
            sequence: *sequence,
            taken_at: taken,
        }
    }
}

/// Three instances compete for a service's authority while everything fails that can: the engines must see
/// no conflicting and no stale order, and once the faults end each must become what operators want.
#[test]
fn machines_any_faults() {
    let seeds = seeds();
    let count = seeds.end - seeds.start;
    let mut applied = 0;
    for seed in seeds {
        let mut world = World::new(seed);
        world.run();
        applied += world.applied;
    }
    assert!(applied > 5 * count, "the runs change too little: {applied}");
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var(SEEDS_FROM) else {
        return SEEDS;
    };
    let ends = text.split_once("..").expect("FROM..TO");
    let end = |text: &str| text.parse().expect("a number");
    end(ends.0)..end(ends.1)
}
