//! Polls the engines for load reports and cache events and passes them to the router.
//!
//! An instance polls every engine of its own availability zone, and a few engines of the other zones in turn, so that
//! the number of reads per second does not grow with the fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::ResponseActFuture;
use actix::WrapFuture;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::engine::Speed;
use sequoiastream_core::name::Name;
use sequoiastream_core::route::LoadReport;
use sequoiastream_core::snapshot::EngineView;
use sequoiastream_core::snapshot::Snapshot;
use sequoiastream_upstream::EngineClient;
use sequoiastream_upstream::UpstreamError;
use sequoiastream_upstream::wire::CacheEvent;
use sequoiastream_upstream::wire::LoadBody;

use crate::ops::shared::Shared;
use crate::util::clock;

/// Maximum number of engines of the local zone per poll period. If there are more, the period is lengthened.
const ENGINES_PER_PERIOD: usize = 16;

/// Number of engines of other zones that are polled in each period, in turn.
const REMOTE_PER_PERIOD: usize = 8;

/// Polls the engines' load.
#[derive(Debug)]
pub struct LoadActor {
    shared: Arc<Shared>,
    engines: EngineClient,
    /// The number of the last cache event received from each engine.
    event_numbers: BTreeMap<Name, u64>,
    /// Position among the engines of other zones at which the next poll starts.
    next_remote: usize,
}

/// The responses of one engine to a poll.
struct PollResult {
    name: Name,
    load: Result<LoadBody, UpstreamError>,
    events: Vec<CacheEvent>,
}

impl LoadActor {
    /// Creates an actor that has polled no engine.
    pub fn new(shared: Arc<Shared>) -> LoadActor {
        LoadActor {
            shared,
            engines: EngineClient::new(),
            event_numbers: BTreeMap::new(),
            next_remote: 0,
        }
    }

    /// Polls the engines that are due, and schedules the next poll.
    fn tick(&mut self, context: &mut Context<Self>) {
        let snapshot = self.shared.snapshot.load_full();
        let heard = self.shared.roster().peers.iter().filter(|p| p.heard).count();
        {
            let mut router = self.shared.router();
            router.sync_engines(&snapshot);
            router.set_instances(1 + heard);
        }
        self.shared.policy.limits().set_instances(1 + heard);
        let (local, remote) = split_by_zone(&snapshot, &self.shared.settings.zone);
        for engine in local.iter().copied().chain(self.choose_remote(&remote)) {
            self.poll(engine, context);
        }
        self.event_numbers
            .retain(|name, _| snapshot.engines.iter().any(|(_, e)| e.name == *name));
        let periods = local.len().div_ceil(ENGINES_PER_PERIOD).max(1) as u32;
        context.run_later(self.shared.settings.load_interval * periods, LoadActor::tick);
    }

    /// Returns the engines of other zones that are next in turn.
    fn choose_remote<'a>(&mut self, remote: &[&'a EngineView]) -> Vec<&'a EngineView> {
        let count = remote.len().min(REMOTE_PER_PERIOD);
        let chosen = (0..count).map(|i| remote[(self.next_remote + i) % remote.len()]);
        let chosen = chosen.collect();
        self.next_remote = self.next_remote.wrapping_add(count);
        chosen
    }

    /// Polls an engine and passes the result to the router.
    fn poll(&self, engine: &EngineView, context: &mut Context<Self>) {
        let poll = self.request_load(engine).into_actor(self);
        context.spawn(poll.map(|result, actor, _| actor.on_polled(result)));
    }

    /// Requests an engine's load and its cache events after the last one received.
    fn request_load(&self, engine: &EngineView) -> impl Future<Output = PollResult> + use<> {
        let client = self.engines.clone();
        let name = engine.name.clone();
        let address = engine.address;
        let after = self.event_numbers.get(&name).copied().unwrap_or(0);
        async move {
            let load = client.load(address).await;
            // If the load request fails, the cache events are not requested.
            let events = match load.is_ok() {
                true => client.cache_events(address, after).await.unwrap_or_default(),
                false => Vec::new(),
            };
            PollResult { name, load, events }
        }
    }

    /// Passes a poll's result to the router. A gap between the numbers of cache events means that events were missed.
    fn on_polled(&mut self, result: PollResult) {
        let metrics = &self.shared.metrics.policy;
        let Ok(body) = result.load else {
            metrics.polls_failed.inc();
            return;
        };
        metrics.polls.inc();
        let now = clock::now();
        let mut router = self.shared.router();
        router.report(&result.name, load_report(&body));
        let last = self.event_numbers.entry(result.name.clone()).or_default();
        for event in result.events {
            if *last > 0 && event.number > *last + 1 {
                metrics.cache_gaps.inc();
                router.cache_gap(&result.name);
            }
            *last = event.number;
            router.cache_event(now, &result.name, event.block, event.stored);
        }
    }
}

/// Polls the engine with this name at once; answered when the router has its report or the poll has failed.
#[derive(Debug)]
pub struct RefreshLoad(pub Name);

impl Message for RefreshLoad {
    type Result = ();
}

impl Handler<RefreshLoad> for LoadActor {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, RefreshLoad(name): RefreshLoad, _: &mut Context<Self>) -> Self::Result {
        let snapshot = self.shared.snapshot.load();
        let engine = snapshot.engines.iter().find(|(_, e)| e.name == name);
        match engine {
            Some((_, engine)) => {
                let poll = self.request_load(engine).into_actor(self);
                Box::pin(poll.map(|result, actor, _| actor.on_polled(result)))
            }
            None => Box::pin(actix::fut::ready(())),
        }
    }
}

impl Actor for LoadActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.tick(context);
    }
}

/// Splits the model engines into those to poll in every period, which are those of `zone`, and those to poll in turn.
/// If there are at most [`ENGINES_PER_PERIOD`] in total, all of them are polled in every period.
fn split_by_zone<'a>(snapshot: &'a Snapshot, zone: &Name) -> (Vec<&'a EngineView>, Vec<&'a EngineView>) {
    let all: Vec<&EngineView> = snapshot
        .engines
        .iter()
        .map(|(_, e)| e)
        .filter(|e| is_model(snapshot, e))
        .collect();
    match all.len() <= ENGINES_PER_PERIOD {
        true => (all, Vec::new()),
        false => all.into_iter().partition(|e| e.zone == *zone),
    }
}

/// Whether the engine belongs to a model service.
fn is_model(snapshot: &Snapshot, engine: &EngineView) -> bool {
    let service = snapshot.services.get(engine.service);
    service.is_some_and(|s| matches!(s.kind, ServiceKind::Model { .. }))
}

/// Converts a load response to a report. `body.age` is in milliseconds.
fn load_report(body: &LoadBody) -> LoadReport {
    LoadReport {
        at: clock::now() - Duration::from_millis(body.age),
        role: body.role,
        away: body.away,
        running: body.running,
        queued: body.queued,
        prefill: body.prefill,
        speed: Speed {
            prefill: f64::from(body.prefill_rate.max(1)),
            decode: f64::from(body.decode_rate.max(1)),
            slots: body.slots,
        },
    }
}
