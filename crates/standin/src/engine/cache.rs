//! Prefix cache of limited capacity with least-recently-used eviction.

use std::collections::BTreeMap;

use sequoiastream_core::prefix::BLOCK_TOKENS;
use sequoiastream_upstream::wire::CacheEvent;

/// Maximum number of cache events kept for readers that poll late.
const MAX_EVENTS: usize = 4096;

/// Prompt blocks whose KV cache is held, by digest, with the logical time of their last use.
#[derive(Debug)]
pub struct PrefixCache {
    blocks: BTreeMap<u64, u64>,
    capacity: usize,
    clock: u64,
    events: Vec<CacheEvent>,
    last_event: u64,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity of `tokens` tokens.
    pub fn new(tokens: u64) -> PrefixCache {
        PrefixCache {
            blocks: BTreeMap::new(),
            capacity: usize::try_from(tokens / u64::from(BLOCK_TOKENS)).unwrap_or(usize::MAX),
            clock: 0,
            events: Vec::new(),
            last_event: 0,
        }
    }

    /// Number of leading tokens held of a prompt with these block digests; marks their blocks as used.
    pub fn lookup(&mut self, digests: &[u64]) -> u32 {
        self.clock += 1;
        let mut held = 0;
        for digest in digests {
            let Some(used) = self.blocks.get_mut(digest) else {
                break;
            };
            *used = self.clock;
            held += BLOCK_TOKENS;
        }
        held
    }

    /// Stores the blocks and evicts the least recently used ones that exceed the capacity.
    pub fn store(&mut self, digests: &[u64]) {
        self.clock += 1;
        for digest in digests {
            if self.blocks.insert(*digest, self.clock).is_none() {
                self.record_event(*digest, true);
            }
        }
        while self.blocks.len() > self.capacity {
            self.evict();
        }
    }

    /// Removes all blocks, as loading a model does.
    pub fn clear(&mut self) {
        for digest in std::mem::take(&mut self.blocks).into_keys() {
            self.record_event(digest, false);
        }
    }

    /// The events kept with a number greater than `number`.
    pub fn events_after(&self, number: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|e| e.number > number)
            .cloned()
            .collect()
    }

    /// Number of tokens held.
    pub fn used(&self) -> u64 {
        self.blocks.len() as u64 * u64::from(BLOCK_TOKENS)
    }

    fn evict(&mut self) {
        let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.blocks.remove(&digest);
            self.record_event(digest, false);
        }
    }

    fn record_event(&mut self, block: u64, stored: bool) {
        self.last_event += 1;
        let number = self.last_event;
        self.events.push(CacheEvent {
            number,
            block,
            stored,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
    }
}
