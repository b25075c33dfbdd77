//! Runs the authority of each model service: competes for the lease of the service and sends orders to its engines.
//!
//! The decisions are made in [`sequoiastream_core::authority`]; the actor here carries out the resulting actions.

mod drain;
mod engines;
mod kv;
mod tables;

pub use drain::unhold;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::Addr;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::ResponseActFuture;
use actix::ResponseFuture;
use actix::WrapFuture;
use futures_util::future::join_all;
use sequoiastream_core::authority::Action;
use sequoiastream_core::authority::Authority;
use sequoiastream_core::authority::EngineConfig;
use sequoiastream_core::authority::Event;
use sequoiastream_core::authority::Incarnation;
use sequoiastream_core::authority::Settings;
use sequoiastream_core::authority::Settlement;
use sequoiastream_core::authority::Timing;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::config::Version;
use sequoiastream_core::engine::Target;
use sequoiastream_core::log_event;
use sequoiastream_core::name::Name;
use sequoiastream_core::snapshot::Snapshot;
use sequoiastream_kv::Entry;
use sequoiastream_kv::KvClient;
use sequoiastream_kv::KvError;
use sequoiastream_kv::KvVersion;
use sequoiastream_kv::LeaseId;
use sequoiastream_operator::Table;
use sequoiastream_operator::http::OperatorError;
use sequoiastream_operator::wire::TableBody;
use sequoiastream_peer::call::CallClient;
use sequoiastream_peer::message::SettleOrder;
use sequoiastream_upstream::EngineClient;
use uuid::Uuid;

use crate::log_event;
use crate::ops::control::Shutdown;
use crate::ops::control::authority::drain::PeerClient;
use crate::ops::control::authority::kv::Acquired;
use crate::ops::control::load::LoadActor;
use crate::ops::shared::Shared;
use crate::util::clock;

/// Base of the pause after a failed watch, which doubles with each failure up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// Maximum pause between two watches.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Number of ticks during the TTL of a lease.
const TICKS_PER_LEASE: u32 = 100;

/// Runs the authority of each model service in the configuration.
pub struct AuthorityActor {
    shared: Arc<Shared>,
    kv: KvClient,
    engines: EngineClient,
    peers: Rc<PeerClient>,
    incarnation: Incarnation,
    authorities: BTreeMap<Name, ServiceAuthority>,
    /// The version of the configuration that was applied last.
    config_version: Version,
}

/// The authority of one service, and the state of its lease at the key-value service.
struct ServiceAuthority {
    authority: Authority,
    lease: Option<LeaseId>,
    /// Whether the key of the lease is absent; `None` if that is unknown.
    vacant: Option<bool>,
    /// Version of the key when it was last read; the next watch waits for another version.
    watched_version: KvVersion,
    /// Pause after the next failed watch, before doubling.
    pause: Duration,
}

/// Proposes a target for an engine on behalf of the planner. Only the holder of the authority applies it, and a role
/// that an operator fixed takes precedence.
#[derive(Debug, Clone, Message)]
#[rtype(result = "()")]
pub struct Propose {
    /// The engine.
    pub engine: Name,
    /// The proposed target.
    pub target: Target,
}

/// Asks whether this instance holds the authority of a service and its lease is valid by the local clock.
#[derive(Debug, Clone, Message)]
#[rtype(result = "bool")]
pub struct IsHolder(pub Name);

/// Asks this process for the outcome of an order that it opened.
#[derive(Debug, Clone, Message)]
#[rtype(result = "Settlement")]
pub struct AskSettlement {
    /// The service.
    pub service: Name,
    /// The process that opened the order.
    pub incarnation: Incarnation,
    /// The engine.
    pub engine: Name,
    /// Sequence number of the order.
    pub sequence: u64,
}

/// Requests the table of leases or of orders.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "Result<TableBody, OperatorError>")]
pub struct ShowAuthorities(pub Table);

impl From<SettleOrder> for AskSettlement {
    fn from(order: SettleOrder) -> AskSettlement {
        AskSettlement {
            service: order.service,
            incarnation: order.incarnation,
            engine: order.engine,
            sequence: order.sequence,
        }
    }
}

impl AuthorityActor {
    /// Creates an actor that holds no authority.
    pub fn new(
        shared: Arc<Shared>,
        load: Addr<LoadActor>,
        kv: KvClient,
        call_client: CallClient,
    ) -> AuthorityActor {
        AuthorityActor {
            peers: Rc::new(PeerClient::new(shared.clone(), load, kv.clone(), call_client)),
            shared,
            kv,
            engines: EngineClient::new(),
            incarnation: Incarnation(Uuid::new_v4()),
            authorities: BTreeMap::new(),
            config_version: Version::default(),
        }
    }

    /// Applies a new configuration and ticks the authority of each service.
    fn tick(&mut self, context: &mut Context<Self>) {
        self.apply_config(context);
        let services: Vec<Name> = self.authorities.keys().cloned().collect();
        for service in services {
            match self.authorities.get(&service).and_then(|entry| entry.vacant) {
                Some(true) => self.handle_event(&service, Event::Vacant, context),
                Some(false) => self.handle_event(&service, Event::Occupied, context),
                None => {}
            }
            self.handle_event(&service, Event::Tick, context);
        }
        let now = clock::now();
        let valid = self
            .authorities
            .values()
            .filter(|entry| entry.authority.is_holder(now));
        let valid = i64::try_from(valid.count()).unwrap_or(i64::MAX);
        self.shared.metrics.authority.lease_valid.set(valid);
    }

    /// Applies the configuration in force, if its version is new: resigns the authorities of removed services and
    /// starts those of new ones.
    fn apply_config(&mut self, context: &mut Context<Self>) {
        let snapshot = self.shared.snapshot.load_full();
        if snapshot.version == self.config_version {
            return;
        }
        self.config_version = snapshot.version;
        let mut models = BTreeMap::new();
        for (_, service) in snapshot.services.iter() {
            if let ServiceKind::Model { model } = &service.kind {
                models.insert(
                    service.name.clone(),
                    (model.clone(), engine_configs(&snapshot, &service.engines)),
                );
            }
        }
        let removed: Vec<Name> = self
            .authorities
            .keys()
            .filter(|s| !models.contains_key(*s))
            .cloned()
            .collect();
        for service in removed {
            self.handle_event(&service, Event::Resign, context);
            self.authorities.remove(&service);
        }
        for (service, (model, engines)) in models {
            if !self.authorities.contains_key(&service) {
                self.authorities
                    .insert(service.clone(), self.new_authority(&service));
                self.watch(service.clone(), context);
            }
            self.handle_event(&service, Event::Configured { model, engines }, context);
        }
    }

    /// Creates the authority of a service, which does not hold the lease.
    fn new_authority(&self, service: &Name) -> ServiceAuthority {
        let ttl = self.shared.settings.lease_ttl;
        let settings = Settings {
            service: service.clone(),
            instance: self.shared.settings.name.clone(),
            incarnation: self.incarnation,
            timing: Timing::new(ttl, kv::acquire_delay(ttl, service, &self.shared.settings.name)),
        };
        ServiceAuthority {
            authority: Authority::new(settings),
            lease: None,
            vacant: None,
            watched_version: KvVersion::default(),
            pause: MIN_PAUSE,
        }
    }

    /// Watches the key of a service's lease; the next watch starts after this one has ended.
    fn watch(&mut self, service: Name, context: &mut Context<Self>) {
        let Some(entry) = self.authorities.get(&service) else {
            return;
        };
        let watch = kv::watch(
            self.kv.clone(),
            service.clone(),
            entry.watched_version,
            self.shared.settings.watch_wait,
        );
        context.spawn(watch.into_actor(self).map(move |result, actor, context| {
            let Some(entry) = actor.authorities.get_mut(&service) else {
                return;
            };
            let pause = entry.on_watch(result);
            context.run_later(pause, move |actor, context| actor.watch(service, context));
        }));
    }

    /// Passes an event to the authority of a service and carries out the resulting actions.
    fn handle_event(&mut self, service: &Name, event: Event, context: &mut Context<Self>) {
        let Some(entry) = self.authorities.get_mut(service) else {
            return;
        };
        for action in entry.authority.handle_event(clock::now(), event) {
            self.perform(service, action, context);
        }
    }

    /// Carries out one action.
    fn perform(&mut self, service: &Name, action: Action, context: &mut Context<Self>) {
        let kv = self.kv.clone();
        match action {
            Action::Acquire(call) => self.acquire(service, call, context),
            Action::Renew(call) => {
                let lease = self.authorities.get(service).and_then(|entry| entry.lease);
                self.spawn_event(service, kv::renew(kv, call, lease), context);
            }
            Action::Release => self.release(service, context),
            Action::Read(call) => self.spawn_event(service, kv::read(kv, service.clone(), call), context),
            Action::Write { call, expect, record } => {
                let write = kv::write(kv, service.clone(), call, expect, record);
                self.spawn_event(service, write, context);
            }
            Action::Probe(engine) => self.probe(service, engine, context),
            Action::Hold(engine) => {
                let peers = self.peers.clone();
                let hold = self.shared.settings.lease_ttl;
                self.spawn_optional(service, async move { peers.hold(engine, hold).await }, context);
            }
            Action::Unhold(engine) => {
                let peers = self.peers.clone();
                self.spawn_event(service, async move { peers.unhold(engine).await }, context);
            }
            Action::AskWeights { engine, model } => {
                self.spawn_event(service, kv::ask_weights(kv, engine, model), context);
            }
            Action::Send(send) => self.send_order(service, send, context),
            Action::AskSettlement {
                holder,
                incarnation,
                engine,
                sequence,
            } => {
                let peers = self.peers.clone();
                let query = AskSettlement {
                    service: service.clone(),
                    incarnation,
                    engine,
                    sequence,
                };
                self.spawn_optional(
                    service,
                    async move { peers.ask_settlement(&holder, query).await },
                    context,
                );
            }
            notice => self.notify_operators(service, notice),
        }
    }

    /// Runs `future` and passes the resulting event to the authority.
    fn spawn_event<F>(&self, service: &Name, future: F, context: &mut Context<Self>)
    where
        F: Future<Output = Event> + 'static,
    {
        self.spawn_optional(service, async move { Some(future.await) }, context);
    }

    /// Runs `future` and passes the resulting event, if any, to the authority.
    fn spawn_optional<F>(&self, service: &Name, future: F, context: &mut Context<Self>)
    where
        F: Future<Output = Option<Event>> + 'static,
    {
        let service = service.clone();
        context.spawn(future.into_actor(self).map(move |event, actor, context| {
            if let Some(event) = event {
                actor.handle_event(&service, event, context);
            }
        }));
    }

    /// Requests the lease of a service, after releasing an earlier one.
    fn acquire(
        &mut self,
        service: &Name,
        call: sequoiastream_core::authority::CallId,
        context: &mut Context<Self>,
    ) {
        let previous = self
            .authorities
            .get_mut(service)
            .and_then(|entry| entry.lease.take());
        let name = self.shared.settings.name.clone();
        let acquire = kv::acquire(
            self.kv.clone(),
            service.clone(),
            name,
            previous,
            self.shared.settings.lease_ttl,
        );
        let service = service.clone();
        context.spawn(acquire.into_actor(self).map(move |acquired, actor, context| {
            let event = match acquired {
                Some(Acquired { lease, sent }) => {
                    if let Some(entry) = actor.authorities.get_mut(&service) {
                        entry.lease = Some(lease);
                    }
                    Event::Acquired { call, sent }
                }
                None => Event::NotAcquired { call },
            };
            actor.handle_event(&service, event, context);
        }));
    }

    /// Releases the lease of a service, if there is one.
    fn release(&mut self, service: &Name, context: &mut Context<Self>) {
        let lease = self
            .authorities
            .get_mut(service)
            .and_then(|entry| entry.lease.take());
        if let Some(lease) = lease {
            let kv = self.kv.clone();
            // If this fails, the lease expires by itself.
            let release = async move {
                let _ = kv.release(lease).await;
            };
            context.spawn(release.into_actor(self));
        }
    }

    /// Notifies operators of an action through metrics and the log.
    fn notify_operators(&self, service: &Name, action: Action) {
        let metrics = &self.shared.metrics.authority;
        match action {
            Action::TookOver(fence) => {
                metrics.held.inc();
                log_event!(info, log_event::AUTHORITY_TAKEN, %service, %fence);
            }
            Action::SteppedDown => {
                metrics.held.dec();
                log_event!(warn, log_event::AUTHORITY_LOST, %service);
            }
            Action::Closed {
                engine,
                sequence,
                reason,
            } => log_event!(info, log_event::ORDER_CLOSED, %engine, sequence, closing = %reason),
            Action::Unsettled { engine, sequence } => {
                metrics.unsettled.inc();
                log_event!(warn, log_event::ORDER_UNSETTLED, %engine, sequence);
            }
            Action::InvariantBroken(rule) => log_event!(error, log_event::INVARIANT_BROKEN, %service, rule),
            _ => {}
        }
    }
}

impl ServiceAuthority {
    /// Handles the result of a watch; returns the pause before the next one.
    fn on_watch(&mut self, result: Result<Option<Entry>, KvError>) -> Duration {
        match result {
            Ok(entry) => {
                if let Some(entry) = entry {
                    self.watched_version = entry.version;
                    self.vacant = Some(entry.value.is_none());
                }
                self.pause = MIN_PAUSE;
                Duration::ZERO
            }
            Err(error) => {
                log_event!(warn, log_event::KV_FAILED, %error, call = "watch lease");
                // While the key-value service is unavailable, the holder of the lease is unknown. No instance
                // then competes for the lease, so that the service is not flooded with requests when it returns.
                self.vacant = None;
                self.watched_version = KvVersion::default();
                self.pause = (self.pause * 2).min(MAX_PAUSE);
                self.pause.mul_f64(rand::random_range(0.5..1.0))
            }
        }
    }
}

/// The configuration of the given engines, as the authority needs it.
fn engine_configs(
    snapshot: &Snapshot,
    engines: &[sequoiastream_core::snapshot::EngineKey],
) -> Vec<EngineConfig> {
    let views = engines.iter().filter_map(|key| snapshot.engines.get(*key));
    views
        .map(|view| EngineConfig {
            name: view.name.clone(),
            fencing: view.fencing,
            role: view.role,
            released_sequence: snapshot.released.get(&view.name).copied().unwrap_or_default(),
        })
        .collect()
}

impl Actor for AuthorityActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        let tick = self.shared.settings.lease_ttl / TICKS_PER_LEASE;
        context.run_interval(tick, |actor, context| actor.tick(context));
    }
}

impl Handler<Propose> for AuthorityActor {
    type Result = ();

    fn handle(&mut self, Propose { engine, target }: Propose, context: &mut Context<Self>) {
        let snapshot = self.shared.snapshot.load();
        let view = snapshot.engines.iter().find(|(_, e)| e.name == engine);
        let service = view.and_then(|(_, e)| snapshot.services.get(e.service));
        if let Some(service) = service.map(|s| s.name.clone()) {
            self.handle_event(&service, Event::Proposed { engine, target }, context);
        }
    }
}

impl Handler<IsHolder> for AuthorityActor {
    type Result = bool;

    fn handle(&mut self, IsHolder(service): IsHolder, _: &mut Context<Self>) -> bool {
        let entry = self.authorities.get(&service);
        entry.is_some_and(|entry| entry.authority.is_holder(clock::now()))
    }
}

impl Handler<AskSettlement> for AuthorityActor {
    type Result = actix::MessageResult<AskSettlement>;

    fn handle(&mut self, query: AskSettlement, _: &mut Context<Self>) -> Self::Result {
        let entry = self.authorities.get_mut(&query.service);
        let settlement = entry.map(|entry| {
            entry
                .authority
                .settlement(query.incarnation, &query.engine, query.sequence)
        });
        actix::MessageResult(settlement.unwrap_or(Settlement::Unknown))
    }
}

impl Handler<ShowAuthorities> for AuthorityActor {
    type Result = ResponseFuture<Result<TableBody, OperatorError>>;

    fn handle(&mut self, ShowAuthorities(table): ShowAuthorities, _: &mut Context<Self>) -> Self::Result {
        let services = self.authorities.keys().cloned().collect();
        let kv = self.kv.clone();
        Box::pin(async move { tables::show(&kv, services, table).await })
    }
}

/// Resigns all authorities. Answered when the leases are released, so that other instances can take over at once.
impl Handler<Shutdown> for AuthorityActor {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, Shutdown: Shutdown, context: &mut Context<Self>) -> Self::Result {
        let mut leases = Vec::new();
        let services: Vec<Name> = self.authorities.keys().cloned().collect();
        for service in services {
            // The lease is taken out before the authority resigns, so that its release is awaited below.
            leases.extend(
                self.authorities
                    .get_mut(&service)
                    .and_then(|entry| entry.lease.take()),
            );
            self.handle_event(&service, Event::Resign, context);
        }
        let kv = self.kv.clone();
        let release = async move {
            let _ = join_all(leases.into_iter().map(|lease| kv.release(lease))).await;
        };
        Box::pin(release.into_actor(self))
    }
}
