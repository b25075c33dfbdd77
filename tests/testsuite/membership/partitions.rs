//! Fleets of which a part is disconnected from the platform or from other instances, or paused.

use std::time::Duration;
use std::time::Instant;

use sequoiastream_kv::ListEntry;
use sequoiastream_kv::ListedState;
use sequoiastream_standin::platform::Fault;
use sequoiastream_testsupport::answer::Answer;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::http;
use serde_json::Value;

use crate::membership::name;
use crate::support::column;
use crate::support::quick_fleet;
use crate::support::wait_for_members;
use crate::support::wait_for_standing;

/// Time after which a leaving upstream gets no new work.
const PROMISE: Duration = Duration::from_secs(3);

fn partition(names: &[&str]) -> Fault {
    Fault {
        cut: names.iter().map(|n| n.to_string()).collect(),
        ..Fault::default()
    }
}

fn outage() -> Fault {
    Fault {
        outage: true,
        ..Fault::default()
    }
}

async fn refusal(fleet: &Fleet, index: usize) -> (u16, Value) {
    let reply = fleet.complete(index, "which crossover", 3, 1).await;
    let body: Value = reply.json();
    (reply.status, body["error"]["reason"].clone())
}

/// An instance loses both the key-value service and its peer, so it cannot learn that operators drain engines through
/// other instances. After the stale limit it must refuse new work, and report correctly that nothing ran; once
/// reconnected, it must serve again.
#[actix_web::test]
async fn serve_isolated() {
    let fleet = quick_fleet().daemons(2).start_configured().await;
    wait_for_members(&fleet).await;
    fleet.platform_fault(&partition(&["i0"])).await;
    fleet.daemons[1].signal("STOP");
    wait_for_standing(&fleet, 0, "isolated").await;
    let before = fleet.attempts_served(0).await;
    assert_eq!(refusal(&fleet, 0).await, (503, "isolated".into()));
    assert_eq!(fleet.attempts_served(0).await, before, "`not-run` is true");
    fleet.daemons[1].signal("CONT");
    wait_for_standing(&fleet, 0, "current").await;
    assert_eq!(fleet.complete(0, "which crossover", 3, 1).await.status, 200);
}

/// The key-value service is unavailable to all instances. No instance can accept a change, and all listed instances
/// hear each other: continuing to serve is safe, and stopping would only make the fleet useless.
#[actix_web::test]
async fn serve_outage() {
    let fleet = quick_fleet().daemons(3).start_configured().await;
    wait_for_members(&fleet).await;
    fleet.platform_fault(&outage()).await;
    for index in 0..3 {
        wait_for_standing(&fleet, index, "outage").await;
        assert_eq!(fleet.complete(index, "which crossover", 3, 1).await.status, 200);
    }
}

/// The key-value service is unavailable and one listed instance is silent. It may have crashed, or it may be on the
/// other side of a network partition, where it reaches the service and accepts changes. The other instances must stop
/// serving, or continue if operators configured that.
#[actix_web::test]
async fn serve_cut() {
    for (rule, standing, status) in [("stop", "cut", 503), ("serve", "guessing", 200)] {
        let fleet = quick_fleet().daemons(3).daemon_arg(&format!("--on-cut={rule}"));
        let fleet = fleet.start_configured().await;
        wait_for_members(&fleet).await;
        fleet.platform_fault(&outage()).await;
        fleet.daemons[2].signal("STOP");
        wait_for_standing(&fleet, 0, standing).await;
        let reply = fleet.complete(0, "which crossover", 3, 1).await;
        assert_eq!(reply.status, status, "{rule}");
    }
}

async fn list_leaving(fleet: &Fleet, index: usize) {
    let listed = ListEntry {
        name: name(&format!("machine-{index}")),
        zone: name("lodi-a"),
        address: fleet.engines[index].address(),
        peer: None,
        state: ListedState::Leaving,
    };
    let url = format!("{}/control/list/upstreams", fleet.platform.url());
    http::send("PUT", &url, &[], &listed).await;
}

/// Waits until no daemon sends work to the only engine, and checks that none does so afterwards.
async fn wait_until_unused(fleet: &Fleet) {
    for index in 0..3 {
        http::until("the engine gets no work", || async {
            let reply = fleet.complete(index, "which crossover", 1, 1).await;
            (reply.status != 200).then_some(())
        })
        .await;
    }
    let before = fleet.attempts_served(0).await;
    for index in 0..3 {
        assert_eq!(refusal(fleet, index).await, (503, "no-engine".into()));
    }
    assert_eq!(fleet.attempts_served(0).await, before, "new work came after all");
}

/// Starts one long stream through each daemon.
async fn long_streams(fleet: &Fleet) -> Vec<Answer> {
    let mut streams = Vec::new();
    for index in 0..3 {
        streams.push(fleet.stream(index, "a long stream", 900, index as u64).await);
    }
    streams
}

async fn check_completed(streams: Vec<Answer>) {
    for mut stream in streams {
        stream.read_all().await;
        assert_eq!((stream.outcome.as_deref(), stream.tokens), (Some("whole"), 900));
    }
}

/// The platform's list marks an engine's machine as leaving. It must get no new work within 3 s, even from an instance
/// that is disconnected from the platform; streams that already run there complete.
#[actix_web::test]
async fn leave_upstream_cut_instance() {
    let fleet = quick_fleet().daemons(3).start_configured().await;
    wait_for_members(&fleet).await;
    fleet.platform_fault(&partition(&["i2"])).await;
    let streams = long_streams(&fleet).await;
    let listed = Instant::now();
    list_leaving(&fleet, 0).await;
    wait_until_unused(&fleet).await;
    assert!(listed.elapsed() < PROMISE, "{:?}", listed.elapsed());
    check_completed(streams).await;
}

/// An operator withdraws an engine while it serves streams and one instance is disconnected from the platform. The
/// engine must get no new work within 3 s of the accepted change; its streams complete.
#[actix_web::test]
async fn withdraw_engine_cut_instance() {
    let fleet = quick_fleet().daemons(3).start_configured().await;
    wait_for_members(&fleet).await;
    fleet.platform_fault(&partition(&["i2"])).await;
    let streams = long_streams(&fleet).await;
    fleet.apply(0, "withdraw engine e0").await;
    let accepted = Instant::now();
    wait_until_unused(&fleet).await;
    assert!(accepted.elapsed() < PROMISE, "{:?}", accepted.elapsed());
    check_completed(streams).await;
}

/// An instance is paused while an operator drains an engine, and callers' requests queue in its sockets. When it
/// resumes, it must not route them by its outdated configuration: none may reach the drained engine.
#[actix_web::test]
async fn drain_paused_instance() {
    let fleet = quick_fleet()
        .daemon_arg("--asleep-ms=400")
        .daemons(2)
        .engines(2)
        .start_configured()
        .await;
    wait_for_members(&fleet).await;
    fleet.daemons[0].signal("STOP");
    let waiting = (0..12).map(|seed| fleet.complete(0, "short turn", 3, seed));
    let others = async {
        let version = fleet.apply(1, "drain engine e0").await;
        let in_force = || async {
            let seen = column(&fleet, 1, "show instances where instance = i1", "version").await;
            (seen == [version.to_string()]).then_some(())
        };
        http::until("the change is in force at the other", in_force).await;
        let silent = || async {
            let seen = column(&fleet, 1, "show instances where instance = i0", "state").await;
            (seen == ["silent"]).then_some(())
        };
        http::until("the paused one is missed", silent).await;
        let served = fleet.attempts_served(0).await;
        fleet.daemons[0].signal("CONT");
        served
    };
    let (replies, served) = futures_util::join!(futures_util::future::join_all(waiting), others);
    assert_eq!(
        fleet.attempts_served(0).await,
        served,
        "the drained engine got work"
    );
    for reply in replies {
        let outcome = reply.outcome.as_deref();
        assert!(matches!(outcome, Some("whole" | "not-run")), "{reply:?}");
    }
    fleet.wait_until_ready().await;
}
