//! Streams of whole instances, to engines that differ in their pace.

use std::sync::Arc;
use std::time::Duration;

use sequoiastream::ops::relay::shared::Shared;
use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::Route;
use sequoiastream_core::relay::routes::RouteKind;

use super::answers::event_stream;
use super::engine::Action;
use super::engine::ScriptedEngine;
use super::follow::start_zone;
use super::instance::Instance;
use super::metrics::samples;
use super::store::FakeStore;
use super::wait_until;

fn limit_gaps(route: &mut Route) {
    route.gap_target = Duration::from_millis(150);
}

/// An engine whose streams have the events up to the fourth; its connection closes after event `last`.
async fn engine(last: u64) -> ScriptedEngine {
    ScriptedEngine::start(move |_, request| {
        let from: u64 = request
            .header("x-resume")
            .map_or(0, |id| id.parse().expect("an id"));
        let events = Action::Send(event_stream(request, from + 1..=last));
        match last {
            4 => vec![events, Action::Send("0\r\n\r\n".to_string())],
            _ => vec![events, Action::Close],
        }
    })
    .await
}

fn engines_of(shared: &Shared) -> Vec<Engine> {
    let view = shared.view.load();
    view.engines().values().flatten().cloned().collect()
}

/// Records intervals of each engine, the first one of 100 ms, the others of 40 ms.
fn observe(shared: &Shared) {
    let now = clock::now();
    for (index, engine) in engines_of(shared).iter().enumerate() {
        let millis = if index == 0 { 100 } else { 40 };
        for _ in 0..20 {
            let mut traffic = shared.traffic();
            traffic
                .load
                .on_interval(now, engine, Duration::from_millis(millis));
        }
    }
}

/// A stream goes to the fast engine, and so does one whose answer is estimated to have some events; if a single event
/// is expected, it leaves the fast engine to others.
#[actix_web::test]
async fn stream_by_length() {
    let (slow, fast) = (engine(4).await, engine(4).await);
    let engines = [(&slow, Stage::Decode), (&fast, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, limit_gaps);
    observe(&instance.shared);
    let cases = [
        ("", [0, 1]),
        ("x-tokens: 100\r\n", [0, 2]),
        ("x-tokens: 100\r\nx-expected: 4\r\n", [0, 3]),
        ("x-tokens: 100\r\nx-expected: many\r\n", [0, 4]),
        ("x-tokens: 100\r\nx-expected: 1\r\n", [1, 4]),
    ];
    for (number, (lines, expected)) in cases.into_iter().enumerate() {
        let got = instance.get("/r/x", &format!("q{number}"), lines).await;
        assert!(got.contains("token 4"), "{got}");
        let counts = [&slow, &fast].map(|engine| engine.log().requests.len());
        assert_eq!(counts, expected, "{lines}");
    }
}

/// Guards against a route without a limit on pauses that is treated in another way than before.
#[actix_web::test]
async fn stream_without_target() {
    let (slow, fast) = (engine(4).await, engine(4).await);
    let engines = [(&slow, Stage::Decode), (&fast, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, |_| {});
    observe(&instance.shared);
    instance.get("/r/x", "q1", "").await;
    assert_eq!(slow.log().requests.len(), 1);
    let samples = samples(&instance, &["sequoiastream_relay_event_interval"]).await;
    assert_eq!(samples, Vec::<String>::new());
}

/// The only fast engine breaks off a stream. It continues at the slow one and isn't refused for the pauses there, which
/// are counted as expected ones. The time between the last event of one engine and the first of the other says nothing
/// about the pace of either.
#[actix_web::test]
async fn fast_engine_fails() {
    let (slow, fast) = (engine(4).await, engine(2).await);
    let engines = [(&slow, Stage::Decode), (&fast, Stage::Decode)];
    let instance = Instance::start(RouteKind::Resumable, &engines, limit_gaps);
    observe(&instance.shared);
    let got = instance.get("/r/x", "q1", "").await;
    let ids: Vec<&str> = got.lines().filter_map(|l| l.strip_prefix("id: ")).collect();
    assert_eq!(ids, ["1", "2", "3", "4"], "{got}");
    assert_eq!(slow.log().requests[0].header("x-resume"), Some("2"));
    let names = [
        "sequoiastream_relay_event_interval_seconds_count",
        "sequoiastream_relay_slow_streams_total",
        "sequoiastream_relay_slow_engines",
    ];
    let samples = samples(&instance, &names).await;
    assert_eq!(
        samples,
        [
            "sequoiastream_relay_event_interval_seconds_count{service=\"chat\"} 2",
            "sequoiastream_relay_slow_streams_total{service=\"chat\"} 1",
            "sequoiastream_relay_slow_engines{service=\"chat\"} 1",
        ]
    );
}

/// Instances that forward no streams learn the paces from the one that does. Guards against a message that isn't sent
/// or not understood.
#[actix_web::test]
async fn peers_learn() {
    let store = FakeStore::new();
    store.put("engines/e0", "chat 127.0.0.1:9 ready 1");
    let instances = start_zone(&store, &store, Duration::from_secs(60)).await;
    let shared: Vec<Arc<Shared>> = instances.iter().map(|(shared, _)| shared.clone()).collect();
    wait_until(|| shared.iter().all(|shared| engines_of(shared).len() == 2)).await;
    observe(&shared[0]);
    let slow_count = |shared: &Arc<Shared>| {
        let now = clock::now();
        shared.traffic().load.event_pace.slow_count(now, "chat")
    };
    wait_until(|| shared.iter().all(|shared| slow_count(shared) == 1)).await;
}
