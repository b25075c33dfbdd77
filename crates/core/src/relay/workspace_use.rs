//! What an instance tells its peers about the engine time that workspaces use through it.

use serde::Deserialize;
use serde::Serialize;

use crate::relay::hash::Hash;

/// Maximum number of entries in a message. Most engine time is used by few workspaces, and each entry has at most 11
/// bytes, so that a message is far below the maximum length of a datagram.
pub const MAX_ENTRIES: usize = 32;

/// Parts of an engine second per second in which use is sent.
const THOUSANDTHS: f64 = 1_000.0;

/// Hash of the name of a workspace or service. Two workspaces with the same hash would share a share; with a thousand
/// workspaces, the probability that there are two is one in eight thousand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NameHash(u32);

impl NameHash {
    /// The hash of `name`.
    pub fn of(name: &str) -> NameHash {
        // The high bits are mixed best.
        NameHash((Hash::new().with(name.as_bytes()).value() >> 32) as u32)
    }
}

/// Use of a service by the requests of one workspace that have the same priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseEntry {
    /// The workspace.
    pub workspace: NameHash,
    /// Priority of its requests; 0 is served first.
    pub priority: u8,
    /// Engine seconds per second, in thousandths.
    pub rate: u32,
}

impl UseEntry {
    /// An entry for `rate` engine seconds per second, rounded.
    pub fn new(workspace: NameHash, priority: u8, rate: f64) -> UseEntry {
        UseEntry {
            workspace,
            priority,
            // The conversion saturates.
            rate: (rate * THOUSANDTHS).round() as u32,
        }
    }

    /// Engine seconds per second.
    pub fn as_f64(&self) -> f64 {
        f64::from(self.rate) / THOUSANDTHS
    }
}

/// Use of a service whose capacity is short, through the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceUse {
    /// The service.
    pub service: NameHash,
    /// The largest uses.
    pub entries: Vec<UseEntry>,
}

impl WorkspaceUse {
    /// A message with the [`MAX_ENTRIES`] largest of `entries`.
    pub fn new(service: NameHash, mut entries: Vec<UseEntry>) -> WorkspaceUse {
        entries.sort_by_key(|entry| (std::cmp::Reverse(entry.rate), entry.workspace, entry.priority));
        entries.truncate(MAX_ENTRIES);
        WorkspaceUse { service, entries }
    }
}
