//! Measures the latency that an entry instance adds to a request, and how many tokens it relays per second of processor
//! time.
//!
//! Latency is measured with short calls to a plain service, sent alternately directly and through the instance, while
//! streams run through the instance. Calls to an engine would hide the added latency, since an engine's steps take tens
//! of milliseconds.

use std::fs;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use awc::Connector;
use eyre::WrapErr;
use hdrhistogram::Histogram;
use sequoiastream_core::config::Role;
use serde::Deserialize;
use serde::Serialize;

use crate::experiment::fleet::Fleet;
use crate::experiment::fleet::MODEL;
use crate::experiment::fleet::Plan;
use crate::experiment::fleet::ProductSpec;
use crate::load::caller::Ending;
use crate::load::caller::Session;
use crate::load::caller::call;
use crate::load::mix::Job;
use crate::load::mix::Kind;

/// Number of short calls by each path: direct, and through the instance.
const CALL_COUNT: usize = 1_000;

/// Pause after each pair of calls.
const CALL_INTERVAL: Duration = Duration::from_millis(4);

/// Number of tokens in a stream.
const STREAM_TOKENS: u32 = 400;

/// Wait before the short calls begin, so that all streams are running.
const RAMP_UP: Duration = Duration::from_secs(2);

/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Result of a measurement at a given number of streams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryResult {
    /// Number of streams through the instance.
    pub streams: usize,
    /// Median and 99th percentile of a direct call, in microseconds.
    pub direct: [u64; 2],
    /// Median and 99th percentile of a call through the instance, in microseconds.
    pub through: [u64; 2],
    /// Number of tokens relayed by complete streams.
    pub tokens: u64,
    /// Processor time used by the instance, in seconds.
    pub processor: f64,
    /// Number of streams that didn't complete.
    pub broken: usize,
}

impl EntryResult {
    /// Formats the result as a row of the table.
    pub fn table_row(&self) -> String {
        let added = |i: usize| self.through[i] as f64 / 1_000.0 - self.direct[i] as f64 / 1_000.0;
        format!(
            "| {} | {:.2} / {:.2} | {:.2} / {:.2} | {:.2} / {:.2} | {:.0} | {} |",
            self.streams,
            self.direct[0] as f64 / 1_000.0,
            self.direct[1] as f64 / 1_000.0,
            self.through[0] as f64 / 1_000.0,
            self.through[1] as f64 / 1_000.0,
            added(0),
            added(1),
            self.tokens as f64 / self.processor.max(0.01),
            self.broken,
        )
    }
}

/// Header of the table.
pub const TABLE_HEADER: &str = "| streams | direct p50 / p99, ms | through p50 / p99, ms | added p50 / p99, ms | tokens a processor second | broken |\n| --- | --- | --- | --- | --- | --- |";

/// Measures an instance while `streams` streams run through it.
///
/// # Errors
///
/// If a process doesn't start, the configuration isn't in force in time, or the processor time can't be read.
pub async fn measure(streams: usize, plan: &Plan) -> eyre::Result<EntryResult> {
    let plan = Plan {
        policy: "round-robin".to_string(),
        roles: vec![Role::Decode; 4],
        daemons: 1,
        slots: 1_024,
        decode: 150,
        products: vec![ProductSpec {
            name: "assistente".to_string(),
            share: 100,
            weight: 0,
        }],
        ..plan.clone()
    };
    let fleet = Fleet::start(&plan).await?;
    let client = Client::builder()
        .connector(Connector::new().limit(0))
        .disable_redirects()
        .disable_timeout()
        .finish();
    let session = Session {
        base: fleet.daemons[0].url(),
        key: plan.products[0].key(),
        model: MODEL.to_string(),
        service: "ordini".to_string(),
        deadline: Duration::from_secs(120),
    };
    let before = processor_seconds(fleet.daemons[0].id())?;
    let running: Vec<_> = (0..streams)
        .map(|index| start(&client, &session, index))
        .collect();
    tokio::time::sleep(RAMP_UP).await;
    let path = "/lookup";
    let direct = format!("{}{path}", fleet.plain.url());
    let through = format!("{}/services/ordini{path}", session.base);
    let mut times = [histogram()?, histogram()?];
    for _ in 0..CALL_COUNT {
        times[0].saturating_record(time_call(&client, &direct, &session.key).await);
        times[1].saturating_record(time_call(&client, &through, &session.key).await);
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let mut whole = 0;
    for stream in running {
        whole += usize::from(stream.await?);
    }
    let processor = processor_seconds(fleet.daemons[0].id())? - before;
    let median_and_p99 = |h: &Histogram<u64>| [h.value_at_quantile(0.5), h.value_at_quantile(0.99)];
    Ok(EntryResult {
        streams,
        direct: median_and_p99(&times[0]),
        through: median_and_p99(&times[1]),
        tokens: whole as u64 * u64::from(STREAM_TOKENS),
        processor,
        broken: streams - whole,
    })
}

fn histogram() -> eyre::Result<Histogram<u64>> {
    Histogram::new_with_max(10_000_000, 3).wrap_err("invalid histogram bounds")
}

fn start(client: &Client, session: &Session, index: usize) -> actix_rt::task::JoinHandle<bool> {
    let (client, session) = (client.clone(), session.clone());
    let job = Job {
        at: Duration::ZERO,
        phase: 0,
        product: 0,
        kind: Kind::Chat,
        prompt: format!("stream {index}"),
        max_tokens: STREAM_TOKENS,
        seed: index as u64,
    };
    actix_rt::spawn(async move { call(&client, &session, &job).await.ending == Ending::Whole })
}

/// Sends a call and returns its duration in microseconds.
async fn time_call(client: &Client, url: &str, key: &str) -> u64 {
    let begun = Instant::now();
    let sent = client.get(url).bearer_auth(key).send().await;
    if let Ok(mut answer) = sent {
        let _ = answer.body().await;
    }
    begun.elapsed().as_micros() as u64
}

/// Returns the processor time that a process has used, in seconds.
fn processor_seconds(id: u32) -> eyre::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let numbers: Vec<f64> = fields.split_whitespace().filter_map(|f| f.parse().ok()).collect();
    // After the state letter, user and system time are the 11th and 12th numbers.
    let ticks = numbers.get(10).copied().unwrap_or(0.0) + numbers.get(11).copied().unwrap_or(0.0);
    Ok(ticks / TICKS_PER_SECOND)
}
