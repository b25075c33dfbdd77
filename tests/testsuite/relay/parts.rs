//! Estimating which engine has which shared parts cached.

use std::time::Duration;

use sequoiastream_core::relay::cached_parts::CachedParts;
use sequoiastream_core::relay::cached_parts::PrefillRecord;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::time::Time;

const ENGINE: EngineKey = EngineKey(2);

/// Number of tokens that an engine's memory holds.
const MEMORY_TOKENS: Option<u64> = Some(100_000);

fn record(part: u64, tokens: u32) -> PrefillRecord {
    PrefillRecord {
        engine: 7,
        part,
        tokens,
    }
}

/// Guards against a prefill that is expected to take no time and takes ten times as long. Sequence: its shared parts
/// were computed at an engine, others were computed after them until the memory was full, and the engine evicted the
/// least recently used ones. Cause: what was computed once counts as cached forever. Typical load: more sessions than
/// the engines' memory holds.
#[test]
fn kept_until_memory_needed() {
    let mut cached = CachedParts::default();
    let is_cached = |cached: &CachedParts, part| cached.is_cached(Time::ZERO, ENGINE, part, MEMORY_TOKENS);
    assert!(!is_cached(&cached, 1));
    cached.on_prefill(Time::ZERO, ENGINE, record(1, 10_000));
    cached.on_prefill(Time::ZERO, ENGINE, record(2, 10_000));
    assert!(is_cached(&cached, 1) && is_cached(&cached, 2));
    assert!(
        !cached.is_cached(Time::ZERO, EngineKey(3), 1, MEMORY_TOKENS),
        "another engine"
    );
    for _ in 0..6 {
        cached.on_prefill(Time::ZERO, ENGINE, record(2, 3_000));
        cached.on_prefill(Time::ZERO, ENGINE, record(3, 9_000));
    }
    assert!(!is_cached(&cached, 1), "82,000 tokens ago");
    assert!(is_cached(&cached, 2), "used again meanwhile");
}

#[test]
fn kept_for_a_time_where_memory_unknown() {
    let mut cached = CachedParts::default();
    cached.on_prefill(Time::ZERO, ENGINE, record(1, 10_000));
    let is_cached = |millis| cached.is_cached(Time::from_millis(millis), ENGINE, 1, None);
    assert!(is_cached(9_900) && !is_cached(10_100));
}

/// Guards against assuming that a restarted engine still has its cache. It gets a new key; the old one is forgotten.
#[test]
fn kept_no_more_when_gone() {
    let mut cached = CachedParts::default();
    cached.on_prefill(Time::ZERO, ENGINE, record(1, 10_000));
    cached.forget(ENGINE);
    assert!(!cached.is_cached(Time::ZERO, ENGINE, 1, MEMORY_TOKENS));
}

/// Each own prefill is sent in as many messages as it takes to reach all peers, and in no more; what peers reported is
/// not passed on.
#[test]
fn told_in_turns() {
    let mut cached = CachedParts::default();
    cached.on_prefill(Time::ZERO, ENGINE, record(9, 1));
    cached.on_own_prefill(Time::ZERO, ENGINE, record(1, 1));
    assert_eq!(cached.records_to_send(3), [record(1, 1)]);
    cached.on_own_prefill(Time::ZERO, ENGINE, record(2, 1));
    assert_eq!(cached.records_to_send(3), [record(1, 1), record(2, 1)]);
    assert_eq!(cached.records_to_send(3), [record(1, 1), record(2, 1)]);
    assert_eq!(cached.records_to_send(3), [record(2, 1)]);
    assert_eq!(cached.records_to_send(3), []);
}

/// Neither memory nor messages grow without limit, however many prefills there are.
#[test]
fn parts_bounded() {
    let mut cached = CachedParts::default();
    for part in 0..20_000 {
        cached.on_own_prefill(Time::ZERO + Duration::from_millis(part), ENGINE, record(part, 0));
    }
    assert!(cached.records_to_send(1).len() <= 256);
    let now = Time::from_millis(20_000);
    let cached_parts = (0..20_000).filter(|part| cached.is_cached(now, ENGINE, *part, MEMORY_TOKENS));
    assert!(cached_parts.count() <= 4_096);
}
