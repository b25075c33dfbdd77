//! What an instance knows of the others: where they listen, and who owns which claims.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;

use arc_swap::ArcSwap;
use sequoiastream_core::claims::Owners;
use sequoiastream_core::name::Name;
use sequoiastream_platform::Listed;
use sequoiastream_platform::ListedState;

/// The other instances, as the platform's list shows them.
#[derive(Debug, Default)]
pub struct Peers {
    addresses: ArcSwap<BTreeMap<Name, SocketAddr>>,
    owners: Mutex<Owners>,
}

impl Peers {
    /// Takes a new list; returns how many live instances it shows.
    pub fn set_listed(&self, listed: &[Listed]) -> i64 {
        let live = listed.iter().filter(|l| l.state == ListedState::Live);
        let addresses: BTreeMap<Name, SocketAddr> =
            live.filter_map(|l| Some((l.name.clone(), l.peer?))).collect();
        self.owners().set_listed(addresses.keys().cloned().collect());
        let count = i64::try_from(addresses.len()).unwrap_or(i64::MAX);
        self.addresses.store(addresses.into());
        count
    }

    /// Where `name` listens for other instances.
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        self.addresses.load().get(name).copied()
    }

    /// Who owns the claims. Held for one decision, never across an await.
    pub fn owners(&self) -> MutexGuard<'_, Owners> {
        self.owners
            .lock()
            .expect("no thread panics while it holds the owners")
    }
}
