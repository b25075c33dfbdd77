//! Engines that leave while an instance has lost its way to the store, or its watch is silent.

use std::sync::Arc;
use std::time::Duration;

use sequoiastream::ops::relay::options::Options;
use sequoiastream::ops::relay::shared::Shared;
use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::REREGISTRATION_GRACE;
use sequoiastream_core::relay::watchers::ApplyLimit;

use super::follow::engines;
use super::follow::start;
use super::follow::start_with_fleet;
use super::follow::version;
use super::instance::options;
use super::store::FakeStore;
use super::wait_until;

/// Guards against a request reaching an engine more than two seconds after the store has reported that it left.
/// Sequence: watches hear nothing for a second, an engine's entry is removed meanwhile, the history is dropped and the
/// watches are cut. Cause: the cut watch is taken for an outage in which the entry expired, and the engine is kept.
#[actix_web::test]
async fn leaving_while_watches_cut() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    let mut options = options();
    options.reloadable.apply_limit = ApplyLimit(Duration::from_secs(2));
    options.reloadable.heartbeat = Duration::from_millis(1_200);
    let shared = start(options, &store).await;
    wait_until(|| version(&shared) == 3 && engines(&shared) == ["e1"]).await;
    store.set_unresponsive(true);
    store.remove("engines/e1");
    let removed_at = clock::now();
    let silence = Duration::from_secs(1);
    wait_until(|| clock::now().since(removed_at) >= silence).await;
    store.cut_watches().await;
    wait_until(|| engines(&shared).is_empty()).await;
    let kept = clock::now().since(removed_at);
    assert!(kept < Duration::from_secs(2), "{kept:?}");
}

/// Starts two instances that both watch the store, each its own, and hear each other. The first one reports load, and so
/// the store revision that it knows, forty times a second.
async fn start_watchers(served: &FakeStore, own: &FakeStore, heartbeat: Duration) -> [Arc<Shared>; 2] {
    let [one, two] = ["one", "two"].map(|name| {
        let mut options = options();
        options.name = name.parse().expect("a name");
        options.reloadable.apply_limit = ApplyLimit(Duration::from_secs(2));
        options.reloadable.heartbeat = heartbeat;
        options
    });
    for store in [served, own] {
        store.put("config", "3 /a/");
        store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
        for Options {
            name, front, peer, ..
        } in [&one, &two]
        {
            let record = format!(r#"{{"zone":"a","front":"{front}","peer":"{peer}"}}"#);
            store.put(&format!("own/a/{name}"), &record);
        }
    }
    let (first, _) = start_with_fleet(one, served).await;
    let (second, fleet) = start_with_fleet(two, own).await;
    wait_until(|| [&first, &second].iter().all(|shared| engines(shared) == ["e1"])).await;
    wait_until(|| fleet.watch_rank().members == 2).await;
    assert!(fleet.watch_rank().is_watcher());
    first
        .traffic()
        .load
        .begin(clock::now(), EngineKey(0), Duration::ZERO);
    [first, second]
}

/// Guards against a request reaching an engine that has left because a watch is silent on a connection that looks alive:
/// the instance waits for the end of its watch, although its peers report a later revision of the store.
#[actix_web::test]
async fn silent_watch_asks_peer() {
    let (served, own) = (FakeStore::new(), FakeStore::new());
    let [_first, second] = start_watchers(&served, &own, Duration::from_millis(1_200)).await;
    own.set_unresponsive(true);
    served.put("engines/e1", "chat 127.0.0.1:9 leaving 2");
    served.put("config", "5 /a/");
    wait_until(|| version(&second) == 5).await;
    assert_eq!(engines(&second), Vec::<String>::new());
}

/// Guards against an engine whose entry is missing being kept for seconds beyond its grace period, because each message of a
/// peer that is ahead starts the wait for the next check anew.
#[actix_web::test]
async fn missing_dropped_while_peers_ahead() {
    let (served, own) = (FakeStore::new(), FakeStore::new());
    let [first, second] = start_watchers(&served, &own, Duration::from_millis(100)).await;
    own.set_down(true);
    served.set_down(true);
    for shared in [&first, &second] {
        wait_until(|| shared.store_age(clock::now()) > Duration::from_millis(2_500)).await;
    }
    own.remove("engines/e1");
    own.put("config", "5 /a/");
    own.set_down(false);
    wait_until(|| version(&second) == 5).await;
    let restored_at = clock::now();
    assert_eq!(engines(&second), ["e1"], "it is kept at first");
    own.set_unresponsive(true);
    served.set_down(false);
    let limit = REREGISTRATION_GRACE + Duration::from_secs(1);
    let mut change = 6;
    while !engines(&second).is_empty() {
        assert!(clock::now().since(restored_at) < limit, "it is dropped in time");
        served.put("config", &format!("{change} /a/"));
        change += 1;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
