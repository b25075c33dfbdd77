//! Sending each engine its only order to change stage.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream::ops::relay::orders;
use sequoiastream::ops::relay::orders::OrderRecords;
use sequoiastream::ops::relay::shared::Shared;
use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::routes::CallerLimits;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Item;

use super::engine::Action;
use super::engine::ScriptedEngine;
use super::instance::TestDialect;
use super::instance::options;
use super::instance::shared;
use super::rev;
use super::store::FakeStore;
use super::store::WriteOutcome;
use super::wait_until;

/// An instance that knows three decode engines at one address, one of which is to compute prefills.
fn instance(engine: &ScriptedEngine) -> Arc<Shared> {
    let shared = shared(options());
    let engines = (0..3).map(|index| {
        let entry = Entry {
            address: engine.address(),
            ..super::entry(&format!("e{index}"), Stage::Decode)
        };
        Engine::new(EngineKey(index), entry)
    });
    let engines: Vec<Engine> = engines.collect();
    shared.publish(|view| {
        view.table = Arc::new(RoutingTable::new(
            1,
            CallerLimits::default(),
            Vec::new(),
            Vec::new(),
        ));
        view.set_engines([("chat".to_string(), engines)].into());
    });
    shared
}

/// Adds a decode engine at the address of `engine` to those that an instance knows.
fn add_engine(shared: &Shared, engine: &ScriptedEngine, number: u32) {
    let mut engines: Vec<Engine> = shared.view.load().engines()["chat"].clone();
    let entry = Entry {
        address: engine.address(),
        ..super::entry(&format!("e{number}"), Stage::Decode)
    };
    engines.push(Engine::new(EngineKey(number), entry));
    shared.publish(|view| view.set_engines([("chat".to_string(), engines)].into()));
}

async fn accepting_engine() -> ScriptedEngine {
    let accepted = "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";
    ScriptedEngine::start(move |_, _| vec![Action::Send(accepted.to_string())]).await
}

/// Guards against an engine getting two orders from two instances. Sequence: both compute the same plan, and neither
/// sees the other's record yet.
#[actix_web::test]
async fn two_instances_one_order() {
    let engine = accepting_engine().await;
    let store = FakeStore::new();
    for _ in 0..2 {
        actix_web::rt::spawn(orders::run(instance(&engine), Rc::new(store.clone())));
    }
    wait_until(|| store.calls().writes >= 2).await;
    engine.wait_for(|log| !log.requests.is_empty()).await;
    let requests = engine.log().requests;
    assert_eq!(requests.len(), 1);
    assert!(
        requests[0].head.starts_with("POST /order ") && requests[0].body.starts_with("Prefill one/"),
        "{requests:?}"
    );
    assert_eq!(requests[0].header("x-expect"), Some("e2"));
}

/// Guards against an order reaching an engine during its pause.
#[actix_web::test]
async fn paused_engine_ordered_later() {
    let engine = accepting_engine().await;
    let shared = instance(&engine);
    let ordered = shared.view.load().engines()["chat"][2].incarnation();
    // Without the pause, the order is sent after two seconds.
    let pause = Duration::from_secs(4);
    let paused_at = clock::now();
    shared.traffic().notices.on_pause(paused_at, ordered, pause);
    actix_web::rt::spawn(orders::run(shared, Rc::new(FakeStore::new())));
    engine.wait_for(|log| !log.requests.is_empty()).await;
    assert!(clock::now().since(paused_at) >= pause);
    assert_eq!(engine.log().requests[0].header("x-expect"), Some("e2"));
}

/// The answer to the write of the record is lost, but the write was applied. Reading the record back shows whose it is,
/// and the order is sent once.
#[actix_web::test]
async fn record_answer_lost() {
    let engine = accepting_engine().await;
    let store = FakeStore::new();
    store.set_next_write(WriteOutcome::AppliedUnanswered);
    actix_web::rt::spawn(orders::run(instance(&engine), Rc::new(store.clone())));
    engine.wait_for(|log| log.requests.len() == 1).await;
    assert!(store.has("orders/e2"));
}

/// Guards against sending an order when it isn't known whose record it is. Sequence: the write gets no answer, and
/// neither does the attempt to read the record back. No order is sent, now or later: the write may still be applied.
#[actix_web::test]
async fn record_unknown_not_sent() {
    let engine = accepting_engine().await;
    let store = FakeStore::new();
    store.set_next_write(WriteOutcome::DroppedUnanswered);
    let shared = instance(&engine);
    actix_web::rt::spawn(orders::run(shared.clone(), Rc::new(store.clone())));
    wait_until(|| store.calls().ranges == 1).await;
    store.set_down(false);
    // Another engine gets an order later: by the time that this order arrives, the first engine has been skipped.
    add_engine(&shared, &engine, 9);
    engine.wait_for(|log| !log.requests.is_empty()).await;
    let expected: Vec<Option<String>> = engine
        .log()
        .requests
        .iter()
        .map(|r| r.header("x-expect").map(str::to_string))
        .collect();
    assert!(!expected.contains(&Some("e2".to_string())), "{expected:?}");
}

/// Guards against a service that is never split. Sequence: the store refuses the write of the record once because of
/// its rate limit. Cause: an order that was not sent counts as sent.
#[actix_web::test]
async fn record_refused_tried_again() {
    let engine = accepting_engine().await;
    let store = FakeStore::new();
    store.set_next_write(WriteOutcome::Refused);
    actix_web::rt::spawn(orders::run(instance(&engine), Rc::new(store.clone())));
    engine.wait_for(|log| log.requests.len() == 1).await;
    assert_eq!(store.calls().writes, 2);
}

/// Guards against sending an order again while the first one may still be carried out. Sequence: the engine gives no
/// answer.
#[actix_web::test]
async fn unanswered_not_repeated() {
    let engine = ScriptedEngine::start(|_, _| vec![Action::Close]).await;
    let store = FakeStore::new();
    let shared = instance(&engine);
    actix_web::rt::spawn(orders::run(shared.clone(), Rc::new(store.clone())));
    engine.wait_for(|log| log.requests.len() == 1).await;
    // There is still only one after the plan was computed again, which happens when the fraction of prefill engines
    // changes.
    let mut reloadable = (*shared.reloadable()).clone();
    reloadable.prefill_fraction = 0.3;
    shared.reload(reloadable);
    let engines: Vec<Engine> = (10..14)
        .map(|index| {
            let entry = Entry {
                address: engine.address(),
                ..super::entry(&format!("f{index}"), Stage::Decode)
            };
            Engine::new(EngineKey(index), entry)
        })
        .collect();
    let mut all = shared.view.load().engines()["chat"].clone();
    all.extend(engines);
    shared.publish(|view| view.set_engines([("chat".to_string(), all)].into()));
    engine.wait_for(|log| log.requests.len() >= 2).await;
    let orders_sent = engine
        .log()
        .requests
        .iter()
        .filter(|r| r.header("x-expect") == Some("e2"))
        .count();
    assert_eq!(orders_sent, 1);
}

/// Guards against an order that is delivered after it was given up, when another instance may have given another one since
/// because the store lost the record.
#[actix_web::test]
async fn unanswered_reset() {
    let engine = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
    actix_web::rt::spawn(orders::run(instance(&engine), Rc::new(FakeStore::new())));
    engine.wait_for(|log| log.disconnects == 1).await;
    assert_eq!(engine.log().resets, 1);
}

/// Guards against an order that leaves long after its record was written, when another instance may have given another one
/// since because the store lost the record. Sequence: the answer to the write is lost, and the record is read back late.
#[actix_web::test]
async fn record_confirmed_late_not_sent() {
    let engine = accepting_engine().await;
    let store = FakeStore::new();
    let shared = instance(&engine);
    store.set_next_write(WriteOutcome::AppliedUnanswered);
    store.set_unresponsive(true);
    actix_web::rt::spawn(orders::run(shared.clone(), Rc::new(store.clone())));
    wait_until(|| store.calls().ranges == 1).await;
    let written = clock::now();
    wait_until(|| clock::now().since(written) > orders::ORDER_TIMEOUT).await;
    store.set_unresponsive(false);
    // Another engine gets an order later: by the time that this order arrives, the first one would have arrived.
    add_engine(&shared, &engine, 9);
    engine.wait_for(|log| !log.requests.is_empty()).await;
    assert_eq!(engine.log().requests[0].header("x-expect"), Some("e9"));
}

fn record(engine: &str, revision: u64) -> Item {
    Item {
        key: format!("orders/{engine}"),
        value: Bytes::from_static(br#"{"holder":"one/1","reader":true}"#),
        revision: rev(revision),
        created: rev(revision),
    }
}

/// Guards against sending requests to an engine that is about to change its stage. Sequence: a snapshot that lags
/// behind doesn't contain the engine's record yet. Only a later snapshot removes a record; a record that was created
/// again has its new revision.
#[test]
fn records_as_of_revision() {
    let translate = TestDialect::new();
    let mut records = OrderRecords::default();
    records.on_item(Time::ZERO, &translate, &record("e1", 7));
    records.on_item(Time::ZERO, &translate, &record("e2", 9));
    records.on_snapshot(Time::ZERO, &translate, rev(8), &[record("e1", 7)]);
    assert_eq!(
        (records.revision("e1"), records.revision("e2")),
        (Some(rev(7)), Some(rev(9)))
    );
    records.on_item(Time::ZERO, &translate, &record("e1", 12));
    records.on_snapshot(Time::ZERO, &translate, rev(12), &[record("e1", 12)]);
    assert_eq!(
        (records.revision("e1"), records.revision("e2")),
        (Some(rev(12)), None)
    );
    assert_eq!(records.stages().len(), 1);
}
