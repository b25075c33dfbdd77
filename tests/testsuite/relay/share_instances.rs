//! Sharing of engines between workspaces while capacity is short, at instances with scripted engines.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::workspace_use::NameHash;
use sequoiastream_core::relay::workspace_use::UseEntry;
use sequoiastream_core::relay::workspaces::KeyDigest;
use sequoiastream_core::relay::workspaces::Workspace;
use sequoiastream_core::relay::workspaces::Workspaces;
use tokio::sync::Notify;

use super::engine::Action;
use super::engine::ScriptedEngine;
use super::engine::answer;
use super::follow::start_zone;
use super::instance::Caller;
use super::instance::Instance;
use super::instance::get_request;
use super::instance::status;
use super::keys::require_keys;
use super::metrics::samples;
use super::store::FakeStore;
use super::wait_until;
use super::workspace_shares::full;
use super::workspace_shares::is_refused;
use super::workspace_shares::request;

/// Makes an instance require keys: `k1` belongs to the workspace `huka`, `k2` to `toru`.
fn require_two_keys(instance: &Instance) {
    require_keys(instance);
    let workspace = |name: &str, key: &str| Workspace {
        name: name.to_string(),
        priority: None,
        keys: vec![KeyDigest::of(key.as_bytes())],
    };
    let workspaces = Workspaces::new(vec![workspace("huka", "k1"), workspace("toru", "k2")]);
    let workspaces = workspaces.expect("unambiguous keys");
    instance.shared.publish(|view| {
        let table = RoutingTable::clone(&view.table);
        view.table = Arc::new(table.with_workspaces(Some(workspaces)));
    });
}

/// Sends a request of the workspace `huka` and leaves it running.
async fn start_request(instance: &Instance, id: &str) -> Caller {
    let mut caller = instance.connect().await;
    let raw = get_request("/r/", id, "x-key: k1\r\nconnection: close\r\n");
    caller.send(&raw).await;
    caller
}

/// Guards against a workspace whose requests hold nearly all slots and that takes the rest from another one, and
/// against refusals for its share that don't say so.
#[actix_web::test]
async fn refuse_over_share() {
    let engine = ScriptedEngine::start(|_, request| match request.header("x-workspace") {
        Some("huka") => vec![Action::Hold],
        _ => vec![answer(request, "done")],
    })
    .await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    require_two_keys(&instance);
    let mut callers = Vec::new();
    for number in 0..15 {
        callers.push(start_request(&instance, &format!("q{number}")).await);
    }
    engine.wait_for(|log| log.requests.len() == 15).await;
    let other = instance.get("/r/", "other", "x-key: k2\r\n").await;
    assert_eq!(status(&other), "200");
    let over = instance.get("/r/", "over", "x-key: k1\r\n").await;
    assert_eq!(status(&over), "503", "{over}");
    assert!(over.contains("retry-after: "), "{over}");
    let other = instance.get("/r/", "again", "x-key: k2\r\n").await;
    assert_eq!(status(&other), "200");
    assert_eq!(
        engine.log().requests.len(),
        17,
        "nothing was sent for the refused request"
    );
    let names = [
        "sequoiastream_relay_over_share_workspaces",
        "sequoiastream_relay_refusals_total",
    ];
    let mut samples = samples(&instance, &names).await;
    samples.sort();
    assert_eq!(
        samples,
        [
            "sequoiastream_relay_over_share_workspaces 1",
            "sequoiastream_relay_refusals_total{reason=\"its workspace is over its share\"} 1",
        ]
    );
}

/// Guards against a workspace that stays refused after the engine that ran its requests has crashed: the slots are free,
/// and capacity is no longer short.
#[actix_web::test]
async fn serve_after_crash() {
    let crash = Rc::new(Notify::new());
    let waits = crash.clone();
    let crashing = ScriptedEngine::start(move |number, request| match number {
        0..15 => vec![Action::Await(waits.clone()), Action::Crash],
        _ => vec![answer(request, "done")],
    })
    .await;
    let engine = ScriptedEngine::start(|number, request| match number {
        0..15 => vec![Action::Hold],
        _ => vec![answer(request, "done")],
    })
    .await;
    let engines = [(&crashing, Stage::Whole), (&engine, Stage::Whole)];
    let instance = Instance::start(RouteKind::Once, &engines, |_| {});
    require_two_keys(&instance);
    let mut callers = Vec::new();
    for number in 0..30 {
        callers.push(start_request(&instance, &format!("q{number}")).await);
        let received = || crashing.log().requests.len() + engine.log().requests.len();
        wait_until(|| received() == number + 1).await;
    }
    let toru = instance.get("/r/", "toru", "x-key: k2\r\n").await;
    let over = instance.get("/r/", "over", "x-key: k1\r\n").await;
    assert_eq!([status(&toru), status(&over)], ["200", "503"], "{toru} {over}");
    crash.notify_one();
    wait_until(|| crashing.log().crashed && instance.shared.running() <= 15).await;
    let served = instance.get("/r/", "served", "x-key: k1\r\n").await;
    assert_eq!(status(&served), "200", "{served}");
}

/// Guards against refusals for lack of capacity that don't show that it is short, and against a workspace that pays for
/// requests that were sent to no engine.
#[actix_web::test]
async fn refused_without_engine() {
    let instance = Instance::start(RouteKind::Once, &[], |_| {});
    require_two_keys(&instance);
    let message = || instance.shared.traffic().shares.message(clock::now(), 0);
    for (id, is_short) in [("first", false), ("second", true)] {
        let refused = instance.get("/r/", id, "x-key: k1\r\n").await;
        assert_eq!(status(&refused), "503", "{refused}");
        assert_eq!(message().is_some(), is_short, "{id}");
    }
    let entries = message().map(|message| message.entries);
    assert_eq!(entries, Some(vec![UseEntry::new(NameHash::of("huka"), 0, 0.0)]));
}

/// Guards against instances that don't learn of the use through others: a workspace would get its share at each.
#[actix_web::test]
async fn use_reported_to_peers() {
    let (served, own) = (FakeStore::new(), FakeStore::new());
    let [(first, _), (second, _), _] = start_zone(&served, &own, Duration::from_secs(60)).await;
    for workspace in ["large", "small"] {
        let request = request(workspace, 3, 0.0);
        second.traffic().shares.admit(clock::now(), full(3), &request);
    }
    wait_until(|| {
        let now = clock::now();
        // Keeps the capacity short at the sender.
        first
            .traffic()
            .shares
            .admit(now, full(3), &request("large", 3, 0.1));
        let decision = second
            .traffic()
            .shares
            .admit(now, full(3), &request("large", 3, 0.0));
        is_refused(decision)
    })
    .await;
}
