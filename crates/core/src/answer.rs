//! State machine for one answer, assembled from one or more attempts at engines.
//!
//! [`Answer`] decides what the driver does next: pick an engine, send an attempt, deliver a token, cancel, wait
//! or end. It guards against these failures:
//!
//! - A piece arrives late, twice, out of order, or from an abandoned attempt: [`AnswerAssembler`] drops it.
//! - An engine stalls without closing its connection (it was paused, or the network is partitioned): without a
//!   limit the caller would wait forever. Each wait has a time limit; when it expires, the attempt is closed and
//!   cancelled, and the answer is resumed on another engine.
//! - The engine on which an answer is resumed has another version of the model: the text would mix the output of
//!   two versions. A resumed attempt names the version that generated the text so far, and is abandoned if an
//!   engine with another version answers. If no engine has that version any more, an engine is given the text so
//!   far and continues it, which the engine confirms; if this instance doesn't have that text, the answer fails.

use std::time::Duration;

use uuid::Uuid;

use crate::attempt::AttemptLimit;
use crate::attempt::Attempts;
use crate::attempt::End;
use crate::attempt::NextStep;
use crate::config::Repeat;
use crate::invariant;
use crate::outcome::Reason;
use crate::splice::AnswerAssembler;
use crate::splice::TokenAction;
use crate::time::Time;

/// Delay before engines that failed are tried again for an answer that was partly delivered.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Consecutive delays of [`RETRY_DELAY`] before a partly delivered answer is given up: five seconds in total.
const MAX_WAITS: u32 = 25;

/// Time limits of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum time from sending an attempt to its first token.
    pub first_token: Duration,
    /// Maximum time between two tokens.
    pub between_tokens: Duration,
    /// Time by which the answer must be complete.
    pub deadline: Time,
    /// Maximum number of consecutive attempts that may have run and delivered no token.
    pub max_attempts: u32,
}

/// Which part of the answer a caller that resumes a request already has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Resume {
    /// Number of tokens that the caller has.
    pub offset: u32,
    /// Version of the model that generated them.
    pub version: Option<u32>,
}

/// How an attempt ended before its answer was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte was sent, or the engine confirms that it did not start the attempt.
    NotStarted,
    /// The engine has another version of the model than the one that generated the resumed text, and did not start.
    VersionMismatch,
    /// The connection broke, or the engine answered with an error: the attempt may have run.
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

/// An input of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An engine was picked; the attempt to send to it has this new ID.
    Picked(Uuid),
    /// No engine can accept the attempt at present.
    NoEngine,
    /// An engine could accept the attempt later, but not now.
    Busy,
    /// The engine accepted the attempt, with this version of the model.
    Opened(Uuid, u32),
    /// A token of the attempt arrived, with this offset.
    Token(Uuid, u32),
    /// The token was delivered to the caller.
    Delivered,
    /// The attempt's final line arrived: the answer ends at this offset.
    Finished(Uuid, u32),
    /// The attempt ended without a final line.
    AttemptFailed(Uuid, Failure),
    /// The request must continue on another engine, though its current engine is not at fault.
    Relocate,
    /// The caller went away.
    CallerGone,
    /// A timer expired, see [`Answer::due`].
    Tick,
}

/// An attempt to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Send {
    /// ID of the attempt.
    pub attempt: Uuid,
    /// Offset of the first token to generate.
    pub offset: u32,
    /// The version of the model that the engine must have; `None` if any version will do.
    pub version: Option<u32>,
    /// Whether the engine is given the text so far, to continue it.
    pub continued: bool,
}

/// An output of the state machine, carried out by the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Pick an engine that was not tried; report [`Event::Picked`], [`Event::NoEngine`] or [`Event::Busy`].
    Pick,
    /// Clear the list of engines that were tried.
    ClearTried,
    /// Send this attempt.
    Send(Send),
    /// Deliver the token at this offset to the caller; report [`Event::Delivered`].
    Deliver(u32),
    /// Close the attempt's stream and ask the engine to stop generating.
    Cancel(Uuid),
    /// End the answer.
    End(Ending),
}

/// How an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The caller has the complete answer.
    Whole,
    /// No engine started the request.
    NotRun(Reason),
    /// The request ran and can't be finished.
    Failed(Cause),
    /// The request may have run.
    Unknown(Cause),
    /// The caller went away.
    CallerGone,
}

/// Why an answer whose request may have run is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The deadline passed.
    Deadline,
    /// Too many consecutive attempts delivered no token.
    Attempts,
    /// No engine can accept the request at present.
    NoEngine,
    /// No engine has the version that generated the text so far.
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

/// The state of the answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    limits: Limits,
    start_offset: u32,
    splice: AnswerAssembler,
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
    /// Creates an answer whose caller already has the tokens that `resume` names. The driver starts with
    /// [`Action::Pick`].
    pub fn new(now: Time, limits: Limits, resume: Resume) -> Answer {
        Answer {
            limits,
            start_offset: resume.offset,
            splice: AnswerAssembler::new(resume.offset),
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

    /// Processes an event and returns the actions to carry out, in order.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        if self.phase == Phase::Ended {
            return Vec::new();
        }
        if event == Event::CallerGone {
            return self.end(Ending::CallerGone);
        }
        // An event that arrives exactly at the deadline is late: a caller that stopped waiting must not be told
        // `whole`.
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

    /// Returns when the next [`Event::Tick`] is due.
    pub fn due(&self) -> Time {
        let limit = match self.phase {
            Phase::Waiting(until) => until,
            Phase::Sent(_) | Phase::Open(_) => self.last_activity + self.silence_limit(),
            Phase::Picking | Phase::Ended => self.limits.deadline,
        };
        limit.min(self.limits.deadline)
    }

    /// Offset of the next token to deliver.
    pub fn next_offset(&self) -> u32 {
        self.splice.next_offset()
    }

    /// The version of the model that generated the whole text so far, which a caller names to resume the answer;
    /// `None` while it is unknown, or if the text was continued by another version.
    pub fn version(&self) -> Option<u32> {
        self.version.filter(|_| !self.continued)
    }

    /// Number of pieces dropped.
    pub fn dropped(&self) -> u64 {
        self.splice.dropped()
    }

    /// Number of attempts sent.
    pub fn attempts(&self) -> u32 {
        self.attempt_count
    }

    /// Whether the last attempt has been silent for as long as its time limit.
    pub fn is_silent(&self, now: Time) -> bool {
        now >= self.last_activity + self.silence_limit()
    }

    /// Whether an engine may have run part of the request.
    pub fn may_have_run(&self) -> bool {
        self.attempts.may_have_run()
    }

    /// How long the current attempt may be silent before it is abandoned.
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
        let offset = self.splice.open_attempt(attempt);
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

    /// No engine has the version any more that generated the text so far.
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
            // The engine accepted the attempt without checking the version: its tokens don't fit the text so far.
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
            TokenAction::WrongAttempt | TokenAction::Duplicate => Vec::new(),
            TokenAction::Gap => self.abandon(attempt),
            TokenAction::Deliver => {
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
        // The final line of another attempt is ignored. The final line of the current attempt at another offset
        // means that the answer is incomplete, and the attempt will deliver nothing more.
        match self.current() == Some(attempt) {
            true => self.abandon(attempt),
            false => Vec::new(),
        }
    }

    fn on_attempt_failed(&mut self, attempt: Uuid, failure: Failure) -> Vec<Action> {
        if self.current() != Some(attempt) {
            return Vec::new();
        }
        self.splice.close_attempt();
        self.version_mismatch |= failure == Failure::VersionMismatch;
        self.proceed_after(failure.end())
    }

    /// Closes and cancels the attempt, and continues on another engine.
    fn abandon(&mut self, attempt: Uuid) -> Vec<Action> {
        self.splice.close_attempt();
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
        self.splice.close_attempt();
        self.phase = Phase::Ended;
        actions.push(Action::End(ending));
        actions
    }
}
