//! Which instance writes the buckets of a shard.
//!
//! Rendezvous hashing over the platform's list: a joining or leaving instance moves only its own shards, and
//! instances with different lists mostly agree. Where they don't, two owners write the same bucket and
//! compare-and-swap settles it, at the price of a second write.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::Name;
use crate::time::Time;

/// How long an instance that did not answer is asked last.
const SUSPECT: Duration = Duration::from_secs(2);

/// The instances that may own shards.
#[derive(Debug, Clone, Default)]
pub struct Owners {
    listed: Vec<Name>,
    suspects: BTreeMap<Name, Time>,
}

impl Owners {
    /// Takes the list of live instances.
    pub fn set_listed(&mut self, listed: Vec<Name>) {
        self.suspects.retain(|name, _| listed.contains(name));
        self.listed = listed;
    }

    /// Notes that `name` did not answer.
    pub fn suspect(&mut self, name: &Name, now: Time) {
        self.suspects.insert(name.clone(), now + SUSPECT);
    }

    /// Notes that `name` answered.
    pub fn trust(&mut self, name: &Name) {
        self.suspects.remove(name);
    }

    /// Instances in the order in which they are to be asked for `shard`, suspects last.
    pub fn of(&self, shard: u16, now: Time) -> Vec<Name> {
        let suspect = |name: &Name| self.suspects.get(name).is_some_and(|until| now < *until);
        let mut ranked: Vec<_> = self
            .listed
            .iter()
            .map(|name| (suspect(name), std::cmp::Reverse(rank(name, shard)), name))
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(_, _, name)| name.clone()).collect()
    }
}

fn rank(name: &Name, shard: u16) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&shard.to_be_bytes());
    hasher.update(name.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
