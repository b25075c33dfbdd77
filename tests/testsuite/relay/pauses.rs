//! Engines that answered a request with 503 and accept no more requests for a limited time.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::WAIT_TIMEOUT;
use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::decline;
use super::instance::Instance;
use super::instance::get_request;
use super::instance::status;
use super::loopback::unique_address;
use super::request_kinds::BRIEF_PAUSE;
use super::request_kinds::EngineGroup;
use super::request_kinds::FAILED;
use super::request_kinds::PAUSED;
use super::request_kinds::PAUSED_BRIEFLY;
use super::request_kinds::REQUEST_KINDS;
use super::request_kinds::RequestKind;
use super::request_kinds::SERVED;
use super::request_kinds::assert_ignored;
use super::request_kinds::change_entries;
use super::request_kinds::constant_engine;
use super::request_kinds::is_refusal;
use super::request_kinds::request_count;
use super::request_kinds::requests_with_other_idle;
use super::request_kinds::scripted_answer;
use super::request_kinds::send_request;
use super::request_kinds::send_requests;
use super::request_kinds::start;
use super::request_kinds::start_request;

/// Guards against a paused engine that gets requests before its pause is over although another engine is idle: it
/// is only avoided for the short time that applies to engines that decline without asking for a pause.
#[actix_web::test]
async fn paused_other_idle() {
    let seen = requests_with_other_idle(PAUSED).await;
    assert_eq!(seen, REQUEST_KINDS.map(|kind| (kind, 1)));
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
    let request = get_request("/r/x", "q0", &lines);
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
    let cases: [(&str, Script, bool); 6] = [
        ("paused", Box::new(constant(PAUSED.status, PAUSED.lines)), true),
        (
            "full",
            Box::new(constant(PAUSED.status, "x-declined: 1\r\n")),
            true,
        ),
        (
            "misdirected",
            Box::new(constant("421 Misdirected Request", "x-declined: 1\r\n")),
            true,
        ),
        (
            "misdirected, unconfirmed",
            Box::new(constant("421 Misdirected Request", "")),
            false,
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

/// Guards against pausing an engine because of a `Retry-After` header in an answer that doesn't ask for a pause: a
/// success, or a rate limit for a caller.
#[actix_web::test]
async fn pause_only_by_503() {
    for status in ["200 OK", "429 Too Many Requests"] {
        assert_ignored(scripted_answer(status, "retry-after: 30\r\n")).await;
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
