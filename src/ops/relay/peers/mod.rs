//! The other instances of the fleet: which ones exist, whether they are alive, how much work they have at each engine,
//! which request limits engines reported to them, and how far they have read the store.

mod ask;
mod counts;
mod crashes;
mod limits;
mod pace;
mod prove;
mod roster;
mod shares;
mod streams;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream_core::config::Version;
use sequoiastream_core::log_event;
use sequoiastream_core::membership::Action;
use sequoiastream_core::membership::Event;
use sequoiastream_core::membership::InstanceInfo;
use sequoiastream_core::membership::Limits;
use sequoiastream_core::membership::LocalInstance;
use sequoiastream_core::membership::MemberTable;
use sequoiastream_core::membership::PartitionPolicy;
use sequoiastream_core::name::Name;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::load_message;
use sequoiastream_core::relay::load_message::FANOUT;
use sequoiastream_core::relay::load_message::LoadMessage;
use sequoiastream_core::relay::load_message::LoadPeers;
use sequoiastream_core::relay::load_message::Report;
use sequoiastream_core::relay::load_message::SendSchedule;
use sequoiastream_core::relay::load_tracker::Work;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::watchers::FleetRank;
use sequoiastream_core::time::Time;
use sequoiastream_peer::PeerError;
use sequoiastream_peer::call::CallClient;
use sequoiastream_peer::datagram::DatagramSocket;
use sequoiastream_peer::datagram::MAX_DATAGRAM;
use sequoiastream_peer::message::Datagram;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;
use sequoiastream_peer::responder::Responder;
use sequoiastream_peer::responder::Upstream;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use uuid::Uuid;

use crate::log_event;
use crate::ops::relay::connect;
use crate::ops::relay::known::StoreReplica;
pub use crate::ops::relay::peers::ask::PeerAnswer;
pub use crate::ops::relay::peers::ask::StoreParts;
use crate::ops::relay::peers::counts::UsageState;
use crate::ops::relay::peers::prove::ProofState;
use crate::ops::relay::peers::shares::ShareSchedule;
use crate::ops::relay::register::ListedInstance;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// A peer not heard from for this long is not given to callers as an endpoint: four heartbeats in a row may be lost.
const SILENT_AFTER: Duration = Duration::from_millis(1_800);

/// Time between two messages about load. An engine computes a prefill in about eight milliseconds; older messages would
/// describe work that is already done.
const LOAD_INTERVAL: Duration = Duration::from_millis(25);

/// How long a peer counts as busy after it reported work.
const BUSY_TIMEOUT: Duration = Duration::from_secs(1);

/// Fraction of the maximum length to which a message about load that is too long is trimmed. It is less than one
/// because parts of a message cannot be trimmed.
const TRIM_FACTOR: f64 = 0.8;

/// Capacity, in thousandths of a core, that allows one full transfer of the known store to a peer per second. A
/// transfer is three megabytes for ten thousand engines.
const CAPACITY_PER_TRANSFER: u32 = 60;

/// Pause before the socket is read again after an error.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Number of peers in other zones among the [`FANOUT`] peers to which each heartbeat is sent, in a fleet with more
/// peers.
const CROSS_ZONE_FANOUT: usize = 2;

/// The sockets on which an instance communicates with its peers.
pub struct Sockets {
    datagrams: DatagramSocket,
    calls: TcpListener,
}

impl Sockets {
    /// Binds the address for peers, for datagrams and for calls.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn bind(shared: &Shared) -> std::io::Result<Sockets> {
        let options = &shared.options;
        let key = shared.key.clone();
        let calls = TcpListener::bind(options.peer).await?;
        let datagrams = DatagramSocket::bind(options.peer, key, options.name.clone(), Uuid::now_v7()).await?;
        Ok(Sockets { datagrams, calls })
    }
}

/// Answers the calls of peers for changes and pages of the store, and connects to engines for their tunnels.
#[derive(Clone)]
struct PeerResponder {
    known: StoreReplica,
    shared: Arc<Shared>,
    /// Start times of the full transfers of the last second.
    transfers: Rc<RefCell<VecDeque<Time>>>,
}

impl PeerResponder {
    /// Creates a responder without any transfers yet.
    fn new(known: StoreReplica, shared: Arc<Shared>) -> PeerResponder {
        PeerResponder {
            known,
            shared,
            transfers: Rc::default(),
        }
    }

    /// Starts a full transfer if the limit per second allows another one.
    ///
    /// Guards against all instances of a starting fleet loading the store from the first one that knows it: they would
    /// share its link, and none would finish in time.
    fn begin_transfer(&self, now: Time) -> bool {
        let mut transfers = self.transfers.borrow_mut();
        transfers.retain(|at| now.since(*at) < Duration::from_secs(1));
        let limit = (self.shared.options.capacity / CAPACITY_PER_TRANSFER).max(1) as usize;
        let is_allowed = transfers.len() < limit;
        if is_allowed {
            transfers.push_back(now);
        }
        is_allowed
    }

    /// Answers with the page after the key `after`. Only the first page of a transfer counts against the limit.
    fn page(&self, after: &str) -> Response {
        let now = clock::now();
        match !after.is_empty() || self.begin_transfer(now) {
            true => Response::Page(self.known.page(now, after)),
            false => Response::Busy,
        }
    }
}

impl Responder for PeerResponder {
    async fn respond(&self, request: Request) -> Response {
        match request {
            Request::Ping => Response::Pong,
            Request::Page(after) => self.page(&after),
            Request::Since(revision) => {
                let changes = self.known.changes_since(clock::now(), revision);
                changes.map_or_else(|| self.page(""), Response::Changes)
            }
            Request::Stream(stream) => {
                let traffic = self.shared.traffic();
                Response::Stream(traffic.streams.record(clock::now(), stream))
            }
            _ => Response::NotServed,
        }
    }

    async fn connect(&self, upstream: SocketAddr) -> Option<Upstream> {
        connect::for_peer(&self.shared, upstream).await
    }
}

/// State shared by all clones of a [`Fleet`].
struct State {
    shared: Arc<Shared>,
    socket: DatagramSocket,
    members: RefCell<MemberTable>,
    /// Instances that the store lists.
    listed: RefCell<BTreeMap<Name, ListedInstance>>,
    send_schedule: RefCell<SendSchedule>,
    /// Whether this instance has lost its direct links to the engines.
    detached: Cell<bool>,
    /// Peers that reported that they have lost their direct links to the engines.
    detached_peers: RefCell<BTreeSet<Name>>,
    /// Number of the next turn of messages about load.
    turn: Cell<u32>,
    /// Number of messages about request limits sent.
    limit_turn: Cell<u32>,
    /// Number of messages about crashes sent.
    crash_turn: Cell<u32>,
    share_schedule: ShareSchedule,
    calls: CallClient,
    known: StoreReplica,
    /// Addresses of the peers that are currently heard, as of the last roster: those of this zone, then those of other
    /// zones.
    heard: RefCell<[Vec<SocketAddr>; 2]>,
    /// When each peer last reported work; filled only in a large fleet.
    busy: RefCell<BTreeMap<SocketAddr, Time>>,
    /// Revision up to which each peer reported to have read the store.
    peer_revisions: RefCell<BTreeMap<Name, Revision>>,
    /// Whether the last confirmation is older than a change may take to apply, as last logged.
    outdated: Cell<bool>,
    proofs: ProofState,
    usage: UsageState,
    started: Time,
    /// Rank of this instance as a watcher among those that it hears.
    watch_rank: Cell<FleetRank>,
    /// Wakes the follower of the store when a peer has a higher revision, or this instance becomes a watcher or stops
    /// being one.
    updates: Notify,
}

/// The fleet as seen by this instance. Cheap to clone; not `Send`.
#[derive(Clone)]
pub struct Fleet(Rc<State>);

/// Starts the tasks that exchange messages with the peers.
pub fn start(shared: Arc<Shared>, sockets: Sockets, known: StoreReplica) -> Fleet {
    let options = &shared.options;
    let info = InstanceInfo::new(
        clock::wall_time().0,
        options.zone.clone(),
        options.front,
        options.peer,
    );
    let local = LocalInstance {
        name: options.name.clone(),
        seed: info.incarnation,
        info,
    };
    let limits = Limits {
        interval: HEARTBEAT_INTERVAL,
        fanout: FANOUT,
        cross_zone: CROSS_ZONE_FANOUT,
        silent_after: SILENT_AFTER,
        partition_policy: PartitionPolicy::Serve,
        ..Limits::default()
    };
    let key = shared.key.clone();
    actix_rt::spawn(sequoiastream_peer::serve(
        sockets.calls,
        key.clone(),
        PeerResponder::new(known.clone(), shared.clone()),
    ));
    let fleet = Fleet(Rc::new(State {
        shared,
        socket: sockets.datagrams,
        calls: CallClient::new(key),
        known,
        heard: RefCell::default(),
        busy: RefCell::default(),
        peer_revisions: RefCell::default(),
        outdated: Cell::new(false),
        proofs: ProofState::default(),
        usage: UsageState::new(),
        members: RefCell::new(MemberTable::new(local, limits)),
        listed: RefCell::default(),
        send_schedule: RefCell::default(),
        detached: Cell::new(false),
        detached_peers: RefCell::default(),
        turn: Cell::new(0),
        limit_turn: Cell::new(0),
        crash_turn: Cell::new(rand::random()),
        share_schedule: ShareSchedule::new(),
        started: clock::now(),
        watch_rank: Cell::default(),
        updates: Notify::new(),
    }));
    actix_rt::spawn(receive(fleet.clone()));
    actix_rt::spawn(tick(fleet.clone()));
    actix_rt::spawn(send_load_messages(fleet.clone()));
    fleet
}

/// Handles the datagrams of peers.
async fn receive(fleet: Fleet) {
    loop {
        match fleet.0.socket.receive().await {
            Ok((name, Datagram::Heartbeat(heartbeat))) => fleet.on(Event::Heartbeat(name, heartbeat)),
            Ok((name, Datagram::Load(message))) => fleet.on_load(&name, message),
            Ok((name, Datagram::Prove(number))) => fleet.on_proof_request(&name, number),
            Ok((_, Datagram::Proof(proof))) => fleet.on_proof(proof),
            Ok((name, Datagram::Counts(message))) => fleet.on_counts(&name, message),
            Ok((_, Datagram::Decided(next))) => fleet.on_decided(next),
            Ok((_, Datagram::Limits(reports))) => fleet.on_limits(&reports),
            Ok((_, Datagram::Crashes(notes))) => fleet.on_crashes(notes),
            Ok((_, Datagram::Streams(records))) => fleet.on_streams(records),
            Ok((name, Datagram::WorkspaceUse(message))) => fleet.on_workspace_use(name.as_str(), message),
            Ok((_, Datagram::Pace(message))) => fleet.on_pace(&message),
            Ok((_, Datagram::Ping | Datagram::RetiredLoad | Datagram::RetiredProof)) => {}
            Err(PeerError::Broken(error)) => {
                log_event!(warn, log_event::PEER_FAILED, %error, call = "receive");
                tokio::time::sleep(SOCKET_RETRY_DELAY).await;
            }
            Err(error) => log_event!(debug, log_event::PEER_REFUSED, %error),
        }
    }
}

/// Sends heartbeats and updates the membership.
async fn tick(fleet: Fleet) {
    loop {
        fleet.on(Event::Tick);
        fleet.0.shared.traffic().streams.expire(clock::now());
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends a message about load in each turn.
async fn send_load_messages(fleet: Fleet) {
    loop {
        tokio::time::sleep(LOAD_INTERVAL).await;
        fleet.send_load().await;
    }
}

impl Fleet {
    /// Replaces the list of instances by the one that was read from the store.
    pub fn on_listed(&self, listings: Vec<ListedInstance>) {
        let listed = listings
            .into_iter()
            .map(|l| (l.listing.name.clone(), l))
            .collect();
        *self.0.listed.borrow_mut() = listed;
        self.apply_list();
    }

    /// Adds an instance to the list or updates it; `None` changes nothing. Returns whether there was one to add; if so,
    /// [`Self::apply_list`] must be called.
    pub fn on_item(&self, listed: Option<ListedInstance>) -> bool {
        let Some(listed) = listed else {
            return false;
        };
        let name = listed.listing.name.clone();
        self.0.listed.borrow_mut().insert(name, listed);
        true
    }

    /// Removes an instance from the list; `None` changes nothing. Returns whether it was listed; if so,
    /// [`Self::apply_list`] must be called.
    pub fn on_removed(&self, name: Option<Name>) -> bool {
        name.is_some_and(|name| self.0.listed.borrow_mut().remove(&name).is_some())
    }

    /// The contents of the store as known to this instance.
    pub fn known(&self) -> &StoreReplica {
        &self.0.known
    }

    /// The zones of the instances that the store lists, by name.
    pub fn listed_zones(&self) -> BTreeMap<Name, Name> {
        let listed = self.0.listed.borrow();
        listed
            .iter()
            .map(|(name, l)| (name.clone(), l.listing.zone.clone()))
            .collect()
    }

    /// Names of the peers that are currently heard.
    pub fn heard_names(&self) -> BTreeSet<String> {
        let roster = self.0.members.borrow().roster(clock::now());
        let heard = roster.peers.iter().filter(|p| p.heard);
        heard.map(|p| p.name.to_string()).collect()
    }

    /// Notifies the peers of the version of the configuration that came into force here.
    pub fn on_version(&self, version: u64) {
        self.on(Event::InForce(Version(version)));
    }

    /// Notifies the peers that this instance is shutting down.
    pub fn leave(&self) {
        self.on(Event::Leave);
    }

    /// Applies the list to the membership. It is called once for all changes of an answer, because its cost grows with
    /// the size of the fleet.
    pub fn apply_list(&self) {
        let listed = self
            .0
            .listed
            .borrow()
            .values()
            .map(|l| l.listing.clone())
            .collect();
        self.on(Event::Listed(listed));
    }

    /// Handles a membership event and carries out the resulting actions.
    fn on(&self, event: Event) {
        let is_heartbeat = matches!(event, Event::Heartbeat(..));
        let actions = self.0.members.borrow_mut().on(clock::now(), event);
        let mut publish = false;
        for action in actions {
            match action {
                Action::Send(to, heartbeat) => self.send(to, Datagram::Heartbeat(heartbeat)),
                Action::Publish => publish = true,
                Action::PeerAhead(_, version) => self.0.shared.on_peer_version(version.0),
                Action::Resumed => {}
            }
        }
        // The cost of publishing grows with the size of the fleet, and in a large fleet heartbeats that change the
        // roster arrive all the time: their changes are published at the next tick.
        let is_deferred = is_heartbeat && self.is_large();
        if publish && !is_deferred {
            self.publish();
        }
    }

    /// Sends a datagram without waiting for the socket.
    fn send(&self, to: SocketAddr, body: Datagram) {
        let fleet = self.clone();
        actix_rt::spawn(async move {
            if let Err(error) = fleet.0.socket.send(to, body).await {
                log_event!(debug, log_event::PEER_FAILED, %to, %error, call = "send");
            }
        });
    }

    /// Rank of this instance as a watcher among those that it hears.
    pub fn watch_rank(&self) -> FleetRank {
        self.0.watch_rank.get()
    }

    /// Waits until a peer has a higher revision of the store, or this instance becomes a watcher or stops being one.
    pub async fn wait_for_update(&self) {
        self.0.updates.notified().await;
    }

    /// Handles a peer's message about its load and how far it has read the store.
    fn on_load(&self, name: &Name, message: LoadMessage) {
        let now = clock::now();
        self.0
            .peer_revisions
            .borrow_mut()
            .insert(name.clone(), message.revision);
        self.0.proofs.on_proof_age(now, name, message.proof);
        self.on_clock(now, name, message.wall);
        self.on_peer_detached(name, message.detached);
        if self.0.known.on_peer_status(now, message.sync_status()) {
            self.0.updates.notify_one();
        }
        if self.is_large()
            && !message.shares.is_empty()
            && let Some(peer) = self.0.members.borrow().address(name)
        {
            self.0.busy.borrow_mut().insert(peer, now);
        }
        let keys = self.0.shared.view.load().keys().clone();
        let work: BTreeMap<EngineKey, Work> = message
            .shares
            .into_iter()
            .filter_map(|share| {
                let key = keys.get(share.engine.as_str())?;
                let prefill = Duration::from_micros(share.reading);
                let requests = share.requests;
                Some((*key, Work { requests, prefill }))
            })
            .collect();
        let mut ledger = self.0.shared.traffic();
        ledger.load.on_peer_report(now, name.as_str(), work);
        let view = self.0.shared.view.load();
        for read in message.reads {
            // An engine that is not yet or no longer known here gets no work from this instance.
            if let Some(engine) = view.hashes().get(&read.engine) {
                ledger.load.cached_parts.on_prefill(now, *engine, read);
            }
        }
    }

    /// Whether there are too many peers to send all of them messages about load in time.
    fn is_large(&self) -> bool {
        let peers = self.0.heard.borrow().iter().map(Vec::len).sum();
        load_message::is_large_fleet(peers)
    }

    /// Recipients of this turn's message about load, and the number of turns in which messages reach all recipients.
    fn load_recipients(&self, now: Time, turn: u32) -> (Vec<SocketAddr>, usize) {
        let [same_zone, other_zones] = &*self.0.heard.borrow();
        let mut busy = self.0.busy.borrow_mut();
        busy.retain(|_, at| now.since(*at) <= BUSY_TIMEOUT);
        let load_peers = LoadPeers {
            same_zone,
            other_zones,
            busy: &same_zone
                .iter()
                .copied()
                .filter(|peer| busy.contains_key(peer))
                .collect::<Vec<_>>(),
        };
        (load_peers.recipients(turn), load_peers.turns())
    }

    /// Sends the peers the load of this instance and how far it has read the store; less often if there is nothing to
    /// report.
    async fn send_load(&self) {
        let now = clock::now();
        if let Some(pause) = self.0.known.on_tick(now) {
            let pause = pause.as_millis() as u64;
            log_event!(info, log_event::CONTROL_DELAYED, pause);
        }
        self.update_proof(now);
        self.send_counts(now);
        let turn = self.0.turn.get();
        self.0.turn.set(turn.wrapping_add(1));
        self.send_limits(now, turn);
        self.send_crashes(now);
        self.send_streams(now);
        self.send_workspace_use(now);
        self.send_pace(now, turn);
        let changed = self.update_detached(now);
        let (peers, turns) = self.load_recipients(now, turn);
        let (load, reads) = {
            let mut ledger = self.0.shared.traffic();
            let reads = ledger
                .load
                .cached_parts
                .records_to_send(u32::try_from(turns).unwrap_or(u32::MAX));
            (ledger.load.own_by_engine(), reads)
        };
        let report = match load.is_empty() && reads.is_empty() {
            _ if changed => Report::Change,
            true => Report::Nothing,
            false => Report::Work,
        };
        if !self.0.send_schedule.borrow_mut().is_due(turn, report, turns) {
            return;
        }
        let ids = self.0.shared.view.load().ids().clone();
        let work = load
            .into_iter()
            .filter_map(|(key, work)| Some((ids.get(&key)?.clone(), work)));
        let message = LoadMessage::new(work.collect(), reads).with_sync_status(self.0.known.sync_status(now));
        let message = message.with_clock(clock::wall_micros(), self.0.known.proof_status(now));
        let mut message = message.with_detached(self.0.detached.get());
        for peer in peers {
            let mut result = self.0.socket.send(peer, Datagram::Load(message.clone())).await;
            if let Err(PeerError::TooLong(length)) = result {
                message = message.trim(MAX_DATAGRAM as f64 / length as f64 * TRIM_FACTOR);
                result = self.0.socket.send(peer, Datagram::Load(message.clone())).await;
            }
            if let Err(error) = result {
                log_event!(debug, log_event::PEER_FAILED, to = %peer, %error, call = "load");
            }
        }
    }
}
