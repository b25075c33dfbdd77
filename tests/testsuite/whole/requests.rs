//! Requests with idempotency keys: their entries, the grant, the plain upstream that counts runs.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use sequoiastream_core::claims::Change;
use sequoiastream_core::claims::ClaimRef;
use sequoiastream_core::claims::ClaimRequest;
use sequoiastream_core::claims::ClaimStatus;
use sequoiastream_core::claims::ClaimToken;
use sequoiastream_core::claims::Edit;
use sequoiastream_core::claims::EntryClaim;
use sequoiastream_core::claims::EntryEvent;
use sequoiastream_core::claims::EntryStep;
use sequoiastream_core::claims::Fingerprint;
use sequoiastream_core::claims::OwnerAction;
use sequoiastream_core::claims::OwnerEvent;
use sequoiastream_core::claims::QueryId;
use sequoiastream_core::claims::StoredAnswer;
use sequoiastream_core::claims::Verdict;
use sequoiastream_core::config::EngineState;
use sequoiastream_core::name::Name;
use uuid::Uuid;

use super::world::INSTANCES;
use super::world::Message;
use super::world::Process;
use super::world::World;
use super::world::name;
use crate::claims::machines::idempotency_key;

/// Keys in use at the same time, and in all.
const KEYS: usize = 4;
const ALL_KEYS: usize = 60;

/// Stands for the proof that a request was not sent.
#[derive(Debug)]
pub struct Proof;

pub struct Request {
    key: usize,
    at: Process,
    mark: ClaimToken,
    machine: Option<EntryClaim<Proof>>,
    /// Counts the questions, so that the answer to a former one is dropped.
    asked: u64,
    ran: bool,
    refused: bool,
}

fn claim(index: usize) -> ClaimRef {
    ClaimRef::new(&name("dispatch"), &name("plain"), &idempotency_key(index))
}

impl World {
    /// A caller sends a request, or repeats one, to any entry.
    pub fn start(&mut self) {
        let at = self.rng.random_range(0..INSTANCES);
        if self.now < self.instances[at].paused {
            return;
        }
        let group = self.requests.len() / 12 % (ALL_KEYS / KEYS);
        let index = group * KEYS + self.rng.random_range(0..KEYS);
        // Lists lag, so entries differ about who owns the shard.
        let first = self.rng.random_range(0..INSTANCES);
        let owners = (0..INSTANCES).map(|i| name(&format!("i{}", (first + i) % INSTANCES)));
        let mark = ClaimToken(Uuid::from_u128(u128::from(self.rng.next_u64())));
        let print = Fingerprint::new("POST", "/orders", &[index as u8]);
        let deadline = self.now + Duration::from_secs(6);
        let machine = EntryClaim::new(
            Proof,
            claim(index),
            mark,
            print,
            owners.collect(),
            self.now,
            deadline,
        );
        self.requests.push(Request {
            key: index,
            at: self.process(at),
            mark,
            machine: None,
            asked: 0,
            ran: false,
            refused: false,
        });
        let step = machine.begin(self.clocks());
        self.entry_step(self.requests.len() - 1, step);
    }

    pub fn entry(&mut self, request: usize, asked: u64, verdict: Verdict) {
        if self.requests[request].asked != asked {
            return;
        }
        let clocks = self.clocks();
        if let Some(machine) = self.requests[request].machine.take() {
            let step = machine.on(clocks, EntryEvent::Answered(verdict));
            self.entry_step(request, step);
        }
    }

    fn entry_step(&mut self, request: usize, step: EntryStep<Proof>) {
        match step {
            EntryStep::Ask(machine, owner, ask) => self.ask_owner(request, *machine, &owner, ask),
            EntryStep::Granted(grant) => {
                let Proof = grant.into_proof();
                self.granted(request);
            }
            EntryStep::Held(ClaimStatus::Finished(answer)) => {
                let key = self.requests[request].key;
                assert_eq!(answer.as_ref().map(|a| a.body.clone()), Some(vec![key as u8]));
                assert_eq!(self.runs.get(&key), Some(&1), "told finished, but never ran");
            }
            EntryStep::Held(_) => {}
            EntryStep::Refused(..) => self.refuse(request),
        }
    }

    /// Picks an upstream by the instance's own configuration and sends the request there.
    fn granted(&mut self, request: usize) {
        let index = self.requests[request].at.index;
        let Some(upstream) = self.pick(index) else {
            return self.refuse(request);
        };
        self.check_pick(index, &upstream);
        if self.chance(10) {
            // The connection is refused: nothing was sent.
            return self.refuse(request);
        }
        let travel = self.delay();
        self.post(travel, None, Message::Run(request));
        // The entry waits for the answer only so long.
        let limit = Duration::from_secs(5);
        let at = self.requests[request].at;
        self.post(limit, Some(at), Message::Ended(request, false));
    }

    fn pick(&mut self, index: usize) -> Option<Name> {
        let config = &self.instances[index].keeper.state().config;
        let serving = config
            .engines
            .iter()
            .filter(|(_, e)| e.service == name("plain") && e.state == EngineState::Serving);
        let names: Vec<Name> = serving.map(|(n, _)| n.clone()).collect();
        match names.len() {
            0 => None,
            count => Some(names[self.rng.random_range(0..count)].clone()),
        }
    }

    /// The request reaches the upstream and runs.
    pub fn ran(&mut self, request: usize) {
        let key = self.requests[request].key;
        let runs = self.runs.entry(key).or_default();
        *runs += 1;
        assert!(*runs <= 1, "{}: key {key} ran {runs} times", self.now);
        self.requests[request].ran = true;
        let refused = self.requests[request].refused;
        assert!(!refused, "{}: a refused request ran", self.now);
        if !self.chance(10) {
            let travel = self.delay();
            let at = self.requests[request].at;
            self.post(travel, Some(at), Message::Ended(request, true));
        }
    }

    /// The first end counts: the upstream's answer, or the limit without one.
    pub fn ended(&mut self, request: usize, answered: bool) {
        if std::mem::replace(&mut self.requests[request].asked, u64::MAX) == u64::MAX {
            return;
        }
        let body = vec![self.requests[request].key as u8];
        let stored = StoredAnswer {
            status: 200,
            content: None,
            body,
        };
        self.edit(
            request,
            match answered {
                true => Change::Finish(Some(stored)),
                false => Change::Unknown,
            },
        );
    }

    /// The caller is told that its request did not run.
    fn refuse(&mut self, request: usize) {
        assert!(!self.requests[request].ran, "a request that ran was refused");
        self.requests[request].refused = true;
        self.refused += 1;
        self.edit(request, Change::Release);
    }

    fn edit(&mut self, request: usize, change: Change) {
        let claim = claim(self.requests[request].key);
        let edit = Edit {
            id: claim.id,
            token: self.requests[request].mark,
            change,
        };
        let owner = self.rng.random_range(0..INSTANCES);
        if !self.chance(20) {
            let travel = self.delay();
            let to = self.process(owner);
            self.post(
                travel,
                Some(to),
                Message::Owner(OwnerEvent::Edit(claim.bucket, edit)),
            );
        }
    }

    fn ask_owner(&mut self, request: usize, machine: EntryClaim<Proof>, owner: &Name, ask: ClaimRequest) {
        let entry = &mut self.requests[request];
        entry.machine = Some(machine);
        entry.asked += 1;
        let limit = ask.wait + Duration::from_millis(200);
        let owner: usize = owner.as_str()[1..].parse().expect("an index");
        let to = self.process(owner);
        if !self.chance(10) {
            let travel = self.delay();
            self.post(travel, Some(to), Message::Ask(request, ask));
            // A connection that broke: the entry tries elsewhere, while the message arrives all the same.
            if self.chance(10) {
                self.give_up(request, Duration::from_millis(100));
            }
        }
        self.give_up(request, limit);
    }

    /// Lets the entry give an owner up, unless it has gone on by then.
    fn give_up(&mut self, request: usize, after: Duration) {
        let entry = &self.requests[request];
        let (at, asked) = (entry.at, entry.asked);
        self.post(after, Some(at), Message::Entry(request, asked, Verdict::Stopping));
    }

    /// A question reaches its owner.
    pub fn asked(&mut self, index: usize, request: usize, ask: ClaimRequest) {
        self.count += 1;
        let ticket = self.count;
        self.tickets
            .insert(ticket, (request, self.requests[request].asked));
        self.tell_owner(index, OwnerEvent::Claim(QueryId(ticket), ask));
    }

    pub fn owner_acts(&mut self, index: usize, action: OwnerAction) {
        match action {
            OwnerAction::Read(bucket) => self.call(index, super::kv::Call::ReadBucket(bucket)),
            OwnerAction::Write(bucket, revision, content) => {
                self.call(index, super::kv::Call::WriteBucket(bucket, revision, content));
            }
            OwnerAction::Answer(ticket, verdict) => {
                let (request, asked) = self.tickets[&ticket.0];
                if !self.chance(5) {
                    let travel = self.delay();
                    let at = self.requests[request].at;
                    self.post(travel, Some(at), Message::Entry(request, asked, verdict));
                }
            }
            OwnerAction::Wake(at) => {
                let pending = self.instances[index].wake;
                if pending.is_some_and(|wake| wake > self.now && wake <= at) {
                    return;
                }
                self.instances[index].wake = Some(at);
                let to = self.process(index);
                self.post(at.since(self.now), Some(to), Message::Owner(OwnerEvent::Tick));
            }
            OwnerAction::InvariantBroken(rule) => panic!("{rule}"),
        }
    }
}
