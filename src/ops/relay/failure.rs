//! Why an attempt brought no answer, and what that proves.

use std::fmt::Display;

use sequoiastream_core::attempt::End;
use sequoiastream_core::attempt::evidence::AnswerEvidence;
use sequoiastream_core::attempt::evidence::NotRun;
use sequoiastream_upstream::channel::ChannelError;

/// Status by which an engine says that a request is for another one.
const MISDIRECTED: u16 = 421;

/// Why an attempt brought no answer. One that proves that the request did not run can only be made by [`Self::unsent`] and,
/// from the proof, by [`Self::declined`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptFailure {
    end: End,
    reason: String,
    evidence: Option<AnswerEvidence>,
    /// Whether the engine may have run the request in place of its prefill.
    prefill_run: bool,
}

impl AttemptFailure {
    fn new<W>(end: End, reason: W) -> AttemptFailure
    where
        W: Display,
    {
        AttemptFailure {
            end,
            reason: reason.to_string(),
            evidence: None,
            prefill_run: false,
        }
    }

    /// Nothing was sent.
    pub fn unsent<W>(reason: W) -> AttemptFailure
    where
        W: Display,
    {
        AttemptFailure::new(End::Unsent, reason)
    }

    /// The engine declined the request with this status.
    pub fn declined(_proof: NotRun, status: u16) -> AttemptFailure {
        match status {
            MISDIRECTED => AttemptFailure::new(End::Misdirected, "the address belongs to another engine"),
            _ => AttemptFailure::new(End::Declined, format!("declined with status {status}")),
        }
    }

    /// The answer is invalid.
    pub fn broken<W>(reason: W) -> AttemptFailure
    where
        W: Display,
    {
        AttemptFailure::new(End::Broken, reason)
    }

    /// The engine failed.
    pub fn failed<W>(reason: W) -> AttemptFailure
    where
        W: Display,
    {
        AttemptFailure::new(End::Failed, reason)
    }

    /// No answer arrived in time.
    pub fn silent<W>(reason: W) -> AttemptFailure
    where
        W: Display,
    {
        AttemptFailure::new(End::Silent, reason)
    }

    /// An engine answered a call for a prefill as if it had run the request.
    pub fn prefill_run<W>(reason: W) -> AttemptFailure
    where
        W: Display,
    {
        AttemptFailure {
            prefill_run: true,
            ..AttemptFailure::failed(reason)
        }
    }

    /// This failure, of which the answer showed this.
    pub fn with_evidence(self, evidence: AnswerEvidence) -> AttemptFailure {
        AttemptFailure {
            evidence: Some(evidence),
            ..self
        }
    }

    /// How the attempt ended.
    pub fn end(&self) -> End {
        self.end
    }

    /// Reason for the log.
    pub fn reason(&self) -> &str {
        &self.reason
    }

    /// What the answer showed, if one arrived.
    pub fn evidence(&self) -> Option<&AnswerEvidence> {
        self.evidence.as_ref()
    }

    /// Whether the engine may have run the request in place of its prefill.
    pub fn is_prefill_run(&self) -> bool {
        self.prefill_run
    }
}

impl From<ChannelError> for AttemptFailure {
    fn from(error: ChannelError) -> AttemptFailure {
        match &error {
            ChannelError::Unsent(_) | ChannelError::Refused(_) => AttemptFailure::unsent(error),
            ChannelError::Broken(_) | ChannelError::TooLong(_) => AttemptFailure::broken(error),
            ChannelError::Timeout => AttemptFailure::silent(error),
        }
    }
}
