//! All instances are killed at the same moment and start again: what the new ones must not take for "it never happened".
//!
//! Each instance here is a whole fleet: no peer is left that could tell it anything.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream::ops::relay::crash_store;
use sequoiastream::ops::relay::orders;
use sequoiastream::util::clock;
use sequoiastream_core::poison::suspects::MIN_CRASHES;
use sequoiastream_core::poison::suspects::Note;
use sequoiastream_core::poison::suspects::Outcome;
use sequoiastream_core::relay::engines::EngineUpdate;
use sequoiastream_core::relay::engines::Engines;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::CallerLimits;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::watchers::ConfirmationId;
use sequoiastream_core::relay::watchers::ConfirmedStatus;
use sequoiastream_core::relay::watchers::SyncState;
use sequoiastream_core::relay::watchers::SyncStatus;
use sequoiastream_core::time::Time;

use super::engine::Action;
use super::engine::ScriptedEngine;
use super::follow::engines;
use super::follow::follow_store;
use super::follow::version;
use super::instance::Instance;
use super::instance::options;
use super::instance::route;
use super::instance::shared;
use super::rev;
use super::store::FakeStore;
use super::store::WriteOutcome;
use super::wait_until;

/// Number of further engines that a request may reach after it has crashed the third.
const MAX_LATE_CRASHES: usize = 3;

/// Time in which an instance would give an order: its engines must stay the same for some checks.
const ORDER_TIME: Duration = Duration::from_secs(4);

/// An instance that was just started, with a route of this kind, and has read the store.
async fn start(kind: RouteKind, store: &FakeStore, expected: &[String]) -> Instance {
    let shared = shared(options());
    follow_store(&shared, store).await;
    actix_web::rt::spawn(crash_store::run(shared.clone(), Rc::new(store.clone())));
    wait_until(|| version(&shared) == 3 && engines(&shared) == expected).await;
    let routes = vec![route(kind, "/r/")];
    shared.publish(|view| {
        view.table = Arc::new(RoutingTable::new(3, CallerLimits::default(), routes, Vec::new()));
    });
    Instance::serve(shared)
}

/// Sends requests that crash engines, more often than allowed, to an instance that was just started. `path` is that of each
/// attempt. Returns the number of engines that ended; they are replaced by others for the next instance.
async fn crash_after_start<P>(store: &FakeStore, number: usize, kind: RouteKind, path: P, more: &str) -> usize
where
    P: Fn(usize) -> String,
{
    let mut crashing = Vec::new();
    let mut names = Vec::new();
    for index in 0..6 {
        let engine = ScriptedEngine::start(|_, _| vec![Action::Crash]).await;
        let name = format!("k{number}-{index}");
        let entry = format!("chat {} ready 1", engine.address());
        store.put(&format!("engines/{name}"), &entry);
        crashing.push(engine);
        names.push(name);
    }
    let instance = start(kind, store, &names).await;
    for attempt in 0..6 {
        let id = format!("k{number}-{attempt}");
        instance.get(&path(attempt), &id, more).await;
    }
    for name in &names {
        store.remove(&format!("engines/{name}"));
    }
    crashing.iter().filter(|engine| engine.log().crashed).count()
}

/// Guards against a request that crashes engines and goes on to crash more of them each time that all instances are killed,
/// because nobody remembers it.
#[actix_web::test]
async fn block_after_kills_of_all() {
    let store = FakeStore::new();
    store.put("config", "3 /r/");
    let mut crashes = Vec::new();
    for number in 0..3 {
        let path = |_| "/r/poison".to_string();
        crashes.push(crash_after_start(&store, number, RouteKind::Idempotent, path, "").await);
    }
    assert_eq!(crashes[0], MIN_CRASHES);
    let late: usize = crashes[1..].iter().sum();
    assert!(late <= MAX_LATE_CRASHES, "{crashes:?}");
}

/// Guards against a part of prompts that crashes engines and goes on to crash more of them each time that all instances are
/// killed, because nobody remembers it.
#[actix_web::test]
async fn block_part_after_kills_of_all() {
    let store = FakeStore::new();
    store.put("config", "3 /r/");
    let mut crashes = Vec::new();
    for number in 0..3 {
        // No two requests are alike.
        let path = |attempt| format!("/r/poison{number}-{attempt}");
        let parts = "x-tokens: 100\r\nx-parts: 1,13\r\n";
        crashes.push(crash_after_start(&store, number, RouteKind::Stream, path, parts).await);
    }
    assert_eq!(crashes[0], MIN_CRASHES);
    let late: usize = crashes[1..].iter().sum();
    assert!(late <= MAX_LATE_CRASHES, "{crashes:?}");
}

/// Number of engines under which a request ended, by the notes in the store.
fn stored_crashes(store: &FakeStore) -> usize {
    let values = store.values("crashes/");
    let notes = values
        .iter()
        .flat_map(|value| postcard::from_bytes::<Vec<Note>>(value).expect("notes"));
    let engines = notes.filter_map(|note| match note.outcome {
        Outcome::Crashed(engine) => Some(engine),
        Outcome::Completed | Outcome::Tried => None,
    });
    engines.collect::<BTreeSet<u64>>().len()
}

/// Guards against notes of crashes that are lost because the store refuses a write, applies it without an answer, or applies
/// it after later ones.
#[actix_web::test]
async fn block_after_failed_write() {
    for outcome in [
        WriteOutcome::Refused,
        WriteOutcome::AppliedUnanswered,
        WriteOutcome::Delayed,
    ] {
        let store = FakeStore::new();
        store.put("config", "3 /r/");
        store.set_next_write(outcome);
        let path = |_| "/r/poison".to_string();
        let first = crash_after_start(&store, 0, RouteKind::Idempotent, path, "").await;
        assert_eq!(first, MIN_CRASHES, "{outcome:?}");
        wait_until(|| stored_crashes(&store) == MIN_CRASHES).await;
        store.deliver_delayed();
        let second = crash_after_start(&store, 1, RouteKind::Idempotent, path, "").await;
        assert_eq!(second, 0, "{outcome:?}");
    }
}

/// Guards against writes to the store for engines that end by themselves, with requests that are harmless.
#[actix_web::test]
async fn first_crash_not_written() {
    let engine = ScriptedEngine::start(|_, _| vec![Action::Crash]).await;
    let store = FakeStore::new();
    store.put("config", "3 /r/");
    store.put("engines/e", &format!("chat {} ready 1", engine.address()));
    let instance = start(RouteKind::Idempotent, &store, &["e".to_string()]).await;
    instance.get("/r/harmless", "q", "").await;
    wait_until(|| instance.shared.traffic().suspects.counts(clock::now()).suspect > 0).await;
    actix_web::rt::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(store.calls().writes, 0);
}

/// An engine that accepts each order.
async fn accepting_engine() -> ScriptedEngine {
    let accepted = "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";
    ScriptedEngine::start(move |_, _| vec![Action::Send(accepted.to_string())]).await
}

/// A store with three engines at the address of `engine`, and their names.
fn store_with_engines(engine: &ScriptedEngine) -> (FakeStore, Vec<String>) {
    let store = FakeStore::new();
    store.put("config", "3 /r/");
    let names: Vec<String> = (0..3).map(|index| format!("e{index}")).collect();
    for name in &names {
        let entry = format!("chat {} ready 1", engine.address());
        store.put(&format!("engines/{name}"), &entry);
    }
    (store, names)
}

/// Guards against a second order to an engine, by a fleet that was killed after the first one and has forgotten it, while
/// the store refuses calls.
#[actix_web::test]
async fn order_not_repeated_after_kills_of_all() {
    let engine = accepting_engine().await;
    let (store, names) = store_with_engines(&engine);
    for kill in 0..3 {
        let instance = start(RouteKind::Idempotent, &store, &names).await;
        let task = actix_web::rt::spawn(orders::run(instance.shared.clone(), Rc::new(store.clone())));
        match kill {
            0 => engine.wait_for(|log| !log.requests.is_empty()).await,
            _ => actix_web::rt::time::sleep(ORDER_TIME).await,
        }
        task.abort();
        store.set_refuse_alternate(true);
    }
    assert_eq!(engine.log().requests.len(), 1);
}

/// Guards against a second order to an engine while the first may be on its way: the store has lost its record by a return
/// from an older copy, and all instances that saw the record were killed then.
#[actix_web::test]
async fn order_not_repeated_after_kill_and_restoration() {
    let engine = accepting_engine().await;
    let (store, names) = store_with_engines(&engine);
    let copy = store.copy();
    for number in 0..2 {
        let instance = start(RouteKind::Idempotent, &store, &names).await;
        let task = actix_web::rt::spawn(orders::run(instance.shared.clone(), Rc::new(store.clone())));
        match number {
            0 => engine.wait_for(|log| !log.requests.is_empty()).await,
            _ => actix_web::rt::time::sleep(ORDER_TIME).await,
        }
        task.abort();
        store.restore(&copy).await;
    }
    assert_eq!(engine.log().requests.len(), 1);
}

/// Guards against an instance that starts and takes the data of a peer that has long lost the store for as recent as itself.
#[test]
fn data_older_than_process() {
    let now = clock::now();
    let age = Duration::from_secs(30);
    let confirmation = ConfirmationId {
        process: 1,
        number: 1,
    };
    let mut state = SyncState::new(0);
    state.on_peer_changes(now, ConfirmedStatus::new(rev(7), 30_000, confirmation));
    assert!(state.on_peer_proof(now, SyncStatus::new(rev(8), 0)));
    assert!(!state.on_peer_proof(now, SyncStatus::new(rev(7), 30_000)));
    let is_honest = |told: Option<Duration>| told.is_none_or(|told| told >= age);
    assert!(is_honest(state.age(now)) && is_honest(state.proof_age(now)));
}

/// Guards against requests to an engine that announced its leaving before all instances were killed, and whose earlier
/// write arrives after they started.
#[test]
fn leaving_known_after_kill_of_all() {
    let entry = |sequence, leaving| {
        let mut entry = super::entry("e", Stage::Decode);
        (entry.sequence, entry.leaving, entry.create_revision) = (sequence, leaving, rev(1));
        entry
    };
    let mut engines = Engines::new();
    engines.on_snapshot(Time::ZERO, rev(6), vec![(rev(6), entry(9, true))]);
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(7), entry(8, false)));
    assert!(engines.available().values().all(Vec::is_empty));
}
