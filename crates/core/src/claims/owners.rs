//! Which instance writes the buckets of a shard.
//!
//! Owners are chosen by rendezvous hashing over the platform's list of instances: a joining or leaving instance
//! moves only its own shards, and instances with different lists mostly agree. Where they don't, two owners write
//! the same bucket and compare-and-swap resolves the conflict, at the cost of a second write.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::name::Name;
use crate::time::Time;

/// How long an instance that did not answer is ranked last.
const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// An instance that may own shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub name: &'a Name,
    /// Whether the instance was heard from recently.
    pub heard: bool,
}

/// Ranks owners, and tracks which of them did not answer.
#[derive(Debug, Clone, Default)]
pub struct Owners {
    suspects: BTreeMap<Name, Time>,
}

impl Owners {
    /// Records that `name` did not answer.
    pub fn suspect(&mut self, name: &Name, now: Time) {
        self.suspects.retain(|_, until| now < *until);
        self.suspects.insert(name.clone(), now + SUSPECT_TIME);
    }

    /// Records that `name` answered.
    pub fn trust(&mut self, name: &Name) {
        self.suspects.remove(name);
    }

    /// Returns the instances in the order in which they are to be asked for `shard`, unresponsive ones last.
    pub fn ranked<'a, I>(&self, candidates: I, shard: u16, now: Time) -> Vec<Name>
    where
        I: IntoIterator<Item = Candidate<'a>>,
    {
        let suspect = |name: &Name| self.suspects.get(name).is_some_and(|until| now < *until);
        let silent = |candidate: &Candidate<'_>| !candidate.heard || suspect(candidate.name);
        let mut ranked: Vec<_> = candidates
            .into_iter()
            .map(|c| (silent(&c), Reverse(rank(c.name, shard)), c.name))
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
