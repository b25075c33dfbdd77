//! Engines that report in the headers of their answers that they accept no more requests: leaving ones, and paused
//! ones, which answered a request with 503 and accept none for a limited time.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::WAIT_TIMEOUT;
use super::answers::event_stream;
use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::decline;
use super::engine::head;
use super::follow::follow_store;
use super::instance::Caller;
use super::instance::Instance;
use super::instance::status;
use super::instance::unique_address;
use super::keys::require_keys;
use super::store::FakeStore;
use super::wait_until;

/// How long tests keep sending requests after an engine declined one. The engine gets no work for the first 250 ms
/// anyway if another one can take it.
const SENDING_TIME: Duration = Duration::from_millis(400);

/// A kind of request to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    /// A request that may be repeated.
    Idempotent,
    /// A request that is executed at most once.
    Once,
    /// A request of a caller that needs a key.
    Keyed,
    /// A stream that is not resumed.
    Stream,
    /// A stream that is resumed after a break.
    Resumable,
    /// A long prompt that is prefilled by the engine that generates.
    LongPrompt,
    /// The prefill of a long prompt for another engine.
    Prefill,
    /// The generation for a long prompt that another engine prefilled.
    Decode,
}

const REQUEST_KINDS: [RequestKind; 8] = [
    RequestKind::Idempotent,
    RequestKind::Once,
    RequestKind::Keyed,
    RequestKind::Stream,
    RequestKind::Resumable,
    RequestKind::LongPrompt,
    RequestKind::Prefill,
    RequestKind::Decode,
];

impl RequestKind {
    fn route_kind(self) -> RouteKind {
        match self {
            RequestKind::Idempotent => RouteKind::Idempotent,
            RequestKind::Once | RequestKind::Keyed => RouteKind::Once,
            RequestKind::Stream | RequestKind::LongPrompt => RouteKind::Stream,
            RequestKind::Resumable | RequestKind::Prefill | RequestKind::Decode => RouteKind::Resumable,
        }
    }

    /// Stage of the engines that get these requests.
    fn stage(self) -> Stage {
        match self {
            RequestKind::Idempotent | RequestKind::Once | RequestKind::Keyed => Stage::Whole,
            RequestKind::Prefill => Stage::Prefill,
            RequestKind::Stream | RequestKind::Resumable | RequestKind::LongPrompt | RequestKind::Decode => {
                Stage::Decode
            }
        }
    }

    /// Stage of the engine that does the other part of the work, if there is one.
    fn other_stage(self) -> Option<Stage> {
        match self {
            RequestKind::Prefill => Some(Stage::Decode),
            RequestKind::Decode => Some(Stage::Prefill),
            _ => None,
        }
    }

    /// Header lines of request number `number`. Prompts differ in the part that others may share.
    fn header_lines(self, number: usize) -> String {
        match self {
            RequestKind::Keyed => "x-key: k1\r\n".to_string(),
            RequestKind::LongPrompt | RequestKind::Prefill | RequestKind::Decode => {
                format!("x-tokens: 9000\r\nx-parts: {number}\r\n")
            }
            RequestKind::Idempotent | RequestKind::Once | RequestKind::Stream | RequestKind::Resumable => {
                String::new()
            }
        }
    }

    /// Whether the caller is served even if no engine accepts these requests: without an engine for the prefill, the
    /// engine that generates computes it.
    fn has_fallback(self) -> bool {
        self == RequestKind::Prefill
    }
}

/// Status and header lines of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ScriptedAnswer {
    status: &'static str,
    lines: &'static str,
}

const SERVED: ScriptedAnswer = scripted_answer("200 OK", "");
const FAILED: ScriptedAnswer = scripted_answer("500 Internal Server Error", "");
const LEAVING: ScriptedAnswer = scripted_answer("200 OK", "x-leaving: 1\r\n");
const LEAVING_DECLINED: ScriptedAnswer =
    scripted_answer("503 Service Unavailable", "x-declined: 1\r\nx-leaving: 1\r\n");
const PAUSED: ScriptedAnswer =
    scripted_answer("503 Service Unavailable", "x-declined: 1\r\nretry-after: 30\r\n");
const PAUSED_BRIEFLY: ScriptedAnswer =
    scripted_answer("503 Service Unavailable", "x-declined: 1\r\nretry-after: 0.5\r\n");

/// Time in [`PAUSED_BRIEFLY`].
const BRIEF_PAUSE: Duration = Duration::from_millis(500);

const fn scripted_answer(status: &'static str, lines: &'static str) -> ScriptedAnswer {
    ScriptedAnswer { status, lines }
}

impl ScriptedAnswer {
    /// The answer to `request` with this status and these lines. With status 200, it carries the name of a prefill, the
    /// events of a stream up to number 4, or a body.
    fn answer(self, kind: RequestKind, request: &ReceivedRequest) -> Action {
        let is_prefill = request.header("x-stage").is_some();
        let text = match (self.status, kind.route_kind().is_stream() && !is_prefill) {
            ("200 OK", true) => {
                let last = request.header("x-resume").unwrap_or("0");
                let last: u64 = last.parse().expect("the id of the last event");
                event_stream(request, last + 1..=4) + "0\r\n\r\n"
            }
            ("200 OK", false) => head(request, "content-length: 7\r\n") + "kept h7",
            _ => head(request, "content-length: 0\r\n"),
        };
        let text = text.replacen("200 OK", self.status, 1);
        let lines = format!("x-seal: s\r\n{}", self.lines);
        Action::Send(text.replacen("x-seal: s\r\n", &lines, 1))
    }
}

/// An engine that gives the same answer to each request.
async fn constant_engine(kind: RequestKind, answer: ScriptedAnswer) -> ScriptedEngine {
    ScriptedEngine::start(move |_, request| vec![answer.answer(kind, request)]).await
}

/// Engines of which one answers its first request with a notice. All other requests are served.
#[derive(Debug)]
struct EngineGroup {
    engines: Vec<ScriptedEngine>,
    reporting: usize,
}

impl EngineGroup {
    /// Starts `count` engines. The one with the index `reporting` sends the notice.
    async fn start(kind: RequestKind, notice: ScriptedAnswer, reporting: usize, count: usize) -> EngineGroup {
        let mut engines = Vec::new();
        for index in 0..count {
            let script = move |number, request: &ReceivedRequest| {
                let answer = match (index, number) == (reporting, 0) {
                    true => notice,
                    false => SERVED,
                };
                vec![answer.answer(kind, request)]
            };
            engines.push(ScriptedEngine::start(script).await);
        }
        EngineGroup { engines, reporting }
    }

    /// Starts a single engine, which sends the notice.
    async fn single(kind: RequestKind, notice: ScriptedAnswer) -> EngineGroup {
        EngineGroup::start(kind, notice, 0, 1).await
    }

    fn reporting(&self) -> &ScriptedEngine {
        &self.engines[self.reporting]
    }

    /// Sends requests until the notice was sent. Which engine computes the prefill depends on the prompt.
    async fn await_notice(&self, instance: &Instance, kind: RequestKind) {
        for number in 0..16 {
            send_request(instance, kind, number).await;
            if request_count(self.reporting()) > 0 {
                return;
            }
        }
        panic!("{kind:?}: the engine that sends the notice gets no request");
    }
}

/// Starts an instance with `engines`, which get the requests of this kind, and with one for the other stage, if any.
async fn start<'e, I>(kind: RequestKind, engines: I) -> Instance
where
    I: IntoIterator<Item = &'e ScriptedEngine>,
{
    let other = constant_engine(kind, SERVED).await;
    let mut all: Vec<(&ScriptedEngine, Stage)> = engines.into_iter().map(|e| (e, kind.stage())).collect();
    all.extend(kind.other_stage().map(|stage| (&other, stage)));
    let instance = Instance::start(kind.route_kind(), &all, |route| {
        route.gap_target = Duration::from_secs(5)
    });
    if kind == RequestKind::Keyed {
        require_keys(&instance);
    }
    instance
}

/// Sends request number `number` and returns the answer.
async fn send_request(instance: &Instance, kind: RequestKind, number: usize) -> String {
    let id = format!("q{number}");
    instance.get("/r/x", &id, &kind.header_lines(number)).await
}

/// Sends requests for [`SENDING_TIME`] and returns the answers.
async fn send_requests(instance: &Instance, kind: RequestKind) -> Vec<String> {
    let started = Instant::now();
    let mut answers = Vec::new();
    while started.elapsed() < SENDING_TIME {
        answers.push(send_request(instance, kind, answers.len() + 100).await);
    }
    answers
}

/// Starts a request on a connection of its own, which is closed after the answer.
async fn start_request(instance: &Instance) -> Caller {
    let mut caller = instance.connect().await;
    caller
        .send("GET /r/x HTTP/1.1\r\nhost: shop.example\r\nx-request: q\r\nconnection: close\r\n\r\n")
        .await;
    caller
}

/// Number of requests that reached an engine.
fn request_count(engine: &ScriptedEngine) -> usize {
    engine.log().requests.len()
}

/// Whether an answer says that nothing was executed and when to retry. If the request's time had passed before the
/// answer, it would not say when to retry.
fn is_refusal(answer: &str) -> bool {
    status(answer) == "503" && answer.contains("\r\nretry-after: ")
}

/// Changes the entries of all engines.
fn change_entries<F>(instance: &Instance, change: F)
where
    F: Fn(&mut Entry),
{
    instance.shared.publish(|view| {
        let mut engines = view.engines().clone();
        let changed = engines.values_mut().flatten();
        changed.for_each(|engine: &mut Engine| change(&mut engine.entry));
        view.set_engines(engines);
    });
}

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

/// Sends two requests of each kind to a single engine, which answers the first one with `notice`. Returns how many
/// reached it, and whether the second one was refused.
async fn send_second_requests(notice: ScriptedAnswer) -> Vec<(RequestKind, usize, bool)> {
    let mut seen = Vec::new();
    for kind in REQUEST_KINDS {
        let engines = EngineGroup::single(kind, notice).await;
        let instance = start(kind, &engines.engines).await;
        send_request(&instance, kind, 0).await;
        let got = send_request(&instance, kind, 1).await;
        assert!(is_refusal(&got) || status(&got) == "200", "{kind:?} {got}");
        seen.push((kind, request_count(engines.reporting()), is_refusal(&got)));
    }
    seen
}

/// What [`send_second_requests`] returns if the second request doesn't reach the engine.
fn requests_refused() -> Vec<(RequestKind, usize, bool)> {
    REQUEST_KINDS.map(|kind| (kind, 1, !kind.has_fallback())).to_vec()
}

/// Guards against a paused engine that gets requests before its pause is over although another engine is idle: it
/// is only avoided for the short time that applies to engines that decline without asking for a pause.
#[actix_web::test]
async fn paused_other_idle() {
    let mut seen = Vec::new();
    for kind in REQUEST_KINDS {
        let engines = EngineGroup::start(kind, PAUSED, 0, 2).await;
        let instance = start(kind, &engines.engines).await;
        engines.await_notice(&instance, kind).await;
        for got in send_requests(&instance, kind).await {
            assert_eq!(status(&got), "200", "{kind:?} {got}");
        }
        seen.push((kind, request_count(engines.reporting())));
    }
    assert_eq!(seen, REQUEST_KINDS.map(|kind| (kind, 1)));
}

/// Guards against a leaving engine that gets requests because the header is not read in every answer: when it declines,
/// when it fails, or in the answer to a prefill.
#[actix_web::test]
async fn leaving_in_each_answer() {
    let failed = ScriptedAnswer {
        lines: LEAVING.lines,
        ..FAILED
    };
    let unknown = scripted_answer("404 Not Found", LEAVING.lines);
    let mut seen = Vec::new();
    let mut expected = Vec::new();
    for kind in REQUEST_KINDS {
        for notice in [LEAVING, LEAVING_DECLINED, failed, unknown] {
            let engines = EngineGroup::single(kind, notice).await;
            let instance = start(kind, &engines.engines).await;
            send_request(&instance, kind, 0).await;
            send_request(&instance, kind, 1).await;
            seen.push((kind, notice.status, request_count(engines.reporting())));
            expected.push((kind, notice.status, 1));
        }
    }
    assert_eq!(seen, expected);
}

/// Guards against a paused engine that gets requests because `Retry-After` is read only in answers that decline: a 503
/// without the header for declined requests asks for a pause as well.
#[actix_web::test]
async fn paused_503_not_declined() {
    let not_declined = scripted_answer("503 Service Unavailable", "retry-after: 30\r\n");
    let kinds = [
        RequestKind::Idempotent,
        RequestKind::Once,
        RequestKind::Stream,
        RequestKind::Resumable,
    ];
    let mut seen = Vec::new();
    for kind in kinds {
        let engines = EngineGroup::single(kind, not_declined).await;
        let instance = start(kind, &engines.engines).await;
        send_request(&instance, kind, 0).await;
        let got = send_request(&instance, kind, 1).await;
        seen.push((kind, request_count(engines.reporting()), is_refusal(&got)));
    }
    assert_eq!(seen, kinds.map(|kind| (kind, 1, true)));
}

/// Guards against the call that releases a prefill result reaching an engine during its pause.
#[actix_web::test]
async fn paused_release_delayed() {
    let paused_at = Rc::new(Cell::new(None));
    let paused = paused_at.clone();
    let prefill = ScriptedEngine::start(move |number, request| {
        let answer = match number {
            1 => PAUSED_BRIEFLY,
            _ => SERVED,
        };
        if number == 1 {
            paused.set(Some(Instant::now()));
        }
        vec![answer.answer(RequestKind::Prefill, request)]
    })
    .await;
    let notify = Rc::new(Notify::new());
    let awaited = notify.clone();
    let decode = ScriptedEngine::start(move |number, request| match number {
        0 => vec![Action::Await(awaited.clone()), decline(request)],
        _ => vec![SERVED.answer(RequestKind::Decode, request)],
    })
    .await;
    let engines = [(&prefill, Stage::Prefill), (&decode, Stage::Decode)];
    let instance = Instance::start(RouteKind::Stream, &engines, |_| {});
    let mut caller = instance.connect().await;
    let lines = RequestKind::Prefill.header_lines(0);
    let request = format!("GET /r/x HTTP/1.1\r\nhost: shop.example\r\nx-request: q0\r\n{lines}\r\n");
    caller.send(&request).await;
    decode.wait_for(|log| log.requests.len() == 1).await;
    send_request(&instance, RequestKind::Prefill, 1).await;
    notify.notify_one();
    prefill
        .wait_for(|log| {
            log.requests
                .iter()
                .any(|r| r.head.starts_with("DELETE /release/h7 "))
        })
        .await;
    let elapsed = paused_at.get().map(|at: Instant| at.elapsed());
    assert!(
        elapsed.is_some_and(|elapsed| elapsed >= BRIEF_PAUSE),
        "{elapsed:?}"
    );
    assert_eq!(request_count(&prefill), 3);
}

/// Guards against a leaving engine that gets requests while the stream with its notice is running, because the headers
/// are read only at the end of the stream. Guards also against a truncation of that stream.
#[actix_web::test]
async fn leaving_stream_runs_on() {
    let kinds = [RequestKind::Stream, RequestKind::Resumable];
    let mut seen = Vec::new();
    for kind in kinds {
        let notify = Rc::new(Notify::new());
        let awaited = notify.clone();
        let engine = ScriptedEngine::start(move |number, request| {
            let Action::Send(text) = LEAVING.answer(kind, request) else {
                unreachable!("an answer is sent");
            };
            let (first, rest) = text.split_at(text.find("id: 2").expect("an event") - 4);
            let [first, rest] = [first, rest].map(|part| Action::Send(part.to_string()));
            match number {
                0 => vec![first, Action::Await(awaited.clone()), rest],
                _ => vec![first, rest],
            }
        })
        .await;
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

/// Outcome of a stream that its first engine breaks off after two events.
#[derive(Debug)]
struct BrokenStream {
    /// What the caller received.
    received: String,
    /// The engine that became leaving or paused while the stream was running.
    unavailable: ScriptedEngine,
    /// An idle engine, which belongs to the service only if the test asks for it.
    idle: ScriptedEngine,
}

/// Runs a resumable stream. While it is running, another engine answers a request with `notice`. Then the first engine
/// of the stream breaks it off. `has_idle` adds an idle engine to the service.
async fn broken_stream(notice: ScriptedAnswer, has_idle: bool) -> BrokenStream {
    let kind = RequestKind::Resumable;
    let notify = Rc::new(Notify::new());
    let awaited = notify.clone();
    let breaking = ScriptedEngine::start(move |number, request| match number {
        0 => vec![
            Action::Send(event_stream(request, 1..=2)),
            Action::Await(awaited.clone()),
            Action::Close,
        ],
        _ => vec![SERVED.answer(kind, request)],
    })
    .await;
    let engines = EngineGroup::single(kind, notice).await;
    let unavailable = engines.engines[0].clone();
    let idle = constant_engine(kind, SERVED).await;
    let all = [&breaking, &unavailable, &idle];
    let instance = start(kind, all.into_iter().take(if has_idle { 3 } else { 2 })).await;
    let mut caller = start_request(&instance).await;
    caller.read_until("token 2").await;
    let got = send_request(&instance, kind, 1).await;
    assert_eq!(status(&got), "200", "{got}");
    assert_eq!(
        request_count(&unavailable),
        1,
        "the engine without a stream gets the second request"
    );
    notify.notify_one();
    let received = caller.read_to_end().await;
    BrokenStream {
        received,
        unavailable,
        idle,
    }
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

/// Guards against a paused engine that gets requests before its pause is over because no other engine can serve. The
/// caller must be refused at once, unless the other engine may have executed the request.
#[actix_web::test]
async fn paused_others_unusable() {
    let kind = RequestKind::Idempotent;
    let close = || vec![Action::Close];
    let constant = |status, lines| {
        move |request: &ReceivedRequest| vec![scripted_answer(status, lines).answer(kind, request)]
    };
    type Script = Box<dyn Fn(&ReceivedRequest) -> Vec<Action>>;
    let cases: [(&str, Script, bool); 5] = [
        ("paused", Box::new(constant(PAUSED.status, PAUSED.lines)), true),
        (
            "full",
            Box::new(constant(PAUSED.status, "x-declined: 1\r\n")),
            true,
        ),
        (
            "misdirected",
            Box::new(constant("421 Misdirected Request", "")),
            true,
        ),
        ("failed", Box::new(constant(FAILED.status, "")), false),
        ("broken", Box::new(move |_| close()), false),
    ];
    let mut seen = Vec::new();
    let mut expected = Vec::new();
    for (name, script, refused) in cases {
        let paused = constant_engine(kind, PAUSED).await;
        let other = ScriptedEngine::start(move |_, request| script(request)).await;
        let instance = start(kind, [&paused, &other]).await;
        send_request(&instance, kind, 0).await;
        assert_eq!((request_count(&paused), request_count(&other)), (1, 1), "{name}");
        let got = send_request(&instance, kind, 1).await;
        seen.push((name, request_count(&paused), is_refusal(&got)));
        expected.push((name, 1, refused));
    }
    assert_eq!(seen, expected);
}

/// Guards against a paused engine that gets requests before its pause is over because the only other one can't be
/// reached.
#[actix_web::test]
async fn paused_other_unreachable() {
    let kind = RequestKind::Idempotent;
    let paused = constant_engine(kind, PAUSED).await;
    let other = constant_engine(kind, SERVED).await;
    let instance = start(kind, [&paused, &other]).await;
    let unreachable_address = unique_address(9);
    change_entries(&instance, |entry| {
        if entry.address == other.address() {
            entry.address = unreachable_address;
        }
    });
    send_request(&instance, kind, 0).await;
    let got = send_request(&instance, kind, 1).await;
    assert_eq!((request_count(&paused), is_refusal(&got)), (1, true), "{got}");
}

/// Guards against a paused engine that gets requests before its pause is over because all others are at their limit
/// of requests.
#[actix_web::test]
async fn paused_others_busy() {
    let kind = RequestKind::Once;
    let paused = constant_engine(kind, PAUSED).await;
    let busy = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
    let instance = start(kind, [&paused, &busy]).await;
    change_entries(&instance, |entry| entry.slots = 1);
    let mut callers = Vec::new();
    for count in 1..=2 {
        callers.push(start_request(&instance).await);
        busy.wait_for(|log| log.requests.len() == count).await;
    }
    let answers = send_requests(&instance, kind).await;
    assert_eq!((request_count(&paused), request_count(&busy)), (1, 2));
    assert!(answers.iter().all(|got| is_refusal(got)), "{answers:?}");
}

/// Guards against a paused engine that gets requests before its pause is over, which may be a fraction of a second, or
/// gets none after it.
#[actix_web::test]
async fn paused_until_over() {
    let short_pause = scripted_answer("503 Service Unavailable", "x-declined: 1\r\nretry-after: 0.3\r\n");
    let mut seen = Vec::new();
    for kind in REQUEST_KINDS {
        let times = Rc::new(RefCell::new(Vec::new()));
        let arrived = times.clone();
        let engine = ScriptedEngine::start(move |number, request| {
            arrived.borrow_mut().push(Instant::now());
            match number {
                0 => vec![short_pause.answer(kind, request)],
                _ => vec![SERVED.answer(kind, request)],
            }
        })
        .await;
        let instance = start(kind, [&engine]).await;
        let send_until_served = async {
            for number in 0.. {
                let got = send_request(&instance, kind, number).await;
                if request_count(&engine) > 1 {
                    return got;
                }
            }
            unreachable!("the numbers don't end")
        };
        let got = timeout(WAIT_TIMEOUT, send_until_served)
            .await
            .expect("the engine gets requests again");
        assert_eq!(status(&got), "200", "{kind:?} {got}");
        let elapsed = times.borrow()[1] - times.borrow()[0];
        seen.push((kind, elapsed >= Duration::from_millis(300)));
    }
    assert_eq!(seen, REQUEST_KINDS.map(|kind| (kind, true)));
}

/// Sends two requests of several kinds to a single engine, which answers the first one with `notice`, and checks that
/// it serves the second one.
async fn assert_ignored(notice: ScriptedAnswer) {
    for kind in [
        RequestKind::Idempotent,
        RequestKind::Once,
        RequestKind::Stream,
        RequestKind::Prefill,
        RequestKind::Decode,
    ] {
        let engines = EngineGroup::single(kind, notice).await;
        let instance = start(kind, &engines.engines).await;
        let first = send_request(&instance, kind, 0).await;
        assert!(
            kind.has_fallback() || notice.status.starts_with(status(&first)) || is_refusal(&first),
            "{kind:?} {notice:?} {first}"
        );
        let got = send_request(&instance, kind, 1).await;
        assert_eq!(
            (request_count(engines.reporting()), status(&got)),
            (2, "200"),
            "{kind:?} {notice:?} {got}"
        );
    }
}

/// Guards against pausing an engine because of a `Retry-After` header in an answer that doesn't ask for a pause: a
/// success, or a rate limit for a caller.
#[actix_web::test]
async fn pause_only_by_503() {
    for status in ["200 OK", "429 Too Many Requests"] {
        assert_ignored(scripted_answer(status, "retry-after: 30\r\n")).await;
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

/// Guards against an overflow at a pause that is too long to represent.
#[actix_web::test]
async fn pause_too_long_handled() {
    for lines in [
        "x-declined: 1\r\nretry-after: inf\r\n",
        "x-declined: 1\r\nretry-after: 1e300\r\n",
        "x-declined: 1\r\nretry-after: 18446744073709551615\r\n",
    ] {
        let kind = RequestKind::Once;
        let engines = EngineGroup::single(kind, scripted_answer("503 Service Unavailable", lines)).await;
        let instance = start(kind, &engines.engines).await;
        let got = send_request(&instance, kind, 0).await;
        assert!(is_refusal(&got), "{lines} {got}");
        let got = send_request(&instance, kind, 1).await;
        assert!(is_refusal(&got) || status(&got) == "200", "{lines} {got}");
    }
}

/// Guards against an engine that gets no more requests because of a notice of another engine at its address: an answer
/// with 421 comes from that other engine.
#[actix_web::test]
async fn misdirected_ignored() {
    for lines in ["x-leaving: 1\r\n", "retry-after: 30\r\n"] {
        assert_ignored(scripted_answer("421 Misdirected Request", lines)).await;
    }
}
