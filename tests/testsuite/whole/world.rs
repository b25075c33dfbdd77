//! Instances, time, faults and messages on their way.

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
use super::kv::Call;
use super::kv::Kv;
use super::kv::TTL;
use super::requests::Request;
use crate::claims::machines::WALL;

pub const INSTANCES: usize = 3;

/// Simulated time with faults, and after them.
const FAULTY: Duration = Duration::from_secs(90);
const QUIET: Duration = Duration::from_secs(240);

const STEP: Duration = Duration::from_millis(100);

/// How long a machine waits for the key-value service.
const TIMEOUT: Duration = Duration::from_secs(1);

/// How long a proposal may take.
const LIMIT: Duration = Duration::from_secs(10);

pub fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// An instance, in one of its lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Process {
    pub index: usize,
    pub life: u32,
}

/// What is on its way.
#[derive(Debug, Clone)]
pub enum Message {
    Keeper(config::Event),
    Authority(authority::Event),
    Owner(OwnerEvent),
    Ask(usize, ClaimRequest),
    Entry(usize, u64, Verdict),
    Ended(usize, bool),
    Kv(Process, Call, bool),
    Order(Process, CallId, Name, Order),
    Run(usize),
    Fetch(Process, Version),
}

/// The machines of one process: they are paused, killed and cut off together.
pub struct Instance {
    pub life: u32,
    pub incarnation: Incarnation,
    pub keeper: Replicator,
    pub authority: Authority,
    pub owner: Owner,
    pub wake: Option<Time>,
    pub paused: Time,
    /// Cut off from the key-value service until then.
    pub cut: Time,
    /// Last time at which it was not running.
    pub disturbed: Time,
    /// Highest version that it had in force in this life.
    pub published: Version,
}

pub struct World {
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub faulty: bool,
    /// How much goes wrong in this run, 0 to 4.
    weight: u32,
    pub kv: Kv,
    pub instances: Vec<Instance>,
    pub engines: BTreeMap<Name, Engine>,
    queue: BTreeMap<(Time, u64), (Option<Process>, Message)>,
    pub count: u64,
    pub requests: Vec<Request>,
    pub tickets: BTreeMap<u64, (usize, u64)>,
    pub runs: BTreeMap<usize, u32>,
    pub proposed: BTreeMap<CommandId, Vec<Command>>,
    /// When operators last released an order.
    pub stated: BTreeMap<(Name, u64), Time>,
    pub applied: u64,
    pub refused: u64,
    /// Picks checked against what was accepted 3 s before; and those of instances cut off from the service.
    pub timely: u64,
    pub by_peers: u64,
}

impl World {
    pub fn new(seed: u64) -> World {
        let engines = [("e0", Fencing::Checked), ("e1", Fencing::Ignored)];
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::from_millis(1_000),
            faulty: true,
            weight: (seed % 5) as u32,
            kv: Kv::default(),
            instances: Vec::new(),
            engines: engines.map(|(n, f)| (name(n), Engine::new(f))).into(),
            queue: BTreeMap::new(),
            count: 0,
            requests: Vec::new(),
            tickets: BTreeMap::new(),
            runs: BTreeMap::new(),
            proposed: BTreeMap::new(),
            stated: BTreeMap::new(),
            applied: 0,
            refused: 0,
            timely: 0,
            by_peers: 0,
        };
        world.found();
        for index in 0..INSTANCES {
            let instance = world.new_instance(index, 0);
            world.instances.push(instance);
        }
        world
    }

    fn new_instance(&mut self, index: usize, life: u32) -> Instance {
        let incarnation = Incarnation(Uuid::from_u128(u128::from(self.rng.next_u64())));
        let delay = Duration::from_millis(300 * (index as u64 + 1));
        let settings = Settings {
            service: name("model"),
            instance: name(&format!("i{index}")),
            incarnation,
            timing: Timing::new(TTL, delay),
        };
        Instance {
            life,
            incarnation,
            keeper: Replicator::new(self.now, LIMIT),
            authority: Authority::new(settings),
            owner: Owner::new(OwnerSettings::default()),
            wake: None,
            paused: Time::ZERO,
            cut: Time::ZERO,
            disturbed: self.now,
            published: Version::default(),
        }
    }

    pub fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        self.faulty && self.rng.random_range(0..200) < percent * self.weight
    }

    /// A delay on the way: mostly short, now and then longer than a lease.
    pub fn delay(&mut self) -> Duration {
        match self.chance(4) {
            true => self.millis(1_000..40_000),
            false => self.millis(1..60),
        }
    }

    pub fn process(&self, index: usize) -> Process {
        Process {
            index,
            life: self.instances[index].life,
        }
    }

    pub fn clocks(&self) -> Clocks {
        Clocks {
            time: self.now,
            wall: WallTime(WALL + self.now.as_micros() / 1_000),
        }
    }

    /// Sends a message; what is for a process is lost with it.
    pub fn post(&mut self, after: Duration, to: Option<Process>, message: Message) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), (to, message));
    }

    /// Whether a copy of this order is on its way.
    pub fn is_underway(&self, engine: &Name, sequence: u64) -> bool {
        self.queue
            .values()
            .any(|(_, m)| matches!(m, Message::Order(_, _, e, o) if e == engine && o.sequence == sequence))
    }

    pub fn run(&mut self) {
        let end = self.now + FAULTY;
        while self.now < end {
            self.disturb();
            self.step();
        }
        self.faulty = false;
        self.kv.out = self.now;
        self.kv.slow = self.now;
        for instance in &mut self.instances {
            instance.cut = self.now;
        }
        let end = self.now + QUIET;
        while self.now < end {
            self.release_orders();
            self.step();
        }
        self.check_end();
    }

    fn disturb(&mut self) {
        let index = self.rng.random_range(0..INSTANCES);
        match self.rng.random_range(0..600) {
            0..4 => self.pause(index, 1_000..30_000),
            4..7 => self.kill(index),
            7 => self.kv.out = self.now + self.millis(1_000..25_000),
            8 => self.kv.slow = self.now + self.millis(1_000..25_000),
            9..13 => self.instances[index].cut = self.now + self.millis(1_000..20_000),
            13..50 => self.submit(index),
            50..53 => self.release_orders(),
            53..150 => self.start(),
            _ => {}
        }
    }

    pub fn pause(&mut self, index: usize, range: std::ops::Range<u64>) {
        if !self.faulty {
            return;
        }
        let until = self.now + self.millis(range);
        self.instances[index].paused = self.instances[index].paused.max(until);
    }

    fn kill(&mut self, index: usize) {
        let life = self.instances[index].life + 1;
        let cut = self.instances[index].cut;
        self.instances[index] = self.new_instance(index, life);
        self.instances[index].cut = cut;
    }

    fn step(&mut self) {
        let until = self.now + STEP;
        while let Some((&(at, id), _)) = self.queue.first_key_value()
            && at <= until
        {
            let (to, message) = self.queue.remove(&(at, id)).expect("it is first");
            self.now = self.now.max(at);
            self.deliver(to, message);
        }
        self.now = until;
        let holders = self.instances.iter().filter(|i| i.authority.is_holder(until));
        assert!(holders.count() <= 1, "{until}: two holders");
        for index in 0..INSTANCES {
            match self.now < self.instances[index].paused {
                true => self.instances[index].disturbed = self.now,
                false => self.tick(index),
            }
        }
    }

    fn tick(&mut self, index: usize) {
        self.tell_keeper(index, config::Event::Tick);
        self.tick_authority(index);
        if self.rng.random_range(0..3) == 0 {
            self.gossip(index);
        }
        // The watch on the head, renewed about once a second even if nothing changed.
        if self.rng.random_range(0..10) == 0 {
            self.call(index, Call::ReadHead);
        }
    }

    fn deliver(&mut self, to: Option<Process>, message: Message) {
        let Some(to) = to else {
            return self.arrive(message);
        };
        let index = to.index;
        let instance = &self.instances[index];
        if instance.life != to.life {
            return;
        }
        if self.now < instance.paused {
            let later = instance.paused.since(self.now);
            return self.post(later, Some(to), message);
        }
        match message {
            Message::Keeper(event) => self.tell_keeper(index, event),
            Message::Authority(event) => self.tell_authority(index, event),
            Message::Owner(event) => self.tell_owner(index, event),
            Message::Ask(request, ask) => self.asked(index, request, ask),
            Message::Entry(request, asked, verdict) => self.entry(request, asked, verdict),
            Message::Ended(request, answered) => self.ended(request, answered),
            Message::Fetch(from, after) => self.fetched(index, from, after),
            other => panic!("{other:?} is not for a process"),
        }
    }

    /// A message reaches the key-value service, an engine or the plain upstream.
    fn arrive(&mut self, message: Message) {
        match message {
            Message::Kv(from, call, answered) => self.serve(from, call, answered),
            Message::Order(from, call, engine, order) => self.order(from, call, engine, order),
            Message::Run(request) => self.ran(request),
            other => panic!("{other:?} is for a process"),
        }
    }

    pub fn tell_owner(&mut self, index: usize, event: OwnerEvent) {
        let clocks = self.clocks();
        for action in self.instances[index].owner.on(clocks, event) {
            self.owner_acts(index, action);
        }
    }

    /// Calls the key-value service: the call may take longer than its machine waits, and arrive all the same.
    pub fn call(&mut self, index: usize, call: Call) {
        let from = self.process(index);
        let slow = self.now < self.kv.slow || self.chance(5);
        let travel = match slow {
            true => self.millis(100..3_000),
            false => self.millis(1..20),
        };
        if call.is_compared() && self.chance(5) {
            let later = travel + self.millis(1..3_000);
            self.post(later, None, Message::Kv(from, call.clone(), false));
        }
        let answered = travel < TIMEOUT;
        if !answered && let Some(failed) = call.failed(true) {
            self.post(TIMEOUT, Some(from), failed);
        }
        self.post(travel, None, Message::Kv(from, call, answered));
    }

    fn serve(&mut self, from: Process, call: Call, answered: bool) {
        let lost = self.chance(5);
        let instance = &self.instances[from.index];
        let away = self.now < self.kv.out || self.now < instance.cut;
        let failed = call.failed(!away);
        let by = match instance.life == from.life {
            true => instance.incarnation,
            // The lease of a process that is gone is asked for by nobody.
            false if matches!(call, Call::Acquire(..) | Call::Renew(..)) => return,
            false => Incarnation(Uuid::nil()),
        };
        let told = match away {
            true => None,
            false => self.kv.serve(self.now, from.index, by, call),
        };
        let answer = if away || lost { failed } else { told };
        let travel = if lost { TIMEOUT } else { self.millis(1..20) };
        if answered && let Some(answer) = answer {
            self.post(travel, Some(from), answer);
        }
    }
}
