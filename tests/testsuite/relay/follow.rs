//! Keeping up with the store, through its own answers and through peers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream::ops::relay::follow;
use sequoiastream::ops::relay::known::Known;
use sequoiastream::ops::relay::options::Options;
use sequoiastream::ops::relay::orders;
use sequoiastream::ops::relay::peers;
use sequoiastream::ops::relay::register;
use sequoiastream::ops::relay::shared::Shared;

use super::instance::options;
use super::instance::shared;
use super::store::FakeStore;
use super::until;

async fn start(options: Options, store: &FakeStore) -> Arc<Shared> {
    let shared = shared(options);
    let sockets = peers::Sockets::bind(&shared)
        .await
        .expect("an address of its own");
    let known = Known::new();
    let fleet = peers::start(shared.clone(), sockets, known.clone());
    actix_web::rt::spawn(follow::run(shared.clone(), Rc::new(store.clone()), fleet, known));
    shared
}

fn engines(shared: &Shared) -> Vec<String> {
    let view = shared.view.load();
    let ids = view.engines().values().flatten().map(|e| e.entry.id.clone());
    ids.collect()
}

fn version(shared: &Shared) -> u64 {
    shared.view.load().table.version
}

#[actix_web::test]
async fn changes_in_force() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    let shared = start(options(), &store).await;
    until(|| version(&shared) == 3 && engines(&shared) == ["e1"]).await;
    store.put("engines/e2", "chat 127.0.0.1:9 ready 1");
    store.put("config", "7 /b/");
    until(|| version(&shared) == 7 && engines(&shared) == ["e1", "e2"]).await;
    assert!(shared.view.load().table.find("shop.example", "/b/").is_some());
    store.put("engines/e1", "chat 127.0.0.1:9 leaving 2");
    store.remove("engines/e2");
    until(|| engines(&shared).is_empty()).await;
}

/// The store turns away a fleet that starts. Order: 140 engines register within seconds, each ends the watch of each of
/// 84 instances. The instances together begin no more than some hundred watches a second; few instances need not wait.
#[test]
fn rest_by_fleet() {
    let millis = [0, 1, 8, 84, 350, 1_000_000].map(|instances| follow::rest(instances).as_millis());
    assert_eq!(millis, [0, 5, 40, 420, 500, 500]);
}

/// An engine leaves while nobody hears of it. Order: watches are cut and the history is dropped; the engine's leaving is
/// in what was dropped. Cause: a watch goes on from now instead of reading everything.
#[actix_web::test]
async fn history_dropped() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    let shared = start(options(), &store).await;
    until(|| engines(&shared) == ["e1"]).await;
    store.set_down(true);
    store.remove("engines/e1");
    store.put("config", "9 /a/");
    store.compact();
    store.set_down(false);
    until(|| engines(&shared).is_empty() && version(&shared) == 9).await;
}

/// A configuration is taken back. Order: an older version is written over a newer one. Versions never go back.
#[actix_web::test]
async fn version_never_back() {
    let store = FakeStore::new();
    store.put("config", "9 /new/");
    let shared = start(options(), &store).await;
    until(|| version(&shared) == 9).await;
    store.put("config", "4 /old/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    until(|| engines(&shared) == ["e1"]).await;
    assert_eq!(version(&shared), 9);
}

/// One entry that nobody can read stops all others, or the configuration in force is lost.
#[actix_web::test]
async fn unreadable_passed_over() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put("engines/e0", "not an engine");
    store.put("engines/e1", "chat nowhere ready 1");
    store.put("engines/e2", "chat 127.0.0.1:9 ready 1");
    store.put("own/two", "{\"zone\": 5}");
    store.put("orders/e2", "not an order");
    let shared = start(options(), &store).await;
    until(|| engines(&shared) == ["e2"]).await;
    store.put("config", "no version");
    store.put("engines/e3", "chat 127.0.0.1:9 ready 1");
    until(|| engines(&shared) == ["e2", "e3"]).await;
    assert_eq!(version(&shared), 3);
    assert!(
        shared.view.load().ordered.engines().contains_key("e2"),
        "an order that can't be read was given"
    );
}

/// Work goes to an engine that has left, at one instance only. Order: the store turns that instance away and serves the
/// others. It learns from a peer what it can't ask.
#[actix_web::test]
async fn turned_away_asks_peer() {
    let (served, silent) = (FakeStore::new(), FakeStore::new());
    silent.set_down(true);
    let near = options();
    let mut far = options();
    far.name = "two".parse().expect("a name");
    served.put("config", "3 /a/");
    served.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    let card = |options: &Options| {
        format!(
            r#"{{"zone":"a","front":"{}","peer":"{}"}}"#,
            options.front, options.peer
        )
    };
    served.put("own/one", &card(&near));
    served.put("own/two", &card(&far));
    let first = start(near, &served).await;
    let second = start(far, &silent).await;
    until(|| version(&first) == 3).await;
    until(|| version(&second) == 3 && engines(&second) == ["e1"]).await;
    served.put("engines/e1", "chat 127.0.0.1:9 leaving 2");
    served.put("config", "8 /a/");
    until(|| version(&second) == 8 && engines(&second).is_empty()).await;
}

/// Records of orders pile up in the store for as long as the deployment lives. Order: the engine of one is gone for good, that
/// of another is there.
#[actix_web::test]
async fn record_of_gone_engine_removed() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    for id in ["e1", "gone"] {
        store.put(&format!("orders/{id}"), r#"{"holder":"one/1","reader":true}"#);
    }
    let mut options = options();
    options.tuning.forget = Duration::from_millis(100);
    let shared = start(options, &store).await;
    actix_web::rt::spawn(orders::run(shared.clone(), Rc::new(store.clone())));
    let recorded = || -> Vec<String> { shared.view.load().ordered.engines().keys().cloned().collect() };
    until(|| recorded() == ["e1", "gone"]).await;
    until(|| recorded() == ["e1"]).await;
    assert!(store.has("orders/e1") && !store.has("orders/gone"));
}

/// Callers are sent to instances that they can't reach, or to none. Two instances find each other by the store and name
/// each other while they hear each other.
#[actix_web::test]
async fn instances_named() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    let near = options();
    let mut far = options();
    far.name = "two".parse().expect("a name");
    let mut both = vec![near.front, far.front];
    both.sort();
    let first = start(near, &store).await;
    let second = start(far, &store).await;
    let registrations = [&first, &second].map(|s| register::start(s.clone(), Rc::new(store.clone())));
    for shared in [&first, &second] {
        until(|| shared.view.load().addresses == both).await;
    }
    assert!(store.has("own/one") && store.has("own/two"));
    for registration in registrations {
        registration.end().await;
    }
}
