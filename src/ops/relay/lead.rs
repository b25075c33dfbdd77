//! Acquires and keeps the lease of the leader, the one instance that acts for all, as
//! [`sequoiastream_core::relay::leader_lease`] decides.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::leader_lease::CallPermit;
use sequoiastream_core::relay::leader_lease::LeaderLease;
use sequoiastream_core::relay::leader_lease::LeaseAction;
use sequoiastream_core::relay::leader_lease::LeaseRecord;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Item;
use sequoiastream_kv::store::LeaseId;
use sequoiastream_kv::store::Put;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;
use sequoiastream_kv::store::Write;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::log_event;
use crate::ops::relay::edge::Translate;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Time between two checks of the lease.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A holder's record as stored, in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct HolderRecord {
    holder: String,
    /// A random ID of the process and the number of its attempt: a record of an earlier attempt may come back when the store is
    /// restored.
    process: String,
}

/// Parses the holder's record; `None` if the item has another key.
pub fn record(translate: &dyn Translate, item: &Item) -> Option<LeaseRecord> {
    if item.key != translate.keys().leader {
        return None;
    }
    // A record that can't be read still means that some instance holds the lease.
    let record = serde_json::from_slice::<HolderRecord>(&item.value).unwrap_or_else(|error| {
        log_event!(warn, log_event::ENTRY_UNREADABLE, key = %item.key, revision = %item.revision, %error);
        HolderRecord {
            holder: String::new(),
            process: String::new(),
        }
    });
    Some(LeaseRecord {
        holder: record.holder,
        process: record.process,
        revision: item.created,
    })
}

#[derive(Debug)]
struct State {
    lease: RefCell<LeaderLease>,
    lease_id: RefCell<Option<LeaseId>>,
    process: String,
    /// Number of attempts to acquire the lease.
    attempts: Cell<u64>,
}

/// Whether this instance is the leader. Cheap to clone; stays on one thread.
#[derive(Debug, Clone)]
pub struct Leadership(Rc<State>);

impl Leadership {
    /// The fencing token for a call that is sent now; `None` if none may be sent.
    pub fn fence(&self, now: Time) -> Option<u64> {
        self.0.lease.borrow().fence(now)
    }

    /// Permission for a call that is sent now; `None` if none may be sent.
    pub fn permit(&self, now: Time) -> Option<CallPermit> {
        self.0.lease.borrow().permit(now)
    }

    /// Whether a call that was sent under `fence` may still arrive.
    pub fn is_valid(&self, now: Time, fence: u64) -> bool {
        self.0.lease.borrow().is_valid(now, fence)
    }
}

/// Starts to compete for the lease, with the length `lease`, and to renew it once it is acquired.
pub fn start(shared: Arc<Shared>, store: Rc<dyn Store>, lease: Duration) -> Leadership {
    let leadership = Leadership(Rc::new(State {
        lease: RefCell::new(LeaderLease::new(lease)),
        lease_id: RefCell::default(),
        process: Uuid::new_v4().to_string(),
        attempts: Cell::new(0),
    }));
    actix_rt::spawn(run(leadership.clone(), shared, store));
    leadership
}

async fn run(leadership: Leadership, shared: Arc<Shared>, store: Rc<dyn Store>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if shared.is_leaving() {
            return leadership.resign(&shared, store.as_ref()).await;
        }
        let (is_free, rank) = {
            let view = shared.view.load();
            (view.is_configured() && view.leader.is_none(), view.rank)
        };
        let now = clock::now();
        shared
            .metrics
            .is_leader
            .set(i64::from(leadership.fence(now).is_some()));
        leadership.drop_void(&shared);
        let action = leadership.0.lease.borrow_mut().next_action(now, is_free, rank);
        match action {
            LeaseAction::Wait => {}
            LeaseAction::Renew => leadership.renew(store.as_ref()).await,
            LeaseAction::Acquire => leadership.acquire(&shared, store.as_ref()).await,
        }
    }
}

impl Leadership {
    async fn acquire(&self, shared: &Shared, store: &dyn Store) {
        let sent = clock::now();
        match self.create(shared, store).await {
            Ok(Some((lease, revision))) => match revision.token() {
                Some(fence) if revision.epoch == lease.epoch => {
                    *self.0.lease_id.borrow_mut() = Some(lease);
                    self.0.lease.borrow_mut().on_acquired(clock::now(), sent, fence);
                    log_event!(info, log_event::LEAD_TAKEN, fence);
                }
                // The record expires, or was lost when the store was restored after the grant.
                token => {
                    log_event!(warn, log_event::LEASE_UNUSABLE, %revision, ?token);
                    self.0.lease.borrow_mut().on_failure(clock::now());
                }
            },
            Ok(None) => self.0.lease.borrow_mut().on_failure(clock::now()),
            Err(error) => {
                log_event!(info, log_event::KV_FAILED, %error, call = "lead");
                self.0.lease.borrow_mut().on_failure(clock::now());
            }
        }
    }

    /// Creates the record under a new lease. Returns the lease and the fencing token, or `None` if another instance has
    /// a record. If the answer to the write is lost, the record counts only if reading it back shows it: otherwise the
    /// write may still be applied later, and the record then expires with its lease.
    async fn create(
        &self,
        shared: &Shared,
        store: &dyn Store,
    ) -> Result<Option<(LeaseId, Revision)>, StoreError> {
        let length = self.0.lease.borrow().lease();
        let lease = store.grant(length).await?;
        let key = shared.translate.keys().leader.clone();
        let attempt = self.0.attempts.get() + 1;
        self.0.attempts.set(attempt);
        let own_record = HolderRecord {
            holder: shared.options.name.to_string(),
            process: format!("{}/{attempt}", self.0.process),
        };
        let value = serde_json::to_vec(&own_record).map_err(|e| StoreError::Unreadable(e.to_string()))?;
        let put = Put {
            key: key.clone(),
            value: Bytes::from(value),
            lease: Some(lease),
        };
        let write = Write::conditional(put, Revision::ZERO);
        match store.write(write).await {
            Ok(revision) => Ok(Some((lease, revision))),
            Err(StoreError::Conflict) => Ok(None),
            Err(StoreError::Unknown(_)) => {
                let page = store.range(&key, "").await?;
                let records = page
                    .items
                    .iter()
                    .filter_map(|i| record(shared.translate.as_ref(), i));
                let own = records.into_iter().find(|r| r.process == own_record.process);
                Ok(own.map(|own| (lease, own.revision)))
            }
            Err(error) => Err(error),
        }
    }

    /// Gives up the lease if the store has been restored since it was granted: it is gone, and its number may be given out
    /// again, so that no call may name it.
    fn drop_void(&self, shared: &Shared) {
        let lease = *self.0.lease_id.borrow();
        if lease.is_some_and(|lease| shared.view.load().is_restored_since(lease.epoch)) {
            self.on_lost();
        }
    }

    async fn renew(&self, store: &dyn Store) {
        let Some(lease) = *self.0.lease_id.borrow() else {
            return;
        };
        let sent = clock::now();
        match store.renew(lease).await {
            Ok(renewed) if renewed == lease => self.0.lease.borrow_mut().on_renewed(sent),
            Ok(_) | Err(StoreError::LeaseEnded) => self.on_lost(),
            Err(error) => {
                log_event!(info, log_event::KV_FAILED, %error, call = "renew the lease of the leader");
                self.0.lease.borrow_mut().on_failure(clock::now());
            }
        }
    }

    fn on_lost(&self) {
        self.0.lease_id.borrow_mut().take();
        self.0.lease.borrow_mut().on_lost(clock::now());
        log_event!(info, log_event::LEAD_LOST);
    }

    /// Revokes the lease; no call is made under it any more, and those on their way are given up.
    async fn resign(&self, shared: &Shared, store: &dyn Store) {
        self.drop_void(shared);
        let Some(lease) = self.0.lease_id.borrow_mut().take() else {
            return;
        };
        self.0.lease.borrow_mut().on_lost(clock::now());
        log_event!(info, log_event::LEAD_LOST);
        if let Err(error) = store.revoke(lease).await {
            log_event!(info, log_event::KV_FAILED, %error, call = "resign");
        }
    }
}
