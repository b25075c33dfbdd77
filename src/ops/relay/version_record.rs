//! Keeps the record of the versions of the engines in the store up to date, as
//! [`VersionHistory`](sequoiastream_core::relay::version_history::VersionHistory) decides.
//!
//! The first-ranked instance writes at once, the next ones only if the record is still wrong after a delay: the store may
//! turn the first one away.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::version_history::VersionRecord;
use sequoiastream_kv::store::Item;
use sequoiastream_kv::store::Put;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;
use sequoiastream_kv::store::Write;

use crate::log_event;
use crate::ops::relay::peers::Fleet;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Time between two checks of whether a version is to be removed from the record.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a write that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Delay of each instance after the one that ranks before it. A change reaches all instances within less.
const RANK_DELAY: Duration = Duration::from_millis(700);

/// Number of instances that write the record if those before them do not.
const MAX_WRITERS: usize = 8;

/// Parses the record; `None` if the item has another key.
pub fn record(key: &str, item: &Item) -> Option<VersionRecord> {
    if item.key != key {
        return None;
    }
    match serde_json::from_slice(&item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            log_event!(warn, log_event::ENTRY_UNREADABLE, key = %item.key, revision = %item.revision, %error);
            None
        }
    }
}

/// Keeps the record until the process ends.
pub async fn run(shared: Arc<Shared>, store: Rc<dyn Store>, fleet: Fleet) {
    let recorder = Recorder { shared, store, fleet };
    loop {
        tokio::select! {
            () = recorder.shared.versions_changed.notified() => {}
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        if let Err(error) = recorder.step().await {
            log_event!(debug, log_event::KV_FAILED, %error, call = "versions");
            tokio::time::sleep(RETRY_DELAY).await;
            recorder.shared.versions_changed.notify_one();
        }
    }
}

struct Recorder {
    shared: Arc<Shared>,
    store: Rc<dyn Store>,
    fleet: Fleet,
}

impl Recorder {
    async fn step(&self) -> Result<(), StoreError> {
        let rank = self.fleet.watch_rank().rank;
        if rank >= MAX_WRITERS || self.next().is_none() {
            return Ok(());
        }
        let steps = u32::try_from(rank).unwrap_or(u32::MAX);
        tokio::time::sleep(RANK_DELAY.saturating_mul(steps)).await;
        match self.next() {
            Some((expected, record)) => self.write(expected, &record).await,
            None => Ok(()),
        }
    }

    /// The record to write, and the revision of the one that it replaces; `None` if there is nothing to change.
    fn next(&self) -> Option<(Revision, VersionRecord)> {
        let key = &self.shared.translate.keys().versions;
        let item = self.fleet.known().item(key);
        let current = item.as_ref().and_then(|item| record(key, item));
        let now = clock::now();
        let is_recent = self.shared.store_age(now) < self.shared.reloadable().apply_limit.0;
        let may_remove = is_recent && self.fleet.watch_rank().rank == 0;
        let next = self
            .shared
            .traffic()
            .history
            .next_record(now, current.as_ref(), may_remove)?;
        Some((item.map_or(Revision::ZERO, |item| item.revision), next))
    }

    async fn write(&self, expected: Revision, record: &VersionRecord) -> Result<(), StoreError> {
        let value = serde_json::to_vec(record).map_err(|e| StoreError::Unreadable(e.to_string()))?;
        let put = Put {
            key: self.shared.translate.keys().versions.clone(),
            value: Bytes::from(value),
            lease: None,
        };
        let write = Write::conditional(put, expected);
        match self.store.write(write).await {
            // Another instance was first, or an earlier write was applied: the replica will show it.
            Ok(_) | Err(StoreError::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }
}
