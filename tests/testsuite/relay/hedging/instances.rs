//! Hedged requests at whole instances, whose engines are slow, hang, fail or crash.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sequoiastream::util::clock;
use sequoiastream_core::poison::Fingerprint;
use sequoiastream_core::poison::suspects::Outcome;
use sequoiastream_core::poison::suspects::RequestIdentity;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::CallerLimits;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::RoutingTable;
use tokio::sync::Notify;

use super::millis;
use crate::relay::answers::event_stream;
use crate::relay::engine::Action;
use crate::relay::engine::ReceivedRequest;
use crate::relay::engine::ScriptedEngine;
use crate::relay::engine::answer;
use crate::relay::engine::chunk;
use crate::relay::engine::decline;
use crate::relay::engine::event;
use crate::relay::instance::Instance;
use crate::relay::instance::get_request;
use crate::relay::instance::route;
use crate::relay::instance::status;
use crate::relay::metrics::samples;
use crate::relay::wait_until;

const HEDGES: &str = "sequoiastream_relay_hedges";

const SILENT_ATTEMPTS: &str = "sequoiastream_relay_attempts_total{result=\"silent\"}";

/// Longer than two engines work on the same stream.
const PAST_OVERLAP: Duration = Duration::from_millis(350);

/// Kinds of routes whose requests may be hedged.
const KINDS: [RouteKind; 2] = [RouteKind::Idempotent, RouteKind::Resumable];

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
pub(super) async fn hedges(instance: &Instance) -> Vec<String> {
    let samples = samples(instance, &[HEDGES]).await;
    let mut values: Vec<String> = samples
        .iter()
        .filter_map(|sample| Some(sample.split_once("=\"")?.1.replace("\"}", "")))
        .collect();
    values.sort();
    values
}

/// Waits until the page of metrics shows `value` among the hedges.
pub(super) async fn wait_for_hedge(instance: &Instance, value: &str) {
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

/// Guards against calls that are never hedged because their route had few answers at this instance, and against streams
/// that are hedged by the latency of calls.
#[actix_web::test]
async fn calls_of_service() {
    for kind in KINDS {
        let slow = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
        let quick = quick_engine(kind).await;
        let engines = [(&slow, Stage::Whole), (&quick, Stage::Whole)];
        let instance = Instance::start(kind, &engines, |route| route.name = "other".to_string());
        enable(&instance, millis(1));
        for _ in 0..40 {
            let now = clock::now();
            let mut traffic = instance.shared.traffic();
            traffic.hedging.latencies.on_call(now, "chat", millis(1));
        }
        let got = instance.get("/r/x", "q1", "").await;
        assert_eq!(status(&got), "200", "{kind:?} {got}");
        let is_hedged = hedges(&instance).await == ["sent 1", "won 1"];
        assert_eq!(is_hedged, kind == RouteKind::Idempotent, "{kind:?}");
    }
}

/// Guards against answers that are left out: the calls that may run only once say as well how long a service takes.
/// Streams say nothing about calls.
#[actix_web::test]
async fn calls_counted() {
    for kind in [RouteKind::Idempotent, RouteKind::Once, RouteKind::Stream] {
        let quick = quick_engine(kind).await;
        let instance = Instance::start(kind, &[(&quick, Stage::Whole)], |_| {});
        let mut options = (*instance.shared.reloadable()).clone();
        options.hedge_ratio = 0.2;
        instance.shared.reload(options);
        for number in 0..30 {
            let got = instance.get("/r/x", &format!("q{number}"), "").await;
            assert_eq!(status(&got), "200", "{kind:?} {got}");
        }
        let mut traffic = instance.shared.traffic();
        let latency = traffic
            .hedging
            .latencies
            .call_latency(clock::now(), "other", "chat");
        assert_eq!(latency.is_some(), !kind.is_stream(), "{kind:?}");
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
        let second = waiting_engine_on("127.0.0.2", kind, &second_notify).await;
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
        let second = waiting_engine_on("127.0.0.2", kind, &notify).await;
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
            // Of 28.14 extra attempts, one was taken for the hedge, and none for a retry that doesn't follow.
            let remaining = instance.shared.traffic().budget.remaining(clock::now(), "chat");
            assert!((27.0..28.0).contains(&remaining), "{kind:?} {remaining}");
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
    // The caller of a stream learns it at once, as the first engine was closed. A call waits for its first engine.
    for (kind, deadline, expected) in [
        (RouteKind::Idempotent, 600, "504"),
        (RouteKind::Resumable, 5_000, "502"),
    ] {
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
        let deadline = format!("x-deadline: {deadline}\r\n");
        let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", &deadline), resume);
        assert_eq!(status(&got), expected, "{kind:?} {got}");
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

/// Guards against an engine that is silent for longer than it may be, because a hedge was denied before: the time until
/// then counts as well. A request that is sent 300 ms later at an instance without hedges is answered later.
#[actix_web::test]
async fn denied_then_silent() {
    for kind in KINDS {
        let silent = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
        let quick = quick_engine(kind).await;
        let engines = [(&silent, Stage::Whole), (&quick, Stage::Whole)];
        let (instance, other) = (
            Instance::start(kind, &engines, |_| {}),
            Instance::start(kind, &engines, |_| {}),
        );
        enable(&instance, millis(450));
        for _ in 0..20 {
            let now = clock::now();
            instance.shared.traffic().hedging.limiter.on_hedge(now, "chat");
        }
        let later = async {
            let sent = Instant::now();
            wait_until(|| sent.elapsed() > millis(300)).await;
            other.get("/r/x", "q2", "").await
        };
        let got = tokio::select! {
            got = instance.get("/r/x", "q1", "") => got,
            got = later => panic!("{kind:?} answered before {got}"),
        };
        assert_eq!(status(&got), "200", "{kind:?} {got}");
        assert_eq!(hedges(&instance).await, ["limit 1"]);
        assert_eq!(samples(&instance, &[SILENT_ATTEMPTS]).await.len(), 1);
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
