//! Comparing this instance's wall clock with those of others.

use std::collections::BTreeMap;

use crate::claims::window::clocks_agree;
use crate::name::Name;
use crate::time::WallTime;

/// What other instances' clocks said of this one's.
///
/// Failure guarded against: an instance begins with a wall clock that is hours behind, takes an old key for a
/// recent one, and as its own owner finds that the claim is long gone: the order runs a second time. Such a
/// clock runs steadily, so nothing within the process shows it. Most of the others disagree with it, and then
/// its judgement of keys isn't trusted. Two instances that disagree can't tell which is wrong: neither is.
#[derive(Debug, Clone, Default)]
pub struct ClockWatch {
    agreed: BTreeMap<Name, bool>,
}

impl ClockWatch {
    /// Takes the time that `peer` said, `own` being the time here.
    pub fn on_time(&mut self, peer: &Name, own: WallTime, theirs: WallTime) {
        self.agreed.insert(peer.clone(), clocks_agree(own, theirs));
    }

    /// Forgets instances that are gone.
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.agreed.retain(|name, _| known(name));
    }

    /// The one of `peers` to ask next: one that was never asked, else the one after `last`.
    pub fn next<'a>(&self, peers: &'a [Name], last: Option<&Name>) -> Option<&'a Name> {
        let unasked = peers.iter().find(|name| !self.agreed.contains_key(*name));
        let later = peers.iter().find(|name| last.is_some_and(|last| *name > last));
        unasked.or(later).or(peers.first())
    }

    /// Whether no more instances disagree than clocks_agree.
    pub fn is_trusted(&self) -> bool {
        let agreed = self.agreed.values().filter(|agreed| **agreed).count();
        agreed * 2 >= self.agreed.len()
    }
}
