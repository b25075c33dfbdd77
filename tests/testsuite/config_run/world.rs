//! The simulated environment of the replicators, and the invariants that are checked.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::config::Action;
use sequoiastream_core::config::ApplyError;
use sequoiastream_core::config::Base;
use sequoiastream_core::config::Command;
use sequoiastream_core::config::CommandId;
use sequoiastream_core::config::Config;
use sequoiastream_core::config::Event;
use sequoiastream_core::config::Head;
use sequoiastream_core::config::Proposal;
use sequoiastream_core::config::ProposalError;
use sequoiastream_core::config::Replicator;
use sequoiastream_core::config::Revision;
use sequoiastream_core::config::State;
use sequoiastream_core::config::StoredHead;
use sequoiastream_core::config::SubmissionId;
use sequoiastream_core::config::SubmitError;
use sequoiastream_core::config::SwapResult;
use sequoiastream_core::config::Version;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;
use uuid::Uuid;

const INSTANCES: usize = 4;
const STARTUP_WAIT: Duration = Duration::from_secs(2);
const LIMIT: Duration = Duration::from_secs(10);

/// A call to the key-value service or a peer, or an event for an instance.
#[derive(Debug, Clone)]
enum Message {
    Call(Action),
    Event(Event),
}

#[derive(Debug, Clone)]
struct InFlight {
    due: Time,
    instance: usize,
    /// Incarnation of the instance; a message to an earlier incarnation is lost.
    incarnation: u64,
    message: Message,
}

#[derive(Debug)]
struct Instance {
    replicator: Replicator,
    incarnation: u64,
    paused: Option<Time>,
    published: Version,
    started: Time,
    /// The highest version that an earlier incarnation had in force.
    min_version: Version,
}

/// Simulated instances, network, key-value service and operators.
pub struct Simulation {
    random: ChaCha8Rng,
    now: Time,
    instances: Vec<Instance>,
    in_flight: Vec<InFlight>,
    stored: StoredHead,
    snapshots: BTreeMap<Version, State>,
    /// The accepted changes in their order, and the configuration after each.
    accepted: Vec<(CommandId, Config)>,
    submitted: BTreeMap<CommandId, u32>,
    submissions: BTreeMap<SubmissionId, (usize, CommandId)>,
    rejected: Vec<CommandId>,
    faults_enabled: bool,
    /// Number of restarts, and of stored snapshots whose writer got no confirmation: each may leave an unused snapshot.
    allowed_leaks: usize,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let instance = |_| Instance {
            replicator: Replicator::new(Time::ZERO, LIMIT),
            incarnation: 0,
            paused: None,
            published: Version::default(),
            started: Time::ZERO,
            min_version: Version::default(),
        };
        Simulation {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            instances: (0..INSTANCES).map(instance).collect(),
            in_flight: Vec::new(),
            stored: StoredHead::default(),
            snapshots: BTreeMap::new(),
            accepted: Vec::new(),
            submitted: BTreeMap::new(),
            submissions: BTreeMap::new(),
            rejected: Vec::new(),
            faults_enabled: true,
            allowed_leaks: 0,
        }
    }

    /// Simulates one random event.
    pub fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.random.random_range(0..40));
        let instance = self.random.random_range(0..INSTANCES);
        match self.random.random_range(0..1_000) {
            0..60 => self.submit(instance),
            60..63 => self.restart(instance),
            63..68 => {
                let until = self.now + Duration::from_millis(self.random.random_range(0..25_000));
                self.instances[instance].paused = Some(until);
            }
            68..120 => self.announce_version(instance),
            120..170 => self.notify_head(instance),
            170..300 => self.handle(instance, Event::Tick),
            _ => self.deliver(),
        }
    }

    /// Stops injecting faults and runs until all instances have converged.
    pub fn settle(&mut self) {
        self.faults_enabled = false;
        for instance in &mut self.instances {
            instance.paused = None;
        }
        for _ in 0..400 {
            self.now = self.now + Duration::from_millis(200);
            for instance in 0..INSTANCES {
                self.notify_head(instance);
                self.handle(instance, Event::Tick);
            }
            while self.in_flight.iter().any(|f| f.due <= self.now) {
                self.deliver();
            }
        }
    }

    pub fn check_end(&self) {
        let base = self.stored.head.base;
        assert!(
            base > Version::default(),
            "no snapshot was taken after {} changes",
            self.accepted.len()
        );
        let stayed = self.snapshots.len();
        assert!(
            stayed <= 2 + self.allowed_leaks / 4,
            "{stayed} snapshots left, {} restarts and unconfirmed snapshots",
            self.allowed_leaks
        );
        for instance in &self.instances {
            assert_eq!(
                instance.published.0,
                self.accepted.len() as u64,
                "all instances must have published the last version"
            );
        }
        assert!(
            self.submissions.is_empty(),
            "unanswered submissions: {:?}",
            self.submissions
        );
        for id in &self.rejected {
            let once = self.submitted[id] == 1;
            let accepted = self.accepted.iter().any(|(a, _)| a == id);
            assert!(
                !(once && accepted),
                "{id:?} was accepted but reported as rejected"
            );
        }
    }

    fn submit(&mut self, instance: usize) {
        let again = self.random.random_bool(0.2) && !self.submitted.is_empty();
        let id = match again {
            true => {
                let index = self.random.random_range(0..self.submitted.len());
                *self.submitted.keys().nth(index).expect("within the length")
            }
            false => CommandId(Uuid::from_u128(self.random.random())),
        };
        *self.submitted.entry(id).or_default() += 1;
        let submission = SubmissionId(self.random.random());
        self.submissions.insert(submission, (instance, id));
        let proposal = Proposal {
            id,
            who: format!("operator-{}", self.random.random_range(0..3)),
            from: String::new(),
            when: WallTime(0),
            statement: "quarantine".to_string(),
            // The same id always carries the same command.
            commands: vec![Command::Quarantine {
                fingerprint: format!("{:02x}", id.0.as_bytes()[0] % 40),
            }],
            base: Base::Implied(self.instances[instance].replicator.state().version),
        };
        self.handle(instance, Event::Submitted(submission, Box::new(proposal)));
    }

    fn restart(&mut self, instance: usize) {
        self.allowed_leaks += 1;
        let restarted = &mut self.instances[instance];
        restarted.replicator = Replicator::new(self.now, LIMIT);
        restarted.incarnation += 1;
        restarted.paused = None;
        restarted.min_version = restarted.min_version.max(restarted.published);
        restarted.published = Version::default();
        restarted.started = self.now;
        // Operators with pending submissions get no reply; their changes may have been accepted.
        self.submissions.retain(|_, (at, _)| *at != instance);
    }

    fn announce_version(&mut self, instance: usize) {
        let version = self.instances[instance].published;
        let to = self.random.random_range(0..INSTANCES);
        self.send_delayed(to, Message::Event(Event::PeerVersion(address(instance), version)));
    }

    fn notify_head(&mut self, instance: usize) {
        let event = Event::Read(self.stored.clone());
        self.send_delayed(instance, Message::Event(event));
    }

    fn send_delayed(&mut self, instance: usize, message: Message) {
        let delay = match (self.faults_enabled, self.random.random_range(0..100)) {
            (true, 0..3) => self.random.random_range(0..30_000),
            (true, _) => self.random.random_range(0..400),
            (false, _) => 0,
        };
        self.in_flight.push(InFlight {
            due: self.now + Duration::from_millis(delay),
            instance,
            incarnation: self.instances[instance].incarnation,
            message,
        });
    }

    /// Delivers a random one of the messages that are due.
    fn deliver(&mut self) {
        let due: Vec<usize> = (0..self.in_flight.len())
            .filter(|i| self.in_flight[*i].due <= self.now)
            .collect();
        if due.is_empty() {
            return;
        }
        let index = due[self.random.random_range(0..due.len())];
        let in_flight = self.in_flight.swap_remove(index);
        match in_flight.message {
            Message::Call(action) => self.execute_call(in_flight.instance, in_flight.incarnation, action),
            Message::Event(event) => {
                let instance = &self.instances[in_flight.instance];
                let paused = instance.paused.is_some_and(|until| until > self.now);
                if paused {
                    let due = self.now + Duration::from_millis(500);
                    let message = Message::Event(event);
                    self.in_flight.push(InFlight {
                        due,
                        message,
                        ..in_flight
                    });
                } else if instance.incarnation == in_flight.incarnation {
                    self.handle(in_flight.instance, event);
                }
            }
        }
    }

    /// Executes a call at the key-value service or a peer, and sends its result.
    fn execute_call(&mut self, instance: usize, incarnation: u64, action: Action) {
        let chance = match action {
            Action::StoreSnapshot(..) => 0.4,
            _ => 0.05,
        };
        let failed = self.faults_enabled && self.random.random_bool(chance);
        let lost = self.faults_enabled && self.random.random_bool(0.05);
        let event = match action {
            Action::Read if failed => Event::ReadFailed,
            Action::Read => Event::Read(self.stored.clone()),
            Action::ReadSnapshot(version) => {
                let snapshot = self.snapshots.get(&version).filter(|_| !failed);
                Event::Snapshot(snapshot.cloned().map(Box::new))
            }
            Action::StoreSnapshot(submission, state) => {
                let version = state.version;
                if !failed {
                    self.snapshots.entry(version).or_insert(*state);
                    self.allowed_leaks += usize::from(lost);
                }
                Event::SnapshotStored(submission, version, !failed && !lost)
            }
            Action::SwapHead(submission, ..) if failed => Event::Swapped(submission, SwapResult::Failed),
            Action::SwapHead(submission, expect, head) => {
                let swapped = self.swap(expect, *head);
                Event::Swapped(submission, if lost { SwapResult::Unknown } else { swapped })
            }
            Action::Fetch(peer, after) => {
                let told = (0..INSTANCES).find(|i| address(*i) == peer && !failed);
                Event::Fetched(told.map(|i| self.instances[i].replicator.update_after(after)))
            }
            Action::RemoveSnapshot(version) => {
                self.snapshots.remove(&version);
                return;
            }
            other => panic!("{other:?} is not a call to the service or a peer"),
        };
        if self.instances[instance].incarnation == incarnation {
            self.send_delayed(instance, Message::Event(event));
        }
    }

    fn swap(&mut self, expect: Revision, head: Head) -> SwapResult {
        if self.stored.revision != expect {
            return SwapResult::Conflict(self.stored.clone());
        }
        assert_eq!(
            head.version.0,
            self.accepted.len() as u64 + 1,
            "versions must be consecutive"
        );
        let change = head.tail.back().expect("the head ends with its change").clone();
        assert!(
            self.accepted.iter().all(|(id, _)| *id != change.id),
            "{:?} accepted twice",
            change.id
        );
        let before = self.accepted.last().map(|(_, config)| config.clone());
        let mut config = before.unwrap_or_default();
        for command in &change.commands {
            config.apply(command).expect("an accepted command can be applied");
        }
        self.accepted.push((change.id, config));
        assert!(
            head.base == Version::default() || self.snapshots.contains_key(&head.base),
            "the snapshot {} that the head refers to must be stored",
            head.base
        );
        self.stored = StoredHead {
            revision: Revision(expect.0 + 1),
            head,
        };
        SwapResult::Done(self.stored.revision)
    }

    /// Passes an event to the replicator and executes its actions.
    fn handle(&mut self, instance: usize, event: Event) {
        let paused = self.instances[instance].paused;
        if paused.is_some_and(|until| until > self.now) {
            return self.send_delayed(instance, Message::Event(event));
        }
        let actions = self.instances[instance].replicator.on(self.now, event);
        for action in actions {
            match action {
                Action::Publish => self.publish(instance),
                Action::Answer(submission, answer) => {
                    let Some((_, id)) = self.submissions.remove(&submission) else {
                        continue;
                    };
                    match answer {
                        Ok(outcome) => {
                            let accepted = &self.accepted[outcome.version.0 as usize - 1].0;
                            assert_eq!(
                                *accepted, id,
                                "the operator was told the version of another change"
                            );
                        }
                        Err(SubmitError::Unknown) => {}
                        Err(SubmitError::Rejected(ProposalError::Apply(ApplyError::Gap { state, next }))) => {
                            panic!("version {next} was applied to a state of version {state}")
                        }
                        Err(_) => self.rejected.push(id),
                    }
                }
                Action::Inconsistent(error) => panic!("{error}"),
                Action::Stale(_) => {}
                action => self.send_delayed(instance, Message::Call(action)),
            }
        }
    }

    fn publish(&mut self, instance: usize) {
        let state = self.instances[instance].replicator.state().clone();
        let before = self.instances[instance].published;
        assert!(
            state.version > before,
            "published version {} after {before}",
            state.version
        );
        let expected = &self.accepted[state.version.0 as usize - 1].1;
        assert_eq!(state.config, *expected, "version {}", state.version);
        let restarted = &self.instances[instance];
        // After this time without a response of the service, an instance accepts the configuration of a peer.
        if self.now.since(restarted.started) < STARTUP_WAIT {
            let min_version = restarted.min_version;
            assert!(
                state.version >= min_version,
                "version went back from {min_version} to {} after a restart",
                state.version
            );
        }
        self.instances[instance].published = state.version;
    }
}

fn address(instance: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], instance as u16))
}
