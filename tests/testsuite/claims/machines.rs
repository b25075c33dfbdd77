//! Owners and entries over a small fake of the key-value service, in seeded random orders of events.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::claims::Bucket;
use sequoiastream_core::claims::BucketId;
use sequoiastream_core::claims::Change;
use sequoiastream_core::claims::ClaimRef;
use sequoiastream_core::claims::ClaimRequest;
use sequoiastream_core::claims::ClaimStatus;
use sequoiastream_core::claims::ClaimToken;
use sequoiastream_core::claims::Clocks;
use sequoiastream_core::claims::Edit;
use sequoiastream_core::claims::EntryClaim;
use sequoiastream_core::claims::EntryEvent;
use sequoiastream_core::claims::EntryStep;
use sequoiastream_core::claims::Fingerprint;
use sequoiastream_core::claims::IdempotencyKey;
use sequoiastream_core::claims::Owner;
use sequoiastream_core::claims::OwnerAction;
use sequoiastream_core::claims::OwnerEvent;
use sequoiastream_core::claims::OwnerSettings;
use sequoiastream_core::claims::QueryId;
use sequoiastream_core::claims::Revision;
use sequoiastream_core::claims::StoredAnswer;
use sequoiastream_core::claims::Verdict;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;
use uuid::Uuid;

use super::client::Failing;
use super::client::seeds_or;

const INSTANCES: usize = 4;
const KEYS: usize = 12;
const REQUESTS: usize = 60;
const SEEDS: u64 = 600;
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Wall clock at the start, in milliseconds.
pub const WALL: u64 = 1_764_700_000_000;

/// What is delivered, and to which process; a process that was killed since gets nothing.
enum Event {
    Owner(usize, OwnerEvent),
    Ask(usize, usize, ClaimRequest),
    Entry(usize, EntryEvent),
    Kv(Process, BucketId, Option<(Revision, Bucket)>, bool),
    Start,
    Kill(usize),
    Pause(usize, Duration),
    Outage(Duration),
}

/// Stands for the proof that a request was not sent.
#[derive(Debug)]
struct Proof;

/// An instance, in one of its lives.
#[derive(Debug, Clone, Copy)]
struct Process {
    index: usize,
    life: u32,
}

struct Request {
    key: usize,
    at: usize,
    life: u32,
    mark: ClaimToken,
    machine: Option<EntryClaim<Proof>>,
    /// Counts the questions, so that the answer to a former one is dropped.
    asked: u64,
}

struct World {
    rng: ChaCha8Rng,
    now: Time,
    queue: BTreeMap<(Time, u64), (Option<Process>, Event)>,
    pushed: u64,
    kv: BTreeMap<BucketId, (Revision, Bucket)>,
    revision: u64,
    outage: Time,
    owners: Vec<Owner>,
    lives: Vec<u32>,
    paused: Vec<Time>,
    wakes: Vec<Option<Time>>,
    requests: Vec<Request>,
    tickets: BTreeMap<u64, (usize, u64)>,
    runs: BTreeMap<usize, u32>,
    told: BTreeMap<&'static str, u32>,
}

/// The idempotency key of this index, the same in each run.
pub fn keys(index: usize) -> IdempotencyKey {
    let time = uuid::Timestamp::from_unix(uuid::NoContext, WALL / 1_000 + index as u64 % 3, 0);
    let mut bytes = *Uuid::new_v7(time).as_bytes();
    bytes[8..].fill(0x80 | index as u8);
    bytes[6] = 0x70;
    bytes[7] = 0;
    Uuid::from_bytes(bytes).to_string().parse().expect("a UUIDv7")
}

fn claim(key: usize) -> ClaimRef {
    let name = |text| Name::new(text).expect("a name");
    ClaimRef::new(&name("dispatch"), &name("ordini"), &keys(key))
}

fn print(key: usize) -> Fingerprint {
    Fingerprint::new("POST", "/orders", &[key as u8])
}

impl World {
    fn new(seed: u64) -> World {
        let owner = |_| Owner::new(OwnerSettings::default());
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::from_millis(1_000),
            queue: BTreeMap::new(),
            pushed: 0,
            kv: BTreeMap::new(),
            revision: 0,
            outage: Time::ZERO,
            owners: (0..INSTANCES).map(owner).collect(),
            lives: vec![0; INSTANCES],
            paused: vec![Time::ZERO; INSTANCES],
            wakes: vec![None; INSTANCES],
            requests: Vec::new(),
            tickets: BTreeMap::new(),
            runs: BTreeMap::new(),
            told: BTreeMap::new(),
        }
    }

    fn clocks(&self) -> Clocks {
        Clocks {
            time: self.now,
            wall: WallTime(WALL + self.now.as_micros() / 1_000),
        }
    }

    fn millis(&mut self, most: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(1..=most))
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn push(&mut self, after: Duration, to: Option<usize>, event: Event) {
        self.pushed += 1;
        let to = to.map(|index| Process {
            index,
            life: self.lives[index],
        });
        self.queue.insert((self.now + after, self.pushed), (to, event));
    }

    fn run(&mut self) {
        for _ in 0..REQUESTS {
            let at = self.millis(12_000);
            self.push(at, None, Event::Start);
        }
        for _ in 0..8 {
            let at = self.millis(12_000);
            let index = self.rng.random_range(0..INSTANCES);
            let length = self.millis(5_000);
            let event = match self.rng.random_range(0..3) {
                0 => Event::Kill(index),
                1 => Event::Pause(index, length),
                _ => Event::Outage(length / 3),
            };
            self.push(at, None, event);
        }
        while let Some(((at, number), (to, event))) = self.queue.pop_first() {
            self.now = at;
            match to {
                Some(to) if self.lives[to.index] != to.life => {}
                Some(Process { index, .. }) if self.paused[index] > at => {
                    let until = self.paused[index];
                    self.queue.insert((until, number), (to, event));
                }
                _ => self.deliver(event),
            }
        }
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::Start => self.start(),
            Event::Kill(index) => {
                self.lives[index] += 1;
                self.owners[index] = Owner::new(OwnerSettings::default());
                self.paused[index] = Time::ZERO;
                self.wakes[index] = None;
            }
            Event::Pause(index, length) => self.paused[index] = self.now + length,
            Event::Outage(length) => self.outage = self.now + length,
            Event::Owner(index, event) => self.owner(index, event),
            Event::Ask(index, request, ask) => {
                let ticket = self.pushed + 1;
                self.pushed = ticket;
                self.tickets
                    .insert(ticket, (request, self.requests[request].asked));
                self.owner(index, OwnerEvent::Claim(QueryId(ticket), ask));
            }
            Event::Entry(request, event) => self.entry(request, event),
            Event::Kv(from, bucket, write, answered) => self.call(from, bucket, write, answered),
        }
    }

    fn start(&mut self) {
        let key = self.rng.random_range(0..KEYS);
        let at = self.rng.random_range(0..INSTANCES);
        let mark = ClaimToken(Uuid::from_u128(u128::from(self.rng.next_u64())));
        // Lists lag, so entries differ about who owns the shard.
        let first = self.rng.random_range(0..INSTANCES);
        let owners = (0..INSTANCES).map(|i| (first + i) % INSTANCES);
        let owners = owners
            .map(|i| Name::new(&format!("i{i}")).expect("a name"))
            .collect();
        let deadline = self.now + Duration::from_millis(6_000);
        let machine = EntryClaim::new(Proof, claim(key), mark, print(key), owners, self.now, deadline);
        let index = self.requests.len();
        self.requests.push(Request {
            key,
            at,
            life: self.lives[at],
            mark,
            machine: None,
            asked: 0,
        });
        let step = machine.begin(self.clocks());
        self.step(index, step);
    }

    fn entry(&mut self, index: usize, event: EntryEvent) {
        let clocks = self.clocks();
        let Some(machine) = self.requests[index].machine.take() else {
            return;
        };
        let step = machine.on(clocks, event);
        self.step(index, step);
    }

    fn step(&mut self, index: usize, step: EntryStep<Proof>) {
        match step {
            EntryStep::Ask(machine, owner, ask) => self.ask(index, *machine, &owner, ask),
            EntryStep::Granted(grant) => match self.rng.random_range(0..10) {
                0 => {
                    let Proof = grant.into_proof();
                    self.tell("no engine");
                    self.edit(index, Change::Release);
                }
                1 => {
                    let Proof = grant.into_proof();
                    self.tell("vouched");
                    self.edit(index, Change::Release);
                }
                2 | 3 => {
                    let Proof = grant.into_proof();
                    self.ran(index);
                    self.edit(index, Change::Unknown);
                }
                _ => {
                    let Proof = grant.into_proof();
                    self.ran(index);
                    let body = vec![self.requests[index].key as u8];
                    let stored = StoredAnswer {
                        status: 200,
                        content: None,
                        body,
                    };
                    self.edit(index, Change::Finish(Some(stored)));
                }
            },
            EntryStep::Held(seen) => {
                if let ClaimStatus::Finished(answer) = &seen {
                    let key = self.requests[index].key;
                    assert_eq!(answer.as_ref().map(|a| a.body.clone()), Some(vec![key as u8]));
                    assert_eq!(self.runs.get(&key), Some(&1), "told finished, but never ran");
                }
                self.tell("seen");
            }
            EntryStep::Refused(..) => {
                self.tell("refused");
                self.edit(index, Change::Release);
            }
        }
    }

    fn tell(&mut self, what: &'static str) {
        *self.told.entry(what).or_default() += 1;
    }

    fn ran(&mut self, index: usize) {
        self.tell("ran");
        let key = self.requests[index].key;
        let runs = self.runs.entry(key).or_default();
        *runs += 1;
        assert!(*runs <= 1, "key {key} ran {runs} times");
    }

    fn ask(&mut self, index: usize, machine: EntryClaim<Proof>, owner: &Name, ask: ClaimRequest) {
        let request = &mut self.requests[index];
        request.machine = Some(machine);
        request.asked += 1;
        let owner: usize = owner.as_str()[1..].parse().expect("an index");
        let alive = self.paused[owner] <= self.now;
        if self.chance(90) {
            let travel = self.millis(5);
            self.push(travel, Some(owner), Event::Ask(owner, index, ask.clone()));
            // A connection that broke: the entry tries elsewhere, while the message arrives all the same.
            if self.chance(10) || !alive {
                let travel = self.millis(500);
                self.silent(index, travel);
            }
        }
        let limit = ask.wait + Duration::from_millis(200);
        self.silent(index, limit);
    }

    /// Lets the entry give an owner up, unless it has gone on by then.
    fn silent(&mut self, index: usize, after: Duration) {
        let asked = self.requests[index].asked;
        self.pushed += 1;
        let ticket = self.pushed;
        self.tickets.insert(ticket, (index, asked));
        let verdict = OwnerAction::Answer(QueryId(ticket), Verdict::Stopping);
        self.answer(after, verdict);
    }

    fn answer(&mut self, after: Duration, action: OwnerAction) {
        let OwnerAction::Answer(ticket, verdict) = action else {
            return;
        };
        let Some((index, asked)) = self.tickets.get(&ticket.0).copied() else {
            return;
        };
        let request = &self.requests[index];
        if request.asked == asked && self.lives[request.at] == request.life {
            let at = request.at;
            self.push(
                after,
                Some(at),
                Event::Entry(index, EntryEvent::Answered(verdict)),
            );
        }
    }

    fn edit(&mut self, index: usize, change: Change) {
        let request = &self.requests[index];
        let claim = claim(request.key);
        let edit = Edit {
            id: claim.id,
            token: request.mark,
            change,
        };
        let owner = self.rng.random_range(0..INSTANCES);
        let event = Event::Owner(owner, OwnerEvent::Edit(claim.bucket, edit));
        if self.chance(80) {
            let travel = self.millis(2_000);
            self.push(travel, Some(owner), event);
        }
    }

    fn owner(&mut self, index: usize, event: OwnerEvent) {
        let clocks = self.clocks();
        for action in self.owners[index].on(clocks, event) {
            match action {
                OwnerAction::Read(bucket) => self.send(index, bucket, None),
                OwnerAction::Write(bucket, revision, content) => {
                    self.send(index, bucket, Some((revision, content)));
                }
                OwnerAction::Answer(..) => {
                    if self.chance(95) {
                        let travel = self.millis(5);
                        self.answer(travel, action);
                    }
                }
                OwnerAction::Wake(at) if self.wakes[index].is_some_and(|w| w > self.now && w <= at) => {}
                OwnerAction::Wake(at) => {
                    self.wakes[index] = Some(at);
                    let after = at.since(self.now);
                    self.push(after, Some(index), Event::Owner(index, OwnerEvent::Tick));
                }
                OwnerAction::InvariantBroken(rule) => panic!("{rule}"),
            }
        }
    }

    /// Sends a call: it may be late, its answer may get lost, or it may arrive twice.
    fn send(&mut self, index: usize, bucket: BucketId, write: Option<(Revision, Bucket)>) {
        let slow = self.chance(10);
        let travel = self.millis(if slow { 3_000 } else { 10 });
        let lost = self.chance(10);
        let twice = self.chance(5);
        let unsure = write.is_some();
        let from = Process {
            index,
            life: self.lives[index],
        };
        if lost || travel > TIMEOUT {
            let failed = OwnerEvent::Failed {
                bucket,
                maybe_written: unsure,
            };
            self.push(TIMEOUT, Some(index), Event::Owner(index, failed));
            self.push(travel, None, Event::Kv(from, bucket, write, false));
            return;
        }
        if twice {
            let later = self.millis(2_000);
            self.push(
                travel + later,
                None,
                Event::Kv(from, bucket, write.clone(), false),
            );
        }
        self.push(travel, None, Event::Kv(from, bucket, write, true));
    }

    fn call(&mut self, from: Process, bucket: BucketId, write: Option<(Revision, Bucket)>, answered: bool) {
        let down = self.now < self.outage;
        let stands = self.kv.get(&bucket).cloned().unwrap_or_default();
        let event = match write {
            _ if down => OwnerEvent::Failed {
                bucket,
                maybe_written: false,
            },
            Some((expected, content)) if expected == stands.0 => {
                self.revision += 1;
                self.kv.insert(bucket, (Revision(self.revision), content));
                OwnerEvent::Written(bucket, Revision(self.revision))
            }
            _ => OwnerEvent::Current(bucket, stands.0, stands.1),
        };
        // The connection of a process ends with it: no later life gets its answers.
        if answered && self.lives[from.index] == from.life {
            let travel = self.millis(10);
            self.push(travel, Some(from.index), Event::Owner(from.index, event));
        }
    }
}

/// A buyer's client repeats an order through several entries while owners are killed, paused, disagree about
/// who owns the shard, and the key-value service is out, slow, or loses answers. The truck must come once at
/// most; a repeat that is told the answer must be told the right one. Cause where it fails: a claim that was
/// granted without standing in the key-value service, or that was replaced there.
#[test]
fn machines_seeds() {
    let mut told: BTreeMap<&'static str, u32> = BTreeMap::new();
    for seed in seeds_or(0..SEEDS) {
        let _failing = Failing(seed);
        let mut world = World::new(seed);
        world.run();
        for (what, count) in world.told {
            *told.entry(what).or_default() += count;
        }
    }
    // The run means something only if all ways were taken often.
    for what in ["ran", "seen", "refused", "vouched", "no engine"] {
        assert!(
            told.get(what).copied().unwrap_or_default() > 100,
            "{what}: {told:?}"
        );
    }
}
