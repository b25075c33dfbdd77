//! Estimates which shared prompt parts each engine has cached.
//!
//! An engine keeps the parts it has processed until it needs the memory, and evicts the least recently used ones
//! first. Instances tell each other which prefills they sent where. The tokens that an engine has added since a part
//! was last used there indicate whether it is still cached. This is an estimate: a message may be lost, and an engine
//! may have evicted more. A wrong estimate costs one prefill.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::engine_map::EngineMap;
use crate::relay::engines::EngineKey;
use crate::time::Time;

/// Fraction of an engine's memory that holds cached parts: the rest is for running requests and for parts that are not
/// shared.
const CACHE_FRACTION: f64 = 0.7;

/// How long parts are assumed to stay cached if the size of an engine's memory is not known.
const CACHE_LIFETIME: Duration = Duration::from_secs(10);

/// Maximum number of parts that are tracked for an engine; beyond it, the less recently used half is dropped.
const MAX_PARTS: usize = 4_096;

/// Maximum number of own prefills that wait to be sent to peers; beyond it, the oldest are dropped.
const MAX_UNSENT: usize = 256;

/// A prefill, as instances report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillRecord {
    /// Hash of the engine's id.
    pub engine: u64,
    /// Last part of the prompt that other prompts share.
    pub part: u64,
    /// Tokens that the engine had to add to its cache.
    pub tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct LastUse {
    at: Time,
    /// Value of [`EngineCache::tokens_added`] at the last use.
    tokens_added: u64,
}

#[derive(Debug, Clone, Default)]
struct EngineCache {
    tokens_added: u64,
    parts: BTreeMap<u64, LastUse>,
}

/// Parts that are assumed to be cached, and own prefills that are still to be sent to peers.
#[derive(Debug, Clone, Default)]
pub struct CachedParts {
    engines: EngineMap<EngineCache>,
    /// Own prefills, each with the number of messages that contained it already.
    unsent: Vec<(PrefillRecord, u32)>,
}

impl CachedParts {
    /// Records a prefill at an engine.
    pub fn on_prefill(&mut self, now: Time, engine: EngineKey, record: PrefillRecord) {
        let cache = self.engines.get_or_default(engine);
        cache.tokens_added += u64::from(record.tokens);
        let last_use = LastUse {
            at: now,
            tokens_added: cache.tokens_added,
        };
        cache.parts.insert(record.part, last_use);
        if cache.parts.len() > MAX_PARTS {
            let mut totals: Vec<u64> = cache
                .parts
                .values()
                .map(|last_use| last_use.tokens_added)
                .collect();
            totals.sort_unstable();
            let median = totals[totals.len() / 2];
            cache.parts.retain(|_, last_use| last_use.tokens_added > median);
        }
    }

    /// Records a prefill that this instance sent, to be reported to its peers.
    pub fn on_own_prefill(&mut self, now: Time, engine: EngineKey, record: PrefillRecord) {
        self.on_prefill(now, engine, record);
        if self.unsent.len() == MAX_UNSENT {
            self.unsent.remove(0);
        }
        self.unsent.push((record, 0));
    }

    /// Whether an engine is assumed to have a part cached; `memory_tokens` is the number of tokens that its memory
    /// holds, if known.
    pub fn is_cached(&self, now: Time, engine: EngineKey, part: u64, memory_tokens: Option<u64>) -> bool {
        let Some(cache) = self.engines.get(engine) else {
            return false;
        };
        let Some(last_use) = cache.parts.get(&part) else {
            return false;
        };
        match memory_tokens {
            Some(tokens) => {
                ((cache.tokens_added - last_use.tokens_added) as f64) < tokens as f64 * CACHE_FRACTION
            }
            None => now.since(last_use.at) < CACHE_LIFETIME,
        }
    }

    /// Returns the own prefills for the next message. Each is included in `turns` messages, the number that reaches
    /// all peers.
    pub fn records_to_send(&mut self, turns: u32) -> Vec<PrefillRecord> {
        let records = self.unsent.iter().map(|(record, _)| *record).collect();
        for (_, sent) in &mut self.unsent {
            *sent += 1;
        }
        self.unsent.retain(|(_, sent)| *sent < turns);
        records
    }

    /// Discards what is known of an engine that is gone.
    pub fn forget(&mut self, engine: EngineKey) {
        *self.engines.get_or_default(engine) = EngineCache::default();
    }
}
