//! Keeps in the store under which requests and parts of prompts several engines ended.
//!
//! Failure guarded against: all instances end at the same moment and forget a request that crashes engines, which then
//! crashes as many again. Each process keeps what it knows under a key of its own, whose lease outlives it; which notes
//! these are is decided in [`durable`](sequoiastream_core::poison::suspects::durable). All read them with the rest of the
//! store.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream_core::log_event;
use sequoiastream_core::poison::suspects::Note;
use sequoiastream_core::poison::suspects::Outcome;
use sequoiastream_core::poison::suspects::RequestKey;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Item;
use sequoiastream_kv::store::LeaseId;
use sequoiastream_kv::store::Put;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;
use sequoiastream_kv::store::Write;
use uuid::Uuid;

use crate::log_event;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Length of the lease of a process's notes. It is never renewed, but replaced by another one.
const LEASE_TTL: Duration = Duration::from_secs(600);

/// Age of the lease at which the notes are written again under another one.
const RENEWAL_AGE: Duration = Duration::from_secs(300);

/// Time between two checks of whether requests were cleared.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time between two writes of an instance, for each instance of the fleet: all of them write 50 times a second at most.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time between two writes of an instance.
const MAX_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Takes in the notes among `items`.
pub fn on_items(shared: &Shared, items: &[Item]) {
    let prefix = &shared.translate.keys().crashes;
    let kept = items.iter().filter(|item| item.key.starts_with(prefix.as_str()));
    let notes: Vec<Note> = kept.flat_map(parse).collect();
    if !notes.is_empty() {
        shared.traffic().suspects.on_durable_notes(clock::now(), &notes);
    }
}

fn parse(item: &Item) -> Vec<Note> {
    match postcard::from_bytes(&item.value) {
        Ok(notes) => notes,
        Err(error) => {
            log_event!(warn, log_event::ENTRY_UNREADABLE, key = %item.key, revision = %item.revision, %error);
            Vec::new()
        }
    }
}

/// Writes the notes of this process until it ends.
pub async fn run(shared: Arc<Shared>, store: Rc<dyn Store>) {
    let key = format!("{}{}", shared.translate.keys().crashes, Uuid::new_v4().simple());
    let mut writer = Writer {
        shared,
        store,
        key,
        lease: None,
        written: BTreeSet::new(),
        revision: Revision::ZERO,
        has_crash: false,
    };
    loop {
        writer.wait().await;
        match writer.step().await {
            Ok(false) => {}
            Ok(true) => tokio::time::sleep(writer.write_interval()).await,
            Err(error) => {
                log_event!(info, log_event::KV_FAILED, %error, call = "write crashes");
                tokio::time::sleep(RETRY_DELAY).await;
                writer.shared.crashes_changed.notify_one();
            }
        }
    }
}

/// A lease, and when it was granted.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    id: LeaseId,
    at: Time,
}

struct Writer {
    shared: Arc<Shared>,
    store: Rc<dyn Store>,
    key: String,
    lease: Option<HeldLease>,
    /// What the store has.
    written: BTreeSet<(RequestKey, Outcome)>,
    /// Revision of the key; zero if it does not exist.
    revision: Revision,
    /// Whether this process saw an engine end.
    has_crash: bool,
}

impl Writer {
    async fn wait(&mut self) {
        tokio::select! {
            () = self.shared.crashes_changed.notified() => self.has_crash = true,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
    }

    fn write_interval(&self) -> Duration {
        let instances = u32::try_from(self.shared.view.load().instances).unwrap_or(u32::MAX);
        WRITE_INTERVAL.saturating_mul(instances).min(MAX_WRITE_INTERVAL)
    }

    /// Writes the notes if the store has others. Returns whether it wrote.
    async fn step(&mut self) -> Result<bool, StoreError> {
        self.drop_void_lease();
        let notes = self.shared.traffic().suspects.durable_notes(clock::now());
        // Those that saw no crash leave the crashes to the others, but not what clears a request: these may have ended.
        let is_own = self.has_crash || notes.iter().any(|note| note.outcome == Outcome::Completed);
        let due: BTreeSet<_> = notes.iter().map(|note| (note.request, note.outcome)).collect();
        let is_old = self
            .lease
            .is_some_and(|lease| clock::now().since(lease.at) >= RENEWAL_AGE);
        if !is_own || (due == self.written && (due.is_empty() || !is_old)) {
            return Ok(false);
        }
        self.acquire_lease().await?;
        self.write(&notes).await?;
        self.written = due;
        Ok(true)
    }

    /// Forgets a lease that has ended, and what was written before the store was restored from a copy, which may lack it.
    fn drop_void_lease(&mut self) {
        let Some(lease) = self.lease else {
            return;
        };
        let is_restored = self.shared.view.load().is_restored_since(lease.id.epoch);
        if is_restored || clock::now().since(lease.at) >= LEASE_TTL {
            self.forget_lease();
        }
    }

    /// Forgets the lease and the key, which has been removed with it.
    fn forget_lease(&mut self) {
        self.lease = None;
        self.written.clear();
        self.revision = Revision::ZERO;
    }

    /// Makes sure that there is a lease with enough time left.
    async fn acquire_lease(&mut self) -> Result<(), StoreError> {
        let at = clock::now();
        if self.lease.is_none_or(|lease| at.since(lease.at) >= RENEWAL_AGE) {
            let id = self.store.grant(LEASE_TTL).await?;
            self.lease = Some(HeldLease { id, at });
        }
        Ok(())
    }

    /// Replaces the notes, on the condition that they are as last written: an earlier write whose answer was lost must not be
    /// applied after this one.
    async fn write(&mut self, notes: &[Note]) -> Result<(), StoreError> {
        let value = postcard::to_stdvec(notes).map_err(|e| StoreError::Unreadable(e.to_string()))?;
        let put = Put {
            key: self.key.clone(),
            value: Bytes::from(value),
            lease: self.lease.map(|lease| lease.id),
        };
        match self.store.write(Write::conditional(put, self.revision)).await {
            Ok(revision) => {
                self.revision = revision;
                Ok(())
            }
            Err(StoreError::LeaseEnded) => {
                self.forget_lease();
                Err(StoreError::LeaseEnded)
            }
            Err(StoreError::Conflict) => {
                self.revision = self.read_revision().await?;
                Err(StoreError::Conflict)
            }
            Err(error) => Err(error),
        }
    }

    /// The revision of the key in the store.
    async fn read_revision(&self) -> Result<Revision, StoreError> {
        let page = self.store.range(&self.key, "").await?;
        let item = page.items.into_iter().find(|item| item.key == self.key);
        Ok(item.map_or(Revision::ZERO, |item| item.revision))
    }
}
