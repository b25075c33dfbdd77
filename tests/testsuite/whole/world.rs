//! The simulation: instances, time, faults and messages in flight.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::authority;
use sequoiastream_core::authority::Authority;
use sequoiastream_core::authority::CallId;
use sequoiastream_core::authority::Incarnation;
use sequoiastream_core::authority::Order;
use sequoiastream_core::authority::Settings;
use sequoiastream_core::authority::Timing;
use sequoiastream_core::claims::ClaimRequest;
use sequoiastream_core::claims::Clocks;
use sequoiastream_core::claims::Owner;
use sequoiastream_core::claims::OwnerEvent;
use sequoiastream_core::claims::OwnerSettings;
use sequoiastream_core::claims::Verdict;
use sequoiastream_core::config;
use sequoiastream_core::config::Command;
use sequoiastream_core::config::CommandId;
use sequoiastream_core::config::Fencing;
use sequoiastream_core::config::Replicator;
use sequoiastream_core::config::Version;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;
use uuid::Uuid;

use super::engines::Engine;
use super::kv::Kv;
use super::kv::KvCall;
use super::kv::TTL;
use super::requests::Request;
use crate::claims::machines::WALL;

pub const INSTANCES: usize = 3;

/// Simulated time with faults.
const FAULTY_PERIOD: Duration = Duration::from_secs(90);
/// Simulated time without faults, which follows.
const RECOVERY_PERIOD: Duration = Duration::from_secs(240);

const STEP: Duration = Duration::from_millis(100);

/// How long a state machine waits for the key-value service.
const KV_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a proposal may take before a replicator fails it.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);

pub fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// One process of an instance; a restart begins the next generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Process {
    pub index: usize,
    pub generation: u32,
}

/// A message in flight.
#[derive(Debug, Clone)]
pub enum Message {
    Replicator(config::Event),
    Authority(authority::Event),
    Owner(OwnerEvent),
    Claim(usize, ClaimRequest),
    Verdict(usize, u64, Verdict),
    RequestEnded(usize, bool),
    Kv(Process, KvCall, bool),
    Order(Process, CallId, Name, Order),
    RunRequest(usize),
    Fetch(Process, Version),
}

/// The state machines of one process, which are paused, killed and disconnected together.
pub struct Instance {
    pub generation: u32,
    pub incarnation: Incarnation,
    pub replicator: Replicator,
    pub authority: Authority,
    pub owner: Owner,
    pub wake_at: Option<Time>,
    pub paused_until: Time,
    /// Until when the instance can't reach the key-value service.
    pub disconnected_until: Time,
    /// Last time at which the process was not running.
    pub last_stopped: Time,
    /// Highest version that was in force in this process.
    pub published: Version,
}

pub struct Simulation {
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub faults_enabled: bool,
    /// How frequent faults are in this run, from 0 (none) to 4.
    fault_weight: u32,
    pub kv: Kv,
    pub instances: Vec<Instance>,
    pub engines: BTreeMap<Name, Engine>,
    queue: BTreeMap<(Time, u64), (Option<Process>, Message)>,
    pub last_id: u64,
    pub requests: Vec<Request>,
    pub queries: BTreeMap<u64, (usize, u64)>,
    pub runs: BTreeMap<usize, u32>,
    pub proposed: BTreeMap<CommandId, Vec<Command>>,
    /// When operators last submitted the release of an order.
    pub released_at: BTreeMap<(Name, u64), Time>,
    pub applied_orders: u64,
    pub refused_requests: u64,
    /// Number of picks that were checked against the configuration accepted 3 s before.
    pub timely_picks: u64,
    /// Number of those picks that were made by instances disconnected from the key-value service.
    pub disconnected_picks: u64,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let engines = [("e0", Fencing::Checked), ("e1", Fencing::Ignored)];
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::from_millis(1_000),
            faults_enabled: true,
            fault_weight: (seed % 5) as u32,
            kv: Kv::default(),
            instances: Vec::new(),
            engines: engines.map(|(n, f)| (name(n), Engine::new(f))).into(),
            queue: BTreeMap::new(),
            last_id: 0,
            requests: Vec::new(),
            queries: BTreeMap::new(),
            runs: BTreeMap::new(),
            proposed: BTreeMap::new(),
            released_at: BTreeMap::new(),
            applied_orders: 0,
            refused_requests: 0,
            timely_picks: 0,
            disconnected_picks: 0,
        };
        simulation.accept_first_change();
        for index in 0..INSTANCES {
            let instance = simulation.new_instance(index, 0);
            simulation.instances.push(instance);
        }
        simulation
    }

    fn new_instance(&mut self, index: usize, generation: u32) -> Instance {
        let incarnation = Incarnation(Uuid::from_u128(u128::from(self.rng.next_u64())));
        let delay = Duration::from_millis(300 * (index as u64 + 1));
        let settings = Settings {
            service: name("model"),
            instance: name(&format!("i{index}")),
            incarnation,
            timing: Timing::new(TTL, delay),
        };
        Instance {
            generation,
            incarnation,
            replicator: Replicator::new(self.now, PROPOSAL_TIMEOUT),
            authority: Authority::new(settings),
            owner: Owner::new(OwnerSettings::default()),
            wake_at: None,
            paused_until: Time::ZERO,
            disconnected_until: Time::ZERO,
            last_stopped: self.now,
            published: Version::default(),
        }
    }

    pub fn random_millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        self.faults_enabled && self.rng.random_range(0..200) < percent * self.fault_weight
    }

    /// A delivery delay: mostly short, occasionally longer than a lease.
    pub fn random_delay(&mut self) -> Duration {
        match self.chance(4) {
            true => self.random_millis(1_000..40_000),
            false => self.random_millis(1..60),
        }
    }

    pub fn process(&self, index: usize) -> Process {
        Process {
            index,
            generation: self.instances[index].generation,
        }
    }

    pub fn clocks(&self) -> Clocks {
        Clocks {
            time: self.now,
            wall: WallTime(WALL + self.now.as_micros() / 1_000),
        }
    }

    /// Sends a message, to arrive after `after`. A message to a process is lost if the process has ended by then.
    pub fn schedule(&mut self, after: Duration, to: Option<Process>, message: Message) {
        self.last_id += 1;
        self.queue.insert((self.now + after, self.last_id), (to, message));
    }

    /// Whether a copy of this order is in flight.
    pub fn is_in_flight(&self, engine: &Name, sequence: u64) -> bool {
        self.queue
            .values()
            .any(|(_, m)| matches!(m, Message::Order(_, _, e, o) if e == engine && o.sequence == sequence))
    }

    pub fn run(&mut self) {
        let end = self.now + FAULTY_PERIOD;
        while self.now < end {
            self.inject_events();
            self.step();
        }
        self.faults_enabled = false;
        self.kv.outage_until = self.now;
        self.kv.slow_until = self.now;
        for instance in &mut self.instances {
            instance.disconnected_until = self.now;
        }
        let end = self.now + RECOVERY_PERIOD;
        while self.now < end {
            self.release_orders();
            self.step();
        }
        self.check_end();
    }

    fn inject_events(&mut self) {
        let index = self.rng.random_range(0..INSTANCES);
        match self.rng.random_range(0..600) {
            0..4 => self.pause(index, 1_000..30_000),
            4..7 => self.kill(index),
            7 => self.kv.outage_until = self.now + self.random_millis(1_000..25_000),
            8 => self.kv.slow_until = self.now + self.random_millis(1_000..25_000),
            9..13 => self.instances[index].disconnected_until = self.now + self.random_millis(1_000..20_000),
            13..50 => self.submit_statement(index),
            50..53 => self.release_orders(),
            53..150 => self.start_request(),
            _ => {}
        }
    }

    pub fn pause(&mut self, index: usize, range: std::ops::Range<u64>) {
        if !self.faults_enabled {
            return;
        }
        let until = self.now + self.random_millis(range);
        self.instances[index].paused_until = self.instances[index].paused_until.max(until);
    }

    fn kill(&mut self, index: usize) {
        let generation = self.instances[index].generation + 1;
        let disconnected_until = self.instances[index].disconnected_until;
        self.instances[index] = self.new_instance(index, generation);
        self.instances[index].disconnected_until = disconnected_until;
    }

    fn step(&mut self) {
        let until = self.now + STEP;
        while let Some((&(at, id), _)) = self.queue.first_key_value()
            && at <= until
        {
            let (to, message) = self.queue.remove(&(at, id)).expect("the first entry exists");
            self.now = self.now.max(at);
            self.deliver(to, message);
        }
        self.now = until;
        let holders = self.instances.iter().filter(|i| i.authority.is_holder(until));
        assert!(
            holders.count() <= 1,
            "{until}: two instances believe that they hold the lease"
        );
        for index in 0..INSTANCES {
            match self.now < self.instances[index].paused_until {
                true => self.instances[index].last_stopped = self.now,
                false => self.tick(index),
            }
        }
    }

    fn tick(&mut self, index: usize) {
        self.on_replicator_event(index, config::Event::Tick);
        self.tick_authority(index);
        if self.rng.random_range(0..3) == 0 {
            self.gossip(index);
        }
        // Stands for the watch on the head, which is renewed about once a second even if nothing changed.
        if self.rng.random_range(0..10) == 0 {
            self.call_kv(index, KvCall::ReadHead);
        }
    }

    fn deliver(&mut self, to: Option<Process>, message: Message) {
        let Some(to) = to else {
            return self.deliver_to_service(message);
        };
        let index = to.index;
        let instance = &self.instances[index];
        if instance.generation != to.generation {
            return;
        }
        if self.now < instance.paused_until {
            let later = instance.paused_until.since(self.now);
            return self.schedule(later, Some(to), message);
        }
        match message {
            Message::Replicator(event) => self.on_replicator_event(index, event),
            Message::Authority(event) => self.on_authority_event(index, event),
            Message::Owner(event) => self.on_owner_event(index, event),
            Message::Claim(request, claim) => self.on_claim(index, request, claim),
            Message::Verdict(request, attempt, verdict) => self.on_verdict(request, attempt, verdict),
            Message::RequestEnded(request, answered) => self.on_request_ended(request, answered),
            Message::Fetch(from, after) => self.on_fetch(index, from, after),
            other => panic!("{other:?} is not a message to a process"),
        }
    }

    /// Delivers a message to the key-value service, an engine or the plain upstream.
    fn deliver_to_service(&mut self, message: Message) {
        match message {
            Message::Kv(from, call, answered) => self.serve_kv_call(from, call, answered),
            Message::Order(from, call, engine, order) => self.deliver_order(from, call, engine, order),
            Message::RunRequest(request) => self.run_request(request),
            other => panic!("{other:?} is a message to a process"),
        }
    }

    pub fn on_owner_event(&mut self, index: usize, event: OwnerEvent) {
        let clocks = self.clocks();
        for action in self.instances[index].owner.on(clocks, event) {
            self.perform_owner_action(index, action);
        }
    }

    /// Calls the key-value service. The call may take longer than its state machine waits, and still arrive.
    pub fn call_kv(&mut self, index: usize, call: KvCall) {
        let from = self.process(index);
        let slow = self.now < self.kv.slow_until || self.chance(5);
        let travel = match slow {
            true => self.random_millis(100..3_000),
            false => self.random_millis(1..20),
        };
        if call.is_compare_and_swap() && self.chance(5) {
            let later = travel + self.random_millis(1..3_000);
            self.schedule(later, None, Message::Kv(from, call.clone(), false));
        }
        let answered = travel < KV_TIMEOUT;
        if !answered && let Some(failed) = call.failure_message(true) {
            self.schedule(KV_TIMEOUT, Some(from), failed);
        }
        self.schedule(travel, None, Message::Kv(from, call, answered));
    }

    fn serve_kv_call(&mut self, from: Process, call: KvCall, answered: bool) {
        let lost = self.chance(5);
        let instance = &self.instances[from.index];
        let unreachable = self.now < self.kv.outage_until || self.now < instance.disconnected_until;
        let failed = call.failure_message(!unreachable);
        let by = match instance.generation == from.generation {
            true => instance.incarnation,
            // A process that has ended no longer asks for the lease.
            false if matches!(call, KvCall::Acquire(..) | KvCall::Renew(..)) => return,
            false => Incarnation(Uuid::nil()),
        };
        let answer_event = match unreachable {
            true => None,
            false => self.kv.serve(self.now, from.index, by, call),
        };
        let answer = if unreachable || lost { failed } else { answer_event };
        let travel = if lost {
            KV_TIMEOUT
        } else {
            self.random_millis(1..20)
        };
        if answered && let Some(answer) = answer {
            self.schedule(travel, Some(from), answer);
        }
    }
}
