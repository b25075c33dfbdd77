//! What an answer proves about whether its request ran.
//!
//! Failure guarded against: a caller is promised that its request did not run because of a status, or of a confirmation that
//! belongs to something else than this request. It sends the request again, and it runs twice.

use thiserror::Error;

/// Statuses with which an engine may decline a request. It answers with all others after it has begun the request.
pub const DECLINING: [u16; 4] = [400, 421, 429, 503];

/// The request id in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerId {
    /// That of the request.
    Same,
    /// None.
    Missing,
    /// That of another request.
    Other,
}

/// What a connection carried before the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PriorUse {
    /// Nothing: no answer to an earlier request can arrive on it.
    None,
    /// Requests with other ids.
    OtherIds,
    /// A request with the same id: it may be what an answer with this id belongs to.
    SameId,
}

/// What an answer shows, as far as it matters for whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerEvidence {
    /// HTTP status.
    pub status: u16,
    /// Whether the answer contains the engine's confirmation that it did not execute the request.
    pub is_confirmed: bool,
    /// The request id in it.
    pub id: AnswerId,
    /// What the connection carried before.
    pub prior: PriorUse,
}

impl AnswerId {
    /// Compares all ids in an answer to that of the request.
    pub fn of<I, F>(ids: I, is_same: F) -> AnswerId
    where
        I: IntoIterator,
        F: Fn(I::Item) -> bool,
    {
        let mut found = AnswerId::Missing;
        for id in ids {
            if !is_same(id) {
                return AnswerId::Other;
            }
            found = AnswerId::Same;
        }
        found
    }

    /// The value in the log.
    pub fn label(self) -> &'static str {
        match self {
            AnswerId::Same => "same",
            AnswerId::Missing => "missing",
            AnswerId::Other => "other",
        }
    }
}

impl PriorUse {
    /// The value in the log.
    pub fn label(self) -> &'static str {
        match self {
            PriorUse::None => "none",
            PriorUse::OtherIds => "other-ids",
            PriorUse::SameId => "same-id",
        }
    }
}

/// Proof by an answer that its request did not run and will not run. Only [`AnswerEvidence::prove_not_run`] makes one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun(());

/// Why an answer doesn't prove that its request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unproven {
    /// It belongs to another request.
    #[error("the answer belongs to another request")]
    OtherRequest,
    /// It lacks the confirmation.
    #[error("the answer does not confirm that the request did not run")]
    Unconfirmed,
    /// It contains the confirmation with a status that an engine answers only to requests that it has begun.
    #[error("the answer confirms that the request did not run, with a status that says otherwise")]
    Contradictory,
    /// It may be an extra answer to an earlier request on the same connection.
    #[error("the answer may be an extra one to an earlier request")]
    MayBeExtra,
}

impl AnswerEvidence {
    /// The proof that the request did not run and will not run, if upstreams decline with the statuses in `declining`.
    ///
    /// # Errors
    ///
    /// [`Unproven`] if the answer doesn't prove this.
    pub fn prove_not_run(&self, declining: &[u16]) -> Result<NotRun, Unproven> {
        match (self.id, self.prior) {
            (AnswerId::Other, _) => Err(Unproven::OtherRequest),
            _ if !self.is_confirmed => Err(Unproven::Unconfirmed),
            (AnswerId::Missing, PriorUse::OtherIds) | (_, PriorUse::SameId) => Err(Unproven::MayBeExtra),
            _ if !declining.contains(&self.status) => Err(Unproven::Contradictory),
            (_, PriorUse::None) | (AnswerId::Same, PriorUse::OtherIds) => Ok(NotRun(())),
        }
    }
}
