//! Membership: carries out the actions of [`MemberTable`], and reads the platform's lists of instances and upstreams.

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
use actix::WrapFuture;
use sequoiastream_core::log_event;
use sequoiastream_core::membership::Action;
use sequoiastream_core::membership::Event;
use sequoiastream_core::membership::Heartbeat;
use sequoiastream_core::membership::InstanceInfo;
use sequoiastream_core::membership::Listing;
use sequoiastream_core::membership::LocalInstance;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::membership::MemberTable;
use sequoiastream_core::membership::Standing;
use sequoiastream_core::name::Name;
use sequoiastream_kv::KvClient;
use sequoiastream_kv::KvError;
use sequoiastream_kv::ListEntry;
use sequoiastream_kv::ListedState;
use sequoiastream_peer::PeerError;
use sequoiastream_peer::datagram::DatagramSocket;
use sequoiastream_peer::message::Datagram;

use crate::log_event;
use crate::ops::control::BoundAddresses;
use crate::ops::control::config::ConfigActor;
use crate::ops::control::config::InForce;
use crate::ops::control::config::LeavingUpstreams;
use crate::ops::control::config::PeerAhead;
use crate::ops::control::config::RefreshHead;
use crate::ops::control::config::Subscribe;
use crate::ops::shared::Shared;
use crate::util::clock;

/// Maximum rate, per second, at which the whole fleet reads the lists, whatever its size. The larger the fleet, the
/// less often each instance reads them, and instances tell each other what they read.
const MAX_LIST_RATE: usize = 50;

/// Pause after a socket error, so that a broken socket does not cause a busy loop.
const SOCKET_PAUSE: Duration = Duration::from_millis(100);

/// Maintains the table of instances and publishes the roster.
#[derive(Debug)]
pub struct MembershipActor {
    shared: Arc<Shared>,
    kv: KvClient,
    config: Addr<ConfigActor>,
    socket: Rc<DatagramSocket>,
    members: MemberTable,
}

/// Notifies the actor that this instance begins to shut down. Other instances then stop naming it to callers.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Leave;

/// The result of receiving one datagram.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Received(Result<(Name, Datagram), PeerError>);

impl MembershipActor {
    /// Creates an actor that knows of no other instance.
    pub fn new(
        shared: Arc<Shared>,
        kv: KvClient,
        config: Addr<ConfigActor>,
        socket: Rc<DatagramSocket>,
        bound: BoundAddresses,
    ) -> MembershipActor {
        let settings = &shared.settings;
        let info = InstanceInfo::new(
            clock::wall_time().0,
            settings.zone.clone(),
            bound.listen,
            bound.peer,
        );
        let local = LocalInstance {
            name: settings.name.clone(),
            seed: info.incarnation,
            info,
        };
        let members = MemberTable::new(local, settings.limits);
        MembershipActor {
            shared,
            kv,
            config,
            socket,
            members,
        }
    }

    /// Passes an event to the table and carries out its actions.
    fn handle_event(&mut self, event: Event) {
        for action in self.members.on(clock::now(), event) {
            match action {
                Action::Send(to, heartbeat) => self.send_heartbeat(to, heartbeat),
                Action::PeerAhead(peer, version) => self.config.do_send(PeerAhead(peer, version)),
                Action::Publish => self.publish(),
                Action::Resumed => self.config.do_send(RefreshHead),
            }
        }
    }

    fn send_heartbeat(&self, to: std::net::SocketAddr, heartbeat: Heartbeat) {
        let socket = self.socket.clone();
        let metrics = self.shared.metrics.membership.clone();
        actix::spawn(async move {
            match socket.send(to, Datagram::Heartbeat(heartbeat)).await {
                Ok(bytes) => {
                    metrics.heartbeats_sent.inc();
                    metrics.heartbeat_bytes.inc_by(bytes as u64);
                }
                Err(error) => log_event!(debug, log_event::PEER_FAILED, %to, %error, call = "heartbeat"),
            }
        });
    }

    /// Publishes the roster, logs a change of standing, and reports changes of the leaving upstreams.
    fn publish(&self) {
        let roster = self.members.roster(clock::now());
        let standing = roster.standing;
        let peers = i64::try_from(roster.peers.len()).unwrap_or(i64::MAX);
        self.shared.metrics.membership.peers.set(peers);
        let before = self.shared.publish_roster(roster);
        match before.local {
            // An instance that has just started knows nothing yet; this is not logged as an error.
            None => log_event!(info, log_event::STANDING, after = ?standing),
            Some(_) if before.standing != standing => log_standing(before.standing, standing),
            Some(_) => {}
        }
        let leaving = self.shared.roster().leaving.clone();
        if before.leaving != leaving {
            self.config.do_send(LeavingUpstreams(leaving));
        }
    }

    /// Reads the platform's lists, and schedules the next read.
    fn read_lists(&mut self, context: &mut Context<Self>) {
        let kv = self.kv.clone();
        let lists = async move { (kv.instances().await, kv.upstreams().await) };
        context.spawn(
            lists
                .into_actor(self)
                .map(|(instances, upstreams), actor, context| {
                    actor.on_lists(instances, upstreams);
                    let fleet = actor.shared.roster().peers.len() + 1;
                    let spread =
                        Duration::from_secs(1) * u32::try_from(fleet / MAX_LIST_RATE).unwrap_or(u32::MAX);
                    let pause = actor.shared.settings.list_interval.max(spread);
                    context.run_later(pause, |actor, context| actor.read_lists(context));
                }),
        );
    }

    /// Passes the lists that could be read to the table, and logs the errors of the others.
    fn on_lists(
        &mut self,
        instances: Result<Vec<ListEntry>, KvError>,
        upstreams: Result<Vec<ListEntry>, KvError>,
    ) {
        match instances {
            Ok(list) => self.handle_event(Event::Listed(list.iter().filter_map(listing).collect())),
            Err(error) => log_event!(warn, log_event::KV_FAILED, %error, call = "list instances"),
        }
        match upstreams {
            Ok(list) => {
                let leaving = list.iter().filter(|l| l.state == ListedState::Leaving);
                self.handle_event(Event::Leaving(leaving.map(|l| l.address).collect()));
                self.publish();
            }
            Err(error) => log_event!(warn, log_event::KV_FAILED, %error, call = "list upstreams"),
        }
    }
}

/// Converts a list entry; `None` if it has no peer address.
fn listing(listed: &ListEntry) -> Option<Listing> {
    Some(Listing {
        name: listed.name.clone(),
        zone: listed.zone.clone(),
        address: listed.address,
        peer_address: listed.peer?,
        state: match listed.state {
            ListedState::Live => MemberState::Live,
            ListedState::Leaving => MemberState::Leaving,
        },
    })
}

/// Logs a change of standing, as an error if this instance no longer accepts work.
fn log_standing(before: Standing, after: Standing) {
    match after.accepts_work() {
        true => log_event!(info, log_event::STANDING, ?before, ?after),
        false => log_event!(error, log_event::STANDING, ?before, ?after),
    }
}

/// Receives datagrams and passes them to the actor until it has ended.
async fn receive(socket: Rc<DatagramSocket>, actor: Addr<MembershipActor>) {
    while actor.connected() {
        let received = socket.receive().await;
        if matches!(received, Err(PeerError::Broken(_))) {
            actix::clock::sleep(SOCKET_PAUSE).await;
        }
        actor.do_send(Received(received));
    }
}

impl Actor for MembershipActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        actix::spawn(receive(self.socket.clone(), context.address()));
        self.config.do_send(Subscribe(context.address().recipient()));
        self.read_lists(context);
        let interval = self.shared.settings.limits.interval;
        context.run_interval(interval, |actor, _| actor.handle_event(Event::Tick));
    }
}

impl Handler<Received> for MembershipActor {
    type Result = ();

    fn handle(&mut self, Received(received): Received, _: &mut Context<Self>) {
        match received {
            Ok((name, Datagram::Heartbeat(heartbeat))) => {
                self.shared.metrics.membership.heartbeats_received.inc();
                self.handle_event(Event::Heartbeat(name, heartbeat));
            }
            Ok((_, Datagram::Ping | Datagram::Load(_) | Datagram::Limits(_) | Datagram::Crashes(_))) => {}
            Ok((_, Datagram::Prove(_) | Datagram::Proof(_) | Datagram::Counts(_) | Datagram::Streams(_))) => {
            }
            Ok((_, Datagram::WorkspaceUse(_))) => {}
            Ok((_, Datagram::RetiredLoad | Datagram::RetiredProof | Datagram::Decided(_))) => {}
            Ok((_, Datagram::Pace(_))) => {}
            Err(error) => log_event!(debug, log_event::PEER_REFUSED, %error),
        }
    }
}

impl Handler<InForce> for MembershipActor {
    type Result = ();

    fn handle(&mut self, update: InForce, _: &mut Context<Self>) {
        match update.kv_contact {
            Some(at) => self.handle_event(Event::KvContact(at)),
            None => self.handle_event(Event::InForce(update.version)),
        }
    }
}

impl Handler<Leave> for MembershipActor {
    type Result = ();

    fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.handle_event(Event::Leave);
    }
}
