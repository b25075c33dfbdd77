//! Measures the resource use of an idle deployment at several sizes: the growth rates behind `docs/CAPACITY.md`.
//!
//! ```console
//! $ cargo build --release --workspace --bins
//! $ cargo run --release -p sequoiastream-testsupport --example slopes -- target/release
//! ```
//!
//! Each case starts a platform, one stand-in engine that listens on many loopback addresses, and daemons; then
//! it measures one daemon for some seconds: CPU time of its threads, resident memory, heartbeats and calls to
//! the platform. It prints one JSON object per case to standard output.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use sequoiastream_standin::platform::Stats;
use sequoiastream_testsupport::fleet::Binaries;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::FleetBuilder;
use sequoiastream_testsupport::http;
use sequoiastream_testsupport::process::Process;
use serde::Serialize;

/// Time for a deployment to settle before the measurement.
const SETTLE: Duration = Duration::from_secs(4);

/// Duration of the measurement.
const WINDOW: Duration = Duration::from_secs(12);

/// Clock ticks per second in `/proc`.
const TICKS: f64 = 100.0;

/// Number of availability zones, the same as in the design size.
const ZONES: usize = 12;

/// Deployment size of one case.
#[derive(Debug, Clone, Copy, Serialize)]
struct Case {
    daemons: usize,
    engines: usize,
    products: usize,
}

/// Measurements of one daemon.
#[derive(Debug, Serialize)]
struct Measured {
    case: Case,
    /// CPU time of all threads, in percent of a core.
    cpu: f64,
    /// CPU time by thread name, in percent of a core.
    threads: BTreeMap<String, f64>,
    /// Resident memory, in MiB.
    memory: f64,
    /// Bytes of heartbeats sent per second.
    heartbeats: f64,
    /// Calls to the platform per second and daemon, by kind.
    calls: BTreeMap<String, f64>,
}

fn cases() -> Vec<Case> {
    let case = |daemons, engines, products| Case {
        daemons,
        engines,
        products,
    };
    vec![
        case(1, 14, 5),
        case(3, 14, 5),
        case(8, 14, 5),
        case(16, 14, 5),
        case(1, 60, 5),
        case(1, 600, 5),
        case(1, 14, 150),
        case(1, 14, 1_500),
        case(8, 600, 1_500),
    ]
}

#[actix_web::main]
async fn main() {
    let folder = std::env::args().nth(1).expect("usage: slopes FOLDER-OF-BINARIES");
    let folder = PathBuf::from(folder);
    let binaries = Binaries {
        daemon: folder.join("sequoiastreamd"),
        tool: folder.join("sequoiastream"),
        standin: folder.join("sequoiastream-standin"),
    };
    for case in cases() {
        let measured = measure(&binaries, case).await;
        println!("{}", serde_json::to_string(&measured).expect("plain values"));
    }
}

async fn measure(binaries: &Binaries, case: Case) -> Measured {
    let many = Process::start(&binaries.standin, ["engine", "--listen=0.0.0.0:0"]);
    let fleet = FleetBuilder::new(binaries.clone())
        .engines(0)
        .daemons(case.daemons)
        .start()
        .await;
    let version = fleet.apply(0, &statements(case, many.address().port())).await;
    fleet.wait_for_version(version).await;
    fleet.wait_until_ready().await;
    tokio::time::sleep(SETTLE).await;
    let before = Sample::take(&fleet).await;
    tokio::time::sleep(WINDOW).await;
    let after = Sample::take(&fleet).await;
    after.since(&before, case)
}

/// Statements for the sizes of `case`; all engines listen on `port`.
fn statements(case: Case, port: u16) -> String {
    let mut text = "create service assistente model \"ghiaccio-7b\";\n".to_string();
    for index in 0..case.products {
        text.push_str(&format!(
            "create product p{index} key \"key-{index}\" share 0.05;\n"
        ));
    }
    for index in 0..case.engines {
        let address = format!("127.1.{}.{}:{port}", index / 200, 1 + index % 200);
        let zone = match index % ZONES {
            0 => "lodi-a".to_string(),
            other => format!("zone-{other}"),
        };
        text.push_str(&format!(
            "place engine e{index} service assistente zone {zone} address {address};\n"
        ));
    }
    text
}

/// Counters of daemon 0 and of the platform at one point in time.
struct Sample {
    at: Instant,
    threads: BTreeMap<String, f64>,
    memory: f64,
    heartbeats: f64,
    calls: BTreeMap<String, u64>,
}

impl Sample {
    async fn take(fleet: &Fleet) -> Sample {
        let daemon = &fleet.daemons[0];
        let stats: Stats = http::read(&format!("{}/control/stats", fleet.platform.url())).await;
        Sample {
            at: Instant::now(),
            threads: threads(daemon.id()),
            memory: memory(daemon.id()),
            heartbeats: fleet.metric(0, "sequoiastream_heartbeat_bytes_total").await,
            calls: stats.calls,
        }
    }

    fn since(&self, before: &Sample, case: Case) -> Measured {
        let seconds = self.at.duration_since(before.at).as_secs_f64();
        let of = |name: &String| before.threads.get(name).copied().unwrap_or(0.0);
        let threads = self.threads.iter();
        let threads: BTreeMap<String, f64> = threads
            .map(|(name, ticks)| (name.clone(), 100.0 * (ticks - of(name)) / TICKS / seconds))
            .collect();
        let calls = self.calls.iter().map(|(kind, count)| {
            let earlier = before.calls.get(kind).copied().unwrap_or(0);
            (
                kind.clone(),
                (count - earlier) as f64 / seconds / case.daemons as f64,
            )
        });
        Measured {
            case,
            cpu: threads.values().sum(),
            threads,
            memory: self.memory,
            heartbeats: (self.heartbeats - before.heartbeats) / seconds,
            calls: calls.collect(),
        }
    }
}

/// Clock ticks used by the threads of process `id`, by thread name.
fn threads(id: u32) -> BTreeMap<String, f64> {
    let mut ticks = BTreeMap::new();
    let tasks = fs::read_dir(format!("/proc/{id}/task")).expect("the daemon runs");
    for task in tasks.flatten() {
        if let Some((name, used)) = ticks_of(&task.path()) {
            *ticks.entry(name).or_insert(0.0) += used;
        }
    }
    ticks
}

fn ticks_of(task: &Path) -> Option<(String, f64)> {
    let stat = fs::read_to_string(task.join("stat")).ok()?;
    let (head, rest) = stat.rsplit_once(')')?;
    let name = head.split_once('(')?.1.to_string();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((name, user + system))
}

/// Resident memory of process `id`, in MiB.
fn memory(id: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the daemon runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib: f64 = line
        .and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0.0);
    kib / 1024.0
}
