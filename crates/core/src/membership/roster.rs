//! What this instance knows of the others, published whole.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::config::Version;
use crate::membership::MemberState;
use crate::membership::Standing;
use crate::name::Name;
use crate::time::Time;

/// Another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other instances connect.
    pub peer_address: SocketAddr,
    /// Whether it stays.
    pub state: MemberState,
    /// Whether it was heard of within the silent limit.
    pub heard: bool,
    /// The configuration last known to be in force there.
    pub version: Version,
}

impl Peer {
    /// Whether callers may be sent there: it is heard of, stays, and has a configuration.
    pub fn accepts_work(&self) -> bool {
        self.heard && self.state == MemberState::Live && self.version > Version::default()
    }
}

/// The instances as this one sees them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Roster {
    /// This instance; `None` before the first look around.
    pub local: Option<Peer>,
    /// The others, in the order of their names.
    pub peers: Vec<Peer>,
    /// Upstreams that leave, by address.
    pub leaving: BTreeSet<SocketAddr>,
    /// Whether this instance may take new work.
    pub standing: Standing,
    /// When this was judged; each tick judges anew.
    pub evaluated_at: Time,
}

impl Roster {
    /// Peers on which `version` is known to be in force.
    pub fn count_with(&self, version: Version) -> usize {
        self.peers.iter().filter(|p| p.version >= version).count()
    }

    /// Peers that were heard of lately and don't have `version` in force, as far as is known.
    pub fn count_without(&self, version: Version) -> usize {
        let reachable = self.peers.iter().filter(|p| p.heard);
        reachable.filter(|p| p.version < version).count()
    }
}
