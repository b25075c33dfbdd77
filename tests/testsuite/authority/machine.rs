//! Tests of a single authority state machine that is given one event at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiastream_core::authority::Action;
use sequoiastream_core::authority::Authority;
use sequoiastream_core::authority::CallId;
use sequoiastream_core::authority::EngineConfig;
use sequoiastream_core::authority::Event;
use sequoiastream_core::authority::HoldAnswer;
use sequoiastream_core::authority::Incarnation;
use sequoiastream_core::authority::OrderAnswer;
use sequoiastream_core::authority::RecordVersion;
use sequoiastream_core::authority::Report;
use sequoiastream_core::authority::Settings;
use sequoiastream_core::authority::Timing;
use sequoiastream_core::authority::WriteOutcome;
use sequoiastream_core::config::Fencing;
use sequoiastream_core::config::Role;
use sequoiastream_core::engine::Target;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;

const TTL: Duration = Duration::from_secs(10);

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// An authority state machine whose calls to the key-value service all succeed, with idle engines.
struct Harness {
    machine: Authority,
    now: Time,
    version: u64,
    sent_calls: Vec<CallId>,
    /// Engines that the instances were asked to hold.
    held: Vec<Name>,
    /// Roles of the engines that were changed.
    roles: BTreeMap<Name, Role>,
    /// Whether the instances confirm that they use an engine again.
    confirms_unhold: bool,
}

impl Harness {
    fn new() -> Harness {
        Harness::with_engines(&["e0"])
    }

    fn with_engines(engines: &[&str]) -> Harness {
        let settings = Settings {
            service: name("s"),
            instance: name("i0"),
            incarnation: Incarnation::default(),
            timing: Timing::new(TTL, Duration::from_millis(500)),
        };
        let mut harness = Harness {
            machine: Authority::new(settings),
            now: Time::from_millis(1_000),
            version: 0,
            sent_calls: Vec::new(),
            held: Vec::new(),
            roles: BTreeMap::new(),
            confirms_unhold: true,
        };
        let configs = engines.iter().map(|engine| EngineConfig {
            name: name(engine),
            fencing: Fencing::Ignored,
            role: Some(Role::Decode),
            released_sequence: 0,
        });
        harness.handle_event(Event::Configured {
            model: "m".to_string(),
            engines: configs.collect(),
        });
        harness.handle_event(Event::Vacant);
        harness
    }

    fn handle_event(&mut self, event: Event) {
        for action in self.machine.handle_event(self.now, event) {
            if let Some(event) = self.perform(action) {
                self.handle_event(event);
            }
        }
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Acquire(call) => Some(Event::Acquired { call, sent: self.now }),
            Action::Renew(call) => Some(Event::Renewed { call, sent: self.now }),
            Action::Read(call) => Some(Event::Read {
                call,
                version: RecordVersion(0),
                record: None,
            }),
            Action::Write { call, .. } => {
                self.version += 1;
                let written = WriteOutcome::Done(RecordVersion(self.version));
                Some(Event::Wrote {
                    call,
                    outcome: written,
                })
            }
            Action::Probe(engine) => Some(Event::Reported {
                report: self.report(&engine),
                engine,
            }),
            Action::Hold(engine) => {
                self.held.push(engine.clone());
                Some(Event::HoldAnswered {
                    engine,
                    asked: self.now,
                    done: self.now,
                    answers: BTreeMap::from([(name("i0"), HoldAnswer::InFlight(0))]),
                })
            }
            Action::Unhold(engine) => self.confirms_unhold.then_some(Event::Unheld(engine)),
            Action::Send(send) => {
                self.sent_calls.push(send.call);
                None
            }
            Action::InvariantBroken(rule) => panic!("{rule}"),
            _ => None,
        }
    }

    fn report(&self, engine: &Name) -> Report {
        Report {
            target: Target {
                role: self.roles.get(engine).copied().unwrap_or(Role::Mixed),
                model: "m".to_string(),
                adapter: None,
                version: 1,
            },
            away: false,
            idle: true,
            sequence: 0,
            taken_at: self.now,
        }
    }

    /// Advances the simulated time until `count` orders have been sent.
    fn run_until_sent(&mut self, count: usize) {
        for _ in 0..200 {
            if self.sent_calls.len() >= count {
                return;
            }
            self.run(1);
        }
        panic!("only {} orders were sent", self.sent_calls.len());
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now = self.now + Duration::from_millis(100);
            self.handle_event(Event::Tick);
        }
    }

    /// Applies the last order, which went to `engine`.
    fn apply_order(&mut self, engine: &str) {
        let call = *self.sent_calls.last().expect("an order was sent");
        // Reports from before the answer don't show the change.
        self.now = self.now + Duration::from_millis(1);
        self.roles.insert(name(engine), Role::Decode);
        self.handle_event(Event::Answered {
            call,
            engine: name(engine),
            answer: OrderAnswer::Applied,
        });
    }

    fn answer_unsent(&mut self, call: CallId) {
        self.handle_event(Event::Answered {
            call,
            engine: name("e0"),
            answer: OrderAnswer::Unsent,
        });
    }
}

/// An engine that ignores fencing tokens refuses a connection, and the order is sent again. The answer to the first
/// attempt is then delivered twice, while the second attempt may be in flight. A third attempt would be a copy of the
/// order that nothing settles.
#[test]
fn send_answer_doubled() {
    let mut harness = Harness::new();
    harness.run_until_sent(1);
    let first = harness.sent_calls[0];
    harness.answer_unsent(first);
    harness.run_until_sent(2);
    harness.answer_unsent(first);
    harness.run(60);
    assert_eq!(harness.sent_calls.len(), 2);
}

/// Guards against requests that are refused during the changes of two engines: the second engine is held while some
/// instances still consider the first one unavailable, and these have no engine left.
#[test]
fn hold_next_after_return() {
    let mut harness = Harness::with_engines(&["e0", "e1"]);
    harness.confirms_unhold = false;
    harness.run_until_sent(1);
    harness.apply_order("e0");
    harness.run(20);
    assert!(!harness.held.contains(&name("e1")), "{:?}", harness.held);
    harness.handle_event(Event::Unheld(name("e0")));
    harness.run_until_sent(2);
    assert!(harness.held.contains(&name("e1")), "{:?}", harness.held);
}

/// Guards against changes that never continue because the confirmation of the instances was lost.
#[test]
fn hold_next_confirmation_lost() {
    let mut harness = Harness::with_engines(&["e0", "e1"]);
    harness.confirms_unhold = false;
    harness.run_until_sent(1);
    harness.apply_order("e0");
    harness.run_until_sent(2);
    assert!(harness.held.contains(&name("e1")), "{:?}", harness.held);
}
