//! Versions that served and of which an instance has not heard, although the store confirms what it knows.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream::ops::relay::confirm;
use sequoiastream::ops::relay::peers::Fleet;
use sequoiastream::ops::relay::shared::Shared;
use sequoiastream::ops::relay::version_record;
use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::routes::CallerLimits;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::streams::SoftwareVersion;
use sequoiastream_core::relay::version_history::VersionRecord;
use sequoiastream_kv::store::Store;
use tokio::sync::Notify;

use crate::relay::engine::Action;
use crate::relay::engine::ScriptedEngine;
use crate::relay::follow::engines;
use crate::relay::follow::start_with_fleet;
use crate::relay::follow::start_zone;
use crate::relay::instance::Instance;
use crate::relay::instance::options;
use crate::relay::instance::route;
use crate::relay::instance::status;
use crate::relay::store::FakeStore;
use crate::relay::store::WriteOutcome;
use crate::relay::versions::Engines;
use crate::relay::versions::list;
use crate::relay::versions::stream;
use crate::relay::versions::take_up;
use crate::relay::versions::versioned_engine;
use crate::relay::versions::versions;
use crate::relay::wait_until;

/// The entry of an engine of another version.
const OTHER_VERSION: &str = "chat 127.0.0.1:9 ready 1 v2";

/// The record that only `v1` has served.
fn record() -> String {
    let versions = BTreeSet::from([SoftwareVersion::of("v1")]);
    let services = [("chat".to_string(), versions)].into();
    serde_json::to_string(&VersionRecord { services }).expect("a record")
}

fn only_version(shared: &Shared) -> Option<SoftwareVersion> {
    shared.traffic().history.only_version(clock::now(), "chat")
}

/// An instance that follows a store, which confirms to it what it knows.
struct FollowingInstance {
    instance: Instance,
    /// The address of an engine of `v1`.
    engine: SocketAddr,
}

impl FollowingInstance {
    /// Has an instance serve callers that follows a store, once it knows that `v1` is the only version.
    async fn serve(shared: &Arc<Shared>, fleet: &Fleet, store: &FakeStore) -> FollowingInstance {
        wait_until(|| only_version(shared).is_some()).await;
        let known = fleet.known().clone();
        let store: Rc<dyn Store> = Rc::new(store.clone());
        confirm::start(shared, &store, known);
        let route = route(RouteKind::Resumable, "/r/");
        let limits = CallerLimits {
            max_body: 1 << 20,
            ..CallerLimits::default()
        };
        shared.publish(|view| view.table = Arc::new(RoutingTable::new(9, limits, vec![route], Vec::new())));
        FollowingInstance {
            instance: Instance::serve(shared.clone()),
            engine: versioned_engine("v1").await.address(),
        }
    }

    /// The entry of an engine of `v1`.
    fn entry(&self) -> String {
        format!("chat {} ready 1", self.engine)
    }

    async fn wait_for_engines(&self, expected: &[&str]) {
        wait_until(|| engines(&self.instance.shared) == expected).await;
    }

    async fn assert_goes_on(&self) {
        let got = take_up(&self.instance, "r0", "first").await;
        assert_eq!(versions(&got), BTreeSet::from(["v1"]), "{got}");
    }

    async fn assert_refused(&self) {
        let got = take_up(&self.instance, "r1", "second").await;
        assert_eq!(status(&got), "503", "{got}");
    }
}

/// Starts an instance that knows that only `v1` has served.
async fn start_certain(store: &FakeStore) -> FollowingInstance {
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    store.put("versions", &record());
    let (shared, fleet) = start_with_fleet(options(), store).await;
    let following = FollowingInstance::serve(&shared, &fleet, store).await;
    store.remove("engines/e1");
    store.put("engines/e3", &following.entry());
    following.wait_for_engines(&["e3"]).await;
    following.assert_goes_on().await;
    following
}

/// Guards against a stream that goes on at another version than the one that began it. Sequence: an engine of another version
/// registers and leaves, while the store refuses a few writes of the record of versions; an instance learns of both at once from
/// a peer, which sends the removal only.
#[actix_web::test]
async fn engine_came_and_went_at_peer() {
    let (served, own) = (FakeStore::new(), FakeStore::new());
    for store in [&served, &own] {
        store.put("versions", &record());
    }
    let [a, b, (listener, fleet)] = start_zone(&served, &own, Duration::from_secs(60)).await;
    for (shared, fleet) in [&a, &b] {
        let store: Rc<dyn Store> = Rc::new(served.clone());
        actix_web::rt::spawn(version_record::run(shared.clone(), store, fleet.clone()));
    }
    let following = FollowingInstance::serve(&listener, &fleet, &served).await;
    served.remove("engines/e1");
    served.put("engines/e3", &following.entry());
    following.wait_for_engines(&["e3"]).await;
    following.assert_goes_on().await;
    (0..3).for_each(|_| served.set_next_write(WriteOutcome::Refused));
    served.put("engines/e2", OTHER_VERSION);
    served.remove("engines/e2");
    served.put("engines/e4", &following.entry());
    following.wait_for_engines(&["e3", "e4"]).await;
    following.assert_refused().await;
}

/// Guards against a stream that goes on at another version than the one that began it. Sequence: an engine of another version
/// registers and leaves while an instance is cut off, and the store has dropped these changes when the instance reads it again.
#[actix_web::test]
async fn engine_came_and_went_in_dropped_history() {
    let store = FakeStore::new();
    let following = start_certain(&store).await;
    store.set_unresponsive(true);
    store.put("engines/e2", OTHER_VERSION);
    store.remove("engines/e2");
    store.put("engines/e4", &following.entry());
    store.cut_watches().await;
    following.wait_for_engines(&["e3", "e4"]).await;
    following.assert_refused().await;
}

/// Guards against a stream that goes on at another version than the one that began it. Sequence: an engine of another version
/// registers while an instance is cut off; the store returns from a copy that lacks its entry, and confirms what is known.
#[actix_web::test]
async fn engine_missing_from_copy() {
    let store = FakeStore::new();
    let following = start_certain(&store).await;
    let copy = store.copy();
    store.set_unresponsive(true);
    store.put("engines/e2", OTHER_VERSION);
    store.restore(&copy).await;
    store.set_unresponsive(false);
    store.put("engines/e4", &following.entry());
    following.wait_for_engines(&["e3", "e4"]).await;
    following.assert_refused().await;
}

/// Guards against a stream that goes on at the only version of the service that its route leads to now, although it began at
/// the service that the route led to before.
#[actix_web::test]
async fn route_moved() {
    let (engines, others) = (Engines::start(&["v1"]).await, Engines::start(&["v2"]).await);
    let instance = engines.instance("one", 1);
    let (chat, mut talk) = (engines.listed(), others.listed());
    talk[0].key = EngineKey(7);
    talk[0].entry.id = "e7".to_string();
    talk[0].entry.service = "talk".to_string();
    instance.shared.publish(|view| {
        view.set_engines([("chat".to_string(), chat), ("talk".to_string(), talk)].into());
    });
    let got = take_up(&instance, "r0", "first").await;
    assert_eq!(versions(&got), BTreeSet::from(["v1"]), "{got}");
    let mut moved = route(RouteKind::Resumable, "/r/");
    moved.max_attempts = 1;
    moved.targets[0].service = "talk".to_string();
    instance.shared.publish(|view| {
        let limits = CallerLimits::default();
        view.table = Arc::new(RoutingTable::new(4, limits, vec![moved], Vec::new()));
    });
    let got = take_up(&instance, "r1", "second").await;
    assert_eq!(status(&got), "503", "{got}");
}

/// Guards against a stream that goes on at another version than the one that began it: the engine that continues it started
/// again under its id with another version after it was chosen.
#[actix_web::test]
async fn continue_reborn() {
    let notify = Rc::new(Notify::new());
    let held = notify.clone();
    let reborn = ScriptedEngine::start(move |_, request| {
        let last = "0\r\n\r\n";
        vec![
            Action::Await(held.clone()),
            Action::Send(stream(request, "v2", 2) + last),
        ]
    });
    let engines = Engines(vec![(reborn.await, "v1")]);
    let instance = engines.instance("one", 1);
    let restart = async {
        engines.0[0].0.wait_for(|log| log.requests.len() == 1).await;
        let mut listed = Engines(vec![(engines.0[0].0.clone(), "v2")]).listed();
        let entry = Entry {
            started: Some(2),
            ..listed[0].entry.clone()
        };
        listed[0] = Engine::new(EngineKey(7), entry);
        list(&instance.shared, listed);
        notify.notify_one();
    };
    let (got, ()) = futures_util::join!(take_up(&instance, "r0", "q0"), restart);
    assert_eq!(versions(&got), BTreeSet::new(), "{got}");
}
