//! Forwards requests unchanged between callers and upstreams that both speak a protocol defined elsewhere.
//!
//! [`edge`] is the interface to that protocol: the names of headers, and the decoding of what the store and the engines
//! send.
//!
//! Control state lives on the thread that runs [`run`]. Its tasks publish a view that the traffic thread reads:
//!
//! - [`follow`] keeps up with the configuration and the engines, `counted` counts the calls to the store;
//! - [`register`] registers this instance in the store, [`peers`] exchanges load and status with the other instances;
//! - [`orders`] orders engines to a stage;
//! - [`version_record`] records in the store which versions of the engines serve, [`stream_store`] which of them began
//!   each stream while there are several;
//! - [`crash_store`] keeps in the store under which requests several engines ended;
//! - [`lead`] holds the lease of the leader, the one instance that calls the cloud API for all through `cloud`: `usage`
//!   reports the usage, `scaling` orders engines.
//!
//! On the traffic thread:
//!
//! - [`server`] accepts requests, `head` parses their heads, `connections` limits how many connections are kept;
//! - [`forward`] takes each request to its final answer: `deliver` makes attempts until an engine delivers, `attempt` is
//!   one of them, `hedge` makes two at a time, `hedge_prefill` does so with calls for prefills, and `retries` decides what
//!   follows each;
//! - `pick` chooses engines, `rank` limits how far less urgent requests fill them, `fairness` accepts overdue ones beyond that, `job` counts what they are given,
//!   `service_time` records how long plain engines take, `versions` keeps each stream at the version that began it;
//! - [`connect`] connects to engines, `idle` closes connections that are no longer used and probes detached engines;
//! - `reading` has prefills computed, `prefilled` holds their results, [`stream`] passes events on;
//! - `gauges` sets the gauges on the page of metrics.

mod admission;
mod attempt;
mod body;
mod cloud;
pub mod confirm;
pub mod connect;
mod connections;
mod counted;
pub mod crash_store;
mod deliver;
pub mod edge;
mod ending;
mod event_stream;
mod failure;
mod fairness;
pub mod follow;
pub mod forward;
mod gauges;
mod guarded_stream;
mod head;
mod hedge;
mod hedge_prefill;
mod idle;
mod job;
pub mod known;
pub mod lead;
pub mod listen;
mod long_answer;
pub mod options;
pub mod orders;
pub mod peers;
mod pick;
mod prefilled;
mod rank;
mod reading;
pub mod register;
pub mod reply;
mod retries;
mod scaling;
pub mod send;
pub mod server;
mod service_time;
pub mod shared;
mod shared_call;
pub mod stream;
pub mod stream_store;
mod usage;
pub mod version_record;
mod versions;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use sequoiastream_core::log_event;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Store;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::log_event;
use crate::ops::relay::cloud::CloudClient;
use crate::ops::relay::counted::CountingStore;
use crate::ops::relay::edge::Translate;
use crate::ops::relay::known::StoreReplica;
use crate::ops::relay::options::Options;
use crate::ops::relay::options::Reload;
use crate::ops::relay::shared::ADDRESS_TTL_FACTOR;
use crate::ops::relay::shared::Shared;
use crate::util::clock;
use crate::util::logging::SharedBudget;

/// Time between two checks during a shutdown of whether the last request is answered.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Time that is left at the end of the grace period for the last answers to be written and the process to exit.
const EXIT_TIME: Duration = Duration::from_millis(500);

/// Part of [`EXIT_TIME`] in which only the process exits.
const PROCESS_END_TIME: Duration = Duration::from_millis(100);

/// Runs an instance until SIGTERM or SIGINT, then shuts down gracefully.
///
/// # Errors
///
/// If an address can't be bound or the server fails.
pub async fn run(
    options: Options,
    store: Rc<dyn Store>,
    translate: Arc<dyn Translate>,
    budget: SharedBudget,
    reload: Reload,
) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let shared = Arc::new(Shared::new(options, translate, budget));
    shared.traffic().budget.on_start(clock::now());
    let store: Rc<dyn Store> = Rc::new(CountingStore::new(store, shared.clone()));
    let server = listen::start(shared.clone()).wrap_err("could not start the server")?;
    let sockets = peers::Sockets::bind(&shared)
        .await
        .wrap_err("could not bind the sockets for peers")?;
    let known = StoreReplica::new();
    let fleet = peers::start(shared.clone(), sockets, known.clone());
    actix_rt::spawn(follow::run(
        shared.clone(),
        store.clone(),
        fleet.clone(),
        known.clone(),
    ));
    actix_rt::spawn(orders::run(shared.clone(), store.clone()));
    actix_rt::spawn(version_record::run(shared.clone(), store.clone(), fleet.clone()));
    stream_store::start(&shared, &store);
    confirm::start(&shared, &store, known);
    actix_rt::spawn(crash_store::run(shared.clone(), store.clone()));
    start_leader_tasks(&shared, &store, &fleet);
    let registration = register::start(shared.clone(), store, fleet.clone());
    actix_rt::spawn(reload_on_hangup(hangup, shared.clone(), reload));
    log_event!(info, log_event::STARTED, address = %shared.options.front);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log_event!(info, log_event::STOPPING, running = shared.running());
    let begun = clock::now();
    shared.leave(begun);
    fleet.leave();
    registration.end().await;
    drain(&shared, begun).await;
    let left = shared
        .reloadable()
        .grace_period
        .saturating_sub(clock::now().since(begun));
    listen::stop(&server, left.saturating_sub(PROCESS_END_TIME)).await;
    log_event!(info, log_event::STOPPED, running = shared.running());
    Ok(())
}

/// Starts the tasks that the leader performs for all instances, as far as the settings enable any.
pub fn start_leader_tasks(shared: &Arc<Shared>, store: &Rc<dyn Store>, fleet: &peers::Fleet) {
    let Some(options) = shared
        .options
        .leader
        .clone()
        .filter(|options| options.usage || options.scale)
    else {
        return;
    };
    let leadership = lead::start(shared.clone(), store.clone(), options.lease);
    let cloud = CloudClient::new(shared.clone(), options.address, leadership);
    if options.usage {
        let (shared, store, fleet) = (shared.clone(), store.clone(), fleet.clone());
        actix_rt::spawn(usage::run(shared, store, fleet, cloud.clone(), options.window));
    }
    if options.scale {
        actix_rt::spawn(scaling::run(shared.clone(), fleet.clone(), cloud));
    }
}

/// Reads the settings again at each SIGHUP, which would end the process if it weren't handled. Settings that can't be
/// read change nothing; names and addresses change only with the next start.
async fn reload_on_hangup(mut hangup: Signal, shared: Arc<Shared>, reload: Reload) {
    while hangup.recv().await.is_some() {
        match reload() {
            Ok(options) => {
                let changed = options.reloadable != *shared.reloadable();
                shared.reload(options.reloadable);
                log_event!(info, log_event::RELOADED, changed);
            }
            Err(error) => log_event!(error, log_event::RELOAD_REFUSED, error),
        }
    }
}

/// Continues to serve for as long as callers may use a cached address, then until the last request is answered or the
/// grace period ends, which began at `begun`.
async fn drain(shared: &Shared, begun: Time) {
    let min_time = shared.reloadable().address_ttl * ADDRESS_TTL_FACTOR;
    let max_time = shared.reloadable().grace_period.saturating_sub(EXIT_TIME);
    loop {
        let elapsed = clock::now().since(begun);
        let is_idle = shared.running() == 0;
        if elapsed >= max_time || (elapsed >= min_time && is_idle) {
            return;
        }
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
}
