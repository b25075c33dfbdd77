//! Keys, leases and lists in memory.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use sequoiastream_core::name::Name;
use sequoiastream_kv::ListEntry;

/// A stored value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Version of the key.
    pub version: u64,
    /// The value in base64; `None` for a key that was removed.
    pub value: Option<String>,
    /// The lease it is bound to.
    pub lease: Option<u64>,
}

/// How a write ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Put {
    /// Written with this version.
    Done(u64),
    /// The key has another version.
    Conflict(Stored),
    /// The lease has lapsed.
    NoLease,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    renewed: Instant,
}

/// The key-value service and the lists.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Lease>,
    lists: BTreeMap<String, BTreeMap<Name, ListEntry>>,
}

impl Store {
    /// The key's value and version; version 0 if it never existed.
    pub fn get(&self, key: &str) -> Stored {
        self.keys.get(key).cloned().unwrap_or(Stored {
            version: 0,
            value: None,
            lease: None,
        })
    }

    /// Writes if the key has version `expect`, 0 standing for an absent key.
    pub fn put(&mut self, key: &str, expect: u64, value: String, lease: Option<u64>) -> Put {
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Put::NoLease;
        }
        let current = self.get(key);
        let matches = match current.value {
            Some(_) => current.version == expect,
            None => expect == 0,
        };
        if !matches {
            return Put::Conflict(current);
        }
        self.revision += 1;
        let stored = Stored {
            version: self.revision,
            value: Some(value),
            lease,
        };
        self.keys.insert(key.to_string(), stored);
        Put::Done(self.revision)
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.revision += 1;
        self.leases.insert(self.revision, Lease { ttl, renewed: now });
        self.revision
    }

    /// Renews a lease; `false` if it has lapsed.
    pub fn renew(&mut self, id: u64, now: Instant) -> bool {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.renewed = now;
                true
            }
            None => false,
        }
    }

    /// Ends a lease and removes the keys bound to it.
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

    /// Ends the leases that lapsed; `true` if there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let lapsed = self.leases.iter().filter(|(_, l)| now >= l.renewed + l.ttl);
        let lapsed: Vec<u64> = lapsed.map(|(id, _)| *id).collect();
        for id in &lapsed {
            self.release(*id);
        }
        !lapsed.is_empty()
    }

    /// Sets an entry of the list `kind`.
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

    /// The list `kind` in the order of names.
    pub fn list(&self, kind: &str) -> Vec<ListEntry> {
        self.lists
            .get(kind)
            .map(|list| list.values().cloned().collect())
            .unwrap_or_default()
    }
}
