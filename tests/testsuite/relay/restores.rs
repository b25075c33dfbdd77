//! A store that comes back from an older copy of its contents: its revisions go back and are given out again.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream::ops::relay::edge::Translate;
use sequoiastream::ops::relay::known::StoreReplica;
use sequoiastream::ops::relay::lead;
use sequoiastream::ops::relay::orders::OrderRecords;
use sequoiastream::ops::relay::register;
use sequoiastream::ops::relay::shared::Restoration;
use sequoiastream::ops::relay::shared::Shared;
use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::EngineUpdate;
use sequoiastream_core::relay::engines::Engines;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::REREGISTRATION_GRACE;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::workspaces::KeyAccess;
use sequoiastream_core::relay::workspaces::KeyAgeLimits;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Item;

use super::follow::engines;
use super::follow::start;
use super::follow::start_with_fleet;
use super::follow::start_zone;
use super::follow::version;
use super::instance::TestDialect;
use super::instance::options;
use super::instance::shared;
use super::rev;
use super::store::Copy;
use super::store::FakeStore;
use super::store::WriteOutcome;
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

/// Starts an instance with two engines that knows more than the copy of the store that is returned with it.
async fn start_beyond_copy(store: &FakeStore) -> (Arc<Shared>, Copy) {
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    store.put("engines/e2", "chat 127.0.0.1:9 ready 1");
    let shared = start(options(), store).await;
    wait_until(|| version(&shared) == 3).await;
    let copy = store.copy();
    write_often(store, LOST);
    write_again(store);
    wait_until(|| version(&shared) == 5).await;
    (shared, copy)
}

/// Guards against an instance that goes on with an old configuration and sends requests to an engine that has left.
/// Sequence: the store returns from a copy; the operator and the engine write again, and change what they wrote. The
/// revisions of these changes are lower than those that the instance knows.
#[actix_web::test]
async fn changes_after_return() {
    let store = FakeStore::new();
    let (shared, copy) = start_beyond_copy(&store).await;
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
    let (shared, copy) = start_beyond_copy(&store).await;
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

/// A revision of the store after its return.
fn later(number: u64) -> Revision {
    Revision::new(1, number)
}

fn numbered(sequence: u64, leaving: bool, created: Revision) -> Entry {
    Entry {
        sequence,
        leaving,
        create_revision: created,
        ..super::entry("e", Stage::Whole)
    }
}

fn count(engines: &Engines) -> usize {
    engines.available().values().flatten().count()
}

/// Guards against requests at an engine that has left, because the copy shows it as ready, and against forgetting the load of
/// an engine because its entry was written again.
#[test]
fn engine_of_copy() {
    let mut engines = Engines::new();
    engines.on_update(
        Time::ZERO,
        EngineUpdate::Entry(rev(20), numbered(4, false, rev(9))),
    );
    let key = engines.available()["chat"][0].key;
    engines.on_snapshot(
        Time::ZERO,
        later(12),
        vec![(later(10), numbered(3, false, later(9)))],
    );
    assert_eq!(count(&engines), 1);
    engines.on_update(
        Time::ZERO,
        EngineUpdate::Entry(later(13), numbered(5, false, later(13))),
    );
    assert_eq!(engines.available()["chat"][0].key, key);
    engines.on_update(
        Time::ZERO,
        EngineUpdate::Entry(later(14), numbered(6, true, later(13))),
    );
    engines.on_snapshot(
        Time::ZERO,
        Revision::new(2, 13),
        vec![(Revision::new(2, 13), numbered(5, false, Revision::new(2, 13)))],
    );
    assert_eq!(count(&engines), 0, "it announced that it leaves");
}

/// Guards against refusing all requests because the copy is older than the engines.
#[test]
fn engine_not_in_copy() {
    let mut engines = Engines::new();
    engines.on_update(
        Time::ZERO,
        EngineUpdate::Entry(rev(20), numbered(1, false, rev(20))),
    );
    engines.on_outage_end(Time::ZERO);
    engines.on_snapshot(Time::ZERO, later(5), Vec::new());
    assert_eq!(count(&engines), 1);
    engines.on_tick(Time::ZERO + REREGISTRATION_GRACE);
    assert_eq!(count(&engines), 0, "it has not written again");
}

/// Guards against a second order for an engine whose first one the store has lost the record of.
#[test]
fn order_record_lost() {
    let translate = TestDialect::new();
    let mut records = OrderRecords::default();
    let record = |revision| Item {
        key: "orders/e1".to_string(),
        value: Bytes::from_static(br#"{"holder":"one/1","reader":true}"#),
        revision,
        created: revision,
    };
    records.on_item(Time::ZERO, &translate, &record(rev(20)));
    records.on_snapshot(Time::ZERO, &translate, later(5), &[]);
    assert!(!records.on_removed(&translate, "orders/e1", later(5)));
    assert_eq!(records.stages().len(), 1);
    records.on_item(Time::ZERO, &translate, &record(later(9)));
    assert!(records.on_removed(&translate, "orders/e1", later(10)));
    assert!(records.stages().is_empty());
}

fn item(key: &str, revision: Revision, value: &str) -> Item {
    Item {
        key: format!("engines/{key}"),
        value: Bytes::from(value.to_string()),
        revision,
        created: revision,
    }
}

/// Guards against every instance of a large fleet loading the whole store after its return, and against a peer that gets only
/// a part because it knew changes that the one that tells it never saw.
#[test]
fn tell_peers_after_return() {
    let keys = TestDialect::new().keys().clone();
    let now = Time::from_millis(60_000);
    let replica = StoreReplica::new();
    let before = [
        item("kept", rev(3), "a"),
        item("lost", rev(7), "b"),
        item("moved", rev(8), "c"),
    ];
    replica.on_snapshot(&keys, rev(10), &before);
    replica.on_store_answer(now, now, Duration::ZERO, rev(10));
    let after = [item("kept", later(3), "a"), item("moved", later(6), "d")];
    replica.on_snapshot(&keys, later(6), &after);
    replica.on_store_answer(now, now, Duration::ZERO, later(6));
    let changes = replica
        .changes_since(now, rev(10))
        .expect("the peer knew no more");
    let items: Vec<&str> = changes.items.iter().map(|item| item.key.as_str()).collect();
    assert_eq!((changes.revision, items), (later(6), vec!["engines/moved"]));
    assert_eq!(changes.removed, [(later(6), "engines/lost".to_string())]);
    assert_eq!(replica.changes_since(now, rev(11)), None, "the peer knew more");
    assert_eq!(
        replica.changes_since(now, rev(9)),
        None,
        "older removals are not kept"
    );
}

/// Guards against fencing tokens that go back, and against a call that names a lease of before: its number may be another
/// instance's by now.
#[actix_web::test]
async fn leader_after_return() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    let copy = store.copy();
    write_often(&store, LOST);
    let shared = shared(options());
    let table = TestDialect::new().config(b"3 /a/").expect("a configuration");
    shared.publish(|view| view.table = Arc::new(table));
    let lease = Duration::from_millis(300);
    let leadership = lead::start(shared.clone(), Rc::new(store.clone()), lease);
    let fence = || leadership.fence(clock::now());
    wait_until(|| fence().is_some()).await;
    let first = fence().expect("it leads");
    store.restore(&copy).await;
    let restoration = Restoration {
        epoch: 1,
        noticed: clock::now(),
    };
    shared.publish(|view| view.restored = Some(restoration));
    wait_until(|| fence().is_some_and(|fence| fence != first)).await;
    let second = fence().expect("it leads again");
    assert!(second > first, "{first}, {second}");
}

/// Guards against an instance that its peers don't find, because a write of an earlier process with its name, at another
/// address, arrives at the store after its own.
#[actix_web::test]
async fn registration_of_earlier_process_late() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    let (earlier, fleet) = start_with_fleet(options(), &store).await;
    store.set_next_write(WriteOutcome::Delayed);
    let registration = register::start(earlier, Rc::new(store.clone()), fleet);
    wait_until(|| store.calls().writes == 1).await;
    registration.end().await;
    let (shared, fleet) = start_with_fleet(options(), &store).await;
    let own = format!("\"front\":\"{}\"", shared.options.front);
    let _registration = register::start(shared, Rc::new(store.clone()), fleet);
    let is_listed = || store.value("own/a/one").is_some_and(|value| value.contains(&own));
    wait_until(is_listed).await;
    store.deliver_delayed();
    assert!(is_listed(), "{:?}", store.value("own/a/one"));
}

/// Guards against an instance that never registers, because its replica of the store lacks the key of an earlier process.
#[actix_web::test]
async fn registration_beside_unknown_key() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    let (shared, fleet) = start_with_fleet(options(), &store).await;
    wait_until(|| fleet.known().revision() > Revision::ZERO).await;
    store.set_unresponsive(true);
    store.put(
        "own/a/one",
        r#"{"zone":"a","front":"127.0.0.1:1","peer":"127.0.0.1:2"}"#,
    );
    let own = format!("\"front\":\"{}\"", shared.options.front);
    let _registration = register::start(shared, Rc::new(store.clone()), fleet);
    wait_until(|| store.calls().writes >= 1).await;
    store.set_unresponsive(false);
    wait_until(|| store.value("own/a/one").is_some_and(|value| value.contains(&own))).await;
}

/// Guards against an instance that its peers don't find, because the store has lost its key or has one of an earlier process.
#[actix_web::test]
async fn registration_after_return() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    let empty = store.copy();
    store.put(
        "own/a/one",
        r#"{"zone":"a","front":"127.0.0.1:1","peer":"127.0.0.1:2"}"#,
    );
    let earlier = store.copy();
    let (shared, fleet) = start_with_fleet(options(), &store).await;
    let own = format!("\"front\":\"{}\"", shared.options.front);
    let registration = register::start(shared.clone(), Rc::new(store.clone()), fleet);
    let is_listed = || store.value("own/a/one").is_some_and(|value| value.contains(&own));
    for copy in [None, Some(&empty), Some(&earlier)] {
        if let Some(copy) = copy {
            store.restore(copy).await;
        }
        wait_until(is_listed).await;
    }
    registration.end().await;
}
