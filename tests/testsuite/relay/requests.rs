//! Requests of callers and what of them reaches the engine; readiness, the directory, shutdown.

use std::net::SocketAddr;

use sequoiastream::util::clock;
use sequoiastream_core::relay::directory::Endpoint;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::Service;
use sequoiastream_core::time::Time;

use super::engine::Action;
use super::engine::ScriptedEngine;
use super::engine::answer;
use super::instance::Caller;
use super::instance::Instance;
use super::instance::get_request;
use super::instance::status;
use super::wait_until;

async fn echo() -> ScriptedEngine {
    ScriptedEngine::start(|_, request| vec![answer(request, &request.body)]).await
}

/// The engine gets the request as the caller sent it (method, path, query, body and headers), except for headers of the
/// connection and headers that only the relay may set.
#[actix_web::test]
async fn forward_unchanged() {
    let engine = echo().await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    let got = instance
        .exchange(concat!(
            "PUT /r/%41/../b?q=1&q=%20 HTTP/1.1\r\nhost: Shop.example:80\r\nx-request: q\r\nx-own: 1\r\nx-own: 2\r\n",
            "connection: close, x-hop\r\nx-hop: 1\r\nte: trailers\r\nx-expect: other\r\nx-stage: read\r\nx-source: s\r\nx-fetch: f\r\n",
            "x-deadline: 900\r\ncontent-length: 5\r\n\r\nhello",
        ))
        .await;
    assert!(got.ends_with("hello"), "{got}");
    let seen = engine.log().requests[0].clone();
    let line = seen.head.lines().next().unwrap_or_default();
    assert_eq!(line, "PUT /r/%41/../b?q=1&q=%20 HTTP/1.1");
    assert_eq!(seen.head.matches("x-own: ").count(), 2);
    let of = |name| seen.header(name);
    assert_eq!(
        [of("host"), of("x-request"), of("x-expect")],
        [Some("Shop.example:80"), Some("q"), Some("e0")]
    );
    assert_eq!([of("x-hop"), of("te"), of("x-stage"), of("x-source")], [None; 4]);
    assert_eq!(of("x-fetch"), None);
    let remaining: u64 = of("x-deadline")
        .expect("a deadline")
        .parse()
        .expect("milliseconds");
    assert!((1..=900).contains(&remaining), "{remaining}");
}

#[actix_web::test]
async fn forward_chunked_body() {
    let engine = echo().await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    let raw = "POST /r/ HTTP/1.1\r\nhost: shop.example\r\nx-request: q\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n";
    assert!(instance.exchange(raw).await.ends_with("abcde"));
    assert_eq!(engine.log().requests[0].header("content-length"), Some("5"));
}

/// Guards against request smuggling, where an engine executes a request that nobody sent: a body contains another
/// request, and the two sides determine the body's length differently. A request with ambiguous framing must not reach
/// any engine.
#[actix_web::test]
async fn smuggled_refused() {
    let engine = echo().await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    let inner = &get_request("/r/inner", "inner", "");
    let framings = [
        format!(
            "content-length: {}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{inner}",
            inner.len() + 5
        ),
        format!(
            "content-length: 0\r\ncontent-length: {}\r\n\r\n{inner}",
            inner.len()
        ),
        format!("content-length: +{}\r\n\r\n{inner}", inner.len()),
        format!("transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n{inner}"),
        format!("transfer-encoding: xchunked\r\ncontent-length: 3\r\n\r\nabc{inner}"),
        format!("transfer-encoding : chunked\r\n\r\n0\r\n\r\n{inner}"),
        "x-request: second\r\ncontent-length: 0\r\n\r\n".to_string(),
        "host: other.example\r\ncontent-length: 0\r\n\r\n".to_string(),
    ];
    for framing in framings {
        let raw = format!(
            "POST /r/outer HTTP/1.1\r\nhost: shop.example\r\nx-request: outer\r\nconnection: close\r\n{framing}"
        );
        let got = instance.exchange(&raw).await;
        let seen: Vec<String> = engine.log().requests.iter().map(|r| r.head.clone()).collect();
        assert!(seen.is_empty(), "{framing:?}\n{seen:?}");
        assert!(
            status(&got).starts_with('4') || got.is_empty(),
            "{framing:?}\n{got}"
        );
    }
}

#[actix_web::test]
async fn refuse_bad_requests() {
    let engine = echo().await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    // No bytes follow those that exceed the limit: they would arrive while the instance closes the connection.
    let head = "PUT /r/ HTTP/1.1\r\nhost: shop.example\r\nx-request: q\r\nconnection: close\r\n";
    let chunks = super::engine::chunk(&"x".repeat(1 << 20)) + &super::engine::chunk("x");
    let get =
        |path: &str, headers: &str| format!("GET {path} HTTP/1.1\r\n{headers}connection: close\r\n\r\n");
    let cases = [
        (get("/r/", "host: shop.example\r\n"), "400"),
        (get("/r/", "x-request: q\r\n"), "400"),
        (
            get(
                "/r/",
                "host: shop.example\r\nx-request: q\r\nx-deadline: soon\r\n",
            ),
            "400",
        ),
        (
            get("/r/", "host: shop.example\r\nx-request: q\r\nx-deadline: -5\r\n"),
            "400",
        ),
        (get("/none/", "host: shop.example\r\nx-request: q\r\n"), "404"),
        (get("/r/", "host: other.example\r\nx-request: q\r\n"), "404"),
        (format!("{head}content-length: {}\r\n\r\n", (1 << 20) + 1), "413"),
        (format!("{head}transfer-encoding: chunked\r\n\r\n{chunks}"), "413"),
    ];
    for (raw, expected) in cases {
        instance.shared.on_store_answer(clock::now());
        // The answer arrives at once; the connection may stay open for a body that never arrives.
        let mut caller = instance.connect().await;
        caller.send(&raw).await;
        let got = caller.read_until("\r\n\r\n").await;
        assert_eq!(status(&got), expected, "{}", &raw[..raw.len().min(90)]);
    }
    assert!(engine.log().requests.is_empty());
}

/// Guards against a 404 for paths that may exist: an instance starts before the store answers and has no routes yet.
#[actix_web::test]
async fn unconfigured_not_404() {
    let instance = Instance::start(RouteKind::Once, &[], |_| {});
    instance.shared.publish(|view| view.table = Default::default());
    let got = instance.get("/r/x", "q", "").await;
    assert_eq!(status(&got), "503");
    assert_eq!(fetch(&instance, "ready").await, "503");
}

/// Guards against a 404 for a route that an acknowledged configuration has added: the store has confirmed nothing for longer
/// than a change may take to apply, and a caller that gets 404 doesn't come back.
#[actix_web::test]
async fn unconfirmed_not_404() {
    let instance = Instance::start(RouteKind::Once, &[], |_| {});
    let limit = instance.shared.reloadable().apply_limit.0;
    // The clock starts with the process, and no time is before its start.
    wait_until(|| clock::now().since(Time::ZERO) > limit).await;
    instance.shared.on_store_answer(clock::now() - limit);
    let got = instance.get("/added/x", "q", "").await;
    assert_eq!(status(&got), "503");
    assert!(got.contains("retry-after: 0.1"), "{got}");
    instance.shared.on_store_answer(clock::now());
    let got = instance.get("/added/x", "q", "").await;
    assert_eq!(status(&got), "404");
}

/// Guards against a 404 for a route that the instance's peers already have: it started with an older copy of the configuration, which
/// the store confirms.
#[actix_web::test]
async fn behind_peers_not_404() {
    let instance = Instance::start(RouteKind::Once, &[], |_| {});
    let version = instance.shared.view.load().table.version;
    for (peers, expected) in [(version, "404"), (version + 1, "503")] {
        instance.shared.on_peer_version(peers);
        instance.shared.on_store_answer(clock::now());
        let got = instance.get("/added/x", "q", "").await;
        assert_eq!(status(&got), expected, "{peers}");
    }
}

async fn fetch(instance: &Instance, path: &str) -> String {
    let options = &instance.shared.options;
    let address = if path == "ready" {
        options.ready
    } else {
        options.directory
    };
    let mut caller = Caller::connect(address.expect("an address")).await;
    let (path, query) = path.split_once('&').unwrap_or((path, ""));
    let raw =
        format!("GET /{path}?name=shop.example&{query} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    caller.send(&raw).await;
    let got = caller.read_to_end().await;
    match path {
        "ready" => status(&got).to_string(),
        _ => got,
    }
}

#[actix_web::test]
async fn addresses_of_the_live() {
    let instance = Instance::start(RouteKind::Once, &[], |_| {});
    assert_eq!(status(&fetch(&instance, "addresses").await), "503");
    let front = instance.shared.options.front;
    let endpoint = |address: SocketAddr, zone: &str| Endpoint {
        address,
        zone: zone.parse().expect("a name"),
        capacity: 250,
    };
    instance
        .shared
        .publish(|view| view.endpoints = vec![endpoint(front, "a")]);
    let got = fetch(&instance, "addresses").await;
    assert!(got.ends_with(&format!("[{front}] 50")), "{got}");
    // If there are more endpoints than a caller takes, it gets those of its zone.
    let many = (1..=8_u16).map(|port| {
        let zone = if port % 2 == 0 { "a" } else { "b" };
        endpoint(SocketAddr::from(([127, 0, 0, 1], port)), zone)
    });
    let many: Vec<Endpoint> = many.collect();
    instance.shared.publish(|view| view.endpoints = many);
    let got = fetch(&instance, "addresses&zone=b").await;
    assert!(
        got.ends_with("[127.0.0.1:1, 127.0.0.1:3, 127.0.0.1:5, 127.0.0.1:7] 50"),
        "{got}"
    );
}

/// Guards against a stream that is cut by a planned shutdown: callers cache the address for a while after the instance
/// was told to stop. It serves them with `connection: close` until the cached addresses have expired, and refuses
/// requests after that.
#[actix_web::test]
async fn shutdown_serves_then_refuses() {
    let engine = echo().await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    assert_eq!(fetch(&instance, "ready").await, "200");
    instance.shared.leave(clock::now());
    assert_eq!(fetch(&instance, "ready").await, "503");
    let mut caller = instance.connect().await;
    caller.send(&get_request("/r/x", "q", "")).await;
    let got = caller.read_to_end().await;
    assert!(
        status(&got) == "200" && got.contains("connection: close"),
        "{got}"
    );
    let served = engine.log().requests.len();
    while !instance.shared.is_closed(clock::now()) {
        tokio::task::yield_now().await;
    }
    let got = instance.get("/r/x", "q2", "").await;
    assert_eq!(
        (status(&got), engine.log().requests.len()),
        ("503", served),
        "{got}"
    );
    assert!(got.contains("retry-after: "));
}

#[actix_web::test]
async fn keep_alive_many_requests() {
    let engine = echo().await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    let mut caller = instance.connect().await;
    for number in 0..20 {
        let body = format!("body {number:02}");
        let raw = format!(
            "PUT /r/ HTTP/1.1\r\nhost: shop.example\r\nx-request: q{number}\r\ncontent-length: 7\r\n\r\n{body}"
        );
        caller.send(&raw).await;
        caller.read_until(&body).await;
    }
    assert_eq!(engine.log().requests.len(), 20);
}

/// Guards against idle connections that accumulate for the lifetime of an instance: engines leave one after the other,
/// and if idle connections were checked only at the next request to their engine, those of engines that have left would
/// never be closed.
#[actix_web::test]
async fn idle_closed_when_engine_leaves() {
    let engine = ScriptedEngine::start(|_, request| vec![answer(request, "whole"), Action::Hold]).await;
    let instance = Instance::start(RouteKind::Idempotent, &[(&engine, Stage::Whole)], |_| {});
    let got = instance.get("/r/x", "q1", "").await;
    assert_eq!(status(&got), "200");
    instance
        .shared
        .publish(|view| view.set_engines(Default::default()));
    engine.wait_for(|log| log.disconnects == 1).await;
}

#[test]
fn idle_share_by_instances() {
    let service = |connections: u32| Service {
        name: "s".to_string(),
        connections,
        engine_spec: None,
        scale: None,
    };
    assert_eq!(service(180).idle_share(32, 8), Some(18));
    assert_eq!(service(180).idle_share(32, 350), Some(1));
    assert_eq!(service(20).idle_share(32, 8), Some(1));
    assert_eq!(service(0).idle_share(32, 8), None);
}
