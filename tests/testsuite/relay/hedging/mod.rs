//! Hedged requests: the decision by itself, under simulated load, and whole instances.

mod instances;
mod load;
mod prefills;

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::attempt::End;
use sequoiastream_core::relay::budget::BudgetLimits;
use sequoiastream_core::relay::budget::RetryBudget;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::hedging;
use sequoiastream_core::relay::hedging::Denial;
use sequoiastream_core::relay::hedging::HedgeCandidate;
use sequoiastream_core::relay::hedging::HedgeLimiter;
use sequoiastream_core::relay::hedging::HedgeLimits;
use sequoiastream_core::relay::hedging::LatencyTracker;
use sequoiastream_core::relay::hedging::LostRaces;
use sequoiastream_core::relay::hedging::RouteLatency;
use sequoiastream_core::relay::load_tracker::LoadTracker;
use sequoiastream_core::relay::placement::EngineSelector;
use sequoiastream_core::relay::routes::CallerLimits;
use sequoiastream_core::relay::routes::Route;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::time::Time;

use super::instance::route;

const WINDOW: Duration = Duration::from_secs(10);

const LIMITS: HedgeLimits = HedgeLimits {
    ratio: 0.1,
    window: WINDOW,
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A tracker after `count` answers that took 1 ms, 2 ms, and so on.
fn tracker(count: u64) -> LatencyTracker {
    let mut tracker = LatencyTracker::new();
    for number in 1..=count {
        tracker.on_answer(Time::ZERO, "r", millis(number));
    }
    tracker
}

/// Guards against hedges by a percentile of a few answers, which may all have been quick by chance.
#[test]
fn latency_enough_answers() {
    assert_eq!(tracker(29).latency(Time::ZERO, "r"), None);
    assert_eq!(tracker(29).latency(Time::ZERO, "other"), None);
    let latency = RouteLatency {
        median: millis(50),
        slow: millis(95),
    };
    assert_eq!(tracker(100).latency(Time::ZERO, "r"), Some(latency));
}

/// Guards against calls that are never hedged because their route has few of them, and against the answers of other
/// routes or another service that count although there are enough of its own.
#[test]
fn latency_of_service() {
    let mut tracker = tracker(29);
    (0..29).for_each(|_| tracker.on_call(Time::ZERO, "s", millis(500)));
    assert_eq!(tracker.call_latency(Time::ZERO, "r", "s"), None);
    tracker.on_call(Time::ZERO, "s", millis(500));
    let slow = |tracker: &mut LatencyTracker, service| {
        let latency = tracker.call_latency(Time::ZERO, "r", service);
        latency.map(|latency| latency.slow)
    };
    assert_eq!(slow(&mut tracker, "s"), Some(millis(500)));
    assert_eq!(slow(&mut tracker, "other"), None);
    assert_eq!(tracker.latency(Time::ZERO, "r"), None);
    tracker.on_answer(Time::ZERO, "r", millis(30));
    assert_eq!(slow(&mut tracker, "s"), Some(millis(29)));
}

/// Guards against a percentile of old answers: after the engines have become slower, each request would be hedged.
#[test]
fn latency_recent_only() {
    let mut tracker = tracker(100);
    for _ in 0..200 {
        tracker.on_answer(Time::ZERO, "r", millis(500));
    }
    let slow = tracker.latency(Time::ZERO, "r").map(|latency| latency.slow);
    assert_eq!(slow, Some(millis(500)));
    let last = Time::ZERO + Duration::from_secs(120);
    assert!(tracker.latency(last, "r").is_some());
    assert_eq!(tracker.latency(last + millis(1), "r"), None);
}

/// Guards against hedges beyond the ratio, by instances with bursts of requests that all want one hedge each.
#[test]
fn limiter_sum_of_instances() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut instances = vec![HedgeLimiter::new(LIMITS); 8];
        let (mut requests, mut hedges) = (Vec::new(), Vec::new());
        let mut now = Time::ZERO;
        for _ in 0..20_000 {
            let pause = if random.random_range(0..500) == 0 {
                2_000_000
            } else {
                3_000
            };
            now = now + Duration::from_micros(random.random_range(0..pause));
            let limiter = &mut instances[random.random_range(0..8)];
            limiter.on_request(now, "s");
            requests.push(now);
            if limiter.has_room(now, "s") {
                limiter.on_hedge(now, "s");
                hedges.push(now);
            }
        }
        assert!(
            hedges.len() as f64 <= LIMITS.ratio * requests.len() as f64,
            "seed {seed}"
        );
        assert!(
            hedges.len() as f64 >= 0.8 * LIMITS.ratio * requests.len() as f64,
            "seed {seed}"
        );
        for end in &hedges {
            let within = |times: &[Time], window: Duration| {
                times.partition_point(|t| t <= end) - times.partition_point(|t| end.since(*t) > window)
            };
            // A hedge may be due to a request of the window before.
            let allowed = LIMITS.ratio * within(&requests, WINDOW * 2) as f64;
            assert!(within(&hedges, WINDOW) as f64 <= allowed, "seed {seed}, {end}");
        }
    }
}

/// Guards against a ratio of 0 that allows a hedge.
#[test]
fn limiter_off() {
    let mut limiter = HedgeLimiter::new(HedgeLimits { ratio: 0.0, ..LIMITS });
    (0..1_000).for_each(|_| limiter.on_request(Time::ZERO, "s"));
    assert!(!limiter.has_room(Time::ZERO, "s"));
}

/// Guards against an engine that hangs and is never avoided, and against one that is avoided although it answers.
#[test]
fn lost_races_in_a_row() {
    let mut races = LostRaces::default();
    let engine = EngineKey(3);
    assert_eq!([(); 3].map(|()| races.on_lost(engine)), [false, false, true]);
    races.on_answer(engine);
    assert!(!races.on_lost(engine));
    races.on_lost(engine);
    races.retain(|_| false);
    assert!(!races.on_lost(engine));
}

/// An engine with this key, on the machine with the same number.
fn engine(key: u32, change: fn(&mut Entry)) -> Engine {
    let machine = u8::try_from(key).expect("few engines");
    let mut entry = Entry {
        address: SocketAddr::from(([10, 0, 0, machine], 80)),
        ..super::entry(&format!("e{key}"), Stage::Whole)
    };
    change(&mut entry);
    Engine::new(EngineKey(key), entry)
}

fn second_of(engines: &[Engine], loads: &LoadTracker, tried: &[EngineKey]) -> Option<EngineKey> {
    second_in_part(engines, loads, tried, 1.0)
}

/// The second engine beside the first of `engines`, if this part of its slots may be used.
fn second_in_part(
    engines: &[Engine],
    loads: &LoadTracker,
    tried: &[EngineKey],
    part: f64,
) -> Option<EngineKey> {
    let selector = EngineSelector {
        loads,
        now: Time::ZERO,
        zone: "a",
        tried,
        memory_tokens: None,
        report_turns: 1,
        tie_breaker: 0,
    };
    hedging::second_engine(&selector, engines, &engines[0], part).map(|engine| engine.key)
}

/// Guards against a second engine that is slow for the same reason as the first one, can't continue its stream, or has
/// no free slot.
#[test]
fn second_engine_other() {
    let first = engine(1, |_| {});
    let unfit: [fn(&mut Entry); 3] = [
        |entry| entry.address = SocketAddr::from(([10, 0, 0, 1], 81)),
        |entry| entry.version = "v2".to_string(),
        |entry| entry.stage = Stage::Decode,
    ];
    for change in unfit {
        let engines = [first.clone(), engine(2, change)];
        assert_eq!(second_of(&engines, &LoadTracker::new(), &[]), None);
    }
    let engines = [first.clone(), engine(2, |_| {})];
    let mut loads = LoadTracker::new();
    assert_eq!(second_of(&engines, &loads, &[]), Some(EngineKey(2)));
    assert_eq!(second_of(&engines, &loads, &[EngineKey(2)]), None);
    for _ in 0..15 {
        loads.begin(Time::ZERO, EngineKey(2), Duration::ZERO);
    }
    assert_eq!(second_of(&engines, &loads, &[]), Some(EngineKey(2)));
    loads.begin(Time::ZERO, EngineKey(2), Duration::ZERO);
    assert_eq!(second_of(&engines, &loads, &[]), None);
    let mut loads = LoadTracker::new();
    loads.on_attempt_end(Time::ZERO, EngineKey(2), End::Silent);
    assert_eq!(second_of(&engines, &loads, &[]), None);
}

/// Guards against a request of low priority that takes the slots which are left to others.
#[test]
fn second_engine_part() {
    let engines = [engine(1, |_| {}), engine(2, |_| {})];
    let mut loads = LoadTracker::new();
    for _ in 0..12 {
        loads.begin(Time::ZERO, EngineKey(2), Duration::ZERO);
    }
    assert_eq!(second_of(&engines, &loads, &[]), Some(EngineKey(2)));
    assert_eq!(second_in_part(&engines, &loads, &[], 0.75), None);
}

/// Guards against a second engine in a zone that is slow as a whole, although another zone has a free slot.
#[test]
fn second_engine_other_zone() {
    let engines = [
        engine(1, |_| {}),
        engine(2, |_| {}),
        engine(3, |entry| entry.zone = "b".to_string()),
        engine(4, |entry| entry.zone = "b".to_string()),
    ];
    let mut loads = LoadTracker::new();
    loads.begin(Time::ZERO, EngineKey(3), Duration::ZERO);
    assert_eq!(second_of(&engines, &loads, &[]), Some(EngineKey(4)));
    assert_eq!(second_of(&engines[..3], &loads, &[]), Some(EngineKey(3)));
    assert_eq!(second_of(&engines[..2], &loads, &[]), Some(EngineKey(2)));
}

/// A budget that allows 20 extra attempts, of which 20 remain.
fn budget() -> RetryBudget {
    RetryBudget::new(BudgetLimits {
        ratio: 0.0,
        window: WINDOW,
        slack: 40.0,
    })
}

fn limiter(requests: usize) -> HedgeLimiter {
    let mut limiter = HedgeLimiter::new(LIMITS);
    (0..requests).for_each(|_| limiter.on_request(Time::ZERO, "s"));
    limiter
}

/// A request for which all conditions hold.
fn candidate() -> HedgeCandidate<'static> {
    HedgeCandidate {
        service: "s",
        expected: millis(20),
        left: millis(20),
        has_attempts: true,
        is_current: true,
        is_suspect: false,
        second: Some(engine(2, |_| {})),
    }
}

/// Makes one condition fail.
type Change = fn(&mut HedgeCandidate<'static>);

/// Guards against a hedge although one of its conditions doesn't hold.
#[test]
fn decide_each_reason() {
    let cases: [(Change, Denial); 5] = [
        (|c| c.has_attempts = false, Denial::Attempts),
        (|c| c.is_current = false, Denial::Version),
        (|c| c.is_suspect = true, Denial::Suspect),
        (|c| c.left = millis(19), Denial::Time),
        (|c| c.second = None, Denial::Overload),
    ];
    for (change, denial) in cases {
        let mut candidate = candidate();
        change(&mut candidate);
        let decision = hedging::decide(Time::ZERO, candidate, &mut limiter(10), &mut budget());
        assert_eq!(decision.map(|second| second.key), Err(denial));
    }
    let decide = |requests| {
        let decision = hedging::decide(Time::ZERO, candidate(), &mut limiter(requests), &mut budget());
        decision.map(|second| second.key)
    };
    assert_eq!(decide(10), Ok(EngineKey(2)));
    assert_eq!(decide(9), Err(Denial::Limit));
}

/// Guards against hedges that use up the budget, so that a request whose engine fails is not sent to another one.
#[test]
fn decide_half_of_budget() {
    let (mut limiter, mut budget) = (limiter(1_000), budget());
    for _ in 0..10 {
        let decision = hedging::decide(Time::ZERO, candidate(), &mut limiter, &mut budget);
        assert!(decision.is_ok());
        assert!(budget.try_take(Time::ZERO, "s"));
    }
    let decision = hedging::decide(Time::ZERO, candidate(), &mut limiter, &mut budget);
    assert_eq!(decision.map(|second| second.key), Err(Denial::Budget));
    assert_eq!(budget.remaining(Time::ZERO, "s"), 10.0);
}

/// Guards against a hedge after the route was changed: to another service, or to requests that may run only once.
#[test]
fn leads_to_current() {
    let old = route(RouteKind::Idempotent, "/r/");
    let leads = |change: fn(&mut Route)| {
        let mut current = route(RouteKind::Idempotent, "/r/");
        change(&mut current);
        let table = RoutingTable::new(4, CallerLimits::default(), vec![current], Vec::new());
        hedging::leads_to(&table, &old, "/r/x", "chat")
    };
    assert!(leads(|_| {}));
    assert!(!leads(|route| route.kind = RouteKind::Once));
    assert!(!leads(|route| route.targets[0].service = "other".to_string()));
    assert!(!leads(|route| route.targets[0].weight = 0));
    assert!(!leads(|route| route.prefix = "/q/".to_string()));
}
