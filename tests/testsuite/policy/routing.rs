use std::collections::BTreeMap;

use sequoiastream_core::config::Role;
use sequoiastream_core::engine::Speed;
use sequoiastream_core::name::Name;
use sequoiastream_core::route::LoadReport;
use sequoiastream_core::route::RouteRequest;
use sequoiastream_core::route::Router;
use sequoiastream_core::snapshot::Snapshot;
use sequoiastream_core::time::Time;

use super::name;
use super::snapshot;

const NOW: Time = Time::from_millis(10_000);

fn report(at: Time) -> LoadReport {
    LoadReport {
        at,
        role: Role::Mixed,
        away: false,
        running: 0,
        queued: 0,
        prefill: 0,
        speed: Speed::default(),
    }
}

fn ask(snapshot: &Snapshot, digests: Vec<u64>) -> RouteRequest {
    RouteRequest {
        service: snapshot.service_of("m").expect("the service"),
        prompt: 400,
        output: 100,
        digests,
        deadline: Time::from_millis(30_000),
    }
}

fn router(snapshot: &Snapshot, seed: u64) -> Router {
    let mut router = Router::new().zone(name("lodi-a")).seed(seed);
    router.sync_engines(snapshot);
    for (_, engine) in snapshot.engines.iter() {
        router.report(&engine.name, report(NOW));
    }
    router
}

fn chosen(router: &mut Router, snapshot: &Snapshot, ask: &RouteRequest, now: Time) -> Name {
    let choice = router.choose(now, snapshot, ask, &[]);
    choice.expect("an engine takes work").name
}

// Guards against routing by the load report alone. All instances read the same reports, in which one engine has the
// least load; until the next report every instance would send every request there, and latency would rise in waves
// while other engines are idle.
#[test]
fn route_stale_reports() {
    let snapshot = snapshot(8);
    let mut placed: BTreeMap<Name, u32> = BTreeMap::new();
    for seed in 0..4 {
        let mut router = router(&snapshot, seed);
        router.set_instances(4);
        for (_, engine) in snapshot.engines.iter().skip(1) {
            let busier = LoadReport {
                running: 4,
                ..report(NOW)
            };
            router.report(&engine.name, busier);
        }
        for _ in 0..40 {
            let engine = chosen(&mut router, &snapshot, &ask(&snapshot, Vec::new()), NOW);
            *placed.entry(engine).or_default() += 1;
        }
    }
    let most = placed.values().max().copied().unwrap_or(0);
    assert!(most <= 40, "160 requests on 8 engines: {placed:?}");
    assert_eq!(placed.len(), 8);
}

#[test]
fn route_cached_prefix() {
    let snapshot = snapshot(8);
    let mut router = router(&snapshot, 1);
    for block in 1..=12 {
        router.cache_event(NOW, &name("e5"), block, true);
    }
    let digests: Vec<u64> = (1..=12).collect();
    assert_eq!(
        chosen(&mut router, &snapshot, &ask(&snapshot, digests), NOW),
        name("e5")
    );
}

// Guards against cache knowledge that is kept across a gap in the event stream. If the event that reports an eviction
// is lost, requests with the same prefix would all go to one engine, which processes the prefix anew for each.
#[test]
fn route_cache_gap() {
    let snapshot = snapshot(8);
    let mut router = router(&snapshot, 1);
    for block in 1..=12 {
        router.cache_event(NOW, &name("e5"), block, true);
    }
    router.cache_gap(&name("e5"));
    let digests: Vec<u64> = (1..=12).collect();
    let choice = router.choose(NOW, &snapshot, &ask(&snapshot, digests), &[]);
    let estimate = choice.expect("an engine takes work").estimate;
    let fresh = router.forecast(NOW, &snapshot, &ask(&snapshot, Vec::new()));
    assert_eq!(
        estimate.prefill,
        fresh.expect("an engine takes work").estimate.prefill
    );
}

#[test]
fn route_engine_away() {
    let snapshot = snapshot(2);
    let mut router = router(&snapshot, 1);
    let away = LoadReport {
        away: true,
        ..report(NOW)
    };
    router.report(&name("e0"), away);
    for _ in 0..20 {
        let engine = chosen(&mut router, &snapshot, &ask(&snapshot, Vec::new()), NOW);
        assert_eq!(engine, name("e1"));
    }
}

#[test]
fn route_long_prompt_to_prefill() {
    let snapshot = snapshot(4);
    let mut router = router(&snapshot, 1);
    for (index, (_, engine)) in snapshot.engines.iter().enumerate() {
        let role = if index == 0 { Role::Prefill } else { Role::Decode };
        let busy = LoadReport {
            role,
            running: if index == 0 { 4 } else { 12 },
            prefill: 1_000,
            ..report(NOW)
        };
        router.report(&engine.name, busy);
    }
    let check = RouteRequest {
        prompt: 4_000,
        output: 2,
        ..ask(&snapshot, Vec::new())
    };
    assert_eq!(chosen(&mut router, &snapshot, &check, NOW), name("e0"));
    let chat = RouteRequest {
        prompt: 40,
        output: 200,
        ..ask(&snapshot, Vec::new())
    };
    assert_ne!(chosen(&mut router, &snapshot, &chat, NOW), name("e0"));
}

// Guards against a service of one engine that refuses all requests for half a second after a single answer broke off:
// an engine that failed an attempt is avoided for a short time, but not if there is no other engine.
#[test]
fn route_only_suspects() {
    let snapshot = snapshot(2);
    let mut router = router(&snapshot, 1);
    let ask = ask(&snapshot, Vec::new());
    let first = router.choose(NOW, &snapshot, &ask, &[]).expect("an engine");
    router.failed(NOW, &first.handle);
    let second = router.choose(NOW, &snapshot, &ask, &[]).expect("an engine");
    assert_ne!(first.name, second.name);
    router.failed(NOW, &second.handle);
    assert!(router.choose(NOW, &snapshot, &ask, &[]).is_some());
}
