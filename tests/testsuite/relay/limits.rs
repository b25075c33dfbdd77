//! Engines that report in the headers of their answers how many requests per second they accept from all instances
//! together.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;
use tokio::sync::Notify;

use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::decline;
use super::follow::follow_store;
use super::instance::Instance;
use super::instance::get_request;
use super::instance::options;
use super::instance::shared;
use super::instance::status;
use super::request_kinds::EngineGroup;
use super::request_kinds::FAILED;
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
use super::request_kinds::requests_with_other_idle;
use super::request_kinds::scripted_answer;
use super::request_kinds::send_request;
use super::request_kinds::send_requests;
use super::request_kinds::send_second_requests;
use super::request_kinds::start;
use super::request_kinds::start_request;
use super::store::FakeStore;
use super::wait_until;

/// A limit that leaves no request for the duration of a test.
const LIMITED: ScriptedAnswer = scripted_answer("200 OK", "x-limit: 0\r\n");
const LIMITED_DECLINED: ScriptedAnswer =
    scripted_answer("503 Service Unavailable", "x-declined: 1\r\nx-limit: 0\r\n");

/// Requests per second in [`TEN_PER_SECOND`].
const LIMIT: f64 = 10.0;
const TEN_PER_SECOND: ScriptedAnswer = scripted_answer("200 OK", "x-limit: 10\r\n");

/// Number of requests that an engine with [`LIMIT`] may get within `time`: those of the limit, and half a second's
/// worth at once.
fn most_requests(time: Duration) -> usize {
    (LIMIT * (time.as_secs_f64() + 0.5)) as usize + 1
}

/// Guards against requests beyond an engine's limit although another engine is idle, because the header is not read
/// for one kind of request.
#[actix_web::test]
async fn limited_other_idle() {
    let seen = requests_with_other_idle(LIMITED).await;
    assert_eq!(seen, REQUEST_KINDS.map(|kind| (kind, 1)));
}

/// Guards against requests beyond an engine's limit because it is the only one of its service: the caller must be
/// refused at once and told when to retry. A prefill is then computed by the engine that generates.
#[actix_web::test]
async fn limited_alone() {
    assert_eq!(send_second_requests(LIMITED).await, requests_refused());
}

/// Guards against requests beyond an engine's limit because the header is not read in every answer: when it declines,
/// when it fails, or in the answer to a prefill.
#[actix_web::test]
async fn limited_in_each_answer() {
    assert_read_in_each_answer(LIMITED, LIMITED_DECLINED).await;
}

/// Guards against requests beyond an engine's limit while the stream with its notice is running, because the headers
/// are read only at the end of the stream.
#[actix_web::test]
async fn limited_stream_runs_on() {
    let notify = Rc::new(Notify::new());
    let kind = RequestKind::Stream;
    let engine = pausing_engine(LIMITED, kind, &notify).await;
    let instance = start(kind, [&engine]).await;
    let mut caller = start_request(&instance).await;
    caller.read_until("token 1").await;
    let got = send_request(&instance, kind, 1).await;
    assert_eq!((request_count(&engine), is_refusal(&got)), (1, true), "{got}");
    notify.notify_one();
    let got = caller.read_to_end().await;
    assert!(got.contains("token 4") && got.ends_with("0\r\n\r\n"), "{got}");
}

/// Guards against a retry beyond an engine's limit, because another engine failed the request and no other engine is
/// left to try.
#[actix_web::test]
async fn limited_other_failed() {
    let mut seen = Vec::new();
    let kinds = [
        RequestKind::Idempotent,
        RequestKind::Resumable,
        RequestKind::Prefill,
        RequestKind::Decode,
    ];
    for kind in kinds {
        let failing = constant_engine(kind, FAILED).await;
        let engines = EngineGroup::single(kind, LIMITED).await;
        let instance = start(kind, [&failing].into_iter().chain(&engines.engines)).await;
        for number in 0..4 {
            send_request(&instance, kind, number).await;
        }
        assert!(
            request_count(&failing) > 1,
            "{kind:?}: the other engine is tried first"
        );
        seen.push((kind, request_count(engines.reporting())));
    }
    assert_eq!(seen, kinds.map(|kind| (kind, 1)));
}

/// Guards against a stream that is resumed at an engine beyond its limit because no other engine is left. The caller
/// must receive a truncated response.
#[actix_web::test]
async fn limited_not_resumed() {
    let stream = broken_stream(LIMITED, false).await;
    assert!(stream.received.contains("token 2"), "{}", stream.received);
    let is_complete = stream.received.ends_with("0\r\n\r\n");
    assert_eq!((request_count(&stream.unavailable), is_complete), (1, false));
}

/// Guards against a stream that is resumed at an engine beyond its limit, or aborted, although another engine is idle.
#[actix_web::test]
async fn limited_resumed_elsewhere() {
    let stream = broken_stream(LIMITED, true).await;
    let lines = stream.received.lines();
    let ids: Vec<&str> = lines.filter_map(|line| line.strip_prefix("id: ")).collect();
    assert_eq!(ids, ["1", "2", "3", "4"], "{}", stream.received);
    assert_eq!(
        (request_count(&stream.unavailable), request_count(&stream.idle)),
        (1, 1)
    );
}

/// Guards against an engine at its limit that has to send cached parts to the engine that computes the prefill, because
/// it is named as their source.
#[actix_web::test]
async fn limited_not_fetched() {
    let kind = RequestKind::Prefill;
    let engines = EngineGroup::start(kind, LIMITED, 1, 2).await;
    let instance = start(kind, &engines.engines).await;
    engines.await_notice(&instance, kind).await;
    let prior_count = request_count(&engines.engines[0]);
    send_requests(&instance, kind).await;
    let source = engines.reporting().address().to_string();
    let prefills = engines.engines[0].log().requests.split_off(prior_count);
    assert!(!prefills.is_empty(), "the other engine gets prefills");
    let is_named = |r: &ReceivedRequest| r.header("x-fetch") == Some(source.as_str());
    assert!(!prefills.iter().any(is_named), "{prefills:?}");
}

/// Guards against a prompt that is prefilled in vain because no engine may generate the answer.
#[actix_web::test]
async fn limited_no_prefill_in_vain() {
    let kind = RequestKind::Decode;
    let prefill = constant_engine(kind, SERVED).await;
    let decode = constant_engine(kind, LIMITED).await;
    let engines = [(&prefill, Stage::Prefill), (&decode, Stage::Decode)];
    let instance = Instance::start(kind.route_kind(), &engines, |_| {});
    send_request(&instance, kind, 0).await;
    assert_eq!((request_count(&prefill), request_count(&decode)), (1, 1));
    let got = send_request(&instance, kind, 1).await;
    assert!(is_refusal(&got), "{got}");
    assert_eq!((request_count(&prefill), request_count(&decode)), (1, 1));
}

/// Guards against several prompts that are prefilled at the same time although an engine may generate the answer to
/// one of them only.
#[actix_web::test]
async fn limited_prefills_as_allowed() {
    let kind = RequestKind::Decode;
    let notify = Rc::new(Notify::new());
    let awaited = notify.clone();
    let prefill = ScriptedEngine::start(move |number, request| match number {
        0 => vec![SERVED.answer(kind, request)],
        _ => vec![Action::Await(awaited.clone()), SERVED.answer(kind, request)],
    })
    .await;
    let decode = constant_engine(kind, scripted_answer("200 OK", "x-limit: 2\r\n")).await;
    let engines = [(&prefill, Stage::Prefill), (&decode, Stage::Decode)];
    let instance = Instance::start(kind.route_kind(), &engines, |_| {});
    send_request(&instance, kind, 0).await;
    let incarnation = instance.shared.view.load().engines()["chat"][1].incarnation();
    let has_room = || {
        let traffic = instance.shared.traffic();
        traffic.rate_limits.has_room(clock::now(), incarnation)
    };
    wait_until(has_room).await;
    let mut caller = instance.connect().await;
    let lines = kind.header_lines(1);
    let request = get_request("/r/x", "q1", &format!("connection: close\r\n{lines}"));
    caller.send(&request).await;
    prefill.wait_for(|log| log.requests.len() == 2).await;
    let got = send_request(&instance, kind, 2).await;
    assert!(is_refusal(&got), "{got}");
    notify.notify_waiters();
    let got = caller.read_to_end().await;
    assert!(status(&got) == "200" && got.contains("token 4"), "{got}");
    assert_eq!((request_count(&prefill), request_count(&decode)), (2, 2));
}

/// Guards against an instance that sends more requests than the limit, or hardly any, and against callers that are not
/// refused at once.
#[actix_web::test]
async fn limited_rate_kept() {
    let kind = RequestKind::Once;
    let engine = constant_engine(kind, TEN_PER_SECOND).await;
    let instance = start(kind, [&engine]).await;
    send_request(&instance, kind, 0).await;
    let started = Instant::now();
    let mut slowest = Duration::ZERO;
    while started.elapsed() < Duration::from_secs(2) {
        let sent = Instant::now();
        let got = send_request(&instance, kind, 1).await;
        assert!(is_refusal(&got) || status(&got) == "200", "{got}");
        slowest = slowest.max(sent.elapsed());
    }
    let count = request_count(&engine);
    let most = most_requests(started.elapsed()) + 1;
    assert!((10..=most).contains(&count), "{count} requests, at most {most}");
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
}

/// Guards against instances that each use the whole limit of an engine.
#[actix_web::test]
async fn limited_instances_together() {
    let engine = constant_engine(RequestKind::Idempotent, TEN_PER_SECOND).await;
    let fleet = start_fleet(&engine, 4).await;
    for instance in &fleet {
        send_request(instance, RequestKind::Idempotent, 0).await;
    }
    let prior_count = request_count(&engine);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2) {
        for instance in &fleet {
            send_request(instance, RequestKind::Idempotent, 1).await;
        }
    }
    let count = request_count(&engine) - prior_count;
    let most = most_requests(started.elapsed()) + fleet.len();
    assert!((10..=most).contains(&count), "{count} requests, at most {most}");
}

/// Guards against an instance that sends requests beyond the limit of an engine until it has an answer of its own,
/// although a peer knows the limit.
#[actix_web::test]
async fn limited_told_by_peer() {
    let engine = constant_engine(RequestKind::Idempotent, LIMITED).await;
    let fleet = start_fleet(&engine, 2).await;
    send_request(&fleet[0], RequestKind::Idempotent, 0).await;
    assert_eq!(request_count(&engine), 1);
    let is_told = || fleet[1].shared.traffic().rate_limits.count() == 1;
    wait_until(is_told).await;
    for got in send_requests(&fleet[1], RequestKind::Idempotent).await {
        assert!(is_refusal(&got), "{got}");
    }
    assert_eq!(request_count(&engine), 1);
}

/// Starts `count` instances that hear each other, with one engine.
async fn start_fleet(engine: &ScriptedEngine, count: usize) -> Vec<Instance> {
    let store = FakeStore::new();
    store.put("config", "7 /r/");
    store.put("engines/e0", &format!("chat {} ready 1", engine.address()));
    let names = ["a", "b", "c", "d"];
    let all: Vec<_> = names[..count]
        .iter()
        .map(|name| {
            let mut options = options();
            options.name = name.parse().expect("a name");
            let (front, peer) = (options.front, options.peer);
            let record = format!(r#"{{"zone":"a","front":"{front}","peer":"{peer}"}}"#);
            store.put(&format!("own/a/{name}"), &record);
            shared(options)
        })
        .collect();
    let mut fleet = Vec::new();
    for shared in all {
        follow_store(&shared, &store).await;
        fleet.push(Instance::serve(shared));
    }
    wait_until(|| {
        fleet.iter().all(|instance| {
            let view = instance.shared.view.load();
            view.engines().len() == 1 && view.endpoints.len() == count
        })
    })
    .await;
    fleet
}

/// Guards against a limit that stays in force after its engine no longer reports it, and against one that is not
/// replaced by a lower one.
#[actix_web::test]
async fn limited_as_long_as_reported() {
    let kind = RequestKind::Once;
    let high = scripted_answer("200 OK", "x-limit: 1000\r\n");
    let engine = ScriptedEngine::start(move |number, request| {
        let answer = match number {
            0 => high,
            1..40 => SERVED,
            _ => LIMITED,
        };
        vec![answer.answer(kind, request)]
    })
    .await;
    let instance = start(kind, [&engine]).await;
    send_request(&instance, kind, 0).await;
    assert_eq!(instance.shared.traffic().rate_limits.count(), 1);
    while request_count(&engine) < 41 {
        send_request(&instance, kind, 1).await;
    }
    for got in send_requests(&instance, kind).await {
        assert!(is_refusal(&got), "{got}");
    }
    assert_eq!(request_count(&engine), 41);
}

/// Guards against refused callers that return before the engine may get their requests, or all at the same time, and
/// against refusals that can't be told from others.
#[actix_web::test]
async fn limited_retry_after() {
    let kind = RequestKind::Once;
    let notice = scripted_answer("200 OK", "x-limit: 1\r\n");
    let engine = constant_engine(kind, notice).await;
    let instance = start(kind, [&engine]).await;
    send_request(&instance, kind, 0).await;
    let mut delays = Vec::new();
    for number in 1..=4 {
        let got = send_request(&instance, kind, number).await;
        let delay = got.lines().find_map(|line| line.strip_prefix("retry-after: "));
        let delay: f64 = delay.unwrap_or_else(|| panic!("{got}")).parse().expect("seconds");
        delays.push(delay);
    }
    for (number, delay) in (1..).zip(&delays) {
        let due = f64::from(number);
        assert!((due - 0.5..=due + 0.1).contains(delay), "{delays:?}");
    }
    let page = instance.shared.metrics.render();
    let line = "sequoiastream_relay_refusals_total{reason=\"its engines are at their request limits\"} 4";
    assert!(page.contains(line), "{page}");
}

/// Guards against an engine that gets no more requests, or a caller that gets no answer, because of an invalid header
/// or one of another engine at its address.
#[actix_web::test]
async fn limited_invalid_ignored() {
    for lines in [
        "x-limit: many\r\n",
        "x-limit: -1\r\n",
        "x-limit: NaN\r\n",
        "x-limit: \r\n",
    ] {
        assert_ignored(scripted_answer("200 OK", lines)).await;
    }
    for lines in [LIMITED.lines, LIMITED_DECLINED.lines] {
        assert_ignored(scripted_answer("421 Misdirected Request", lines)).await;
    }
}

/// Guards against the calls that release prefill results reaching an engine beyond its limit.
#[actix_web::test]
async fn limited_release_delayed() {
    let notice = scripted_answer("200 OK", "x-limit: 1\r\n");
    let kind = RequestKind::Prefill;
    let notify = Rc::new(Notify::new());
    let awaited = notify.clone();
    let prefill = ScriptedEngine::start(move |number, request| match number {
        0..3 => vec![Action::Await(awaited.clone()), notice.answer(kind, request)],
        _ => vec![notice.answer(kind, request)],
    })
    .await;
    let decode = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
    let engines = [(&prefill, Stage::Prefill), (&decode, Stage::Decode)];
    let instance = Instance::start(RouteKind::Stream, &engines, |_| {});
    let mut callers = Vec::new();
    for count in 1..=3 {
        let mut caller = instance.connect().await;
        let lines = kind.header_lines(count);
        let request = get_request("/r/x", &format!("q{count}"), &lines);
        caller.send(&request).await;
        callers.push(caller);
    }
    prefill.wait_for(|log| log.requests.len() == 3).await;
    let started = Instant::now();
    notify.notify_waiters();
    prefill.wait_for(|log| log.requests.len() == 6).await;
    let releases = prefill.log().requests.split_off(3);
    let is_release = |r: &ReceivedRequest| r.head.starts_with("DELETE /release/");
    assert!(releases.iter().all(is_release), "{releases:?}");
    assert!(
        started.elapsed() >= Duration::from_secs(2),
        "{:?}",
        started.elapsed()
    );
}
