//! Requests with idempotency keys: their entry instances, their grants, and a plain upstream that counts the runs.

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
use super::world::Simulation;
use super::world::name;
use crate::claims::machines::idempotency_key;

/// Number of keys that are in use at the same time.
const ACTIVE_KEYS: usize = 4;
/// Number of all keys.
const TOTAL_KEYS: usize = 60;

/// Stands for the proof that a request has not been sent.
#[derive(Debug)]
pub struct Proof;

pub struct Request {
    key: usize,
    entry_process: Process,
    token: ClaimToken,
    claim: Option<EntryClaim<Proof>>,
    /// Counts the attempts to claim the key, so that an answer to an earlier attempt is dropped.
    attempt: u64,
    ran: bool,
    refused: bool,
}

fn claim_ref(index: usize) -> ClaimRef {
    ClaimRef::new(&name("dispatch"), &name("plain"), &idempotency_key(index))
}

impl Simulation {
    /// A caller sends a request, or repeats one, through any instance.
    pub fn start_request(&mut self) {
        let at = self.rng.random_range(0..INSTANCES);
        if self.now < self.instances[at].paused_until {
            return;
        }
        let group = self.requests.len() / 12 % (TOTAL_KEYS / ACTIVE_KEYS);
        let index = group * ACTIVE_KEYS + self.rng.random_range(0..ACTIVE_KEYS);
        // Lists of instances are updated with a delay, so entries disagree about the owner of the shard.
        let first = self.rng.random_range(0..INSTANCES);
        let owners = (0..INSTANCES).map(|i| name(&format!("i{}", (first + i) % INSTANCES)));
        let token = ClaimToken(Uuid::from_u128(u128::from(self.rng.next_u64())));
        let fingerprint = Fingerprint::new("POST", "/orders", &[index as u8]);
        let deadline = self.now + Duration::from_secs(6);
        let claim = EntryClaim::new(
            Proof,
            claim_ref(index),
            token,
            fingerprint,
            owners.collect(),
            self.now,
            deadline,
        );
        self.requests.push(Request {
            key: index,
            entry_process: self.process(at),
            token,
            claim: None,
            attempt: 0,
            ran: false,
            refused: false,
        });
        let step = claim.begin(self.clocks());
        self.on_entry_step(self.requests.len() - 1, step);
    }

    pub fn on_verdict(&mut self, request: usize, attempt: u64, verdict: Verdict) {
        if self.requests[request].attempt != attempt {
            return;
        }
        let clocks = self.clocks();
        if let Some(claim) = self.requests[request].claim.take() {
            let step = claim.on(clocks, EntryEvent::Answered(verdict));
            self.on_entry_step(request, step);
        }
    }

    fn on_entry_step(&mut self, request: usize, step: EntryStep<Proof>) {
        match step {
            EntryStep::Ask(claim, owner, claim_request) => {
                self.send_claim(request, *claim, &owner, claim_request)
            }
            EntryStep::Granted(grant) => {
                let Proof = grant.into_proof();
                self.on_grant(request);
            }
            EntryStep::Held(ClaimStatus::Finished(answer)) => {
                let key = self.requests[request].key;
                assert_eq!(answer.as_ref().map(|a| a.body.clone()), Some(vec![key as u8]));
                assert_eq!(
                    self.runs.get(&key),
                    Some(&1),
                    "reported as finished, but did not run exactly once"
                );
            }
            EntryStep::Held(_) => {}
            EntryStep::Refused(..) => self.refuse(request),
        }
    }

    /// Picks an upstream by the instance's own configuration and sends the request there.
    fn on_grant(&mut self, request: usize) {
        let index = self.requests[request].entry_process.index;
        let Some(upstream) = self.pick_upstream(index) else {
            return self.refuse(request);
        };
        self.check_pick(index, &upstream);
        if self.chance(10) {
            // The connection was refused, so nothing was sent.
            return self.refuse(request);
        }
        let travel = self.random_delay();
        self.schedule(travel, None, Message::RunRequest(request));
        // The entry waits for the answer for a limited time.
        let limit = Duration::from_secs(5);
        let at = self.requests[request].entry_process;
        self.schedule(limit, Some(at), Message::RequestEnded(request, false));
    }

    fn pick_upstream(&mut self, index: usize) -> Option<Name> {
        let config = &self.instances[index].replicator.state().config;
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

    /// Runs a request that reached the upstream; it must be the only run under its key.
    pub fn run_request(&mut self, request: usize) {
        let key = self.requests[request].key;
        let runs = self.runs.entry(key).or_default();
        *runs += 1;
        assert!(*runs <= 1, "{}: key {key} ran {runs} times", self.now);
        self.requests[request].ran = true;
        let refused = self.requests[request].refused;
        assert!(!refused, "{}: a refused request ran", self.now);
        if !self.chance(10) {
            let travel = self.random_delay();
            let at = self.requests[request].entry_process;
            self.schedule(travel, Some(at), Message::RequestEnded(request, true));
        }
    }

    /// Ends a request by whichever comes first: the upstream's answer, or the time limit for it.
    pub fn on_request_ended(&mut self, request: usize, answered: bool) {
        if std::mem::replace(&mut self.requests[request].attempt, u64::MAX) == u64::MAX {
            return;
        }
        let body = vec![self.requests[request].key as u8];
        let stored = StoredAnswer {
            status: 200,
            content: None,
            body,
        };
        self.send_edit(
            request,
            match answered {
                true => Change::Finish(Some(stored)),
                false => Change::Unknown,
            },
        );
    }

    /// Answers the caller that its request did not run.
    fn refuse(&mut self, request: usize) {
        assert!(!self.requests[request].ran, "a request that ran was refused");
        self.requests[request].refused = true;
        self.refused_requests += 1;
        self.send_edit(request, Change::Release);
    }

    fn send_edit(&mut self, request: usize, change: Change) {
        let claim = claim_ref(self.requests[request].key);
        let edit = Edit {
            id: claim.id,
            token: self.requests[request].token,
            change,
        };
        let owner = self.rng.random_range(0..INSTANCES);
        if !self.chance(20) {
            let travel = self.random_delay();
            let to = self.process(owner);
            self.schedule(
                travel,
                Some(to),
                Message::Owner(OwnerEvent::Edit(claim.bucket, edit)),
            );
        }
    }

    fn send_claim(
        &mut self,
        request: usize,
        claim: EntryClaim<Proof>,
        owner: &Name,
        claim_request: ClaimRequest,
    ) {
        let entry = &mut self.requests[request];
        entry.claim = Some(claim);
        entry.attempt += 1;
        let limit = claim_request.wait + Duration::from_millis(200);
        let owner: usize = owner.as_str()[1..].parse().expect("an index");
        let to = self.process(owner);
        if !self.chance(10) {
            let travel = self.random_delay();
            self.schedule(travel, Some(to), Message::Claim(request, claim_request));
            // A broken connection: the entry tries another owner, although the message still arrives.
            if self.chance(10) {
                self.schedule_no_answer(request, Duration::from_millis(100));
            }
        }
        self.schedule_no_answer(request, limit);
    }

    /// Makes the entry stop waiting for an owner after `after`, unless it has got an answer by then.
    fn schedule_no_answer(&mut self, request: usize, after: Duration) {
        let entry = &self.requests[request];
        let (at, attempt) = (entry.entry_process, entry.attempt);
        self.schedule(
            after,
            Some(at),
            Message::Verdict(request, attempt, Verdict::Stopping),
        );
    }

    /// Delivers a claim request to its owner.
    pub fn on_claim(&mut self, index: usize, request: usize, claim_request: ClaimRequest) {
        self.last_id += 1;
        let query = self.last_id;
        self.queries
            .insert(query, (request, self.requests[request].attempt));
        self.on_owner_event(index, OwnerEvent::Claim(QueryId(query), claim_request));
    }

    pub fn perform_owner_action(&mut self, index: usize, action: OwnerAction) {
        match action {
            OwnerAction::Read(bucket) => self.call_kv(index, super::kv::KvCall::ReadBucket(bucket)),
            OwnerAction::Write(bucket, revision, content) => {
                self.call_kv(index, super::kv::KvCall::WriteBucket(bucket, revision, content));
            }
            OwnerAction::Answer(query, verdict) => {
                let (request, attempt) = self.queries[&query.0];
                if !self.chance(5) {
                    let travel = self.random_delay();
                    let at = self.requests[request].entry_process;
                    self.schedule(travel, Some(at), Message::Verdict(request, attempt, verdict));
                }
            }
            OwnerAction::Wake(at) => {
                let pending = self.instances[index].wake_at;
                if pending.is_some_and(|wake| wake > self.now && wake <= at) {
                    return;
                }
                self.instances[index].wake_at = Some(at);
                let to = self.process(index);
                self.schedule(at.since(self.now), Some(to), Message::Owner(OwnerEvent::Tick));
            }
            OwnerAction::InvariantBroken(rule) => panic!("{rule}"),
        }
    }
}
