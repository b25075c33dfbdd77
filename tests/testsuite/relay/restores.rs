//! A store that comes back from an older copy of its contents: its revisions go back and are given out again.

use std::sync::Arc;
use std::time::Duration;

use sequoiastream::ops::relay::shared::Shared;
use sequoiastream::util::clock;
use sequoiastream_core::relay::workspaces::KeyAccess;
use sequoiastream_core::relay::workspaces::KeyAgeLimits;
use sequoiastream_core::time::Time;

use super::follow::engines;
use super::follow::start;
use super::follow::start_zone;
use super::follow::version;
use super::instance::options;
use super::store::FakeStore;
use super::wait_until;

/// Number of changes that the copy lacks.
const LOST: u32 = 40;

/// Writes that have no meaning for an instance.
fn write_often(store: &FakeStore, count: u32) {
    (0..count).for_each(|number| store.put("other", &number.to_string()));
}

/// Writes again what the operator and the engine `e1` wrote before.
fn write_again(store: &FakeStore) {
    store.put("config", "5 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 2");
}

/// Guards against an instance that goes on with an old configuration and sends requests to an engine that has left.
/// Sequence: the store returns from a copy; the operator and the engine write again, and change what they wrote. The
/// revisions of these changes are lower than those that the instance knows.
#[actix_web::test]
async fn changes_after_return() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    store.put("engines/e2", "chat 127.0.0.1:9 ready 1");
    let shared = start(options(), &store).await;
    wait_until(|| version(&shared) == 3).await;
    let copy = store.copy();
    write_often(&store, LOST);
    write_again(&store);
    wait_until(|| version(&shared) == 5).await;
    store.restore(&copy).await;
    write_again(&store);
    store.put("engines/e1", "chat 127.0.0.1:9 leaving 3");
    store.put("config", "7 /b/");
    wait_until(|| version(&shared) == 7 && engines(&shared) == ["e2"]).await;
}

/// Guards against the same failure if the store has passed the instance's revision before the instance reaches it: no
/// watch is refused then.
#[actix_web::test]
async fn changes_after_return_overtaken() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    store.put("engines/e2", "chat 127.0.0.1:9 ready 1");
    let shared = start(options(), &store).await;
    wait_until(|| version(&shared) == 3).await;
    let copy = store.copy();
    write_often(&store, LOST);
    write_again(&store);
    wait_until(|| version(&shared) == 5).await;
    store.set_unresponsive(true);
    store.restore(&copy).await;
    write_again(&store);
    store.put("engines/e1", "chat 127.0.0.1:9 leaving 3");
    store.put("config", "7 /b/");
    write_often(&store, 2 * LOST);
    store.set_unresponsive(false);
    wait_until(|| version(&shared) == 7 && engines(&shared) == ["e2"]).await;
}

/// Guards against an instance that missed the return, counts as ahead of all others and draws them back. The listener of
/// a zone learns of the return from the watchers.
#[actix_web::test]
async fn changes_after_return_at_listener() {
    let (served, own) = (FakeStore::new(), FakeStore::new());
    let zone = start_zone(&served, &own, Duration::from_secs(60)).await;
    let copy = served.copy();
    write_often(&served, LOST);
    write_again(&served);
    for (shared, _) in &zone {
        wait_until(|| version(shared) == 5).await;
    }
    served.restore(&copy).await;
    write_again(&served);
    served.put("engines/e2", "chat 127.0.0.1:9 ready 1");
    served.put("engines/e1", "chat 127.0.0.1:9 leaving 3");
    served.put("config", "7 /b/");
    for (shared, _) in &zone {
        wait_until(|| version(shared) == 7 && engines(shared) == ["e2"]).await;
    }
}

/// Whether an instance lets in the holder of this key now.
fn grants(shared: &Arc<Shared>, key: &str) -> bool {
    let ages = shared.ages(clock::now());
    let view = shared.view.load();
    let route = view.table.find("shop.example", "/a/").expect("a route");
    let limits = shared.reloadable().key_limits;
    matches!(
        view.table.grant(&route, Some(key.as_bytes()), ages, limits),
        KeyAccess::Granted(_)
    )
}

/// Guards against the holder of a revoked key being let in. Sequence: the store returns from a copy that the listener of a
/// zone doesn't know of, and a key is revoked. The proofs of the watchers are of a lower revision than the listener
/// knows, and are no proofs of its old contents.
#[actix_web::test]
async fn revoked_key_after_return() {
    let limits = KeyAgeLimits {
        change: Duration::from_secs(3),
        revoke: Some(Duration::from_secs(5)),
    };
    let (served, own) = (FakeStore::new(), FakeStore::new());
    let zone = start_zone(&served, &own, Duration::from_secs(60)).await;
    let copy = served.copy();
    write_often(&served, LOST);
    for (shared, _) in &zone {
        let mut reloadable = (*shared.reloadable()).clone();
        reloadable.key_limits = limits;
        shared.reload(reloadable);
    }
    served.put("config", "5 /a/ k1,k2");
    let [.., (listener, _)] = &zone;
    wait_until(|| grants(listener, "k1") && grants(listener, "k2")).await;
    served.restore(&copy).await;
    served.put("config", "5 /a/ k1,k2");
    served.put("config", "7 /a/ k2");
    let revoked = clock::now();
    let mut admitted: Option<Time> = None;
    while version(listener) != 7 && clock::now().since(revoked) < Duration::from_secs(8) {
        admitted = grants(listener, "k1").then(clock::now).or(admitted);
        tokio::task::yield_now().await;
    }
    let late = admitted.filter(|at| at.since(revoked) > Duration::from_secs(5));
    assert_eq!(late, None, "the revoked key was admitted until then");
    wait_until(|| grants(listener, "k2") && !grants(listener, "k1")).await;
}
