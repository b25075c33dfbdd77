//! Polls the engines' load reports and cache events and gives them to the router.
//!
//! Cells: of its own availability zone an instance follows every engine; of the others it asks a few in turn, so
//! that what it reads a second does not grow with the fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
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

/// Engines of the own zone that are asked in each period; with more, the period grows.
const ENGINES_PER_PERIOD: usize = 16;

/// Engines of other zones that are asked in each period, in turn.
const REMOTE_PER_PERIOD: usize = 8;

/// Follower of the engines' load.
#[derive(Debug)]
pub struct LoadActor {
    shared: Arc<Shared>,
    engines: EngineClient,
    event_numbers: BTreeMap<Name, u64>,
    next_remote: usize,
}

struct PollResult {
    name: Name,
    load: Result<LoadBody, UpstreamError>,
    events: Vec<CacheEvent>,
}

impl LoadActor {
    /// A follower that knows of no engines.
    pub fn new(shared: Arc<Shared>) -> LoadActor {
        LoadActor {
            shared,
            engines: EngineClient::new(),
            event_numbers: BTreeMap::new(),
            next_remote: 0,
        }
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let snapshot = self.shared.snapshot.load_full();
        let heard = self.shared.roster().peers.iter().filter(|p| p.heard).count();
        {
            let mut router = self.shared.router();
            router.sync_engines(&snapshot);
            router.set_instances(1 + heard);
        }
        self.shared.policy.limits().set_instances(1 + heard);
        let (own, foreign) = split_by_zone(&snapshot, &self.shared.settings.zone);
        for engine in own.iter().copied().chain(self.choose_remote(&foreign)) {
            self.poll(engine, context);
        }
        self.event_numbers
            .retain(|name, _| snapshot.engines.iter().any(|(_, e)| e.name == *name));
        let stretch = own.len().div_ceil(ENGINES_PER_PERIOD).max(1) as u32;
        context.run_later(self.shared.settings.poll * stretch, LoadActor::tick);
    }

    fn choose_remote<'a>(&mut self, foreign: &[&'a EngineView]) -> Vec<&'a EngineView> {
        let count = foreign.len().min(REMOTE_PER_PERIOD);
        let chosen = (0..count).map(|i| foreign[(self.next_remote + i) % foreign.len()]);
        let chosen = chosen.collect();
        self.next_remote = self.next_remote.wrapping_add(count);
        chosen
    }

    fn poll(&mut self, engine: &EngineView, context: &mut Context<Self>) {
        let client = self.engines.clone();
        let name = engine.name.clone();
        let address = engine.address;
        let after = self.event_numbers.get(&name).copied().unwrap_or(0);
        let asked = async move {
            let load = client.load(address).await;
            // An engine that reports no load is not asked for more.
            let events = match load.is_ok() {
                true => client.cache_events(address, after).await.unwrap_or_default(),
                false => Vec::new(),
            };
            PollResult { name, load, events }
        };
        context.spawn(
            asked
                .into_actor(self)
                .map(|polled, actor, _| actor.on_polled(polled)),
        );
    }

    fn on_polled(&mut self, polled: PollResult) {
        let metrics = &self.shared.metrics.policy;
        let Ok(body) = polled.load else {
            metrics.polls_failed.inc();
            return;
        };
        metrics.polls.inc();
        let now = clock::now();
        let mut router = self.shared.router();
        router.report(&polled.name, load_report(&body));
        let last = self.event_numbers.entry(polled.name.clone()).or_default();
        for event in polled.events {
            if *last > 0 && event.number > *last + 1 {
                metrics.cache_gaps.inc();
                router.cache_gap(&polled.name);
            }
            *last = event.number;
            router.cache_event(now, &polled.name, event.block, event.stored);
        }
    }
}

impl Actor for LoadActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.tick(context);
    }
}

/// Model engines of the own zone, and those of the others. A small fleet is one cell.
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

fn is_model(snapshot: &Snapshot, engine: &EngineView) -> bool {
    let service = snapshot.services.get(engine.service);
    service.is_some_and(|s| matches!(s.kind, ServiceKind::Model { .. }))
}

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
