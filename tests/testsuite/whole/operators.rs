//! Operators' statements, the configuration replicators that submit and follow them, and the checks of configurations.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use sequoiastream_core::authority::Phase;
use sequoiastream_core::config::Action;
use sequoiastream_core::config::Base;
use sequoiastream_core::config::Command;
use sequoiastream_core::config::CommandId;
use sequoiastream_core::config::EngineState;
use sequoiastream_core::config::Event;
use sequoiastream_core::config::Fencing;
use sequoiastream_core::config::PlaceEngine;
use sequoiastream_core::config::Proposal;
use sequoiastream_core::config::Revision;
use sequoiastream_core::config::Role;
use sequoiastream_core::config::Service;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::config::State;
use sequoiastream_core::config::SubmissionId;
use sequoiastream_core::config::SwapResult;
use sequoiastream_core::config::Version;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;
use uuid::Uuid;

use super::kv::KvCall;
use super::world::INSTANCES;
use super::world::Instance;
use super::world::Message;
use super::world::Process;
use super::world::Simulation;
use super::world::name;

const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

/// Time within which an accepted drain must reach each instance that runs and is connected.
const DRAIN_PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// Time after which an operator repeats the statement that releases an order.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_secs(15);

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], index as u16))
}

fn place_engine(service: &str, port: u16, fencing: Fencing) -> PlaceEngine {
    PlaceEngine {
        service: name(service),
        zone: name("z1"),
        address: SocketAddr::from(([10, 0, 1, 1], port)),
        fencing,
        role: (service == "model").then_some(Role::Mixed),
    }
}

fn first_commands() -> Vec<Command> {
    let service = |text, kind| Command::CreateService {
        name: name(text),
        service: Service { kind },
    };
    let engine = |text, place| Command::PlaceEngine {
        name: name(text),
        place,
    };
    let model = "m".to_string();
    vec![
        service("model", ServiceKind::Model { model }),
        service("plain", ServiceKind::Plain { routes: Vec::new() }),
        engine("e0", place_engine("model", 1, Fencing::Checked)),
        engine("e1", place_engine("model", 2, Fencing::Ignored)),
        engine("u0", place_engine("plain", 3, Fencing::Ignored)),
        engine("u1", place_engine("plain", 4, Fencing::Ignored)),
    ]
}

impl Simulation {
    /// Stores the first change, before any instance starts.
    pub fn accept_first_change(&mut self) {
        let proposal = self.proposal(first_commands(), Base::Implied(Default::default()));
        let head = self.kv.stored.head.push(&State::default(), &proposal);
        let head = head.expect("the first change can be applied");
        let Some(Message::Replicator(Event::Swapped(_, swapped))) = self.kv.serve(
            self.now,
            0,
            sequoiastream_core::authority::Incarnation(Uuid::nil()),
            KvCall::SwapHead(SubmissionId(0), Revision(0), Box::new(head)),
        ) else {
            panic!("a swap has an answer");
        };
        assert!(matches!(swapped, SwapResult::Done(_)));
    }

    fn proposal(&mut self, commands: Vec<Command>, base: Base) -> Proposal {
        let id = CommandId(Uuid::from_u128(self.rng.random()));
        self.proposed.insert(id, commands.clone());
        Proposal {
            id,
            who: format!("operator-{}", self.rng.random_range(0..3)),
            from: String::new(),
            when: WallTime(0),
            statement: "statement".to_string(),
            commands,
            base,
        }
    }

    /// An operator submits a statement, or repeats an earlier one under the same id, through the given instance.
    pub fn submit_statement(&mut self, index: usize) {
        let base = Base::Implied(self.instances[index].replicator.state().version);
        if self.rng.random_bool(0.2) {
            let at = self.rng.random_range(0..self.proposed.len());
            let (id, commands) = self.proposed.iter().nth(at).expect("in range");
            let (id, commands) = (*id, commands.clone());
            let mut repeated = self.proposal(commands, base);
            self.proposed.remove(&repeated.id);
            repeated.id = id;
            return self.propose(index, repeated);
        }
        let engine = name(["e0", "e1"][self.rng.random_range(0..2)]);
        let upstream = name(["u0", "u1"][self.rng.random_range(0..2)]);
        let role = Some(ROLES[self.rng.random_range(0..ROLES.len())]);
        let command = match self.rng.random_range(0..4) {
            0 | 1 => Command::SetRole { name: engine, role },
            2 => Command::DrainEngine { name: upstream },
            _ => Command::ResumeEngine { name: upstream },
        };
        let proposal = self.proposal(vec![command], base);
        self.propose(index, proposal);
    }

    fn propose(&mut self, index: usize, proposal: Proposal) {
        let submission = SubmissionId(self.rng.random());
        let event = Event::Submitted(submission, Box::new(proposal));
        let to = self.process(index);
        let travel = self.random_millis(1..50);
        self.schedule(travel, Some(to), Message::Replicator(event));
    }

    /// Releases the orders that are certain not to arrive any more: no copy is in flight, and the process that opened
    /// the order has ended or the period of faults is over.
    pub fn release_orders(&mut self) {
        let Some(record) = &self.kv.record else { return };
        let mut lost = Vec::new();
        for (engine, open) in &record.engines {
            let sequence = open.order.sequence;
            let alive = self.instances.iter().any(|i| i.incarnation == open.incarnation);
            let stuck = open.phase == Phase::Open && (!alive || !self.faults_enabled);
            if stuck && !self.is_in_flight(engine, sequence) {
                lost.push((engine.clone(), sequence));
            }
        }
        for (engine, sequence) in lost {
            // The statement is repeated after a while, because it may have been refused, for example for a conflict.
            let submitted_at = self.released_at.get(&(engine.clone(), sequence));
            if !self.faults_enabled && submitted_at.is_some_and(|at| self.now < *at + RELEASE_RETRY_INTERVAL)
            {
                continue;
            }
            self.released_at.insert((engine.clone(), sequence), self.now);
            let index = self.rng.random_range(0..INSTANCES);
            let base = Base::Implied(self.instances[index].replicator.state().version);
            let command = Command::ReleaseOrder {
                name: engine,
                sequence,
            };
            let proposal = self.proposal(vec![command], base);
            self.propose(index, proposal);
        }
    }

    /// Sends another instance the version in force on this one.
    pub fn gossip(&mut self, index: usize) {
        let to = (index + self.rng.random_range(1..INSTANCES)) % INSTANCES;
        let version = self.instances[index].published;
        let to = self.process(to);
        if !self.chance(10) {
            let travel = self.random_delay();
            let event = Event::PeerVersion(address(index), version);
            self.schedule(travel, Some(to), Message::Replicator(event));
        }
    }

    pub fn on_replicator_event(&mut self, index: usize, event: Event) {
        let actions = self.instances[index].replicator.on(self.now, event);
        for action in actions {
            self.perform_replicator_action(index, action);
        }
    }

    fn perform_replicator_action(&mut self, index: usize, action: Action) {
        match action {
            Action::Read => self.call_kv(index, KvCall::ReadHead),
            Action::ReadSnapshot(version) => self.call_kv(index, KvCall::ReadSnapshot(version)),
            Action::StoreSnapshot(submission, state) => {
                self.call_kv(index, KvCall::StoreSnapshot(submission, state))
            }
            Action::SwapHead(submission, expect, head) => {
                self.call_kv(index, KvCall::SwapHead(submission, expect, head))
            }
            Action::RemoveSnapshot(version) => self.call_kv(index, KvCall::RemoveSnapshot(version)),
            Action::Fetch(peer, after) => {
                let from = self.process(index);
                let peer_process = self.process(usize::from(peer.port()));
                let travel = self.random_millis(1..50);
                self.schedule(travel, Some(peer_process), Message::Fetch(from, after));
            }
            Action::Publish => self.publish(index),
            Action::Answer(_, Ok(outcome)) => {
                let accepted = self.kv.accepted.len() as u64;
                assert!(
                    outcome.version.0 <= accepted,
                    "an operator got a version that was never accepted"
                );
            }
            Action::Answer(..) | Action::Stale(_) => {}
            Action::Inconsistent(error) => panic!("{error}"),
        }
    }

    /// Answers a peer that asks for the changes after a version.
    pub fn on_fetch(&mut self, index: usize, from: Process, after: Version) {
        let update = self.instances[index].replicator.update_after(after);
        let travel = self.random_millis(1..50);
        let update = Event::Fetched(Some(update));
        self.schedule(travel, Some(from), Message::Replicator(update));
    }

    /// Puts a version in force: it must be later than all earlier ones of this process, and equal what was accepted.
    fn publish(&mut self, index: usize) {
        let state = self.instances[index].replicator.state();
        let before = self.instances[index].published;
        assert!(
            state.version > before,
            "i{index} published a version that is not later than {before}"
        );
        let accepted = &self.kv.accepted[state.version.0 as usize - 1];
        assert_eq!(state.config, accepted.config, "version {}", state.version);
        self.instances[index].published = state.version;
    }

    /// Checks an instance's choice of an upstream. The upstream must not be draining by the configuration in force on
    /// the instance. If the instance ran without a pause and could learn of a drain from the key-value service or a
    /// peer, the drain must not have been accepted more than 3 s ago.
    pub fn check_pick(&mut self, index: usize, upstream: &Name) {
        let published = self.instances[index].published;
        self.check_serving(index, upstream, published.0);
        let since = self.now - DRAIN_PROPAGATION_LIMIT;
        if !self.could_learn(index) {
            return;
        }
        let version = self.kv.version_at(since).0;
        self.check_serving(index, upstream, version.max(published.0));
        self.timely_picks += 1;
        self.disconnected_picks += u64::from(self.now < self.instances[index].disconnected_until);
    }

    /// Whether, for the whole of `DRAIN_PROPAGATION_LIMIT`, the key-value service answered in time, this instance ran,
    /// and either it was connected to the service or both its peers ran and were connected.
    fn could_learn(&self, index: usize) -> bool {
        let over_limit_ago = |end: Time| self.now >= end + DRAIN_PROPAGATION_LIMIT;
        let was_running = |i: &Instance| over_limit_ago(i.last_stopped);
        let was_connected = |i: &Instance| over_limit_ago(i.disconnected_until);
        let others = self.instances.iter().enumerate().filter(|(i, _)| *i != index);
        let mut peers = others.map(|(_, instance)| instance);
        let own = &self.instances[index];
        let peers = peers.all(|i| was_running(i) && was_connected(i));
        over_limit_ago(self.kv.outage_until)
            && over_limit_ago(self.kv.slow_until)
            && was_running(own)
            && (was_connected(own) || peers)
    }

    fn check_serving(&self, index: usize, upstream: &Name, version: u64) {
        let config = &self.kv.accepted[version as usize - 1].config;
        let state = config.engines[upstream].state;
        assert_eq!(
            state,
            EngineState::Serving,
            "{}: i{index} picked {upstream}, which is draining in version {version}",
            self.now
        );
    }

    pub fn check_end(&self) {
        let last = self.kv.accepted.len() as u64;
        for (index, instance) in self.instances.iter().enumerate() {
            assert_eq!(
                instance.published.0, last,
                "i{index} does not have the last version"
            );
        }
        let config = &self.kv.accepted.last().expect("the first change").config;
        for (name, engine) in &self.engines {
            let wanted = config.engines[name].role;
            assert_eq!(
                Some(engine.target.role),
                wanted,
                "{name} does not have its desired role"
            );
        }
    }
}
