//! Selecting engines for requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_core::attempt::End;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::load_tracker::LoadTracker;
use sequoiastream_core::relay::placement::EngineSelector;
use sequoiastream_core::relay::prefill_time::PrefillModel;
use sequoiastream_core::relay::prefill_time::PrefillWork;
use sequoiastream_core::relay::prompt::Part;
use sequoiastream_core::relay::prompt::Prompt;
use sequoiastream_core::relay::stream_needs::StreamNeeds;
use sequoiastream_core::time::Time;

use super::fleet;

fn selector<'a>(tracker: &'a LoadTracker, tried: &'a [EngineKey]) -> EngineSelector<'a> {
    EngineSelector {
        loads: tracker,
        now: Time::ZERO,
        zone: "a",
        tried,
        memory_tokens: None,
        report_turns: 1,
        tie_breaker: 0,
    }
}

/// A prompt of a session with 6,000 shared tokens and 3,000 tokens of its own.
fn prompt(session: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        model: "m".to_string(),
        input: 9_000,
        output: 2,
        expected: None,
        parts: vec![part(1, 2_000), part(session, 4_000), part(session ^ 77, 3_000)],
    }
}

/// The address of engine `key` in an [`addressed`] fleet.
fn address(key: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(key).expect("few engines")))
}

/// A fleet in which each engine has its own address.
fn addressed(stages: &[Stage]) -> Vec<Engine> {
    let mut engines = fleet(stages);
    for engine in &mut engines {
        engine.entry.address = address(engine.key.0);
    }
    engines
}

fn chosen_engine(tracker: &LoadTracker, engines: &[Engine], session: u64) -> EngineKey {
    let plan = selector(tracker, &[]).choose_prefill(engines, Stage::Prefill, &prompt(session));
    plan.expect("an engine").engine.key
}

/// Guards against computing shared parts again and again. Sequence: the requests of one session arrive at all instances
/// in turn. Cause: each instance sends them to a different engine.
#[test]
fn reader_same_everywhere() {
    let engines = fleet(&[Stage::Prefill; 7]);
    let mut reversed = engines.clone();
    reversed.reverse();
    let mut homes: BTreeMap<EngineKey, u32> = BTreeMap::new();
    for session in 0..700 {
        let key = chosen_engine(&LoadTracker::new(), &engines, session);
        assert_eq!(chosen_engine(&LoadTracker::new(), &reversed, session), key);
        *homes.entry(key).or_default() += 1;
    }
    assert_eq!(homes.len(), 7);
    assert!(homes.values().all(|n| (60..150).contains(n)), "{homes:?}");
}

#[test]
fn reader_lost_moves_its_own_only() {
    let engines = fleet(&[Stage::Prefill; 7]);
    let left = &engines[1..];
    for session in 0..300 {
        let before = chosen_engine(&LoadTracker::new(), &engines, session);
        let after = chosen_engine(&LoadTracker::new(), left, session);
        assert!(before == after || before == EngineKey(0));
    }
}

/// Records that a prompt of a session was sent to an engine.
fn record_sent(tracker: &mut LoadTracker, engines: &[Engine], key: EngineKey, session: u64) {
    let only: Vec<Engine> = engines.iter().filter(|e| e.key == key).cloned().collect();
    let plan = selector(tracker, &[]).choose_prefill(&only, Stage::Prefill, &prompt(session));
    tracker.on_prefill_sent(Time::ZERO, &plan.expect("an engine"), session);
}

/// Guards against calls queueing at one engine while others are idle. Cause: a session keeps its home engine however
/// long the wait there. If no engine has the shared parts cached, the home is left when the wait exceeds twelve times
/// the time to compute them; if the home has them, twelve times the time to fetch them, in addition to that fetch.
#[test]
fn reader_leaves_long_queue() {
    let engines = fleet(&[Stage::Prefill; 3]);
    let model = PrefillModel::default();
    let all = model.busy_time(PrefillWork::new(&prompt(5), 9_000));
    let own = model.busy_time(PrefillWork::new(&prompt(5), 3_000));
    let fetch = LoadTracker::new().handover(Time::ZERO, EngineKey(0));
    for (is_cached, worth_waiting) in [(false, (all - own) * 12), (true, fetch * 13)] {
        let mut tracker = LoadTracker::new();
        let key = chosen_engine(&tracker, &engines, 5);
        if is_cached {
            record_sent(&mut tracker, &engines, key, 5);
        }
        tracker.begin(Time::ZERO, key, worth_waiting.mul_f64(0.95));
        assert_eq!(
            chosen_engine(&tracker, &engines, 5),
            key,
            "waiting costs all requests less; cached: {is_cached}"
        );
        tracker.begin(Time::ZERO, key, worth_waiting.mul_f64(0.1));
        assert_ne!(chosen_engine(&tracker, &engines, 5), key, "cached: {is_cached}");
    }
}

/// Guards against computing parts at their home although another engine has them cached. Sequence: the home had a long
/// queue, another engine computed the parts, and the queue is gone.
#[test]
fn reader_where_parts_are() {
    let engines = fleet(&[Stage::Prefill; 3]);
    let mut tracker = LoadTracker::new();
    let key = chosen_engine(&tracker, &engines, 5);
    let other = engines.iter().map(|e| e.key).find(|k| *k != key).expect("others");
    record_sent(&mut tracker, &engines, other, 5);
    assert_eq!(chosen_engine(&tracker, &engines, 5), other);
    record_sent(&mut tracker, &engines, key, 5);
    tracker.begin(Time::ZERO, other, Duration::from_millis(1));
    assert_eq!(chosen_engine(&tracker, &engines, 5), key, "both have them cached");
}

/// The expected time of a prefill is the fixed latency, plus the queue and the prefill's own work. Parts that the
/// engine has cached cost nothing; others are computed, or fetched if that is faster.
#[test]
fn reader_counts_time() {
    let engines = fleet(&[Stage::Prefill, Stage::Prefill, Stage::Decode]);
    let before = Duration::from_millis(40);
    let model = PrefillModel::default();
    let [all, own] = [9_000, 3_000].map(|tokens| PrefillWork::new(&prompt(5), tokens));
    let fetch = LoadTracker::new().handover(Time::ZERO, EngineKey(0));
    let cases = [
        (None, all, Duration::ZERO, 9_000),
        (Some(EngineKey(0)), own, Duration::ZERO, 3_000),
        (Some(EngineKey(1)), own, fetch, 9_000),
    ];
    for (cached_at, work, fetch_time, new_tokens) in cases {
        let mut tracker = LoadTracker::new();
        if let Some(cached_at) = cached_at {
            record_sent(&mut tracker, &engines, cached_at, 5);
        }
        tracker.begin(Time::ZERO, EngineKey(0), before);
        tracker.begin(Time::ZERO, EngineKey(1), Duration::from_secs(9));
        let plan = selector(&tracker, &[]).choose_prefill(&engines, Stage::Prefill, &prompt(5));
        let plan = plan.expect("an engine");
        assert_eq!(plan.engine.key, EngineKey(0), "{cached_at:?}");
        assert_eq!((plan.work, plan.new_tokens), (work, new_tokens), "{cached_at:?}");
        assert_eq!((plan.busy_time, plan.queue_time), (model.busy_time(work), before));
        let total_time = model.fixed_latency() + before + model.busy_time(work) + fetch_time;
        assert_eq!(plan.total_time, total_time, "{cached_at:?}");
    }
}

/// Guards against computing parts of 6,000 tokens again although a nearby engine has them cached. Sequence: their home
/// has a long queue, so the request goes elsewhere. Typical load: sessions with long histories, each with a request
/// every few seconds, on engines with slow prefills.
#[test]
fn reader_fetches_from_home() {
    let engines = addressed(&[Stage::Prefill; 5]);
    let mut tracker = LoadTracker::new();
    let key = chosen_engine(&tracker, &engines, 5);
    tracker.begin(Time::ZERO, key, Duration::from_secs(9));
    let plan = selector(&tracker, &[]).choose_prefill(&engines, Stage::Prefill, &prompt(5));
    let plan = plan.expect("an engine");
    assert_ne!(plan.engine.key, key);
    assert_eq!(plan.fetch_from, Some(address(key.0)));
}

/// Guards against parts being computed again by their new home. Sequence: an engine is added and becomes the home of
/// some parts. The previous home still has them cached.
#[test]
fn reader_fetches_from_last_home() {
    let engines = addressed(&[Stage::Prefill; 5]);
    let tracker = LoadTracker::new();
    let mut moved = 0;
    for session in 0..300 {
        let before = chosen_engine(&tracker, &engines[..4], session);
        let plan = selector(&tracker, &[]).choose_prefill(&engines, Stage::Prefill, &prompt(session));
        let plan = plan.expect("an engine");
        if plan.engine.key != before {
            assert_eq!(plan.fetch_from, Some(address(before.0)));
            moved += 1;
        }
    }
    assert!((30..90).contains(&moved), "a fifth: {moved}");
}

#[test]
fn reader_fetches_nothing() {
    let engines = addressed(&[Stage::Prefill; 2]);
    let tracker = LoadTracker::new();
    let fetch = |engines: &[Engine], prompt: &Prompt| {
        let plan = selector(&tracker, &[]).choose_prefill(engines, Stage::Prefill, prompt);
        plan.expect("an engine").fetch_from
    };
    assert_eq!(fetch(&engines[..1], &prompt(5)), None, "no other engine");
    let mut own = prompt(5);
    own.parts.drain(..2);
    assert_eq!(fetch(&engines, &own), None, "no shared parts");
}

#[test]
fn generator_of_its_stage() {
    let engines = fleet(&[Stage::Prefill, Stage::Decode, Stage::Whole]);
    let tracker = LoadTracker::new();
    let selector = selector(&tracker, &[]);
    let picked = [Stage::Decode, Stage::Whole].map(|s| {
        selector
            .choose_decode(&engines, s, &StreamNeeds::default())
            .map(|e| e.key)
    });
    assert_eq!(picked, [Some(EngineKey(1)), Some(EngineKey(2))]);
    assert_eq!(
        selector.choose_decode(&engines[..1], Stage::Decode, &StreamNeeds::default()),
        None
    );
}

#[test]
fn plain_untried_and_sound() {
    let engines = fleet(&[Stage::Whole; 3]);
    let mut tracker = LoadTracker::new();
    tracker.on_attempt_end(Time::ZERO, EngineKey(0), End::Broken);
    let tried = [EngineKey(1)];
    let picked = selector(&tracker, &tried).least_loaded(&engines).map(|e| e.key);
    assert_eq!(picked, Some(EngineKey(2)));
    let tried = [EngineKey(1), EngineKey(2)];
    let picked = selector(&tracker, &tried).least_loaded(&engines).map(|e| e.key);
    assert_eq!(picked, Some(EngineKey(0)), "a failing engine is better than none");
    let tried = [EngineKey(0), EngineKey(1), EngineKey(2)];
    assert_eq!(selector(&tracker, &tried).least_loaded(&engines), None);
}

/// Guards against never avoiding an engine that fails half of its requests while its status check succeeds. Sequence:
/// every other answer is complete. Cause: only the last attempt counts.
#[test]
fn plain_avoids_failing() {
    let engines = fleet(&[Stage::Whole; 2]);
    let mut tracker = LoadTracker::new();
    for _ in 0..20 {
        tracker.on_attempt_end(Time::ZERO, EngineKey(0), End::Failed);
        tracker.on_attempt_end(Time::ZERO, EngineKey(0), End::Answered);
        tracker.on_attempt_end(Time::ZERO, EngineKey(1), End::Answered);
    }
    tracker.begin(Time::ZERO, EngineKey(1), Duration::ZERO);
    let picked = selector(&tracker, &[]).least_loaded(&engines).map(|e| e.key);
    assert_eq!(picked, Some(EngineKey(1)));
}

/// Guards against never again sending requests to an engine that failed for a while. Sequence: it fails, other engines
/// are selected, it recovers. Cause: a failure rate that is corrected only by new attempts.
#[test]
fn plain_forgives_failing() {
    let engines = fleet(&[Stage::Whole; 2]);
    let mut tracker = LoadTracker::new();
    for _ in 0..40 {
        tracker.on_attempt_end(Time::ZERO, EngineKey(0), End::Failed);
        tracker.on_attempt_end(Time::ZERO, EngineKey(1), End::Answered);
    }
    tracker.begin(Time::ZERO, EngineKey(1), Duration::ZERO);
    let mut selector = selector(&tracker, &[]);
    assert_eq!(selector.least_loaded(&engines).map(|e| e.key), Some(EngineKey(1)));
    selector.now = Time::from_millis(6_000);
    assert_eq!(selector.least_loaded(&engines).map(|e| e.key), Some(EngineKey(0)));
}

#[test]
fn plain_near_before_far() {
    let mut engines = fleet(&[Stage::Whole; 2]);
    engines[0].entry.zone = "b".to_string();
    let mut tracker = LoadTracker::new();
    assert_eq!(
        selector(&tracker, &[]).least_loaded(&engines).map(|e| e.key),
        Some(EngineKey(1))
    );
    for _ in 0..3 {
        tracker.begin(Time::ZERO, EngineKey(1), Duration::ZERO);
    }
    assert_eq!(
        selector(&tracker, &[]).least_loaded(&engines).map(|e| e.key),
        Some(EngineKey(0))
    );
}

#[test]
fn full_by_part() {
    let engines = fleet(&[Stage::Decode]);
    let mut tracker = LoadTracker::new();
    for _ in 0..12 {
        tracker.begin(Time::ZERO, EngineKey(0), Duration::ZERO);
    }
    let full = [0.5, 0.75, 1.0].map(|part| selector(&tracker, &[]).is_full(&engines[0], part));
    assert_eq!(full, [true, true, false]);
}

/// Guards against one engine getting seventeen requests for six slots while others are idle. Sequence: a burst arrives
/// at 73 instances, each learns of the others' choices only after five messages, and all select the first of the
/// engines that were idle by their last messages. No engine may get more than twice its share; a busy engine gets none,
/// and if all instances learn of choices at once, the first engine gets the next request.
#[test]
fn generator_under_old_news() {
    let engines = fleet(&[Stage::Decode; 20]);
    let mut tracker = LoadTracker::new();
    tracker.begin(Time::ZERO, engines[19].key, Duration::ZERO);
    let chosen = |turns: usize, tie_breaker: u64| {
        let selector = EngineSelector {
            report_turns: turns,
            tie_breaker: tie_breaker.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..selector(&tracker, &[])
        };
        selector
            .choose_decode(&engines, Stage::Decode, &StreamNeeds::default())
            .expect("one")
            .key
    };
    let mut counts: BTreeMap<EngineKey, u32> = BTreeMap::new();
    for tie_breaker in 0..1_000 {
        assert_eq!(chosen(1, tie_breaker), engines[0].key);
        *counts.entry(chosen(5, tie_breaker)).or_default() += 1;
    }
    assert_eq!(counts.len(), 19, "{counts:?}");
    assert!(
        counts.values().all(|count| *count <= 1_000 / 19 * 2),
        "{counts:?}"
    );
}
