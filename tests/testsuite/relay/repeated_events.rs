//! Streams whose event ids don't rise: an engine that is to continue a stream starts it again.

use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;

use super::answers::event_stream;
use super::engine::Action;
use super::engine::ScriptedEngine;
use super::engine::chunk;
use super::engine::event;
use super::engine::head;
use super::instance::Instance;
use super::instance::status;
use super::versions::know_versions;

/// The last chunk of an answer.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// The ids of the events of a stream.
fn ids(text: &str) -> Vec<&str> {
    text.lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect()
}

/// What a caller that has received a part of a stream gets, if the instance is certain which version made it.
async fn take_up(instance: &Instance, resume: &str) -> String {
    know_versions(&instance.shared, &["v1"]);
    instance.get("/r/x", "q", resume).await
}

/// Guards against events that reach the caller twice because the engine that continues a stream ignores the id of the last
/// event. Another engine must continue it, or the stream be broken off.
#[actix_web::test]
async fn restarted_stream_not_delivered() {
    for has_spare in [false, true] {
        let broken = ScriptedEngine::start(|_, request| {
            vec![Action::Send(event_stream(request, 1..=2)), Action::Close]
        })
        .await;
        let forgetful =
            ScriptedEngine::start(|_, request| vec![Action::Send(event_stream(request, 1..=4) + LAST_CHUNK)])
                .await;
        let spare = ScriptedEngine::start(|_, request| {
            let last = request
                .header("x-resume")
                .map_or(0, |id| id.parse().expect("an id"));
            vec![Action::Send(event_stream(request, last + 1..=4) + LAST_CHUNK)]
        })
        .await;
        let mut engines = vec![(&broken, Stage::Decode), (&forgetful, Stage::Decode)];
        engines.extend(has_spare.then_some((&spare, Stage::Decode)));
        let instance = Instance::start(RouteKind::Resumable, &engines, |route| route.max_attempts = 3);
        for number in 0..8 {
            let got = instance
                .get(&format!("/r/{number}"), &format!("q{number}"), "")
                .await;
            let ids = ids(&got);
            assert!(ids.is_sorted_by(|a, b| a < b), "{has_spare}: {got}");
            let is_whole = got.ends_with(LAST_CHUNK);
            assert_eq!(is_whole, ids.len() == 4, "{has_spare}: {got}");
        }
        assert!(!broken.log().requests.is_empty() && !forgetful.log().requests.is_empty());
    }
}

/// Guards against events that a returning caller has already received: its engine ignores the id of the last one.
#[actix_web::test]
async fn taken_up_stream_not_restarted() {
    let engine =
        ScriptedEngine::start(|_, request| vec![Action::Send(event_stream(request, 1..=4) + LAST_CHUNK)])
            .await;
    let instance = Instance::start(RouteKind::Resumable, &[(&engine, Stage::Decode)], |_| {});
    let got = take_up(&instance, "x-resume: 2\r\n").await;
    assert_eq!((status(&got), ids(&got)), ("502", Vec::new()), "{got}");
}

/// Guards against an event that an engine sends again within one answer.
#[actix_web::test]
async fn event_sent_again() {
    for again in [1, 2] {
        let engine = ScriptedEngine::start(move |_, request| {
            let text = event_stream(request, 1..=2) + &chunk(&event(again)) + LAST_CHUNK;
            vec![Action::Send(text)]
        })
        .await;
        let instance = Instance::start(RouteKind::Stream, &[(&engine, Stage::Decode)], |_| {});
        let got = instance.get("/r/x", "q", "").await;
        assert_eq!(ids(&got), ["1", "2"], "{got}");
        assert!(!got.ends_with(LAST_CHUNK), "{got}");
    }
}

/// Guards against a stream that is broken off because its engine puts several tokens into one event, so that ids are
/// skipped, or because a stream that was to be continued had ended.
#[actix_web::test]
async fn skipped_ids_whole() {
    let engine = ScriptedEngine::start(|_, request| {
        let ids: &[u64] = match request.header("x-resume") {
            Some("9") => &[],
            Some("3") => &[7, 9],
            _ => &[3, 7, 9],
        };
        let events: String = ids.iter().map(|id| chunk(&event(*id))).collect();
        let head = head(request, "transfer-encoding: chunked\r\n");
        vec![Action::Send(head + &events + LAST_CHUNK)]
    })
    .await;
    let instance = Instance::start(RouteKind::Resumable, &[(&engine, Stage::Decode)], |_| {});
    for (resume, expected) in [
        ("", vec!["3", "7", "9"]),
        ("x-resume: 3\r\n", vec!["7", "9"]),
        ("x-resume: 9\r\n", vec![]),
    ] {
        let got = take_up(&instance, resume).await;
        assert_eq!((status(&got), ids(&got)), ("200", expected), "{got}");
        assert!(got.ends_with(LAST_CHUNK), "{got}");
    }
}
