//! Time taken to find a route, choose an engine, merge the load of peers, plan the stages, look up an API key, draw on
//! the retry budget, by fleet size, and check whether a request crashes engines.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use sequoiastream_core::poison::suspects::RequestIdentity;
use sequoiastream_core::poison::suspects::Suspects;
use sequoiastream_core::relay::budget::BudgetLimits;
use sequoiastream_core::relay::budget::RetryBudget;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::load_tracker::LoadTracker;
use sequoiastream_core::relay::load_tracker::Work;
use sequoiastream_core::relay::placement::EngineSelector;
use sequoiastream_core::relay::placement::PrefillPlan;
use sequoiastream_core::relay::prefill_time::PrefillWork;
use sequoiastream_core::relay::prompt::Part;
use sequoiastream_core::relay::prompt::Prompt;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::routes::CallerLimits;
use sequoiastream_core::relay::routes::Route;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::RouteTarget;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::stages::plan_orders;
use sequoiastream_core::relay::stream_needs::StreamNeeds;
use sequoiastream_core::relay::streams::SoftwareVersion;
use sequoiastream_core::relay::streams::StreamId;
use sequoiastream_core::relay::streams::StreamRecord;
use sequoiastream_core::relay::streams::Streams;
use sequoiastream_core::relay::streams::homes;
use sequoiastream_core::relay::workspaces::KeyDigest;
use sequoiastream_core::relay::workspaces::Workspace;
use sequoiastream_core::relay::workspaces::Workspaces;
use sequoiastream_core::time::Time;

/// Engines and instances in the fleet: today's, a larger deployment's, and the sizes that the system is designed for.
const FLEETS: [(u32, u32); 3] = [(13, 8), (60, 35), (600, 350)];

/// Routes: today's, a larger deployment's, and one for each product at the size that the system is designed for.
const ROUTES: [u32; 3] = [4, 150, 1_500];

/// The time at which all operations take place.
const NOW: Time = Time::from_millis(10_000);

fn engine(index: u32) -> Engine {
    let stage = if index.is_multiple_of(3) {
        Stage::Decode
    } else {
        Stage::Prefill
    };
    let entry = Entry {
        id: format!("assistente-{index}-3fc1"),
        service: "assistente".to_string(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000)),
        zone: format!("zone{}", index % 12),
        slots: 16,
        leaving: false,
        stage,
        version: "v1".to_string(),
        spot: false,
        sequence: 1,
        create_revision: Revision::new(0, 1),
        started: None,
    };
    Engine::new(EngineKey(index), entry)
}

/// Load and health as in a busy fleet: each instance has work at one engine in four.
fn book(engines: u32, instances: u32) -> LoadTracker {
    let mut book = LoadTracker::new();
    for peer in 1..instances {
        let at = (0..engines).filter(|engine| (engine + peer).is_multiple_of(4));
        let work = at.map(|engine| {
            (
                EngineKey(engine),
                Work {
                    requests: 1,
                    prefill: Duration::from_millis(1),
                },
            )
        });
        book.on_peer_report(NOW, &format!("edge{peer}"), work.collect::<BTreeMap<_, _>>());
    }
    for index in (0..engines).step_by(4) {
        book.begin(NOW, EngineKey(index), Duration::from_millis(20));
        let prompt = prompt();
        let reading = PrefillPlan {
            engine: engine(index),
            work: PrefillWork::new(&prompt, prompt.input),
            busy_time: Duration::from_millis(22),
            new_tokens: prompt.input,
            queue_time: Duration::ZERO,
            total_time: Duration::from_millis(25),
            fetch_from: None,
        };
        book.on_prefill(NOW, &reading, Duration::from_millis(25));
    }
    book
}

fn prompt() -> Prompt {
    let part = |id: u64, tokens: u32| Part { id, tokens };
    Prompt {
        model: "m".to_string(),
        input: 9_190,
        output: 2,
        expected: None,
        parts: vec![part(77, 6_300), part(78, 2_890)],
    }
}

fn place(c: &mut Criterion) {
    let mut group = c.benchmark_group("place");
    for (engines, instances) in FLEETS {
        let all: Vec<Engine> = (0..engines).map(engine).collect();
        let book = book(engines, instances);
        let chooser = EngineSelector {
            loads: &book,
            now: NOW,
            zone: "zone3",
            tried: &[],
            memory_tokens: Some(1_500_000),
            report_turns: 1,
            tie_breaker: 0,
        };
        let prompt = prompt();
        group.bench_function(BenchmarkId::new("plain", engines), |b| {
            b.iter(|| chooser.least_loaded(black_box(&all)));
        });
        group.bench_function(BenchmarkId::new("reader", engines), |b| {
            b.iter(|| chooser.choose_prefill(black_box(&all), Stage::Prefill, &prompt));
        });
        group.bench_function(BenchmarkId::new("generator", engines), |b| {
            b.iter(|| chooser.choose_decode(black_box(&all), Stage::Decode, &StreamNeeds::default()));
        });
        let mut paced = book.clone();
        for engine in all.iter().cycle().take(all.len() * 20) {
            let millis = if engine.key.0.is_multiple_of(4) { 100 } else { 45 };
            paced.on_interval(NOW, engine, Duration::from_millis(millis));
        }
        let chooser = EngineSelector {
            loads: &paced,
            ..chooser
        };
        let needs = StreamNeeds {
            gap_target: Duration::from_millis(150),
            events: 72,
            ..StreamNeeds::default()
        };
        group.bench_function(BenchmarkId::new("generator by pace", engines), |b| {
            b.iter(|| chooser.choose_decode(black_box(&all), Stage::Decode, &needs));
        });
    }
    group.finish();
}

fn peers(c: &mut Criterion) {
    let mut group = c.benchmark_group("peers");
    for (engines, instances) in FLEETS {
        let mut book = book(engines, instances);
        let work = (0..engines).step_by(4).map(|e| {
            let work = Work {
                requests: 2,
                prefill: Duration::from_millis(3),
            };
            (EngineKey(e), work)
        });
        let work: BTreeMap<EngineKey, Work> = work.collect();
        group.bench_function(BenchmarkId::new("load", engines), |b| {
            b.iter(|| book.on_peer_report(NOW, "edge1", black_box(work.clone())));
        });
    }
    group.finish();
}

/// Planning the stages of a service that was never split into stages, as each instance does twice a second until the
/// orders are issued.
fn stages(c: &mut Criterion) {
    let mut group = c.benchmark_group("stages");
    for (engines, _) in FLEETS {
        let all = (0..engines).map(|index| {
            let mut engine = engine(index);
            engine.entry.stage = Stage::Decode;
            engine
        });
        let all: Vec<Engine> = all.collect();
        group.bench_function(BenchmarkId::new("plan", engines), |b| {
            b.iter(|| plan_orders(black_box(&all), &BTreeMap::new(), 0.65));
        });
    }
    group.finish();
}

fn routes(c: &mut Criterion) {
    let mut group = c.benchmark_group("routes");
    for routes in ROUTES {
        let route = |index: u32| Route {
            name: format!("route-{index}"),
            host: "gsp.example".to_string(),
            prefix: format!("/product-{index}/v1/"),
            kind: RouteKind::Resumable,
            timeout: Duration::from_secs(2),
            latency_target: Duration::from_millis(150),
            gap_target: Duration::from_millis(150),
            priority: 1,
            max_attempts: 3,
            affine: true,
            public: false,
            targets: vec![RouteTarget {
                service: "assistente".to_string(),
                weight: 1,
            }],
        };
        let table = RoutingTable::new(
            1,
            CallerLimits::default(),
            (0..routes).map(route).collect(),
            Vec::new(),
        );
        let path = format!("/product-{}/v1/check/contract-123", routes - 1);
        group.bench_function(BenchmarkId::new("find", routes), |b| {
            b.iter(|| table.find("gsp.example", black_box(&path)));
        });
    }
    group.finish();
}

/// Looking up the workspace of an API key among 10,000 keys, which every request does.
fn keys(c: &mut Criterion) {
    let key = |index: u32| format!("ftimaj3nr26tta{index:06}");
    let all = (0..1_000).map(|workspace| Workspace {
        name: format!("workspace-{workspace}"),
        priority: None,
        keys: (0..10)
            .map(|own| KeyDigest::of(key(workspace * 10 + own).as_bytes()))
            .collect(),
    });
    let all = Workspaces::new(all.collect()).expect("each key once");
    let key = key(7_777);
    c.bench_function("keys/holder", |b| {
        b.iter(|| all.holder(KeyDigest::of(black_box(key.as_bytes()))));
    });
}

fn budget(c: &mut Criterion) {
    let rule = BudgetLimits {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 56.0,
    };
    let mut budget = RetryBudget::new(rule);
    budget.on_fleet_size(NOW, 8);
    let mut now = NOW;
    c.bench_function("budget/request", |b| {
        b.iter(|| {
            // One instance gets 100 requests per second.
            now = now + Duration::from_millis(10);
            budget.on_request(now, black_box("assistente"));
            budget.try_take(now, "assistente")
        });
    });
}

/// Choosing the peers that are told of a stream, which each new stream does once at the instance where it began.
fn streams(c: &mut Criterion) {
    for count in [99_u32, 984] {
        let address = |index: u32| SocketAddr::from(([10, 1, (index >> 8) as u8, index as u8], 7_660));
        let peers: Vec<SocketAddr> = (0..count).map(address).collect();
        let stream = StreamId::of(b"4620cddc69a83ac0");
        c.bench_function(&format!("streams/homes/{count}"), |b| {
            b.iter(|| homes(black_box(&peers).iter().copied(), stream));
        });
    }
    let mut streams = Streams::new();
    let version = SoftwareVersion::of("v1");
    let mut number = 0_u64;
    let mut begin = |streams: &mut Streams| {
        number += 1;
        let stream = StreamId::of(&number.to_be_bytes());
        let left = Duration::from_millis(15_000 + number % 1_000);
        streams.on_record(NOW, StreamRecord::new(stream, version, left));
    };
    (0..40_000).for_each(|_| begin(&mut streams));
    c.bench_function("streams/record/full", |b| b.iter(|| begin(&mut streams)));
}

/// What is known after `engines` engines have ended with twelve prompts of four parts each, one of which crashes engines.
fn suspects(engines: u64) -> Suspects {
    let mut suspects = Suspects::new();
    for engine in 0..engines {
        for number in 0..12 {
            let second = if number == 0 {
                13
            } else {
                1_000 + engine * 12 + number
            };
            let prompt = prompt_with(engine * 100 + number, second);
            suspects.on_crash(NOW, &prompt, engine);
        }
    }
    suspects
}

fn prompt_with(number: u64, second: u64) -> RequestIdentity {
    let parts = [1 + number % 4, second, second + 1];
    RequestIdentity::new("POST", "/check", &number.to_be_bytes(), b"").with_parts(parts)
}

/// Checking whether a request may run, which each attempt does, and the notes that are passed on: of a crash of five
/// engines, and of as many as are remembered.
fn crashes(c: &mut Criterion) {
    for engines in [5, 60] {
        let mut known = suspects(engines);
        for (name, second) in [("sound", 900), ("blocked", 13)] {
            let prompt = prompt_with(999_999, second);
            c.bench_function(&format!("crashes/verdict/{name}/{engines}"), |b| {
                b.iter(|| known.verdict(NOW, black_box(&prompt)));
            });
        }
        let note = known.notes(NOW)[0];
        c.bench_function(&format!("crashes/note/{engines}"), |b| {
            b.iter(|| known.on_note(NOW, black_box(note)));
        });
        let mut now = NOW;
        c.bench_function(&format!("crashes/notes/{engines}"), |b| {
            b.iter(|| {
                now = now + Duration::from_millis(25);
                known.notes(now)
            });
        });
    }
}

criterion_group!(
    benches, place, peers, stages, routes, keys, budget, streams, crashes
);
criterion_main!(benches);
