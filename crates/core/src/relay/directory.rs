//! Which addresses a caller is told.
//!
//! A caller takes a bounded number of addresses, picks among them at random, and drops its connections to those that a
//! later answer doesn't name. So each is told a part of the fleet that stays the same while the fleet does and differs from
//! caller to caller: an instance the more often the more it can carry, and more often to callers of its own zone.

use std::net::SocketAddr;

use crate::name::Name;
use crate::relay::hash::Hash;

/// Addresses that a caller is told at least, however much more the largest instances can carry than the others: some may be
/// gone, and the caller asks anew only after a while.
const MIN_ADDRESSES: usize = 8;

/// How much more often an instance is told to callers of its own zone.
const SAME_ZONE_WEIGHT: f64 = 4.0;

/// Megabits a second that requests take which keep a core busy: a prompt of ten thousand bytes comes once and leaves twice,
/// and takes about a millisecond.
const MEGABITS_PER_CORE: f64 = 200.0;

/// What an instance with so many `cores` and a link of so many `megabits` a second can carry, in thousandths of a core; of
/// something that isn't known nothing is asked.
pub fn capacity(cores: f64, megabits: Option<f64>) -> u32 {
    let link = megabits.map_or(cores, |megabits| megabits / MEGABITS_PER_CORE);
    (cores.min(link) * 1e3).round() as u32
}

/// An instance that callers may be sent to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Endpoint {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// What it can carry, in thousandths of a core; 0 if it doesn't say. See [`capacity`].
    pub capacity: u32,
}

/// How many addresses a caller may be told: it picks among them at random, so with more of them the largest instances would
/// get less than they can carry, and the others more. Where all are alike, any number is fair; the more they differ, the
/// fewer are drawn by what each can carry.
fn fair_count(entrances: &[Endpoint]) -> usize {
    let weights = entrances.iter().map(|e| f64::from(e.capacity.max(1)));
    let (least, largest) = weights.clone().fold((f64::MAX, 1.0), |(least, largest), weight| {
        (weight.min(least), weight.max(largest))
    });
    let alike = (1.0 + least / largest) / 2.0;
    let fair = alike * weights.sum::<f64>() / largest;
    (fair as usize).max(MIN_ADDRESSES)
}

/// The addresses for `caller` in `zone`, which takes `most` of them, in the order of the addresses.
///
/// Failures guarded against: callers take the first so many of a longer list, and all go to the same few instances while the
/// others stand idle; small instances get as much as large ones, and in a burst their links are full.
pub fn choose(entrances: &[Endpoint], zone: Option<&str>, caller: &str, most: usize) -> Vec<SocketAddr> {
    let most = most.min(fair_count(entrances));
    if entrances.len() <= most {
        return entrances.iter().map(|e| e.address).collect();
    }
    let ranked = entrances.iter().map(|e| (draw_rank(e, zone, caller), e.address));
    let mut ranked: Vec<(f64, SocketAddr)> = ranked.collect();
    ranked.sort_by(|one, other| one.0.total_cmp(&other.0));
    let mut chosen: Vec<SocketAddr> = ranked.into_iter().take(most).map(|(_, a)| a).collect();
    chosen.sort();
    chosen
}

/// Where an instance comes among all that a caller may be told: each at a time drawn for it and the caller, at a rate of what
/// it can carry. So another's coming or going changes one place of an answer.
fn draw_rank(entrance: &Endpoint, zone: Option<&str>, caller: &str) -> f64 {
    let near = match zone == Some(entrance.zone.as_str()) {
        true => SAME_ZONE_WEIGHT,
        false => 1.0,
    };
    let draw = address_hash(entrance).with(caller.as_bytes()).value();
    -unit_interval(draw).ln() / (near * f64::from(entrance.capacity.max(1)))
}

fn address_hash(entrance: &Endpoint) -> Hash {
    Hash::new().with(entrance.address.to_string().as_bytes())
}

/// A hash as a part of one, never nothing.
fn unit_interval(hash: u64) -> f64 {
    ((hash >> 32) as f64 + 1.0) / (f64::from(u32::MAX) + 1.0)
}
