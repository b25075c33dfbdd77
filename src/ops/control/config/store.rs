//! The configuration's keys in the key-value service.

use std::time::Duration;

use sequoiastream_core::config::Head;
use sequoiastream_core::config::Revision;
use sequoiastream_core::config::State;
use sequoiastream_core::config::StoredHead;
use sequoiastream_core::config::SwapResult;
use sequoiastream_core::config::Version;
use sequoiastream_kv::Entry;
use sequoiastream_kv::Expect;
use sequoiastream_kv::KvClient;
use sequoiastream_kv::KvError;
use sequoiastream_kv::KvVersion;
use sequoiastream_kv::Swap;

/// Key of the head.
const HEAD_KEY: &str = "config/head";

/// Maximum size of a written value, in bytes. The key-value service accepts values of up to one megabyte.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// TTL of the lease by which a snapshot is removed. It removes the snapshot if releasing the lease fails.
const REMOVAL_TTL: Duration = Duration::from_secs(1);

/// Reads and writes the configuration's keys. Cheap to clone; stays on one thread.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    kv: KvClient,
}

impl ConfigStore {
    /// Creates a store that calls the key-value service through `kv`.
    pub fn new(kv: KvClient) -> ConfigStore {
        ConfigStore { kv }
    }

    /// Reads the head.
    ///
    /// # Errors
    ///
    /// [`KvError`] if no usable answer came in time.
    pub async fn read_head(&self) -> Result<StoredHead, KvError> {
        stored_head(&self.kv.get(HEAD_KEY).await?)
    }

    /// Waits for a head with another revision than `after`, for at most `wait`. Returns `None` if there was none.
    ///
    /// # Errors
    ///
    /// [`KvError`] if no usable answer came in time.
    pub async fn watch_head(&self, after: Revision, wait: Duration) -> Result<Option<StoredHead>, KvError> {
        let entry = self.kv.watch(HEAD_KEY, KvVersion(after.0), wait).await?;
        entry.as_ref().map(stored_head).transpose()
    }

    /// Replaces the head if its key still has the revision `expect`.
    pub async fn swap_head(&self, expect: Revision, head: &Head) -> SwapResult {
        let Ok(value) = serde_json::to_vec(head) else {
            return SwapResult::Failed;
        };
        if value.len() > MAX_VALUE_BYTES {
            return SwapResult::TooLarge(value.len());
        }
        let expect = Expect::from(KvVersion(expect.0));
        match self.kv.swap(HEAD_KEY, expect, &value, None).await {
            Ok(Swap::Done(version)) => SwapResult::Done(Revision(version.0)),
            Ok(Swap::Conflict(entry)) => stored_head(&entry).map_or(SwapResult::Failed, SwapResult::Conflict),
            Err(error) if error.is_ambiguous() => SwapResult::Unknown,
            Err(_) => SwapResult::Failed,
        }
    }

    /// Reads the snapshot of `version`; `None` if there is none or no usable answer came in time.
    pub async fn read_snapshot(&self, version: Version) -> Option<State> {
        let entry = self.kv.get(&snapshot_key(version)).await.ok()?;
        serde_json::from_slice(&entry.value?).ok()
    }

    /// Stores the snapshot of `state`, unless one of its version is stored already. Returns whether one is stored.
    ///
    /// An existing snapshot of the version is equivalent, because a state depends only on the accepted changes.
    pub async fn store_snapshot(&self, state: &State) -> bool {
        let Ok(value) = serde_json::to_vec(state) else {
            return false;
        };
        if value.len() > MAX_VALUE_BYTES {
            return false;
        }
        let key = snapshot_key(state.version);
        match self.kv.swap(&key, Expect::Absent, &value, None).await {
            Ok(Swap::Done(_)) => true,
            Ok(Swap::Conflict(entry)) => entry.value.is_some(),
            Err(_) => false,
        }
    }

    /// Removes the snapshot of `version` by binding its key to a lease and releasing the lease.
    ///
    /// # Errors
    ///
    /// [`KvError`] if a call failed. The snapshot may then remain, which takes up space but is otherwise harmless.
    pub async fn remove_snapshot(&self, version: Version) -> Result<(), KvError> {
        let key = snapshot_key(version);
        let entry = self.kv.get(&key).await?;
        if entry.value.is_none() {
            return Ok(());
        }
        let lease = self.kv.grant(REMOVAL_TTL).await?;
        let expect = Expect::from(entry.version);
        self.kv.swap(&key, expect, b"", Some(lease)).await?;
        self.kv.release(lease).await
    }
}

/// Key of the snapshot of a version.
fn snapshot_key(version: Version) -> String {
    format!("config/snapshot/{version}")
}

/// Decodes the head. An absent key stands for the default head.
fn stored_head(entry: &Entry) -> Result<StoredHead, KvError> {
    let head = match &entry.value {
        Some(value) => serde_json::from_slice(value).map_err(|e| KvError::Malformed(e.to_string()))?,
        None => Head::default(),
    };
    Ok(StoredHead {
        revision: Revision(entry.version.0),
        head,
    })
}
