//! What an instance knows of the others: where they listen.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use arc_swap::ArcSwap;
use sequoiastream_core::name::Name;
use sequoiastream_platform::Listed;
use sequoiastream_platform::ListedState;

/// The instances, as the platform's list shows them.
#[derive(Debug, Default)]
pub struct Peers {
    addresses: ArcSwap<BTreeMap<Name, SocketAddr>>,
}

impl Peers {
    /// Takes a new list.
    pub fn set_listed(&self, listed: &[Listed]) {
        let live = listed.iter().filter(|l| l.state == ListedState::Live);
        let addresses: BTreeMap<Name, SocketAddr> =
            live.filter_map(|l| Some((l.name.clone(), l.peer?))).collect();
        self.addresses.store(addresses.into());
    }

    /// Where the instances other than `me` listen for each other.
    pub fn others(&self, me: &Name) -> Vec<SocketAddr> {
        let addresses = self.addresses.load();
        let others = addresses.iter().filter(|(name, _)| *name != me);
        others.map(|(_, address)| *address).collect()
    }
}
