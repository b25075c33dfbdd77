//! Priority: what engines are told of it, how far each rank may fill them, and when refused callers return.

use std::sync::Arc;
use std::time::Duration;

use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::CallerLimits;
use sequoiastream_core::relay::routes::Route;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::RoutingTable;

use super::answers::event_stream;
use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::answer;
use super::instance::Instance;
use super::instance::options;
use super::instance::route;
use super::instance::shared;

/// Latency target of the urgent route.
const TARGET: Duration = Duration::from_millis(400);

/// The route at `/u/` has the priority `ranks[0]`, that at `/b/` has `ranks[1]`.
fn routes(ranks: [u8; 2]) -> Vec<Route> {
    let urgent = Route {
        priority: ranks[0],
        latency_target: TARGET,
        ..route(RouteKind::Stream, "/u/")
    };
    let bulk = Route {
        priority: ranks[1],
        ..route(RouteKind::Stream, "/b/")
    };
    vec![urgent, bulk]
}

/// An instance with these routes, and engines with four slots.
fn start(routes: Vec<Route>, engines: &[(&ScriptedEngine, Stage)]) -> Instance {
    let engines = engines.iter().enumerate().map(|(index, (engine, stage))| {
        let key = EngineKey(u32::try_from(index).expect("an index below 2^32"));
        let entry = Entry {
            address: engine.address(),
            slots: 4,
            ..super::entry(&format!("e{index}"), *stage)
        };
        Engine::new(key, entry)
    });
    let engines: Vec<Engine> = engines.collect();
    let shared = shared(options());
    shared.publish(|view| {
        let table = RoutingTable::new(3, CallerLimits::default(), routes, Vec::new());
        view.table = Arc::new(table);
        view.set_engines([("chat".to_string(), engines)].into());
        view.instances = 1;
    });
    Instance::serve(shared)
}

/// A stream of one event.
fn stream(request: &ReceivedRequest) -> Action {
    Action::Send(event_stream(request, 1..=1) + "0\r\n\r\n")
}

fn priorities(engine: &ScriptedEngine) -> Vec<Option<String>> {
    let requests = engine.log().requests;
    let priority = |r: &ReceivedRequest| r.header("x-priority").map(str::to_string);
    requests.iter().map(priority).collect()
}

/// Guards against engines that serve urgent requests behind less urgent ones, since they aren't told which is which:
/// neither in the call for a prefill nor in the request.
#[actix_web::test]
async fn header_on_requests_and_prefills() {
    let prefiller = ScriptedEngine::start(|_, request| vec![answer(request, "kept h7")]).await;
    let decoder = ScriptedEngine::start(|_, request| vec![stream(request)]).await;
    let engines = [(&prefiller, Stage::Prefill), (&decoder, Stage::Decode)];
    let instance = start(routes([0, 12]), &engines);
    for path in ["/u/x", "/b/x"] {
        let got = instance.get(path, "q1", "x-tokens: 9000\r\n").await;
        assert!(got.contains("token 1"), "{got}");
    }
    // The header has one digit.
    let expected = ["0", "9"].map(|p| Some(p.to_string()));
    assert_eq!(priorities(&prefiller), expected);
    assert_eq!(priorities(&decoder), expected);
}

/// Guards against callers that choose their own priority, and against a change for services whose routes are alike.
#[actix_web::test]
async fn header_not_from_callers() {
    let engine = ScriptedEngine::start(|_, request| vec![stream(request)]).await;
    let instance = start(routes([3, 3]), &[(&engine, Stage::Whole)]);
    instance.get("/u/x", "q1", "x-priority: 0\r\n").await;
    let other = start(routes([3, 4]), &[(&engine, Stage::Whole)]);
    other.get("/b/x", "q2", "x-priority: 0\r\n").await;
    assert_eq!(priorities(&engine), [None, Some("4".to_string())]);
}
