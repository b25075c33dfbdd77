//! Has the store confirm, on demand, that this instance knows which engines serve.
//!
//! Failure guarded against: an instance that was cut off, or whose process stood still, takes what it has not heard of for
//! something that did not happen, because what it knows is only a moment old. Engines of another version may have begun
//! to serve in that moment. Only an answer to a call that was sent after the question arose proves that there are none.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_kv::store::Change;
use sequoiastream_kv::store::Changes;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;

use crate::log_event;
use crate::ops::relay::follow;
use crate::ops::relay::known::StoreReplica;
use crate::ops::relay::shared::Shared;
use crate::ops::relay::shared_call::Requests;
use crate::util::clock;

/// Pause after a call that confirmed nothing.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum time to wait until this instance has applied a change that the store reports.
const MAX_APPLY_TIME: Duration = Duration::from_secs(1);

/// Time between two checks of whether it has.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Starts to answer the requests for confirmations. `known` is what this instance knows of the store.
pub fn start(shared: &Arc<Shared>, store: &Rc<dyn Store>, known: StoreReplica) {
    let Some(requests) = shared.confirmations.requests() else {
        return;
    };
    let confirmer = Confirmer {
        shared: shared.clone(),
        store: store.clone(),
        known,
    };
    actix_rt::spawn(confirmer.run(requests));
}

struct Confirmer {
    shared: Arc<Shared>,
    store: Rc<dyn Store>,
    known: StoreReplica,
}

impl Confirmer {
    async fn run(self, mut requests: Requests<()>) {
        while let Some(batch) = requests.next().await {
            let is_confirmed = self.confirm().await.unwrap_or_else(|error| {
                log_event!(info, log_event::KV_FAILED, %error, call = "confirm");
                false
            });
            if !is_confirmed {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            batch.answer(is_confirmed);
        }
    }

    /// Asks the store for the changes since the known revision. Those of engines must be applied before what is known is
    /// confirmed.
    async fn confirm(&self) -> Result<bool, StoreError> {
        let known = self.known.revision();
        if known.is_zero() {
            return Ok(false);
        }
        let Some(changes) = follow::poll_changes(self.store.as_ref(), known).await? else {
            return Ok(false);
        };
        match self.is_relevant(&changes) {
            true => Ok(self.is_applied(changes.revision).await),
            false => Ok(true),
        }
    }

    fn is_relevant(&self, changes: &Changes) -> bool {
        let translate = &self.shared.translate;
        changes.changes.iter().any(|change| {
            let key = match change {
                Change::Put(item) => &item.key,
                Change::Removed { key, .. } => key,
            };
            translate.engine_id(key).is_some() || *key == translate.keys().versions
        })
    }

    /// Waits until all changes up to `revision` are known. Returns whether they are.
    async fn is_applied(&self, revision: Revision) -> bool {
        let until = clock::now() + MAX_APPLY_TIME;
        while self.known.revision() < revision {
            if clock::now() >= until {
                return false;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        true
    }
}
