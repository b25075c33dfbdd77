//! A snapshot of what this instance knows about the others.

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
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Whether it is live or leaving.
    pub state: MemberState,
    /// Whether it was heard from, directly or through a peer, within the silence limit.
    pub heard: bool,
    /// The version of the configuration last known to be in force there.
    pub version: Version,
}

impl Peer {
    /// Whether callers may be sent there: it was heard from recently, is not leaving, and has a configuration.
    pub fn accepts_work(&self) -> bool {
        self.heard && self.state == MemberState::Live && self.version > Version::default()
    }
}

/// The instances as seen by this one.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Roster {
    /// This instance; `None` before the roster is first computed.
    pub local: Option<Peer>,
    /// The other instances, in the order of their names.
    pub peers: Vec<Peer>,
    /// Addresses of the upstreams that are leaving.
    pub leaving: BTreeSet<SocketAddr>,
    /// Whether this instance may take new work.
    pub standing: Standing,
    /// When the roster was computed; it is recomputed on each tick.
    pub evaluated_at: Time,
}

impl Roster {
    /// Number of peers that are known to have `version` or a later one in force.
    pub fn count_with(&self, version: Version) -> usize {
        self.peers.iter().filter(|p| p.version >= version).count()
    }

    /// Number of peers heard from recently that, as far as is known, have only a version older than `version` in
    /// force.
    pub fn count_without(&self, version: Version) -> usize {
        let reachable = self.peers.iter().filter(|p| p.heard);
        reachable.filter(|p| p.version < version).count()
    }
}
