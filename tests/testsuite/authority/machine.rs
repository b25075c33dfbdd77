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

/// An authority state machine whose calls to the key-value service all succeed, with one idle engine.
struct Harness {
    machine: Authority,
    now: Time,
    version: u64,
    sent_calls: Vec<CallId>,
}

impl Harness {
    fn new() -> Harness {
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
        };
        let config = EngineConfig {
            name: name("e0"),
            fencing: Fencing::Ignored,
            role: Some(Role::Decode),
            released_sequence: 0,
        };
        harness.handle_event(Event::Configured {
            model: "m".to_string(),
            engines: vec![config],
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
                engine,
                report: self.report(),
            }),
            Action::Hold(engine) => Some(Event::HoldAnswered {
                engine,
                asked: self.now,
                done: self.now,
                answers: BTreeMap::from([(name("i0"), HoldAnswer::InFlight(0))]),
            }),
            Action::Send(send) => {
                self.sent_calls.push(send.call);
                None
            }
            Action::InvariantBroken(rule) => panic!("{rule}"),
            _ => None,
        }
    }

    fn report(&self) -> Report {
        Report {
            target: Target {
                role: Role::Mixed,
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
