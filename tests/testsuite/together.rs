//! Planned changes and planned stops that coincide with failures.

use sequoiastream_operator::wire::ReplyBody;
use sequoiastream_standin::engine::expected_text;
use sequoiastream_standin::platform::Fault;
use sequoiastream_testsupport::answer::Answer;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::http;
use uuid::Uuid;

use crate::support::column;
use crate::support::quick_fleet;
use crate::support::quick_fleet_keeping;
use crate::support::wait_for_members;

const PROMPT: &str = "how many kilos of pellets for forty boxes";

/// Platform faults that coincide with a planned change.
fn platform_faults() -> Vec<(&'static str, Fault)> {
    let fault = Fault::default;
    vec![
        (
            "outage",
            Fault {
                outage: true,
                ..fault()
            },
        ),
        (
            "slow",
            Fault {
                delay: 300,
                ..fault()
            },
        ),
        (
            "answers lost",
            Fault {
                lose: 1_000,
                ..fault()
            },
        ),
        (
            "one instance cut",
            Fault {
                cut: vec!["i0".to_string()],
                ..fault()
            },
        ),
    ]
}

/// Starts a stream of `limit` tokens through every instance of `fleet`.
async fn streams(fleet: &Fleet, limit: u32) -> Vec<Answer> {
    let mut streams = Vec::new();
    for index in 0..fleet.daemons.len() {
        let mut stream = fleet.stream(index, PROMPT, limit, index as u64).await;
        stream.read(1).await;
        streams.push(stream);
    }
    streams
}

/// Reads `streams` to their end and checks that each is complete, byte for byte.
async fn assert_whole(streams: Vec<Answer>, limit: u32, what: &str) {
    for (seed, mut stream) in streams.into_iter().enumerate() {
        stream.read_all().await;
        assert_eq!(stream.outcome.as_deref(), Some("whole"), "{what}: {stream:?}");
        assert_eq!(
            stream.text,
            expected_text(seed as u64, PROMPT, 1, limit),
            "{what}"
        );
    }
}

/// Returns the index of the instance that holds the authority of `assistente`.
async fn holder(fleet: &Fleet) -> usize {
    http::until("an instance holds the lease", || async {
        let leases = column(fleet, 0, "show leases", "lease").await;
        leases.first()?.strip_prefix('i')?.parse().ok()
    })
    .await
}

/// An operator stops an instance, as for a replacement, while the platform has one of several faults. Callers must
/// not be affected by the combination: the stream ends complete and the process exits by itself, with success.
#[actix_web::test]
async fn stop_platform_faults() {
    for (what, fault) in platform_faults() {
        let mut fleet = quick_fleet_keeping(100).daemons(2).start_configured().await;
        wait_for_members(&fleet).await;
        let streams = streams(&fleet, 800).await;
        fleet.platform_fault(&fault).await;
        fleet.daemons[0].signal("TERM");
        assert_whole(streams, 800, what).await;
        assert!(fleet.daemons[0].wait().success(), "{what}");
    }
}

/// An instance is paused during its shutdown and then continues. Its stream must still end complete, and it must not
/// exit because of a time limit that passed while it was paused.
#[actix_web::test]
async fn stop_paused() {
    let mut fleet = quick_fleet_keeping(100).daemons(2).start_configured().await;
    wait_for_members(&fleet).await;
    let streams = streams(&fleet, 800).await;
    fleet.daemons[0].signal("TERM");
    fleet.daemons[0].signal("STOP");
    http::until("the other misses it", || async {
        let states = column(&fleet, 1, "show instances where instance = i0", "state").await;
        (states != ["live"] && states != ["leaving"]).then_some(())
    })
    .await;
    fleet.daemons[0].signal("CONT");
    assert_whole(streams, 800, "paused").await;
    assert!(fleet.daemons[0].wait().success());
}

/// An instance is stopped, and shortly afterwards its peer is killed. Streams that the first still serves must end
/// complete.
#[actix_web::test]
async fn stop_peer_killed() {
    let mut fleet = quick_fleet_keeping(100).daemons(2).start_configured().await;
    wait_for_members(&fleet).await;
    let mut stream = fleet.stream(0, PROMPT, 800, 0).await;
    stream.read(1).await;
    fleet.daemons[0].signal("TERM");
    fleet.daemons[1].kill();
    assert_whole(vec![stream], 800, "peer killed").await;
    assert!(fleet.daemons[0].wait().success());
}

/// An operator changes an engine's role while callers stream from it, and the platform fails at that moment. The
/// change may be late or not happen at all, but no answer may be truncated by it.
#[actix_web::test]
async fn role_change_platform_faults() {
    for (what, fault) in platform_faults() {
        let fleet = quick_fleet()
            .daemons(2)
            .engine_arg("--away=100")
            .start_configured()
            .await;
        wait_for_members(&fleet).await;
        holder(&fleet).await;
        let streams = streams(&fleet, 800).await;
        fleet.apply(1, "set engine e0 role decode").await;
        fleet.platform_fault(&fault).await;
        assert_whole(streams, 800, what).await;
        let cut: u64 = http::read(&format!("{}/control/cut", fleet.engines[0].url())).await;
        assert_eq!(cut, 0, "{what}");
    }
}

/// The instance that is to order the role change is killed while it waits for the engine to become idle. Answers that
/// stream from the engine through other instances must end complete, and its successor must make the change.
#[actix_web::test]
async fn role_change_holder_killed() {
    let mut fleet = quick_fleet()
        .daemons(3)
        .daemon_arg("--lease-ms=1000")
        .engine_arg("--away=100")
        .start_configured()
        .await;
    wait_for_members(&fleet).await;
    let first = holder(&fleet).await;
    let others: Vec<usize> = (0..3).filter(|i| *i != first).collect();
    let mut answers = Vec::new();
    for (seed, index) in others.iter().enumerate() {
        let mut stream = fleet.stream(*index, PROMPT, 800, seed as u64).await;
        stream.read(1).await;
        answers.push(stream);
    }
    fleet.apply(others[0], "set engine e0 role decode").await;
    fleet.daemons[first].kill();
    assert_whole(answers, 800, "holder killed").await;
    let url = format!("{}/v1/load", fleet.engines[0].url());
    http::until("the successor changes the engine", || async {
        let load: sequoiastream_upstream::wire::LoadBody = http::read(&url).await;
        (load.role == sequoiastream_core::config::Role::Decode).then_some(())
    })
    .await;
    let cut: u64 = http::read(&format!("{}/control/cut", fleet.engines[0].url())).await;
    assert_eq!(cut, 0);
}

/// An operator drains an engine while one instance is killed and the platform is slow. Once the change is in force on
/// the other instances, the engine gets no new requests; those that run there end complete.
#[actix_web::test]
async fn drain_instance_killed_platform_slow() {
    let mut fleet = quick_fleet().daemons(3).engines(2).start_configured().await;
    wait_for_members(&fleet).await;
    let slow = Fault {
        delay: 200,
        ..Fault::default()
    };
    fleet.platform_fault(&slow).await;
    let streams = streams(&fleet, 600).await;
    let version = fleet.apply(1, "drain engine e0").await;
    fleet.daemons[2].kill();
    fleet.daemons.pop();
    fleet.wait_for_version(version).await;
    let served = fleet.attempts_served(0).await;
    for seed in 0..12 {
        let reply = fleet.complete(seed % 2, PROMPT, 3, seed as u64).await;
        assert_eq!(reply.outcome.as_deref(), Some("whole"), "{reply:?}");
    }
    assert_eq!(fleet.attempts_served(0).await, served);
    let kept = streams.into_iter().take(2).collect();
    assert_whole(kept, 600, "drain").await;
}

/// An operator's command and a retry of it reach two instances at once while answers of the platform are lost: it
/// takes effect once, and streams through the engine that it drains end complete.
#[actix_web::test]
async fn drain_repeated_answers_lost() {
    let fleet = quick_fleet().daemons(2).engines(2).start_configured().await;
    wait_for_members(&fleet).await;
    let streams = streams(&fleet, 600).await;
    let lost = Fault {
        lose: 1,
        ..Fault::default()
    };
    fleet.platform_fault(&lost).await;
    let id = Uuid::now_v7();
    let (one, two) = futures_util::join!(
        fleet.statement(0, id, "drain engine e0"),
        fleet.statement(1, id, "drain engine e0"),
    );
    for reply in [one, two] {
        assert_eq!(reply.status, 200, "{reply:?}");
        let ReplyBody::Accepted(accepted) = reply.json() else {
            panic!("{reply:?}");
        };
        assert_eq!(accepted.version, 2);
    }
    assert_whole(streams, 600, "answers lost").await;
}
