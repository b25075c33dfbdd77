//! Which addresses a caller is told.
//!
//! A caller takes a bounded number of addresses, picks among them at random, and drops its connections to those that a
//! later answer doesn't name. So of a larger fleet each zone's callers are told a part that stays the same while the
//! fleet does: the instances of their own zone, of a large zone a part that differs from caller to caller, and others by
//! what these can carry.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::name::Name;
use crate::relay::hash::Hash;

/// An instance that callers may be sent to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entrance {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// What it can carry, in thousandths of a core; 0 if it doesn't say.
    pub capacity: u32,
}

/// The addresses for `caller` in `zone`, which takes `most` of them, in the order of the addresses.
///
/// Failure guarded against: callers take the first so many of a longer list. All of them go to the same few instances, of
/// one or two zones, while the others stand idle.
pub fn choose(entrances: &[Entrance], zone: Option<&str>, caller: &str, most: usize) -> Vec<SocketAddr> {
    if entrances.len() <= most {
        return entrances.iter().map(|e| e.address).collect();
    }
    let zone = zone.unwrap_or_default();
    let mut zones: BTreeSet<&str> = entrances.iter().map(|e| e.zone.as_str()).collect();
    zones.insert(zone);
    let is_far = |e: &Entrance| e.zone.as_str() != zone;
    let rank = |e: &Entrance| match is_far(e) {
        true => far(e, zone, &zones),
        false => part(hash(e).with(caller.as_bytes()).value()),
    };
    let ranked = entrances.iter().map(|e| (is_far(e), rank(e), e.address));
    let mut ranked: Vec<(bool, f64, SocketAddr)> = ranked.collect();
    ranked.sort_by(|one, other| (one.0.cmp(&other.0)).then(one.1.total_cmp(&other.1)));
    let mut chosen: Vec<SocketAddr> = ranked
        .into_iter()
        .take(most)
        .map(|(.., address)| address)
        .collect();
    chosen.sort();
    chosen
}

/// Which instances of other zones a zone's callers are told first: each by how far up that zone comes in the instance's
/// own order of the others, the farther the more it can carry. An instance is so told to few zones, to more if it is larger,
/// and by itself: another's coming or going changes one place of an answer.
fn far(entrance: &Entrance, zone: &str, zones: &BTreeSet<&str>) -> f64 {
    let own = hash(entrance);
    let order = |zone: &str| own.with(zone.as_bytes()).value();
    let asked = order(zone);
    let others = zones.iter().filter(|other| **other != entrance.zone.as_str());
    let before = others.filter(|other| order(other) < asked).count();
    (before as f64 + part(asked)) / f64::from(entrance.capacity.max(1))
}

fn hash(entrance: &Entrance) -> Hash {
    Hash::new().with(entrance.address.to_string().as_bytes())
}

/// A hash as a part of one.
fn part(hash: u64) -> f64 {
    (hash >> 32) as f64 / f64::from(u32::MAX)
}
