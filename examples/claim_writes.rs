//! Measures the cost of claims for the key-value service and for the caller, with and without group commit.
//!
//! ```text
//! cargo build --release --workspace --bins && cargo run --release --example claim_writes [take-over]
//! ```
//!
//! Eight daemons, one plain service and the stand-in platform run as processes on this machine. Orders arrive as a
//! Poisson process spread over the daemons, each order with its own key. For each rate the example prints the counts of
//! the platform per order, and the latency that callers observe.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_standin::platform::Fault;
use sequoiastream_standin::platform::Stats;
use sequoiastream_testsupport::fleet::Binaries;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::FleetBuilder;
use sequoiastream_testsupport::fleet::KEY;
use sequoiastream_testsupport::http;
use uuid::Uuid;

/// Seed for the arrival times and the choice of daemons.
const SEED: u64 = 20_261_202;

/// Number of entry instances; as many as run today.
const DAEMONS: usize = 8;

/// Response delay of the platform, in milliseconds.
const PLATFORM_DELAY_MS: u64 = 3;

/// How long orders arrive at each rate.
const RUN_DURATION: Duration = Duration::from_secs(20);

/// How long orders arrive in each phase of a take-over.
const PHASE_DURATION: Duration = Duration::from_secs(8);

/// Wait after the last order, so that the outcomes of the orders are written; also the wait after the start.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Maximum latency that the histogram records, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Arrival rates to measure, in orders per second.
const RATES: [f64; 3] = [1.0, 20.0, 200.0];

/// Claim paces to compare, in milliseconds; 0 writes each claim separately.
const CLAIM_PACES_MS: [u64; 3] = [0, 80, 250];

/// Counts of one run.
struct Row {
    orders: u64,
    whole: u64,
    writes: u64,
    reads: u64,
    bytes: u64,
    latency: Histogram<u64>,
}

fn binaries() -> eyre::Result<Binaries> {
    let example = std::env::current_exe()?;
    let release = example.ancestors().nth(2).map(PathBuf::from).unwrap_or_default();
    Ok(Binaries {
        daemon: release.join("sequoiastreamd"),
        tool: release.join("sequoiastream"),
        standin: release.join("sequoiastream-standin"),
    })
}

async fn start(pace: u64) -> eyre::Result<Fleet> {
    let fleet = FleetBuilder::new(binaries()?)
        .daemons(DAEMONS)
        .plain(1)
        .daemon_arg(&format!("--claim-pace-ms={pace}"))
        .start_configured()
        .await;
    let delay = Fault {
        delay: PLATFORM_DELAY_MS,
        ..Fault::default()
    };
    fleet.platform_fault(&delay).await;
    // Wait until the instances have discovered each other through the list of the platform and heartbeats.
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(fleet)
}

async fn stats(fleet: &Fleet) -> Stats {
    http::read(&format!("{}/control/stats", fleet.platform.url())).await
}

fn calls(stats: &Stats, kind: &str) -> u64 {
    stats.calls.get(kind).copied().unwrap_or_default()
}

async fn send_order(client: Client, url: String, row: Rc<RefCell<Row>>) {
    let begin = Instant::now();
    let request = client
        .post(url)
        .insert_header(("authorization", format!("Bearer {KEY}")))
        .insert_header(("idempotency-key", Uuid::now_v7().to_string()));
    let answer = request.send_body("{\"item\":\"pellets\"}").await;
    let mut row = row.borrow_mut();
    row.orders += 1;
    if answer.is_ok_and(|a| a.status().is_success()) {
        row.whole += 1;
        let micros = u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX);
        row.latency.saturating_record(micros);
    }
}

/// Sends orders to the first `entries` daemons for `length`, and waits until all have been answered.
async fn send_orders(fleet: &Fleet, rate: f64, entries: usize, length: Duration) -> eyre::Result<Row> {
    let row = Rc::new(RefCell::new(Row {
        orders: 0,
        whole: 0,
        writes: 0,
        reads: 0,
        bytes: 0,
        latency: Histogram::new_with_max(MAX_LATENCY_MICROS, 3)?,
    }));
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let client = Client::builder().timeout(Duration::from_secs(30)).finish();
    let begin = Instant::now();
    let mut at = Duration::ZERO;
    let mut running = Vec::new();
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / rate);
        if at > length {
            break;
        }
        tokio::time::sleep_until((begin + at).into()).await;
        let daemon = rng.random_range(0..entries);
        let url = format!("{}/services/ordini/orders", fleet.daemons[daemon].url());
        running.push(actix_rt::spawn(send_order(client.clone(), url, row.clone())));
    }
    for order in running {
        order.await?;
    }
    let row = Rc::into_inner(row).ok_or_else(|| eyre::eyre!("an order is still running"))?;
    Ok(row.into_inner())
}

async fn measure(fleet: &Fleet, rate: f64) -> eyre::Result<Row> {
    let before = stats(fleet).await;
    let mut row = send_orders(fleet, rate, fleet.daemons.len(), RUN_DURATION).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let after = stats(fleet).await;
    row.writes = calls(&after, "put") - calls(&before, "put");
    row.reads = calls(&after, "get") - calls(&before, "get");
    row.bytes = after.written - before.written;
    Ok(row)
}

/// Sends orders through six daemons while the other two, which own shards, are paused or killed.
async fn take_over() -> eyre::Result<()> {
    println!("| owners | orders | whole | p50 | p99 | longest |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut fleet = start(CLAIM_PACES_MS[1]).await?;
    let entries = DAEMONS - 2;
    for phase in ["all run", "one paused", "it woke", "one killed"] {
        match phase {
            "one paused" => fleet.daemons[entries].signal("STOP"),
            "it woke" => fleet.daemons[entries].signal("CONT"),
            "one killed" => fleet.daemons[entries + 1].kill(),
            _ => {}
        }
        let row = send_orders(&fleet, RATES[1], entries, PHASE_DURATION).await?;
        let millis = |quantile| row.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        let (p50, p99, max) = (millis(0.5), millis(0.99), millis(1.0));
        println!(
            "| {phase} | {} | {} | {p50:.1} ms | {p99:.1} ms | {max:.1} ms |",
            row.orders, row.whole
        );
    }
    Ok(())
}

#[actix_web::main]
async fn main() -> eyre::Result<()> {
    if std::env::args().any(|argument| argument == "take-over") {
        return take_over().await;
    }
    println!(
        "| pace | orders/s | orders | whole | KV writes/order | KV reads/order | bytes/order | p50 | p95 | p99 |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for pace in CLAIM_PACES_MS {
        let fleet = start(pace).await?;
        for rate in RATES {
            let row = measure(&fleet, rate).await?;
            let orders = row.orders.max(1) as f64;
            let millis = |quantile| row.latency.value_at_quantile(quantile) as f64 / 1_000.0;
            println!(
                "| {pace} ms | {rate} | {} | {} | {:.2} | {:.2} | {:.0} | {:.1} ms | {:.1} ms | {:.1} ms |",
                row.orders,
                row.whole,
                row.writes as f64 / orders,
                row.reads as f64 / orders,
                row.bytes as f64 / orders,
                millis(0.5),
                millis(0.95),
                millis(0.99),
            );
        }
    }
    println!();
    take_over().await
}
