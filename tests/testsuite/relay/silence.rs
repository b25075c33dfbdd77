//! Engines that fall silent and go on: an instance must not end an answer that its engine would have completed.

use std::rc::Rc;

use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;
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
use super::instance::status;
use super::metrics::samples;
use super::wait_until;

const DENIED: &str = "sequoiastream_relay_extra_attempts_total{result=\"denied\"}";

/// An engine that sends the first event of a stream, and the rest once it is notified.
async fn pausing_engine(go_on: &Rc<Notify>) -> ScriptedEngine {
    let go_on = go_on.clone();
    ScriptedEngine::start(move |_, request| {
        vec![
            Action::Send(event_stream(request, 1..=1)),
            Action::Await(go_on.clone()),
            Action::Send(chunk(&event(2)) + "0\r\n\r\n"),
        ]
    })
    .await
}

/// Leaves the instance no extra attempts.
fn exhaust_budget(instance: &Instance) {
    let mut options = (*instance.shared.reloadable()).clone();
    options.budget_limits.ratio = 0.0;
    options.budget_limits.slack = 0.0;
    instance.shared.reload(options);
}

/// Notifies the engine once the instance has tried to take an extra attempt and got none.
async fn go_on_after_denial(instance: &Instance, go_on: &Notify) {
    while samples(instance, &[DENIED]).await.is_empty() {}
    go_on.notify_one();
}

fn ids(answer: &str) -> Vec<&str> {
    answer.lines().filter_map(|l| l.strip_prefix("id: ")).collect()
}

fn assert_whole(answer: &str) {
    assert_eq!(ids(answer), ["1", "2"], "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Guards against a stream that is cut although its engine, silent for a moment, would have completed it: the engine that
/// is to continue it declines.
#[actix_web::test]
async fn stream_other_declines() {
    let go_on = Rc::new(Notify::new());
    let silent = pausing_engine(&go_on).await;
    let full = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
    let engines = [(&silent, Stage::Decode), (&full, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
    let resume = async {
        full.wait_for(|log| log.requests.len() == 1).await;
        go_on.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_whole(&got);
}

/// Guards against a stream that is cut for the silence of its engine while no extra attempt remains.
#[actix_web::test]
async fn stream_no_attempt_left() {
    let go_on = Rc::new(Notify::new());
    let silent = pausing_engine(&go_on).await;
    let spare = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
    let engines = [(&silent, Stage::Decode), (&spare, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
    exhaust_budget(&instance);
    let (got, ()) = futures_util::join!(
        instance.get("/r/x", "q1", ""),
        go_on_after_denial(&instance, &go_on)
    );
    assert_whole(&got);
    assert_eq!(spare.log().requests.len(), 0);
}

/// Guards against a stream that is cut because the engine that continues it falls silent as well, while the first one
/// goes on. The second engine's connection must be closed.
#[actix_web::test]
async fn stream_other_silent() {
    let go_on = Rc::new(Notify::new());
    let silent = pausing_engine(&go_on).await;
    let stuck = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
    let engines = [(&silent, Stage::Decode), (&stuck, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
    let resume = async {
        stuck.wait_for(|log| log.requests.len() == 1).await;
        go_on.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_whole(&got);
    stuck.wait_for(|log| log.disconnects == 1).await;
}

/// Guards against two engines that work on one stream for long: the connection to the silent engine is closed soon after
/// another engine got the stream, even before that one delivers an event.
#[actix_web::test]
async fn stream_silent_closed() {
    let go_on = Rc::new(Notify::new());
    let silent =
        ScriptedEngine::start(|_, request| vec![Action::Send(event_stream(request, 1..=1)), Action::Hold])
            .await;
    let later = go_on.clone();
    let slow = ScriptedEngine::start(move |_, request| {
        vec![
            Action::Await(later.clone()),
            Action::Send(event_stream(request, 2..=2) + "0\r\n\r\n"),
        ]
    })
    .await;
    let engines = [(&silent, Stage::Decode), (&slow, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
    let resume = async {
        silent.wait_for(|log| log.disconnects == 1).await;
        go_on.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_whole(&got);
}

/// Guards against a failure that is reported to a caller although its engine, silent before the first byte of its
/// answer, would have answered, and no extra attempt remains to ask another engine.
#[actix_web::test]
async fn answer_no_attempt_left() {
    let calls: [fn(&ReceivedRequest) -> Action; 2] = [
        |request| answer(request, "whole"),
        |request| Action::Send(event_stream(request, 1..=2) + "0\r\n\r\n"),
    ];
    for (kind, call) in [RouteKind::Idempotent, RouteKind::Resumable]
        .into_iter()
        .zip(calls)
    {
        let go_on = Rc::new(Notify::new());
        let later = go_on.clone();
        let silent =
            ScriptedEngine::start(move |_, request| vec![Action::Await(later.clone()), call(request)]).await;
        let spare = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
        let engines = [(&silent, Stage::Whole), (&spare, Stage::Whole)];
        let instance = Instance::start(kind, &engines, |_| {});
        exhaust_budget(&instance);
        let (got, ()) = futures_util::join!(
            instance.get("/r/x", "q1", ""),
            go_on_after_denial(&instance, &go_on)
        );
        assert_eq!(status(&got), "200", "{kind:?} {got}");
    }
}

/// Guards against a failure that is reported to a caller although its engine would have answered, and there is no other
/// engine to ask.
#[actix_web::test]
async fn answer_no_other_engine() {
    let go_on = Rc::new(Notify::new());
    let later = go_on.clone();
    let silent =
        ScriptedEngine::start(move |_, request| vec![Action::Await(later.clone()), answer(request, "whole")])
            .await;
    let instance = Instance::start(RouteKind::Idempotent, &[(&silent, Stage::Whole)], |_| {});
    let patience = async {
        let started = std::time::Instant::now();
        // Longer than an attempt may be silent if another one may follow.
        wait_until(|| started.elapsed() > std::time::Duration::from_millis(900)).await;
        go_on.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), patience);
    assert_eq!(status(&got), "200", "{got}");
}
