//! Callers that can't tell a stream that was broken off from one that has ended.

use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;

use super::answers::event_stream;
use super::engine::Action;
use super::engine::ScriptedEngine;
use super::engine::answer;
use super::instance::Instance;
use super::instance::get_request;
use super::instance::status;

/// The last chunk of an answer.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// A GET request in HTTP/1.0.
fn old_request(more: &str) -> String {
    get_request("/r/x", "q", more).replace("HTTP/1.1", "HTTP/1.0")
}

/// Guards against a caller that speaks HTTP/1.0 and takes a stream that was broken off for complete, because chunks are no
/// part of that protocol. No engine may be asked.
#[actix_web::test]
async fn old_caller_gets_no_stream() {
    for kind in [RouteKind::Stream, RouteKind::Resumable] {
        for more in ["", "connection: keep-alive\r\n", "connection: close\r\n"] {
            let engine = ScriptedEngine::start(|_, request| {
                vec![Action::Send(event_stream(request, 1..=2)), Action::Close]
            })
            .await;
            let instance = Instance::start(kind, &[(&engine, Stage::Decode)], |_| {});
            let mut caller = instance.connect().await;
            caller.send(&old_request(more)).await;
            let got = caller.read_until("\r\n\r\n").await;
            assert_eq!(status(&got), "505", "{kind:?}, {more:?}: {got}");
            assert_eq!(engine.log().requests.len(), 0, "{kind:?}, {more:?}");
        }
    }
}

/// Guards against a caller that speaks HTTP/1.0 and can't tell whether it has received the whole body.
#[actix_web::test]
async fn old_caller_gets_length() {
    let engine = ScriptedEngine::start(|_, request| vec![answer(request, "whole")]).await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    let got = instance.exchange(&old_request("")).await;
    assert!(got.ends_with("\r\n\r\nwhole"), "{got}");
    assert!(got.contains("content-length: 5\r\n"), "{got}");
}

/// Guards against a stream that is broken off and looks complete to a caller that asked for its connection to be closed, or
/// to be kept.
#[actix_web::test]
async fn broken_off_without_last_chunk() {
    for more in ["", "connection: close\r\n", "connection: keep-alive\r\n"] {
        let engine = ScriptedEngine::start(|_, request| {
            vec![Action::Send(event_stream(request, 1..=2)), Action::Close]
        })
        .await;
        let instance = Instance::start(RouteKind::Stream, &[(&engine, Stage::Decode)], |_| {});
        let got = instance.exchange(&get_request("/r/x", "q", more)).await;
        assert!(got.contains("transfer-encoding: chunked\r\n"), "{more:?}: {got}");
        assert!(
            got.contains("token 2") && !got.ends_with(LAST_CHUNK),
            "{more:?}: {got}"
        );
    }
}
