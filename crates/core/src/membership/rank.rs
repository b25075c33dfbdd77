//! The order in which a caller should use the addresses of instances.

use std::net::SocketAddr;

use crate::membership::Peer;
use crate::name::Name;

/// The caller that addresses are ranked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller<'a> {
    /// Availability zone to prefer.
    pub zone: &'a Name,
    /// The product.
    pub product: &'a Name,
    /// The caller's name for its conversation; requests of one conversation share a prompt prefix.
    pub conversation: &'a str,
}

/// Returns the addresses of those `peers` that callers may be sent to, best first: those in the caller's zone, then
/// the others, each group ordered by a hash of product, conversation and instance (rendezvous hashing). When an
/// instance leaves, only its own conversations move.
pub fn rank<'a, I>(peers: I, caller: &Caller<'_>) -> Vec<SocketAddr>
where
    I: IntoIterator<Item = &'a Peer>,
{
    let open = peers.into_iter().filter(|peer| peer.accepts_work());
    let mut ranked: Vec<(bool, u64, SocketAddr)> = open
        .map(|peer| (peer.zone == *caller.zone, score(&peer.name, caller), peer.address))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, _, address)| address).collect()
}

fn score(instance: &Name, caller: &Caller<'_>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in [caller.product.as_str(), caller.conversation, instance.as_str()] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let hash = hasher.finalize();
    let (first, _) = hash
        .as_bytes()
        .split_first_chunk::<8>()
        .expect("a hash has 32 bytes");
    u64::from_be_bytes(*first)
}
