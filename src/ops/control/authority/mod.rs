//! Keeper of the authorities: for each model service, competes for its lease and gives orders to its engines.
//!
//! The decisions are those of [`sequoiastream_core::authority`]; this actor carries their actions out.

mod drain;
mod kv;
mod tables;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
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
use sequoiastream_core::authority::OrderAnswer;
use sequoiastream_core::authority::Report;
use sequoiastream_core::authority::SendOrder;
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
use sequoiastream_upstream::UpstreamError;
use sequoiastream_upstream::wire::LoadBody;
use sequoiastream_upstream::wire::OrderBody;
use uuid::Uuid;

use crate::log_event;
use crate::ops::control::Shutdown;
use crate::ops::control::authority::drain::PeerClient;
use crate::ops::control::authority::kv::Acquired;
use crate::ops::shared::Shared;
use crate::util::clock;

/// Pause before a failed watch is made again, doubled up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between two watches.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Part of the lease's time between two ticks.
const TICKS_PER_LEASE: u32 = 100;

/// Keeper of the authorities.
pub struct AuthorityActor {
    shared: Arc<Shared>,
    kv: KvClient,
    engines: EngineClient,
    peers: Rc<PeerClient>,
    incarnation: Incarnation,
    authorities: BTreeMap<Name, ServiceAuthority>,
    config_version: Version,
}

/// One service.
struct ServiceAuthority {
    authority: Authority,
    lease: Option<LeaseId>,
    /// Whether the lease's key is absent; `None` if it is not known.
    vacant: Option<bool>,
    watched_version: KvVersion,
    pause: Duration,
}

/// Says what the planner wants an engine to be. Taken only by the holder; a role that an operator fixed goes
/// before it.
#[derive(Debug, Clone, Message)]
#[rtype(result = "()")]
pub struct Propose {
    /// The engine.
    pub engine: Name,
    /// What it shall be.
    pub target: Target,
}

/// Asks whether this instance holds the authority of a service and believes in its lease.
#[derive(Debug, Clone, Message)]
#[rtype(result = "bool")]
pub struct IsHolder(pub Name);

/// Asks what this process knows of an order that it opened.
#[derive(Debug, Clone, Message)]
#[rtype(result = "Settlement")]
pub struct AskSettlement {
    /// The service.
    pub service: Name,
    /// The process that opened it.
    pub incarnation: Incarnation,
    /// The engine.
    pub engine: Name,
    /// The order's sequence number.
    pub sequence: u64,
}

/// Asks for the table of leases or orders.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "Result<TableBody, OperatorError>")]
pub struct ShowAuthorities(pub Table);

impl From<SettleOrder> for AskSettlement {
    fn from(ask: SettleOrder) -> AskSettlement {
        AskSettlement {
            service: ask.service,
            incarnation: ask.incarnation,
            engine: ask.engine,
            sequence: ask.sequence,
        }
    }
}

impl AuthorityActor {
    /// A keeper that holds nothing.
    pub fn new(shared: Arc<Shared>, kv: KvClient, calls: CallClient) -> AuthorityActor {
        AuthorityActor {
            peers: Rc::new(PeerClient::new(shared.clone(), kv.clone(), calls)),
            shared,
            kv,
            engines: EngineClient::new(),
            incarnation: Incarnation(Uuid::new_v4()),
            authorities: BTreeMap::new(),
            config_version: Version::default(),
        }
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        self.apply_config(context);
        let services: Vec<Name> = self.authorities.keys().cloned().collect();
        for service in services {
            match self.authorities.get(&service).and_then(|unit| unit.vacant) {
                Some(true) => self.handle_event(&service, Event::Vacant, context),
                Some(false) => self.handle_event(&service, Event::Occupied, context),
                None => {}
            }
            self.handle_event(&service, Event::Tick, context);
        }
        let now = clock::now();
        let believed = self
            .authorities
            .values()
            .filter(|unit| unit.authority.is_holder(now));
        let believed = i64::try_from(believed.count()).unwrap_or(i64::MAX);
        self.shared.metrics.authority.believed.set(believed);
    }

    /// Takes over a new version of the configuration.
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
        let gone: Vec<Name> = self
            .authorities
            .keys()
            .filter(|s| !models.contains_key(*s))
            .cloned()
            .collect();
        for service in gone {
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

    fn new_authority(&self, service: &Name) -> ServiceAuthority {
        let ttl = self.shared.settings.lease;
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

    /// Watches the key of a service's lease, one call at a time.
    fn watch(&mut self, service: Name, context: &mut Context<Self>) {
        let Some(unit) = self.authorities.get(&service) else {
            return;
        };
        let watch = kv::watch(
            self.kv.clone(),
            service.clone(),
            unit.watched_version,
            self.shared.settings.wait,
        );
        context.spawn(watch.into_actor(self).map(move |result, actor, context| {
            let Some(unit) = actor.authorities.get_mut(&service) else {
                return;
            };
            let pause = unit.on_watch(result);
            context.run_later(pause, move |actor, context| actor.watch(service, context));
        }));
    }

    /// Gives an event to a service's machine and carries out what it decides.
    fn handle_event(&mut self, service: &Name, event: Event, context: &mut Context<Self>) {
        let Some(unit) = self.authorities.get_mut(service) else {
            return;
        };
        for action in unit.authority.handle_event(clock::now(), event) {
            self.perform(service, action, context);
        }
    }

    fn perform(&mut self, service: &Name, action: Action, context: &mut Context<Self>) {
        let kv = self.kv.clone();
        match action {
            Action::Acquire(call) => self.acquire(service, call, context),
            Action::Renew(call) => {
                let lease = self.authorities.get(service).and_then(|unit| unit.lease);
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
                let hold = self.shared.settings.lease;
                self.spawn_optional(service, async move { peers.hold(engine, hold).await }, context);
            }
            Action::Unhold(engine) => {
                let peers = self.peers.clone();
                context.spawn(async move { peers.unhold(engine).await }.into_actor(self));
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
                let ask = AskSettlement {
                    service: service.clone(),
                    incarnation,
                    engine,
                    sequence,
                };
                self.spawn_optional(
                    service,
                    async move { peers.ask_settlement(&holder, ask).await },
                    context,
                );
            }
            told => self.notify_operators(service, told),
        }
    }

    /// Runs `future` and gives the event that it ends with to the machine.
    fn spawn_event<F>(&self, service: &Name, future: F, context: &mut Context<Self>)
    where
        F: Future<Output = Event> + 'static,
    {
        self.spawn_optional(service, async move { Some(future.await) }, context);
    }

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

    fn acquire(
        &mut self,
        service: &Name,
        call: sequoiastream_core::authority::CallId,
        context: &mut Context<Self>,
    ) {
        let old = self
            .authorities
            .get_mut(service)
            .and_then(|unit| unit.lease.take());
        let name = self.shared.settings.name.clone();
        let acquire = kv::acquire(
            self.kv.clone(),
            service.clone(),
            name,
            old,
            self.shared.settings.lease,
        );
        let service = service.clone();
        context.spawn(acquire.into_actor(self).map(move |acquired, actor, context| {
            let event = match acquired {
                Some(Acquired { lease, sent }) => {
                    if let Some(unit) = actor.authorities.get_mut(&service) {
                        unit.lease = Some(lease);
                    }
                    Event::Acquired { call, sent }
                }
                None => Event::NotAcquired { call },
            };
            actor.handle_event(&service, event, context);
        }));
    }

    fn release(&mut self, service: &Name, context: &mut Context<Self>) {
        let lease = self
            .authorities
            .get_mut(service)
            .and_then(|unit| unit.lease.take());
        if let Some(lease) = lease {
            let kv = self.kv.clone();
            // If this fails the lease lapses by itself.
            let release = async move {
                let _ = kv.release(lease).await;
            };
            context.spawn(release.into_actor(self));
        }
    }

    fn probe(&mut self, service: &Name, engine: Name, context: &mut Context<Self>) {
        let Some(address) = self.engine_address(&engine) else {
            return;
        };
        let engines = self.engines.clone();
        let probe = async move {
            let asked = clock::now();
            let body = engines.load(address).await.ok()?;
            let report = engine_report(&body, asked);
            Some(Event::Reported { engine, report })
        };
        self.spawn_optional(service, probe, context);
    }

    /// Sends an order, unless its time has passed by now.
    ///
    /// Failure guarded against: the process was paused since the decision, and another holds the authority.
    /// The check is the last thing before the send; what a pause right after it can do is covered by the
    /// order's record, which stands open.
    fn send_order(&mut self, service: &Name, send: SendOrder, context: &mut Context<Self>) {
        let address = self.engine_address(&send.engine);
        let engines = self.engines.clone();
        let metrics = self.shared.metrics.authority.clone();
        let order = OrderBody {
            fence: send.order.fence.0,
            sequence: send.order.sequence,
            id: send.order.id,
            target: send.order.target.clone(),
        };
        log_event!(
            info,
            log_event::ORDER_SENT,
            engine = %send.engine,
            sequence = order.sequence,
            fence = order.fence
        );
        let run = async move {
            let answer = match address {
                Some(address) if clock::now() < send.deadline => {
                    order_answer(engines.order(address, &order).await)
                }
                _ => OrderAnswer::Unsent,
            };
            metrics.count_order(answer);
            Event::Answered {
                call: send.call,
                engine: send.engine,
                answer,
            }
        };
        self.spawn_event(service, run, context);
    }

    fn engine_address(&self, engine: &Name) -> Option<std::net::SocketAddr> {
        let snapshot = self.shared.snapshot.load();
        let found = snapshot.engines.iter().find(|(_, e)| e.name == *engine);
        found.map(|(_, e)| e.address)
    }

    /// Tells operators.
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
    /// Takes the result of a watch; returns how long to pause before the next.
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
                // While the service is out it isn't known who holds the lease: nobody competes, so its
                // return brings no storm.
                self.vacant = None;
                self.watched_version = KvVersion::default();
                self.pause = (self.pause * 2).min(MAX_PAUSE);
                self.pause.mul_f64(rand::random_range(0.5..1.0))
            }
        }
    }
}

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

fn engine_report(body: &LoadBody, asked: sequoiastream_core::time::Time) -> Report {
    Report {
        target: Target {
            role: body.role,
            model: body.model.clone(),
            adapter: body.adapter.clone(),
            version: body.version,
        },
        away: body.away,
        idle: body.running == 0 && body.queued == 0,
        sequence: body.sequence,
        taken_at: asked - Duration::from_millis(body.age),
    }
}

fn order_answer(result: Result<(), UpstreamError>) -> OrderAnswer {
    match result {
        Ok(()) => OrderAnswer::Applied,
        Err(UpstreamError::Stale(fence)) => OrderAnswer::Stale(sequoiastream_core::authority::Fence(fence)),
        Err(error) => {
            log_event!(warn, log_event::ORDER_UNANSWERED, %error);
            match error.is_not_started() {
                true => OrderAnswer::Unsent,
                false => OrderAnswer::Unknown,
            }
        }
    }
}

impl Actor for AuthorityActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        let tick = self.shared.settings.lease / TICKS_PER_LEASE;
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
        let unit = self.authorities.get(&service);
        unit.is_some_and(|unit| unit.authority.is_holder(clock::now()))
    }
}

impl Handler<AskSettlement> for AuthorityActor {
    type Result = actix::MessageResult<AskSettlement>;

    fn handle(&mut self, ask: AskSettlement, _: &mut Context<Self>) -> Self::Result {
        let unit = self.authorities.get_mut(&ask.service);
        let said = unit.map(|u| u.authority.settlement(ask.incarnation, &ask.engine, ask.sequence));
        actix::MessageResult(said.unwrap_or(Settlement::Unknown))
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

/// Gives all authorities up; answered once the leases are released, so that others can take over at once.
impl Handler<Shutdown> for AuthorityActor {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, Shutdown: Shutdown, context: &mut Context<Self>) -> Self::Result {
        let mut leases = Vec::new();
        let services: Vec<Name> = self.authorities.keys().cloned().collect();
        for service in services {
            // Taken out first, so that the release is waited for here.
            leases.extend(
                self.authorities
                    .get_mut(&service)
                    .and_then(|unit| unit.lease.take()),
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
