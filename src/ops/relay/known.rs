//! What this instance knows of the store, kept for peers that can't reach it.
//!
//! Failure guarded against: the store turns some instances away and serves the others. Those that are turned away would
//! send work to engines that have left, by routes that are no longer in force, until they are let in again. They ask a
//! peer that is further ahead instead; it answers with what it knows.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use sequoiastream_kv::store::Change;
use sequoiastream_kv::store::Item;
use sequoiastream_peer::message::StoreItem;
use sequoiastream_peer::message::StoreState;

use crate::ops::relay::edge::Keys;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
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
        self.0.borrow().revision
    }

    /// Takes all items as of `revision`, unless more is known already.
    pub fn on_all(&self, keys: &Keys, revision: u64, items: &[Item]) {
        let mut state = self.0.borrow_mut();
        if revision < state.revision {
            return;
        }
        let kept = items.iter().filter(|item| is_shared(keys, &item.key));
        state.items = kept.map(|item| (item.key.clone(), item.clone())).collect();
        state.revision = revision;
    }

    /// Takes a change.
    pub fn on_change(&self, keys: &Keys, change: &Change) {
        let mut state = self.0.borrow_mut();
        match change {
            Change::Put(item) if is_shared(keys, &item.key) => {
                state.items.insert(item.key.clone(), item.clone());
            }
            Change::Put(_) => {}
            Change::Removed { key, .. } => {
                state.items.remove(key);
            }
        }
    }

    /// Notes that all changes up to `revision` were taken.
    pub fn on_revision(&self, revision: u64) {
        let mut state = self.0.borrow_mut();
        state.revision = state.revision.max(revision);
    }

    /// What a peer that asks is told.
    pub fn tell(&self) -> StoreState {
        let state = self.0.borrow();
        let items = state.items.values().map(|item| StoreItem {
            key: item.key.clone(),
            value: item.value.to_vec(),
            revision: item.revision,
            created: item.created,
        });
        StoreState {
            revision: state.revision,
            items: items.collect(),
        }
    }
}

/// The items that a peer told of.
pub fn items(told: StoreState) -> Vec<Item> {
    let items = told.items.into_iter().map(|item| Item {
        key: item.key,
        value: Bytes::from(item.value),
        revision: item.revision,
        created: item.created,
    });
    items.collect()
}

fn is_shared(keys: &Keys, key: &str) -> bool {
    let prefixes = [&keys.engines, &keys.orders, &keys.own];
    key == keys.config || prefixes.iter().any(|prefix| key.starts_with(prefix.as_str()))
}
