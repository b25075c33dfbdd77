//! Answers that look as if they proved that a request did not run.

use std::time::Duration;

use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::answer;
use super::engine::decline;
use super::engine::head;
use super::instance::Instance;
use super::instance::status;

/// Kinds of routes whose requests may run once at most.
const UNREPEATABLE: [RouteKind; 2] = [RouteKind::Once, RouteKind::Stream];

/// Longer than a connection rests before it is used again.
const REST: Duration = Duration::from_millis(60);

/// An answer with this status and these header lines.
fn answer_with(request: &ReceivedRequest, status: &str, rest: &str) -> Action {
    let head = head(request, &format!("content-length: 0\r\n{rest}"));
    Action::Send(head.replace("200 OK", status))
}

/// Guards against a promise by status 421 alone: the engine that got the request does not confirm that it did not run it.
#[actix_web::test]
async fn misdirected_without_confirmation() {
    for kind in UNREPEATABLE {
        let engine =
            ScriptedEngine::start(|_, request| vec![answer_with(request, "421 Misdirected Request", "")]);
        let engine = engine.await;
        let instance = Instance::start(kind, &[(&engine, Stage::Whole)], |_| {});
        let got = instance.get("/r/x", "q1", "").await;
        assert_eq!(status(&got), "502", "{kind:?}: {got}");
        assert_eq!(engine.log().requests.len(), 1, "{kind:?}");
    }
}

/// Guards against a request that is sent to a second engine although the first one, which answers 421 without a
/// confirmation, may have run it, and against a failure of one that may be repeated.
#[actix_web::test]
async fn misdirected_repeated_if_allowed() {
    for kind in [RouteKind::Once, RouteKind::Idempotent] {
        let wrong =
            ScriptedEngine::start(|_, request| vec![answer_with(request, "421 Misdirected Request", "")]);
        let wrong = wrong.await;
        let healthy = ScriptedEngine::start(|_, request| vec![answer(request, "done")]).await;
        let engines = [(&wrong, Stage::Whole), (&healthy, Stage::Whole)];
        let instance = Instance::start(kind, &engines, |route| route.max_attempts = 2);
        let got = instance.get("/r/x", "q1", "").await;
        let (expected, repeats) = match kind {
            RouteKind::Idempotent => ("200", 1),
            _ => ("502", 0),
        };
        assert_eq!(status(&got), expected, "{kind:?}: {got}");
        assert_eq!(healthy.log().requests.len(), repeats, "{kind:?}");
    }
}

/// Guards against a promise by an answer that contradicts itself: it confirms that the request did not run, with the status
/// of one that ran.
#[actix_web::test]
async fn confirmation_with_status_of_run() {
    for answered in [
        "200 OK",
        "204 No Content",
        "500 Internal Server Error",
        "504 Gateway Timeout",
    ] {
        for kind in UNREPEATABLE {
            let engine = ScriptedEngine::start(move |_, request| {
                vec![answer_with(request, answered, "x-declined: 1\r\n")]
            });
            let engine = engine.await;
            let instance = Instance::start(kind, &[(&engine, Stage::Whole)], |_| {});
            let got = instance.get("/r/x", "q1", "").await;
            assert_eq!(status(&got), "502", "{answered}, {kind:?}: {got}");
        }
    }
}

/// Guards against a promise by an extra answer to an earlier send of the same id on the same connection, such as a repeat
/// of a caller that doesn't change its ids: the later request runs.
#[actix_web::test]
async fn extra_answer_to_same_id() {
    let engine = ScriptedEngine::start(|_, request| match request.prior_requests {
        0 => vec![answer(request, "first")],
        _ => vec![decline(request), answer(request, "second")],
    });
    let engine = engine.await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    let got = instance.get("/r/x", "q1", "").await;
    assert_eq!(status(&got), "200", "{got}");
    tokio::time::sleep(REST).await;
    let got = instance.get("/r/x", "q1", "").await;
    assert_eq!(engine.log().connections, 1);
    assert_eq!(status(&got), "502", "{got}");
}

/// Guards against a promise by an extra answer that arrives after many others, to a send that nobody remembers.
#[actix_web::test]
async fn extra_answer_to_same_id_late() {
    const BETWEEN: usize = 20;
    let engine = ScriptedEngine::start(|number, request| match number {
        n if n == BETWEEN + 1 => vec![decline(request), answer(request, "second")],
        _ => vec![answer(request, "first")],
    });
    let engine = engine.await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    for number in 0..=BETWEEN {
        let id = if number == 0 {
            "q".to_string()
        } else {
            format!("q{number}")
        };
        let got = instance.get("/r/x", &id, "").await;
        assert_eq!(status(&got), "200", "{got}");
        tokio::time::sleep(REST).await;
    }
    let got = instance.get("/r/x", "q", "").await;
    assert_eq!(engine.log().connections, 1);
    assert_eq!(status(&got), "502", "{got}");
}

/// Guards against a promise by an answer that names two requests.
#[actix_web::test]
async fn two_ids() {
    for ids in [
        "x-request: q1\r\nx-request: q0\r\n",
        "x-request: q0\r\nx-request: q1\r\n",
    ] {
        let declined =
            format!("HTTP/1.1 503 Service Unavailable\r\n{ids}x-declined: 1\r\ncontent-length: 0\r\n\r\n");
        let engine = ScriptedEngine::start(move |_, _| vec![Action::Send(declined.clone())]).await;
        let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
        let got = instance.get("/r/x", "q1", "").await;
        assert_eq!(status(&got), "502", "{ids}: {got}");
    }
}

/// Guards against another caller's answer, which names no request and arrives where an answer is expected.
#[actix_web::test]
async fn answer_without_id_on_used_connection() {
    let engine = ScriptedEngine::start(|_, request| match request.prior_requests {
        0 => vec![answer(request, "first")],
        _ => {
            let extra = "HTTP/1.1 200 OK\r\nx-seal: s\r\ncontent-length: 5\r\n\r\nextra".to_string();
            vec![Action::Send(extra), answer(request, "second")]
        }
    });
    let engine = engine.await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    instance.get("/r/x", "q0", "").await;
    tokio::time::sleep(REST).await;
    let got = instance.get("/r/x", "q1", "").await;
    assert!(!got.contains("extra"), "{got}");
}

/// Guards against a promise after a call for a prefill that the engine ran as the request itself: its answer is no result of a
/// prefill. Nor is the request sent to another engine.
#[actix_web::test]
async fn prefill_answered_as_run() {
    let answers: [fn(&ReceivedRequest) -> String; 2] = [
        |request| {
            head(
                request,
                "content-type: text/event-stream\r\ncontent-length: 0\r\n",
            )
        },
        |request| head(request, "content-length: 4\r\n") + "done",
    ];
    for (case, answered) in answers.into_iter().enumerate() {
        let start = || ScriptedEngine::start(move |_, request| vec![Action::Send(answered(request))]);
        let (prefill, other) = (start().await, start().await);
        let decode = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
        let engines = [
            (&prefill, Stage::Prefill),
            (&other, Stage::Prefill),
            (&decode, Stage::Decode),
        ];
        let instance = Instance::start(RouteKind::Stream, &engines, |_| {});
        let got = instance.get("/r/x", "q1", "x-tokens: 9000\r\n").await;
        assert_eq!(status(&got), "502", "case {case}: {got}");
        let engines = [&prefill, &other, &decode];
        let sent: usize = engines.iter().map(|engine| engine.log().requests.len()).sum();
        assert_eq!(sent, 1, "case {case}");
    }
}

/// Guards against a promise after a reset at any byte of a request: the engine has read some of it, and may run it.
#[actix_web::test]
async fn reset_at_any_byte() {
    let body = "x".repeat(300_000);
    for read in [1, 40, 160, 4_000, 200_000] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("a bound listener");
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut begun = vec![0; read];
                // Fails if the instance sends less than that.
                let _ = stream.read_exact(&mut begun).await;
                stream.set_zero_linger().expect("a socket");
            }
        });
        let instance = Instance::start_before(RouteKind::Once, &[(address, Stage::Whole)], |_| {});
        let got = instance.post("/r/x", "q1", &body).await;
        assert_eq!(status(&got), "502", "after {read} bytes: {got}");
    }
}
