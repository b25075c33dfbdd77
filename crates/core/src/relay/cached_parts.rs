//! Which engine keeps which shared parts of prompts.
//!
//! An engine keeps what it has read until it needs the memory, the least recently used first. Instances tell each other
//! what they have read where; what was read at an engine since a part was last used there says whether the part is still
//! kept. Nothing here is sure: a message may be lost, an engine may have dropped more. Whoever is wrong pays a reading.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::engine_map::EngineMap;
use crate::relay::engines::EngineKey;
use crate::time::Time;

/// Part of an engine's memory that keeps parts: the rest is for requests that run and for parts that nobody shares.
const CACHE_FRACTION: f64 = 0.7;

/// How long parts are thought to be kept where an engine's memory is not known.
const CACHE_LIFETIME: Duration = Duration::from_secs(10);

/// Parts that are remembered for an engine; beyond, those that were used longest ago are forgotten.
const MAX_PARTS: usize = 4_096;

/// Readings that wait to be told; beyond, the oldest are not told.
const MAX_UNSENT: usize = 256;

/// One reading, as instances tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillRecord {
    /// Hash of the engine's id.
    pub engine: u64,
    /// The last part that others share.
    pub part: u64,
    /// Tokens that the engine had to put into its memory for it.
    pub tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct LastUse {
    at: Time,
    /// Tokens that the engine had put into its memory until then.
    tokens_added: u64,
}

#[derive(Debug, Clone, Default)]
struct EngineCache {
    tokens_added: u64,
    parts: BTreeMap<u64, LastUse>,
}

/// What is thought to be kept, and what is yet to be told.
#[derive(Debug, Clone, Default)]
pub struct CachedParts {
    engines: EngineMap<EngineCache>,
    /// Own readings, each with the messages in which it went out already.
    unsent: Vec<(PrefillRecord, u32)>,
}

impl CachedParts {
    /// Notes a reading at an engine.
    pub fn on_prefill(&mut self, now: Time, engine: EngineKey, read: PrefillRecord) {
        let memory = self.engines.get_or_default(engine);
        memory.tokens_added += u64::from(read.tokens);
        let used = LastUse {
            at: now,
            tokens_added: memory.tokens_added,
        };
        memory.parts.insert(read.part, used);
        if memory.parts.len() > MAX_PARTS {
            let mut totals: Vec<u64> = memory.parts.values().map(|used| used.tokens_added).collect();
            totals.sort_unstable();
            let middle = totals[totals.len() / 2];
            memory.parts.retain(|_, used| used.tokens_added > middle);
        }
    }

    /// Notes an own reading, which the peers are to hear of.
    pub fn on_own_prefill(&mut self, now: Time, engine: EngineKey, read: PrefillRecord) {
        self.on_prefill(now, engine, read);
        if self.unsent.len() == MAX_UNSENT {
            self.unsent.remove(0);
        }
        self.unsent.push((read, 0));
    }

    /// Whether an engine that holds so many tokens is thought to keep a part.
    pub fn is_cached(&self, now: Time, engine: EngineKey, part: u64, memory: Option<u64>) -> bool {
        let Some(known) = self.engines.get(engine) else {
            return false;
        };
        let Some(used) = known.parts.get(&part) else {
            return false;
        };
        match memory {
            Some(tokens) => {
                ((known.tokens_added - used.tokens_added) as f64) < tokens as f64 * CACHE_FRACTION
            }
            None => now.since(used.at) < CACHE_LIFETIME,
        }
    }

    /// Own readings for the next message, if each goes out in `turns` of them: that many reach all peers.
    pub fn records_to_send(&mut self, turns: u32) -> Vec<PrefillRecord> {
        let told = self.unsent.iter().map(|(read, _)| *read).collect();
        for (_, sent) in &mut self.unsent {
            *sent += 1;
        }
        self.unsent.retain(|(_, sent)| *sent < turns);
        told
    }

    /// Forgets an engine that is gone.
    pub fn forget(&mut self, engine: EngineKey) {
        *self.engines.get_or_default(engine) = EngineCache::default();
    }
}
