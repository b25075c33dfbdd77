//! At-most-once execution of non-idempotent requests, by means of claims.
//!
//! A non-idempotent request carries an idempotency key, a UUIDv7 ([`IdempotencyKey`]). Before an entry instance
//! sends the request to an upstream, a *claim* on the key must be stored in the platform's key-value service. Claims
//! are grouped into buckets ([`Bucket`]), one key-value entry each: the shard is chosen by hash, the time slot by
//! the timestamp of the idempotency key. [`Owner`] is the state machine of the instance that writes a shard's
//! buckets, [`EntryClaim`] that of the instance that received the call.
//!
//! Why no request runs twice, even if processes are killed, paused or partitioned:
//!
//! 1. An entry instance generates a [`ClaimToken`] for each request that it accepts, and sends at most once under
//!    it: sending consumes the [`Grant`].
//! 2. A key-value entry maps each idempotency key to one token. It is changed only by compare-and-swap on its
//!    version, and a stored token is never replaced by another ([`Bucket::preserves`]), unless its entry instance
//!    released it without having sent the request.
//! 3. A token is granted only after it was seen to be stored there.
//!
//! Safety therefore does not depend on which instance believes that it owns a shard: the version of the entry is the
//! fencing token, and a write by a stale owner has no effect. Ownership only lets concurrent claims share one
//! write.

mod bucket;
mod entry;
mod key;
mod owner;
mod owners;
mod route;
mod watch;
mod window;

pub use bucket::Bucket;
pub use bucket::Change;
pub use bucket::Edit;
pub use bucket::MAX_ANSWER;
pub use bucket::MAX_BUCKET;
pub use bucket::Record;
pub use bucket::State;
pub use bucket::StoredAnswer;
pub use entry::EntryClaim;
pub use entry::EntryEvent;
pub use entry::EntryStep;
pub use entry::Grant;
pub use entry::Refused;
pub use key::BucketId;
pub use key::ClaimId;
pub use key::ClaimRef;
pub use key::ClaimToken;
pub use key::Fingerprint;
pub use key::IdempotencyKey;
pub use key::KeyError;
pub use key::SHARDS;
pub use owner::ClaimRequest;
pub use owner::ClaimStatus;
pub use owner::Owner;
pub use owner::OwnerAction;
pub use owner::OwnerEvent;
pub use owner::OwnerSettings;
pub use owner::QueryId;
pub use owner::Revision;
pub use owner::Verdict;
pub use owners::Candidate;
pub use owners::Owners;
pub use route::repeat_of;
pub use watch::ClockWatch;
pub use window::BUCKET_TTL;
pub use window::Clocks;
pub use window::KeyAgeCheck;
pub use window::MAX_DEADLINE;
pub use window::MAX_FUTURE;
pub use window::MAX_SKEW;
pub use window::RETENTION;
