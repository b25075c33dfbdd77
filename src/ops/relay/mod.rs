//! Forwarding requests unchanged between callers and upstreams that both speak somebody else's protocol.
//!
//! [`edge`] is where that protocol comes in: names of headers, and the decoding of what the store and the engines
//! hold. Control state lives on the thread that runs [`run`]: [`follow`] keeps up with the configuration and the
//! engines, [`orders`] gives engines their stage, [`register`] makes this instance known, [`peers`] tells the others
//! about load; `counted` counts what they ask of the store. [`lead`] holds the lease under which one instance acts for all
//! through `cloud`: `usage` reports, `scaling` orders engines. They publish a view that the traffic thread reads:
//! [`server`] takes requests, `head` reads what they ask, [`forward`] makes the attempts, `pick` chooses engines,
//! `reading` has prompts read, [`stream`] passes events on, `idle` closes connections that nobody needs. `gauges` fills
//! the page of metrics.

mod cloud;
mod counted;
pub mod edge;
pub mod follow;
pub mod forward;
mod gauges;
mod head;
mod idle;
pub mod known;
pub mod lead;
pub mod options;
pub mod orders;
pub mod peers;
mod pick;
mod reading;
pub mod register;
pub mod reply;
mod scaling;
pub mod send;
pub mod server;
pub mod shared;
pub mod stream;
mod usage;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use sequoiastream_core::log_event;
use sequoiastream_kv::store::Store;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::log_event;
use crate::ops::relay::cloud::Cloud;
use crate::ops::relay::counted::CountingStore;
use crate::ops::relay::edge::Translate;
use crate::ops::relay::known::Known;
use crate::ops::relay::options::Options;
use crate::ops::relay::options::Reload;
use crate::ops::relay::shared::KEEP_FACTOR;
use crate::ops::relay::shared::Shared;
use crate::util::clock;
use crate::util::logging::SharedBudget;

/// How often a shutdown looks whether the last request is answered.
const STEP: Duration = Duration::from_millis(20);

/// Time at the end of the grace period that is left for the process itself to end.
const EXIT: Duration = Duration::from_millis(500);

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
    let store: Rc<dyn Store> = Rc::new(CountingStore::new(store, shared.clone()));
    let server = server::start(shared.clone()).wrap_err("could not serve")?;
    let sockets = peers::Sockets::bind(&shared)
        .await
        .wrap_err("could not open the peers' sockets")?;
    let known = Known::new();
    let fleet = peers::start(shared.clone(), sockets, known.clone());
    actix_rt::spawn(follow::run(shared.clone(), store.clone(), fleet.clone(), known));
    actix_rt::spawn(orders::run(shared.clone(), store.clone()));
    act(&shared, &store, &fleet);
    let registration = register::start(shared.clone(), store, fleet.clone());
    actix_rt::spawn(reload_on(hangup, shared.clone(), reload));
    log_event!(info, log_event::STARTED, address = %shared.options.front);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log_event!(info, log_event::STOPPING, running = shared.running());
    shared.leave(clock::now());
    fleet.leave();
    registration.end().await;
    drain(&shared).await;
    server.stop(false).await;
    log_event!(info, log_event::STOPPED, running = shared.running());
    Ok(())
}

/// Starts what one instance does for all, as the settings say.
pub fn act(shared: &Arc<Shared>, store: &Rc<dyn Store>, fleet: &peers::Fleet) {
    let Some(acts) = shared
        .options
        .acts
        .clone()
        .filter(|acts| acts.usage || acts.scale)
    else {
        return;
    };
    let leadership = lead::start(shared.clone(), store.clone(), acts.lease);
    let cloud = Cloud::new(shared.clone(), acts.address, leadership);
    if acts.usage {
        let (shared, store, fleet) = (shared.clone(), store.clone(), fleet.clone());
        actix_rt::spawn(usage::run(shared, store, fleet, cloud.clone(), acts.window));
    }
    if acts.scale {
        actix_rt::spawn(scaling::run(shared.clone(), cloud));
    }
}

/// Reads the settings anew at each SIGHUP. Without this the signal would end the process. Settings that can't be read
/// change nothing; names and addresses change with the next start only.
async fn reload_on(mut hangup: Signal, shared: Arc<Shared>, reload: Reload) {
    while hangup.recv().await.is_some() {
        match reload() {
            Ok(options) => {
                let changed = options.tuning != *shared.tuning();
                shared.tune(options.tuning);
                log_event!(info, log_event::RELOADED, changed);
            }
            Err(error) => log_event!(error, log_event::RELOAD_REFUSED, error),
        }
    }
}

/// Serves on for as long as callers may keep this address, then until the last answer is out or the grace ends.
async fn drain(shared: &Shared) {
    let begun = clock::now();
    let kept = shared.tuning().keep * KEEP_FACTOR;
    let most = shared.tuning().grace.saturating_sub(EXIT);
    loop {
        let passed = clock::now().since(begun);
        let idle = shared.running() == 0;
        if passed >= most || (passed >= kept && idle) {
            return;
        }
        tokio::time::sleep(STEP).await;
    }
}
