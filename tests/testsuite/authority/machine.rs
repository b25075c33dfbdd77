//! One machine, event by event.

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

/// A machine whose calls to the key-value service all succeed, and an empty engine.
struct Bench {
    machine: Authority,
    now: Time,
    version: u64,
    sent: Vec<CallId>,
}

impl Bench {
    fn new() -> Bench {
        let settings = Settings {
            service: name("s"),
            instance: name("i0"),
            incarnation: Incarnation::default(),
            timing: Timing::new(TTL, Duration::from_millis(500)),
        };
        let mut bench = Bench {
            machine: Authority::new(settings),
            now: Time::from_millis(1_000),
            version: 0,
            sent: Vec::new(),
        };
        let wish = EngineConfig {
            name: name("e0"),
            fencing: Fencing::Ignored,
            role: Some(Role::Decode),
            released_sequence: 0,
        };
        bench.give(Event::Configured {
            model: "m".to_string(),
            engines: vec![wish],
        });
        bench.give(Event::Vacant);
        bench
    }

    fn give(&mut self, event: Event) {
        for action in self.machine.handle_event(self.now, event) {
            if let Some(event) = self.perform(action) {
                self.give(event);
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
                self.sent.push(send.call);
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

    /// Lets time go on until so many orders were sent.
    fn run_until_sent(&mut self, count: usize) {
        for _ in 0..200 {
            if self.sent.len() >= count {
                return;
            }
            self.run(1);
        }
        panic!("{} orders were sent", self.sent.len());
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now = self.now + Duration::from_millis(100);
            self.give(Event::Tick);
        }
    }

    fn answer(&mut self, call: CallId) {
        self.give(Event::Answered {
            call,
            engine: name("e0"),
            answer: OrderAnswer::Unsent,
        });
    }
}

/// An engine that ignores numbers refuses a connection, and the order is sent again. The answer to the first try
/// comes a second time, while the second may be on its way. A third would be a copy that nothing settles.
#[test]
fn send_answer_doubled() {
    let mut bench = Bench::new();
    bench.run_until_sent(1);
    let first = bench.sent[0];
    bench.answer(first);
    bench.run_until_sent(2);
    bench.answer(first);
    bench.run(60);
    assert_eq!(bench.sent.len(), 2);
}
