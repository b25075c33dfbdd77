//! Requests that crash engines, with real processes: engines lost are counted, neighbours must be whole.

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

/// One request after another takes the engines down until nobody is served. Order: a request crashes its
/// engine, is resumed on the next, and its caller repeats it through each instance the moment it hears.
/// Cause: no instance knows what the request did before, or not in time.
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

/// The neighbours of a poisonous request get half answers, or are refused as if they were poisonous.
/// Order: two poisonous requests crash engines on which others stream. Cause: whatever ran on a crashed engine
/// is blamed, or two suspects run on one engine and the wrong one is blamed.
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

/// The platform is out; a poisonous request takes two engines, its caller repeats it through another
/// instance and takes two more. Cause: the conviction only goes through the key-value service.
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

/// An innocent request is refused because its engine was killed under it. Order: an engine is killed while a
/// request streams; the request runs again, alone, to its end. Cause: one crash is taken for proof.
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

/// A request is refused for good because engines closed its connections. Order: both engines break off in
/// mid-answer, again and again, and go on running. Cause: a broken connection is taken for a crash.
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

/// Requests come under suspicion because an operator stopped an engine. Order: an engine is withdrawn and its
/// process ended while it streams. Cause: a planned stop is taken for a crash.
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

/// An operator pardons a request after the engines were mended, and it is still refused. Order: it crashes two
/// engines and is convicted; the operator pardons it; it is sent again. Cause: an instance keeps a record of
/// its own of the conviction.
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
        // Only the first of them runs: it crashes two more engines, since none was mended.
        assert_eq!(fleet.exited_engines() > before, index == 1, "instance {index}");
    }
}

/// An operator's own quarantine holds on every instance, and so does its end.
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
