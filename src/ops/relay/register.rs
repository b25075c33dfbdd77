//! Registers this instance: writes a key to the store, so that the other instances find it.
//!
//! The key has no lease. Renewals would cost each instance a call every few seconds, and a store outage that outlasts
//! the leases would make the whole fleet register again. Whether an instance serves is known from its heartbeats; the
//! key only holds the address to send them to. An instance removes its key when it stops; the first-ranked instance
//! removes the keys of instances that have sent no heartbeat for a long time.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream_core::log_event;
use sequoiastream_core::membership::Listing;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::name::Name;
use sequoiastream_core::relay::records::AbsentEngines;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_kv::store::Item;
use sequoiastream_kv::store::Put;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;
use sequoiastream_kv::store::Write;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::log_event;
use crate::ops::relay::peers::Fleet;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Time between two checks of the replicated keys.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Delay of the first check, in which a starting instance may read that its key still exists.
const START_DELAY: Duration = Duration::from_millis(200);

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Maximum number of keys that are removed in one write.
const MAX_REMOVED: usize = 16;

/// Maximum number of revisions by which the replica of the store may lag behind the registration before the instances
/// of the zone are listed.
///
/// Guards against a slow start of a large fleet: when hundreds of instances register at the same time, each knows only
/// those that registered earlier, all send their heartbeats to these few, and for seconds each acts as a watcher.
const MAX_REVISION_LAG: u64 = 64;

/// Highest capacity that an instance is taken to have, in thousandths of a core: that of a thousand cores. The capacities of
/// all instances add up to a number in range.
const MAX_CAPACITY: u32 = 1_000_000;

/// The record of an instance, as stored in JSON.
#[derive(Debug, Serialize, Deserialize)]
struct InstanceRecord {
    zone: Name,
    front: SocketAddr,
    peer: SocketAddr,
    /// Capacity in thousandths of a core.
    #[serde(default)]
    capacity: u32,
}

/// An instance that the store lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Its name, zone and addresses.
    pub listing: Listing,
    /// Its capacity in thousandths of a core; 0 if it isn't known.
    pub capacity: u32,
}

/// A running registration.
#[derive(Debug)]
pub struct Registration {
    stop: oneshot::Sender<()>,
    ended: oneshot::Receiver<()>,
}

impl Registration {
    /// Removes the key, if the store can be reached in time.
    pub async fn end(self) {
        if self.stop.send(()).is_err() {
            return;
        }
        let ended = tokio::time::timeout(RETRY_DELAY, self.ended).await;
        if ended.is_err() {
            log_event!(warn, log_event::KV_FAILED, call = "end registration");
        }
    }
}

/// Registers this instance and keeps it registered.
pub fn start(shared: Arc<Shared>, store: Rc<dyn Store>, fleet: Fleet) -> Registration {
    let (stop, mut stopped) = oneshot::channel();
    let (end, ended) = oneshot::channel();
    actix_rt::spawn(async move {
        let mut registrar = Registrar {
            shared,
            store,
            fleet,
            written_revision: None,
            conflicting: None,
            needs_listing: false,
            absences: AbsentEngines::new(),
        };
        let mut delay = START_DELAY;
        loop {
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                _ = &mut stopped => break,
            }
            let step = tokio::select! {
                step = registrar.step() => step,
                _ = &mut stopped => break,
            };
            delay = if step.is_ok() { CHECK_INTERVAL } else { RETRY_DELAY };
            if let Err(error) = step {
                log_event!(debug, log_event::KV_FAILED, %error, call = "register");
            }
        }
        if let Err(error) = registrar.remove_own().await {
            log_event!(warn, log_event::KV_FAILED, %error, call = "end registration");
        }
        // The receiver waits only for a limited time; if it is gone, nothing depends on the result.
        let _ = end.send(());
    });
    Registration { stop, ended }
}

struct Registrar {
    shared: Arc<Shared>,
    store: Rc<dyn Store>,
    fleet: Fleet,
    /// Store revision of this process's last write of its key.
    written_revision: Option<Revision>,
    /// Revision of the key as the store showed it after a write that expected another one.
    conflicting: Option<Revision>,
    /// Whether the next check lists the instances of the zone.
    needs_listing: bool,
    absences: AbsentEngines,
}

impl Registrar {
    async fn step(&mut self) -> Result<(), StoreError> {
        if self.needs_listing {
            list_zone(&self.shared, self.store.as_ref(), &self.fleet).await?;
            self.needs_listing = false;
        }
        if self.needs_write() {
            self.write().await?;
        }
        self.remove_silent().await
    }

    /// Whether the key must be written: it is missing, or an earlier process wrote it with different contents.
    ///
    /// Guards against two processes with the same name overwriting each other's key forever: each replaces an existing
    /// key at most once in each epoch of the store.
    fn needs_write(&self) -> bool {
        let known = self.fleet.known();
        match (known.item(&self.key()), self.written_revision) {
            // After a restoration of the store, the key may be an earlier one.
            (Some(item), Some(written)) => item.revision.epoch > written.epoch && item.value != self.record(),
            (Some(item), None) => item.value != self.record(),
            // The replica may predate the write.
            (None, Some(written)) => known.revision() > written,
            (None, None) => true,
        }
    }

    /// Writes the key on the condition that nobody else has written it.
    ///
    /// Guards against a write of an earlier process with this name that arrives late and replaces the key of this one.
    async fn write(&mut self) -> Result<(), StoreError> {
        let known = self.fleet.known().item(&self.key()).map(|item| item.revision);
        let expected = self.conflicting.take().or(known).unwrap_or(Revision::ZERO);
        let put = Put {
            key: self.key(),
            value: self.record(),
            lease: None,
        };
        let write = Write::conditional(put, expected);
        let revision = match self.store.write(write).await {
            Ok(revision) => revision,
            Err(StoreError::Conflict) => return self.read_own().await,
            Err(error) => return Err(error),
        };
        self.on_written(revision);
        Ok(())
    }

    /// Reads the key, of which the replica has another revision than the store. An earlier write of this process may have
    /// been applied without an answer.
    async fn read_own(&mut self) -> Result<(), StoreError> {
        let key = self.key();
        let page = self.store.range(&key, "").await?;
        let item = page.items.into_iter().find(|item| item.key == key);
        match item {
            Some(item) if item.value == self.record() => self.on_written(item.revision),
            Some(item) => self.conflicting = Some(item.revision),
            None => self.conflicting = Some(Revision::ZERO),
        }
        Ok(())
    }

    fn on_written(&mut self, revision: Revision) {
        self.written_revision = Some(revision);
        let known = self.fleet.known().revision();
        let is_far_behind = revision.number > known.number.saturating_add(MAX_REVISION_LAG);
        self.needs_listing = revision.epoch > known.epoch || is_far_behind;
    }

    /// Removes the keys of instances that have sent no heartbeat for a long time, if this instance ranks first.
    ///
    /// Guards against an isolated instance, which hears no peer, removing the keys of all others.
    async fn remove_silent(&mut self) -> Result<(), StoreError> {
        if self.fleet.watch_rank().rank > 0 {
            return Ok(());
        }
        let listed = self.fleet.listed_zones();
        let heard = self.fleet.heard_names();
        let is_present = |name: &str| name == self.shared.options.name.as_str() || heard.contains(name);
        let names = listed.keys().map(Name::as_str);
        let retention = self.shared.reloadable().retention;
        let silent = self.absences.due(clock::now(), retention, names, is_present);
        if silent.is_empty() || heard.is_empty() {
            return Ok(());
        }
        let known = self.fleet.known();
        let silent = listed
            .iter()
            .filter(|(name, _)| silent.iter().any(|s| s == name.as_str()));
        let items = silent.filter_map(|(name, zone)| known.item(&key(&self.shared, zone, name)));
        let items = items.take(MAX_REMOVED);
        let (expect, removes) = items
            .map(|item| ((item.key.clone(), item.revision), item.key))
            .unzip();
        let write = Write {
            expect,
            puts: Vec::new(),
            removes,
        };
        if write.removes.is_empty() {
            return Ok(());
        }
        log_event!(info, log_event::INSTANCES_FORGOTTEN, count = write.removes.len());
        self.store.write(write).await.map(|_| ())
    }

    /// Removes the key of this instance, unless another process has replaced it.
    async fn remove_own(self) -> Result<(), StoreError> {
        let item = self.fleet.known().item(&self.key());
        let known = item
            .filter(|item| item.value == self.record())
            .map(|item| item.revision);
        let Some(revision) = known.max(self.written_revision) else {
            return Ok(());
        };
        let write = Write {
            expect: vec![(self.key(), revision)],
            puts: Vec::new(),
            removes: vec![self.key()],
        };
        self.store.write(write).await.map(|_| ())
    }

    fn key(&self) -> String {
        let options = &self.shared.options;
        key(&self.shared, &options.zone, &options.name)
    }

    fn record(&self) -> Bytes {
        let options = &self.shared.options;
        let record = InstanceRecord {
            zone: options.zone.clone(),
            front: options.front,
            peer: options.peer,
            capacity: options.capacity,
        };
        Bytes::from(
            serde_json::to_vec(&record)
                .expect("an instance record of names, addresses and a number serializes to JSON"),
        )
    }
}

/// Reads the list of this zone's instances from the store and applies it to `fleet`.
///
/// # Errors
///
/// [`StoreError`] if the store can't be read.
pub async fn list_zone(shared: &Shared, store: &dyn Store, fleet: &Fleet) -> Result<(), StoreError> {
    let page = store
        .range(&zone_prefix(shared, &shared.options.zone), "")
        .await?;
    for item in &page.items {
        fleet.on_item(listing(shared, item));
    }
    fleet.apply_list();
    Ok(())
}

/// Common prefix of the keys of a zone's instances.
pub fn zone_prefix(shared: &Shared, zone: &Name) -> String {
    format!("{}{zone}/", shared.translate.keys().instances)
}

fn key(shared: &Shared, zone: &Name, name: &Name) -> String {
    format!("{}{name}", zone_prefix(shared, zone))
}

/// The name of the instance that a key belongs to, if it is an instance's key: the last segment, after the zone.
pub fn name(shared: &Shared, key: &str) -> Option<Name> {
    let path = key.strip_prefix(&shared.translate.keys().instances)?;
    let name = path.rsplit('/').next()?;
    Name::new(name).ok()
}

/// The instance that an item describes, if the item can be read.
pub fn listing(shared: &Shared, item: &Item) -> Option<ListedInstance> {
    let name = name(shared, &item.key)?;
    match serde_json::from_slice::<InstanceRecord>(&item.value) {
        Ok(record) => Some(ListedInstance {
            listing: Listing {
                name,
                zone: record.zone,
                address: record.front,
                peer_address: record.peer,
                state: MemberState::Live,
            },
            capacity: record.capacity.min(MAX_CAPACITY),
        }),
        Err(error) => {
            log_event!(warn, log_event::ENTRY_UNREADABLE, key = %item.key, revision = %item.revision, %error);
            None
        }
    }
}

/// The instances that items describe.
pub fn listings(shared: &Shared, items: &[Item]) -> Vec<ListedInstance> {
    items.iter().filter_map(|item| listing(shared, item)).collect()
}
