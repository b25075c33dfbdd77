//! Making this instance known: a key in the store under a lease, so that the others find it.
//!
//! The key vanishes soon after its instance. Whether an instance serves is known sooner from its heartbeats; the key
//! only says where to send them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream_core::log_event;
use sequoiastream_core::membership::Listing;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::name::Name;
use sequoiastream_kv::store::Item;
use sequoiastream_kv::store::LeaseId;
use sequoiastream_kv::store::Put;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;
use sequoiastream_kv::store::Write;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::log_event;
use crate::ops::relay::shared::Shared;

/// How long the key outlives its instance. Whoever reads it meanwhile sends heartbeats to nobody, and names no instance
/// to callers that it doesn't hear.
const TTL: Duration = Duration::from_secs(30);

/// Time between two renewals: two may fail.
const RENEW: Duration = Duration::from_secs(10);

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(700);

/// What an instance says of itself in the store.
#[derive(Debug, Serialize, Deserialize)]
struct Card {
    zone: Name,
    front: SocketAddr,
    peer: SocketAddr,
    /// Thousandths of a core.
    #[serde(default)]
    capacity: u32,
}

/// An instance that the store lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Who and where it is.
    pub listing: Listing,
    /// What it can carry, in thousandths of a core.
    pub capacity: u32,
}

/// The running registration.
#[derive(Debug)]
pub struct Registration {
    stop: oneshot::Sender<()>,
    ended: oneshot::Receiver<()>,
}

impl Registration {
    /// Removes the key, as far as the store can be reached.
    pub async fn end(self) {
        if self.stop.send(()).is_err() {
            return;
        }
        let ended = tokio::time::timeout(PAUSE, self.ended).await;
        if ended.is_err() {
            log_event!(warn, log_event::KV_FAILED, call = "end registration");
        }
    }
}

/// Registers this instance and keeps it so.
pub fn start(shared: Arc<Shared>, store: Rc<dyn Store>) -> Registration {
    let (stop, mut stopped) = oneshot::channel();
    let (end, ended) = oneshot::channel();
    actix_rt::spawn(async move {
        let mut lease = None;
        loop {
            let step = tokio::select! {
                step = keep(&shared, store.as_ref(), lease) => step,
                _ = &mut stopped => break,
            };
            let pause = if step.is_ok() { RENEW } else { PAUSE };
            match step {
                Ok(held) => lease = Some(held),
                Err(StoreError::LeaseEnded) => lease = None,
                Err(error) => log_event!(debug, log_event::KV_FAILED, %error, call = "register"),
            }
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = &mut stopped => break,
            }
        }
        if let Some(lease) = lease
            && let Err(error) = store.revoke(lease).await
        {
            log_event!(warn, log_event::KV_FAILED, %error, call = "revoke");
        }
        // The other end waits at most so long; if it is gone, nobody needs to know.
        let _ = end.send(());
    });
    Registration { stop, ended }
}

async fn keep(shared: &Shared, store: &dyn Store, lease: Option<LeaseId>) -> Result<LeaseId, StoreError> {
    if let Some(lease) = lease {
        store.renew(lease).await?;
        return Ok(lease);
    }
    let lease = store.grant(TTL).await?;
    let options = &shared.options;
    let card = Card {
        zone: options.zone.clone(),
        front: options.front,
        peer: options.peer,
        capacity: options.capacity,
    };
    let value = serde_json::to_vec(&card).map_err(|e| StoreError::Unreadable(e.to_string()))?;
    let put = Put {
        key: format!("{}{}", shared.translate.keys().own, options.name),
        value: Bytes::from(value),
        lease: Some(lease),
    };
    let write = Write {
        puts: vec![put],
        ..Write::default()
    };
    store.write(write).await?;
    Ok(lease)
}

/// The name of the instance under a key, if it is one's.
pub fn name(shared: &Shared, key: &str) -> Option<Name> {
    let name = key.strip_prefix(&shared.translate.keys().own)?;
    Name::new(name).ok()
}

/// The instance that an item describes.
pub fn listing(shared: &Shared, item: &Item) -> Option<Listed> {
    let name = name(shared, &item.key)?;
    match serde_json::from_slice::<Card>(&item.value) {
        Ok(card) => Some(Listed {
            listing: Listing {
                name,
                zone: card.zone,
                address: card.front,
                peer: card.peer,
                state: MemberState::Live,
            },
            capacity: card.capacity,
        }),
        Err(error) => {
            log_event!(warn, log_event::ENTRY_UNREADABLE, key = %item.key, revision = item.revision, %error);
            None
        }
    }
}

/// The instances that items describe.
pub fn listings(shared: &Shared, items: &[Item]) -> Vec<Listed> {
    items.iter().filter_map(|item| listing(shared, item)).collect()
}
