//! What an answer shows about whether its request ran.

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
