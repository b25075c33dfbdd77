//! One whole answer, made by one or more attempts at engines.
//!
//! [`Answer`] decides what the driver does next: pick an engine, send, deliver a token, cancel, wait, end. It
//! guards against these failures:
//!
//! - A piece arrives late, twice, crossed, or from an attempt that was given up: [`Splice`] drops it.
//! - An engine stalls without closing its connection (it was paused, or cut off): the caller would wait for
//!   good. Each wait has a limit; at its end the attempt is closed, cancelled and resumed elsewhere.
//! - The engine that an answer is resumed on has another version of the model: the text would be of two minds.
//!   A resumed attempt names the version that made the text so far, and is given up where another one answers.
//!   If no engine has that version left, the text so far is given to an engine to continue, which the engine
//!   vouches for; where this instance doesn't have that text, the answer fails.

use std::time::Duration;

use uuid::Uuid;

use crate::attempt::AttemptLimit;
use crate::attempt::Attempts;
use crate::attempt::End;
use crate::attempt::NextStep;
use crate::config::Repeat;
use crate::invariant;
use crate::outcome::Reason;
use crate::splice::Splice;
use crate::splice::Verdict;
use crate::time::Time;

/// Pause before engines that failed are tried again for an answer that the caller has a part of.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Pauses in a row before an answer that the caller has a part of is given up: five seconds in all.
const MAX_WAITS: u32 = 25;

/// Time limits of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// From sending an attempt to its first token.
    pub first_token: Duration,
    /// Between two tokens.
    pub between_tokens: Duration,
    /// When the whole answer must be there.
    pub deadline: Time,
    /// Attempts in a row that may have run and bring no token.
    pub max_attempts: u32,
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
    VersionMismatch,
    /// The connection broke, or the engine answered with an error: it may have run.
    MayHaveRun,
}

impl Failure {
    fn end(self) -> End {
        match self {
            Failure::NotStarted | Failure::VersionMismatch => End::Declined,
            Failure::MayHaveRun => End::Broken,
        }
    }
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An engine was picked; the attempt to send to it has this new id.
    Picked(Uuid),
    /// No engine can take the attempt now.
    NoEngine,
    /// An engine could take the attempt later, but not now.
    Busy,
    /// The engine took the attempt, with this version of the model.
    Opened(Uuid, u32),
    /// A token of the attempt arrived with this offset.
    Token(Uuid, u32),
    /// The caller took the token.
    Delivered,
    /// The attempt's last line: the answer ends at this offset.
    Finished(Uuid, u32),
    /// The attempt ended without a last line.
    AttemptFailed(Uuid, Failure),
    /// The request must go on elsewhere, though its engine is not to blame.
    Relocate,
    /// The caller went away.
    CallerGone,
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
    ClearTried,
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
    CallerGone,
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
    VersionUnavailable,
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
    start_offset: u32,
    splice: Splice,
    phase: Phase,
    last_activity: Time,
    got_token: bool,
    version: Option<u32>,
    continued: bool,
    version_mismatch: bool,
    opened: bool,
    waits: u32,
    attempt_count: u32,
    attempts: Attempts,
}

impl Answer {
    /// An answer whose caller has what `resume` says. The driver begins with [`Action::Pick`].
    pub fn new(now: Time, limits: Limits, resume: Resume) -> Answer {
        Answer {
            limits,
            start_offset: resume.offset,
            splice: Splice::new(resume.offset),
            phase: Phase::Picking,
            last_activity: now,
            got_token: false,
            version: resume.version.filter(|_| resume.offset > 0),
            continued: false,
            version_mismatch: false,
            opened: false,
            waits: 0,
            attempt_count: 0,
            attempts: Attempts::new(Repeat::Safe, AttemptLimit::WithoutProgress(limits.max_attempts)),
        }
    }

    /// Takes an event and returns what to do, in this order.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        if self.phase == Phase::Ended {
            return Vec::new();
        }
        if event == Event::CallerGone {
            return self.end(Ending::CallerGone);
        }
        // What arrives together with the deadline is late: a caller that stopped waiting must not be told `whole`.
        if now >= self.limits.deadline {
            return self.give_up(Reason::TooLate, Cause::Deadline);
        }
        match event {
            Event::Picked(attempt) => self.on_picked(now, attempt),
            Event::NoEngine => self.on_no_engine(now),
            Event::Busy => self.wait(now),
            Event::Opened(attempt, version) => self.on_opened(now, attempt, version),
            Event::Token(attempt, offset) => self.on_token(now, attempt, offset),
            Event::Delivered => self.record_activity(now),
            Event::Finished(attempt, offset) => self.on_finished(attempt, offset),
            Event::AttemptFailed(attempt, failure) => self.on_attempt_failed(attempt, failure),
            Event::Relocate => self.relocate(),
            Event::CallerGone => Vec::new(),
            Event::Tick => self.on_tick(now),
        }
    }

    /// When the next [`Event::Tick`] is due.
    pub fn due(&self) -> Time {
        let limit = match self.phase {
            Phase::Waiting(until) => until,
            Phase::Sent(_) | Phase::Open(_) => self.last_activity + self.silence_limit(),
            Phase::Picking | Phase::Ended => self.limits.deadline,
        };
        limit.min(self.limits.deadline)
    }

    /// Offset of the next token.
    pub fn next_offset(&self) -> u32 {
        self.splice.next()
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
        self.attempt_count
    }

    /// Whether the last attempt was silent for longer than it may be.
    pub fn is_silent(&self, now: Time) -> bool {
        now >= self.last_activity + self.silence_limit()
    }

    /// Whether an engine may have run some of it.
    pub fn may_have_run(&self) -> bool {
        self.attempts.may_have_run()
    }

    /// How long the open attempt may be silent.
    fn silence_limit(&self) -> Duration {
        match self.got_token {
            true => self.limits.between_tokens,
            false => self.limits.first_token,
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
        let offset = self.splice.open(attempt);
        self.phase = Phase::Sent(attempt);
        self.last_activity = now;
        self.got_token = false;
        self.attempt_count += 1;
        vec![Action::Send(Send {
            attempt,
            offset,
            version: self.version.filter(|_| !self.continued),
            continued: self.continued,
        })]
    }

    fn on_no_engine(&mut self, now: Time) -> Vec<Action> {
        if self.phase != Phase::Picking {
            return Vec::new();
        }
        if self.version_mismatch && !self.continued {
            return self.on_version_unavailable();
        }
        let delivered = self.next_offset() > self.start_offset;
        if delivered && self.waits < MAX_WAITS {
            self.waits += 1;
            return self.wait(now);
        }
        self.give_up(Reason::NoEngine, Cause::NoEngine)
    }

    /// No engine has the version left that made the text so far.
    fn on_version_unavailable(&mut self) -> Vec<Action> {
        if self.start_offset > 0 {
            return self.end(Ending::Failed(Cause::VersionUnavailable));
        }
        self.continued = true;
        vec![Action::ClearTried, Action::Pick]
    }

    fn wait(&mut self, now: Time) -> Vec<Action> {
        self.phase = Phase::Waiting(now + RETRY_DELAY);
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
            self.version_mismatch = true;
            return self.abandon(attempt);
        }
        self.phase = Phase::Open(attempt);
        self.last_activity = now;
        if self.next_offset() == 0 {
            self.version = Some(version);
        }
        Vec::new()
    }

    fn on_token(&mut self, now: Time, attempt: Uuid, offset: u32) -> Vec<Action> {
        match self.splice.on_token(attempt, offset) {
            Verdict::Foreign | Verdict::Repeat => Vec::new(),
            Verdict::Gap => self.abandon(attempt),
            Verdict::Deliver => {
                self.attempts.on_progress();
                self.waits = 0;
                self.got_token = true;
                self.last_activity = now;
                vec![Action::Deliver(offset)]
            }
        }
    }

    fn record_activity(&mut self, now: Time) -> Vec<Action> {
        self.last_activity = now;
        Vec::new()
    }

    fn on_finished(&mut self, attempt: Uuid, offset: u32) -> Vec<Action> {
        if self.splice.on_finish(attempt, offset) {
            self.phase = Phase::Ended;
            return vec![Action::End(Ending::Whole)];
        }
        // A last line of another attempt says nothing; one of the open attempt at another offset is no whole
        // answer, and the attempt has nothing more to bring.
        match self.current() == Some(attempt) {
            true => self.abandon(attempt),
            false => Vec::new(),
        }
    }

    fn on_attempt_failed(&mut self, attempt: Uuid, failure: Failure) -> Vec<Action> {
        if self.current() != Some(attempt) {
            return Vec::new();
        }
        self.splice.close();
        self.version_mismatch |= failure == Failure::VersionMismatch;
        self.proceed_after(failure.end())
    }

    /// Closes the attempt, cancels it and goes on elsewhere.
    fn abandon(&mut self, attempt: Uuid) -> Vec<Action> {
        self.splice.close();
        let mut actions = vec![Action::Cancel(attempt)];
        actions.extend(self.proceed_after(End::Broken));
        actions
    }

    fn proceed_after(&mut self, end: End) -> Vec<Action> {
        match self.attempts.on_end(end) {
            NextStep::Retry => {
                self.phase = Phase::Picking;
                vec![Action::Pick]
            }
            NextStep::Refuse | NextStep::Fail => self.give_up(Reason::UpstreamRefused, Cause::Attempts),
        }
    }

    fn relocate(&mut self) -> Vec<Action> {
        match self.current() {
            Some(attempt) => {
                self.attempts.on_run();
                self.splice.close();
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
                vec![Action::ClearTried, Action::Pick]
            }
            Phase::Sent(attempt) | Phase::Open(attempt)
                if now >= self.last_activity + self.silence_limit() =>
            {
                self.abandon(attempt)
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
        self.splice.close();
        self.phase = Phase::Ended;
        actions.push(Action::End(ending));
        actions
    }
}
