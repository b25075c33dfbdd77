//! In-memory store of keys, leases and lists.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use sequoiastream_core::name::Name;
use sequoiastream_kv::ListEntry;

/// A stored value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Version of the key; 0 if the key never existed.
    pub version: u64,
    /// The value in base64; `None` if the key was removed or never existed.
    pub value: Option<String>,
    /// ID of the lease that the key is bound to.
    pub lease: Option<u64>,
}

/// Outcome of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// The value was written with this version.
    Written(u64),
    /// The key has another version than expected; holds the current value.
    Conflict(Stored),
    /// The lease has lapsed or was released.
    LeaseLapsed,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    renewed_at: Instant,
}

/// State of the key-value service and of the lists.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Lease>,
    lists: BTreeMap<String, BTreeMap<Name, ListEntry>>,
}

impl Store {
    /// The value and version of a key; version 0 if the key never existed.
    pub fn get(&self, key: &str) -> Stored {
        self.keys.get(key).cloned().unwrap_or(Stored {
            version: 0,
            value: None,
            lease: None,
        })
    }

    /// Writes a base64 value if the key has version `expect`; 0 means that the key must be absent.
    pub fn put(&mut self, key: &str, expect: u64, value: String, lease: Option<u64>) -> PutOutcome {
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return PutOutcome::LeaseLapsed;
        }
        let current = self.get(key);
        let matches = match current.value {
            Some(_) => current.version == expect,
            None => expect == 0,
        };
        if !matches {
            return PutOutcome::Conflict(current);
        }
        self.revision += 1;
        let stored = Stored {
            version: self.revision,
            value: Some(value),
            lease,
        };
        self.keys.insert(key.to_string(), stored);
        PutOutcome::Written(self.revision)
    }

    /// Grants a lease that lapses `ttl` after its last renewal; returns its ID.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.revision += 1;
        self.leases.insert(self.revision, Lease { ttl, renewed_at: now });
        self.revision
    }

    /// Renews a lease; `false` if it has lapsed or was released.
    pub fn renew(&mut self, id: u64, now: Instant) -> bool {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.renewed_at = now;
                true
            }
            None => false,
        }
    }

    /// Releases a lease and removes the keys bound to it.
    pub fn release(&mut self, id: u64) {
        self.leases.remove(&id);
        for stored in self.keys.values_mut().filter(|s| s.lease == Some(id)) {
            self.revision += 1;
            *stored = Stored {
                version: self.revision,
                value: None,
                lease: None,
            };
        }
    }

    /// Releases the leases that have lapsed; `true` if there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let lapsed = self.leases.iter().filter(|(_, l)| now >= l.renewed_at + l.ttl);
        let lapsed: Vec<u64> = lapsed.map(|(id, _)| *id).collect();
        for id in &lapsed {
            self.release(*id);
        }
        !lapsed.is_empty()
    }

    /// Adds or replaces an entry of the list `kind`.
    pub fn set_listed(&mut self, kind: &str, listed: ListEntry) {
        let list = self.lists.entry(kind.to_string()).or_default();
        list.insert(listed.name.clone(), listed);
    }

    /// Removes an entry of the list `kind`.
    pub fn remove_listed(&mut self, kind: &str, name: &Name) {
        if let Some(list) = self.lists.get_mut(kind) {
            list.remove(name);
        }
    }

    /// The entries of the list `kind`, sorted by name.
    pub fn list(&self, kind: &str) -> Vec<ListEntry> {
        self.lists
            .get(kind)
            .map(|list| list.values().cloned().collect())
            .unwrap_or_default()
    }
}
