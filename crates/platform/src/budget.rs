//! Counting of calls, since the platform counts each call and its rates grow more slowly than the fleet.

use std::cell::RefCell;
use std::collections::BTreeMap;

/// Kinds of calls, as the platform counts them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Reading a key.
    Read,
    /// Writing a key.
    Write,
    /// Waiting for a key to change; one call for as long as it waits.
    Watch,
    /// Granting, renewing or releasing a lease.
    Lease,
    /// Reading the list of machines.
    List,
    /// Reading from the weight store.
    Weights,
}

impl CallKind {
    /// The kind as a label of metrics.
    pub fn label(self) -> &'static str {
        match self {
            CallKind::Read => "read",
            CallKind::Write => "write",
            CallKind::Watch => "watch",
            CallKind::Lease => "lease",
            CallKind::List => "list",
            CallKind::Weights => "weights",
        }
    }
}

/// Calls made since the start of the process, by kind.
#[derive(Debug, Default)]
pub struct CallStats {
    calls: RefCell<BTreeMap<CallKind, u64>>,
}

impl CallStats {
    /// Counts one call.
    pub fn count(&self, kind: CallKind) {
        *self.calls.borrow_mut().entry(kind).or_default() += 1;
    }

    /// Calls of `kind` since the start.
    pub fn of(&self, kind: CallKind) -> u64 {
        self.calls.borrow().get(&kind).copied().unwrap_or_default()
    }
}
