//! Time taken by one routing, admission and planning decision, by fleet size.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use sequoiastream_core::config::Config;
use sequoiastream_core::config::Engine;
use sequoiastream_core::config::EngineState;
use sequoiastream_core::config::Fencing;
use sequoiastream_core::config::Role;
use sequoiastream_core::config::Service;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::config::Share;
use sequoiastream_core::config::Version;
use sequoiastream_core::engine::Speed;
use sequoiastream_core::limit::Limiter;
use sequoiastream_core::limit::RequestCost;
use sequoiastream_core::limit::ServiceShare;
use sequoiastream_core::name::Name;
use sequoiastream_core::policy::Policy;
use sequoiastream_core::roles::Demand;
use sequoiastream_core::roles::EngineStatus;
use sequoiastream_core::roles::Planner;
use sequoiastream_core::roles::PlannerInput;
use sequoiastream_core::route::LoadReport;
use sequoiastream_core::route::RouteRequest;
use sequoiastream_core::route::Router;
use sequoiastream_core::snapshot::Snapshot;
use sequoiastream_core::time::Time;

/// Engines in the fleet: today's, a larger deployment's, and the size that the system is designed for.
const ENGINES: [u32; 3] = [14, 60, 600];

/// Products: today's, a larger deployment's, and the number that the system is designed for.
const PRODUCTS: [u32; 3] = [5, 150, 1_500];

/// Requests that this instance has running at each engine.
const REQUESTS: u32 = 8;

/// Prefix blocks in a long prompt.
const BLOCKS: u64 = 75;

fn name(kind: &str, index: u32) -> Name {
    Name::new(&format!("{kind}{index}")).expect("a name")
}

fn snapshot(engines: u32) -> Snapshot {
    let mut config = Config::default();
    let kind = ServiceKind::Model {
        model: "m".to_string(),
    };
    config.services.insert(name("service", 0), Service { kind });
    for index in 0..engines {
        let engine = Engine {
            service: name("service", 0),
            zone: name("zone", index % 12),
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
            fencing: Fencing::Checked,
            state: EngineState::Serving,
            role: None,
        };
        config.engines.insert(name("e", index), engine);
    }
    Snapshot::new(Version(1), &config)
}

fn report(at: Time, index: u32) -> LoadReport {
    LoadReport {
        at,
        role: if index.is_multiple_of(3) {
            Role::Prefill
        } else {
            Role::Decode
        },
        away: false,
        running: index % 30,
        queued: index % 4,
        prefill: u64::from(index % 7) * 500,
        speed: Speed::default(),
    }
}

fn ask(snapshot: &Snapshot, blocks: u64, own: u64) -> RouteRequest {
    let shared = blocks / 2;
    let digests = (0..blocks).map(|i| if i < shared { i } else { own * 10_000 + i });
    RouteRequest {
        service: snapshot.service_of("m").expect("the service"),
        prompt: blocks as u32 * 32,
        output: 100,
        digests: digests.collect(),
        deadline: Time::from_millis(20_000),
    }
}

fn loaded(snapshot: &Snapshot, now: Time) -> Router {
    let mut router = Router::new().zone(name("zone", 0)).seed(1);
    router.sync_engines(snapshot);
    for (index, (_, engine)) in snapshot.engines.iter().enumerate() {
        router.report(&engine.name, report(now, index as u32));
    }
    for request in 0..snapshot.engines.len() as u64 * u64::from(REQUESTS) {
        let _ = router.choose(now, snapshot, &ask(snapshot, 4, request), &[]);
    }
    router
}

fn route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    let now = Time::from_millis(10_000);
    for engines in ENGINES {
        let snapshot = snapshot(engines);
        for (kind, blocks) in [("chat", 3), ("check", BLOCKS)] {
            let mut router = loaded(&snapshot, now);
            let ask = ask(&snapshot, blocks, 77);
            group.bench_function(BenchmarkId::new(kind, engines), |b| {
                b.iter(|| {
                    let choice = router
                        .choose(now, &snapshot, black_box(&ask), &[])
                        .expect("an engine");
                    router.end(&choice.handle);
                });
            });
        }
    }
    group.finish();
}

fn admit(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit");
    for products in PRODUCTS {
        let mut limiter = Limiter::new(1);
        let names: Vec<Name> = (0..products).map(|i| name("p", i)).collect();
        let owed = ServiceShare {
            share: Share::percent(1),
            engines: 600,
        };
        let need = RequestCost {
            cost: 0.01,
            total: 1.0,
            left: 5.0,
        };
        let mut micros = 1_000_000_u64;
        let mut turn = 0;
        group.bench_function(BenchmarkId::from_parameter(products), |b| {
            b.iter(|| {
                // Each of the 350 instances gets 20 requests per second: one every 50 ms.
                micros += 50_000;
                turn = (turn + 1) % names.len();
                limiter.admit(Time::from_micros(micros), &names[turn], owed, black_box(need))
            });
        });
    }
    group.finish();
}

fn plan(c: &mut Criterion) {
    let mut group = c.benchmark_group("plan");
    for engines in ENGINES {
        let seen = |index: u32| EngineStatus {
            name: name("e", index),
            role: if index.is_multiple_of(2) {
                Role::Prefill
            } else {
                Role::Decode
            },
            fixed: false,
            away: false,
            requests: index % 20,
            speed: Speed::default(),
            age: Duration::from_millis(100),
        };
        let evidence = PlannerInput {
            engines: (0..engines).map(seen).collect(),
            change_weight: 0,
            max_age: Duration::from_secs(1),
            platform_reachable: true,
        };
        let now = Time::from_millis(60_000);
        let mut planner = Planner::new(Policy::Adaptive, Duration::from_secs(3));
        let work = Demand {
            prefill: 100.0 * f64::from(engines),
            decode: 500.0 * f64::from(engines),
        };
        for second in 0..60 {
            planner.observe(Time::from_millis(second * 1_000), work);
        }
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter_batched(
                || planner.clone(),
                |mut planner| planner.plan(now, black_box(&evidence)),
                criterion::BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, route, admit, plan);
criterion_main!(benches);
