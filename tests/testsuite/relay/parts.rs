//! Which engine keeps which shared parts.

use std::time::Duration;

use sequoiastream_core::relay::cached_parts::CachedParts;
use sequoiastream_core::relay::cached_parts::PrefillRecord;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::time::Time;

const ENGINE: EngineKey = EngineKey(2);

/// Tokens that an engine's memory holds.
const MEMORY: Option<u64> = Some(100_000);

fn read(part: u64, tokens: u32) -> PrefillRecord {
    PrefillRecord {
        engine: 7,
        part,
        tokens,
    }
}

/// A prompt is expected to be read at once, and takes ten times as long. Order: its shared parts were read at an engine, others
/// were read behind them until the memory was full, the engine dropped what was used longest ago. Cause: what was read once
/// counts as kept for ever. The load: more sessions than the engines' memory holds.
#[test]
fn kept_until_memory_needed() {
    let mut parts = CachedParts::default();
    let keeps = |parts: &CachedParts, part| parts.is_cached(Time::ZERO, ENGINE, part, MEMORY);
    assert!(!keeps(&parts, 1));
    parts.on_prefill(Time::ZERO, ENGINE, read(1, 10_000));
    parts.on_prefill(Time::ZERO, ENGINE, read(2, 10_000));
    assert!(keeps(&parts, 1) && keeps(&parts, 2));
    assert!(
        !parts.is_cached(Time::ZERO, EngineKey(3), 1, MEMORY),
        "another engine"
    );
    for _ in 0..6 {
        parts.on_prefill(Time::ZERO, ENGINE, read(2, 3_000));
        parts.on_prefill(Time::ZERO, ENGINE, read(3, 9_000));
    }
    assert!(!keeps(&parts, 1), "82,000 tokens ago");
    assert!(keeps(&parts, 2), "used again meanwhile");
}

#[test]
fn kept_for_a_time_where_memory_unknown() {
    let mut parts = CachedParts::default();
    parts.on_prefill(Time::ZERO, ENGINE, read(1, 10_000));
    let keeps = |millis| parts.is_cached(Time::from_millis(millis), ENGINE, 1, None);
    assert!(keeps(9_900) && !keeps(10_100));
}

/// An engine that restarted is thought to keep what it had. Its key is another one; the old one is forgotten.
#[test]
fn kept_no_more_when_gone() {
    let mut parts = CachedParts::default();
    parts.on_prefill(Time::ZERO, ENGINE, read(1, 10_000));
    parts.forget(ENGINE);
    assert!(!parts.is_cached(Time::ZERO, ENGINE, 1, MEMORY));
}

/// Each own reading goes out in as many messages as it takes to reach all peers, and no more; what peers told isn't passed on.
#[test]
fn told_in_turns() {
    let mut parts = CachedParts::default();
    parts.on_prefill(Time::ZERO, ENGINE, read(9, 1));
    parts.on_own_prefill(Time::ZERO, ENGINE, read(1, 1));
    assert_eq!(parts.records_to_send(3), [read(1, 1)]);
    parts.on_own_prefill(Time::ZERO, ENGINE, read(2, 1));
    assert_eq!(parts.records_to_send(3), [read(1, 1), read(2, 1)]);
    assert_eq!(parts.records_to_send(3), [read(1, 1), read(2, 1)]);
    assert_eq!(parts.records_to_send(3), [read(2, 1)]);
    assert_eq!(parts.records_to_send(3), []);
}

/// Neither memory nor messages grow without end, however much is read.
#[test]
fn parts_bounded() {
    let mut parts = CachedParts::default();
    for part in 0..20_000 {
        parts.on_own_prefill(Time::ZERO + Duration::from_millis(part), ENGINE, read(part, 0));
    }
    assert!(parts.records_to_send(1).len() <= 256);
    let now = Time::from_millis(20_000);
    let kept = (0..20_000).filter(|part| parts.is_cached(now, ENGINE, *part, MEMORY));
    assert!(kept.count() <= 4_096);
}
