//! What the end of an attempt proves, and what may follow.
//!
//! Failure guarded against: an order runs twice because an attempt that was sent on a connection which broke was
//! taken for one that never ran. Only three ends prove that nothing ran: not one byte was written, the engine
//! says that it did not execute the request, or the answer came from another engine than the one meant. All
//! others count as run.

use crate::relay::routes::Kind;

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
pub enum Next {
    /// Try another engine.
    Again,
    /// Refuse: it did not run, and the caller may come back.
    Refuse,
    /// Fail: it may have run.
    Fail,
}

/// The attempts at one request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    kind: Kind,
    most: u32,
    sent: u32,
    ran: bool,
}

impl Attempts {
    /// None yet, of at most `most`.
    pub fn new(kind: Kind, most: u32) -> Attempts {
        Attempts {
            kind,
            most: most.max(1),
            sent: 0,
            ran: false,
        }
    }

    /// Attempts that reached an engine, or may have.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.ran
    }

    /// Whether another attempt draws on the budget of extra attempts.
    pub fn is_extra(&self) -> bool {
        self.sent > 0
    }

    /// Takes the end of an attempt and says what may follow.
    pub fn on_end(&mut self, end: End) -> Next {
        if end != End::Unsent {
            self.sent += 1;
        }
        self.ran |= !end.proves_not_run();
        let may_repeat = !self.ran || self.kind.is_repeatable();
        match may_repeat && self.sent < self.most {
            true => Next::Again,
            false => self.give_up(),
        }
    }

    /// What to tell the caller if nothing more is tried.
    pub fn give_up(&self) -> Next {
        match self.ran {
            true => Next::Fail,
            false => Next::Refuse,
        }
    }
}
