//! Tests with real processes. The stand-in engines record every order that they receive, and the tests check that
//! record.

use std::cell::Cell;
use std::collections::BTreeMap;

use sequoiastream_core::config::Role;
use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_standin::engine::EngineFault;
use sequoiastream_standin::engine::OrderRecord;
use sequoiastream_standin::engine::expected_text;
use sequoiastream_standin::platform::Fault;
use sequoiastream_standin::platform::Stats;
use sequoiastream_testsupport::delay::Relay;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::FleetBuilder;
use sequoiastream_testsupport::fleet::MODEL;
use sequoiastream_testsupport::http;
use sequoiastream_testsupport::process::Process;
use sequoiastream_upstream::wire::LoadBody;
use uuid::Uuid;

use crate::support::fleet;

/// Two daemons and one engine, with a short lease and fast role changes.
fn small_fleet(fencing: &str) -> FleetBuilder {
    fleet()
        .daemons(2)
        .daemon_arg("--lease-ms=1000")
        .engine_arg("--away=100")
        .engine_arg(&format!("--fencing={fencing}"))
        .placement(&format!("fencing {fencing}"))
}

/// The small fleet, configured so that its engine is reached through a relay that can delay requests.
async fn fleet_with_relay(fencing: &str) -> (Fleet, Relay) {
    let fleet = small_fleet(fencing).start().await;
    let engine = fleet.engines[0].address();
    let relay = Relay::start(engine).await;
    let text = fleet
        .statements()
        .replace(&engine.to_string(), &relay.address().to_string());
    let version = fleet.apply(0, &text).await;
    fleet.wait_for_version(version).await;
    (fleet, relay)
}

/// Makes the holder send an order that the relay keeps back.
async fn send_delayed_order(fleet: &Fleet, relay: &Relay, index: usize) {
    relay.hold_next(1);
    fleet.apply(index, "set engine e0 role decode").await;
    relay.wait_for_held(1).await;
}

/// The rows of the table that a query returns, by their first cell; `None` if the query failed.
async fn table_rows(fleet: &Fleet, index: usize, text: &str) -> Option<BTreeMap<String, Vec<String>>> {
    let reply = fleet.statement(index, Uuid::new_v4(), text).await;
    match reply.status {
        200 => match reply.json() {
            ReplyBody::Table(table) => Some(table.rows.into_iter().map(|r| (r[0].clone(), r)).collect()),
            _ => panic!("statement `{text}` did not return a table"),
        },
        _ => None,
    }
}

/// Waits until daemon `index` reports an instance other than `except` as the holder of the lease; returns the holder's
/// index.
async fn wait_for_holder(fleet: &Fleet, index: usize, except: Option<usize>) -> usize {
    let found = http::until("an instance holds the lease", || async {
        let rows = table_rows(fleet, index, "show leases").await?;
        let row = rows.get("assistente")?;
        let of = |cell: &String| cell.strip_prefix('i')?.parse::<usize>().ok();
        let lease = of(&row[1])?;
        (Some(lease) != except && of(&row[2]) == Some(lease)).then_some(lease)
    });
    found.await
}

/// Waits until the last order to `e0` has this sequence number and is in this phase.
async fn wait_for_phase(fleet: &Fleet, index: usize, sequence: u64, phase: &str) {
    http::until("the order reaches the expected phase", || async {
        let rows = table_rows(fleet, index, "show orders").await?;
        let row = rows.get("e0")?;
        (row[2] == sequence.to_string() && row[6] == phase).then_some(())
    })
    .await;
}

async fn engine_orders(engine: &Process) -> Vec<OrderRecord> {
    http::read(&format!("{}/control/orders", engine.url())).await
}

async fn wait_for_role(engine: &Process, role: Role) {
    let url = format!("{}/v1/load", engine.url());
    http::until("the engine has the expected role", || async {
        let load: LoadBody = http::read(&url).await;
        (load.role == role && !load.away).then_some(())
    })
    .await;
}

async fn set_engine_fault(engine: &Process, fault: &EngineFault) {
    let url = format!("{}/control/fault", engine.url());
    http::send("PUT", &url, &[], fault).await;
}

/// Checks that no two orders that took effect conflict, and that no order of a stale holder took effect.
fn assert_orders_consistent(orders: &[OrderRecord]) {
    let applied: Vec<_> = orders.iter().filter(|o| o.applied).map(|o| &o.order).collect();
    for pair in applied.windows(2) {
        assert!(
            pair[0].sequence <= pair[1].sequence,
            "an older order took effect after a newer one: {orders:#?}"
        );
        assert!(
            pair[0].fence <= pair[1].fence,
            "a stale holder's order took effect: {orders:#?}"
        );
        if pair[0].sequence == pair[1].sequence {
            assert_eq!(
                (&pair[0].id, &pair[0].target),
                (&pair[1].id, &pair[1].target),
                "two different orders have the same sequence number: {orders:#?}"
            );
        }
    }
}

/// An operator changes an engine's role while a caller's answer streams from it. The caller must get the complete
/// answer: the engine is changed only once no request runs there. Without the drain the answer would be cut off,
/// because a change ends the running requests.
#[actix_web::test]
async fn role_change_drains() {
    let fleet = small_fleet("checked").start_configured().await;
    let index = wait_for_holder(&fleet, 0, None).await;
    let (reply, ()) = futures_util::join!(fleet.complete(1 - index, "long check", 400, 3), async {
        let url = format!("{}/v1/load", fleet.engines[0].url());
        http::until("the answer streams", || async {
            let load: LoadBody = http::read(&url).await;
            (load.running > 0).then_some(())
        })
        .await;
        fleet.apply(0, "set engine e0 role decode").await;
    });
    assert_eq!(reply.outcome.as_deref(), Some("whole"));
    let body: serde_json::Value = reply.json();
    assert_eq!(body["choices"][0]["text"], expected_text(3, "long check", 1, 400));
    wait_for_role(&fleet.engines[0], Role::Decode).await;
    let cut: u64 = http::read(&format!("{}/control/cut", fleet.engines[0].url())).await;
    assert_eq!(cut, 0);
    wait_for_phase(&fleet, 0, 1, "answered").await;
    assert_eq!(engine_orders(&fleet.engines[0]).await.len(), 1);
}

/// A holder is paused while its order is in flight. Another instance takes over and sends the same engine a new order.
/// The paused holder's order arrives after that, and the engine, which checks fencing tokens, must refuse it.
#[actix_web::test]
async fn paused_holder_checked() {
    let (fleet, relay) = fleet_with_relay("checked").await;
    let first = wait_for_holder(&fleet, 0, None).await;
    let other = 1 - first;
    send_delayed_order(&fleet, &relay, other).await;
    fleet.daemons[first].signal("STOP");
    assert_eq!(wait_for_holder(&fleet, other, Some(first)).await, other);
    wait_for_phase(&fleet, other, 1, "answered").await;
    fleet.apply(other, "set engine e0 role prefill").await;
    wait_for_phase(&fleet, other, 2, "answered").await;
    relay.release_held();
    http::until("the late order arrives", || async {
        (engine_orders(&fleet.engines[0]).await.len() == 3).then_some(())
    })
    .await;
    fleet.daemons[first].signal("CONT");
    wait_for_holder(&fleet, first, None).await;
    let orders = engine_orders(&fleet.engines[0]).await;
    assert_orders_consistent(&orders);
    assert!(!orders[2].applied, "{orders:#?}");
    wait_for_role(&fleet.engines[0], Role::Prefill).await;
}

/// The same with an engine that ignores fencing tokens, where nothing would stop the late order. The successor must
/// therefore send no order while the first one may still arrive, and continue once the engine's report shows the first
/// one.
#[actix_web::test]
async fn paused_holder_ignored() {
    let (fleet, relay) = fleet_with_relay("ignored").await;
    let first = wait_for_holder(&fleet, 0, None).await;
    let other = 1 - first;
    send_delayed_order(&fleet, &relay, other).await;
    fleet.daemons[first].signal("STOP");
    wait_for_holder(&fleet, other, Some(first)).await;
    let version = fleet.apply(other, "set engine e0 role prefill").await;
    wait_for_counter(&fleet.daemons[other], "sequoiastream_orders_unsettled_total").await;
    wait_for_phase(&fleet, other, 1, "open").await;
    assert_eq!(engine_orders(&fleet.engines[0]).await.len(), 0);
    relay.release_held();
    wait_for_phase(&fleet, other, 2, "answered").await;
    fleet.daemons[first].signal("CONT");
    fleet.wait_for_version(version).await;
    let orders = engine_orders(&fleet.engines[0]).await;
    assert_orders_consistent(&orders);
    let sequences: Vec<u64> = orders.iter().map(|o| o.order.sequence).collect();
    assert_eq!(sequences, [1, 2]);
    wait_for_role(&fleet.engines[0], Role::Prefill).await;
}

/// Waits until a counter of a daemon is greater than zero.
async fn wait_for_counter(daemon: &Process, name: &str) {
    let url = format!("{}/metrics", daemon.url());
    http::until("the counter is not zero", || async {
        let page = http::text(&url).await;
        let value = page.lines().find_map(|line| line.strip_prefix(name))?;
        (value.trim() != "0").then_some(())
    })
    .await;
}

/// A holder is killed while an order is in flight that never arrives. The engine ignores fencing tokens, so nothing
/// shows that the order can no longer arrive: the engine keeps serving in its role until an operator releases the
/// order.
#[actix_web::test]
async fn killed_holder_released() {
    let (mut fleet, relay) = fleet_with_relay("ignored").await;
    let first = wait_for_holder(&fleet, 0, None).await;
    let other = 1 - first;
    send_delayed_order(&fleet, &relay, other).await;
    fleet.daemons[first].kill();
    wait_for_holder(&fleet, other, Some(first)).await;
    wait_for_counter(&fleet.daemons[other], "sequoiastream_orders_unsettled_total").await;
    let reply = fleet.complete(other, "still served", 4, 9).await;
    assert_eq!(reply.outcome.as_deref(), Some("whole"));
    assert_eq!(engine_orders(&fleet.engines[0]).await.len(), 0);
    fleet.apply(other, "release order e0 sequence 1").await;
    wait_for_phase(&fleet, other, 2, "answered").await;
    let rows = table_rows(&fleet, other, "show changes").await.expect("a table");
    let audited = rows
        .values()
        .any(|row| row.iter().any(|c| c == "release order e0 sequence 1"));
    assert!(audited, "{rows:#?}");
    wait_for_role(&fleet.engines[0], Role::Decode).await;
    assert_orders_consistent(&engine_orders(&fleet.engines[0]).await);
}

/// An instance takes over an authority and opens an order. The answers to these writes are lost after the writes took
/// effect, so often that the client gives up. The order must be sent nevertheless, and only once.
#[actix_web::test]
async fn answers_lost() {
    let fleet = small_fleet("ignored")
        .daemon_arg("--kv-deadline-ms=100")
        .start()
        .await;
    let version = fleet.apply(0, &fleet.statements()).await;
    lose_answers(&fleet, 1, "lease/").await;
    fleet.wait_for_version(version).await;
    let index = wait_for_holder(&fleet, 0, None).await;
    lose_answers(&fleet, 4, "authority/").await;
    fleet.apply(index, "set engine e0 role decode").await;
    wait_for_phase(&fleet, 0, 1, "answered").await;
    let orders = engine_orders(&fleet.engines[0]).await;
    assert_orders_consistent(&orders);
    assert_eq!(orders.len(), 1);
}

/// Makes the key-value service lose the answers to the next `lose` writes of keys that begin with `only`, which take
/// effect nevertheless.
async fn lose_answers(fleet: &Fleet, lose: u32, only: &str) {
    let fault = Fault {
        lose,
        only: only.to_string(),
        ..Fault::default()
    };
    fleet.platform_fault(&fault).await;
}

/// The key-value service has an outage while an order is in flight, and the outage outlasts the lease. The order took
/// effect; no instance may send another one until the service is back and the first one is no longer recorded as open.
#[actix_web::test]
async fn kv_down_in_the_middle() {
    for fencing in ["checked", "ignored"] {
        let (fleet, relay) = fleet_with_relay(fencing).await;
        let first = wait_for_holder(&fleet, 0, None).await;
        send_delayed_order(&fleet, &relay, first).await;
        let outage = Fault {
            outage: true,
            ..Fault::default()
        };
        fleet.platform_fault(&outage).await;
        relay.release_held();
        wait_for_role(&fleet.engines[0], Role::Decode).await;
        let metrics_url = format!("{}/metrics", fleet.daemons[first].url());
        http::until("the holder no longer considers itself the holder", || async {
            let page = http::text(&metrics_url).await;
            page.contains("sequoiastream_authorities_believed 0")
                .then_some(())
        })
        .await;
        assert_eq!(engine_orders(&fleet.engines[0]).await.len(), 1);
        fleet.platform_fault(&Fault::default()).await;
        wait_for_holder(&fleet, 0, None).await;
        fleet.apply(0, "set engine e0 role mixed").await;
        wait_for_phase(&fleet, 0, 2, "answered").await;
        assert_orders_consistent(&engine_orders(&fleet.engines[0]).await);
    }
}

/// The engine crashes during a change and restarts in its initial state. An engine that checks fencing tokens is sent
/// the same order again; one that ignores them gets no order until an operator states, by releasing the first order,
/// that it can no longer arrive.
#[actix_web::test]
async fn engine_crash_mid_change() {
    for (fencing, sequence) in [("checked", 1), ("ignored", 2)] {
        let mut fleet = small_fleet(fencing).start_configured().await;
        let index = wait_for_holder(&fleet, 0, None).await;
        let crash = EngineFault {
            crash: true,
            ..EngineFault::default()
        };
        set_engine_fault(&fleet.engines[0], &crash).await;
        fleet.apply(0, "set engine e0 role decode").await;
        fleet.engines[0].wait();
        fleet.restart_engine(0);
        if fencing == "ignored" {
            wait_for_counter(&fleet.daemons[index], "sequoiastream_orders_unsettled_total").await;
            fleet.apply(0, "release order e0 sequence 1").await;
        }
        wait_for_phase(&fleet, 0, sequence, "answered").await;
        wait_for_role(&fleet.engines[0], Role::Decode).await;
        let orders = engine_orders(&fleet.engines[0]).await;
        assert_orders_consistent(&orders);
        assert_eq!(orders.len(), 1, "{orders:#?}");
    }
}

/// Operators change the roles of both engines while callers keep sending requests through both instances. Every answer
/// must be complete and both changes must take place: the instances route no requests to an engine on hold, so its
/// running requests end.
#[actix_web::test]
async fn role_changes_under_load() {
    change_roles_under_load(small_fleet("checked")).await;
}

/// The same with changes that take longer than the interval between two load reports, so that every instance learns that
/// the first engine is unavailable. Guards against callers that are refused for lack of engines: the change of the
/// second engine begins while some instances haven't learned yet that the first one is back.
#[actix_web::test]
async fn role_changes_slow() {
    let builder = fleet()
        .daemons(2)
        .daemon_arg("--lease-ms=1000")
        .engine_arg("--away=700");
    change_roles_under_load(builder).await;
}

async fn change_roles_under_load(builder: FleetBuilder) {
    const CALLERS: usize = 6;
    let fleet = builder.engines(2).start_configured().await;
    wait_for_holder(&fleet, 0, None).await;
    let changed = std::cell::Cell::new(false);
    let callers = (0..CALLERS).map(|caller| {
        let (fleet, changed) = (&fleet, &changed);
        async move {
            let mut answers = 0;
            while !changed.get() {
                let reply = fleet.complete(caller % 2, "short turn", 40, caller as u64).await;
                assert_eq!(reply.outcome.as_deref(), Some("whole"), "{reply:?}");
                answers += 1;
            }
            answers
        }
    });
    let change = async {
        fleet
            .apply(0, "set engine e0 role decode; set engine e1 role decode")
            .await;
        for engine in &fleet.engines {
            wait_for_role(engine, Role::Decode).await;
        }
        changed.set(true);
    };
    let (answers, ()) = futures_util::join!(futures_util::future::join_all(callers), change);
    assert!(answers.iter().all(|count| *count > 0), "{answers:?}");
    for engine in &fleet.engines {
        let cut: u64 = http::read(&format!("{}/control/cut", engine.url())).await;
        assert_eq!(cut, 0);
        let orders = engine_orders(engine).await;
        assert_orders_consistent(&orders);
        assert_eq!(orders.len(), 1, "{orders:#?}");
    }
}

/// An engine is to load another model while the weight store refuses reads: an order sent now would make the engine
/// unavailable for as long as the store refuses them. The order must wait until the store accepts reads.
#[actix_web::test]
async fn load_waits_for_weights() {
    let fleet = small_fleet("checked").engine_arg("--model=old-7b").start().await;
    let throttle = Fault {
        throttle: true,
        ..Fault::default()
    };
    fleet.platform_fault(&throttle).await;
    fleet.apply(0, &fleet.statements()).await;
    let stats = format!("{}/control/stats", fleet.platform.url());
    http::until("the weight store was asked twice", || async {
        let stats: Stats = http::read(&stats).await;
        (stats.calls.get("weights").copied() >= Some(2)).then_some(())
    })
    .await;
    assert_eq!(engine_orders(&fleet.engines[0]).await.len(), 0);
    fleet.platform_fault(&Fault::default()).await;
    wait_for_phase(&fleet, 0, 1, "answered").await;
    let orders = engine_orders(&fleet.engines[0]).await;
    assert_eq!((orders.len(), orders[0].order.target.model.as_str()), (1, MODEL));
}

/// An instance that shuts down releases its lease. Otherwise changes would wait until the lease expires, here after a
/// minute, which is longer than this test waits.
#[actix_web::test]
async fn leaving_holder_resigns() {
    let fleet = fleet()
        .daemons(2)
        .daemon_arg("--lease-ms=60000")
        .daemon_arg("--keep-ms=50")
        .daemon_arg("--margin-ms=50")
        .daemon_arg("--refuse-ms=50")
        .start_configured()
        .await;
    let first = wait_for_holder(&fleet, 0, None).await;
    fleet.daemons[first].signal("TERM");
    assert_eq!(wait_for_holder(&fleet, 1 - first, Some(first)).await, 1 - first);
}

/// An instance is paused while a caller's answer streams through it, and an operator changes the engine's role. The
/// paused instance can't say whether it has requests in flight. Once the holder no longer waits for it, the engine's
/// own report must still delay the change until the answer has ended, so that the caller gets the complete answer when
/// the instance continues.
#[actix_web::test]
async fn role_change_paused_instance() {
    let fleet = small_fleet("checked").start_configured().await;
    let index = wait_for_holder(&fleet, 0, None).await;
    let (reply, ()) = futures_util::join!(fleet.complete(1 - index, "long check", 1_400, 5), async {
        let url = format!("{}/v1/load", fleet.engines[0].url());
        http::until("the answer streams", || async {
            let load: LoadBody = http::read(&url).await;
            (load.running > 0).then_some(())
        })
        .await;
        fleet.daemons[1 - index].signal("STOP");
        fleet.apply(index, "set engine e0 role decode").await;
        wait_for_role(&fleet.engines[0], Role::Decode).await;
        fleet.daemons[1 - index].signal("CONT");
    });
    assert_eq!(reply.outcome.as_deref(), Some("whole"), "{reply:?}");
    let cut: u64 = http::read(&format!("{}/control/cut", fleet.engines[0].url())).await;
    assert_eq!(cut, 0);
}

/// An engine's report must count an answer whose last token is still being computed. Failure guarded against: an engine
/// begins the step that ends its last answer; until the step is over, its report says that no request runs, because an
/// answer that still has a token to come is not counted; the holder takes the engine for empty and changes it, which
/// cuts off the answer.
#[actix_web::test]
async fn report_counts_last_step() {
    let fleet = fleet()
        .daemons(1)
        .engine_arg("--prefill-rate=10")
        .start_configured()
        .await;
    let url = format!("{}/v1/load", fleet.engines[0].url());
    // The prefill and the only output token are one step, which takes a second.
    let prompt = ["word"; 10].join(" ");
    let answered = Cell::new(false);
    let ask = async {
        let reply = fleet.complete(0, &prompt, 1, 5).await;
        answered.set(true);
        reply
    };
    let look = http::until("the engine runs the request or has answered", || async {
        let load: LoadBody = http::read(&url).await;
        (load.running > 0 || answered.get()).then_some(load.running > 0)
    });
    let (reply, was_running) = futures_util::join!(ask, look);
    assert_eq!(reply.outcome.as_deref(), Some("whole"), "{reply:?}");
    assert!(
        was_running,
        "the engine reported no running request before it had answered"
    );
}
