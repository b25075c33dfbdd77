//! The end of a shutdown.

use std::time::Duration;
use std::time::Instant;

use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;

use super::engine::ScriptedEngine;
use super::engine::answer;
use super::instance::Instance;
use super::instance::get_request;
use super::wait_until;

/// Length of an answer that doesn't fit into the buffers of a connection.
const LENGTH: usize = (8 << 20) - 1;

/// Longer than a caller takes to read the answer.
const LIMIT: Duration = Duration::from_secs(20);

async fn instance_with_long_answer() -> (Instance, super::instance::Caller) {
    let engine = ScriptedEngine::start(|_, request| vec![answer(request, &"x".repeat(LENGTH))]).await;
    let instance = Instance::start(RouteKind::Idempotent, &[(&engine, Stage::Whole)], |_| {});
    let mut caller = instance.connect().await;
    caller
        .send(&get_request("/r/x", "q", "connection: close\r\n"))
        .await;
    engine.wait_for(|log| log.requests.len() == 1).await;
    wait_until(|| instance.shared.running() == 0).await;
    (instance, caller)
}

/// Guards against an answer that is cut by the end of a shutdown because its caller reads slowly: the request no longer
/// counts as running.
#[actix_web::test]
async fn answer_written_first() {
    let (instance, mut caller) = instance_with_long_answer().await;
    let (got, ()) = futures_util::join!(caller.read_to_end(), instance.stop(LIMIT));
    let body = got.split_once("\r\n\r\n").map_or(0, |(_, body)| body.len());
    assert_eq!(body, LENGTH);
}

/// Guards against a process that doesn't end in time because a caller reads nothing.
#[actix_web::test]
async fn limit_without_reader() {
    let (instance, _caller) = instance_with_long_answer().await;
    let begun = Instant::now();
    instance.stop(Duration::from_millis(100)).await;
    assert!(begun.elapsed() < LIMIT);
}

/// Guards against a shutdown that waits for idle connections of callers.
#[actix_web::test]
async fn idle_closed_at_once() {
    let engine = ScriptedEngine::start(|_, request| vec![answer(request, "whole")]).await;
    let instance = Instance::start(RouteKind::Idempotent, &[(&engine, Stage::Whole)], |_| {});
    let mut caller = instance.connect().await;
    caller.send(&get_request("/r/x", "q", "")).await;
    caller.read_until("whole").await;
    let begun = Instant::now();
    futures_util::join!(caller.read_to_end(), instance.stop(LIMIT));
    assert!(begun.elapsed() < LIMIT / 2);
}
