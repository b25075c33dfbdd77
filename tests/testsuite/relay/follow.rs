//! Following the store, through its own answers and through peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream::ops::relay::follow;
use sequoiastream::ops::relay::known::StoreReplica;
use sequoiastream::ops::relay::options::Options;
use sequoiastream::ops::relay::orders;
use sequoiastream::ops::relay::peers;
use sequoiastream::ops::relay::peers::Fleet;
use sequoiastream::ops::relay::register;
use sequoiastream::ops::relay::shared::Shared;
use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::REREGISTRATION_GRACE;
use sequoiastream_core::relay::watchers::ApplyLimit;

use super::instance::options;
use super::instance::shared;
use super::store::FakeStore;
use super::wait_until;

pub(super) async fn start(options: Options, store: &FakeStore) -> Arc<Shared> {
    start_with_fleet(options, store).await.0
}

pub(super) async fn start_with_fleet(options: Options, store: &FakeStore) -> (Arc<Shared>, Fleet) {
    let shared = shared(options);
    let fleet = follow_store(&shared, store).await;
    (shared, fleet)
}

/// Starts the tasks that follow `store` for an instance.
pub(super) async fn follow_store(shared: &Arc<Shared>, store: &FakeStore) -> Fleet {
    let sockets = peers::Sockets::bind(shared).await.expect("a free address");
    let replica = StoreReplica::new();
    let fleet = peers::start(shared.clone(), sockets, replica.clone());
    let store = Rc::new(store.clone());
    actix_web::rt::spawn(follow::run(shared.clone(), store, fleet.clone(), replica));
    fleet
}

/// Starts three instances of a zone: two watch `served`, the third listens to them and has the store `own` to itself.
pub(super) async fn start_zone(
    served: &FakeStore,
    own: &FakeStore,
    limit: Duration,
) -> [(Arc<Shared>, Fleet); 3] {
    let named = |name: &str| {
        let mut options = options();
        options.reloadable.apply_limit = ApplyLimit(limit);
        options.name = name.parse().expect("a name");
        options
    };
    let options = ["a", "b", "c"].map(named);
    for store in [served, own] {
        store.put("config", "3 /a/");
        store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
        for Options {
            name, front, peer, ..
        } in &options
        {
            let record = format!(r#"{{"zone":"a","front":"{front}","peer":"{peer}"}}"#);
            store.put(&format!("own/a/{name}"), &record);
        }
    }
    let [a, b, c] = options;
    let instances = [
        start_with_fleet(a, served).await,
        start_with_fleet(b, served).await,
        start_with_fleet(c, own).await,
    ];
    let [.., (_, listener)] = &instances;
    wait_until(|| instances.iter().all(|(shared, _)| version(shared) == 3)).await;
    wait_until(|| !listener.watch_rank().is_watcher()).await;
    let gauges = instances
        .each_ref()
        .map(|(shared, _)| shared.metrics.watcher.get());
    assert_eq!(gauges, [1, 1, 0]);
    instances
}

pub(super) fn engines(shared: &Shared) -> Vec<String> {
    let view = shared.view.load();
    let ids = view.engines().values().flatten().map(|e| e.entry.id.clone());
    ids.collect()
}

fn addresses(shared: &Shared) -> Vec<SocketAddr> {
    let view = shared.view.load();
    view.endpoints.iter().map(|e| e.address).collect()
}

pub(super) fn version(shared: &Shared) -> u64 {
    shared.view.load().table.version
}

#[actix_web::test]
async fn changes_in_force() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    let shared = start(options(), &store).await;
    wait_until(|| version(&shared) == 3 && engines(&shared) == ["e1"]).await;
    store.put("engines/e2", "chat 127.0.0.1:9 ready 1");
    store.put("config", "7 /b/");
    wait_until(|| version(&shared) == 7 && engines(&shared) == ["e1", "e2"]).await;
    assert!(shared.view.load().table.find("shop.example", "/b/").is_some());
    store.put("engines/e1", "chat 127.0.0.1:9 leaving 2");
    store.remove("engines/e2");
    wait_until(|| engines(&shared).is_empty()).await;
}

/// Guards against the store refusing the calls of a starting fleet. Sequence: 140 engines register within seconds, and
/// each registration ends the watch of each of 84 instances that don't hear each other yet. All watchers together start
/// at most a few hundred watches per second; a small number of watchers need not wait.
#[test]
fn rest_by_fleet() {
    let millis = [0, 1, 8, 84, 350, 1_000_000].map(|watchers| follow::batch_delay(watchers).as_millis());
    assert_eq!(millis, [0, 5, 40, 420, 500, 500]);
}

/// Guards against a watcher pausing after each truncated answer while thousands of engines register.
#[actix_web::test]
async fn truncated_watch_repeated_at_once() {
    let store = FakeStore::new();
    store.set_batch_size(250);
    store.put("config", "3 /a/");
    let mut options = options();
    options.reloadable.apply_limit = ApplyLimit(Duration::from_secs(60));
    let shared = start(options, &store).await;
    wait_until(|| version(&shared) == 3).await;
    for number in 0..4_000 {
        store.put(&format!("engines/e{number}"), "chat 127.0.0.1:9 ready 1");
    }
    wait_until(|| engines(&shared).len() == 4_000).await;
}

/// Guards against missing that an engine leaves. Sequence: watches are cut and the history is dropped, and with it the
/// change that says that the engine leaves. Cause: a watch continues from the current revision instead of reading
/// everything.
#[actix_web::test]
async fn history_dropped() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    let shared = start(options(), &store).await;
    wait_until(|| engines(&shared) == ["e1"]).await;
    store.set_down(true);
    store.remove("engines/e1");
    store.put("config", "9 /a/");
    store.compact();
    store.set_down(false);
    wait_until(|| engines(&shared).is_empty() && version(&shared) == 9).await;
}

/// Guards against all requests of a service being refused although its engines run. Sequence: somebody overwrites the entry
/// of an engine with text that can't be read, and everything is read again. Cause: an entry that can't be read is taken for
/// one that is gone.
#[actix_web::test]
async fn odd_entry_kept_at_full_read() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    let shared = start(options(), &store).await;
    wait_until(|| engines(&shared) == ["e1"]).await;
    store.set_down(true);
    store.put("engines/e1", "no entry");
    store.put("engines/e2", "chat 127.0.0.1:9 ready 1");
    store.compact();
    store.set_down(false);
    wait_until(|| engines(&shared).contains(&"e2".to_string())).await;
    assert_eq!(engines(&shared), ["e1", "e2"]);
    store.put("engines/e1", "chat 127.0.0.1:9 leaving 2");
    wait_until(|| engines(&shared) == ["e2"]).await;
}

/// Guards against an engine being kept for good once its entry could not be read: the removal of the key ends it.
#[actix_web::test]
async fn odd_entry_removed() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    let shared = start(options(), &store).await;
    wait_until(|| engines(&shared) == ["e1"]).await;
    store.put("engines/e1", "no entry");
    store.put("config", "4 /a/");
    wait_until(|| version(&shared) == 4).await;
    assert_eq!(engines(&shared), ["e1"]);
    store.remove("engines/e1");
    wait_until(|| engines(&shared).is_empty()).await;
}

/// Guards against a return to an earlier configuration. Sequence: an older version is written over a newer one.
/// Versions never decrease.
#[actix_web::test]
async fn version_never_back() {
    let store = FakeStore::new();
    store.put("config", "9 /new/");
    let shared = start(options(), &store).await;
    wait_until(|| version(&shared) == 9).await;
    store.put("config", "4 /old/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    wait_until(|| engines(&shared) == ["e1"]).await;
    assert_eq!(version(&shared), 9);
}

/// Guards against one unreadable entry blocking all others, and against losing the configuration in force.
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
    wait_until(|| engines(&shared) == ["e2"]).await;
    store.put("config", "no version");
    store.put("engines/e3", "chat 127.0.0.1:9 ready 1");
    wait_until(|| engines(&shared) == ["e2", "e3"]).await;
    assert_eq!(version(&shared), 3);
    assert!(
        shared.view.load().orders.stages().contains_key("e2"),
        "an unreadable record counts as an order that was sent"
    );
}

/// Guards against one instance sending requests to an engine that has left. Sequence: the store refuses the calls of
/// that instance and serves the others. The instance learns from a peer what it can't get from the store.
#[actix_web::test]
async fn turned_away_asks_peer() {
    let (served, silent) = (FakeStore::new(), FakeStore::new());
    silent.set_down(true);
    let one = options();
    let mut two = options();
    two.name = "two".parse().expect("a name");
    served.put("config", "3 /a/");
    served.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    let record = |options: &Options| {
        format!(
            r#"{{"zone":"a","front":"{}","peer":"{}"}}"#,
            options.front, options.peer
        )
    };
    served.put("own/one", &record(&one));
    served.put("own/two", &record(&two));
    let first = start(one, &served).await;
    let second = start(two, &silent).await;
    wait_until(|| version(&first) == 3).await;
    wait_until(|| version(&second) == 3 && engines(&second) == ["e1"]).await;
    served.put("engines/e1", "chat 127.0.0.1:9 leaving 2");
    served.put("config", "8 /a/");
    wait_until(|| version(&second) == 8 && engines(&second).is_empty()).await;
}

/// Guards against records of orders accumulating in the store for the lifetime of the deployment. Of two records, the
/// engine of one is gone for good, that of the other is present.
#[actix_web::test]
async fn record_of_gone_engine_removed() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    for id in ["e1", "gone"] {
        store.put(&format!("orders/{id}"), r#"{"holder":"one/1","reader":true}"#);
    }
    let mut options = options();
    options.reloadable.retention = Duration::from_millis(100);
    let shared = start(options, &store).await;
    actix_web::rt::spawn(orders::run(shared.clone(), Rc::new(store.clone())));
    let recorded = || -> Vec<String> { shared.view.load().orders.stages().keys().cloned().collect() };
    wait_until(|| recorded() == ["e1", "gone"]).await;
    wait_until(|| recorded() == ["e1"]).await;
    assert!(store.has("orders/e1") && !store.has("orders/gone"));
}

/// Guards against callers being sent to instances that they can't reach, or to none. Two instances find each other
/// through the store and list each other while they hear each other.
#[actix_web::test]
async fn instances_named() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    let one = options();
    let mut two = options();
    two.name = "two".parse().expect("a name");
    let mut both = vec![one.front, two.front];
    both.sort();
    let instances = [
        start_with_fleet(one, &store).await,
        start_with_fleet(two, &store).await,
    ];
    let registrations = instances
        .clone()
        .map(|(s, fleet)| register::start(s, Rc::new(store.clone()), fleet));
    for (shared, _) in &instances {
        wait_until(|| addresses(shared) == both).await;
    }
    assert!(store.has("own/a/one") && store.has("own/a/two"));
    for registration in registrations {
        registration.end().await;
    }
}

/// Guards against every instance of a fleet of hundreds calling the store for every change. An instance that others
/// watch for learns of changes from them, large ones too, and calls the store only for what peers don't send.
#[actix_web::test]
async fn listener_hears_of_changes() {
    let (served, own) = (FakeStore::new(), FakeStore::new());
    // Long enough that the instance need not watch by itself, however slow the test machine is.
    let [_, _, (listener, _)] = start_zone(&served, &own, Duration::from_secs(60)).await;
    served.put("engines/e2", "chat 127.0.0.1:9 ready 1");
    served.remove("engines/e1");
    served.put("config", "7 /b/");
    wait_until(|| version(&listener) == 7 && engines(&listener) == ["e2"]).await;
    let watches = own.calls().watches;
    served.put("config", &format!("9 /{}/", "long".repeat(10_000)));
    served.put("engines/e3", "chat 127.0.0.1:9 ready 1");
    wait_until(|| version(&listener) == 9 && engines(&listener) == ["e2", "e3"]).await;
    assert_eq!(own.calls().watches, watches);
}

/// Guards against the age of a peer's changes being counted from when they are applied instead of from the request.
/// Sequence: a value that is too large for the peer's answer is read from a slow store before the changes are applied.
#[actix_web::test]
async fn peer_changes_age_while_applied() {
    let (served, own) = (FakeStore::new(), FakeStore::new());
    let [_, _, (listener, fleet)] = start_zone(&served, &own, Duration::from_secs(60)).await;
    own.set_unresponsive(true);
    let ranges = own.calls().ranges;
    let config = format!("9 /{}/", "long".repeat(20_000));
    // The listener's store must have at least the revision of the change.
    (0..8).for_each(|_| own.put("config", &config));
    served.put("config", &config);
    wait_until(|| own.calls().ranges > ranges).await;
    let (blocked_since, wait) = (clock::now(), Duration::from_millis(1_500));
    wait_until(|| clock::now().since(blocked_since) >= wait).await;
    own.set_unresponsive(false);
    wait_until(|| version(&listener) == 9).await;
    let age = fleet
        .known()
        .age(clock::now())
        .expect("a peer has reported a confirmation");
    assert!(age >= wait, "{age:?}");
}

/// Guards against an instance that never learns of a change. Sequence: the watchers of its zone are alive, but the
/// store refuses their calls. The instance calls the store itself once the last confirmation is too old.
#[actix_web::test]
async fn listener_unconfirmed_watches() {
    let (served, own) = (FakeStore::new(), FakeStore::new());
    let [_, _, (listener, _)] = start_zone(&served, &own, Duration::from_millis(400)).await;
    served.set_down(true);
    own.put("engines/e2", "chat 127.0.0.1:9 ready 1");
    wait_until(|| engines(&listener) == ["e1", "e2"]).await;
}

/// Guards against every request being refused for seconds after an outage of the store. Sequence: no instance can reach
/// the store, entries expire, and the store is back before the engines have registered again; a watcher sees it first
/// and reports the missing entries to the others. Each instance is checked separately, because the watcher may already
/// have dropped the engine after its grace period when the listener learns of the missing entry.
#[actix_web::test]
async fn lapse_told_in_doubt() {
    let (served, own) = (FakeStore::new(), FakeStore::new());
    let [(watcher, _), _, (listener, _)] = start_zone(&served, &own, Duration::from_millis(400)).await;
    let own_calls = || own.calls().ranges + own.calls().watches;
    let before = own_calls();
    served.set_down(true);
    own.set_down(true);
    wait_until(|| own_calls() > before).await;
    for shared in [&watcher, &listener] {
        wait_until(|| shared.store_age(clock::now()) > Duration::from_millis(600)).await;
    }
    served.remove("engines/e1");
    served.put("config", "5 /a/");
    let restored_at = clock::now();
    served.set_down(false);
    let check_grace_period = async |shared: &Shared| {
        wait_until(|| version(shared) == 5).await;
        assert_eq!(engines(shared), ["e1"]);
        wait_until(|| engines(shared).is_empty()).await;
        assert!(clock::now().since(restored_at) >= REREGISTRATION_GRACE);
    };
    tokio::join!(check_grace_period(&watcher), check_grace_period(&listener));
}

/// Guards against an instance that refuses every request after an outage of the store. Sequence: its first answer comes
/// long after its last failed call, because of a long pause or a slow answer, and it drops the engines whose entries
/// have expired before they can register again.
#[actix_web::test]
async fn lapse_long_after_failure() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put("engines/e1", "chat 127.0.0.1:9 ready 1");
    let shared = start(options(), &store).await;
    wait_until(|| version(&shared) == 3 && engines(&shared) == ["e1"]).await;
    let calls = || store.calls().ranges + store.calls().watches;
    let calls_before = calls();
    store.set_down(true);
    wait_until(|| calls() > calls_before).await;
    let failed_calls = calls();
    store.set_down(false);
    store.set_unresponsive(true);
    wait_until(|| calls() > failed_calls).await;
    let called_at = clock::now();
    wait_until(|| clock::now().since(called_at) >= REREGISTRATION_GRACE).await;
    store.remove("engines/e1");
    store.put("config", "5 /a/");
    store.set_unresponsive(false);
    wait_until(|| version(&shared) == 5).await;
    assert_eq!(engines(&shared), ["e1"]);
    wait_until(|| engines(&shared).is_empty()).await;
}

/// Guards against a request reaching an engine more than two seconds after it has announced that it leaves. Sequence:
/// no instance gets an answer from the store, then the watchers do, while an instance whose own calls failed has just
/// begun one of its longest pauses. It must learn of the announcement from the watchers before its next call.
#[actix_web::test]
async fn listener_failing_hears_of_changes() {
    let (served, own) = (FakeStore::new(), FakeStore::new());
    let [(first, _), (second, _), (listener, _)] =
        start_zone(&served, &own, Duration::from_millis(400)).await;
    // With load they report it, and the store revision that they know, forty times a second.
    for watcher in [&first, &second] {
        watcher
            .traffic()
            .load
            .begin(clock::now(), EngineKey(0), Duration::ZERO);
    }
    let own_calls = || own.calls().ranges + own.calls().watches;
    let before = own_calls();
    served.set_unresponsive(true);
    own.set_down(true);
    // The pause after the sixth failed call is the first one of at least a second.
    wait_until(|| own_calls() == before + 6).await;
    served.put("engines/e1", "chat 127.0.0.1:9 leaving 2");
    served.put("config", "5 /a/");
    served.set_unresponsive(false);
    wait_until(|| version(&listener) == 5).await;
    assert_eq!(engines(&listener), Vec::<String>::new());
    assert_eq!(own_calls(), before + 6);
}

/// Guards against keys of stopped instances accumulating in the store. The first-ranked instance removes the key of one
/// that is not heard, and keeps those of live ones.
#[actix_web::test]
async fn silent_instance_key_removed() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put(
        "own/a/gone",
        r#"{"zone":"a","front":"127.0.0.1:1","peer":"127.0.0.1:1"}"#,
    );
    let named = |name: &str| {
        let mut options = options();
        options.name = name.parse().expect("a name");
        options.reloadable.retention = Duration::from_secs(3);
        options
    };
    let (first, second) = (named("one"), named("two"));
    let instances = [
        start_with_fleet(first, &store).await,
        start_with_fleet(second, &store).await,
    ];
    let registrations = instances
        .clone()
        .map(|(s, fleet)| register::start(s, Rc::new(store.clone()), fleet));
    wait_until(|| !store.has("own/a/gone")).await;
    assert!(store.has("own/a/one") && store.has("own/a/two"));
    let [one, _two] = registrations;
    one.end().await;
    assert!(!store.has("own/a/one"), "an instance that stops removes its key");
}

/// Guards against an isolated instance, which hears no peer, removing the keys of all others.
#[actix_web::test]
async fn isolated_instance_keeps_keys() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    store.put(
        "own/a/two",
        r#"{"zone":"a","front":"127.0.0.1:1","peer":"127.0.0.1:1"}"#,
    );
    let mut options = options();
    options.reloadable.retention = Duration::from_millis(50);
    let (shared, fleet) = start_with_fleet(options, &store).await;
    let _registration = register::start(shared.clone(), Rc::new(store.clone()), fleet.clone());
    wait_until(|| store.has("own/a/one") && fleet.watch_rank().rank == 0).await;
    // Each check of the keys begins with rewriting the instance's own key if it is missing.
    for _ in 0..3 {
        store.remove("own/a/one");
        wait_until(|| store.has("own/a/one")).await;
    }
    assert!(store.has("own/a/two"));
}

/// Guards against an instance whose key was removed staying undiscoverable. It detects the missing key and writes it
/// again.
#[actix_web::test]
async fn missing_key_rewritten() {
    let store = FakeStore::new();
    store.put("config", "3 /a/");
    let (shared, fleet) = start_with_fleet(options(), &store).await;
    let _registration = register::start(shared, Rc::new(store.clone()), fleet);
    wait_until(|| store.has("own/a/one")).await;
    store.remove("own/a/one");
    wait_until(|| store.has("own/a/one")).await;
    assert_eq!(store.calls().writes, 2);
}

/// Guards against a request reaching an engine more than two seconds after the engine has announced that it leaves.
/// Sequence: only a watcher was cut off from the store, and it is back when the engine's entry disappears; an instance
/// that was never cut off learns of that from this watcher. Cause: the watcher's uncertainty whether the store itself
/// was down is taken over by the instance.
#[actix_web::test]
async fn leaving_told_by_one_cut_off() {
    let (served, own) = (FakeStore::new(), FakeStore::new());
    let [(watcher, _), _, (listener, _)] = start_zone(&served, &own, Duration::from_millis(400)).await;
    served.set_down(true);
    wait_until(|| watcher.store_age(clock::now()) > Duration::from_millis(400)).await;
    served.remove("engines/e1");
    served.put("config", "5 /a/");
    served.set_down(false);
    wait_until(|| version(&listener) == 5).await;
    assert_eq!(engines(&listener), Vec::<String>::new());
}

/// Guards against a fleet serving nothing for half a minute after all of it was killed. Sequence: hundreds of instances
/// register, one change after the other; each instance asks a peer at once for each change, and each answer is a list
/// as long as the fleet that it has to apply. Changes that follow soon are fetched together.
#[actix_web::test]
async fn listener_rests_between_questions() {
    let (served, own) = (FakeStore::new(), FakeStore::new());
    for number in 100..220 {
        let record = r#"{"zone":"a","front":"127.0.0.1:1","peer":"127.0.0.1:1"}"#;
        for store in [&served, &own] {
            store.put(&format!("own/z{number}"), record);
        }
    }
    let [(first, _), (second, _), (listener, _)] = start_zone(&served, &own, Duration::from_secs(60)).await;
    wait_until(|| listener.view.load().instances > 100).await;
    // With load they report it, and the store revision that they know, forty times a second.
    for watcher in [&first, &second] {
        watcher
            .traffic()
            .load
            .begin(clock::now(), EngineKey(0), Duration::ZERO);
    }
    let started = clock::now();
    for change in 4..9 {
        served.put("config", &format!("{change} /a/"));
        wait_until(|| version(&listener) == change).await;
    }
    let min_delay = follow::batch_delay(listener.view.load().instances) * 4;
    assert!(clock::now().since(started) >= min_delay, "{min_delay:?}");
}
