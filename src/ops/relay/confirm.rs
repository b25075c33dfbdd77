//! Has the store confirm, on demand, that this instance knows which engines serve.
//!
//! Failure guarded against: an instance that was cut off, or whose process stood still, takes what it has not heard of for
//! something that did not happen, because what it knows is only a moment old. Engines of another version may have begun
//! to serve in that moment. Only an answer to a call that was sent after the question arose proves that there are none.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_kv::store::Change;
use sequoiastream_kv::store::Changes;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::log_event;
use crate::ops::relay::follow;
use crate::ops::relay::known::StoreReplica;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Pause after a call that confirmed nothing.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum time to wait until this instance has applied a change that the store reports.
const MAX_APPLY_TIME: Duration = Duration::from_secs(1);

/// Time between two checks of whether it has.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// How the traffic thread asks for a confirmation.
#[derive(Debug, Default)]
pub struct Confirmations {
    /// Each request is answered with whether the store has confirmed.
    requests: OnceLock<mpsc::UnboundedSender<oneshot::Sender<bool>>>,
}

impl Confirmations {
    /// Whether the store confirms, within `limit`, that all engines and versions which it holds after this call are known
    /// here.
    pub async fn confirm(&self, limit: Duration) -> bool {
        let Some(requests) = self.requests.get() else {
            return false;
        };
        let confirmed = async {
            loop {
                let (done, receiver) = oneshot::channel();
                if requests.send(done).is_err() {
                    return false;
                }
                if receiver.await == Ok(true) {
                    return true;
                }
            }
        };
        tokio::time::timeout(limit, confirmed).await.unwrap_or(false)
    }
}

/// Starts to answer requests. `known` is what this instance knows of the store.
pub fn start(shared: &Arc<Shared>, store: &Rc<dyn Store>, known: StoreReplica) {
    let (sender, receiver) = mpsc::unbounded_channel();
    if shared.confirmations.requests.set(sender).is_err() {
        return;
    }
    let confirmer = Confirmer {
        shared: shared.clone(),
        store: store.clone(),
        known,
    };
    actix_rt::spawn(confirmer.run(receiver));
}

struct Confirmer {
    shared: Arc<Shared>,
    store: Rc<dyn Store>,
    known: StoreReplica,
}

impl Confirmer {
    /// Answers all requests that wait by one call, one call after the other.
    async fn run(self, mut requests: mpsc::UnboundedReceiver<oneshot::Sender<bool>>) {
        while let Some(first) = requests.recv().await {
            let mut waiting = vec![first];
            while let Ok(next) = requests.try_recv() {
                waiting.push(next);
            }
            let is_confirmed = self.confirm().await.unwrap_or_else(|error| {
                log_event!(info, log_event::KV_FAILED, %error, call = "confirm");
                false
            });
            if !is_confirmed {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            for request in waiting {
                // A caller that has gone meanwhile needs no answer.
                let _ = request.send(is_confirmed);
            }
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
