//! What this instance knows of the store, kept for peers that don't ask it themselves.
//!
//! Failures guarded against: hundreds of instances ask the store for each change; the store turns some instances away and
//! serves the others, and those that are turned away would send work to engines that have left, by routes that are no
//! longer in force. They ask a peer that is further ahead instead; it answers with what they lack.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream_core::relay::watchers;
use sequoiastream_core::relay::watchers::FleetRank;
use sequoiastream_core::relay::watchers::ProofPeers;
use sequoiastream_core::relay::watchers::SyncState;
use sequoiastream_core::relay::watchers::SyncStatus;
use sequoiastream_core::relay::watchers::WatchAction;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Change;
use sequoiastream_kv::store::Item;
use sequoiastream_peer::message::StoreItem;
use sequoiastream_peer::message::StoreNews;
use sequoiastream_peer::message::StorePage;

use crate::ops::relay::edge::StoreKeys;

/// Removals that are kept for peers that lag; beyond, they are told everything.
const MAX_REMOVED: usize = 1_024;

/// Largest value that is told with the news, in bytes. The link of a small instance takes a second for a configuration of
/// a megabyte, and some of its neighbours ask for it at once; the store's is a hundred times as wide. A configuration with
/// the keys of a hundred workspaces is told.
const MAX_TOLD: usize = 48 * 1024;

/// Maximum size of a page, in bytes of keys and values: a small instance sends it in a fifth of a second.
const MAX_PAGE_BYTES: usize = 512 * 1024;

#[derive(Debug, Default)]
struct State {
    reach: SyncState,
    items: BTreeMap<String, Item>,
    /// Keys of `items`, by revision. Finds the changes after a revision without a full scan.
    revisions: BTreeSet<(u64, String)>,
    /// Removals, by revision.
    removed: BTreeSet<(u64, String)>,
    /// All removals after this revision are known.
    horizon: u64,
}

/// What is known; cheap to clone, stays on one thread.
#[derive(Debug, Clone, Default)]
pub struct Known(Rc<RefCell<State>>);

impl Known {
    /// Nothing.
    pub fn new() -> Known {
        Known::default()
    }

    /// Up to which revision.
    pub fn revision(&self) -> u64 {
        self.0.borrow().reach.revision()
    }

    /// Whether to watch the store or to listen to the peers.
    pub fn duty(&self, seat: FleetRank, bound: watchers::ApplyLimit, now: Time) -> WatchAction {
        self.0.borrow().reach.watch_action(seat, bound, now)
    }

    /// What the peers are told of it.
    pub fn word(&self, now: Time) -> Option<SyncStatus> {
        self.0.borrow().reach.sync_status(now)
    }

    /// When the store last confirmed it.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.0.borrow().reach.age(now)
    }

    /// Takes the word of a peer; whether the peer knows more.
    pub fn on_word(&self, now: Time, word: SyncStatus) -> bool {
        self.0.borrow_mut().reach.on_peer_status(now, word)
    }

    /// Notes that this instance runs.
    pub fn on_tick(&self, now: Time) {
        self.0.borrow_mut().reach.on_tick(now);
    }

    /// Takes all items as of `revision`, unless more is known already.
    pub fn on_all(&self, keys: &StoreKeys, revision: u64, items: &[Item]) {
        let mut state = self.0.borrow_mut();
        if revision < state.reach.revision() {
            return;
        }
        let kept = items.iter().filter(|item| is_shared(keys, &item.key));
        let kept = kept.map(|item| (item.key.clone(), item.clone())).collect();
        let before = std::mem::replace(&mut state.items, kept);
        state.revisions = state
            .items
            .values()
            .map(|item| (item.revision, item.key.clone()))
            .collect();
        if state.reach.revision() == 0 {
            state.horizon = revision;
        }
        // What is no longer there went since the last answer: peers that lag are told just that.
        let gone: Vec<String> = before
            .into_keys()
            .filter(|key| !state.items.contains_key(key))
            .collect();
        gone.iter().for_each(|key| state.remove(key, revision));
    }

    /// Takes a change.
    pub fn on_change(&self, keys: &StoreKeys, change: &Change) {
        let mut state = self.0.borrow_mut();
        match change {
            Change::Put(item) if is_shared(keys, &item.key) => {
                state.insert(item.clone());
            }
            Change::Put(_) => {}
            Change::Removed { key, revision } if is_shared(keys, key) => state.remove(key, *revision),
            Change::Removed { .. } => {}
        }
    }

    /// Notes that the store's answer was taken in, see [`SyncState::on_store_answer`].
    pub fn on_answer(&self, now: Time, sent: Time, wait: Duration, revision: u64) {
        self.0
            .borrow_mut()
            .reach
            .on_store_answer(now, sent, wait, revision);
    }

    /// Notes what an answer of the store, or a watch that ended quietly, proves.
    pub fn on_proof(&self, until: Time) {
        self.0.borrow_mut().reach.on_proof(until);
    }

    /// Takes what a peer answered to a question that left at `asked`; whether the peer knows more.
    pub fn on_peer_proof(&self, asked: Time, word: SyncStatus) -> bool {
        self.0.borrow_mut().reach.on_peer_proof(asked, word)
    }

    /// How long ago everything is known up to, by proof.
    pub fn proof_age(&self, now: Time) -> Option<Duration> {
        self.0.borrow().reach.proof_age(now)
    }

    /// What a peer that asks for a proof is answered.
    pub fn proof_word(&self, now: Time) -> Option<SyncStatus> {
        self.0.borrow().reach.proof_status(now)
    }

    /// Whom to ask for a newer proof.
    pub fn asks(&self, limit: Duration, now: Time) -> ProofPeers {
        self.0.borrow().reach.proof_peers(limit, now)
    }

    /// When to ask the store itself for a proof.
    pub fn prove_at(&self, seat: FleetRank, limit: Duration) -> Time {
        self.0.borrow().reach.store_proof_due(seat, limit)
    }

    /// Notes that what a peer had was taken in.
    pub fn on_news(&self, now: Time, word: SyncStatus) {
        self.0.borrow_mut().reach.on_peer_changes(now, word);
    }

    /// The item under a key, if it is known.
    pub fn item(&self, key: &str) -> Option<Item> {
        self.0.borrow().items.get(key).cloned()
    }

    /// The page of items that follow the key `after`, for a peer that asks.
    ///
    /// Guards against an answer that exceeds the frame limit, as with ten thousand engines, so that a starting peer
    /// gets nothing.
    pub fn tell_page(&self, now: Time, after: &str) -> StorePage {
        let state = self.0.borrow();
        let mut remaining = MAX_PAGE_BYTES;
        let mut items = Vec::new();
        let mut more = false;
        for (key, item) in state
            .items
            .range::<str, _>((Bound::Excluded(after), Bound::Unbounded))
        {
            let size = key.len() + item.value.len();
            if size > remaining && !items.is_empty() {
                more = true;
                break;
            }
            remaining = remaining.saturating_sub(size);
            items.push(told(item));
        }
        StorePage {
            revision: state.reach.revision(),
            age: state.age(now),
            items,
            more,
        }
    }

    /// What happened after a revision, for a peer that knows the store up to there; `None` if that is no longer known.
    pub fn tell_since(&self, now: Time, revision: u64) -> Option<StoreNews> {
        let state = self.0.borrow();
        if revision < state.horizon {
            return None;
        }
        let changed = state.revisions.range((revision + 1, String::new())..);
        let changed: Vec<&Item> = changed.filter_map(|(_, key)| state.items.get(key)).collect();
        // A truncated answer must not confirm that the peer is up to date.
        let (last, age) = match truncation_revision(&changed) {
            Some(last) => (last, u32::MAX),
            None => (state.reach.revision(), state.age(now)),
        };
        let changed = changed.into_iter().filter(|item| item.revision <= last);
        let (large, small): (Vec<&Item>, Vec<&Item>) = changed.partition(|item| item.value.len() > MAX_TOLD);
        let later = state.removed.range((revision + 1, String::new())..);
        let later = later.take_while(|(at, _)| *at <= last);
        Some(StoreNews {
            revision: last,
            age,
            items: small.into_iter().map(told).collect(),
            removed: later.cloned().collect(),
            large: large
                .into_iter()
                .map(|item| (item.revision, item.key.clone()))
                .collect(),
        })
    }
}

/// The last revision that fits into one answer, or `None` if all of `changed` fits. `changed` must be sorted by revision.
fn truncation_revision(changed: &[&Item]) -> Option<u64> {
    let mut remaining = MAX_PAGE_BYTES;
    for pair in changed.windows(2) {
        remaining = remaining.saturating_sub(pair[0].key.len() + pair[0].value.len().min(MAX_TOLD));
        if remaining == 0 && pair[0].revision < pair[1].revision {
            return Some(pair[0].revision);
        }
    }
    None
}

impl State {
    /// The age as messages carry it; the longest if the store never confirmed anything.
    fn age(&self, now: Time) -> u32 {
        self.reach
            .sync_status(now)
            .map_or(u32::MAX, SyncStatus::age_millis)
    }

    fn insert(&mut self, item: Item) {
        self.revisions.insert((item.revision, item.key.clone()));
        let before = self.items.insert(item.key.clone(), item.clone());
        if let Some(before) = before.filter(|before| before.revision != item.revision) {
            self.revisions.remove(&(before.revision, before.key));
        }
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if let Some(item) = self.items.remove(key) {
            self.revisions.remove(&(item.revision, item.key));
        }
        self.removed.insert((revision, key.to_string()));
        while self.removed.len() > MAX_REMOVED
            && let Some((oldest, _)) = self.removed.pop_first()
        {
            self.horizon = self.horizon.max(oldest);
        }
    }
}

fn told(item: &Item) -> StoreItem {
    StoreItem {
        key: item.key.clone(),
        value: item.value.to_vec(),
        revision: item.revision,
        created: item.created,
    }
}

/// The item that a peer told of.
pub fn item(told: StoreItem) -> Item {
    Item {
        key: told.key,
        value: Bytes::from(told.value),
        revision: told.revision,
        created: told.created,
    }
}

fn is_shared(keys: &StoreKeys, key: &str) -> bool {
    let prefixes = [&keys.engines, &keys.orders, &keys.instances];
    key == keys.config || key == keys.leader || prefixes.iter().any(|prefix| key.starts_with(prefix.as_str()))
}
