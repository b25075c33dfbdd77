//! Which engines are believed to hold the KV cache of which prompt prefix.
//!
//! Engines publish stored and evicted blocks late and with gaps, so an entry is a belief that expires. Memory is
//! bounded: the oldest entries are evicted first.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::prefix::BLOCK_TOKENS;
use crate::snapshot::EngineKey;
use crate::time::Time;

/// Maximum number of engines recorded for one block.
const MAX_HOLDERS: usize = 4;

/// Maximum number of recorded blocks, for each engine of the fleet.
const BLOCKS_PER_ENGINE: usize = 1024;

/// How long an entry lasts without confirmation.
const ENTRY_TTL: Duration = Duration::from_secs(120);

/// An engine that is believed to hold a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The engine.
    pub engine: EngineKey,
    /// Number of leading prompt tokens that it holds.
    pub cached: u32,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    engine: EngineKey,
    expires: Time,
}

/// Index from prompt blocks to the engines that are believed to hold them.
#[derive(Debug, Clone, Default)]
pub struct Affinity {
    blocks: BTreeMap<u64, Vec<Entry>>,
    order: VecDeque<u64>,
    capacity: usize,
}

impl Affinity {
    /// Creates an empty index with capacity for `engines` engines.
    pub fn new(engines: usize) -> Affinity {
        Affinity {
            capacity: engines * BLOCKS_PER_ENGINE,
            ..Affinity::default()
        }
    }

    /// Number of recorded blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is recorded.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Records that `engine` holds `block`.
    pub fn store(&mut self, now: Time, engine: EngineKey, block: u64) {
        let expires = now + ENTRY_TTL;
        let entries = self.blocks.entry(block).or_insert_with(|| {
            self.order.push_back(block);
            Vec::with_capacity(1)
        });
        match entries.iter_mut().find(|b| b.engine == engine) {
            Some(entry) => entry.expires = expires,
            None => {
                if entries.len() == MAX_HOLDERS {
                    entries.remove(0);
                }
                entries.push(Entry { engine, expires });
            }
        }
        self.evict_oldest();
    }

    /// Records that `engine` no longer holds `block`.
    pub fn evict(&mut self, engine: EngineKey, block: u64) {
        if let Some(entries) = self.blocks.get_mut(&block) {
            entries.retain(|b| b.engine != engine);
        }
    }

    /// Removes all entries of `engine`, as after a role change, or after a gap in its events.
    ///
    /// Failure guarded against: an eviction that fell into the gap would go unnoticed for up to [`ENTRY_TTL`];
    /// requests with that prefix would concentrate on an engine that has to process it again each time.
    pub fn forget(&mut self, engine: EngineKey) {
        for entries in self.blocks.values_mut() {
            entries.retain(|b| b.engine != engine);
        }
    }

    /// Returns the engines believed to hold the longest prefixes, longest first. Uses binary search: the digest of a
    /// block covers all blocks before it.
    pub fn holders(&self, now: Time, digests: &[u64]) -> Vec<Holder> {
        let mut found: Vec<Holder> = Vec::new();
        let (mut low, mut high) = (0, digests.len());
        while low < high {
            let middle = low + (high - low) / 2;
            let entries = self.blocks.get(&digests[middle]);
            let live = entries.into_iter().flatten().filter(|b| b.expires > now);
            let before = found.len();
            for entry in live {
                let cached = (middle as u32 + 1) * BLOCK_TOKENS;
                record_holder(&mut found, entry.engine, cached);
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

    fn evict_oldest(&mut self) {
        while self.blocks.len() > self.capacity {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.blocks.remove(&oldest);
        }
    }
}

fn record_holder(found: &mut Vec<Holder>, engine: EngineKey, cached: u32) {
    match found.iter_mut().find(|h| h.engine == engine) {
        Some(holder) => holder.cached = holder.cached.max(cached),
        None => found.push(Holder { engine, cached }),
    }
}
