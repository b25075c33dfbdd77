//! Engines that report in the headers of their answers that they accept no more requests: leaving ones, and paused
//! ones, which answered a request with 503 and accept none for a limited time.

use std::rc::Rc;

use tokio::sync::Notify;

use super::engine::Action;
use super::engine::ScriptedEngine;
use super::follow::follow_store;
use super::instance::Instance;
use super::instance::status;
use super::request_kinds::EngineGroup;
use super::request_kinds::FAILED;
use super::request_kinds::LEAVING;
use super::request_kinds::LEAVING_DECLINED;
use super::request_kinds::PAUSED;
use super::request_kinds::REQUEST_KINDS;
use super::request_kinds::RequestKind;
use super::request_kinds::SERVED;
use super::request_kinds::ScriptedAnswer;
use super::request_kinds::assert_ignored;
use super::request_kinds::assert_read_in_each_answer;
use super::request_kinds::broken_stream;
use super::request_kinds::constant_engine;
use super::request_kinds::is_refusal;
use super::request_kinds::pausing_engine;
use super::request_kinds::request_count;
use super::request_kinds::requests_refused;
use super::request_kinds::scripted_answer;
use super::request_kinds::send_request;
use super::request_kinds::send_requests;
use super::request_kinds::send_second_requests;
use super::request_kinds::start;
use super::request_kinds::start_request;
use super::store::FakeStore;
use super::wait_until;

/// Guards against a leaving engine that gets requests although another engine is idle, because the header is not read
/// for one kind of request.
#[actix_web::test]
async fn leaving_other_idle() {
    let mut seen = Vec::new();
    for kind in REQUEST_KINDS {
        let engines = EngineGroup::start(kind, LEAVING, 0, 2).await;
        let instance = start(kind, &engines.engines).await;
        engines.await_notice(&instance, kind).await;
        for number in 20..28 {
            let got = send_request(&instance, kind, number).await;
            assert_eq!(status(&got), "200", "{kind:?} {got}");
        }
        seen.push((kind, request_count(engines.reporting())));
    }
    assert_eq!(seen, REQUEST_KINDS.map(|kind| (kind, 1)));
}

/// Guards against a leaving engine that gets requests because it is the only one of its service: the caller must be
/// refused at once and told when to retry. A prefill is then computed by the engine that generates.
#[actix_web::test]
async fn leaving_alone() {
    assert_eq!(send_second_requests(LEAVING).await, requests_refused());
}

/// Guards against a paused engine that gets requests before its pause is over because it is the only one of its
/// service: the caller must be refused at once and told when to retry. A prefill is then computed by the engine that
/// generates.
#[actix_web::test]
async fn paused_alone() {
    assert_eq!(send_second_requests(PAUSED).await, requests_refused());
}

/// Guards against a leaving engine that gets requests because the header is not read in every answer: when it declines,
/// when it fails, or in the answer to a prefill.
#[actix_web::test]
async fn leaving_in_each_answer() {
    assert_read_in_each_answer(LEAVING, LEAVING_DECLINED).await;
}

/// Guards against a leaving engine that gets requests while the stream with its notice is running, because the headers
/// are read only at the end of the stream. Guards also against a truncation of that stream.
#[actix_web::test]
async fn leaving_stream_runs_on() {
    let kinds = [RequestKind::Stream, RequestKind::Resumable];
    let mut seen = Vec::new();
    for kind in kinds {
        let notify = Rc::new(Notify::new());
        let engine = pausing_engine(LEAVING, kind, &notify).await;
        let instance = start(kind, [&engine]).await;
        let mut caller = start_request(&instance).await;
        caller.read_until("token 1").await;
        let got = send_request(&instance, kind, 1).await;
        seen.push((kind, request_count(&engine), is_refusal(&got)));
        notify.notify_one();
        let got = caller.read_to_end().await;
        assert!(
            got.contains("token 4") && got.ends_with("0\r\n\r\n"),
            "{kind:?} {got}"
        );
    }
    assert_eq!(seen, kinds.map(|kind| (kind, 1, true)));
}

/// Guards against a leaving or paused engine that gets a retry, because another engine failed the request and no other
/// engine is left to try.
#[actix_web::test]
async fn unavailable_other_failed() {
    let mut seen = Vec::new();
    let mut expected = Vec::new();
    for kind in [
        RequestKind::Idempotent,
        RequestKind::Resumable,
        RequestKind::Prefill,
        RequestKind::Decode,
    ] {
        for notice in [LEAVING, LEAVING_DECLINED, PAUSED] {
            let failing = constant_engine(kind, FAILED).await;
            let engines = EngineGroup::single(kind, notice).await;
            let instance = start(kind, [&failing].into_iter().chain(&engines.engines)).await;
            for number in 0..4 {
                send_request(&instance, kind, number).await;
            }
            assert!(
                request_count(&failing) > 1,
                "{kind:?}: the other engine is tried first"
            );
            seen.push((kind, notice, request_count(engines.reporting())));
            expected.push((kind, notice, 1));
        }
    }
    assert_eq!(seen, expected);
}

/// Guards against a stream that is resumed at a leaving or paused engine because no other engine is left. The caller
/// must receive a truncated response.
#[actix_web::test]
async fn unavailable_not_resumed() {
    let notices = [LEAVING, PAUSED];
    let mut seen = Vec::new();
    for notice in notices {
        let stream = broken_stream(notice, false).await;
        assert!(stream.received.contains("token 2"), "{}", stream.received);
        let is_complete = stream.received.ends_with("0\r\n\r\n");
        seen.push((notice, request_count(&stream.unavailable), is_complete));
    }
    assert_eq!(seen, notices.map(|notice| (notice, 1, false)));
}

/// Guards against a stream that is resumed at a leaving or paused engine, or aborted, although another engine is idle.
#[actix_web::test]
async fn unavailable_resumed_elsewhere() {
    let notices = [LEAVING, PAUSED];
    let mut seen = Vec::new();
    for notice in notices {
        let stream = broken_stream(notice, true).await;
        let lines = stream.received.lines();
        let ids: Vec<&str> = lines.filter_map(|line| line.strip_prefix("id: ")).collect();
        assert_eq!(ids, ["1", "2", "3", "4"], "{}", stream.received);
        let resumed = stream.idle.log().requests.into_iter();
        let resumed = resumed.filter(|r| r.header("x-resume") == Some("2")).count();
        seen.push((notice, request_count(&stream.unavailable), resumed));
    }
    assert_eq!(seen, notices.map(|notice| (notice, 1, 1)));
}

/// Guards against a leaving or paused engine that has to send cached parts to the engine that computes the prefill,
/// because it is named as their source.
#[actix_web::test]
async fn unavailable_not_fetched() {
    let kind = RequestKind::Prefill;
    let notices = [LEAVING, LEAVING_DECLINED, PAUSED];
    let mut seen = Vec::new();
    for notice in notices {
        let engines = EngineGroup::start(kind, notice, 1, 2).await;
        let instance = start(kind, &engines.engines).await;
        engines.await_notice(&instance, kind).await;
        let prior_count = request_count(&engines.engines[0]);
        send_requests(&instance, kind).await;
        let source = engines.reporting().address().to_string();
        let prefills = engines.engines[0].log().requests.split_off(prior_count);
        assert!(!prefills.is_empty(), "{notice:?}: the other engine gets prefills");
        let is_named = prefills
            .iter()
            .any(|r| r.header("x-fetch") == Some(source.as_str()));
        seen.push((notice, is_named));
    }
    assert_eq!(seen, notices.map(|notice| (notice, false)));
}

/// Guards against a leaving or paused engine that gets requests again because a request from before the notice ends:
/// its answer has no notice, or asks for a shorter pause, or makes the instance avoid the engine for a shorter time.
#[actix_web::test]
async fn unavailable_despite_answer() {
    let kind = RequestKind::Once;
    let declined = scripted_answer("503 Service Unavailable", "x-declined: 1\r\n");
    let short = scripted_answer(
        "503 Service Unavailable",
        "x-declined: 1\r\nretry-after: 0.001\r\n",
    );
    let mut seen = Vec::new();
    let mut expected = Vec::new();
    for notice in [LEAVING, LEAVING_DECLINED, PAUSED] {
        for earlier in [SERVED, FAILED, declined, short] {
            let notify = Rc::new(Notify::new());
            let awaited = notify.clone();
            let engine = ScriptedEngine::start(move |number, request| match number {
                0 => vec![Action::Await(awaited.clone()), earlier.answer(kind, request)],
                1 => vec![notice.answer(kind, request)],
                _ => vec![SERVED.answer(kind, request)],
            })
            .await;
            let instance = start(kind, [&engine]).await;
            let mut caller = start_request(&instance).await;
            engine.wait_for(|log| log.requests.len() == 1).await;
            send_request(&instance, kind, 1).await;
            notify.notify_one();
            let got = caller.read_to_end().await;
            assert!(earlier.status.starts_with(status(&got)), "{notice:?} {got}");
            let mut refusals = 0;
            for number in 2..8 {
                let got = send_request(&instance, kind, number).await;
                refusals += usize::from(is_refusal(&got));
            }
            seen.push((notice, earlier, request_count(&engine), refusals));
            expected.push((notice, earlier, 2, 6));
        }
    }
    assert_eq!(seen, expected);
}

/// Starts an instance that follows `store`, and an engine that has answered one request with `notice` and is registered
/// as ready under the id `e0`.
async fn start_with_store(store: &FakeStore, notice: ScriptedAnswer) -> (Instance, ScriptedEngine) {
    let kind = RequestKind::Idempotent;
    let engine = EngineGroup::single(kind, notice).await.engines.remove(0);
    let instance = start(kind, []).await;
    store.put("config", "7 /r/");
    follow_store(&instance.shared, store).await;
    register(&instance, store, &engine, "e0", 1).await;
    let got = send_request(&instance, kind, 0).await;
    assert_eq!(
        request_count(&engine),
        1,
        "the engine gets the first request: {got}"
    );
    (instance, engine)
}

/// Writes the entry of a ready engine, and waits until the instance knows it.
async fn register(instance: &Instance, store: &FakeStore, engine: &ScriptedEngine, id: &str, sequence: u64) {
    let value = format!("chat {} ready {sequence}", engine.address());
    store.put(&format!("engines/{id}"), &value);
    wait_until(|| {
        let view = instance.shared.view.load();
        let mut engines = view.engines().values().flatten();
        engines.any(|e| e.entry.id == id && e.entry.sequence == sequence)
    })
    .await;
}

/// Removes the entry of the engine `e0`, and waits until the instance knows no engine.
async fn deregister(instance: &Instance, store: &FakeStore) {
    store.remove("engines/e0");
    wait_until(|| instance.shared.view.load().engines().is_empty()).await;
}

/// Guards against a leaving or paused engine that gets requests because its entry in the store is still ready, or is
/// updated to ready.
#[actix_web::test]
async fn unavailable_entry_ready() {
    let notices = [LEAVING, PAUSED];
    let mut seen = Vec::new();
    for notice in notices {
        let store = FakeStore::new();
        let (instance, engine) = start_with_store(&store, notice).await;
        register(&instance, &store, &engine, "e0", 2).await;
        let got = send_request(&instance, RequestKind::Idempotent, 1).await;
        seen.push((notice, request_count(&engine), is_refusal(&got)));
    }
    assert_eq!(seen, notices.map(|notice| (notice, 1, true)));
}

/// Guards against a leaving engine that gets requests because its entry expired and was created again, and the new
/// registration under the same id is taken for a new engine.
#[actix_web::test]
async fn leaving_registered_again() {
    assert_eq!(requests_after_registrations(LEAVING).await, [(1, true); 2]);
}

/// Guards against a paused engine that gets requests before its pause is over because its entry expired and was created
/// again, and the new registration under the same id is taken for a new engine.
#[actix_web::test]
async fn paused_registered_again() {
    assert_eq!(requests_after_registrations(PAUSED).await, [(1, true); 2]);
}

/// Registers an engine again, twice, after it answered its first request with `notice`. Sends a request after each
/// registration, and returns how many requests have reached the engine by then, and whether this one was refused.
async fn requests_after_registrations(notice: ScriptedAnswer) -> Vec<(usize, bool)> {
    let store = FakeStore::new();
    let (instance, engine) = start_with_store(&store, notice).await;
    let mut seen = Vec::new();
    for sequence in 2..4 {
        deregister(&instance, &store).await;
        register(&instance, &store, &engine, "e0", sequence).await;
        let got = send_request(&instance, RequestKind::Idempotent, 1).await;
        seen.push((request_count(&engine), is_refusal(&got)));
    }
    seen
}

/// Guards against an address that never gets requests again because an earlier engine there was leaving or paused. A
/// notice applies neither to the next engine at the address, which has another id, nor at an instance that did not
/// receive it.
#[actix_web::test]
async fn notice_scope() {
    for notice in [LEAVING, PAUSED] {
        let store = FakeStore::new();
        let (instance, engine) = start_with_store(&store, notice).await;
        deregister(&instance, &store).await;
        register(&instance, &store, &engine, "e1", 1).await;
        let got = send_request(&instance, RequestKind::Idempotent, 1).await;
        assert_eq!(
            (status(&got), request_count(&engine)),
            ("200", 2),
            "{notice:?} {got}"
        );
        assert_eq!(engine.log().requests[1].header("x-expect"), Some("e1"));
        let restarted = start(RequestKind::Idempotent, [&engine]).await;
        let got = send_request(&restarted, RequestKind::Idempotent, 2).await;
        assert_eq!(
            (status(&got), request_count(&engine)),
            ("200", 3),
            "{notice:?} {got}"
        );
        assert_eq!(engine.log().requests[2].header("x-expect"), Some("e0"));
    }
}

/// Guards against an engine that gets no more requests, or a caller that gets no answer, because of an invalid header.
#[actix_web::test]
async fn invalid_header_ignored() {
    for lines in [
        "x-declined: 1\r\nretry-after: soon\r\n",
        "x-declined: 1\r\nretry-after: -1\r\n",
        "x-declined: 1\r\nretry-after: NaN\r\n",
        "x-declined: 1\r\nretry-after: \r\n",
        "x-declined: 1\r\nretry-after: Wed, 21 Oct 2015 07:28:00 GMT\r\n",
        "x-declined: 1\r\nx-leaving: maybe\r\n",
    ] {
        assert_ignored(scripted_answer("503 Service Unavailable", lines)).await;
    }
    for lines in ["x-leaving: maybe\r\n", "x-leaving: 0\r\n", "x-leaving: \r\n"] {
        assert_ignored(scripted_answer("200 OK", lines)).await;
    }
}

/// Guards against an engine that gets no more requests because of a notice of another engine at its address: an answer
/// with 421 comes from that other engine.
#[actix_web::test]
async fn misdirected_ignored() {
    for lines in [
        "x-leaving: 1\r\n",
        "retry-after: 30\r\n",
        "x-declined: 1\r\nx-leaving: 1\r\n",
        "x-declined: 1\r\nretry-after: 30\r\n",
    ] {
        assert_ignored(scripted_answer("421 Misdirected Request", lines)).await;
    }
}
