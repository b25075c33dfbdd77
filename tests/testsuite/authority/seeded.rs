//! Seeded simulations of several authority state machines with a fake key-value service and fake engines.
//!
//! Calls, orders and answers are delayed, lost and duplicated, holders are paused and killed, and the key-value
//! service has outages. The engines check each order that takes effect; the state machines check their own
//! invariants.

mod fakes;

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
use sequoiastream_core::authority::SendOrder;
use sequoiastream_core::authority::Settings;
use sequoiastream_core::authority::Timing;
use sequoiastream_core::config::Fencing;
use sequoiastream_core::config::Role;
use sequoiastream_core::engine::Target;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use uuid::Uuid;

/// Seeds that each run of the test suite uses.
const SEEDS: std::ops::Range<u64> = 0..150;

/// Environment variable with another range of seeds for a long run, such as `1000..5000`. A failure prints its seed.
const SEEDS_VARIABLE: &str = "SEQUOIASTREAM_SEEDS";

/// Simulated time with faults.
const FAULTY_PERIOD: Duration = Duration::from_secs(240);
/// Simulated time without faults, which follows.
const RECOVERY_PERIOD: Duration = Duration::from_secs(240);

const NODES: usize = 3;
const STEP: Duration = Duration::from_millis(100);
const TTL: Duration = Duration::from_secs(10);
const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn initial_target() -> Target {
    Target {
        role: Role::Mixed,
        model: "m".to_string(),
        adapter: None,
        version: 1,
    }
}

/// One instance with its state machine; a kill replaces it by a new one.
struct Node {
    machine: Authority,
    incarnation: Incarnation,
    paused_until: Time,
}

struct Engine {
    fencing: Fencing,
    target: Target,
    sequence: u64,
    fence: Fence,
    away_until: Time,
    orders: BTreeMap<u64, Order>,
    history: Vec<(Time, Target, u64, Time)>,
    desired_role: Role,
    released_sequence: u64,
}

#[derive(Debug, Default)]
struct Kv {
    version: u64,
    record: Option<Record>,
    /// Node and incarnation of the lease's holder, and when the lease expires.
    lease: Option<(usize, Incarnation, Time)>,
    outage_until: Time,
}

#[derive(Debug, Clone)]
enum KvCall {
    Acquire,
    Renew,
    Read,
    Write(u64, Box<Record>),
}

#[derive(Debug, Clone)]
enum Message {
    Node(usize, Incarnation, Event),
    Kv(usize, Incarnation, CallId, KvCall, Time),
    Engine(usize, Incarnation, CallId, Name, Order),
}

struct Simulation {
    seed: u64,
    rng: ChaCha8Rng,
    now: Time,
    faults_enabled: bool,
    /// How frequent faults are in this run, from 0 (none) to 4.
    fault_weight: u32,
    kv: Kv,
    nodes: Vec<Node>,
    engines: BTreeMap<Name, Engine>,
    queue: BTreeMap<(Time, u64), Message>,
    last_id: u64,
    applied_orders: u64,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut simulation = Simulation {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::from_millis(1_000),
            faults_enabled: true,
            fault_weight: (seed % 5) as u32,
            kv: Kv::default(),
            nodes: Vec::new(),
            engines: BTreeMap::new(),
            queue: BTreeMap::new(),
            last_id: 0,
            applied_orders: 0,
        };
        for (index, fencing) in [Fencing::Checked, Fencing::Ignored].into_iter().enumerate() {
            let engine = Engine {
                fencing,
                target: initial_target(),
                sequence: 0,
                fence: Fence(0),
                away_until: Time::ZERO,
                orders: BTreeMap::new(),
                history: vec![(Time::ZERO, initial_target(), 0, Time::ZERO)],
                desired_role: Role::Mixed,
                released_sequence: 0,
            };
            simulation.engines.insert(name(&format!("e{index}")), engine);
        }
        for index in 0..NODES {
            let node = simulation.new_node(index);
            simulation.nodes.push(node);
        }
        simulation
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
            paused_until: Time::ZERO,
        }
    }

    fn random_millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.faults_enabled && self.rng.random_range(0..200) < percent * self.fault_weight
    }

    /// A delivery delay: mostly short, occasionally longer than a lease.
    fn random_delay(&mut self) -> Duration {
        match self.chance(4) {
            true => self.random_millis(1_000..40_000),
            false => self.random_millis(1..60),
        }
    }

    fn schedule(&mut self, after: Duration, message: Message) {
        self.last_id += 1;
        self.queue.insert((self.now + after, self.last_id), message);
    }

    /// Sends an answer to a node: delayed, sometimes lost, sometimes duplicated.
    fn send_answer(&mut self, node: usize, incarnation: Incarnation, event: Event) {
        if self.chance(2) {
            return;
        }
        let delay = self.random_delay();
        if self.chance(3) {
            let again = self.random_delay();
            self.schedule(again, Message::Node(node, incarnation, event.clone()));
        }
        self.schedule(delay, Message::Node(node, incarnation, event));
    }

    fn config_event(&self) -> Event {
        let engine_config = |(name, engine): (&Name, &Engine)| EngineConfig {
            name: name.clone(),
            fencing: engine.fencing,
            role: Some(engine.desired_role),
            released_sequence: engine.released_sequence,
        };
        Event::Configured {
            model: "m".to_string(),
            engines: self.engines.iter().map(engine_config).collect(),
        }
    }

    fn run(&mut self) {
        let end = self.now + FAULTY_PERIOD;
        while self.now < end {
            self.inject_events();
            self.step();
        }
        self.faults_enabled = false;
        self.kv.outage_until = self.now;
        let end = self.now + RECOVERY_PERIOD;
        while self.now < end {
            self.release_orders();
            self.step();
        }
        self.check_end();
    }

    fn inject_events(&mut self) {
        let node = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..600) {
            0..4 => {
                let pause = self.random_millis(1_000..30_000);
                self.nodes[node].paused_until = self.now + pause;
            }
            4 | 5 => self.nodes[node] = self.new_node(node),
            6 => {
                let outage = self.random_millis(1_000..25_000);
                self.kv.outage_until = self.now + outage;
            }
            7..30 => {
                let role = ROLES[self.rng.random_range(0..ROLES.len())];
                let index = self.rng.random_range(0..self.engines.len());
                let engine = self.engines.values_mut().nth(index);
                engine.expect("in range").desired_role = role;
            }
            30..34 => self.release_orders(),
            _ => {}
        }
    }

    /// Releases the orders that are certain not to arrive any more: no copy is in flight, and the process that opened
    /// the order has ended or the period of faults is over.
    fn release_orders(&mut self) {
        let Some(record) = &self.kv.record else { return };
        for (name, order) in &record.engines {
            let sequence = order.order.sequence;
            let alive = self.nodes.iter().any(|n| n.incarnation == order.incarnation);
            let in_flight = self
                .queue
                .values()
                .any(|m| matches!(m, Message::Engine(_, _, _, e, o) if e == name && o.sequence == sequence));
            if order.phase == Phase::Open && !in_flight && (!alive || !self.faults_enabled) {
                self.engines.get_mut(name).expect("known").released_sequence = sequence;
            }
        }
    }

    fn step(&mut self) {
        let until = self.now + STEP;
        while let Some((&(at, id), _)) = self.queue.first_key_value()
            && at <= until
        {
            let message = self.queue.remove(&(at, id)).expect("the first entry exists");
            self.now = self.now.max(at);
            self.deliver(message);
        }
        self.now = until;
        let holders = self.nodes.iter().filter(|n| n.machine.is_holder(until));
        assert!(
            holders.count() <= 1,
            "seed {} at {until}: two instances believe that they hold the lease",
            self.seed
        );
        for node in 0..NODES {
            if self.now < self.nodes[node].paused_until {
                continue;
            }
            let event = match self.kv.lease {
                _ if self.now < self.kv.outage_until => None,
                Some((_, _, end)) if self.now < end => Some(Event::Occupied),
                _ => Some(Event::Vacant),
            };
            let config = self.config_event();
            for event in event.into_iter().chain([config, Event::Tick]) {
                self.on_event(node, event);
            }
        }
    }

    fn on_event(&mut self, node: usize, event: Event) {
        let actions = self.nodes[node].machine.handle_event(self.now, event);
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        let incarnation = self.nodes[node].incarnation;
        match action {
            Action::Acquire(call) => self.call_kv(node, call, KvCall::Acquire),
            Action::Renew(call) => self.call_kv(node, call, KvCall::Renew),
            Action::Release => self.release_lease(node),
            Action::Read(call) => self.call_kv(node, call, KvCall::Read),
            Action::Write { call, expect, record } => {
                self.call_kv(node, call, KvCall::Write(expect.0, Box::new(record)));
            }
            Action::Probe(engine) => {
                let lag = self.random_millis(0..3_000);
                let report = self.engines[&engine].report(self.now, lag);
                self.send_answer(node, incarnation, Event::Reported { engine, report });
            }
            Action::Hold(engine) => {
                let event = self.hold_answers(engine);
                self.send_answer(node, incarnation, event);
            }
            Action::Unhold(engine) => self.send_answer(node, incarnation, Event::Unheld(engine)),
            Action::AskWeights { engine, .. } => {
                self.send_answer(node, incarnation, Event::WeightsChecked { engine, ready: true });
            }
            Action::Send(send) => {
                assert!(
                    self.now < send.deadline,
                    "seed {}: order sent after its deadline",
                    self.seed
                );
                self.send_order(node, send);
            }
            Action::AskSettlement {
                holder,
                incarnation: opened,
                engine,
                sequence,
            } => self.ask_settlement(node, &holder, opened, engine, sequence),
            Action::InvariantBroken(rule) => panic!("seed {}: {rule}", self.seed),
            _ => {}
        }
    }

    /// Sends an order: mostly at once; occasionally the connection is refused, or the order takes longer than its
    /// sender waits, or its sender is paused between its check and the send.
    fn send_order(&mut self, node: usize, send: SendOrder) {
        let incarnation = self.nodes[node].incarnation;
        let answer = |answer| Event::Answered {
            call: send.call,
            engine: send.engine.clone(),
            answer,
        };
        if self.chance(10) {
            return self.send_answer(node, incarnation, answer(OrderAnswer::Unsent));
        }
        let mut delay = self.random_delay();
        if self.chance(20) {
            delay = self.random_millis(3_000..60_000);
            match self.chance(50) {
                true => self.nodes[node].paused_until = self.now + delay,
                false => self.send_answer(node, incarnation, answer(OrderAnswer::Unknown)),
            }
        }
        let message = Message::Engine(node, incarnation, send.call, send.engine, send.order);
        self.schedule(delay, message);
    }

    fn release_lease(&mut self, node: usize) {
        let by = self.nodes[node].incarnation;
        let owned = self.kv.lease.is_some_and(|(n, i, _)| (n, i) == (node, by));
        if owned && self.now >= self.kv.outage_until {
            self.kv.lease = None;
        }
    }

    fn hold_answers(&mut self, engine: Name) -> Event {
        let mut answers = BTreeMap::new();
        for node in 0..NODES {
            let answer = match self.now < self.nodes[node].paused_until {
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

    fn ask_settlement(
        &mut self,
        node: usize,
        holder: &Name,
        opened: Incarnation,
        engine: Name,
        sequence: u64,
    ) {
        let from = self.nodes[node].incarnation;
        let other = (0..NODES)
            .find(|n| name(&format!("i{n}")) == *holder)
            .expect("known");
        if self.now < self.nodes[other].paused_until {
            return;
        }
        let settlement = self.nodes[other].machine.settlement(opened, &engine, sequence);
        let event = Event::Settled {
            engine,
            sequence,
            settlement,
        };
        self.send_answer(node, from, event);
    }

    fn call_kv(&mut self, node: usize, call: CallId, kv_call: KvCall) {
        let delay = self.random_delay();
        let incarnation = self.nodes[node].incarnation;
        let sent = self.now;
        self.schedule(delay, Message::Kv(node, incarnation, call, kv_call, sent));
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Node(node, incarnation, event) => {
                if self.nodes[node].incarnation != incarnation {
                    return;
                }
                match self.now < self.nodes[node].paused_until {
                    true => {
                        let later = self.nodes[node].paused_until.since(self.now);
                        self.schedule(later, Message::Node(node, incarnation, event));
                    }
                    false => self.on_event(node, event),
                }
            }
            Message::Kv(node, incarnation, call, kv_call, sent) => {
                let event = self.serve_kv_call(node, incarnation, call, kv_call, sent);
                self.send_answer(node, incarnation, event);
            }
            Message::Engine(node, incarnation, call, engine, order) => {
                let answer = self.apply_order(&engine, order);
                let answer = if self.chance(10) {
                    OrderAnswer::Unknown
                } else {
                    answer
                };
                self.send_answer(node, incarnation, Event::Answered { call, engine, answer });
            }
        }
    }

    fn check_end(&self) {
        for (name, engine) in &self.engines {
            assert_eq!(
                engine.target.role, engine.desired_role,
                "seed {}: {name} does not have its desired role",
                self.seed
            );
        }
    }
}

/// Three instances compete for a service's authority while messages, processes and the key-value service fail. The
/// engines must not carry out a conflicting or stale order, and once the faults end each engine must get the role that
/// operators want.
#[test]
fn machines_any_faults() {
    let seeds = seeds();
    let count = seeds.end - seeds.start;
    let mut applied = 0;
    for seed in seeds {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        applied += simulation.applied_orders;
    }
    assert!(applied > 5 * count, "too few orders changed an engine: {applied}");
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        return SEEDS;
    };
    let ends = text.split_once("..").expect("FROM..TO");
    let end = |text: &str| text.parse().expect("a number");
    end(ends.0)..end(ends.1)
}
