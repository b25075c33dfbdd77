//! Runs the role planners: each instance observes the demand, and the instance that holds a service's authority
//! proposes role changes to the authority.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::Addr;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;
use futures_util::future::join_all;
use sequoiastream_core::config::EngineState;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::engine::Target;
use sequoiastream_core::log_event;
use sequoiastream_core::membership::Standing;
use sequoiastream_core::name::Name;
use sequoiastream_core::roles::EngineStatus;
use sequoiastream_core::roles::Planner;
use sequoiastream_core::roles::PlannerInput;
use sequoiastream_core::roles::RoleChange;
use sequoiastream_core::route::Router;
use sequoiastream_core::snapshot::EngineView;
use sequoiastream_core::snapshot::ServiceView;
use sequoiastream_core::snapshot::Snapshot;
use sequoiastream_core::time::Time;
use sequoiastream_upstream::EngineClient;
use sequoiastream_upstream::wire::LoadBody;

use crate::log_event;
use crate::ops::control::AuthorityActor;
use crate::ops::control::IsHolder;
use crate::ops::control::Propose;
use crate::ops::shared::Shared;
use crate::util::clock;

/// Minimum and maximum time between two plans.
const PLAN_INTERVAL: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Maximum age of the load reports that a plan uses, in multiples of the poll interval.
const MAX_AGE_POLLS: u32 = 4;

/// Runs the role planner of each model service.
#[derive(Debug)]
pub struct RolesActor {
    shared: Arc<Shared>,
    authority: Addr<AuthorityActor>,
    engines: EngineClient,
    planners: BTreeMap<Name, Planner>,
}

impl RolesActor {
    /// Creates an actor whose planners have observed no demand.
    pub fn new(shared: Arc<Shared>, authority: Addr<AuthorityActor>) -> RolesActor {
        RolesActor {
            shared,
            authority,
            engines: EngineClient::new(),
            planners: BTreeMap::new(),
        }
    }

    /// Records the demand, plans the services whose authority this instance holds, and schedules the next plan.
    fn tick(&mut self, context: &mut Context<Self>) {
        let snapshot = self.shared.snapshot.load_full();
        let services = model_services(&snapshot);
        self.observe_demand(&services);
        let checks = services.into_iter().map(|service| {
            let authority = self.authority.clone();
            async move {
                let held = authority.send(IsHolder(service.clone())).await;
                held.unwrap_or(false).then_some(service)
            }
        });
        context.spawn(join_all(checks).into_actor(self).map(|held, actor, context| {
            for service in held.into_iter().flatten() {
                actor.plan(&service, context);
            }
        }));
        let interval = (self.shared.settings.role_downtime / 3).clamp(PLAN_INTERVAL.0, PLAN_INTERVAL.1);
        context.run_later(interval, RolesActor::tick);
    }

    /// Passes the demand on this instance, multiplied by the number of instances, to the planners. Callers are assumed
    /// to spread evenly over the instances.
    fn observe_demand(&mut self, services: &[Name]) {
        let now = clock::now();
        let settings = &self.shared.settings;
        let heard = self.shared.roster().peers.iter().filter(|p| p.heard).count();
        let demand = self.shared.policy.take_demand();
        self.planners.retain(|name, _| services.contains(name));
        for service in services {
            let planner = self.planners.entry(service.clone());
            let planner = planner.or_insert_with(|| Planner::new(settings.policy, settings.role_downtime));
            let work = demand.get(service).copied().unwrap_or_default();
            planner.observe(now, work.scaled(1.0 + heard as f64));
        }
    }

    /// Plans one service. If the plan changes an engine, requests the engine's load and proposes the change.
    fn plan(&mut self, service: &Name, context: &mut Context<Self>) {
        let snapshot = self.shared.snapshot.load_full();
        let input = self.planner_input(&snapshot, service);
        let Some(planner) = self.planners.get_mut(service) else {
            return;
        };
        let Some(change) = planner.plan(clock::now(), &input) else {
            return;
        };
        let mut engines = snapshot.engines.iter().map(|(_, engine)| engine);
        let Some(engine) = engines.find(|e| e.name == change.engine) else {
            return;
        };
        let client = self.engines.clone();
        let address = engine.address;
        let load = async move { client.load(address).await };
        context.spawn(load.into_actor(self).map(move |load, actor, _| {
            if let Ok(body) = load {
                actor.propose(change, body);
            }
        }));
    }

    /// Proposes a role change to the authority. The engine's model, adapter and version stay as it reported them.
    fn propose(&self, change: RoleChange, body: LoadBody) {
        log_event!(
            info,
            log_event::ROLE_PROPOSED,
            engine = %change.engine,
            role = %change.role,
            gain = change.gain,
            price = change.price
        );
        self.shared.metrics.policy.changes_proposed.inc();
        let target = Target {
            role: change.role,
            model: body.model,
            adapter: body.adapter,
            version: body.version,
        };
        self.authority.do_send(Propose {
            engine: change.engine,
            target,
        });
    }

    /// Collects the status of a service's engines, except those that are leaving.
    fn planner_input(&self, snapshot: &Snapshot, service: &Name) -> PlannerInput {
        let now = clock::now();
        let roster = self.shared.roster();
        let router = self.shared.router();
        let view = service_view(snapshot, service);
        let engines = view.into_iter().flat_map(|s| s.engines.iter());
        let statuses = engines
            .filter_map(|key| snapshot.engines.get(*key))
            .filter(|engine| !roster.leaving.contains(&engine.address))
            .filter_map(|engine| engine_status(now, &router, engine));
        PlannerInput {
            engines: statuses.collect(),
            change_weight: change_weight(snapshot),
            max_age: self.shared.settings.load_interval * MAX_AGE_POLLS,
            platform_reachable: roster.standing == Standing::Current,
        }
    }
}

impl Actor for RolesActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.tick(context);
    }
}

/// Names of the model services.
fn model_services(snapshot: &Snapshot) -> Vec<Name> {
    let services = snapshot.services.iter().map(|(_, service)| service);
    let models = services.filter(|s| matches!(s.kind, ServiceKind::Model { .. }));
    models.map(|s| s.name.clone()).collect()
}

fn service_view<'a>(snapshot: &'a Snapshot, name: &Name) -> Option<&'a ServiceView> {
    let mut services = snapshot.services.iter().map(|(_, service)| service);
    services.find(|service| service.name == *name)
}

/// The status of an engine according to its last load report; `None` if it has not reported.
fn engine_status(now: Time, router: &Router, engine: &EngineView) -> Option<EngineStatus> {
    let report = router.engine_load(&engine.name)?.last()?;
    Some(EngineStatus {
        name: engine.name.clone(),
        role: report.role,
        fixed: engine.role.is_some() || engine.state != EngineState::Serving,
        away: report.away,
        requests: report.running + report.queued,
        speed: report.speed,
        age: now.since(report.at),
    })
}

/// The mean of the products' weights of role changes, weighted by the products' shares; 0 without shares.
fn change_weight(snapshot: &Snapshot) -> u32 {
    let products = snapshot.products.iter().map(|(_, product)| product);
    let (sum, shares) = products.fold((0, 0), |(sum, shares), p| {
        (
            sum + p.weight * p.share.millionths(),
            shares + p.share.millionths(),
        )
    });
    sum.checked_div(shares).unwrap_or(0)
}
