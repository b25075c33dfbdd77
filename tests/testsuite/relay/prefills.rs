//! Prefills: computed by one engine, fetched by another, repeated, and freed.

use std::cell::Cell;
use std::time::Duration;

use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;

use super::answers::event_stream;
use super::engine::Action;
use super::engine::ScriptedEngine;
use super::engine::answer;
use super::engine::decline;
use super::instance::Instance;
use super::instance::status;

/// The prefill of a long prompt is computed by one engine; another engine generates from its result.
#[actix_web::test]
async fn prompt_read_apart() {
    let prefiller = ScriptedEngine::start(|_, request| vec![answer(request, "kept h7")]).await;
    let decoder =
        ScriptedEngine::start(|_, request| vec![Action::Send(event_stream(request, 1..=1) + "0\r\n\r\n")])
            .await;
    let engines = [(&prefiller, Stage::Prefill), (&decoder, Stage::Decode)];
    let instance = Instance::start(RouteKind::Stream, &engines, |_| {});
    let got = instance.get("/r/x", "q1", "x-tokens: 9000\r\n").await;
    assert!(got.contains("token 1"), "{got}");
    let (prefilled, decoded) = (prefiller.log().requests, decoder.log().requests);
    assert_eq!(prefilled[0].header("x-stage"), Some("read"));
    let source = format!("{}/h7", prefiller.address());
    assert_eq!(decoded[0].header("x-source"), Some(source.as_str()));
    assert_eq!(decoded[0].header("x-stage"), None);
}

/// Guards against the longest prompts being refused for ever: the prefill takes longer than the latency target even on
/// an idle engine, so the request is expected to be late and refused, and so is the caller's next attempt. It must be
/// served late, but not queued behind others.
#[actix_web::test]
async fn prompt_too_long_for_target() {
    let requests = Cell::new(0);
    let prefiller = ScriptedEngine::start(move |_, request| match requests.replace(requests.get() + 1) {
        0 => vec![answer(request, "kept h7")],
        _ => vec![Action::Hold],
    })
    .await;
    let decoder =
        ScriptedEngine::start(|_, request| vec![Action::Send(event_stream(request, 1..=1) + "0\r\n\r\n")])
            .await;
    let engines = [(&prefiller, Stage::Prefill), (&decoder, Stage::Decode)];
    let instance = Instance::start(RouteKind::Stream, &engines, |route| {
        route.latency_target = Duration::from_millis(100);
    });
    let got = instance.get("/r/x", "q1", "x-tokens: 100000\r\n").await;
    assert!(got.contains("token 1"), "{got}");
    let ask = "x-tokens: 1000000\r\nx-deadline: 900\r\n";
    let (_, behind) = tokio::join!(instance.get("/r/x", "q2", ask), async {
        super::wait_until(|| prefiller.log().requests.len() == 2).await;
        instance.get("/r/x", "q3", ask).await
    });
    assert_eq!(status(&behind), "503", "{behind}");
    assert_eq!(prefiller.log().requests.len(), 2, "the last request is not sent");
}

/// The engine that computes a prefill is told which engine may cache the shared parts of the prompt; the engine that
/// generates is not.
#[actix_web::test]
async fn prompt_fetched() {
    let serve = |_, request: &_| vec![answer(request, "kept h7")];
    let prefillers = [
        ScriptedEngine::start(serve).await,
        ScriptedEngine::start(serve).await,
    ];
    let decoder =
        ScriptedEngine::start(|_, request| vec![Action::Send(event_stream(request, 1..=1) + "0\r\n\r\n")])
            .await;
    let engines = [
        (&prefillers[0], Stage::Prefill),
        (&prefillers[1], Stage::Prefill),
        (&decoder, Stage::Decode),
    ];
    let instance = Instance::start(RouteKind::Stream, &engines, |_| {});
    let got = instance.get("/r/x", "q1", "x-tokens: 9000\r\n").await;
    assert!(got.contains("token 1"), "{got}");
    let logs = prefillers.each_ref().map(|prefiller| prefiller.log().requests);
    let fetched: Vec<Option<String>> = logs
        .iter()
        .flatten()
        .map(|r| r.header("x-fetch").map(str::to_string))
        .collect();
    let other = usize::from(!logs[0].is_empty());
    assert_eq!(fetched, [Some(prefillers[other].address().to_string())]);
    assert_eq!(decoder.log().requests[0].header("x-fetch"), None);
}

/// Guards against prefills that every engine computes again in turn: the engines of the service do both prefill and
/// decode and get the requests of one conversation, all of which must go to the same engine.
#[actix_web::test]
async fn prompt_at_home_without_readers() {
    let serve = |_: usize, request: &super::engine::ReceivedRequest| {
        vec![Action::Send(event_stream(request, 1..=1) + "0\r\n\r\n")]
    };
    let (first, second) = (
        ScriptedEngine::start(serve).await,
        ScriptedEngine::start(serve).await,
    );
    let instance = Instance::start(
        RouteKind::Stream,
        &[(&first, Stage::Whole), (&second, Stage::Whole)],
        |_| {},
    );
    let mut at_first = Vec::new();
    for conversation in 0..12 {
        let parts = format!("x-tokens: 9000\r\nx-parts: {conversation}\r\n");
        let before = first.log().requests.len();
        for number in 0..3 {
            let got = instance
                .get("/r/x", &format!("q{conversation}-{number}"), &parts)
                .await;
            assert!(got.contains("token 1"), "{got}");
        }
        at_first.push(first.log().requests.len() - before);
    }
    assert!(at_first.iter().all(|n| [0, 3].contains(n)), "{at_first:?}");
    assert!(at_first.contains(&0) && at_first.contains(&3), "{at_first:?}");
}

/// Guards against an engine whose memory fills with prefills that no engine fetches: a prefill is computed, but no
/// engine accepts the decode. The prefill must be released, and the caller is told that nothing was executed.
#[actix_web::test]
async fn prompt_freed_if_untaken() {
    let prefiller = ScriptedEngine::start(|_, request| vec![answer(request, "kept h7")]).await;
    let decoder = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
    let engines = [(&prefiller, Stage::Prefill), (&decoder, Stage::Decode)];
    let instance = Instance::start(RouteKind::Stream, &engines, |route| route.max_attempts = 1);
    let got = instance.get("/r/x", "q1", "x-tokens: 9000\r\n").await;
    assert_eq!(status(&got), "503");
    prefiller.wait_for(|log| log.requests.len() == 2).await;
    assert!(
        prefiller.log().requests[1]
            .head
            .starts_with("DELETE /release/h7 ")
    );
}

/// Guards against more extra attempts than the budget allows when answers are lost: prefill and decode run on different
/// engines, the decoding engine breaks off, and the prefill is computed once more for the next attempt. The second
/// prefill must be counted as well as the attempt.
#[actix_web::test]
async fn extra_readings_bounded() {
    let prefiller = ScriptedEngine::start(|_, request| vec![answer(request, "kept h7")]).await;
    let first = ScriptedEngine::start(|_, _| vec![Action::Close]).await;
    let second = ScriptedEngine::start(|_, _| vec![Action::Close]).await;
    let engines = [
        (&prefiller, Stage::Prefill),
        (&first, Stage::Decode),
        (&second, Stage::Decode),
    ];
    let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
    for number in 0..100 {
        let got = instance
            .get("/r/x", &format!("q{number}"), "x-tokens: 9000\r\n")
            .await;
        assert_eq!(status(&got), "502");
    }
    let decoded = first.log().requests.len() + second.log().requests.len();
    let prefills = prefiller
        .log()
        .requests
        .iter()
        .filter(|r| r.header("x-stage").is_some())
        .count();
    let extras = (decoded - 100) + (prefills - 100);
    let bound = (0.2 * 100.0) as usize + 56;
    assert!((1..=bound).contains(&extras), "{extras}");
}

/// Guards against arrivals that no budget counts: the only engine that computes prefills rejects the call for one, so
/// that the request is sent to an engine that generates. The rejected call is the first arrival of the request, and the
/// run is an extra one.
#[actix_web::test]
async fn rejected_readings_bounded() {
    let prefiller = ScriptedEngine::start(|_, request| vec![decline(request)]).await;
    let decoder =
        ScriptedEngine::start(|_, request| vec![Action::Send(event_stream(request, 1..=1) + "0\r\n\r\n")])
            .await;
    let engines = [(&prefiller, Stage::Prefill), (&decoder, Stage::Decode)];
    let instance = Instance::start(RouteKind::Stream, &engines, |_| {});
    let mut served = 0;
    for number in 0..400 {
        let got = instance
            .get("/r/x", &format!("q{number}"), "x-tokens: 9000\r\n")
            .await;
        served += usize::from(status(&got) == "200");
    }
    let arrivals = prefiller.log().requests.len() + decoder.log().requests.len();
    assert_eq!(decoder.log().requests.len(), served);
    let bound = (0.2 * 400.0) as usize + 56;
    assert!((401..=400 + bound).contains(&arrivals), "{arrivals}");
}

/// Guards against callers that are refused beside a free engine: engines that compute prefills reject every call for one,
/// and the budget of extra arrivals is used up by calls that no request needs.
#[actix_web::test]
async fn rejecting_engines_left_out() {
    for count in [1, 2, 3] {
        let mut rejecting = Vec::new();
        for _ in 0..count {
            rejecting.push(ScriptedEngine::start(|_, request| vec![decline(request)]).await);
        }
        let decoder = ScriptedEngine::start(|_, request| {
            vec![Action::Send(event_stream(request, 1..=1) + "0\r\n\r\n")]
        })
        .await;
        let mut engines: Vec<_> = rejecting.iter().map(|engine| (engine, Stage::Prefill)).collect();
        engines.push((&decoder, Stage::Decode));
        let instance = Instance::start(RouteKind::Stream, &engines, |_| {});
        let mut served = 0;
        for number in 0..400 {
            let parts = format!("x-tokens: 9000\r\nx-parts: {}\r\n", number % 16);
            let got = instance.get("/r/x", &format!("q{number}"), &parts).await;
            served += usize::from(status(&got) == "200");
        }
        let rejected: usize = rejecting.iter().map(|engine| engine.log().requests.len()).sum();
        let bound = (0.2 * 400.0) as usize + 56;
        assert!(rejected <= bound, "{count} engines: {rejected} rejected calls");
        assert!(served >= 380, "{count} engines: {served} of 400 were served");
    }
}

/// If an engine doesn't answer a prefill, another one computes it, also for a request that is executed at most once: a
/// prefill doesn't count as an execution.
#[actix_web::test]
async fn silent_reader_left() {
    let unresponsive = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
    let prefiller = ScriptedEngine::start(|_, request| vec![answer(request, "kept h7")]).await;
    let decoder =
        ScriptedEngine::start(|_, request| vec![Action::Send(event_stream(request, 1..=1) + "0\r\n\r\n")])
            .await;
    let engines = [
        (&unresponsive, Stage::Prefill),
        (&prefiller, Stage::Prefill),
        (&decoder, Stage::Decode),
    ];
    let instance = Instance::start(RouteKind::Stream, &engines, |_| {});
    for number in 0..6 {
        let parts = format!("x-tokens: 9000\r\nx-parts: {number}\r\nx-deadline: 8000\r\n");
        let got = instance.get("/r/x", &format!("q{number}"), &parts).await;
        assert!(got.contains("token 1"), "{got}");
    }
    assert!(
        !unresponsive.log().requests.is_empty(),
        "the unresponsive engine is preferred by some conversation"
    );
}
