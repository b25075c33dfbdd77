//! Logs what can't be read in the store, once for each key.
//!
//! Guards against a log full of one entry, which its writer renews every second.

use std::collections::BTreeSet;

use sequoiastream_core::log_event;
use sequoiastream_kv::store::UnreadableItem;

use crate::log_event;

/// Number of keys that are remembered; when there are more, some are logged again.
const MAX_KEYS: usize = 1_024;

/// Keys whose entries could not be read.
#[derive(Debug, Default)]
pub(super) struct UnreadableKeys(BTreeSet<String>);

impl UnreadableKeys {
    /// Logs the items of an answer that could not be read. Items whose key is unknown are logged as one.
    pub(super) fn on_items(&mut self, items: &[UnreadableItem]) {
        for item in items {
            let key = item.key.as_deref().unwrap_or_default();
            if self.is_new(key) {
                log_event!(warn, log_event::ENTRY_UNREADABLE, key, error = item.reason);
            }
        }
    }

    /// Notes that the entry under a key can't be read. Returns whether that is to be logged.
    pub(super) fn is_new(&mut self, key: &str) -> bool {
        if self.0.contains(key) {
            return false;
        }
        if self.0.len() >= MAX_KEYS {
            self.0.clear();
        }
        self.0.insert(key.to_string())
    }

    /// Notes that the entry under a key can be read, or was removed.
    pub(super) fn on_readable(&mut self, key: &str) {
        self.0.remove(key);
    }
}
