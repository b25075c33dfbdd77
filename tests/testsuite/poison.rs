//! Requests that crash engines, with real processes: lost engines are counted, concurrent requests must complete.

use sequoiastream_core::poison::Fingerprint;
use sequoiastream_standin::engine::EngineFault;
use sequoiastream_standin::engine::expected_text;
use sequoiastream_standin::platform::Fault;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::MODEL;
use sequoiastream_testsupport::http;
use sequoiastream_testsupport::http::Reply;

use crate::support::fleet;

async fn deployment(engines: usize, daemons: usize) -> Fleet {
    let fleet = fleet().engines(engines).daemons(daemons).start_configured().await;
    fleet.wait_for_peers().await;
    fleet
}

fn fingerprint(prompt: &str, limit: u32) -> Fingerprint {
    let product = "dispatch".parse().expect("a name");
    Fingerprint::of(&product, MODEL, prompt, limit)
}

fn is_convicted(reply: &Reply) -> bool {
    (reply.status, reply.outcome.as_deref()) == (422, Some("failed"))
}

/// Guards against a request that crashes every engine in turn until nobody is served. It crashes its engine, is resumed
/// on the next, and its caller repeats it through each instance as soon as it gets the answer, while no instance
/// knows, or knows in time, what the request did before.
#[actix_web::test]
async fn convict_repeated_everywhere() {
    for prompt in ["calc poison:3 please", "calc poison:60 late"] {
        let mut fleet = deployment(5, 3).await;
        let first = fleet.complete(0, prompt, 80, 1).await;
        assert!(is_convicted(&first), "{first:?}");
        for round in 0..3 {
            for index in [1, 2, 0] {
                let again = fleet.complete(index, prompt, 80, round).await;
                assert!(is_convicted(&again), "instance {index}: {again:?}");
            }
        }
        assert_eq!(fleet.exited_engines(), 2, "{prompt}");
        let innocent = fleet.complete(1, "calc without harm", 20, 4).await;
        assert_eq!(innocent.outcome.as_deref(), Some("whole"));
    }
}

/// Guards against requests that run beside a poisonous request being truncated, or refused as poisonous. Two poisonous
/// requests crash engines on which others stream. It happens if every request on a crashed engine is blamed, or if
/// two suspects run on one engine and the wrong one is blamed.
#[actix_web::test]
async fn convict_two_with_neighbours() {
    let mut fleet = deployment(7, 2).await;
    let ask = |index: usize| {
        let fleet = &fleet;
        async move {
            let prompt = format!("a plain question number {index}");
            let mut answer = fleet.stream(index % 2, &prompt, 120, index as u64).await;
            answer.read_all().await;
            let expected = expected_text(index as u64, &prompt, 1, 120);
            assert_eq!(answer.text, expected, "neighbour {index}: {answer:?}");
            assert_eq!(answer.outcome.as_deref(), Some("whole"), "neighbour {index}");
        }
    };
    let neighbours = futures_util::future::join_all((0..14).map(ask));
    let poison = |index: usize, prompt: &'static str| {
        let fleet = &fleet;
        async move {
            let reply = fleet.complete(index, prompt, 100, 1).await;
            assert!(is_convicted(&reply), "{reply:?}");
            let reply = fleet.complete(1 - index, prompt, 100, 1).await;
            assert!(is_convicted(&reply), "repeated: {reply:?}");
        }
    };
    let poisons = futures_util::future::join(poison(0, "bad poison:10"), poison(1, "worse poison:30"));
    futures_util::future::join(neighbours, poisons).await;
    let lost = fleet.exited_engines();
    assert!(lost <= 4, "{lost} engines lost to two requests");
}

/// Guards against a poisonous request that crashes two engines, is repeated through another instance and crashes two
/// more during a platform outage, because its conviction is shared only through the key-value service.
#[actix_web::test]
async fn convict_platform_out() {
    let mut fleet = deployment(5, 2).await;
    let out = Fault {
        outage: true,
        ..Fault::default()
    };
    fleet.platform_fault(&out).await;
    let prompt = "poison:2 while the platform is out";
    let fingerprint = fingerprint(prompt, 20);
    for index in [0, 1, 0, 1] {
        let reply = fleet.complete(index, prompt, 20, 1).await;
        assert!(is_convicted(&reply), "instance {index}: {reply:?}");
    }
    assert_eq!(fleet.exited_engines(), 2);
    fleet.platform_fault(&Fault::default()).await;
    http::until("the conviction is written", || async {
        let reply = fleet.statement(1, uuid::Uuid::new_v4(), "show quarantine").await;
        reply.body.contains(&fingerprint.to_string()).then_some(())
    })
    .await;
}

/// Guards against refusing an innocent request because one crash is taken for proof. Its engine is killed while it
/// streams; it must run again, alone, to its end.
#[actix_web::test]
async fn suspect_innocent() {
    let mut fleet = deployment(3, 2).await;
    let prompt = "an innocent question";
    let mut answer = fleet.stream(0, prompt, 150, 3).await;
    answer.read(10).await;
    let serving = fleet.wait_for_serving().await;
    fleet.engines[serving].kill();
    answer.read_all().await;
    assert_eq!(answer.text, expected_text(3, prompt, 1, 150));
    for index in [0, 1] {
        let reply = fleet.complete(index, prompt, 150, 3).await;
        assert_eq!(reply.outcome.as_deref(), Some("whole"), "{reply:?}");
    }
    assert_eq!(fleet.metric(0, "sequoiastream_convictions_total").await, 0.0);
}

/// Guards against permanently refusing a request because broken connections are taken for crashes. Both engines break
/// off in mid-answer repeatedly and continue to run.
#[actix_web::test]
async fn suspect_connections_broken() {
    let fleet = deployment(2, 1).await;
    let ends = EngineFault {
        ends: 3,
        ..EngineFault::default()
    };
    for index in [0, 1] {
        fleet.engine_fault(index, &ends).await;
    }
    let reply = fleet.complete(0, "a question on a bad line", 10, 1).await;
    assert_eq!(
        (reply.status, reply.outcome.as_deref()),
        (502, Some("failed")),
        "{reply:?}"
    );
    for index in [0, 1] {
        fleet.engine_fault(index, &EngineFault::default()).await;
    }
    let reply = fleet.complete(0, "a question on a bad line", 10, 1).await;
    assert_eq!(reply.outcome.as_deref(), Some("whole"), "{reply:?}");
    assert_eq!(fleet.metric(0, "sequoiastream_crashed_streams_total").await, 0.0);
}

/// Guards against suspecting requests because a planned stop is taken for a crash: an operator withdraws an engine and
/// its process ends while it streams.
#[actix_web::test]
async fn suspect_engine_withdrawn() {
    let mut fleet = deployment(2, 1).await;
    let prompt = "a question through a replacement";
    let mut answer = fleet.stream(0, prompt, 150, 3).await;
    answer.read(10).await;
    let serving = fleet.wait_for_serving().await;
    let version = fleet.apply(0, &format!("withdraw engine e{serving}")).await;
    fleet.wait_for_version(version).await;
    fleet.engines[serving].kill();
    answer.read_all().await;
    assert_eq!(answer.text, expected_text(3, prompt, 1, 150));
    assert_eq!(fleet.metric(0, "sequoiastream_crashed_streams_total").await, 0.0);
}

/// Guards against refusing a request that an operator pardoned after the engines were repaired, because an instance
/// keeps its own record of the conviction. The request crashes two engines, is convicted and pardoned, and is sent
/// again.
#[actix_web::test]
async fn pardon_runs_again() {
    let mut fleet = deployment(5, 2).await;
    let prompt = "poison:2 until mended";
    let reply = fleet.complete(0, prompt, 10, 1).await;
    assert!(is_convicted(&reply), "{reply:?}");
    let fingerprint = fingerprint(prompt, 10);
    let version = fleet.apply(1, &format!("pardon fingerprint {fingerprint}")).await;
    fleet.wait_for_version(version).await;
    for index in [1, 0] {
        let before = fleet.exited_engines();
        let reply = fleet.complete(index, prompt, 10, 1).await;
        assert!(is_convicted(&reply), "{reply:?}");
        // Only the first of them runs: it crashes two more engines, since none was repaired.
        assert_eq!(fleet.exited_engines() > before, index == 1, "instance {index}");
    }
}

/// A quarantine set by an operator takes effect on every instance, and so does its removal.
#[actix_web::test]
async fn quarantine_by_operator() {
    let fleet = deployment(1, 2).await;
    let prompt = "accused but innocent";
    let fingerprint = fingerprint(prompt, 10);
    let version = fleet
        .apply(0, &format!("quarantine fingerprint {fingerprint}"))
        .await;
    fleet.wait_for_version(version).await;
    for index in [0, 1] {
        let reply = fleet.complete(index, prompt, 10, 1).await;
        assert!(is_convicted(&reply), "{reply:?}");
    }
    let version = fleet.apply(1, &format!("pardon fingerprint {fingerprint}")).await;
    fleet.wait_for_version(version).await;
    for index in [0, 1] {
        let reply = fleet.complete(index, prompt, 10, 1).await;
        assert_eq!(reply.outcome.as_deref(), Some("whole"), "{reply:?}");
    }
}
