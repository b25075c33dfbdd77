//! Streams that are to go on at an engine which answers without an event.

use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;

use super::answers::event_stream;
use super::engine::Action;
use super::engine::ScriptedEngine;
use super::engine::head;
use super::instance::Instance;

/// The last chunk of an answer.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Guards against a stream that looks complete before its last event: the engine that is to continue it closes the connection
/// right after the head of an answer that has neither a length nor chunks.
#[actix_web::test]
async fn unframed_continuation_not_whole() {
    let engines = [0, 1].map(|_| {
        ScriptedEngine::start(|_, request| {
            let text = match request.header("x-resume") {
                None => event_stream(request, 1..=1),
                Some(_) => head(request, ""),
            };
            vec![Action::Send(text), Action::Close]
        })
    });
    let [first, second] = engines;
    let (first, second) = (first.await, second.await);
    let engines = [(&first, Stage::Decode), (&second, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
    let got = instance.get("/r/x", "q", "").await;
    assert_eq!(first.log().requests.len() + second.log().requests.len(), 2);
    assert!(got.contains("token 1") && !got.ends_with(LAST_CHUNK), "{got}");
}
