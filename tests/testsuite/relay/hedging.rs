//! Hedged requests: the decision by itself, and whole instances with a slow engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream::util::clock;
use sequoiastream_core::attempt::End;
use sequoiastream_core::poison::Fingerprint;
use sequoiastream_core::poison::suspects::Outcome;
use sequoiastream_core::poison::suspects::RequestIdentity;
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
use tokio::sync::Notify;

use super::answers::event_stream;
use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::answer;
use super::engine::chunk;
use super::engine::decline;
use super::engine::event;
use super::instance::Instance;
use super::instance::get_request;
use super::instance::route;
use super::instance::status;
use super::metrics::samples;
use super::wait_until;

const WINDOW: Duration = Duration::from_secs(10);

const LIMITS: HedgeLimits = HedgeLimits {
    ratio: 0.1,
    window: WINDOW,
};

const HEDGES: &str = "sequoiastream_relay_hedges";

const SILENT_ATTEMPTS: &str = "sequoiastream_relay_attempts_total{result=\"silent\"}";

/// Longer than two engines work on the same stream.
const PAST_OVERLAP: Duration = Duration::from_millis(350);

/// Kinds of routes whose requests may be hedged.
const KINDS: [RouteKind; 2] = [RouteKind::Idempotent, RouteKind::Resumable];

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
    let selector = EngineSelector {
        loads,
        now: Time::ZERO,
        zone: "a",
        tried,
        memory_tokens: None,
        report_turns: 1,
        tie_breaker: 0,
    };
    hedging::second_engine(&selector, engines, &engines[0]).map(|engine| engine.key)
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
        latency: RouteLatency {
            median: millis(20),
            slow: millis(50),
        },
        left: millis(20),
        has_attempts: true,
        is_current: true,
        is_suspect: false,
        second: Some(engine(2, |_| {})),
    }
}

#[test]
fn decide_each_reason() {
    let cases: [(fn(&mut HedgeCandidate<'static>), Denial); 5] = [
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

/// Enables hedges after 40 answers that took `latency` and 100 requests.
fn enable(instance: &Instance, latency: Duration) {
    let mut options = (*instance.shared.reloadable()).clone();
    options.hedge_ratio = 0.2;
    instance.shared.reload(options);
    observe(instance, latency);
}

fn observe(instance: &Instance, latency: Duration) {
    let now = clock::now();
    let mut traffic = instance.shared.traffic();
    (0..40).for_each(|_| traffic.hedging.latencies.on_answer(now, "r", latency));
    (0..100).for_each(|_| traffic.hedging.limiter.on_request(now, "chat"));
}

/// An instance that hedges requests after a millisecond, with these engines.
fn start(kind: RouteKind, engines: &[&ScriptedEngine]) -> Instance {
    let engines: Vec<_> = engines.iter().map(|engine| (*engine, Stage::Whole)).collect();
    let instance = Instance::start(kind, &engines, |_| {});
    enable(&instance, millis(1));
    instance
}

/// The complete answer to a request.
fn whole(kind: RouteKind, request: &ReceivedRequest) -> Action {
    match kind {
        RouteKind::Idempotent | RouteKind::Once => answer(request, "whole"),
        RouteKind::Resumable | RouteKind::Stream => Action::Send(event_stream(request, 1..=2) + "0\r\n\r\n"),
    }
}

/// An engine on the second machine that answers at once.
async fn quick_engine(kind: RouteKind) -> ScriptedEngine {
    ScriptedEngine::start_on("127.0.0.2", move |_, request| vec![whole(kind, request)]).await
}

/// An engine on the second machine that never answers.
async fn hanging_engine() -> ScriptedEngine {
    ScriptedEngine::start_on("127.0.0.2", |_, _| vec![Action::Hold]).await
}

/// An engine on the first machine that answers once it is notified.
async fn waiting_engine(kind: RouteKind, notify: &Rc<Notify>) -> ScriptedEngine {
    waiting_engine_on("127.0.0.1", kind, notify).await
}

/// As [`waiting_engine`], on another machine.
async fn waiting_engine_on(machine: &str, kind: RouteKind, notify: &Rc<Notify>) -> ScriptedEngine {
    let notify = notify.clone();
    let script =
        move |_, request: &ReceivedRequest| vec![Action::Await(notify.clone()), whole(kind, request)];
    ScriptedEngine::start_on(machine, script).await
}

/// The hedges on the page of metrics, such as `sent 1`.
async fn hedges(instance: &Instance) -> Vec<String> {
    let samples = samples(instance, &[HEDGES]).await;
    let mut values: Vec<String> = samples
        .iter()
        .filter_map(|sample| Some(sample.split_once("=\"")?.1.replace("\"}", "")))
        .collect();
    values.sort();
    values
}

/// Waits until the page of metrics shows `value` among the hedges.
async fn wait_for_hedge(instance: &Instance, value: &str) {
    let wait = async {
        while !hedges(instance).await.iter().any(|shown| shown == value) {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), wait)
        .await
        .expect("the metric within the time limit");
}

async fn wait_for_requests(engine: &ScriptedEngine, count: usize) {
    engine.wait_for(|log| log.requests.len() == count).await;
}

/// Guards against a request that waits for a slow engine until it counts as silent, although another engine would have
/// answered. The slow engine must not count as silent, and the connection to it must be closed.
#[actix_web::test]
async fn second_delivers_first() {
    for kind in KINDS {
        let slow = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
        let quick = quick_engine(kind).await;
        let instance = start(kind, &[&slow, &quick]);
        let got = instance.get("/r/x", "q1", "").await;
        assert_eq!(status(&got), "200", "{kind:?} {got}");
        slow.wait_for(|log| log.disconnects == 1).await;
        assert_eq!(hedges(&instance).await, ["sent 1", "won 1"]);
        assert_eq!(samples(&instance, &[SILENT_ATTEMPTS]).await, Vec::<String>::new());
        let arrivals = samples(&instance, &["sequoiastream_relay_arrivals_total"]).await;
        assert!(
            arrivals.iter().any(|a| a.ends_with("kind=\"extra\"} 1")),
            "{arrivals:?}"
        );
        let work = instance.shared.traffic().load.own_by_engine();
        assert!(work.is_empty(), "{work:?}");
    }
}

/// Guards against a percentile that falls because the slow answers are left out which hedges replace: an engine whose
/// connection was closed counts with the time until then.
#[actix_web::test]
async fn closed_counts() {
    for kind in KINDS {
        let slow = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
        let notify = Rc::new(Notify::new());
        let second = waiting_engine_on("127.0.0.2", kind, &notify).await;
        let engines = [(&slow, Stage::Whole), (&second, Stage::Whole)];
        let instance = Instance::start(kind, &engines, |_| {});
        enable(&instance, millis(1));
        let resume = async {
            wait_for_requests(&second, 1).await;
            let sent = Instant::now();
            wait_until(|| sent.elapsed() > millis(20)).await;
            notify.notify_one();
        };
        let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
        assert_eq!(status(&got), "200", "{kind:?} {got}");
        let mut traffic = instance.shared.traffic();
        let now = clock::now();
        // Of 43 answers, three are slow, and the percentile is the fastest of them. If two of 42 were, it would be the
        // slowest of the others.
        let latencies = &mut traffic.hedging.latencies;
        latencies.on_answer(now, "r", millis(1_000));
        let slow = latencies.latency(now, "r").map(|latency| latency.slow);
        assert!(slow > Some(millis(1)), "{kind:?} {slow:?}");
    }
}

/// Guards against a second engine that goes on working after the first one has answered.
#[actix_web::test]
async fn first_delivers_first() {
    for kind in KINDS {
        let notify = Rc::new(Notify::new());
        let first = waiting_engine(kind, &notify).await;
        let second = hanging_engine().await;
        let instance = start(kind, &[&first, &second]);
        let resume = async {
            wait_for_requests(&second, 1).await;
            notify.notify_one();
        };
        let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
        assert_eq!(status(&got), "200", "{kind:?} {got}");
        second.wait_for(|log| log.disconnects == 1).await;
        assert_eq!(hedges(&instance).await, ["lost 1", "sent 1"]);
    }
}

/// Guards against a call whose first engine would have answered, but whose connection was closed because the second one
/// hangs. Two engines must not work on a stream for as long.
#[actix_web::test]
async fn overlap_by_kind() {
    for kind in KINDS {
        let notify = Rc::new(Notify::new());
        let first = waiting_engine(kind, &notify).await;
        let second_notify = Rc::new(Notify::new());
        let engine_notify = second_notify.clone();
        let script = move |_, request: &ReceivedRequest| {
            vec![Action::Await(engine_notify.clone()), whole(kind, request)]
        };
        let second = ScriptedEngine::start_on("127.0.0.2", script).await;
        let instance = start(kind, &[&first, &second]);
        let resume = async {
            wait_for_requests(&second, 1).await;
            let sent = Instant::now();
            wait_until(|| sent.elapsed() > PAST_OVERLAP).await;
            match kind {
                RouteKind::Idempotent => notify.notify_one(),
                _ => second_notify.notify_one(),
            }
        };
        let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
        assert_eq!(status(&got), "200", "{kind:?} {got}");
        let result = if kind == RouteKind::Idempotent {
            "lost 1"
        } else {
            "won 1"
        };
        assert!(
            hedges(&instance).await.iter().any(|shown| shown == result),
            "{kind:?}"
        );
    }
}

/// Guards against a request that fails, is sent a third time, or counts twice as one that crashes engines, because an
/// engine crashes while two have it.
#[actix_web::test]
async fn crash_while_both_run() {
    for kind in KINDS {
        let (crash, notify) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let engine_crash = crash.clone();
        let script = move |_, _: &ReceivedRequest| vec![Action::Await(engine_crash.clone()), Action::Crash];
        let first = ScriptedEngine::start(script).await;
        let engine_notify = notify.clone();
        let script = move |_, request: &ReceivedRequest| {
            vec![Action::Await(engine_notify.clone()), whole(kind, request)]
        };
        let second = ScriptedEngine::start_on("127.0.0.2", script).await;
        let third = ScriptedEngine::start_on("127.0.0.3", |_, _| vec![Action::Hold]).await;
        let instance = start(kind, &[&first, &second, &third]);
        let suspects = || instance.shared.traffic().suspects.counts(clock::now()).suspect;
        let resume = async {
            wait_for_requests(&second, 1).await;
            crash.notify_one();
            wait_until(|| suspects() > 0).await;
            let notes = instance.shared.traffic().suspects.notes(clock::now());
            let any = RequestIdentity::from(Fingerprint::of_forwarded("GET", "/r/x", b""));
            assert_eq!(instance.shared.traffic().suspects.crashes(clock::now(), &any), 1);
            assert!(
                notes.iter().all(|note| note.outcome != Outcome::Completed),
                "{notes:?}"
            );
            notify.notify_one();
        };
        let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
        assert_eq!(status(&got), "200", "{kind:?} {got}");
        assert_eq!(hedges(&instance).await, ["sent 1", "won 1"]);
        assert_eq!((second.log().requests.len(), third.log().requests.len()), (1, 0));
    }
}

/// Guards against a request that fails although its first engine would have answered, because the second one fails.
#[actix_web::test]
async fn second_fails() {
    let failure = |_: &ReceivedRequest| {
        Action::Send("HTTP/1.1 500 Oops\r\nx-seal: s\r\ncontent-length: 4\r\n\r\noops".to_string())
    };
    let scripts: [fn(&ReceivedRequest) -> Action; 4] =
        [failure, decline, |_| Action::Reset, |_| Action::Crash];
    for kind in KINDS {
        for script in scripts {
            let notify = Rc::new(Notify::new());
            let first = waiting_engine(kind, &notify).await;
            let second = ScriptedEngine::start_on("127.0.0.2", move |_, r| vec![script(r)]).await;
            let instance = start(kind, &[&first, &second]);
            let ended = "sequoiastream_relay_attempts_total";
            let resume = async {
                while samples(&instance, &[ended]).await.is_empty() {}
                notify.notify_one();
            };
            let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
            assert_eq!(status(&got), "200", "{kind:?} {got}");
            assert_eq!(hedges(&instance).await, ["lost 1", "sent 1"]);
            assert_eq!(second.log().requests.len(), 1);
        }
    }
}

/// Guards against more attempts than the route allows, and against a lost answer, if both engines fail.
#[actix_web::test]
async fn both_fail() {
    let failure = "HTTP/1.1 500 Oops\r\nx-seal: s\r\ncontent-length: 4\r\n\r\noops";
    let notify = Rc::new(Notify::new());
    let engine_notify = notify.clone();
    let script = move |_, _: &ReceivedRequest| {
        vec![
            Action::Await(engine_notify.clone()),
            Action::Send(failure.to_string()),
        ]
    };
    let first = ScriptedEngine::start(script).await;
    let script = |_, _: &ReceivedRequest| vec![Action::Send(failure.to_string())];
    let second = ScriptedEngine::start_on("127.0.0.2", script).await;
    let third = ScriptedEngine::start_on("127.0.0.3", |_, _| vec![Action::Hold]).await;
    let instance = start(RouteKind::Idempotent, &[&first, &second, &third]);
    let resume = async {
        wait_for_requests(&second, 1).await;
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert!(status(&got) == "500" && got.ends_with("oops"), "{got}");
    assert_eq!(third.log().requests.len(), 0);
    assert_eq!(hedges(&instance).await, ["sent 1"]);
}

/// Guards against a refusal that doesn't tell the caller that the request did not run, if both engines declined it.
#[actix_web::test]
async fn both_decline() {
    for kind in KINDS {
        let notify = Rc::new(Notify::new());
        let engine_notify = notify.clone();
        let script =
            move |_, request: &ReceivedRequest| vec![Action::Await(engine_notify.clone()), decline(request)];
        let first = ScriptedEngine::start(script).await;
        let second = ScriptedEngine::start_on("127.0.0.2", |_, r| vec![decline(r)]).await;
        let instance = start(kind, &[&first, &second]);
        let resume = async {
            wait_for_requests(&second, 1).await;
            notify.notify_one();
        };
        let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
        assert_eq!(status(&got), "503", "{kind:?} {got}");
    }
}

/// Guards against a refusal that says that the request did not run although an engine may have run it: one hangs until
/// its connection is closed, the other one declines.
#[actix_web::test]
async fn one_hangs_one_declines() {
    for kind in KINDS {
        let first = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
        let notify = Rc::new(Notify::new());
        let engine_notify = notify.clone();
        let script =
            move |_, request: &ReceivedRequest| vec![Action::Await(engine_notify.clone()), decline(request)];
        let second = ScriptedEngine::start_on("127.0.0.2", script).await;
        let instance = start(kind, &[&first, &second]);
        let resume = async {
            wait_for_requests(&second, 1).await;
            if kind == RouteKind::Resumable {
                first.wait_for(|log| log.disconnects == 1).await;
            }
            notify.notify_one();
        };
        let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", "x-deadline: 1500\r\n"), resume);
        assert!(["502", "504"].contains(&status(&got)), "{kind:?} {got}");
        first.wait_for(|log| log.disconnects == 1).await;
    }
}

/// Guards against connections to two hanging engines that stay open after the request has expired.
#[actix_web::test]
async fn both_hang() {
    let first = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
    let second = hanging_engine().await;
    let instance = start(RouteKind::Idempotent, &[&first, &second]);
    let got = instance.get("/r/x", "q1", "x-deadline: 300\r\n").await;
    assert_eq!(status(&got), "504", "{got}");
    for engine in [&first, &second] {
        engine.wait_for(|log| log.disconnects == 1).await;
        assert_eq!(engine.log().requests.len(), 1);
    }
}

/// Guards against connections to two engines that stay open after the caller has gone.
#[actix_web::test]
async fn caller_leaves() {
    let first = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
    let second = hanging_engine().await;
    let instance = start(RouteKind::Idempotent, &[&first, &second]);
    let mut caller = instance.connect().await;
    caller.send(&get_request("/r/x", "q1", "")).await;
    wait_for_requests(&second, 1).await;
    drop(caller);
    for engine in [&first, &second] {
        engine.wait_for(|log| log.disconnects == 1).await;
    }
}

/// Guards against a retry that is refused because hedges have used up the budget of extra attempts: there is no hedge
/// once half of it is used, and a request whose engine breaks off is still sent to another one.
#[actix_web::test]
async fn budget_used_up() {
    let notify = Rc::new(Notify::new());
    let engine_notify = notify.clone();
    let script = move |_, _: &ReceivedRequest| vec![Action::Await(engine_notify.clone()), Action::Reset];
    let first = ScriptedEngine::start(script).await;
    let second = quick_engine(RouteKind::Idempotent).await;
    let instance = start(RouteKind::Idempotent, &[&first, &second]);
    // Half of the 28 extra attempts that the settings allow.
    for _ in 0..14 {
        assert!(instance.shared.traffic().budget.try_take(clock::now(), "chat"));
    }
    let resume = async {
        wait_for_hedge(&instance, "budget 1").await;
        assert_eq!(second.log().requests.len(), 0);
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_eq!(status(&got), "200", "{got}");
    assert_eq!(hedges(&instance).await, ["budget 1"]);
}

/// Guards against a request that runs twice although it may run only once. A request that was sent later and may be
/// hedged shows that it was time.
#[actix_web::test]
async fn not_idempotent() {
    for kind in [RouteKind::Once, RouteKind::Stream] {
        let notify = Rc::new(Notify::new());
        let first = waiting_engine(kind, &notify).await;
        let script = |_, _: &ReceivedRequest| vec![Action::Hold];
        let second = ScriptedEngine::start_on("127.0.0.2", script).await;
        let third = ScriptedEngine::start_on("127.0.0.3", script).await;
        let instance = start(kind, &[&first, &second, &third]);
        instance.shared.publish(|view| {
            let routes = vec![route(kind, "/r/"), route(RouteKind::Idempotent, "/i/")];
            view.table = Arc::new(RoutingTable::new(3, CallerLimits::default(), routes, Vec::new()));
        });
        let resume = async {
            wait_for_requests(&first, 1).await;
            let mut caller = instance.connect().await;
            caller.send(&get_request("/i/x", "q2", "")).await;
            wait_for_hedge(&instance, "sent 1").await;
            notify.notify_one();
        };
        let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
        assert_eq!(status(&got), "200", "{kind:?} {got}");
        let engines = [&first, &second, &third];
        let requests = engines.iter().flat_map(|engine| engine.log().requests);
        let once = requests.filter(|request| request.header("x-request") == Some("q1"));
        assert_eq!(once.count(), 1, "{kind:?}");
    }
}

/// Guards against an effect of hedges where they are off: a request waits until its engine counts as silent.
#[actix_web::test]
async fn off_by_default() {
    for kind in KINDS {
        let silent = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
        let quick = quick_engine(kind).await;
        let engines = [(&silent, Stage::Whole), (&quick, Stage::Whole)];
        let instance = Instance::start(kind, &engines, |_| {});
        observe(&instance, millis(1));
        let got = instance.get("/r/x", "q1", "").await;
        assert_eq!(status(&got), "200", "{kind:?} {got}");
        assert_eq!(samples(&instance, &[SILENT_ATTEMPTS]).await.len(), 1);
        assert_eq!(hedges(&instance).await, Vec::<String>::new());
    }
}

/// Guards against a stream that is sent to a second engine after its first event, for which the caller has the first one's
/// answer already: only the silence of its engine leads to another one then.
#[actix_web::test]
async fn stream_begun() {
    let notify = Rc::new(Notify::new());
    let engine_notify = notify.clone();
    let script = move |_, request: &ReceivedRequest| {
        vec![
            Action::Send(event_stream(request, 1..=1)),
            Action::Await(engine_notify.clone()),
            Action::Send(chunk(&event(2)) + "0\r\n\r\n"),
        ]
    };
    let first = ScriptedEngine::start(script).await;
    let second = hanging_engine().await;
    let instance = start(RouteKind::Resumable, &[&first, &second]);
    // The first event takes less.
    enable(&instance, millis(300));
    let resume = async {
        second.wait_for(|log| log.requests.len() == 1).await;
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert!(got.contains("token 2"), "{got}");
    assert_eq!(hedges(&instance).await, Vec::<String>::new());
    assert_eq!(samples(&instance, &[SILENT_ATTEMPTS]).await.len(), 1);
}

/// Guards against an engine that hangs and gets most of the requests, since it looks idle: others answer them before it
/// would count as silent.
#[actix_web::test]
async fn hanging_engine_avoided() {
    let hanging = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
    let quick = quick_engine(RouteKind::Idempotent).await;
    let instance = start(RouteKind::Idempotent, &[&hanging, &quick]);
    for number in 0..4 {
        let got = instance.get("/r/x", &format!("q{number}"), "").await;
        assert_eq!(status(&got), "200", "{got}");
    }
    assert_eq!((hanging.log().requests.len(), quick.log().requests.len()), (3, 4));
    assert_eq!(hedges(&instance).await, ["sent 3", "won 3"]);
}

/// Guards against a second send by an old configuration, after the route was led elsewhere.
#[actix_web::test]
async fn route_changed() {
    let notify = Rc::new(Notify::new());
    let first = waiting_engine(RouteKind::Idempotent, &notify).await;
    let second = hanging_engine().await;
    let instance = start(RouteKind::Idempotent, &[&first, &second]);
    enable(&instance, millis(200));
    let resume = async {
        wait_for_requests(&first, 1).await;
        instance.shared.publish(|view| {
            let mut changed = route(RouteKind::Idempotent, "/r/");
            changed.targets[0].service = "other".to_string();
            let table = RoutingTable::new(4, CallerLimits::default(), vec![changed], Vec::new());
            view.table = Arc::new(table);
        });
        wait_for_hedge(&instance, "version 1").await;
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_eq!(status(&got), "200", "{got}");
    assert_eq!(second.log().requests.len(), 0);
}

/// Guards against a request that crashes two engines at a time, after one has ended under it.
#[actix_web::test]
async fn suspect_request() {
    let notify = Rc::new(Notify::new());
    let first = waiting_engine(RouteKind::Idempotent, &notify).await;
    let second = hanging_engine().await;
    let instance = start(RouteKind::Idempotent, &[&first, &second]);
    let identity = RequestIdentity::from(Fingerprint::of_forwarded("GET", "/r/x", b""));
    instance
        .shared
        .traffic()
        .suspects
        .on_crash(clock::now(), &identity, 7);
    let resume = async {
        wait_for_hedge(&instance, "suspect 1").await;
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_eq!(status(&got), "200", "{got}");
    assert_eq!(second.log().requests.len(), 0);
}
