//! State machine of one answer: tables of its endings, and seeded runs with misbehaving engines.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sequoiastream_core::answer::Action;
use sequoiastream_core::answer::Answer;
use sequoiastream_core::answer::Cause;
use sequoiastream_core::answer::Ending;
use sequoiastream_core::answer::Event;
use sequoiastream_core::answer::Failure;
use sequoiastream_core::answer::Limits;
use sequoiastream_core::answer::Resume;
use sequoiastream_core::outcome::Reason;
use sequoiastream_core::time::Time;
use uuid::Uuid;

const LIMITS: Limits = Limits {
    first_token: Duration::from_millis(100),
    between_tokens: Duration::from_millis(50),
    deadline: Time::from_millis(10_000),
    max_attempts: 3,
};

fn attempt(number: u128) -> Uuid {
    Uuid::from_u128(number)
}

fn ending(actions: &[Action]) -> Option<Ending> {
    actions.iter().find_map(|action| match action {
        Action::End(ending) => Some(*ending),
        _ => None,
    })
}

/// The ending must reflect all attempts, and must be reported at once. If only the last attempt counted, a refusal
/// after a failed attempt that may have run would be reported as `not-run`, and the caller would repeat work that has
/// run. If the refusal were held until the deadline, the caller would wait for a result that is already decided.
#[test]
fn end_by_history() {
    let (a, b) = (attempt(1), attempt(2));
    let refused = [Event::Picked(a), Event::AttemptFailed(a, Failure::NotStarted)];
    let lost = [Event::Picked(a), Event::AttemptFailed(a, Failure::MayHaveRun)];
    let broken = [
        Event::Picked(a),
        Event::Opened(a, 1),
        Event::AttemptFailed(a, Failure::MayHaveRun),
    ];
    let then_refused = [Event::Picked(b), Event::AttemptFailed(b, Failure::NotStarted)];
    let cases = [
        ("no engine", vec![], Ending::NotRun(Reason::NoEngine)),
        ("refused", refused.to_vec(), Ending::NotRun(Reason::NoEngine)),
        (
            "refused twice",
            [refused, then_refused].concat(),
            Ending::NotRun(Reason::NoEngine),
        ),
        ("lost", lost.to_vec(), Ending::Unknown(Cause::NoEngine)),
        (
            "lost, then refused",
            [lost, then_refused].concat(),
            Ending::Unknown(Cause::NoEngine),
        ),
        (
            "begun, then refused",
            [broken.to_vec(), then_refused.to_vec()].concat(),
            Ending::Failed(Cause::NoEngine),
        ),
    ];
    for (name, events, expected) in cases {
        let mut answer = Answer::new(Time::ZERO, LIMITS, Resume::default());
        for event in events {
            assert_eq!(ending(&answer.on(Time::ZERO, event)), None, "{name}");
        }
        // The ending is returned by the event that decides it, not by a later tick.
        let last = answer.on(Time::ZERO, Event::NoEngine);
        assert_eq!(ending(&last), Some(expected), "{name}");
        assert!(
            answer.on(Time::ZERO, Event::NoEngine).is_empty(),
            "{name}: ended twice"
        );
    }
}

#[test]
fn end_at_deadline() {
    let a = attempt(1);
    let late = LIMITS.deadline;
    let cases = [
        ("waiting", vec![], Ending::NotRun(Reason::TooLate)),
        ("sent", vec![Event::Picked(a)], Ending::Unknown(Cause::Deadline)),
        (
            "open",
            vec![Event::Picked(a), Event::Opened(a, 1)],
            Ending::Failed(Cause::Deadline),
        ),
    ];
    for (name, events, expected) in cases {
        let mut answer = Answer::new(Time::ZERO, LIMITS, Resume::default());
        for event in events {
            answer.on(Time::ZERO, event);
        }
        assert_eq!(answer.due().min(late), answer.due(), "{name}");
        assert_eq!(ending(&answer.on(late, Event::Tick)), Some(expected), "{name}");
    }
}

/// An answer must not silently mix tokens of two model versions. This happens when an answer is resumed on an engine
/// that has been updated meanwhile and only the seed and the prompt are compared, which are the same for both
/// versions.
#[test]
fn resume_version_gone() {
    let (a, b, c) = (attempt(1), attempt(2), attempt(3));
    let mut answer = Answer::new(Time::ZERO, LIMITS, Resume::default());
    answer.on(Time::ZERO, Event::Picked(a));
    answer.on(Time::ZERO, Event::Opened(a, 1));
    assert_eq!(
        answer.on(Time::ZERO, Event::Token(a, 0)),
        vec![Action::Deliver(0)]
    );
    answer.on(Time::ZERO, Event::AttemptFailed(a, Failure::MayHaveRun));
    let sent = answer.on(Time::ZERO, Event::Picked(b));
    assert!(
        matches!(sent[..], [Action::Send(send)] if send.version == Some(1) && send.offset == 1),
        "{sent:?}"
    );
    // Tokens of an engine that ignores the requested version must not be delivered.
    let opened = answer.on(Time::ZERO, Event::Opened(b, 2));
    assert_eq!(opened, vec![Action::Cancel(b), Action::Pick]);
    assert!(answer.on(Time::ZERO, Event::Token(b, 1)).is_empty());
    assert_eq!(
        answer.on(Time::ZERO, Event::NoEngine),
        vec![Action::ClearTried, Action::Pick]
    );
    let sent = answer.on(Time::ZERO, Event::Picked(c));
    assert!(
        matches!(sent[..], [Action::Send(send)] if send.continued),
        "{sent:?}"
    );
    answer.on(Time::ZERO, Event::Opened(c, 2));
    assert_eq!(
        answer.on(Time::ZERO, Event::Token(c, 1)),
        vec![Action::Deliver(1)]
    );
    assert_eq!(answer.version(), None);
}

/// The stream of one engine in a seeded run.
struct Stream {
    attempt: Uuid,
    version: u32,
    next: u32,
    closed: bool,
}

/// A seeded run: the tokens delivered to the caller, and the state of the engines.
struct Run {
    rng: StdRng,
    now: Time,
    answer: Answer,
    streams: Vec<Stream>,
    delivered: Vec<(u32, u32)>,
    sent_tokens: Vec<(Uuid, u32, u32)>,
    started: bool,
    continued: bool,
    ended: Option<Ending>,
    attempt_count: u128,
}

const LENGTH: u32 = 12;

impl Run {
    fn new(seed: u64) -> Run {
        Run {
            rng: StdRng::seed_from_u64(seed),
            now: Time::ZERO,
            answer: Answer::new(Time::ZERO, LIMITS, Resume::default()),
            streams: Vec::new(),
            delivered: Vec::new(),
            sent_tokens: Vec::new(),
            started: false,
            continued: false,
            ended: None,
            attempt_count: 0,
        }
    }

    fn handle(&mut self, event: Event, version: u32) {
        let actions = self.answer.on(self.now, event);
        self.execute(&actions, version);
    }

    fn execute(&mut self, actions: &[Action], version: u32) {
        for action in actions {
            assert_eq!(self.ended, None, "{action:?} after the answer ended");
            match action {
                Action::Pick => self.pick(),
                Action::Send(send) => self.send(*send),
                Action::Deliver(offset) => self.delivered.push((*offset, version)),
                Action::Cancel(attempt) => self.close(*attempt),
                Action::End(ending) => self.ended = Some(*ending),
                Action::ClearTried => {}
            }
        }
    }

    fn pick(&mut self) {
        match self.rng.random_range(0..10) {
            0 => self.handle(Event::NoEngine, 0),
            1 => self.handle(Event::Busy, 0),
            _ => {
                self.attempt_count += 1;
                self.handle(Event::Picked(attempt(self.attempt_count * 2)), 0);
            }
        }
    }

    fn send(&mut self, send: sequoiastream_core::answer::Send) {
        let version = self.rng.random_range(1..3);
        self.continued |= send.continued;
        match self.rng.random_range(0..8) {
            0 => self.handle(Event::AttemptFailed(send.attempt, Failure::NotStarted), 0),
            1 => {
                self.started = true;
                self.handle(Event::AttemptFailed(send.attempt, Failure::MayHaveRun), 0);
            }
            _ if send.version.is_some_and(|v| v != version) && self.rng.random_bool(0.7) => {
                self.handle(Event::AttemptFailed(send.attempt, Failure::VersionMismatch), 0);
            }
            _ => {
                self.started = true;
                self.streams.push(Stream {
                    attempt: send.attempt,
                    version,
                    next: send.offset,
                    closed: false,
                });
                self.handle(Event::Opened(send.attempt, version), 0);
            }
        }
    }

    fn close(&mut self, attempt: Uuid) {
        // Tokens of a closed stream may still arrive: an engine may ignore the cancellation.
        for stream in self.streams.iter_mut().filter(|s| s.attempt == attempt) {
            stream.closed = true;
        }
    }

    /// Advances the time and simulates one random event of an engine, or a tick.
    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(0..8));
        if self.streams.is_empty() || self.rng.random_bool(0.05) {
            self.now = self.answer.due();
            return self.handle(Event::Tick, 0);
        }
        let index = self.rng.random_range(0..self.streams.len());
        let (attempt, version, next) = {
            let stream = &self.streams[index];
            (stream.attempt, stream.version, stream.next)
        };
        if next >= LENGTH && self.rng.random_bool(0.7) {
            return self.handle(Event::Finished(attempt, next), version);
        }
        match self.rng.random_range(0..40) {
            0 => self.streams[index].next += 1,
            1 => self.handle(Event::Finished(attempt, next + 1), version),
            2 => self.handle(
                Event::Token(Uuid::from_u128(attempt.as_u128() ^ 1), next),
                version,
            ),
            3 if !self.sent_tokens.is_empty() => self.repeat_token(),
            4 => {
                self.handle(Event::AttemptFailed(attempt, Failure::MayHaveRun), version);
                self.streams[index].closed = true;
            }
            5 => self.handle(Event::Relocate, version),
            _ if next < LENGTH => {
                self.sent_tokens.push((attempt, next, version));
                self.streams[index].next += 1;
                self.handle(Event::Token(attempt, next), version);
                self.handle(Event::Delivered, version);
            }
            _ => {}
        }
    }

    /// Sends a random earlier token again.
    fn repeat_token(&mut self) {
        let index = self.rng.random_range(0..self.sent_tokens.len());
        let (attempt, offset, version) = self.sent_tokens[index];
        self.handle(Event::Token(attempt, offset), version);
    }

    fn check(&self, seed: u64) {
        for (index, (offset, _)) in self.delivered.iter().enumerate() {
            assert_eq!(*offset, index as u32, "seed {seed}: missing or repeated token");
        }
        let mixed = self.delivered.windows(2).any(|pair| pair[0].1 != pair[1].1);
        assert!(
            !mixed || self.continued,
            "seed {seed}: tokens of two versions mixed without a continuation"
        );
        let whole = self.ended == Some(Ending::Whole);
        assert!(
            !whole || self.delivered.len() >= LENGTH as usize,
            "seed {seed}: truncated answer reported as whole"
        );
        let not_run = matches!(self.ended, Some(Ending::NotRun(_)));
        assert!(
            !not_run || !self.started,
            "seed {seed}: reported as not-run although an attempt may have run"
        );
    }
}

/// Engines may send tokens in any order, repeatedly or not at all. The delivered answer must have no gap, no repeated
/// token and no token of another attempt, must not be reported as `not-run` if it may have run, and must end by the
/// deadline.
#[test]
fn deliver_seeded_runs() {
    let mut whole = 0;
    for seed in 0..2_000 {
        let mut run = Run::new(seed);
        run.pick();
        for _ in 0..20_000 {
            if run.ended.is_some() {
                break;
            }
            run.step();
        }
        assert!(run.ended.is_some(), "seed {seed}: the answer did not end");
        run.check(seed);
        whole += usize::from(run.ended == Some(Ending::Whole));
    }
    assert!(
        whole > 500,
        "only {whole} runs ended whole, too few for the checks to be meaningful"
    );
}
