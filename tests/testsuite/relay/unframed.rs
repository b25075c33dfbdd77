//! Answers with neither a length nor chunks, which end with their connection, and streams that end within an event.

use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;

use super::answers::event_stream;
use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::event;
use super::engine::head;
use super::instance::Instance;
use super::instance::status;

/// Start of the second event.
const PARTIAL_EVENT: &str = "id: 2\ndata: tok";

/// The last chunk of an answer.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// How the engine ends a stream within its second event.
#[derive(Debug, Clone, Copy)]
enum Framing {
    /// Neither a length nor chunks.
    None,
    /// Chunks, with a proper last one.
    Chunks,
}

fn partial_stream(request: &ReceivedRequest, framing: Framing) -> Vec<Action> {
    let text = match framing {
        Framing::None => head(request, "") + &event(1) + PARTIAL_EVENT,
        Framing::Chunks => {
            let length = PARTIAL_EVENT.len();
            event_stream(request, 1..=1) + &format!("{length:x}\r\n{PARTIAL_EVENT}\r\n{LAST_CHUNK}")
        }
    };
    vec![Action::Send(text), Action::Close]
}

/// Guards against an answer with neither a length nor chunks that is taken for empty or for broken off, and against
/// another request on its connection.
#[actix_web::test]
async fn unframed_body_whole() {
    for kind in [RouteKind::Once, RouteKind::Idempotent] {
        let engine = ScriptedEngine::start(|_, request| {
            vec![Action::Send(head(request, "") + "whole"), Action::Close]
        })
        .await;
        let instance = Instance::start(kind, &[(&engine, Stage::Whole)], |_| {});
        for number in 0..2 {
            let got = instance.get("/r/x", &format!("q{number}"), "").await;
            assert_eq!(status(&got), "200", "{kind:?}: {got}");
            assert!(got.ends_with("whole"), "{kind:?}: {got}");
        }
        let log = engine.log();
        assert!(log.requests.iter().all(|r| r.prior_requests == 0), "{kind:?}");
        // Besides the first one, one for each check whether the engine has ended; the second request is sent on such a one.
        assert!(log.connections <= 3, "{kind:?}: {}", log.connections);
    }
}

/// Guards against a stream with neither a length nor chunks that is taken for broken off at its proper end.
#[actix_web::test]
async fn unframed_stream_whole() {
    for kind in [RouteKind::Stream, RouteKind::Resumable] {
        let engine = ScriptedEngine::start(|_, request| {
            vec![
                Action::Send(head(request, "") + &event(1) + &event(2)),
                Action::Close,
            ]
        })
        .await;
        let instance = Instance::start(kind, &[(&engine, Stage::Decode)], |_| {});
        let got = instance.get("/r/x", "q", "").await;
        assert!(
            got.contains("token 2") && got.ends_with(LAST_CHUNK),
            "{kind:?}: {got}"
        );
        assert_eq!(engine.log().requests.len(), 1, "{kind:?}");
    }
}

/// Guards against a stream that ends within an event and looks complete to its caller.
#[actix_web::test]
async fn partial_event_broken_off() {
    for framing in [Framing::None, Framing::Chunks] {
        let engine = ScriptedEngine::start(move |_, request| partial_stream(request, framing)).await;
        let instance = Instance::start(RouteKind::Stream, &[(&engine, Stage::Decode)], |_| {});
        let got = instance.get("/r/x", "q", "").await;
        assert!(
            got.contains("token 1") && !got.contains("tok\r\n"),
            "{framing:?}: {got}"
        );
        assert!(!got.ends_with(LAST_CHUNK), "{framing:?}: {got}");
    }
}

/// Guards against a resumable stream that ends within an event and isn't continued, or is continued after a part of it.
#[actix_web::test]
async fn partial_event_resumed() {
    for framing in [Framing::None, Framing::Chunks] {
        let partial = ScriptedEngine::start(move |_, request| partial_stream(request, framing)).await;
        let healthy = ScriptedEngine::start(|_, request| match request.header("x-resume") {
            Some("1") => vec![Action::Send(event_stream(request, 2..=3) + LAST_CHUNK)],
            _ => vec![Action::Send(event_stream(request, 1..=3) + LAST_CHUNK)],
        })
        .await;
        let engines = [(&partial, Stage::Decode), (&healthy, Stage::Decode)];
        let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
        let got = instance.get("/r/x", "q", "").await;
        for id in 1..=3 {
            assert_eq!(
                got.matches(&event(id)).count(),
                1,
                "{framing:?}, event {id}: {got}"
            );
        }
        assert!(got.ends_with(LAST_CHUNK), "{framing:?}: {got}");
        assert_eq!(partial.log().requests.len(), 1, "{framing:?}");
    }
}
