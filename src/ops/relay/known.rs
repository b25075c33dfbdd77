//! A local replica of the store, from which this instance also answers peers that don't watch the store themselves.
//!
//! Guards against the following failure: hundreds of instances query the store for each change; the store rejects some
//! of them and serves the others, and those that are rejected would send requests to engines that are gone, by routes
//! that are no longer in force. Instead, such instances ask a peer with a higher revision, which sends them the changes
//! that they lack.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::watchers;
use sequoiastream_core::relay::watchers::ConfirmationId;
use sequoiastream_core::relay::watchers::ConfirmedStatus;
use sequoiastream_core::relay::watchers::FleetRank;
use sequoiastream_core::relay::watchers::ProofPeers;
use sequoiastream_core::relay::watchers::SyncState;
use sequoiastream_core::relay::watchers::SyncStatus;
use sequoiastream_core::relay::watchers::WatchAction;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Change;
use sequoiastream_kv::store::Item;
use sequoiastream_peer::message::StoreChanges;
use sequoiastream_peer::message::StoreItem;
use sequoiastream_peer::message::StorePage;

use crate::ops::relay::edge::StoreKeys;

/// Number of removals that are kept for peers that lag; peers that lag further read all items.
const MAX_REMOVED: usize = 1_024;

/// Maximum size of a value that is sent with the changes, in bytes; of larger ones, peers are sent only the key and the
/// revision. The link of a small instance takes a second for a configuration of one megabyte, and several of its
/// neighbours ask for it at once; the link of the store is a hundred times as wide. A configuration with the keys of a
/// hundred workspaces is small enough to be sent.
const MAX_INLINE_BYTES: usize = 48 * 1024;

/// Maximum size of a page, in bytes of keys and values: a small instance sends it in a fifth of a second.
const MAX_PAGE_BYTES: usize = 512 * 1024;

/// An item, and since when it is as it is.
#[derive(Debug, Clone)]
struct Known {
    item: Item,
    /// Its revision. A restoration of the store does not change that of an item that it leaves as it was: then the item's own
    /// revision is of a later epoch.
    since: Revision,
}

#[derive(Debug)]
struct State {
    sync: SyncState,
    items: BTreeMap<String, Known>,
    /// Keys of `items`, by [`Known::since`]. Finds the changes after a revision without a full scan.
    revisions: BTreeSet<(Revision, String)>,
    /// Removals, by revision.
    removed: BTreeSet<(Revision, String)>,
    /// All removals after this revision are kept.
    compact_revision: Revision,
    /// The last revision that was read of each earlier epoch of the store.
    epoch_ends: BTreeMap<u64, u64>,
}

/// A replica of the items of the store that all instances share. Cheap to clone; stays on one thread.
#[derive(Debug, Clone)]
pub struct StoreReplica(Rc<RefCell<State>>);

impl Default for StoreReplica {
    fn default() -> StoreReplica {
        StoreReplica::new()
    }
}

impl StoreReplica {
    /// An empty replica.
    pub fn new() -> StoreReplica {
        StoreReplica(Rc::new(RefCell::new(State {
            sync: SyncState::new(rand::random()),
            items: BTreeMap::new(),
            revisions: BTreeSet::new(),
            removed: BTreeSet::new(),
            compact_revision: Revision::ZERO,
            epoch_ends: BTreeMap::new(),
        })))
    }

    /// The revision up to which all changes were read.
    pub fn revision(&self) -> Revision {
        self.0.borrow().sync.revision()
    }

    /// Whether to watch the store or to rely on peers, see [`SyncState::watch_action`].
    pub fn watch_action(&self, rank: FleetRank, limit: watchers::ApplyLimit, now: Time) -> WatchAction {
        self.0.borrow().sync.watch_action(rank, limit, now)
    }

    /// How long a watch waits that is sent now, see [`SyncState::watch_wait`].
    pub fn watch_wait(&self, limit: watchers::ApplyLimit, now: Time, wait: Duration) -> Duration {
        self.0.borrow().sync.watch_wait(limit, now, wait)
    }

    /// The status to send to peers, see [`SyncState::sync_status`].
    pub fn sync_status(&self, now: Time) -> Option<ConfirmedStatus> {
        self.0.borrow().sync.sync_status(now)
    }

    /// Time since the last confirmation that the replica is up to date; `None` if the store never gave one.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.0.borrow().sync.age(now)
    }

    /// When the store came back after an outage, see [`SyncState::outage_end`].
    pub fn outage_end(&self, latest: Time, min_outage: Duration) -> Option<Time> {
        self.0.borrow().sync.outage_end(latest, min_outage)
    }

    /// Handles a status sent by a peer. Returns whether the peer has a higher revision.
    pub fn on_peer_status(&self, now: Time, status: ConfirmedStatus) -> bool {
        self.0.borrow_mut().sync.on_peer_status(now, status)
    }

    /// Notes that this instance runs, see [`SyncState::on_tick`].
    pub fn on_tick(&self, now: Time) -> Option<Duration> {
        self.0.borrow_mut().sync.on_tick(now)
    }

    /// Keys of the items.
    pub fn keys(&self) -> BTreeSet<String> {
        self.0.borrow().items.keys().cloned().collect()
    }

    /// Replaces the replica by all `items` of the store as of `revision`, unless it has a higher revision already.
    pub fn on_snapshot(&self, keys: &StoreKeys, revision: Revision, items: &[Item]) {
        let mut state = self.0.borrow_mut();
        if revision < state.sync.revision() {
            return;
        }
        state.end_epoch(revision.epoch);
        let shared = items.iter().filter(|item| is_replicated(keys, &item.key));
        let shared = shared.map(|item| (item.key.clone(), state.to_known(item)));
        let shared = shared.collect();
        let before = std::mem::replace(&mut state.items, shared);
        state.revisions = state
            .items
            .iter()
            .map(|(key, known)| (known.since, key.clone()))
            .collect();
        if state.sync.revision().is_zero() {
            state.compact_revision = revision;
        }
        // Items that are missing were removed since the previous snapshot: peers that lag are sent just these removals.
        let removed: Vec<String> = before
            .into_keys()
            .filter(|key| !state.items.contains_key(key))
            .collect();
        removed.iter().for_each(|key| state.remove(key, revision));
    }

    /// Applies a change.
    pub fn on_change(&self, keys: &StoreKeys, change: &Change) {
        let mut state = self.0.borrow_mut();
        match change {
            Change::Put(item) if is_replicated(keys, &item.key) => {
                state.insert(item.clone());
            }
            Change::Put(_) => {}
            Change::Removed { key, revision } if is_replicated(keys, key) => state.remove(key, *revision),
            Change::Removed { .. } => {}
        }
    }

    /// Notes that an answer of the store was applied, see [`SyncState::on_store_answer`].
    pub fn on_store_answer(&self, now: Time, sent: Time, wait: Duration, revision: Revision) {
        self.0
            .borrow_mut()
            .sync
            .on_store_answer(now, sent, wait, revision);
    }

    /// Notes that an answer of the store, or a watch that ended without a change, proves that all changes up to `until`
    /// are known.
    pub fn on_proof(&self, until: Time) {
        self.0.borrow_mut().sync.on_proof(until);
    }

    /// Handles a peer's answer to a request for a proof sent at `asked`. Returns whether the peer has a higher
    /// revision.
    pub fn on_peer_proof(&self, asked: Time, status: SyncStatus) -> bool {
        self.0.borrow_mut().sync.on_peer_proof(asked, status)
    }

    /// Time since the last proof that all changes were read; `None` without one.
    pub fn proof_age(&self, now: Time) -> Option<Duration> {
        self.0.borrow().sync.proof_age(now)
    }

    /// The answer to a peer that asks for a proof.
    pub fn proof_status(&self, now: Time) -> Option<SyncStatus> {
        self.0.borrow().sync.proof_status(now)
    }

    /// Peers to ask for a newer proof, if a proof may be `limit` old.
    pub fn proof_peers(&self, limit: Duration, now: Time) -> ProofPeers {
        self.0.borrow().sync.proof_peers(limit, now)
    }

    /// When to ask the store itself for a proof, if a proof may be `limit` old and peers have given none in time.
    pub fn store_proof_due(&self, rank: FleetRank, limit: Duration) -> Time {
        self.0.borrow().sync.store_proof_due(rank, limit)
    }

    /// Notes that the changes of a peer, requested at `asked`, were applied: everything up to its status.
    pub fn on_peer_changes(&self, asked: Time, status: ConfirmedStatus) {
        let mut state = self.0.borrow_mut();
        state.end_epoch(status.status.revision.epoch);
        state.sync.on_peer_changes(asked, status);
    }

    /// The item with this key, if there is one.
    pub fn item(&self, key: &str) -> Option<Item> {
        self.0.borrow().items.get(key).map(|known| known.item.clone())
    }

    /// Returns the page of items that follow the key `after`, for a peer that reads all items.
    ///
    /// Guards against an answer that exceeds the frame limit, as with ten thousand engines, so that a starting peer
    /// gets nothing.
    pub fn page(&self, now: Time, after: &str) -> StorePage {
        let state = self.0.borrow();
        let mut remaining = MAX_PAGE_BYTES;
        let mut items = Vec::new();
        let mut more = false;
        for (key, Known { item, .. }) in state
            .items
            .range::<str, _>((Bound::Excluded(after), Bound::Unbounded))
        {
            let size = key.len() + item.value.len();
            if size > remaining && !items.is_empty() {
                more = true;
                break;
            }
            remaining = remaining.saturating_sub(size);
            items.push(to_message(item));
        }
        let (age, confirmation) = state.age(now);
        StorePage {
            revision: state.sync.revision(),
            age,
            confirmation,
            items,
            more,
        }
    }

    /// Returns the changes after `revision`, for a peer that has read the store up to there; `None` if older removals
    /// than those kept are needed, or if the peer knows more of an earlier epoch of the store than this instance did.
    pub fn changes_since(&self, now: Time, revision: Revision) -> Option<StoreChanges> {
        let state = self.0.borrow();
        if revision < state.compact_revision || !state.includes(revision) {
            return None;
        }
        let changed = state.revisions.range((revision.next(), String::new())..);
        let changed: Vec<&Known> = changed.filter_map(|(_, key)| state.items.get(key)).collect();
        // A truncated answer must not confirm that the peer is up to date.
        let (last, (age, confirmation)) = match truncation_revision(&changed) {
            Some(last) => (last, (u32::MAX, ConfirmationId::default())),
            None => (state.sync.revision(), state.age(now)),
        };
        let changed = changed.into_iter().filter(|known| known.since <= last);
        let changed = changed.map(|known| &known.item);
        let (large, small): (Vec<&Item>, Vec<&Item>) =
            changed.partition(|item| item.value.len() > MAX_INLINE_BYTES);
        let removed = state.removed.range((revision.next(), String::new())..);
        let removed = removed.take_while(|(at, _)| *at <= last);
        Some(StoreChanges {
            revision: last,
            age,
            confirmation,
            items: small.into_iter().map(to_message).collect(),
            removed: removed.cloned().collect(),
            large: large
                .into_iter()
                .map(|item| (item.revision, item.key.clone()))
                .collect(),
        })
    }
}

/// Returns the last revision whose changes fit into one answer, or `None` if all of `changed` fit. `changed` must be
/// sorted by revision.
fn truncation_revision(changed: &[&Known]) -> Option<Revision> {
    let mut remaining = MAX_PAGE_BYTES;
    for pair in changed.windows(2) {
        let item = &pair[0].item;
        remaining = remaining.saturating_sub(item.key.len() + item.value.len().min(MAX_INLINE_BYTES));
        if remaining == 0 && pair[0].since < pair[1].since {
            return Some(pair[0].since);
        }
    }
    None
}

impl State {
    /// Time since the last confirmation, as carried in messages, and the ID of that confirmation. The time is in
    /// milliseconds; `u32::MAX` if the store never gave one.
    fn age(&self, now: Time) -> (u32, ConfirmationId) {
        let status = self.sync.sync_status(now);
        status.map_or((u32::MAX, ConfirmationId::default()), |s| {
            (s.status.age_millis(), s.confirmation)
        })
    }

    /// Whether this replica has contained everything that a peer knows up to `revision`.
    fn includes(&self, revision: Revision) -> bool {
        let is_current = revision.epoch == self.sync.revision().epoch;
        let end = self.epoch_ends.get(&revision.epoch);
        is_current || end.is_some_and(|end| revision.number <= *end)
    }

    /// Notes that what is applied next is of `epoch`. Items that a restoration of the store left as they were now count as read
    /// in that epoch.
    fn end_epoch(&mut self, epoch: u64) {
        let known = self.sync.revision();
        if epoch <= known.epoch || known.is_zero() {
            return;
        }
        self.epoch_ends.insert(known.epoch, known.number);
        for known in self.items.values_mut() {
            known.item.revision.epoch = epoch;
            known.item.created.epoch = epoch;
        }
    }

    /// An item of a snapshot; if it is known already, it counts as unchanged.
    fn to_known(&self, item: &Item) -> Known {
        let before = self.items.get(&item.key).filter(|known| known.item == *item);
        Known {
            item: item.clone(),
            since: before.map_or(item.revision, |known| known.since),
        }
    }

    fn insert(&mut self, item: Item) {
        let key = item.key.clone();
        let since = item.revision;
        let before = self.items.insert(key.clone(), Known { item, since });
        if let Some(before) = before {
            self.revisions.remove(&(before.since, key.clone()));
        }
        self.revisions.insert((since, key));
    }

    fn remove(&mut self, key: &str, revision: Revision) {
        if let Some(known) = self.items.remove(key) {
            self.revisions.remove(&(known.since, known.item.key));
        }
        self.removed.insert((revision, key.to_string()));
        while self.removed.len() > MAX_REMOVED
            && let Some((oldest, _)) = self.removed.pop_first()
        {
            self.compact_revision = self.compact_revision.max(oldest);
        }
    }
}

fn to_message(item: &Item) -> StoreItem {
    StoreItem {
        key: item.key.clone(),
        value: item.value.to_vec(),
        revision: item.revision,
        created: item.created,
    }
}

/// Converts an item that a peer sent.
pub fn from_message(message: StoreItem) -> Item {
    Item {
        key: message.key,
        value: Bytes::from(message.value),
        revision: message.revision,
        created: message.created,
    }
}

fn is_replicated(keys: &StoreKeys, key: &str) -> bool {
    let prefixes = [&keys.engines, &keys.orders, &keys.instances, &keys.crashes];
    let single = [&keys.config, &keys.leader, &keys.versions];
    single.iter().any(|name| *name == key) || prefixes.iter().any(|prefix| key.starts_with(prefix.as_str()))
}
