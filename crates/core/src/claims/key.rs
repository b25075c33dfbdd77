//! Idempotency keys and the identifiers derived from them.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use uuid::Uuid;

use crate::name::Name;
use crate::time::WallTime;

/// Number of shards of the claims. Low, so that claims share writes; high enough to spread them over the instances.
pub const SHARDS: u16 = 16;

/// Time span that one bucket covers, in milliseconds of the timestamps of the keys.
const SLOT_MS: u64 = 10_000;

/// A key that a caller assigns to a non-idempotent request: a UUIDv7, which embeds its creation time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey(Uuid);

/// Why an idempotency key is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key is not a UUIDv7.
    #[error("the idempotency key must be a UUIDv7")]
    Malformed,
    /// The timestamp of the key is older than [`RETENTION`](crate::claims::RETENTION).
    #[error("the idempotency key is older than the retention window")]
    Old,
    /// The timestamp of the key is too far ahead of this instance's clock.
    #[error("the idempotency key's time lies too far in the future")]
    Future,
    /// This instance's wall clock stepped, so the age of a key is unknown.
    #[error("this instance's clock stepped, so the age of the idempotency key is unknown")]
    ClockStepped,
}

impl IdempotencyKey {
    /// When the key was created, by the caller's clock.
    pub fn time(&self) -> WallTime {
        WallTime((self.0.as_u128() >> 80) as u64)
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<IdempotencyKey, KeyError> {
        let uuid = Uuid::try_parse(text).map_err(|_| KeyError::Malformed)?;
        match uuid.get_version_num() {
            7 => Ok(IdempotencyKey(uuid)),
            _ => Err(KeyError::Malformed),
        }
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies a claim: hash of product, service and idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId([u8; 16]);

/// Identifies the key-value entry that holds a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BucketId {
    /// Shard number, less than [`SHARDS`].
    pub shard: u16,
    /// Time slot, from the timestamps of the keys.
    pub slot: u64,
}

/// Location of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimRef {
    /// The bucket that holds the claim.
    pub bucket: BucketId,
    /// The claim within the bucket.
    pub id: ClaimId,
}

/// Identifies one request at one entry instance. Tokens are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimToken(pub Uuid);

/// Hash of a request's method, path and body; detects a key that is reused for a different request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl ClaimRef {
    /// Locates the claim on `key` of `product` at `service`.
    pub fn new(product: &Name, service: &Name, key: &IdempotencyKey) -> ClaimRef {
        let id = hash(&[
            product.as_str().as_bytes(),
            service.as_str().as_bytes(),
            key.0.as_bytes(),
        ]);
        let [first, second, ..] = id;
        ClaimRef {
            bucket: BucketId {
                shard: u16::from_be_bytes([first, second]) % SHARDS,
                slot: key.time().0 / SLOT_MS,
            },
            id: ClaimId(id),
        }
    }
}

impl BucketId {
    /// The key of the bucket's entry in the key-value service.
    pub fn path(&self) -> String {
        format!("claims/{}/{}", self.shard, self.slot)
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Fingerprint {
        Fingerprint(hash(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// Hashes `parts`, each prefixed by its length, so that different lists of parts never hash the same bytes.
fn hash(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut short = [0; 16];
    hasher.finalize_xof().fill(&mut short);
    short
}
