//! Requests of each kind, and engines that report their state in the headers of their answers.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;
use tokio::sync::Notify;

use super::answers::event_stream;
use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::head;
use super::instance::Caller;
use super::instance::Instance;
use super::instance::get_request;
use super::instance::status;
use super::keys::require_keys;

/// How long tests keep sending requests after an engine declined one. The engine gets no work for the first 250 ms
/// anyway if another one can take it.
pub const SENDING_TIME: Duration = Duration::from_millis(400);

/// A kind of request to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
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

pub const REQUEST_KINDS: [RequestKind; 8] = [
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
    pub fn route_kind(self) -> RouteKind {
        match self {
            RequestKind::Idempotent => RouteKind::Idempotent,
            RequestKind::Once | RequestKind::Keyed => RouteKind::Once,
            RequestKind::Stream | RequestKind::LongPrompt => RouteKind::Stream,
            RequestKind::Resumable | RequestKind::Prefill | RequestKind::Decode => RouteKind::Resumable,
        }
    }

    /// Stage of the engines that get these requests.
    pub fn stage(self) -> Stage {
        match self {
            RequestKind::Idempotent | RequestKind::Once | RequestKind::Keyed => Stage::Whole,
            RequestKind::Prefill => Stage::Prefill,
            RequestKind::Stream | RequestKind::Resumable | RequestKind::LongPrompt | RequestKind::Decode => {
                Stage::Decode
            }
        }
    }

    /// Stage of the engine that does the other part of the work, if there is one.
    pub fn other_stage(self) -> Option<Stage> {
        match self {
            RequestKind::Prefill => Some(Stage::Decode),
            RequestKind::Decode => Some(Stage::Prefill),
            _ => None,
        }
    }

    /// Header lines of request number `number`. Prompts differ in the part that others may share.
    pub fn header_lines(self, number: usize) -> String {
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
    pub fn has_fallback(self) -> bool {
        self == RequestKind::Prefill
    }
}

/// Status and header lines of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScriptedAnswer {
    pub status: &'static str,
    pub lines: &'static str,
}

impl ScriptedAnswer {
    /// Whether its status promises that the request did not run, but nothing in it confirms this.
    fn is_unproven(self) -> bool {
        let promises = ["503", "429", "408", "421"];
        let promises = promises.iter().any(|status| self.status.starts_with(status));
        promises && !self.lines.contains("x-declined: 1")
    }
}

pub const SERVED: ScriptedAnswer = scripted_answer("200 OK", "");
pub const FAILED: ScriptedAnswer = scripted_answer("500 Internal Server Error", "");
pub const LEAVING: ScriptedAnswer = scripted_answer("200 OK", "x-leaving: 1\r\n");
pub const LEAVING_DECLINED: ScriptedAnswer =
    scripted_answer("503 Service Unavailable", "x-declined: 1\r\nx-leaving: 1\r\n");
pub const PAUSED: ScriptedAnswer =
    scripted_answer("503 Service Unavailable", "x-declined: 1\r\nretry-after: 30\r\n");
pub const PAUSED_BRIEFLY: ScriptedAnswer =
    scripted_answer("503 Service Unavailable", "x-declined: 1\r\nretry-after: 0.5\r\n");

/// Time in [`PAUSED_BRIEFLY`].
pub const BRIEF_PAUSE: Duration = Duration::from_millis(500);

pub const fn scripted_answer(status: &'static str, lines: &'static str) -> ScriptedAnswer {
    ScriptedAnswer { status, lines }
}

/// An engine that sends `answer`, a stream; for the first request it awaits `notify` after the first event.
pub async fn pausing_engine(
    answer: ScriptedAnswer,
    kind: RequestKind,
    notify: &Rc<Notify>,
) -> ScriptedEngine {
    let notify = notify.clone();
    ScriptedEngine::start(move |number, request| {
        let Action::Send(text) = answer.answer(kind, request) else {
            unreachable!("an answer is sent");
        };
        let (first, rest) = text.split_at(text.find("id: 2").expect("an event") - 4);
        let [first, rest] = [first, rest].map(|part| Action::Send(part.to_string()));
        match number {
            0 => vec![first, Action::Await(notify.clone()), rest],
            _ => vec![first, rest],
        }
    })
    .await
}

impl ScriptedAnswer {
    /// The answer to `request` with this status and these lines. With status 200, it carries the name of a prefill, the
    /// events of a stream up to number 4, or a body.
    pub fn answer(self, kind: RequestKind, request: &ReceivedRequest) -> Action {
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
pub async fn constant_engine(kind: RequestKind, answer: ScriptedAnswer) -> ScriptedEngine {
    ScriptedEngine::start(move |_, request| vec![answer.answer(kind, request)]).await
}

/// Engines of which one answers its first request with a notice. All other requests are served.
#[derive(Debug)]
pub struct EngineGroup {
    pub engines: Vec<ScriptedEngine>,
    reporting: usize,
}

impl EngineGroup {
    /// Starts `count` engines. The one with the index `reporting` sends the notice.
    pub async fn start(
        kind: RequestKind,
        notice: ScriptedAnswer,
        reporting: usize,
        count: usize,
    ) -> EngineGroup {
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
    pub async fn single(kind: RequestKind, notice: ScriptedAnswer) -> EngineGroup {
        EngineGroup::start(kind, notice, 0, 1).await
    }

    pub fn reporting(&self) -> &ScriptedEngine {
        &self.engines[self.reporting]
    }

    /// Sends requests until the notice was sent. Which engine computes the prefill depends on the prompt.
    pub async fn await_notice(&self, instance: &Instance, kind: RequestKind) {
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
pub async fn start<'e, I>(kind: RequestKind, engines: I) -> Instance
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
pub async fn send_request(instance: &Instance, kind: RequestKind, number: usize) -> String {
    let id = format!("q{number}");
    instance.get("/r/x", &id, &kind.header_lines(number)).await
}

/// Sends requests for [`SENDING_TIME`] and returns the answers.
pub async fn send_requests(instance: &Instance, kind: RequestKind) -> Vec<String> {
    let started = Instant::now();
    let mut answers = Vec::new();
    while started.elapsed() < SENDING_TIME {
        answers.push(send_request(instance, kind, answers.len() + 100).await);
    }
    answers
}

/// Starts a request on a connection of its own, which is closed after the answer.
pub async fn start_request(instance: &Instance) -> Caller {
    let mut caller = instance.connect().await;
    caller
        .send(&get_request("/r/x", "q", "connection: close\r\n"))
        .await;
    caller
}

/// Number of requests that reached an engine.
pub fn request_count(engine: &ScriptedEngine) -> usize {
    engine.log().requests.len()
}

/// Whether an answer says that nothing was executed and when to retry. If the request's time had passed before the
/// answer, it would not say when to retry.
pub fn is_refusal(answer: &str) -> bool {
    status(answer) == "503" && answer.contains("\r\nretry-after: ")
}

/// Changes the entries of all engines.
pub fn change_entries<F>(instance: &Instance, change: F)
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

/// Sends two requests of several kinds to a single engine, which answers the first one with `notice`, and checks that
/// it serves the second one.
pub async fn assert_ignored(notice: ScriptedAnswer) {
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
        let is_expected = match notice.is_unproven() {
            true => status(&first) == "502",
            false => notice.status.starts_with(status(&first)) || is_refusal(&first),
        };
        assert!(kind.has_fallback() || is_expected, "{kind:?} {notice:?} {first}");
        let got = send_request(&instance, kind, 1).await;
        assert_eq!(
            (request_count(engines.reporting()), status(&got)),
            (2, "200"),
            "{kind:?} {notice:?} {got}"
        );
    }
}

/// Sends two requests of each kind to a single engine, which answers the first one with `notice`. Returns how many
/// reached it, and whether the second one was refused.
pub async fn send_second_requests(notice: ScriptedAnswer) -> Vec<(RequestKind, usize, bool)> {
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
pub fn requests_refused() -> Vec<(RequestKind, usize, bool)> {
    REQUEST_KINDS.map(|kind| (kind, 1, !kind.has_fallback())).to_vec()
}

/// Outcome of a stream that its first engine breaks off after two events.
#[derive(Debug)]
pub struct BrokenStream {
    /// What the caller received.
    pub received: String,
    /// The engine that reported that it accepts no more requests while the stream was running.
    pub unavailable: ScriptedEngine,
    /// An idle engine, which belongs to the service only if the test asks for it.
    pub idle: ScriptedEngine,
}

/// Runs a resumable stream. While it is running, another engine answers a request with `notice`. Then the first engine
/// of the stream breaks it off. `has_idle` adds an idle engine to the service.
pub async fn broken_stream(notice: ScriptedAnswer, has_idle: bool) -> BrokenStream {
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

/// For each kind of request: has one of two engines answer a request with `notice`, and sends requests, all of which
/// must be served, for a while. Returns how many have reached that engine.
pub async fn requests_with_other_idle(notice: ScriptedAnswer) -> Vec<(RequestKind, usize)> {
    let mut seen = Vec::new();
    for kind in REQUEST_KINDS {
        let engines = EngineGroup::start(kind, notice, 0, 2).await;
        let instance = start(kind, &engines.engines).await;
        engines.await_notice(&instance, kind).await;
        for got in send_requests(&instance, kind).await {
            assert_eq!(status(&got), "200", "{kind:?} {got}");
        }
        seen.push((kind, request_count(engines.reporting())));
    }
    seen
}

/// Checks that a single engine that answers its first request with `notice`, or with these header lines and a failure
/// or an unknown path, gets no second one.
pub async fn assert_read_in_each_answer(notice: ScriptedAnswer, declined: ScriptedAnswer) {
    let failed = ScriptedAnswer {
        lines: notice.lines,
        ..FAILED
    };
    let unknown = scripted_answer("404 Not Found", notice.lines);
    let mut seen = Vec::new();
    let mut expected = Vec::new();
    for kind in REQUEST_KINDS {
        for notice in [notice, declined, failed, unknown] {
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
