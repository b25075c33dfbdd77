//! What the end of an attempt proves, and what may follow: for calls and streams alike, whoever speaks with the caller.
//!
//! Failure guarded against: an order runs twice because an attempt that was sent on a connection which broke was
//! taken for one that never ran. Only three ends prove that nothing ran: not one byte was written, the engine
//! says that it did not execute the request, or the answer came from another engine than the one meant. All
//! others count as run.

use crate::config::Repeat;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// The whole answer is there, a success or the engine's own failure.
    Answered,
    /// Nothing was sent: no connection could be had, or it was closed before the first byte.
    Unsent,
    /// The engine vouches that it did not execute the request.
    Declined,
    /// Another engine has the address; it did not execute the request.
    Misdirected,
    /// The answer is not one: broken off, another request's, unsigned, or no HTTP.
    Broken,
    /// The engine failed while executing it.
    Failed,
    /// No answer in the time given.
    Silent,
}

impl End {
    /// Its name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            End::Answered => "answered",
            End::Unsent => "unsent",
            End::Declined => "declined",
            End::Misdirected => "misdirected",
            End::Broken => "broken",
            End::Failed => "failed",
            End::Silent => "silent",
        }
    }

    /// Whether it is proved that the request did not run and won't.
    pub fn proves_not_run(self) -> bool {
        matches!(self, End::Unsent | End::Declined | End::Misdirected)
    }

    /// Whether the engine is to be avoided for a while.
    pub fn is_fault(self) -> bool {
        !matches!(self, End::Answered | End::Declined)
    }
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NextStep {
    /// Try another upstream.
    Retry,
    /// Refuse: it did not run, and the caller may come back.
    Refuse,
    /// Fail: it may have run.
    Fail,
}

/// What bounds the attempts at one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptLimit {
    /// So many that reached an upstream, or may have.
    Sent(u32),
    /// So many in a row that may have run and brought the caller nothing. One that declined costs no engine time, and
    /// each engine is tried once.
    WithoutProgress(u32),
}

/// The attempts at one request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    repeat: Repeat,
    limit: AttemptLimit,
    sent: u32,
    without_progress: u32,
    ran: bool,
}

impl Attempts {
    /// None yet.
    pub fn new(repeat: Repeat, limit: AttemptLimit) -> Attempts {
        Attempts {
            repeat,
            limit,
            sent: 0,
            without_progress: 0,
            ran: false,
        }
    }

    /// Attempts that reached an upstream, or may have.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.ran
    }

    /// Whether another attempt is one more than the request itself.
    pub fn next_is_retry(&self) -> bool {
        self.sent > 0
    }

    /// Whether one more attempt could follow the one that is sent now, even if that one ran.
    pub fn allows_another(&self) -> bool {
        let max = match self.limit {
            AttemptLimit::Sent(max) | AttemptLimit::WithoutProgress(max) => max,
        };
        self.repeat != Repeat::Never && self.used() + 1 < max
    }

    /// Notes that an attempt runs at an upstream, before its end is known.
    pub fn on_run(&mut self) {
        self.ran = true;
    }

    /// Notes that an attempt brought the caller a part of its answer.
    pub fn on_progress(&mut self) {
        self.ran = true;
        self.without_progress = 0;
    }

    /// Takes the end of an attempt and says what may follow.
    pub fn on_end(&mut self, end: End) -> NextStep {
        if end != End::Unsent {
            self.sent += 1;
        }
        if !end.proves_not_run() {
            self.ran = true;
            self.without_progress += 1;
        }
        let may_repeat = !self.ran || self.repeat != Repeat::Never;
        match may_repeat && !self.is_exhausted() {
            true => NextStep::Retry,
            false => self.give_up(),
        }
    }

    /// What to tell the caller if nothing more is tried.
    pub fn give_up(&self) -> NextStep {
        match self.ran {
            true => NextStep::Fail,
            false => NextStep::Refuse,
        }
    }

    fn used(&self) -> u32 {
        match self.limit {
            AttemptLimit::Sent(_) => self.sent,
            AttemptLimit::WithoutProgress(_) => self.without_progress,
        }
    }

    fn is_exhausted(&self) -> bool {
        match self.limit {
            // A route that names none still allows the request itself.
            AttemptLimit::Sent(max) => self.sent >= max.max(1),
            AttemptLimit::WithoutProgress(max) => self.without_progress >= max,
        }
    }
}
