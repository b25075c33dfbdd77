//! Holding the lease under which one instance acts for all, as [`sequoiastream_core::relay::leader_lease`] decides.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::leader_lease::LeaderLease;
use sequoiastream_core::relay::leader_lease::LeaseAction;
use sequoiastream_core::relay::leader_lease::LeaseRecord;
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

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(100);

/// What the holder's record says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Card {
    holder: String,
    process: String,
}

/// The record of a holder in the store, if the item is one.
pub fn record(translate: &dyn Translate, item: &Item) -> Option<LeaseRecord> {
    if item.key != translate.keys().leader {
        return None;
    }
    // One that can't be read is somebody's all the same.
    let card = serde_json::from_slice::<Card>(&item.value).unwrap_or_else(|error| {
        log_event!(warn, log_event::ENTRY_UNREADABLE, key = %item.key, revision = item.revision, %error);
        Card {
            holder: String::new(),
            process: String::new(),
        }
    });
    Some(LeaseRecord {
        holder: card.holder,
        process: card.process,
        revision: item.created,
    })
}

#[derive(Debug)]
struct State {
    lead: RefCell<LeaderLease>,
    lease: RefCell<Option<LeaseId>>,
    process: String,
}

/// Whether this instance acts for all; cheap to clone, stays on one thread.
#[derive(Debug, Clone)]
pub struct Leadership(Rc<State>);

impl Leadership {
    /// The fencing token of a call that leaves now; `None` if none may leave.
    pub fn fence(&self, now: Time) -> Option<u64> {
        self.0.lead.borrow().fence(now)
    }
}

/// Competes for leases of the time `lease`, and keeps one that it got.
pub fn start(shared: Arc<Shared>, store: Rc<dyn Store>, lease: Duration) -> Leadership {
    let leadership = Leadership(Rc::new(State {
        lead: RefCell::new(LeaderLease::new(lease)),
        lease: RefCell::default(),
        process: Uuid::new_v4().to_string(),
    }));
    actix_rt::spawn(run(leadership.clone(), shared, store));
    leadership
}

async fn run(leadership: Leadership, shared: Arc<Shared>, store: Rc<dyn Store>) {
    loop {
        tokio::time::sleep(LOOK).await;
        if shared.is_leaving() {
            return leadership.resign(store.as_ref()).await;
        }
        let (is_free, rank) = {
            let view = shared.view.load();
            (view.is_configured() && view.lead.is_none(), view.rank)
        };
        let now = clock::now();
        shared
            .metrics
            .leads
            .set(i64::from(leadership.fence(now).is_some()));
        let step = leadership.0.lead.borrow_mut().next_action(now, is_free, rank);
        match step {
            LeaseAction::Wait => {}
            LeaseAction::Renew => leadership.renew(store.as_ref()).await,
            LeaseAction::Acquire => leadership.take(&shared, store.as_ref()).await,
        }
    }
}

impl Leadership {
    async fn take(&self, shared: &Shared, store: &dyn Store) {
        let sent = clock::now();
        match self.create(shared, store).await {
            Ok(Some((lease, fence))) => {
                *self.0.lease.borrow_mut() = Some(lease);
                self.0.lead.borrow_mut().on_acquired(clock::now(), sent, fence);
                log_event!(info, log_event::LEAD_TAKEN, fence);
            }
            Ok(None) => self.0.lead.borrow_mut().on_failure(clock::now()),
            Err(error) => {
                log_event!(info, log_event::KV_FAILED, %error, call = "lead");
                self.0.lead.borrow_mut().on_failure(clock::now());
            }
        }
    }

    /// Creates the record under a new lease; `None` if somebody else has. One whose answer was lost counts only if reading
    /// back shows it: it may still come, and ends with its lease.
    async fn create(&self, shared: &Shared, store: &dyn Store) -> Result<Option<(LeaseId, u64)>, StoreError> {
        let time = self.0.lead.borrow().lease();
        let lease = store.grant(time).await?;
        let key = shared.translate.keys().leader.clone();
        let card = Card {
            holder: shared.options.name.to_string(),
            process: self.0.process.clone(),
        };
        let value = serde_json::to_vec(&card).map_err(|e| StoreError::Unreadable(e.to_string()))?;
        let put = Put {
            key: key.clone(),
            value: Bytes::from(value),
            lease: Some(lease),
        };
        let write = Write {
            expect: vec![(key.clone(), 0)],
            puts: vec![put],
            removes: Vec::new(),
        };
        match store.write(write).await {
            Ok(revision) => Ok(Some((lease, revision))),
            Err(StoreError::Conflict) => Ok(None),
            Err(StoreError::Unknown(_)) => {
                let page = store.range(&key, "").await?;
                let records = page
                    .items
                    .iter()
                    .filter_map(|i| record(shared.translate.as_ref(), i));
                let own = records.into_iter().find(|r| r.process == self.0.process);
                Ok(own.map(|own| (lease, own.revision)))
            }
            Err(error) => Err(error),
        }
    }

    async fn renew(&self, store: &dyn Store) {
        let Some(lease) = *self.0.lease.borrow() else {
            return;
        };
        let sent = clock::now();
        match store.renew(lease).await {
            Ok(()) => self.0.lead.borrow_mut().on_renewed(sent),
            Err(StoreError::LeaseEnded) => self.lose(),
            Err(error) => {
                log_event!(info, log_event::KV_FAILED, %error, call = "renew the lead");
                self.0.lead.borrow_mut().on_failure(clock::now());
            }
        }
    }

    fn lose(&self) {
        self.0.lease.borrow_mut().take();
        self.0.lead.borrow_mut().on_lost(clock::now());
        log_event!(info, log_event::LEAD_LOST);
    }

    /// Gives the lease back; nothing is called under it any more.
    async fn resign(&self, store: &dyn Store) {
        let Some(lease) = self.0.lease.borrow_mut().take() else {
            return;
        };
        self.0.lead.borrow_mut().on_lost(clock::now());
        log_event!(info, log_event::LEAD_LOST);
        if let Err(error) = store.revoke(lease).await {
            log_event!(info, log_event::KV_FAILED, %error, call = "resign");
        }
    }
}
