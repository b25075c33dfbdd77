//! Interface of a key-value store, independent of its implementation.
//!
//! Keys are text, values are bytes. A single revision counter covers all changes. A write states the revisions that it
//! expects, so that reading back distinguishes a write whose response was lost from one that never took effect.
//!
//! A store may be restored from an older copy. What was written since is lost, leases too; the counter goes back, and the
//! store's epoch rises, which is part of each revision and of each lease.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use sequoiastream_core::relay::revision::Revision;
use thiserror::Error;

/// Time-out for a response, in addition to the wait time of a watch. Users specify 4 ms for their stores; a store that
/// exceeds this time-out is slow or unreachable.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: Revision,
    /// Revision at which it was created.
    pub created: Revision,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Item),
    /// The key was removed.
    Removed {
        /// The key.
        key: String,
        /// Revision of the removal.
        revision: Revision,
    },
}

/// An item or a change that the store sent and that could not be read. If its key could be, it is also among the others, with
/// an empty value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableItem {
    /// The key, if it could be read.
    pub key: Option<String>,
    /// Why it could not be read.
    pub reason: String,
}

/// A page of the items under a key prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The items.
    pub items: Vec<Item>,
    /// Those that could not be read.
    pub unreadable: Vec<UnreadableItem>,
    /// Whether further items follow the last one.
    pub more: bool,
    /// The store's revision.
    pub revision: Revision,
}

/// Changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Those that could not be read.
    pub unreadable: Vec<UnreadableItem>,
    /// Revision from which to continue.
    pub revision: Revision,
}

/// A lease: keys written under it are removed when it ends. A store that was restored may give out the same number again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseId {
    /// Epoch of the store that granted it.
    pub epoch: u64,
    /// Number by which the store knows it.
    pub number: u64,
}

/// A key to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The lease that the key is bound to.
    pub lease: Option<LeaseId>,
}

/// An atomic write.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Write {
    /// Keys and their expected revisions; [`Revision::ZERO`] means that the key must not exist. The store compares numbers
    /// only: after it was restored, the number of an earlier epoch may be that of another change.
    pub expect: Vec<(String, Revision)>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

impl Write {
    /// A write of one key that must have the revision `expected`.
    pub fn conditional(put: Put, expected: Revision) -> Write {
        Write {
            expect: vec![(put.key.clone(), expected)],
            puts: vec![put],
            removes: Vec::new(),
        }
    }
}

/// Reason why a store call failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store refused the call; nothing was changed.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// A key did not have the expected revision; nothing was changed.
    #[error("a key has another revision than expected")]
    Conflict,
    /// The lease does not exist.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The requested history is no longer available.
    #[error("the history is no longer kept")]
    Compacted,
    /// No response: a write may have taken effect or may still take effect.
    #[error("could not reach the store: {0}")]
    Unknown(String),
    /// The response could not be decoded.
    #[error("could not decode the store's response: {0}")]
    Unreadable(String),
}

impl StoreError {
    /// Value of the metrics label for this error.
    pub fn label(&self) -> &'static str {
        match self {
            StoreError::Refused(_) => "refused",
            StoreError::Conflict => "conflict",
            StoreError::LeaseEnded => "lease-ended",
            StoreError::Compacted => "compacted",
            StoreError::Unknown(_) => "unknown",
            StoreError::Unreadable(_) => "unreadable",
        }
    }
}

/// A key-value store, used from a single thread.
pub trait Store {
    /// Returns a page of items whose keys start with `prefix` and sort after the key `after`.
    fn range<'a>(&'a self, prefix: &'a str, after: &'a str) -> LocalBoxFuture<'a, Result<Page, StoreError>>;

    /// Waits up to `wait` for changes after revision `after` to keys that start with `prefix`. The store compares numbers only:
    /// if the answer is of another epoch than `after`, changes may be missing from it.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes, StoreError>>;

    /// Applies a write and returns its revision.
    fn write<'a>(&'a self, write: Write) -> LocalBoxFuture<'a, Result<Revision, StoreError>>;

    /// Grants a lease.
    fn grant<'a>(&'a self, ttl: Duration) -> LocalBoxFuture<'a, Result<LeaseId, StoreError>>;

    /// Renews a lease; its time starts when the call arrives at the store. Returns the lease that was renewed: of another epoch
    /// if the store has been restored, and then somebody else's.
    fn renew<'a>(&'a self, lease: LeaseId) -> LocalBoxFuture<'a, Result<LeaseId, StoreError>>;

    /// Ends a lease.
    fn revoke<'a>(&'a self, lease: LeaseId) -> LocalBoxFuture<'a, Result<(), StoreError>>;
}
