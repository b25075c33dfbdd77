//! Assembles one complete answer from the tokens of several attempts.
//!
//! Failure guarded against: tokens arrive late, twice, mixed up with another request's, or from an attempt that was
//! abandoned. The caller would see a gap, a repetition, or another caller's text. Each attempt therefore has its own id
//! and each token its offset; a token is delivered only if it belongs to the open attempt and has exactly the next
//! offset, so late and duplicate tokens are dropped.

use uuid::Uuid;

/// What to do with a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenAction {
    /// Deliver it: it is the next token.
    Deliver,
    /// Drop it: it belongs to another attempt.
    WrongAttempt,
    /// Drop it: the caller already has this token.
    Duplicate,
    /// Abandon the attempt: a token before this one is missing.
    Gap,
}

/// State of the answer to one request, as far as it was delivered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerAssembler {
    next_offset: u32,
    open_attempt: Option<Uuid>,
    dropped: u64,
}

impl AnswerAssembler {
    /// Creates the state of an answer whose caller already has the tokens before `offset`.
    pub fn new(offset: u32) -> AnswerAssembler {
        AnswerAssembler {
            next_offset: offset,
            open_attempt: None,
            dropped: 0,
        }
    }

    /// Opens an attempt and closes the previous one; returns the offset from which to request tokens.
    pub fn open_attempt(&mut self, attempt: Uuid) -> u32 {
        self.open_attempt = Some(attempt);
        self.next_offset
    }

    /// Closes the open attempt: tokens that still arrive from it are dropped.
    pub fn close_attempt(&mut self) {
        self.open_attempt = None;
    }

    /// Decides what to do with the token of `attempt` at `offset`.
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

    /// Whether the last line of `attempt`, which gives `offset` as the end of the answer, completes the answer.
    pub fn on_finish(&self, attempt: Uuid, offset: u32) -> bool {
        self.open_attempt == Some(attempt) && offset == self.next_offset
    }

    /// Offset of the next token to deliver.
    pub fn next_offset(&self) -> u32 {
        self.next_offset
    }

    /// Number of tokens that were not delivered so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
