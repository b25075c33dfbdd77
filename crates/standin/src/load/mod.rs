//! Open-loop load generator: sends each request at its scheduled time, regardless of whether earlier requests have
//! completed, and reports the results that callers observed.

pub mod addresses;
pub mod caller;
pub mod cli;
pub mod mix;
pub mod report;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use awc::Connector;
use uuid::Uuid;

use crate::engine::OrderRecord;
use crate::load::addresses::Addresses;
use crate::load::caller::CallResult;
use crate::load::caller::Ending;
use crate::load::caller::Session;
use crate::load::mix::Deadlines;
use crate::load::mix::Job;
use crate::load::mix::Traffic;
use crate::load::mix::jobs;
use crate::load::report::LatencyTargets;
use crate::load::report::Recorder;
use crate::load::report::Report;

/// Timeout for connecting to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of a load run.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Addresses of instances, used in turn until `/v1/addresses` returns others.
    pub targets: Vec<SocketAddr>,
    /// Traffic of each product.
    pub traffic: Vec<Traffic>,
    /// Requested model.
    pub model: String,
    /// Plain service that receives the orders.
    pub service: String,
    /// Deadlines by kind of request.
    pub deadlines: Deadlines,
    /// Latency targets; the report counts the streamed answers that meet both.
    pub latency_targets: LatencyTargets,
    /// Seed for generating the jobs.
    pub seed: u64,
    /// Engines whose role changes are counted.
    pub engines: Vec<SocketAddr>,
    /// Plain upstreams whose order executions are counted.
    pub plain: Vec<SocketAddr>,
}

struct PlacedOrder {
    key: Uuid,
    ending: Ending,
}

/// Sends all jobs at their scheduled times and waits until every one has ended.
///
/// # Errors
///
/// If a task panics, or if a stand-in replies with records that can't be decoded.
pub async fn run(settings: LoadSettings) -> eyre::Result<Report> {
    let client = Client::builder()
        .connector(Connector::new().timeout(CONNECT_TIMEOUT).limit(0))
        .disable_redirects()
        .disable_timeout()
        .finish();
    let jobs = jobs(&settings.traffic, settings.seed);
    let recorder = Rc::new(RefCell::new(Recorder::new(
        settings.seed,
        settings.latency_targets,
    )));
    let placed = Rc::new(RefCell::new(Vec::new()));
    let settings = Rc::new(settings);
    let addresses = Rc::new(RefCell::new(Addresses::new(&settings.targets)));
    let start = tokio::time::Instant::now();
    let mut calls = Vec::with_capacity(jobs.len());
    for (index, job) in jobs.into_iter().enumerate() {
        tokio::time::sleep_until(start + job.at).await;
        let session = session(&settings, &addresses, &client, &job, index);
        let (client, recorder, placed) = (client.clone(), recorder.clone(), placed.clone());
        let settings = settings.clone();
        calls.push(actix_rt::spawn(async move {
            let result = caller::call(&client, &session, &job).await;
            record(&mut recorder.borrow_mut(), &settings, &job, &result);
            if let Some(key) = result.key {
                placed.borrow_mut().push(PlacedOrder {
                    key,
                    ending: result.ending,
                });
            }
        }));
    }
    for call in calls {
        call.await?;
    }
    let seconds = start.elapsed().as_secs_f64();
    let recorder = Rc::into_inner(recorder)
        .expect("all calls have ended")
        .into_inner();
    let mut report = recorder.finish(seconds);
    report.changes = count_changes(&client, &settings.engines).await?;
    let placed = placed.take();
    count_orders(&client, &settings.plain, &placed, &mut report).await?;
    Ok(report)
}

fn session(
    settings: &LoadSettings,
    addresses: &Rc<RefCell<Addresses>>,
    client: &Client,
    job: &Job,
    index: usize,
) -> Session {
    let key = settings.traffic[job.product].key.clone();
    addresses::refresh(addresses, client, &key);
    Session {
        base: addresses.borrow().choose(index),
        key,
        model: settings.model.clone(),
        service: settings.service.clone(),
        deadline: settings.deadlines.of(job.kind),
    }
}

fn record(recorder: &mut Recorder, settings: &LoadSettings, job: &Job, result: &CallResult) {
    let product = &settings.traffic[job.product].product;
    let kind = format!("{:?}", job.kind).to_lowercase();
    let deadline = settings.deadlines.of(job.kind);
    recorder.add(result, product, &kind, job.phase, deadline);
}

/// Counts the orders that took effect at the engines and changed a role. An engine that doesn't answer counts as zero.
async fn count_changes(client: &Client, engines: &[SocketAddr]) -> eyre::Result<u64> {
    let mut changes = 0;
    for engine in engines {
        let request = client.get(format!("http://{engine}/control/orders"));
        let Ok(mut answer) = request.send().await else {
            continue;
        };
        let orders: Vec<OrderRecord> = answer.json().await?;
        let mut last = None;
        for order in orders.into_iter().filter(|o| o.applied) {
            // A repeated order (same sequence number) changes nothing.
            if last.replace(order.order.sequence) != Some(order.order.sequence) {
                changes += 1;
            }
        }
    }
    Ok(changes)
}

async fn count_orders(
    client: &Client,
    plain: &[SocketAddr],
    placed: &[PlacedOrder],
    report: &mut Report,
) -> eyre::Result<()> {
    if plain.is_empty() {
        return Ok(());
    }
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for upstream in plain {
        let request = client.get(format!("http://{upstream}/control/runs"));
        let Ok(mut answer) = request.send().await else {
            continue;
        };
        let counted: BTreeMap<String, u32> = answer.json().limit(16 * 1024 * 1024).await?;
        for (key, count) in counted {
            *runs.entry(key).or_default() += count;
        }
    }
    for order in placed {
        let count = runs.get(&order.key.to_string()).copied().unwrap_or(0);
        report.doubled += u64::from(count > 1);
        report.lost += u64::from(count == 0 && order.ending == Ending::Whole);
        report.untrue += u64::from(count > 0 && order.ending == Ending::NotRun);
    }
    Ok(())
}
