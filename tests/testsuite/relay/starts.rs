//! How instances learn the contents of the store when they start.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream::ops::relay::register;
use sequoiastream::ops::relay::shared::Shared;
use sequoiastream_core::relay::watchers::ApplyLimit;

use super::follow::engines;
use super::follow::start;
use super::follow::start_with_fleet;
use super::follow::start_zone;
use super::follow::version;
use super::instance::options;
use super::store::FakeStore;
use super::wait_until;

/// Guards against every instance of a starting fleet reading the whole store. One that finds more than one page lists
/// its zone and loads the rest from a peer.
#[actix_web::test]
async fn large_store_loaded_from_peer() {
    let (served, own) = (FakeStore::new(), FakeStore::new());
    for store in [&served, &own] {
        store.set_page_size(3);
        for number in 2..9 {
            store.put(&format!("engines/e{number}"), "chat 127.0.0.1:9 ready 1");
        }
    }
    let [_, _, (listener, _)] = start_zone(&served, &own, Duration::from_secs(60)).await;
    let known: Vec<String> = (1..9).map(|number| format!("e{number}")).collect();
    wait_until(|| engines(&listener) == known).await;
    assert_eq!(
        own.calls().ranges,
        2,
        "one page and the list of the zone's instances"
    );
}

/// Guards against an instance waiting forever for a peer to send a large store. Without peers it reads the store
/// itself.
#[actix_web::test]
async fn large_store_read_without_peers() {
    let store = FakeStore::new();
    store.set_page_size(3);
    store.put("config", "3 /a/");
    for number in 1..9 {
        store.put(&format!("engines/e{number}"), "chat 127.0.0.1:9 ready 1");
    }
    let shared = start(options(), &store).await;
    wait_until(|| version(&shared) == 3 && engines(&shared).len() == 8).await;
}

/// Starts an instance that reads a store with eight engines and the configuration 3, on two pages.
async fn start_with_pages(store: &FakeStore) -> Arc<Shared> {
    store.set_page_size(5);
    store.put("config", "3 /a/");
    for number in 1..9 {
        store.put(&format!("engines/e{number}"), "chat 127.0.0.1:9 ready 1");
    }
    start(options(), store).await
}

/// Guards against an instance that never finishes reading a large store that refuses many calls, because it begins
/// again after each refused one.
#[actix_web::test]
async fn large_store_read_despite_refusals() {
    let store = FakeStore::new();
    store.set_refuse_alternate(true);
    let shared = start_with_pages(&store).await;
    wait_until(|| version(&shared) == 3 && engines(&shared).len() == 8).await;
}

/// Guards against an instance that took long to read the store and begins with an old configuration, or with engines
/// that have left since it read their entries.
#[actix_web::test]
async fn large_store_read_slowly() {
    let store = FakeStore::new();
    store.set_refuse_watches(true);
    let shared = start_with_pages(&store).await;
    wait_until(|| store.calls().ranges > 0).await;
    store.set_refuse_ranges(true);
    store.put("config", "4 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 leaving 2");
    // By the sixth call, the instance has paused for more than half a second.
    wait_until(|| store.calls().ranges > 6).await;
    store.set_refuse_ranges(false);
    wait_until(|| store.calls().watches >= 2).await;
    assert_eq!(
        version(&shared),
        0,
        "the changes since the first page are not known"
    );
    store.set_refuse_watches(false);
    wait_until(|| version(&shared) > 0).await;
    assert_eq!((version(&shared), engines(&shared).len()), (4, 7));
}

/// Guards against instances staying unknown to each other when hundreds of them register at once.
#[actix_web::test]
async fn zone_listed_after_many_changes() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    let record = r#"{"zone":"a","front":"127.0.0.1:1","peer":"127.0.0.1:1"}"#;
    for name in ["a1", "a2", "a3"] {
        store.put(&format!("own/a/{name}"), record);
    }
    let mut options = options();
    options.reloadable.apply_limit = ApplyLimit(Duration::from_secs(60));
    let (shared, fleet) = start_with_fleet(options, &store).await;
    wait_until(|| version(&shared) == 3 && !fleet.watch_rank().is_watcher()).await;
    for number in 0..70 {
        store.put(&format!("engines/e{number}"), "chat 127.0.0.1:9 ready 1");
    }
    store.put("own/a/a4", record);
    let _registration = register::start(shared, Rc::new(store.clone()), fleet.clone());
    wait_until(|| fleet.listed_zones().keys().any(|name| name.as_str() == "a4")).await;
}

/// Guards against the store being called by all instances of a starting fleet, while every registration ends every
/// watch. An instance that has just started leaves watching to those that the store lists, and watches itself if it
/// hears none of them.
#[actix_web::test]
async fn start_leaves_watching_to_listed() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    for number in 10..30 {
        let record = r#"{"zone":"a","front":"127.0.0.1:1","peer":"127.0.0.1:1"}"#;
        store.put(&format!("own/a{number}"), record);
    }
    let (shared, fleet) = start_with_fleet(options(), &store).await;
    wait_until(|| version(&shared) == 3).await;
    assert!(!fleet.watch_rank().is_watcher(), "{:?}", fleet.watch_rank());
    store.put("config", "5 /a/");
    wait_until(|| version(&shared) == 5).await;
}
