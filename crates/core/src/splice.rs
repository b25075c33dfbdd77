//! Putting one whole answer together from the pieces of several attempts.
//!
//! Failure guarded against: an answer arrives late, twice, crossed with another request's, or from an attempt
//! that was given up. A caller would see a gap, a repeat, or another caller's text. Each attempt has an id of
//! its own and each token its offset; a piece is delivered only if it is of the open attempt and carries
//! exactly the next offset, so whatever comes late or twice has nowhere to go.

use uuid::Uuid;

/// What to do with a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenAction {
    /// Deliver it: it is the next token.
    Deliver,
    /// Drop it: it is of another attempt.
    WrongAttempt,
    /// Drop it: the caller has this token already.
    Duplicate,
    /// Give the attempt up: a token is missing before this one.
    Gap,
}

/// The answer to one request, as far as it was delivered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerAssembler {
    next_offset: u32,
    open_attempt: Option<Uuid>,
    dropped: u64,
}

impl AnswerAssembler {
    /// An answer whose caller has the tokens before `offset`.
    pub fn new(offset: u32) -> AnswerAssembler {
        AnswerAssembler {
            next_offset: offset,
            open_attempt: None,
            dropped: 0,
        }
    }

    /// Opens an attempt, closing the one before; returns the offset to ask for.
    pub fn open_attempt(&mut self, attempt: Uuid) -> u32 {
        self.open_attempt = Some(attempt);
        self.next_offset
    }

    /// Closes the open attempt: whatever still comes of it is dropped.
    pub fn close_attempt(&mut self) {
        self.open_attempt = None;
    }

    /// Judges a token of `attempt` at `offset`.
    pub fn on_token(&mut self, attempt: Uuid, offset: u32) -> TokenAction {
        let action = match self.open_attempt == Some(attempt) {
            false => TokenAction::WrongAttempt,
            true if offset < self.next_offset => TokenAction::Duplicate,
            true if offset > self.next_offset => TokenAction::Gap,
            true => TokenAction::Deliver,
        };
        match action {
            TokenAction::Deliver => self.next_offset += 1,
            _ => self.dropped += 1,
        }
        action
    }

    /// Whether the last line of `attempt`, which says that the answer ends at `offset`, ends the answer.
    pub fn on_finish(&self, attempt: Uuid, offset: u32) -> bool {
        self.open_attempt == Some(attempt) && offset == self.next_offset
    }

    /// Offset of the next token to deliver.
    pub fn next_offset(&self) -> u32 {
        self.next_offset
    }

    /// Pieces dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
