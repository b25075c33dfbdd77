//! Requests that crash engines, at whole instances.

use sequoiastream::ops::relay::connect;
use sequoiastream_core::poison::suspects::MIN_CRASHES;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_upstream::channel::Pool;

use super::answers::event_stream;
use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::UnreachableAddress;
use super::engine::answer;
use super::instance::Instance;
use super::instance::status;
use super::tunnels::Peer;
use super::tunnels::detach;

/// Path of the request that crashes the engines of [`crashing_engine`].
const POISON: &str = "/r/poison";

fn is_poison(request: &ReceivedRequest) -> bool {
    request.head.contains(POISON)
}

/// An engine that crashes under requests for [`POISON`] and answers all others.
async fn crashing_engine() -> ScriptedEngine {
    ScriptedEngine::start(|_, request| match is_poison(request) {
        true => vec![Action::Crash],
        false => vec![answer(request, "whole")],
    })
    .await
}

fn crashes(engines: &[ScriptedEngine]) -> usize {
    engines.iter().filter(|engine| engine.log().crashed).count()
}

async fn crashing_engines(count: usize) -> Vec<ScriptedEngine> {
    let mut engines = Vec::new();
    for _ in 0..count {
        engines.push(crashing_engine().await);
    }
    engines
}

fn start(kind: RouteKind, engines: &[ScriptedEngine]) -> Instance {
    let engines: Vec<_> = engines.iter().map(|engine| (engine, Stage::Whole)).collect();
    Instance::start(kind, &engines, |_| {})
}

/// Guards against a request without a body that crashes one engine after the other, because only requests with a body
/// are recognised when they come again.
#[actix_web::test]
async fn block_without_body() {
    let engines = crashing_engines(6).await;
    let instance = start(RouteKind::Idempotent, &engines);
    for attempt in 0..6 {
        let got = instance.get(POISON, &format!("q{attempt}"), "").await;
        assert!(crashes(&engines) <= MIN_CRASHES, "attempt {attempt}");
        assert_eq!(status(&got), "502", "{got}");
    }
    let got = instance.get("/r/other", "q9", "").await;
    assert_eq!(status(&got), "200", "{got}");
}

/// Guards against a request that crashes one engine more than allowed because only its first attempt is checked, not the
/// attempts that follow it.
#[actix_web::test]
async fn block_before_retry() {
    let engines = crashing_engines(6).await;
    let instance = start(RouteKind::Idempotent, &engines);
    for attempt in 0..6 {
        let raw = format!(
            "POST {POISON} HTTP/1.1\r\nhost: shop.example\r\nx-request: q{attempt}\r\nconnection: close\r\n\
             content-length: 2\r\n\r\nab"
        );
        let got = instance.exchange(&raw).await;
        assert!(crashes(&engines) <= MIN_CRASHES, "attempt {attempt}");
        assert_eq!(status(&got), "502", "{got}");
    }
}

/// Guards against blocking a request that many callers send, because links lost its answers: the engines that lost them
/// run on.
#[actix_web::test]
async fn serve_after_lost_answers() {
    let mut engines = Vec::new();
    for _ in 0..4 {
        let engine = ScriptedEngine::start(|number, request| match number {
            0 | 1 => vec![Action::Reset],
            _ => vec![answer(request, "whole")],
        });
        engines.push(engine.await);
    }
    let instance = start(RouteKind::Idempotent, &engines);
    let mut served = 0;
    for attempt in 0..12 {
        let got = instance.get("/r/popular", &format!("q{attempt}"), "").await;
        served += usize::from(status(&got) == "200");
    }
    // At most four engines, two answers each, two attempts at each request.
    assert!(served >= 8, "{served}");
}

/// Guards against a request that crashes engines where their prompts are processed: only the ends of attempts to generate
/// the answer were counted.
#[actix_web::test]
async fn block_prefill() {
    let engines = crashing_engines(6).await;
    let decode = ScriptedEngine::start(|_, request| vec![answer(request, "whole")]).await;
    let mut stages: Vec<_> = engines.iter().map(|engine| (engine, Stage::Prefill)).collect();
    stages.push((&decode, Stage::Decode));
    let instance = Instance::start(RouteKind::Resumable, &stages, |_| {});
    for attempt in 0..6 {
        let got = instance
            .get(POISON, &format!("q{attempt}"), "x-tokens: 9000\r\n")
            .await;
        assert!(crashes(&engines) <= MIN_CRASHES, "attempt {attempt} {got}");
    }
}

/// Guards against blocking a harmless request because this instance, and not the engines, was cut off while it ran: new
/// connections are refused, but a peer reaches the engines.
#[actix_web::test]
async fn ended_not_if_peer_connects() {
    let engine = ScriptedEngine::start(|_, request| vec![answer(request, "whole")]).await;
    let instance = start(RouteKind::Idempotent, std::slice::from_ref(&engine));
    let refusing = UnreachableAddress::refusing();
    for (reached, has_ended) in [(Some(engine.address()), false), (None, true)] {
        let peer = Peer::new(reached).start(&instance).await;
        detach(&instance, refusing.address, &[peer]);
        let known = instance.shared.view.load().engines()["chat"][0].clone();
        let pool = Pool::new();
        assert_eq!(
            connect::has_ended(&instance.shared, &pool, &known).await,
            has_ended
        );
    }
}

/// The part of prompts that crashes engines of [`engine_of_parts`].
const POISONOUS_PART: u64 = 13;

/// The first part of all prompts.
const FIRST_PART: u64 = 1;

/// An engine that crashes when it begins to answer a prompt with [`POISONOUS_PART`], and streams an answer to all others.
async fn engine_of_parts() -> ScriptedEngine {
    let parts = format!("x-parts: {FIRST_PART},{POISONOUS_PART}\r\n");
    ScriptedEngine::start(move |_, request| match request.head.contains(&parts) {
        true => vec![Action::Crash],
        false => vec![Action::Send(event_stream(request, 1..=2) + "0\r\n\r\n")],
    })
    .await
}

/// Guards against requests that crash one engine after the other though no two of them are alike: they have one part of
/// their prompts in common, and only whole requests are recognised when they come again. Other requests with the same
/// first part are served.
#[actix_web::test]
async fn block_part_of_prompt() {
    for kind in [RouteKind::Stream, RouteKind::Resumable] {
        let mut engines = Vec::new();
        for _ in 0..8 {
            engines.push(engine_of_parts().await);
        }
        let instance = start(kind, &engines);
        for attempt in 0..7 {
            let path = format!("/r/poison{attempt}");
            let parts = format!("x-tokens: 100\r\nx-parts: {FIRST_PART},{POISONOUS_PART}\r\n");
            let got = instance.get(&path, &format!("p{attempt}"), &parts).await;
            assert!(crashes(&engines) <= MIN_CRASHES, "attempt {attempt}: {got}");
            let parts = format!("x-tokens: 100\r\nx-parts: {FIRST_PART},{}\r\n", 100 + attempt);
            let got = instance
                .get(&format!("/r/sound{attempt}"), &format!("s{attempt}"), &parts)
                .await;
            assert_eq!(status(&got), "200", "{got}");
        }
    }
}
