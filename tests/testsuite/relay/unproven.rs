//! Statuses that promise that a request did not run, from engines that do not confirm it.

use std::time::Duration;

use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;

use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::answer;
use super::engine::event;
use super::engine::head;
use super::instance::Instance;
use super::instance::status;

/// Statuses that promise that a request did not run and will not run.
const PROMISES: [&str; 3] = [
    "503 Service Unavailable",
    "429 Too Many Requests",
    "408 Request Timeout",
];

const KINDS: [RouteKind; 4] = [
    RouteKind::Once,
    RouteKind::Idempotent,
    RouteKind::Stream,
    RouteKind::Resumable,
];

/// A signed answer with this status, which does not confirm that the request did not run.
fn unproven(request: &ReceivedRequest, status: &str) -> Action {
    let head = head(request, "content-length: 4\r\nretry-after: 1\r\n").replace("200 OK", status);
    Action::Send(head + "busy")
}

async fn busy_engine(status: &'static str) -> ScriptedEngine {
    ScriptedEngine::start(move |_, request| vec![unproven(request, status)]).await
}

/// Guards against a caller that is told that its request did not run, although it reached an engine that did not confirm
/// this: it sends an order again that has run.
#[actix_web::test]
async fn status_not_passed_on() {
    for promise in PROMISES {
        for kind in KINDS {
            let engine = busy_engine(promise).await;
            let instance = Instance::start(kind, &[(&engine, Stage::Whole)], |_| {});
            let got = instance.get("/r/x", "q1", "").await;
            assert_eq!(status(&got), "502", "{promise}, {kind:?}: {got}");
            assert!(
                !got.contains("x-seal") && !got.contains("retry-after"),
                "{promise}, {kind:?}: {got}"
            );
            assert_eq!(engine.log().requests.len(), 1, "{promise}, {kind:?}");
        }
    }
}

/// Guards against a request that is sent to a second engine although the first one may have run it, and against a caller
/// that gets a failure although its request may be repeated.
#[actix_web::test]
async fn status_repeated_if_allowed() {
    for promise in PROMISES {
        for kind in KINDS {
            let busy = busy_engine(promise).await;
            let healthy = ScriptedEngine::start(move |_, request| match kind.is_stream() {
                true => vec![
                    Action::Send(head(request, "connection: close\r\n") + &event(1)),
                    Action::Close,
                ],
                false => vec![answer(request, "token 1")],
            })
            .await;
            let engines = [(&busy, Stage::Whole), (&healthy, Stage::Whole)];
            let instance = Instance::start(kind, &engines, |route| route.max_attempts = 2);
            let got = instance.get("/r/x", "q1", "").await;
            let may_repeat = matches!(kind, RouteKind::Idempotent | RouteKind::Resumable);
            let expected = if may_repeat { "200" } else { "502" };
            assert_eq!(status(&got), expected, "{promise}, {kind:?}: {got}");
            let repeats = usize::from(may_repeat);
            assert_eq!(healthy.log().requests.len(), repeats, "{promise}, {kind:?}");
        }
    }
}

/// Guards against an order that runs twice, or is refused though it runs: an engine sends additional bytes after a complete
/// answer, which look like one that declines, but bear no request id.
#[actix_web::test]
async fn decline_without_id_proves_nothing() {
    for promise in ["503 Service Unavailable", "421 Misdirected Request"] {
        let engine = ScriptedEngine::start(move |_, request| match request.prior_requests {
            0 => vec![answer(request, "first")],
            _ => {
                let extra = format!("HTTP/1.1 {promise}\r\nx-declined: full\r\ncontent-length: 0\r\n\r\n");
                vec![Action::Send(extra), answer(request, "second")]
            }
        })
        .await;
        let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
        let got = instance.get("/r/x", "q0", "").await;
        assert_eq!(status(&got), "200", "{promise}: {got}");
        // A connection rests before it is used again.
        tokio::time::sleep(Duration::from_millis(60)).await;
        let got = instance.get("/r/x", "q1", "").await;
        assert_eq!(engine.log().connections, 1, "{promise}");
        assert_eq!(status(&got), "502", "{promise}: {got}");
    }
}
