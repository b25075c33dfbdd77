//! Which engines hold the KV cache of which prompt prefix, as far as is known.
//!
//! Engines publish what they store and evict late and with gaps, so an entry is a belief with an expiry. Memory
//! is bounded: the oldest entries go first.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::prefix::BLOCK_TOKENS;
use crate::snapshot::EngineKey;
use crate::time::Time;

/// Engines remembered for one block.
const MAX_HOLDERS: usize = 4;

/// Blocks remembered for each engine of the fleet.
const BLOCKS_PER_ENGINE: usize = 1024;

/// How long a belief lasts that nothing confirms.
const BELIEF: Duration = Duration::from_secs(120);

/// An engine that is believed to hold a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The engine.
    pub engine: EngineKey,
    /// Leading prompt tokens that it holds.
    pub cached: u32,
}

#[derive(Debug, Clone, Copy)]
struct Belief {
    engine: EngineKey,
    until: Time,
}

/// The beliefs about all engines.
#[derive(Debug, Clone, Default)]
pub struct Affinity {
    blocks: BTreeMap<u64, Vec<Belief>>,
    order: VecDeque<u64>,
    capacity: usize,
}

impl Affinity {
    /// Nothing is known of `engines` engines.
    pub fn new(engines: usize) -> Affinity {
        Affinity {
            capacity: engines * BLOCKS_PER_ENGINE,
            ..Affinity::default()
        }
    }

    /// Blocks that are remembered.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Notes that `engine` holds `block`.
    pub fn store(&mut self, now: Time, engine: EngineKey, block: u64) {
        let until = now + BELIEF;
        let beliefs = self.blocks.entry(block).or_insert_with(|| {
            self.order.push_back(block);
            Vec::with_capacity(1)
        });
        match beliefs.iter_mut().find(|b| b.engine == engine) {
            Some(belief) => belief.until = until,
            None => {
                if beliefs.len() == MAX_HOLDERS {
                    beliefs.remove(0);
                }
                beliefs.push(Belief { engine, until });
            }
        }
        self.shrink();
    }

    /// Notes that `engine` no longer holds `block`.
    pub fn evict(&mut self, engine: EngineKey, block: u64) {
        if let Some(beliefs) = self.blocks.get_mut(&block) {
            beliefs.retain(|b| b.engine != engine);
        }
    }

    /// Forgets everything about `engine`, as after a role change, or after a gap in its events.
    ///
    /// Failure guarded against: an eviction that fell into the gap would be believed for as long as
    /// [`BELIEF`]; requests with that prefix would crowd on an engine that processes it anew each time.
    pub fn forget(&mut self, engine: EngineKey) {
        for beliefs in self.blocks.values_mut() {
            beliefs.retain(|b| b.engine != engine);
        }
    }

    /// The engines believed to hold the longest prefixes, longest first, found by halving: the digest of a block
    /// covers all blocks before it.
    pub fn holders(&self, now: Time, digests: &[u64]) -> Vec<Holder> {
        let mut found: Vec<Holder> = Vec::new();
        let (mut low, mut high) = (0, digests.len());
        while low < high {
            let middle = low + (high - low) / 2;
            let beliefs = self.blocks.get(&digests[middle]);
            let live = beliefs.into_iter().flatten().filter(|b| b.until > now);
            let before = found.len();
            for belief in live {
                let cached = (middle as u32 + 1) * BLOCK_TOKENS;
                note(&mut found, belief.engine, cached);
            }
            match found.len() > before
                || found
                    .iter()
                    .any(|h| h.cached == (middle as u32 + 1) * BLOCK_TOKENS)
            {
                true => low = middle + 1,
                false => high = middle,
            }
        }
        found.sort_by_key(|h| std::cmp::Reverse(h.cached));
        found
    }

    fn shrink(&mut self) {
        while self.blocks.len() > self.capacity {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.blocks.remove(&oldest);
        }
    }
}

fn note(found: &mut Vec<Holder>, engine: EngineKey, cached: u32) {
    match found.iter_mut().find(|h| h.engine == engine) {
        Some(holder) => holder.cached = holder.cached.max(cached),
        None => found.push(Holder { engine, cached }),
    }
}
