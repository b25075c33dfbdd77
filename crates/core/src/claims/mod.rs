//! At most once: claims on non-idempotent requests.
//!
//! A request that may not be repeated carries an idempotency key, a UUIDv7 ([`IdempotencyKey`]). Before an
//! entry instance sends it on, a *claim* on the key must stand in the platform's key-value service. Claims
//! are kept in buckets ([`Bucket`]), one key-value entry each: a shard by hash, and a slot of time by the
//! idempotency key's own time. [`Owner`] is the machine of the instance that writes a shard's buckets,
//! [`EntryClaim`] that of the instance at which the caller asked.
//!
//! Why no request runs twice, whoever is killed, paused or cut off:
//!
//! 1. An entry draws a [`Mark`] for each request that it takes, and sends at most once under it: the send
//!    consumes the [`Grant`].
//! 2. A key-value entry maps each idempotency key to one mark. It is changed only by compare-and-swap on its
//!    version, and a mark that stands there is never replaced by another ([`Bucket::covers`]), unless its
//!    entry gave it back without having sent.
//! 3. A mark is granted only after it was seen to stand there.
//!
//! So no safety rests on who believes to own a shard: the version of the entry is the fencing number, and a
//! stale owner's write has no effect. Ownership only lets claims of the same time share one write.

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
