//! Compares this instance's wall clock with those of its peers.

use std::collections::BTreeMap;

use crate::claims::window::clocks_agree;
use crate::name::Name;
use crate::time::WallTime;

/// Records which peers' clocks agree with this instance's clock.
///
/// Failure guarded against: an instance starts with a wall clock that is hours behind, accepts an old key as recent,
/// and as the owner of its shard finds that the claim was deleted long ago: the request runs a second time. Such a
/// clock runs steadily, so nothing within the process reveals it. Most peers disagree with it, though, and then its
/// checks of keys are not trusted. Of two instances that disagree, neither can tell which clock is wrong, so neither
/// is trusted.
#[derive(Debug, Clone, Default)]
pub struct ClockWatch {
    agreed: BTreeMap<Name, bool>,
}

impl ClockWatch {
    /// Records the time that `peer` reported; `own` is the time of this instance.
    pub fn on_time(&mut self, peer: &Name, own: WallTime, theirs: WallTime) {
        self.agreed.insert(peer.clone(), clocks_agree(own, theirs));
    }

    /// Removes peers that `known` does not accept.
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.agreed.retain(|name, _| known(name));
    }

    /// Returns the one of `peers` to ask next: one that was never asked, else the one after `last`.
    pub fn next<'a>(&self, peers: &'a [Name], last: Option<&Name>) -> Option<&'a Name> {
        let unasked = peers.iter().find(|name| !self.agreed.contains_key(*name));
        let later = peers.iter().find(|name| last.is_some_and(|last| *name > last));
        unasked.or(later).or(peers.first())
    }

    /// Whether the peers that disagree do not outnumber those that agree.
    pub fn is_trusted(&self) -> bool {
        let agreed = self.agreed.values().filter(|agreed| **agreed).count();
        agreed * 2 >= self.agreed.len()
    }
}
