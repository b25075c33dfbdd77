//! Engines that are silent for a time and then continue: an instance must not abort an answer that its engine would
//! have completed.

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

const DENIED_EXTRA_ATTEMPTS: &str = "sequoiastream_relay_extra_attempts_total{result=\"denied\"}";

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

fn assert_complete(answer: &str) {
    assert_eq!(ids(answer), ["1", "2"], "{answer}");
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
    assert_complete(&got);
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
    assert_complete(&got);
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
    assert_complete(&got);
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
    assert_complete(&got);
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
        let started = std::time::Instant::now();
        // Longer than the timeout of an attempt that another one may follow.
        wait_until(|| started.elapsed() > std::time::Duration::from_millis(900)).await;
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(instance.get("/r/x", "q1", ""), resume);
    assert_eq!(status(&got), "200", "{got}");
}
