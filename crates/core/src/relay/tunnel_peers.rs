//! Selects the peers that are asked for a tunnel to an engine.

use std::net::IpAddr;
use std::net::SocketAddr;

use crate::name::Name;
use crate::relay::hash::Hash;
use crate::relay::hash::hash_pair;

/// Maximum number of peers that are asked for one tunnel: tolerates one crashed peer and bounds how long a request
/// waits for an engine that no peer reaches.
pub const MAX_TUNNEL_PEERS: usize = 2;

/// A peer that may open tunnels.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TunnelPeer {
    /// Its availability zone.
    pub zone: Name,
    /// Its address for other instances.
    pub address: SocketAddr,
    /// Whether it reported that it has lost its direct links to the engines.
    pub detached: bool,
}

/// The peers to ask for a tunnel to an engine in `zone`, in this order: those of the zone first. A detached peer is
/// never asked: its own connections would need a tunnel.
///
/// Guards against an instance that overloads a single peer with the tunnels of all its requests. `draw` is a random
/// number that orders peers of equal preference.
pub fn choose(peers: &[TunnelPeer], zone: &str, draw: u64) -> Vec<SocketAddr> {
    let usable = peers.iter().filter(|peer| !peer.detached);
    let rank = |peer: &TunnelPeer| {
        let is_remote = peer.zone.as_str() != zone;
        (is_remote, hash_pair(draw, address_hash(peer.address)))
    };
    let mut ranked: Vec<_> = usable.map(|peer| (rank(peer), peer.address)).collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .take(MAX_TUNNEL_PEERS)
        .map(|(_, address)| address)
        .collect()
}

/// Hash of an address.
pub(crate) fn address_hash(address: SocketAddr) -> u64 {
    let hash = match address.ip() {
        IpAddr::V4(ip) => Hash::new().with(&ip.octets()),
        IpAddr::V6(ip) => Hash::new().with(&ip.octets()),
    };
    hash.with(&address.port().to_be_bytes()).value()
}
