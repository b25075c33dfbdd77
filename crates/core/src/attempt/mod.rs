//! What the end of an attempt proves, and what may follow it. Shared by calls and streams on all paths to callers.
//!
//! Failure guarded against: an order is executed twice because an attempt that was sent on a connection which then
//! broke was counted as one that never ran. Only three endings prove that nothing ran: not one byte was written, the
//! engine confirms that it did not execute the request, or the response came from another engine than the intended
//! one. After any other ending the request counts as run.

pub mod evidence;

use crate::config::Repeat;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// The complete response arrived, be it a success or an error of the engine itself.
    Answered,
    /// Nothing was sent: no connection could be established, or it was closed before the first byte.
    Unsent,
    /// The engine confirms that it did not execute the request.
    Declined,
    /// The address now belongs to another engine, which did not execute the request.
    Misdirected,
    /// The response is invalid: truncated, for another request, unsigned, or not HTTP.
    Broken,
    /// The engine failed while executing the request.
    Failed,
    /// No response arrived within the time limit.
    Silent,
}

impl End {
    /// The value of the label in metrics.
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

    /// Whether this ending proves that the request did not run and will not run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, End::Unsent | End::Declined | End::Misdirected)
    }

    /// Whether this ending counts against the engine, which is then avoided for a while.
    pub fn is_fault(self) -> bool {
        !matches!(self, End::Answered | End::Declined)
    }
}

/// What to do after an attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NextStep {
    /// Try another upstream.
    Retry,
    /// Refuse the request: it did not run, and the caller may send it again.
    Refuse,
    /// Fail the request: it may have run.
    Fail,
}

/// The limit on the number of attempts at one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptLimit {
    /// Maximum number of attempts that reached an upstream, or may have.
    Sent(u32),
    /// Maximum number of consecutive attempts that may have run and delivered nothing to the caller. Declined attempts
    /// don't count: they cost no engine time, and each engine is tried once.
    WithoutProgress(u32),
}

/// The attempts at one request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    repeat: Repeat,
    limit: AttemptLimit,
    sent: u32,
    without_progress: u32,
    /// Number of attempts that were sent, and whose endings are not known.
    pending: u32,
    ran: bool,
}

impl Attempts {
    /// Creates the record of a request that has had no attempt yet.
    pub fn new(repeat: Repeat, limit: AttemptLimit) -> Attempts {
        Attempts {
            repeat,
            limit,
            sent: 0,
            without_progress: 0,
            pending: 0,
            ran: false,
        }
    }

    /// Number of attempts that reached an upstream, or may have.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether the request may have run, or may be running.
    pub fn may_have_run(&self) -> bool {
        self.ran || self.pending > 0
    }

    /// Whether another attempt could follow the one that is being sent, even if that one runs.
    pub fn allows_another(&self) -> bool {
        self.allows_after(1)
    }

    /// Whether another attempt could follow two that are being sent, even if both run.
    pub fn allows_another_after_two(&self) -> bool {
        self.allows_after(2)
    }

    fn allows_after(&self, running: u32) -> bool {
        let max = match self.limit {
            AttemptLimit::Sent(max) | AttemptLimit::WithoutProgress(max) => max,
        };
        self.repeat != Repeat::Never && self.used() + running < max
    }

    /// Records that an attempt is about to be sent. Until its ending is recorded, it may have run.
    ///
    /// Guards against a promise that the request did not run on a path that leaves an attempt without recording its ending.
    pub fn on_send(&mut self) {
        self.pending += 1;
    }

    /// Records an attempt that ended before it was sent, and returns what may follow.
    pub fn on_unsent(&mut self) -> NextStep {
        self.next_step()
    }

    /// Records that an attempt is running on an upstream, before its ending is known.
    pub fn on_run(&mut self) {
        self.ran = true;
    }

    /// Records that an attempt delivered a part of the answer to the caller.
    pub fn on_progress(&mut self) {
        self.ran = true;
        self.without_progress = 0;
    }

    /// Records the ending of an attempt and returns what may follow.
    pub fn on_end(&mut self, end: End) -> NextStep {
        self.pending = self.pending.saturating_sub(1);
        if end != End::Unsent {
            self.sent += 1;
        }
        if !end.proves_not_run() {
            self.ran = true;
            self.without_progress += 1;
        }
        self.next_step()
    }

    /// What to do after the attempts recorded so far.
    pub fn next_step(&self) -> NextStep {
        let may_repeat = !self.may_have_run() || self.repeat != Repeat::Never;
        match may_repeat && !self.is_exhausted() {
            true => NextStep::Retry,
            false => self.give_up(),
        }
    }

    /// What to do with the request if there is no further attempt.
    pub fn give_up(&self) -> NextStep {
        match self.may_have_run() {
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
            // A route with a limit of 0 still allows the request itself.
            AttemptLimit::Sent(max) => self.sent >= max.max(1),
            AttemptLimit::WithoutProgress(max) => self.without_progress >= max,
        }
    }
}
