//! Selects the addresses that a caller is told.
//!
//! A caller takes a bounded number of addresses, picks among them at random, and drops its connections to those that a
//! later answer doesn't contain. So each caller is told a subset of the fleet that stays the same while the fleet does,
//! and that differs between callers. An instance is in more subsets the higher its capacity is, and in more subsets of
//! callers of its own zone.

use std::net::SocketAddr;

use crate::name::Name;
use crate::relay::hash::Hash;

/// Minimum number of addresses that a caller is told, even if the largest instances have much more capacity than the
/// others: some instances may be gone, and the caller asks again only after a while.
const MIN_ADDRESSES: usize = 8;

/// How much more often an instance is told to callers of its own zone.
const SAME_ZONE_WEIGHT: f64 = 4.0;

/// Bandwidth in megabits a second used by the requests that keep one core busy: a prompt of ten thousand bytes arrives
/// once, is sent twice, and takes about a millisecond.
const MEGABITS_PER_CORE: f64 = 200.0;

/// Capacity in thousandths of a core of an instance with `cores` and a link of `megabits` a second; a link whose
/// bandwidth isn't known doesn't limit it.
pub fn capacity(cores: f64, megabits: Option<f64>) -> u32 {
    let link = megabits.map_or(cores, |megabits| megabits / MEGABITS_PER_CORE);
    (cores.min(link) * 1e3).round() as u32
}

/// An instance that callers may be sent to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Endpoint {
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Its capacity in thousandths of a core; 0 if it doesn't report one. See [`capacity`].
    pub capacity: u32,
}

/// An instance that is considered for the directory.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Its address, zone and capacity.
    pub endpoint: Endpoint,
    /// Whether it may admit requests with API keys.
    pub proven: bool,
    /// Whether it has lost its direct links to the engines.
    pub detached: bool,
}

/// The endpoints that are offered to callers, in the order of their addresses and without duplicate addresses.
///
/// If no instance may admit requests, all instances are offered, so that callers reach the first one that recovers.
/// Among the offered ones, detached instances are included only if there are no others: their requests take longer and
/// also load a peer.
pub fn offered(candidates: Vec<Candidate>) -> Vec<Endpoint> {
    let candidates = preferred(candidates, |c| c.proven);
    let candidates = preferred(candidates, |c| !c.detached);
    let mut endpoints: Vec<Endpoint> = candidates.into_iter().map(|c| c.endpoint).collect();
    endpoints.sort();
    endpoints.dedup_by_key(|e| e.address);
    endpoints
}

/// The candidates for which `is_preferred` returns true; all of them if there are none.
fn preferred<F>(candidates: Vec<Candidate>, is_preferred: F) -> Vec<Candidate>
where
    F: Fn(&Candidate) -> bool,
{
    match candidates.iter().any(&is_preferred) {
        true => candidates.into_iter().filter(is_preferred).collect(),
        false => candidates,
    }
}

/// Maximum number of addresses that a caller may be told. Callers pick among them at random, so with more addresses the
/// largest instances would get less than their capacity and the others more. Where all instances are alike, any number
/// is fair; the more they differ, the fewer addresses are drawn, by capacity.
fn fair_count(endpoints: &[Endpoint]) -> usize {
    let weights = endpoints.iter().map(|e| f64::from(e.capacity.max(1)));
    let (smallest, largest) = weights
        .clone()
        .fold((f64::MAX, 1.0), |(smallest, largest), weight| {
            (weight.min(smallest), weight.max(largest))
        });
    let similarity = (1.0 + smallest / largest) / 2.0;
    let count = similarity * weights.sum::<f64>() / largest;
    (count as usize).max(MIN_ADDRESSES)
}

/// The addresses for `caller` in `zone`, which takes at most `max`, in the order of the addresses.
///
/// Guards against callers that take the first entries of a longer list and all go to the same few instances while the
/// others are idle, and against small instances that get as many requests as large ones and whose links are full in a
/// burst.
pub fn choose(endpoints: &[Endpoint], zone: Option<&str>, caller: &str, max: usize) -> Vec<SocketAddr> {
    let max = max.min(fair_count(endpoints));
    if endpoints.len() <= max {
        return endpoints.iter().map(|e| e.address).collect();
    }
    let ranked = endpoints.iter().map(|e| (draw_rank(e, zone, caller), e.address));
    let mut ranked: Vec<(f64, SocketAddr)> = ranked.collect();
    ranked.sort_by(|one, other| one.0.total_cmp(&other.0));
    let mut chosen: Vec<SocketAddr> = ranked.into_iter().take(max).map(|(_, a)| a).collect();
    chosen.sort();
    chosen
}

/// Position of an instance among all that a caller may be told: each is drawn at a random time that depends on it and
/// the caller, at a rate of its capacity. So if another instance comes or goes, only one entry of an answer changes.
fn draw_rank(endpoint: &Endpoint, zone: Option<&str>, caller: &str) -> f64 {
    let zone_weight = match zone == Some(endpoint.zone.as_str()) {
        true => SAME_ZONE_WEIGHT,
        false => 1.0,
    };
    let draw = address_hash(endpoint).with(caller.as_bytes()).value();
    -unit_interval(draw).ln() / (zone_weight * f64::from(endpoint.capacity.max(1)))
}

fn address_hash(endpoint: &Endpoint) -> Hash {
    Hash::new().with(endpoint.address.to_string().as_bytes())
}

/// A hash as a fraction of one, never zero.
fn unit_interval(hash: u64) -> f64 {
    ((hash >> 32) as f64 + 1.0) / (f64::from(u32::MAX) + 1.0)
}
