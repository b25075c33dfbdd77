//! Putting one whole answer together from the pieces of several attempts.
//!
//! Failure guarded against: an answer arrives late, twice, crossed with another request's, or from an attempt
//! that was given up. A caller would see a gap, a repeat, or another caller's text. Each attempt has an id of
//! its own and each token its offset; a piece is delivered only if it is of the open attempt and carries
//! exactly the next offset, so whatever comes late or twice has nowhere to go.

use uuid::Uuid;

/// What to do with a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Deliver it: it is the next token.
    Deliver,
    /// Drop it: it is of another attempt.
    Foreign,
    /// Drop it: the caller has this token already.
    Repeat,
    /// Give the attempt up: a token is missing before this one.
    Gap,
}

/// The answer to one request, as far as it was delivered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Splice {
    next: u32,
    open: Option<Uuid>,
    dropped: u64,
}

impl Splice {
    /// An answer whose caller has the tokens before `offset`.
    pub fn new(offset: u32) -> Splice {
        Splice {
            next: offset,
            open: None,
            dropped: 0,
        }
    }

    /// Opens an attempt, closing the one before; returns the offset to ask for.
    pub fn open(&mut self, attempt: Uuid) -> u32 {
        self.open = Some(attempt);
        self.next
    }

    /// Closes the open attempt: whatever still comes of it is dropped.
    pub fn close(&mut self) {
        self.open = None;
    }

    /// Judges a token of `attempt` at `offset`.
    pub fn on_token(&mut self, attempt: Uuid, offset: u32) -> Verdict {
        let verdict = match self.open == Some(attempt) {
            false => Verdict::Foreign,
            true if offset < self.next => Verdict::Repeat,
            true if offset > self.next => Verdict::Gap,
            true => Verdict::Deliver,
        };
        match verdict {
            Verdict::Deliver => self.next += 1,
            _ => self.dropped += 1,
        }
        verdict
    }

    /// Whether the last line of `attempt`, which says that the answer ends at `offset`, ends the answer.
    pub fn on_finish(&self, attempt: Uuid, offset: u32) -> bool {
        self.open == Some(attempt) && offset == self.next
    }

    /// Offset of the next token to deliver.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// Pieces dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
