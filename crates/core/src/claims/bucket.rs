//! The value of one key-value entry: claims by their ids.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::claims::ClaimId;
use crate::claims::ClaimToken;
use crate::claims::Fingerprint;
use crate::time::WallTime;

/// Maximum size of an answer that is stored for repeated requests, in bytes.
pub const MAX_ANSWER: usize = 1024;

/// Maximum size of a bucket that accepts further claims, in bytes; the key-value service accepts values of up to one
/// megabyte.
pub const MAX_BUCKET: usize = 800 * 1024;

/// Upper bound of the encoded size of a claim without its answer, in bytes.
const RECORD_SIZE: usize = 96;

/// A stored answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content: Option<String>,
    /// Response body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Whether the answer is small enough to be stored.
    pub fn is_small(&self) -> bool {
        self.size() <= MAX_ANSWER
    }

    fn size(&self) -> usize {
        self.body.len() + self.content.as_ref().map_or(0, String::len)
    }
}

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Granted; the entry instance has reported nothing since. After `until` the request no longer runs, and may or
    /// may not have run.
    Granted {
        /// Deadline of the request, by the clock of the instance that wrote the claim.
        until: WallTime,
    },
    /// The service answered.
    Finished {
        /// The answer, if small enough to be stored.
        answer: Option<StoredAnswer>,
    },
    /// The request was sent, and whether it ran is unknown.
    Unknown,
}

/// A stored claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Token of the request that holds the claim.
    #[serde(rename = "mark")]
    pub token: ClaimToken,
    /// Fingerprint of that request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// State of that request.
    pub state: State,
}

/// Change to the state of a granted claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The service answered; the answer is stored if it is given.
    Finish(Option<StoredAnswer>),
    /// The request was sent, and whether it ran is unknown.
    #[serde(rename = "Lose")]
    Unknown,
    /// The entry instance guarantees that the request was not sent, or the upstream that it did not start.
    Release,
}

/// A change to one claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// The claim to change.
    pub id: ClaimId,
    /// Token of the request that holds the claim; a claim held by another request is left unchanged.
    #[serde(rename = "mark")]
    pub token: ClaimToken,
    /// The change to apply.
    pub change: Change,
}

/// The claims of one shard and time slot.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Bucket {
    claims: BTreeMap<ClaimId, Record>,
}

impl Bucket {
    /// Returns the claim, if it is in this bucket.
    pub fn get(&self, id: &ClaimId) -> Option<&Record> {
        self.claims.get(id)
    }

    /// Iterates over the claims in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&ClaimId, &Record)> {
        self.claims.iter()
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the bucket holds no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Adds a claim; an existing one is never replaced.
    pub fn add(&mut self, id: ClaimId, record: Record) {
        self.claims.entry(id).or_insert(record);
    }

    /// Applies the edit if the claim is still held by the edit's token. A finished claim is not changed, and a claim
    /// whose request is known to have been sent can't be released.
    pub fn apply(&mut self, edit: &Edit) {
        let Some(record) = self.claims.get_mut(&edit.id) else {
            return;
        };
        if record.token != edit.token {
            return;
        }
        match (&record.state, &edit.change) {
            (State::Finished { .. }, _) => {}
            (_, Change::Finish(answer)) => {
                let answer = answer.clone();
                record.state = State::Finished { answer };
            }
            (_, Change::Unknown) => record.state = State::Unknown,
            (State::Unknown, Change::Release) => {}
            (State::Granted { .. }, Change::Release) => {
                self.claims.remove(&edit.id);
            }
        }
    }

    /// Upper bound of the encoded size, in bytes.
    pub fn size(&self) -> usize {
        self.claims.values().map(record_size).sum()
    }

    /// Whether this bucket holds every claim of `older` under the same token, except those that `edits` release.
    pub fn preserves(&self, older: &Bucket, edits: &[Edit]) -> bool {
        let released = |id: &ClaimId, mark: ClaimToken| {
            let mut of_claim = edits.iter().filter(|e| e.id == *id && e.token == mark);
            of_claim.any(|e| e.change == Change::Release)
        };
        older.iter().all(|(id, record)| {
            let kept = self.get(id).is_some_and(|r| r.token == record.token);
            kept || released(id, record.token)
        })
    }
}

fn record_size(record: &Record) -> usize {
    match &record.state {
        State::Finished { answer: Some(answer) } => RECORD_SIZE + answer.size(),
        _ => RECORD_SIZE,
    }
}
