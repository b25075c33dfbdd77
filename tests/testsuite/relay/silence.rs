//! Engines that are silent for a time and then continue: an instance must not abort an answer that its engine would
//! have completed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;
use tokio::sync::Notify;

use super::answers::event_stream;
use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::UnreachableAddress;
use super::engine::answer;
use super::engine::chunk;
use super::engine::decline;
use super::engine::event;
use super::engine::head;
use super::instance::Instance;
use super::instance::status;
use super::metrics::samples;
use super::wait_until;

const SILENT_ATTEMPTS: &str = "sequoiastream_relay_attempts_total{result=\"silent\"}";

const DENIED_EXTRA_ATTEMPTS: &str = "sequoiastream_relay_extra_attempts_total{result=\"denied\"}";

/// Longer than the connection to a silent engine stays open after the request is sent to another engine.
const PAST_OVERLAP: Duration = Duration::from_millis(350);

/// Replaces the address of the service's engine at `index`.
fn replace_address(instance: &Instance, index: usize, address: SocketAddr) {
    instance.shared.publish(|view| {
        let mut engines = view.engines().clone();
        let engine = &mut engines.get_mut("chat").expect("the service")[index];
        let entry = Entry {
            address,
            ..engine.entry.clone()
        };
        *engine = Engine::new(engine.key, entry);
        view.set_engines(engines);
    });
}

/// Waits until `duration` has passed.
async fn wait_for_duration(duration: Duration) {
    let started = Instant::now();
    wait_until(|| started.elapsed() > duration).await;
}

/// An engine that sends the first event of a stream, and the rest once it is notified.
async fn pausing_engine(notify: &Rc<Notify>) -> ScriptedEngine {
    let notify = notify.clone();
    ScriptedEngine::start(move |_, request| {
        vec![
            Action::Send(event_stream(request, 1..=1)),
            Action::Await(notify.clone()),
            Action::Send(chunk(&event(2)) + "0\r\n\r\n"),
        ]
    })
    .await
}

/// Sets the instance's budget of extra attempts to zero.
fn exhaust_budget(instance: &Instance) {
    let mut options = (*instance.shared.reloadable()).clone();
    options.budget_limits.ratio = 0.0;
    options.budget_limits.slack = 0.0;
    instance.shared.reload(options);
}

/// Notifies the engine once the instance has been denied an extra attempt.
async fn resume_after_denial(instance: &Instance, notify: &Notify) {
    while samples(instance, &[DENIED_EXTRA_ATTEMPTS]).await.is_empty() {}
    notify.notify_one();
}

fn ids(answer: &str) -> Vec<&str> {
    answer.lines().filter_map(|l| l.strip_prefix("id: ")).collect()
}

fn assert_complete(answer: &str, expected: &[&str]) {
    assert_eq!(ids(answer), expected, "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Guards against a stream that is aborted because its engine was briefly silent and the next engine declined it.
#[actix_web::test]
async fn stream_other_declines() {
    let notify = Rc::new(Notify::new());
    let silent = pausing_engine(&notify).await;
    let full = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
    let engines = [(&silent, Stage::Decode), (&full, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
    let resume = async {
        full.wait_for(|log| log.requests.len() == 1).await;
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_complete(&got, &["1", "2"]);
}

/// Guards against a stream that is aborted because its engine was briefly silent and no extra attempt remained.
#[actix_web::test]
async fn stream_no_attempt_left() {
    let notify = Rc::new(Notify::new());
    let silent = pausing_engine(&notify).await;
    let spare = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
    let engines = [(&silent, Stage::Decode), (&spare, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
    exhaust_budget(&instance);
    let (got, ()) = futures_util::join!(
        instance.get("/r/x", "q1", ""),
        resume_after_denial(&instance, &notify)
    );
    assert_complete(&got, &["1", "2"]);
    assert_eq!(spare.log().requests.len(), 0);
}

/// Guards against a stream that is aborted because the next engine is silent too, although the first one continues. The
/// connection to the next engine must be closed.
#[actix_web::test]
async fn stream_other_silent() {
    let notify = Rc::new(Notify::new());
    let silent = pausing_engine(&notify).await;
    let stuck = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
    let engines = [(&silent, Stage::Decode), (&stuck, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
    let resume = async {
        stuck.wait_for(|log| log.requests.len() == 1).await;
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_complete(&got, &["1", "2"]);
    stuck.wait_for(|log| log.disconnects == 1).await;
}

/// Guards against two engines that work on the same stream without a time limit. The connection to the silent engine
/// must be closed even if the next engine has not sent an event yet.
#[actix_web::test]
async fn stream_silent_closed() {
    let notify = Rc::new(Notify::new());
    let silent =
        ScriptedEngine::start(|_, request| vec![Action::Send(event_stream(request, 1..=1)), Action::Hold])
            .await;
    let engine_notify = notify.clone();
    let slow = ScriptedEngine::start(move |_, request| {
        vec![
            Action::Await(engine_notify.clone()),
            Action::Send(event_stream(request, 2..=2) + "0\r\n\r\n"),
        ]
    })
    .await;
    let engines = [(&silent, Stage::Decode), (&slow, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
    let resume = async {
        silent.wait_for(|log| log.disconnects == 1).await;
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_complete(&got, &["1", "2"]);
}

/// Guards against a request that fails because its engine was silent before the first byte of the answer, although no
/// extra attempt remained to ask another engine.
#[actix_web::test]
async fn answer_no_attempt_left() {
    let answers: [fn(&ReceivedRequest) -> Action; 2] = [
        |request| answer(request, "whole"),
        |request| Action::Send(event_stream(request, 1..=2) + "0\r\n\r\n"),
    ];
    for (kind, make_answer) in [RouteKind::Idempotent, RouteKind::Resumable]
        .into_iter()
        .zip(answers)
    {
        let notify = Rc::new(Notify::new());
        let engine_notify = notify.clone();
        let silent = ScriptedEngine::start(move |_, request| {
            vec![Action::Await(engine_notify.clone()), make_answer(request)]
        })
        .await;
        let spare = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
        let engines = [(&silent, Stage::Whole), (&spare, Stage::Whole)];
        let instance = Instance::start(kind, &engines, |_| {});
        exhaust_budget(&instance);
        let (got, ()) = futures_util::join!(
            instance.get("/r/x", "q1", ""),
            resume_after_denial(&instance, &notify)
        );
        assert_eq!(status(&got), "200", "{kind:?} {got}");
    }
}

/// Guards against a request that fails because its engine was briefly silent, although there is no other engine to ask.
#[actix_web::test]
async fn answer_no_other_engine() {
    let notify = Rc::new(Notify::new());
    let engine_notify = notify.clone();
    let silent = ScriptedEngine::start(move |_, request| {
        vec![Action::Await(engine_notify.clone()), answer(request, "whole")]
    })
    .await;
    let instance = Instance::start(RouteKind::Idempotent, &[(&silent, Stage::Whole)], |_| {});
    let resume = async {
        // Longer than the timeout of an attempt that another one may follow.
        wait_for_duration(Duration::from_millis(900)).await;
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_eq!(status(&got), "200", "{got}");
}

/// Guards against a stream that is aborted although its engine, silent for about a second, would have completed it: the
/// only other engine can't be reached, so the request is never sent to it.
#[actix_web::test]
async fn stream_other_unreachable() {
    let notify = Rc::new(Notify::new());
    let silent = pausing_engine(&notify).await;
    let unused = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
    let unreachable = UnreachableAddress::hanging().await;
    let engines = [(&silent, Stage::Decode), (&unused, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
    let change = async {
        silent.wait_for(|log| log.requests.len() == 1).await;
        replace_address(&instance, 1, unreachable.address);
        while samples(&instance, &[SILENT_ATTEMPTS]).await.is_empty() {}
        wait_for_duration(PAST_OVERLAP).await;
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), change);
    assert_complete(&got, &["1", "2"]);
}

/// Guards against a stream that is aborted although its engine, silent for about a second, would have completed it: its
/// connection is closed during the prefill for the other engine, which then declines.
#[actix_web::test]
async fn stream_prefill_slow() {
    let (notify, prefill_notify) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let silent = pausing_engine(&notify).await;
    let full = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
    let engine_notify = prefill_notify.clone();
    let prefiller = ScriptedEngine::start(move |number, request| match number {
        0 => vec![answer(request, "kept h0")],
        _ => vec![Action::Await(engine_notify.clone()), answer(request, "kept h1")],
    })
    .await;
    let engines = [
        (&silent, Stage::Decode),
        (&full, Stage::Decode),
        (&prefiller, Stage::Prefill),
    ];
    let instance = Instance::start(RouteKind::Resumable, &engines, |route| route.max_attempts = 3);
    let resume = async {
        prefiller.wait_for(|log| log.requests.len() == 2).await;
        wait_for_duration(PAST_OVERLAP).await;
        notify.notify_one();
        prefill_notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", "x-tokens: 9000\r\n"), resume);
    assert_complete(&got, &["1", "2"]);
}

/// Guards against a request that fails although its engine, silent before the first byte of the answer, would have
/// answered: the engine is abandoned before another engine has accepted the request.
#[actix_web::test]
async fn answer_other_declines() {
    for kind in [RouteKind::Idempotent, RouteKind::Resumable] {
        let notify = Rc::new(Notify::new());
        let engine_notify = notify.clone();
        let first = ScriptedEngine::start(move |_, request| {
            let whole = match kind {
                RouteKind::Idempotent => answer(request, "whole"),
                _ => Action::Send(event_stream(request, 1..=2) + "0\r\n\r\n"),
            };
            vec![Action::Await(engine_notify.clone()), whole]
        })
        .await;
        let full = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
        let engines = [(&first, Stage::Whole), (&full, Stage::Whole)];
        let instance = Instance::start(kind, &engines, |route| route.max_attempts = 3);
        let resume = async {
            first.wait_for(|log| log.requests.len() == 1).await;
            full.wait_for(|log| log.requests.len() == 1).await;
            notify.notify_one();
        };
        let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
        assert_eq!(status(&got), "200", "{kind:?} {got}");
    }
}

/// An engine that answers an idempotent request or a stream of two events in full once it is notified.
async fn waiting_engine(kind: RouteKind, notify: &Rc<Notify>) -> ScriptedEngine {
    let notify = notify.clone();
    ScriptedEngine::start(move |_, request| {
        let whole = match kind {
            RouteKind::Idempotent => answer(request, "whole"),
            _ => Action::Send(event_stream(request, 1..=2) + "0\r\n\r\n"),
        };
        vec![Action::Await(notify.clone()), whole]
    })
    .await
}

/// Guards against a request that fails with the error of another engine, although its engine, silent before the first
/// byte of the answer, would have answered.
#[actix_web::test]
async fn answer_other_fails() {
    let failure = "HTTP/1.1 500 Internal Server Error\r\nx-seal: s\r\ncontent-length: 4\r\n\r\noops";
    for kind in [RouteKind::Idempotent, RouteKind::Resumable] {
        let notify = Rc::new(Notify::new());
        let first = waiting_engine(kind, &notify).await;
        let failing = ScriptedEngine::start(move |_, _| vec![Action::Send(failure.to_string())]).await;
        let engines = [(&first, Stage::Whole), (&failing, Stage::Whole)];
        let instance = Instance::start(kind, &engines, |route| route.max_attempts = 2);
        let resume = async {
            failing.wait_for(|log| log.requests.len() == 1).await;
            wait_for_duration(PAST_OVERLAP).await;
            notify.notify_one();
        };
        let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
        assert_eq!(status(&got), "200", "{kind:?} {got}");
    }
}

/// Guards against a request that fails although its engine, silent before the first byte of the answer, answers soon
/// after another engine was asked, which never does. The connection to the other engine must be closed.
#[actix_web::test]
async fn answer_other_silent() {
    for kind in [RouteKind::Idempotent, RouteKind::Resumable] {
        let notify = Rc::new(Notify::new());
        let first = waiting_engine(kind, &notify).await;
        let stuck = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
        let engines = [(&first, Stage::Whole), (&stuck, Stage::Whole)];
        let instance = Instance::start(kind, &engines, |_| {});
        let resume = async {
            stuck.wait_for(|log| log.requests.len() == 1).await;
            notify.notify_one();
        };
        let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
        assert_eq!(status(&got), "200", "{kind:?} {got}");
        stuck.wait_for(|log| log.disconnects == 1).await;
    }
}

/// Guards against two engines that work on the same request without a time limit. The connection to the silent engine
/// must be closed even if the next engine has not answered yet.
#[actix_web::test]
async fn answer_silent_closed() {
    for kind in [RouteKind::Idempotent, RouteKind::Resumable] {
        let notify = Rc::new(Notify::new());
        let silent = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
        let slow = waiting_engine(kind, &notify).await;
        let engines = [(&silent, Stage::Whole), (&slow, Stage::Whole)];
        let instance = Instance::start(kind, &engines, |_| {});
        let resume = async {
            silent.wait_for(|log| log.disconnects == 1).await;
            notify.notify_one();
        };
        let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
        assert_eq!(status(&got), "200", "{kind:?} {got}");
    }
}

/// Guards against a request that fails although its silent engine would have answered: the engine is abandoned for one
/// that has no room.
#[actix_web::test]
async fn answer_other_full() {
    let notify = Rc::new(Notify::new());
    let engine_notify = notify.clone();
    let first = ScriptedEngine::start(move |_, request| {
        vec![Action::Await(engine_notify.clone()), answer(request, "whole")]
    })
    .await;
    let full = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
    let engines = [(&first, Stage::Whole), (&full, Stage::Whole)];
    let instance = Instance::start(RouteKind::Idempotent, &engines, |_| {});
    for _ in 0..32 {
        let now = clock::now();
        instance
            .shared
            .traffic()
            .load
            .begin(now, EngineKey(1), Duration::ZERO);
    }
    let resume = async {
        first.wait_for(|log| log.requests.len() == 1).await;
        wait_for_duration(Duration::from_millis(900)).await;
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_eq!(status(&got), "200", "{got}");
}

/// Guards against an attempt that is counted as one that may have run although its connection was never established, so
/// that the caller isn't told that the request did not run.
#[actix_web::test]
async fn refuse_unreachable() {
    let unused = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
    let unreachable = [
        UnreachableAddress::hanging().await,
        UnreachableAddress::hanging().await,
    ];
    let engines = [(&unused, Stage::Whole), (&unused, Stage::Whole)];
    let instance = Instance::start(RouteKind::Idempotent, &engines, |_| {});
    for (index, engine) in unreachable.iter().enumerate() {
        replace_address(&instance, index, engine.address);
    }
    let got = instance.get("/r/x", "q1", "x-deadline: 600\r\n").await;
    assert_eq!(status(&got), "503", "{got}");
}

/// Guards against a stream that is aborted before the route's maximum number of attempts, because one attempt whose
/// engine is first silent and then breaks off is counted twice.
#[actix_web::test]
async fn attempt_counted_once() {
    let (event_notify, reset_notify) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let (engine_event, engine_reset) = (event_notify.clone(), reset_notify.clone());
    let first = ScriptedEngine::start(move |_, request| {
        vec![
            Action::Send(event_stream(request, 1..=1)),
            Action::Await(engine_event.clone()),
            Action::Send(chunk(&event(2))),
            Action::Await(engine_reset.clone()),
            Action::Reset,
        ]
    })
    .await;
    let script = |number: usize, request: &ReceivedRequest| match request.header("x-resume") {
        Some("2") => vec![Action::Send(event_stream(request, 3..=3) + "0\r\n\r\n")],
        _ => {
            assert_eq!(number, 0);
            vec![Action::Hold]
        }
    };
    let other = ScriptedEngine::start(script).await;
    let engines = [(&first, Stage::Decode), (&other, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, |route| route.max_attempts = 3);
    let resume = async {
        other.wait_for(|log| log.requests.len() == 1).await;
        event_notify.notify_one();
        other.wait_for(|log| log.disconnects == 1).await;
        reset_notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_complete(&got, &["1", "2", "3"]);
}

/// Guards against an engine that is abandoned although it sends the head of its answer within the time limit, and the
/// first event within the same limit after the head: the other engine declines, and the request fails.
#[actix_web::test]
async fn first_event_after_head() {
    let (head_notify, event_notify) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let (engine_head, engine_event) = (head_notify.clone(), event_notify.clone());
    let first = ScriptedEngine::start(move |_, request| {
        vec![
            Action::Await(engine_head.clone()),
            Action::Send(head(request, "transfer-encoding: chunked\r\n")),
            Action::Await(engine_event.clone()),
            Action::Send(chunk(&event(1)) + "0\r\n\r\n"),
        ]
    })
    .await;
    let full = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
    let engines = [(&first, Stage::Whole), (&full, Stage::Whole)];
    let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
    // Shorter than the timeout of an attempt; twice the delay is longer.
    let delay = Duration::from_millis(350);
    let resume = async {
        first.wait_for(|log| log.requests.len() == 1).await;
        wait_for_duration(delay).await;
        head_notify.notify_one();
        wait_for_duration(delay).await;
        event_notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_complete(&got, &["1"]);
}
