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

/// Largest value written, in bytes; the service takes a megabyte.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Life of the lease by which a snapshot is removed, should releasing it fail.
const REMOVAL_TTL: Duration = Duration::from_secs(1);

/// Reads and writes the configuration's keys. Cheap to clone; stays on one thread.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    kv: KvClient,
}

impl ConfigStore {
    /// A store that calls the service by `kv`.
    pub fn new(kv: KvClient) -> ConfigStore {
        ConfigStore { kv }
    }

    /// The head.
    ///
    /// # Errors
    ///
    /// [`KvError`] if no usable answer came in time.
    pub async fn read_head(&self) -> Result<StoredHead, KvError> {
        stored_head(&self.kv.get(HEAD_KEY).await?)
    }

    /// Waits for another head than that of revision `after`, for at most `wait`.
    ///
    /// # Errors
    ///
    /// [`KvError`] if no usable answer came in time.
    pub async fn watch_head(&self, after: Revision, wait: Duration) -> Result<Option<StoredHead>, KvError> {
        let entry = self.kv.watch(HEAD_KEY, KvVersion(after.0), wait).await?;
        entry.as_ref().map(stored_head).transpose()
    }

    /// Swaps in `head` if the key still has the revision `expect`.
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

    /// The snapshot of `version`; `None` if there is none or no usable answer came in time.
    pub async fn read_snapshot(&self, version: Version) -> Option<State> {
        let entry = self.kv.get(&snapshot_key(version)).await.ok()?;
        serde_json::from_slice(&entry.value?).ok()
    }

    /// Makes sure that the snapshot of `state` is stored; whether it is.
    ///
    /// One that is there already is as good: a state is a function of the accepted changes alone.
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

    /// Removes the snapshot of `version`: binds it to a lease and releases that.
    ///
    /// # Errors
    ///
    /// [`KvError`] if a call failed; the snapshot may then stay, which costs room and harms nobody.
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

fn snapshot_key(version: Version) -> String {
    format!("config/snapshot/{version}")
}

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
