//! The value of one key-value entry: claims by their id.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::claims::ClaimId;
use crate::claims::ClaimToken;
use crate::claims::Fingerprint;
use crate::time::WallTime;

/// Largest answer that is kept for repeats, in bytes.
pub const MAX_ANSWER: usize = 1024;

/// Largest bucket that takes further claims, in bytes; the key-value service takes a megabyte.
pub const MAX_BUCKET: usize = 800 * 1024;

/// Upper bound of a claim's size without its answer, in bytes.
const RECORD_SIZE: usize = 96;

/// An answer that is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Whether the answer is small enough to be kept.
    pub fn is_small(&self) -> bool {
        self.size() <= MAX_ANSWER
    }

    fn size(&self) -> usize {
        self.body.len() + self.content.as_ref().map_or(0, String::len)
    }
}

/// What is known of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Granted; its entry said nothing since. After `until` it no longer runs, and may or may not have run.
    Granted {
        /// End of its deadline, by the clock of the instance that wrote it.
        until: WallTime,
    },
    /// The service answered.
    Finished {
        /// Its answer, if small enough.
        answer: Option<StoredAnswer>,
    },
    /// It was sent and nobody knows whether it ran.
    Unknown,
}

/// A claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request that holds it.
    #[serde(rename = "mark")]
    pub token: ClaimToken,
    /// What it asked for.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// What is known of it.
    pub state: State,
}

/// What becomes of a claim after its grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The service answered; the answer is kept if it is given.
    Finish(Option<StoredAnswer>),
    /// It was sent and nobody knows whether it ran.
    #[serde(rename = "Lose")]
    Unknown,
    /// Its entry vouches that it was not sent, or the upstream that it did not start.
    Release,
}

/// A change of one claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// The claim.
    pub id: ClaimId,
    /// The request that holds it; a claim held by another is left as it is.
    #[serde(rename = "mark")]
    pub token: ClaimToken,
    /// The change.
    pub change: Change,
}

/// Claims of one shard and slot.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Bucket {
    claims: BTreeMap<ClaimId, Record>,
}

impl Bucket {
    /// The claim, if it stands here.
    pub fn get(&self, id: &ClaimId) -> Option<&Record> {
        self.claims.get(id)
    }

    /// Claims in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&ClaimId, &Record)> {
        self.claims.iter()
    }

    /// How many claims stand here.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim stands here.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Adds a claim; one that stands is never replaced.
    pub fn add(&mut self, id: ClaimId, record: Record) {
        self.claims.entry(id).or_insert(record);
    }

    /// Makes the edit if the claim is still held by the edit's mark. A finished claim stays as it is, and one
    /// of which a send is known can't be released.
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

    /// Whether every claim of `older` stands here under the same mark, but for those that `edits` release.
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
