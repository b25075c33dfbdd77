//! One whole answer, made by one or more attempts at engines.
//!
//! [`Answer`] decides what the driver does next: pick an engine, send, deliver a token, cancel, wait, end. It
//! guards against these failures:
//!
//! - A piece arrives late, twice, crossed, or from an attempt that was given up: [`AnswerAssembler`] drops it.
//! - An engine stalls without closing its connection (it was paused, or cut off): the caller would wait for
//!   good. Each wait has a limit; at its end the attempt is closed, cancelled and resumed elsewhere.
//! - The engine that an answer is resumed on has another version of the model: the text would be of two minds.
//!   A resumed attempt names the version that made the text so far, and is given up where another one answers.
//!   If no engine has that version left, the text so far is given to an engine to continue, which the engine
//!   vouches for; where this instance doesn't have that text, the answer fails.

use std::time::Duration;

use uuid::Uuid;

use crate::attempt::Attempts;
use crate::attempt::Bound;
use crate::attempt::End;
use crate::attempt::Next;
use crate::config::Repeat;
use crate::invariant;
use crate::outcome::Reason;
use crate::splice::AnswerAssembler;
use crate::splice::TokenAction;
use crate::time::Time;

/// Pause before engines that failed are tried again for an answer that the caller has a part of.
const PAUSE: Duration = Duration::from_millis(200);

/// Pauses in a row before an answer that the caller has a part of is given up: five seconds in all.
const MAX_WAITS: u32 = 25;

/// Time limits of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// From sending an attempt to its first token.
    pub first: Duration,
    /// Between two tokens.
    pub between: Duration,
    /// When the whole answer must be there.
    pub deadline: Time,
    /// Attempts in a row that may have run and bring no token.
    pub attempts: u32,
}

/// What a caller that comes back has already.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Resume {
    /// Tokens that it has.
    pub offset: u32,
    /// Version of the model that made them.
    pub version: Option<u32>,
}

/// How an attempt ended before its answer was whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte left, or the engine vouches that it did not start.
    NotStarted,
    /// The engine has another version of the model than the resumed text, and did not start.
    Version,
    /// The connection broke, or the engine answered with an error: it may have run.
    Lost,
}

impl Failure {
    fn end(self) -> End {
        match self {
            Failure::NotStarted | Failure::Version => End::Declined,
            Failure::Lost => End::Broken,
        }
    }
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An engine was picked; the attempt to send to it has this new id.
    Picked(Uuid),
    /// No engine can take the attempt now.
    Empty,
    /// An engine could take the attempt later, but not now.
    Busy,
    /// The engine took the attempt, with this version of the model.
    Opened(Uuid, u32),
    /// A token of the attempt arrived with this offset.
    Token(Uuid, u32),
    /// The caller took the token.
    Delivered,
    /// The attempt's last line: the answer ends at this offset.
    Last(Uuid, u32),
    /// The attempt ended without a last line.
    Broke(Uuid, Failure),
    /// The request must go on elsewhere, though its engine is not to blame.
    Move,
    /// The caller went away.
    Gone,
    /// Time passed.
    Tick,
}

/// An attempt to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Send {
    /// Its id.
    pub attempt: Uuid,
    /// Offset of the first token wanted.
    pub offset: u32,
    /// The version that the engine must have, if it matters.
    pub version: Option<u32>,
    /// Whether the text so far is given to the engine to continue.
    pub continued: bool,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Pick an engine that was not tried; answer with `Picked`, `Empty` or `Busy`.
    Pick,
    /// Forget which engines were tried.
    Forget,
    /// Send this attempt.
    Send(Send),
    /// Give the caller the token at this offset; answer with `Delivered`.
    Deliver(u32),
    /// Close the attempt's stream and ask the engine to stop it.
    Cancel(Uuid),
    /// The answer ends.
    End(Ending),
}

/// How an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The caller has it whole.
    Whole,
    /// No engine started it.
    NotRun(Reason),
    /// It ran and can't be finished.
    Failed(Cause),
    /// It may have run.
    Unknown(Cause),
    /// The caller went away.
    Gone,
}

/// Why an answer that may have run is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The deadline passed.
    Deadline,
    /// Too many attempts in a row brought nothing.
    Attempts,
    /// No engine can take it now.
    NoEngine,
    /// No engine has the version that made the text so far.
    Version,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Picking,
    Waiting(Time),
    Sent(Uuid),
    Open(Uuid),
    Ended,
}

/// The answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    limits: Limits,
    begun: u32,
    splice: AnswerAssembler,
    phase: Phase,
    alive: Time,
    token: bool,
    version: Option<u32>,
    continued: bool,
    mismatch: bool,
    opened: bool,
    waits: u32,
    picked: u32,
    attempts: Attempts,
}

impl Answer {
    /// An answer whose caller has what `resume` says. The driver begins with [`Action::Pick`].
    pub fn new(now: Time, limits: Limits, resume: Resume) -> Answer {
        Answer {
            limits,
            begun: resume.offset,
            splice: AnswerAssembler::new(resume.offset),
            phase: Phase::Picking,
            alive: now,
            token: false,
            version: resume.version.filter(|_| resume.offset > 0),
            continued: false,
            mismatch: false,
            opened: false,
            waits: 0,
            picked: 0,
            attempts: Attempts::new(Repeat::Safe, Bound::Fruitless(limits.attempts)),
        }
    }

    /// Takes an event and returns what to do, in this order.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        if self.phase == Phase::Ended {
            return Vec::new();
        }
        if event == Event::Gone {
            return self.end(Ending::Gone);
        }
        // What arrives together with the deadline is late: a caller that stopped waiting must not be told `whole`.
        if now >= self.limits.deadline {
            return self.give_up(Reason::TooLate, Cause::Deadline);
        }
        match event {
            Event::Picked(attempt) => self.on_picked(now, attempt),
            Event::Empty => self.on_empty(now),
            Event::Busy => self.wait(now),
            Event::Opened(attempt, version) => self.on_opened(now, attempt, version),
            Event::Token(attempt, offset) => self.on_token(now, attempt, offset),
            Event::Delivered => self.touch(now),
            Event::Last(attempt, offset) => self.on_last(attempt, offset),
            Event::Broke(attempt, failure) => self.on_broke(attempt, failure),
            Event::Move => self.leave_for_others(),
            Event::Gone => Vec::new(),
            Event::Tick => self.on_tick(now),
        }
    }

    /// When the next [`Event::Tick`] is due.
    pub fn due(&self) -> Time {
        let limit = match self.phase {
            Phase::Waiting(until) => until,
            Phase::Sent(_) | Phase::Open(_) => self.alive + self.patience(),
            Phase::Picking | Phase::Ended => self.limits.deadline,
        };
        limit.min(self.limits.deadline)
    }

    /// Offset of the next token.
    pub fn next(&self) -> u32 {
        self.splice.next_offset()
    }

    /// The version of the model that made the whole text, by which a caller can come back; `None` before the
    /// first token, or if the text was continued by another version.
    pub fn version(&self) -> Option<u32> {
        self.version.filter(|_| !self.continued)
    }

    /// Pieces dropped.
    pub fn dropped(&self) -> u64 {
        self.splice.dropped()
    }

    /// Attempts sent.
    pub fn attempts(&self) -> u32 {
        self.picked
    }

    /// Whether the last attempt was silent for longer than it may be.
    pub fn is_silent(&self, now: Time) -> bool {
        now >= self.alive + self.patience()
    }

    /// Whether an engine may have run some of it.
    pub fn is_run(&self) -> bool {
        self.attempts.may_have_run()
    }

    /// How long the open attempt may be silent.
    fn patience(&self) -> Duration {
        match self.token {
            true => self.limits.between,
            false => self.limits.first,
        }
    }

    fn current(&self) -> Option<Uuid> {
        match self.phase {
            Phase::Sent(attempt) | Phase::Open(attempt) => Some(attempt),
            Phase::Picking | Phase::Waiting(_) | Phase::Ended => None,
        }
    }

    fn on_picked(&mut self, now: Time, attempt: Uuid) -> Vec<Action> {
        if invariant::check(self.phase == Phase::Picking, "one attempt at a time").is_err() {
            return Vec::new();
        }
        let offset = self.splice.open_attempt(attempt);
        self.phase = Phase::Sent(attempt);
        self.alive = now;
        self.token = false;
        self.picked += 1;
        vec![Action::Send(Send {
            attempt,
            offset,
            version: self.version.filter(|_| !self.continued),
            continued: self.continued,
        })]
    }

    fn on_empty(&mut self, now: Time) -> Vec<Action> {
        if self.phase != Phase::Picking {
            return Vec::new();
        }
        if self.mismatch && !self.continued {
            return self.on_version_gone();
        }
        let delivered = self.next() > self.begun;
        if delivered && self.waits < MAX_WAITS {
            self.waits += 1;
            return self.wait(now);
        }
        self.give_up(Reason::NoEngine, Cause::NoEngine)
    }

    /// No engine has the version left that made the text so far.
    fn on_version_gone(&mut self) -> Vec<Action> {
        if self.begun > 0 {
            return self.end(Ending::Failed(Cause::Version));
        }
        self.continued = true;
        vec![Action::Forget, Action::Pick]
    }

    fn wait(&mut self, now: Time) -> Vec<Action> {
        self.phase = Phase::Waiting(now + PAUSE);
        Vec::new()
    }

    fn on_opened(&mut self, now: Time, attempt: Uuid, version: u32) -> Vec<Action> {
        if self.phase != Phase::Sent(attempt) {
            return vec![Action::Cancel(attempt)];
        }
        self.attempts.on_run();
        self.opened = true;
        if !self.continued && self.version.is_some_and(|v| v != version) {
            // The engine took the attempt without looking at the version: its tokens don't fit the text.
            self.mismatch = true;
            return self.leave(attempt);
        }
        self.phase = Phase::Open(attempt);
        self.alive = now;
        if self.next() == 0 {
            self.version = Some(version);
        }
        Vec::new()
    }

    fn on_token(&mut self, now: Time, attempt: Uuid, offset: u32) -> Vec<Action> {
        match self.splice.on_token(attempt, offset) {
            TokenAction::WrongAttempt | TokenAction::Duplicate => Vec::new(),
            TokenAction::Gap => self.leave(attempt),
            TokenAction::Deliver => {
                self.attempts.on_progress();
                self.waits = 0;
                self.token = true;
                self.alive = now;
                vec![Action::Deliver(offset)]
            }
        }
    }

    fn touch(&mut self, now: Time) -> Vec<Action> {
        self.alive = now;
        Vec::new()
    }

    fn on_last(&mut self, attempt: Uuid, offset: u32) -> Vec<Action> {
        if self.splice.on_finish(attempt, offset) {
            self.phase = Phase::Ended;
            return vec![Action::End(Ending::Whole)];
        }
        // A last line of another attempt says nothing; one of the open attempt at another offset is no whole
        // answer, and the attempt has nothing more to bring.
        match self.current() == Some(attempt) {
            true => self.leave(attempt),
            false => Vec::new(),
        }
    }

    fn on_broke(&mut self, attempt: Uuid, failure: Failure) -> Vec<Action> {
        if self.current() != Some(attempt) {
            return Vec::new();
        }
        self.splice.close_attempt();
        self.mismatch |= failure == Failure::Version;
        self.go_on(failure.end())
    }

    /// Closes the attempt, cancels it and goes on elsewhere.
    fn leave(&mut self, attempt: Uuid) -> Vec<Action> {
        self.splice.close_attempt();
        let mut actions = vec![Action::Cancel(attempt)];
        actions.extend(self.go_on(End::Broken));
        actions
    }

    fn go_on(&mut self, end: End) -> Vec<Action> {
        match self.attempts.on_end(end) {
            Next::Again => {
                self.phase = Phase::Picking;
                vec![Action::Pick]
            }
            Next::Refuse | Next::Fail => self.give_up(Reason::UpstreamRefused, Cause::Attempts),
        }
    }

    fn leave_for_others(&mut self) -> Vec<Action> {
        match self.current() {
            Some(attempt) => {
                self.attempts.on_run();
                self.splice.close_attempt();
                self.phase = Phase::Picking;
                vec![Action::Cancel(attempt), Action::Pick]
            }
            None => Vec::new(),
        }
    }

    fn on_tick(&mut self, now: Time) -> Vec<Action> {
        match self.phase {
            Phase::Waiting(until) if now >= until => {
                self.phase = Phase::Picking;
                vec![Action::Forget, Action::Pick]
            }
            Phase::Sent(attempt) | Phase::Open(attempt) if now >= self.alive + self.patience() => {
                self.leave(attempt)
            }
            _ => Vec::new(),
        }
    }

    fn give_up(&mut self, reason: Reason, cause: Cause) -> Vec<Action> {
        let sent = self.current().is_some();
        let ending = match (self.attempts.may_have_run() || sent, self.opened) {
            (false, _) => Ending::NotRun(reason),
            (true, true) => Ending::Failed(cause),
            (true, false) => Ending::Unknown(cause),
        };
        self.end(ending)
    }

    fn end(&mut self, ending: Ending) -> Vec<Action> {
        let mut actions: Vec<Action> = self.current().into_iter().map(Action::Cancel).collect();
        self.splice.close_attempt();
        self.phase = Phase::Ended;
        actions.push(Action::End(ending));
        actions
    }
}
