//! When an engine counts as reachable only through a peer, and what follows for the directory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bolero::TypeGenerator;
use sequoiastream::ops::relay::shared::Shared;
use sequoiastream::util::clock;
use sequoiastream_core::relay::directory::Candidate;
use sequoiastream_core::relay::directory::Endpoint;
use sequoiastream_core::relay::directory::offered;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::load_message::LoadMessage;
use sequoiastream_core::relay::load_message::Report;
use sequoiastream_core::relay::load_message::SendSchedule;
use sequoiastream_core::relay::reachability::ConnectPlan;
use sequoiastream_core::relay::reachability::EVIDENCE_TTL;
use sequoiastream_core::relay::reachability::MAX_TUNNEL_FAILURES;
use sequoiastream_core::relay::reachability::PROBE_INTERVAL;
use sequoiastream_core::relay::reachability::Path;
use sequoiastream_core::relay::reachability::Reachability;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::time::Time;

use super::engine::ScriptedEngine;
use super::engine::answer;
use super::follow::start_zone;
use super::instance::Instance;
use super::metrics::samples;
use super::store::FakeStore;
use super::wait_until;

const ENGINE: EngineKey = EngineKey(3);

const MILLI: Duration = Duration::from_millis(1);

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// Detaches engines: a direct attempt at each failed and a tunnel was opened.
fn detach(reachability: &mut Reachability, now: Time, engines: std::ops::Range<u32>) {
    for engine in engines.map(EngineKey) {
        reachability.on_direct_failed(now, engine);
        reachability.on_connected(now, engine, Path::Tunnel);
    }
}

/// State after a failed direct attempt and an opened tunnel, recorded in the order of their times.
fn state_after(failed: Time, opened: Time) -> Reachability {
    let mut reachability = Reachability::new();
    if failed <= opened {
        reachability.on_direct_failed(failed, ENGINE);
    }
    reachability.on_connected(opened, ENGINE, Path::Tunnel);
    if failed > opened {
        reachability.on_direct_failed(failed, ENGINE);
    }
    reachability
}

#[test]
fn detached_by_failure_and_tunnel() {
    for (failed, opened) in [(0, 5), (5, 0), (0, 4_999), (4_999, 0)] {
        let reachability = state_after(at(failed), at(opened));
        let now = at(failed.max(opened));
        assert!(reachability.is_detached(now, ENGINE), "{failed} {opened}");
        assert_eq!(reachability.detached_count(now), 1);
        assert!(!reachability.is_detached(now, EngineKey(2)));
    }
}

/// Guards against combining an expired failure or tunnel with a recent one as evidence of the same partition.
#[test]
fn detached_not_by_old_evidence() {
    for (failed, opened) in [(0, 5_000), (5_000, 0)] {
        let reachability = state_after(at(failed), at(opened));
        assert!(!reachability.is_detached(at(5_000), ENGINE), "{failed} {opened}");
    }
}

/// Guards against a crashed engine that counts as detached and is tried through peers only, after it has returned.
#[test]
fn crashed_not_detached() {
    let mut reachability = Reachability::new();
    for millis in 0..100 {
        assert_eq!(reachability.plan(at(millis), ENGINE), ConnectPlan::Direct);
        reachability.on_direct_failed(at(millis), ENGINE);
        reachability.on_tunnel_failed(ENGINE);
    }
    assert!(!reachability.is_detached(at(100), ENGINE));
    assert!(!reachability.lost_engines(at(100), 1));
}

#[test]
fn direct_success_ends() {
    let mut reachability = state_after(at(0), at(5));
    reachability.on_connected(at(6), ENGINE, Path::Direct);
    assert!(!reachability.is_detached(at(6), ENGINE));
    assert_eq!(reachability.plan(at(6), ENGINE), ConnectPlan::Direct);
    reachability.on_connected(at(7), ENGINE, Path::Tunnel);
    assert!(
        !reachability.is_detached(at(7), ENGINE),
        "the failure was before the direct success"
    );
}

#[test]
fn no_evidence_ends() {
    let mut reachability = state_after(at(0), at(5));
    reachability.on_connected(at(3_000), ENGINE, Path::Tunnel);
    let end = at(3_000) + EVIDENCE_TTL;
    assert!(reachability.is_detached(end - MILLI, ENGINE));
    assert!(!reachability.is_detached(end, ENGINE));
    assert_eq!(reachability.plan(end, ENGINE), ConnectPlan::Direct);
}

/// Guards against an idle instance that counts its engines as regained during a partition.
#[test]
fn failed_probes_continue() {
    let mut reachability = state_after(at(0), at(5));
    for seconds in 1..30 {
        reachability.on_direct_failed(at(seconds * 1_000), ENGINE);
        assert!(reachability.is_detached(at(seconds * 1_000 + 900), ENGINE));
    }
    assert!(!reachability.is_detached(at(29_000) + EVIDENCE_TTL, ENGINE));
}

/// Guards against an engine that crashes while it is detached and is tried through peers until the evidence expires.
#[test]
fn tunnel_failures_end() {
    let mut reachability = state_after(at(0), at(5));
    for _ in 1..MAX_TUNNEL_FAILURES {
        reachability.on_tunnel_failed(ENGINE);
    }
    assert!(
        reachability.is_detached(at(10), ENGINE),
        "the failures may be a peer's"
    );
    reachability.on_connected(at(11), ENGINE, Path::Tunnel);
    for number in 1..=MAX_TUNNEL_FAILURES {
        assert!(reachability.is_detached(at(12), ENGINE), "{number}");
        reachability.on_tunnel_failed(ENGINE);
    }
    assert!(!reachability.is_detached(at(12), ENGINE));
    reachability.on_connected(at(13), ENGINE, Path::Tunnel);
    assert!(reachability.is_detached(at(13), ENGINE));
}

#[test]
fn plan_probes() {
    let mut reachability = Reachability::new();
    assert_eq!(reachability.plan(at(0), ENGINE), ConnectPlan::Direct);
    detach(&mut reachability, at(60), 3..4);
    let plans = [60, 559, 560, 561, 1_059, 1_060].map(|millis| reachability.plan(at(millis), ENGINE));
    let (tunnel, both) = (ConnectPlan::Tunnel, ConnectPlan::Both);
    assert_eq!(plans, [tunnel, tunnel, both, tunnel, tunnel, both]);
}

/// Guards against direct attempts that hang for a second and fail late, so that the next probe is postponed and the end
/// of a partition is detected late.
#[test]
fn plan_probes_despite_late_failures() {
    let mut reachability = state_after(at(0), at(0));
    assert_eq!(reachability.plan(at(500), ENGINE), ConnectPlan::Both);
    reachability.on_direct_failed(at(999), ENGINE);
    assert_eq!(reachability.plan(at(1_000), ENGINE), ConnectPlan::Both);
}

/// Guards against a directory that changes with every engine while about half of the engines are detached.
#[test]
fn lost_with_hysteresis() {
    let mut reachability = Reachability::new();
    assert!(!reachability.lost_engines(at(0), 0));
    assert!(!reachability.lost_engines(at(0), 8));
    detach(&mut reachability, at(0), 0..3);
    assert!(!reachability.lost_engines(at(0), 8));
    detach(&mut reachability, at(0), 3..4);
    assert!(reachability.lost_engines(at(0), 8));
    for (engine, lost) in [(0, true), (1, true), (2, false), (3, false)] {
        reachability.on_connected(at(1), EngineKey(engine), Path::Direct);
        assert_eq!(reachability.lost_engines(at(1), 8), lost, "{engine}");
    }
    detach(&mut reachability, at(2), 0..3);
    assert!(
        !reachability.lost_engines(at(2), 8),
        "three of eight are not half"
    );
    assert!(!reachability.lost_engines(at(2), 0), "no engine gets work");
    assert!(reachability.lost_engines(at(2), 4));
    assert!(!reachability.lost_engines(at(2) + EVIDENCE_TTL, 4));
}

#[test]
fn lost_single_engine() {
    let mut reachability = Reachability::new();
    detach(&mut reachability, at(0), 0..1);
    assert!(!reachability.lost_engines(at(0), 3));
    assert!(reachability.lost_engines(at(0), 1));
}

#[test]
fn retain_drops_gone() {
    let mut reachability = Reachability::new();
    detach(&mut reachability, at(0), 0..4);
    reachability.retain(|key| key.0 != 2);
    let detached = [0, 1, 2, 3].map(|key| reachability.is_detached(at(0), EngineKey(key)));
    assert_eq!(detached, [true, true, false, true]);
}

/// Event at an engine.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    DirectOpened,
    DirectFailed,
    TunnelOpened,
    TunnelFailed,
    Plan,
}

/// Times of the latest events at one engine, as recorded by the test.
#[derive(Debug, Clone, Copy, Default)]
struct EventTimes {
    direct: Option<Time>,
    failure: Option<Time>,
    tunnel: Option<Time>,
    probe: Option<Time>,
    /// Since when it is detached.
    detached: Option<Time>,
}

/// Checks a plan against the recorded times.
fn check_plan(plan: ConnectPlan, now: Time, times: &mut EventTimes) {
    let is_reached = times.direct.is_some() && times.direct > times.failure;
    if is_reached {
        assert_eq!(plan, ConnectPlan::Direct, "{times:?}");
    }
    assert_eq!(plan == ConnectPlan::Direct, times.detached.is_none(), "{times:?}");
    match plan {
        ConnectPlan::Tunnel => {
            let since = times.detached.max(times.probe).expect("it is detached");
            assert!(now.since(since) < PROBE_INTERVAL, "no probe is due: {times:?}");
        }
        ConnectPlan::Direct | ConnectPlan::Both => times.probe = Some(now),
    }
}

/// Guards against a reachable engine that is no longer tried directly, after any sequence of events: detachment
/// requires a failed direct attempt since the last success and a recent tunnel, and a detached engine is probed in
/// time.
#[test]
fn plan_after_any_events() {
    bolero::check!()
        .with_type::<Vec<(u16, u8, Step)>>()
        .for_each(|steps| {
            let mut reachability = Reachability::new();
            let mut engines: BTreeMap<EngineKey, EventTimes> = BTreeMap::new();
            let mut now = Time::from_millis(10_000);
            for (pause, engine, step) in steps {
                now = now + Duration::from_millis(u64::from(pause % 1_024));
                let key = EngineKey(u32::from(engine % 2));
                let times = engines.entry(key).or_default();
                if !reachability.is_detached(now, key) {
                    times.detached = None;
                }
                match step {
                    Step::DirectOpened => {
                        reachability.on_connected(now, key, Path::Direct);
                        (times.direct, times.tunnel) = (Some(now), None);
                    }
                    Step::DirectFailed => {
                        reachability.on_direct_failed(now, key);
                        // At the same time, the later event counts.
                        times.failure = Some(now);
                        times.direct = times.direct.filter(|at| *at < now);
                    }
                    Step::TunnelOpened => {
                        reachability.on_connected(now, key, Path::Tunnel);
                        times.tunnel = Some(now);
                    }
                    Step::TunnelFailed => reachability.on_tunnel_failed(key),
                    Step::Plan => check_plan(reachability.plan(now, key), now, times),
                }
                times.detached = match reachability.is_detached(now, key) {
                    true => times.detached.or(Some(now)),
                    false => None,
                };
                if times.detached.is_some() {
                    assert!(
                        times.failure >= times.direct && times.failure.is_some(),
                        "{times:?}"
                    );
                    assert!(times.tunnel.is_some(), "a tunnel proves that it runs: {times:?}");
                    let evidence = times.tunnel.max(times.failure).expect("a tunnel");
                    assert!(now.since(evidence) < EVIDENCE_TTL, "{times:?}");
                }
            }
        });
}

fn candidate(number: u8, proven: bool, detached: bool) -> Candidate {
    Candidate {
        endpoint: Endpoint {
            address: SocketAddr::from(([10, 0, 0, number], 80)),
            zone: "a".parse().expect("a name"),
            capacity: u32::from(number),
        },
        proven,
        detached,
    }
}

/// The last bytes of the addresses offered of candidates 1, 2, ...; each is given as whether it is proven and detached.
fn offered_of(candidates: &[(bool, bool)]) -> Vec<u8> {
    let candidates = (1..)
        .zip(candidates)
        .map(|(number, (proven, detached))| candidate(number, *proven, *detached));
    let mut candidates: Vec<Candidate> = candidates.collect();
    candidates.reverse();
    let endpoints = offered(candidates).into_iter();
    endpoints.map(|e| e.capacity as u8).collect()
}

#[test]
fn offered_proven() {
    assert!(offered_of(&[]).is_empty());
    assert_eq!(
        offered_of(&[(true, false), (false, false), (true, false)]),
        [1, 3]
    );
    assert_eq!(offered_of(&[(false, false), (false, false)]), [1, 2]);
}

/// Guards against callers that are sent to an instance without direct links to engines while others have them.
#[test]
fn offered_without_detached() {
    assert_eq!(offered_of(&[(true, true), (true, false), (true, false)]), [2, 3]);
    assert_eq!(offered_of(&[(false, true), (false, false)]), [2]);
}

/// Guards against a directory that is empty, or that lists only instances that may not admit requests, because all
/// others are detached.
#[test]
fn offered_detached_if_no_other() {
    assert_eq!(offered_of(&[(true, true), (true, true)]), [1, 2]);
    assert_eq!(offered_of(&[(true, true), (false, false)]), [1]);
    assert_eq!(offered_of(&[(false, true), (false, true)]), [1, 2]);
}

#[test]
fn offered_once_by_address() {
    let mut restarted = candidate(1, true, false);
    restarted.endpoint.capacity = 7;
    let endpoints = offered(vec![restarted.clone(), candidate(1, true, true)]);
    assert_eq!(endpoints, [restarted.endpoint.clone()]);
    assert_eq!(offered(vec![restarted, candidate(1, true, false)]).len(), 1);
}

/// Guards against an idle instance that reports the loss of its engines late, or only to some of its peers.
#[test]
fn change_sent_at_once() {
    let mut schedule = SendSchedule::default();
    let mut due = |turn, report| schedule.is_due(turn, report, 3);
    assert!(due(0, Report::Nothing), "a quiet turn");
    assert!(!due(1, Report::Nothing));
    assert!(due(2, Report::Change));
    assert!(
        due(3, Report::Nothing) && due(4, Report::Nothing),
        "to all groups of peers"
    );
    assert!(due(5, Report::Nothing), "the end of the work is reported");
    assert!(!due(6, Report::Nothing));
    assert!(due(7, Report::Work) && due(8, Report::Nothing));
    assert!(!due(9, Report::Nothing));
}

#[test]
fn message_with_detached() {
    let message = LoadMessage::new(BTreeMap::new(), Vec::new());
    assert!(!message.detached);
    let message = message.with_detached(true);
    let bytes = postcard::to_allocvec(&message).expect("a serializable message");
    assert_eq!(bytes.last(), Some(&1), "it is the last field");
    let read: LoadMessage = postcard::from_bytes(&bytes).expect("a message");
    assert_eq!(read, message);
}

/// Addresses that are offered to callers.
fn offered_addresses(shared: &Shared) -> Vec<SocketAddr> {
    let view = shared.view.load();
    view.endpoints.iter().map(|e| e.address).collect()
}

/// Whether each peer of an instance is detached, by its address.
fn detached_peers(shared: &Shared) -> BTreeMap<SocketAddr, bool> {
    let view = shared.view.load();
    let peers = view.tunnel_peers.iter();
    peers.map(|p| (p.address, p.detached)).collect()
}

/// Guards against callers that are sent to an instance that has lost its engines. It disappears from the directories of
/// its peers and from its own, stays ready, and reappears once it reaches its engines.
#[actix_web::test]
async fn detached_instance_not_named() {
    let store = FakeStore::new();
    let instances = start_zone(&store, &store, Duration::from_secs(60)).await;
    let [cut, peer, other] = instances.each_ref().map(|(shared, _)| shared.as_ref());
    let mut all = [cut, peer, other].map(|shared| shared.options.front);
    all.sort();
    let offers = |shared: &Shared, expected: &[SocketAddr]| offered_addresses(shared) == expected;
    wait_until(|| [cut, peer, other].iter().all(|shared| offers(shared, &all))).await;
    let address = cut.options.peer;
    wait_until(|| detached_peers(peer).get(&address) == Some(&false)).await;

    let view = cut.view.load_full();
    let engine = view.keys().values().next().copied().expect("an engine is known");
    {
        let mut traffic = cut.traffic();
        traffic.reachability.on_direct_failed(clock::now(), engine);
        traffic
            .reachability
            .on_connected(clock::now(), engine, Path::Tunnel);
    }
    let rest: Vec<SocketAddr> = all.into_iter().filter(|a| *a != cut.options.front).collect();
    wait_until(|| [cut, peer, other].iter().all(|shared| offers(shared, &rest))).await;
    assert_eq!(detached_peers(peer).get(&address), Some(&true));
    assert!(cut.is_ready());

    let now = clock::now();
    cut.traffic().reachability.on_connected(now, engine, Path::Direct);
    wait_until(|| [cut, peer, other].iter().all(|shared| offers(shared, &all))).await;
    assert_eq!(detached_peers(peer).get(&address), Some(&false));
}

#[actix_web::test]
async fn metrics_detached() {
    let engine = ScriptedEngine::start(|_, request| vec![answer(request, "whole")]).await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    for detached in [0, 2] {
        detach(
            &mut instance.shared.traffic().reachability,
            clock::now(),
            0..detached,
        );
        let line = format!("sequoiastream_relay_detached_engines {detached}");
        assert_eq!(
            samples(&instance, &["sequoiastream_relay_detached_engines"]).await,
            [line]
        );
    }
}
