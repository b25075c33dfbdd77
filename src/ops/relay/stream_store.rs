//! Keeps records of streams in the store while no version is certain for streams without a record.
//!
//! Failure guarded against: engines of several versions serve, and all instances end at the same moment. What they knew of
//! streams is lost with them, and callers that take their streams up could only be refused. Each process therefore
//! keeps the records of its own streams under a key of its own, whose lease outlives it for as long as a caller may
//! wait. Where the version of a service is certain, nothing is written.
//!
//! A first event does not wait for the write: a stream whose instance and its peers end before that is not recorded, and
//! its caller is refused.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::streams::MAX_LIFETIME;
use sequoiastream_core::relay::streams::StreamId;
use sequoiastream_core::relay::streams::StreamRecord;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::LeaseId;
use sequoiastream_kv::store::Put;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;
use sequoiastream_kv::store::Write;
use tokio::sync::Notify;
use uuid::Uuid;

use crate::log_event;
use crate::ops::relay::shared::Shared;
use crate::ops::relay::shared_call::Requests;
use crate::ops::relay::shared_call::SharedCall;
use crate::util::clock;

/// Length of the lease of a process's records, which outlive it by half of that at least.
const LEASE_TTL: Duration = MAX_LIFETIME.saturating_mul(2);

/// Age at which the lease is renewed.
const RENEWAL_AGE: Duration = MAX_LIFETIME;

/// Time between two checks of whether the lease is to be renewed.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time between two writes of an instance, for each instance of the fleet: all of them write 100 times a second at most,
/// a quarter of what the smallest stores accept.
const WRITE_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time between two writes of an instance. Stores of large fleets accept more calls.
const MAX_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// How the traffic thread reaches the records in the store.
#[derive(Debug, Default)]
pub struct StreamStore {
    changed: Notify,
    reads: SharedCall<StreamId>,
}

impl StreamStore {
    /// Notes that there is a record to write, or that records may no longer be needed.
    pub fn notify(&self) {
        self.changed.notify_one();
    }

    /// Reads the record of `stream` into [`TrafficState::streams`](super::shared::TrafficState::streams), within `limit`, and
    /// those of others as long as there is room.
    pub async fn read(&self, stream: StreamId, limit: Duration) {
        // A record that was not read in time counts as one that does not exist.
        self.reads.request(stream, limit).await;
    }
}

/// Starts to write and to read records.
pub fn start(shared: &Arc<Shared>, store: &Rc<dyn Store>) {
    let Some(requests) = shared.stream_store.reads.requests() else {
        return;
    };
    actix_rt::spawn(answer_reads(shared.clone(), store.clone(), requests));
    let writer = Writer {
        shared: shared.clone(),
        store: store.clone(),
        key: new_key(shared),
        lease: None,
        written: BTreeSet::new(),
        revision: Revision::ZERO,
    };
    actix_rt::spawn(writer.run());
}

/// Reads the records for all requests that wait, one read after the other.
async fn answer_reads(shared: Arc<Shared>, store: Rc<dyn Store>, mut requests: Requests<StreamId>) {
    while let Some(batch) = requests.next().await {
        let wanted: BTreeSet<StreamId> = batch.subjects().copied().collect();
        let result = read_all(&shared, store.as_ref(), &wanted).await;
        if let Err(error) = &result {
            log_event!(info, log_event::KV_FAILED, %error, call = "streams");
            tokio::time::sleep(RETRY_DELAY).await;
        }
        batch.answer(result.is_ok());
    }
}

/// Reads all records, of which those of the `wanted` streams are kept in any case.
///
/// Guards against a large fleet's records, which are more than an instance keeps, displacing its own and the wanted ones.
async fn read_all(shared: &Shared, store: &dyn Store, wanted: &BTreeSet<StreamId>) -> Result<(), StoreError> {
    let prefix = &shared.translate.keys().streams;
    let mut after = String::new();
    loop {
        let page = store.range(prefix, &after).await?;
        let now = clock::now();
        for item in &page.items {
            match postcard::from_bytes::<Vec<StreamRecord>>(&item.value) {
                Ok(records) => {
                    let mut traffic = shared.traffic();
                    for record in records {
                        if wanted.contains(&record.stream) || traffic.streams.has_spare_room() {
                            traffic.streams.on_record(now, record);
                        }
                    }
                }
                Err(error) => {
                    log_event!(warn, log_event::ENTRY_UNREADABLE, key = %item.key, revision = %item.revision, %error);
                }
            }
        }
        match page.items.last().filter(|_| page.more) {
            Some(last) => after = last.key.clone(),
            None => return Ok(()),
        }
    }
}

/// A lease, and when it was granted or renewed last.
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
    /// Streams whose records the store has.
    written: BTreeSet<StreamId>,
    /// Revision of the key; zero if it does not exist.
    revision: Revision,
}

impl Writer {
    async fn run(mut self) {
        loop {
            tokio::select! {
                () = self.shared.stream_store.changed.notified() => {}
                () = tokio::time::sleep(CHECK_INTERVAL), if self.lease.is_some() => {}
            }
            match self.step().await {
                Ok(false) => {}
                Ok(true) => tokio::time::sleep(self.write_interval()).await,
                Err(error) => {
                    log_event!(info, log_event::KV_FAILED, %error, call = "write streams");
                    tokio::time::sleep(RETRY_DELAY.max(self.write_interval())).await;
                    self.shared.stream_store.notify();
                }
            }
        }
    }

    fn write_interval(&self) -> Duration {
        let instances = u32::try_from(self.shared.view.load().instances).unwrap_or(u32::MAX);
        WRITE_INTERVAL.saturating_mul(instances).min(MAX_WRITE_INTERVAL)
    }

    /// Writes the records if the store lacks one. Returns whether it wrote.
    async fn step(&mut self) -> Result<bool, StoreError> {
        self.drop_void_lease();
        let records = self.due_records();
        if records.is_empty() {
            return Ok(false);
        }
        self.renew_lease().await?;
        if records.iter().all(|record| self.written.contains(&record.stream)) {
            return Ok(false);
        }
        self.write(records).await?;
        Ok(true)
    }

    /// The records of own streams of the services whose version is not certain.
    fn due_records(&self) -> Vec<StreamRecord> {
        let now = clock::now();
        let traffic = self.shared.traffic();
        let history = &traffic.history;
        traffic
            .streams
            .own_records(now, |service| history.only_version(now, service).is_none())
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

    /// Forgets the lease and what was written under it.
    fn forget_lease(&mut self) {
        self.lease = None;
        self.written.clear();
        self.change_key();
    }

    /// Makes sure that there is a lease with enough time left.
    async fn renew_lease(&mut self) -> Result<(), StoreError> {
        let at = clock::now();
        let id = match self.lease {
            Some(lease) if at.since(lease.at) < RENEWAL_AGE => return Ok(()),
            Some(lease) => match self.store.renew(lease.id).await {
                Ok(id) if id == lease.id => id,
                // It has ended, or it is another one of the same number in a store that was restored.
                Ok(_) | Err(StoreError::LeaseEnded) => {
                    self.forget_lease();
                    self.store.grant(LEASE_TTL).await?
                }
                Err(error) => return Err(error),
            },
            None => self.store.grant(LEASE_TTL).await?,
        };
        self.lease = Some(HeldLease { id, at });
        Ok(())
    }

    /// Writes all records. After a write without an answer, another key is used: the write may be applied later, and must
    /// not replace what was written after it.
    async fn write(&mut self, records: Vec<StreamRecord>) -> Result<(), StoreError> {
        let value = postcard::to_stdvec(&records).map_err(|e| StoreError::Unreadable(e.to_string()))?;
        let put = Put {
            key: self.key.clone(),
            value: Bytes::from(value),
            lease: self.lease.map(|lease| lease.id),
        };
        let result = self.store.write(Write::conditional(put, self.revision)).await;
        match &result {
            Ok(revision) => {
                self.revision = *revision;
                self.written = records.iter().map(|record| record.stream).collect();
            }
            Err(StoreError::LeaseEnded) => self.forget_lease(),
            Err(StoreError::Refused(_)) => {}
            Err(_) => self.change_key(),
        }
        result.map(|_| ())
    }

    fn change_key(&mut self) {
        self.key = new_key(&self.shared);
        self.revision = Revision::ZERO;
    }
}

/// A key that no process has used.
fn new_key(shared: &Shared) -> String {
    format!("{}{}", shared.translate.keys().streams, Uuid::new_v4().simple())
}
