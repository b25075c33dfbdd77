//! Load and health of engines.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiastream_core::attempt::End;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::load_tracker::LoadTracker;
use sequoiastream_core::relay::load_tracker::Work;
use sequoiastream_core::relay::placement::EngineSelector;
use sequoiastream_core::relay::prompt::Prompt;
use sequoiastream_core::time::Time;

use super::fleet;

const ENGINE: EngineKey = EngineKey(3);

fn work(requests: u32, millis: u64) -> Work {
    let prefill_time = Duration::from_millis(millis);
    Work {
        requests,
        prefill: prefill_time,
    }
}

#[test]
fn work_until_end() {
    let mut tracker = LoadTracker::new();
    let first = tracker.begin(Time::ZERO, ENGINE, Duration::from_millis(900));
    let second = tracker.begin(Time::ZERO, ENGINE, Duration::from_millis(100));
    assert_eq!(tracker.own_work(ENGINE), work(2, 1_000));
    tracker.finish_prefill(first);
    tracker.finish_prefill(first);
    assert_eq!(tracker.own_work(ENGINE), work(2, 100));
    for ticket in [second, second, first] {
        tracker.finish(Time::ZERO, ticket);
    }
    assert_eq!(tracker.own_work(ENGINE), Work::default());
}

#[test]
fn work_of_peers_expires() {
    let mut tracker = LoadTracker::new();
    tracker.begin(Time::ZERO, ENGINE, Duration::from_millis(10));
    tracker.on_peer_report(Time::ZERO, "b", BTreeMap::from([(ENGINE, work(4, 400))]));
    assert_eq!(tracker.work(Time::from_millis(900), ENGINE), work(5, 410));
    assert_eq!(tracker.work(Time::from_millis(1_100), ENGINE), work(1, 10));
}

/// Guards against every check being refused for minutes although engines are free. Sequence: links are slow for a
/// while, the mean time of a hand-over grows beyond what any check can wait, and no more checks are sent. Cause: a mean
/// that is corrected only by requests that were admitted because of it.
#[test]
fn handover_forgotten() {
    let mut tracker = LoadTracker::new();
    let usual = tracker.handover(Time::ZERO, ENGINE);
    for _ in 0..50 {
        tracker.on_handover(Time::ZERO, ENGINE, Duration::from_millis(600));
    }
    assert!(tracker.handover(Time::ZERO, ENGINE) > Duration::from_millis(500));
    let later = tracker.handover(Time::from_millis(4_000), ENGINE);
    assert!(later < usual * 2, "{later:?}");
    assert_eq!(tracker.handover(Time::ZERO, EngineKey(4)), usual);
}

/// Guards against one engine attracting all requests and serving none. Sequence: it declines every request, so it has
/// no work. Cause: the engine with the least work is the best choice.
#[test]
fn avoid_declining() {
    let mut tracker = LoadTracker::new();
    tracker.on_attempt_end(Time::ZERO, ENGINE, End::Declined);
    assert!(tracker.is_avoided(Time::from_millis(200), ENGINE));
    assert!(!tracker.is_avoided(Time::from_millis(300), ENGINE));
}

#[test]
fn avoid_longer_with_each_fault() {
    let mut tracker = LoadTracker::new();
    let mut avoided_for = Vec::new();
    for _ in 0..6 {
        tracker.on_attempt_end(Time::ZERO, ENGINE, End::Broken);
        let avoided = (0..20_000)
            .step_by(100)
            .filter(|ms| tracker.is_avoided(Time::from_millis(*ms), ENGINE));
        avoided_for.push(avoided.count() / 5);
    }
    assert_eq!(avoided_for, [1, 2, 4, 8, 16, 16]);
    tracker.on_attempt_end(Time::ZERO, ENGINE, End::Answered);
    assert!(!tracker.is_avoided(Time::ZERO, ENGINE));
}

/// Records a prefill that took `millis` milliseconds on an engine without other work.
fn record_prefill(tracker: &mut LoadTracker, now: Time, engine: &Engine, millis: u64) {
    let engines = [engine.clone()];
    let selector = EngineSelector {
        loads: tracker,
        now,
        zone: "a",
        tried: &[],
        memory_tokens: None,
        report_turns: 1,
        tie_breaker: 0,
    };
    let prompt = Prompt {
        model: "m".to_string(),
        input: 8_000,
        output: 2,
        expected: None,
        parts: Vec::new(),
    };
    let plan = selector
        .choose_prefill(&engines, Stage::Prefill, &prompt)
        .expect("an engine");
    tracker.on_prefill(now, &plan, Duration::from_millis(millis));
}

/// An engine of a service becomes slow and later recovers. Sequence: its prompts take four times as long, it counts as
/// slow, and no more requests are sent to it. The observation expires, so that the engine is tried again.
#[test]
fn slow_engine_seen_and_forgotten() {
    let engines = fleet(&[Stage::Prefill; 2]);
    let mut tracker = LoadTracker::new();
    for _ in 0..40 {
        record_prefill(&mut tracker, Time::ZERO, &engines[0], 100);
        record_prefill(&mut tracker, Time::ZERO, &engines[1], 100);
    }
    assert!((0.9..1.1).contains(&tracker.slowness(Time::ZERO, engines[0].key)));
    for _ in 0..12 {
        record_prefill(&mut tracker, Time::ZERO, &engines[0], 400);
        record_prefill(&mut tracker, Time::ZERO, &engines[1], 100);
    }
    let slowness = [0, 1].map(|i: usize| tracker.slowness(Time::ZERO, engines[i].key));
    assert!(slowness[0] > 1.5 * slowness[1], "{slowness:?}");
    let later = tracker.slowness(Time::from_millis(40_000), engines[0].key);
    assert!((0.9..1.1).contains(&later), "{later}");
}

#[test]
fn queue_only_over_slots() {
    let mut tracker = LoadTracker::new();
    for millis in 0..40 {
        let ticket = tracker.begin(Time::from_millis(millis), ENGINE, Duration::ZERO);
        tracker.finish(Time::from_millis(millis + 160), ticket);
    }
    for _ in 0..15 {
        tracker.begin(Time::from_millis(500), ENGINE, Duration::ZERO);
    }
    assert_eq!(
        tracker.queue_time(Time::from_millis(500), ENGINE, 16),
        Duration::ZERO
    );
    tracker.begin(Time::from_millis(500), ENGINE, Duration::ZERO);
    let wait = tracker.queue_time(Time::from_millis(500), ENGINE, 16);
    assert_eq!(wait, Duration::from_millis(10));
}
