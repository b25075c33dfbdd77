//! Keys of callers: what is forwarded to the engine, and which requests are refused.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::workspaces::KeyAgeLimits;
use sequoiastream_core::relay::workspaces::KeyDigest;
use sequoiastream_core::relay::workspaces::Workspace;
use sequoiastream_core::relay::workspaces::Workspaces;

use super::engine::ScriptedEngine;
use super::engine::answer;
use super::instance::Instance;
use super::instance::status;

async fn echo() -> ScriptedEngine {
    ScriptedEngine::start(|_, request| vec![answer(request, "done")]).await
}

/// An instance that requires keys, see [`require_keys`].
fn instance_with_keys(engine: &ScriptedEngine, public: bool) -> Instance {
    let instance = Instance::start(RouteKind::Once, &[(engine, Stage::Whole)], |route| {
        route.public = public
    });
    require_keys(&instance);
    instance
}

/// Makes an instance require keys of its callers: `k1` belongs to the workspace `huka`. The known keys are proven to be
/// current.
pub(super) fn require_keys(instance: &Instance) {
    let workspace = Workspace {
        name: "huka".to_string(),
        priority: Some(2),
        keys: vec![KeyDigest::of(b"k1")],
    };
    let workspaces = Workspaces::new(vec![workspace]).expect("unambiguous keys");
    let mut reloadable = (*instance.shared.reloadable()).clone();
    reloadable.key_limits = KeyAgeLimits {
        change: Duration::from_secs(3),
        revoke: Some(Duration::from_secs(5)),
    };
    instance.shared.reload(reloadable);
    instance.shared.publish(|view| {
        let table = RoutingTable::clone(&view.table);
        view.table = Arc::new(table.with_workspaces(Some(workspaces)));
    });
    instance.shared.on_store_answer(clock::now());
    instance.shared.on_proof(clock::now());
}

/// Guards against an engine that learns a caller's key, or that trusts a workspace header sent by the caller.
#[actix_web::test]
async fn forward_workspace_not_key() {
    let engine = echo().await;
    let instance = instance_with_keys(&engine, false);
    let got = instance
        .get("/r/", "q", "x-key: k1\r\nx-workspace: other\r\n")
        .await;
    assert_eq!(status(&got), "200");
    let seen = engine.log().requests[0].clone();
    assert_eq!(
        [seen.header("x-key"), seen.header("x-workspace")],
        [None, Some("huka")]
    );
    assert_eq!(seen.head.matches("x-workspace").count(), 1);
}

#[actix_web::test]
async fn forward_public_without_key() {
    let engine = echo().await;
    let instance = instance_with_keys(&engine, true);
    let got = instance
        .get("/r/", "q", "x-key: k9\r\nx-workspace: huka\r\n")
        .await;
    assert_eq!(status(&got), "200");
    let seen = engine.log().requests[0].clone();
    assert_eq!([seen.header("x-key"), seen.header("x-workspace")], [None, None]);
}

#[actix_web::test]
async fn refuse_unknown_key() {
    let engine = echo().await;
    let instance = instance_with_keys(&engine, false);
    for more in ["", "x-key: k9\r\n", "x-key: \r\n"] {
        let got = instance.get("/r/", "q", more).await;
        assert_eq!(status(&got), "401", "{more}");
        assert!(!got.contains("retry-after"), "{got}");
    }
    let twice = instance.get("/r/", "q", "x-key: k1\r\nx-key: k9\r\n").await;
    assert_eq!(status(&twice), "400", "{twice}");
    assert!(engine.log().requests.is_empty());
}

/// Guards against a revoked key that still works on an instance that was paused or disconnected. If the last proof that
/// its keys are current is older than allowed, an instance refuses every request, with a known key or not, and reports
/// that it is not ready.
#[actix_web::test]
async fn refuse_without_proof() {
    let engine = echo().await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    let known = instance_with_keys(&engine, false);
    let table = known.shared.view.load().table.clone();
    instance.shared.reload((*known.shared.reloadable()).clone());
    instance.shared.publish(|view| view.table = table);
    instance.shared.on_store_answer(clock::now());
    for key in ["k1", "k9"] {
        let got = instance.get("/r/", "q", &format!("x-key: {key}\r\n")).await;
        assert_eq!(status(&got), "503", "{key}");
        assert!(got.contains("retry-after: 0.1"), "{got}");
    }
    assert!(!instance.shared.is_ready());
    assert!(known.shared.is_ready());
    assert!(engine.log().requests.is_empty());
}

/// Guards against keys that appear in the log or in the metrics.
#[test]
fn digest_in_log() {
    let key = HeaderValue::from_static("secret-key");
    assert!(
        !format!(
            "{} {:?}",
            KeyDigest::of(key.as_bytes()),
            KeyDigest::of(key.as_bytes())
        )
        .contains("secret")
    );
}
