//! The key-value edge: what the product asks of a store, whoever provides it.
//!
//! Keys are text, values bytes. One revision counts all changes. A write names the revisions that it expects, so
//! that one whose answer was lost can be told from one that never happened by reading back.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use thiserror::Error;

/// Time for an answer besides what a watch waits. The users' sheets say 4 ms; a store that takes longer than this is
/// slow or away.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: u64,
    /// Revision at which it was created.
    pub created: u64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It has this value now.
    Put(Item),
    /// It is gone.
    Removed {
        /// The key.
        key: String,
        /// Since when.
        revision: u64,
    },
}

/// A part of the keys that begin alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The items.
    pub items: Vec<Item>,
    /// Whether more follow the last of them.
    pub more: bool,
    /// The store's revision.
    pub revision: u64,
}

/// What happened after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// From where to go on.
    pub revision: u64,
}

/// A lease: keys written under it vanish when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseId(pub u64);

/// A key to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The lease it vanishes with.
    pub lease: Option<LeaseId>,
}

/// A write: all of it or nothing.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Write {
    /// Keys and the revisions that they must have; 0 means that there is no such key.
    pub expect: Vec<(String, u64)>,
    /// What to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Why a call to the store brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The key had another revision than expected; nothing was done.
    #[error("a key has another revision than expected")]
    Conflict,
    /// There is no such lease.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The history that was asked for is no longer kept.
    #[error("the history is no longer kept")]
    Compacted,
    /// No answer: a write may have happened, or may yet.
    #[error("could not reach the store: {0}")]
    Unknown(String),
    /// The answer can't be read.
    #[error("could not read the store's answer: {0}")]
    Unreadable(String),
}

impl StoreError {
    /// Its name in metrics.
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

/// A store, as seen from one thread.
pub trait Store {
    /// Items whose key begins with `prefix`, behind the key `after`.
    fn range<'a>(&'a self, prefix: &'a str, after: &'a str) -> LocalBoxFuture<'a, Result<Page, StoreError>>;

    /// Waits for changes of keys that begin with `prefix` after a revision, for `wait` at most.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Changes, StoreError>>;

    /// Writes; returns the revision.
    fn write<'a>(&'a self, write: Write) -> LocalBoxFuture<'a, Result<u64, StoreError>>;

    /// Grants a lease.
    fn grant<'a>(&'a self, ttl: Duration) -> LocalBoxFuture<'a, Result<LeaseId, StoreError>>;

    /// Renews a lease; it runs from the arrival of the call.
    fn renew<'a>(&'a self, lease: LeaseId) -> LocalBoxFuture<'a, Result<(), StoreError>>;

    /// Ends a lease.
    fn revoke<'a>(&'a self, lease: LeaseId) -> LocalBoxFuture<'a, Result<(), StoreError>>;
}
