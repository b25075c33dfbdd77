//! The other instances: who they are, whether they are alive, and how much work they have at each engine.

mod ask;
mod counts;
mod prove;
mod roster;

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
use sequoiastream_core::relay::load_tracker::Work;
use sequoiastream_core::relay::watchers::FleetRank;
use sequoiastream_core::time::Time;
use sequoiastream_peer::PeerError;
use sequoiastream_peer::call;
use sequoiastream_peer::call::CallClient;
use sequoiastream_peer::call::Responder;
use sequoiastream_peer::datagram::DatagramSocket;
use sequoiastream_peer::datagram::MAX_DATAGRAM;
use sequoiastream_peer::message::Datagram;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;
use sequoiastream_peer::seal::ClusterKey;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use uuid::Uuid;

use crate::log_event;
use crate::ops::relay::known::StoreReplica;
pub use crate::ops::relay::peers::ask::Told;
use crate::ops::relay::peers::counts::Tallies;
use crate::ops::relay::peers::prove::Proofs;
use crate::ops::relay::register::ListedInstance;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Time between two heartbeats.
const INTERVAL: Duration = Duration::from_millis(400);

/// A peer not heard of for so long isn't named to callers: four heartbeats may be lost in a row.
const SILENT: Duration = Duration::from_millis(1_800);

/// Time between two messages about load. An engine reads a prompt in about eight milliseconds; older news would
/// describe work that is done.
const LOAD_INTERVAL: Duration = Duration::from_millis(25);

/// How long a peer counts as busy after it reported work.
const BUSY_TIMEOUT: Duration = Duration::from_secs(1);

/// Part of what would just fit to which a message about load that is too long is cut: not all of it can be cut.
const FITS: f64 = 0.8;

/// Capacity, in thousandths of a core, that allows one full transfer of the known store to a peer per second. A
/// transfer is three megabytes for ten thousand engines.
const CAPACITY_PER_TRANSFER: u32 = 60;

/// Pause after the socket failed.
const SOCKET_PAUSE: Duration = Duration::from_millis(100);

/// Of the [`FANOUT`] peers that get each heartbeat, those in other zones, in a fleet with more peers.
const CROSS_ZONE_FANOUT: usize = 2;

/// Where peers speak.
pub struct Sockets {
    datagrams: DatagramSocket,
    calls: TcpListener,
}

impl Sockets {
    /// Binds the peers' address, for datagrams and for calls.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn bind(shared: &Shared) -> std::io::Result<Sockets> {
        let options = &shared.options;
        let key = ClusterKey::new(&options.cluster_key);
        let calls = TcpListener::bind(options.peer).await?;
        let datagrams = DatagramSocket::bind(options.peer, key, options.name.clone(), Uuid::now_v7()).await?;
        Ok(Sockets { datagrams, calls })
    }
}

/// Answers calls of peers.
#[derive(Debug, Clone)]
struct Answers {
    known: StoreReplica,
    /// Capacity of this instance, in thousandths of a core.
    capacity: u32,
    /// Start times of the full transfers of the last second.
    transfers: Rc<RefCell<VecDeque<Time>>>,
}

impl Answers {
    fn new(known: StoreReplica, capacity: u32) -> Answers {
        Answers {
            known,
            capacity,
            transfers: Rc::default(),
        }
    }

    /// Starts a full transfer if the limit per second allows another one.
    ///
    /// Guards against all instances of a starting fleet loading from the first one that knows the store: they share its
    /// link, and none finishes in time.
    fn begin_transfer(&self, now: Time) -> bool {
        let mut transfers = self.transfers.borrow_mut();
        transfers.retain(|at| now.since(*at) < Duration::from_secs(1));
        let limit = (self.capacity / CAPACITY_PER_TRANSFER).max(1) as usize;
        let is_allowed = transfers.len() < limit;
        if is_allowed {
            transfers.push_back(now);
        }
        is_allowed
    }

    /// Answers with the page after a key. Only the first page of a transfer counts against the limit.
    fn page(&self, after: &str) -> Response {
        let now = clock::now();
        match !after.is_empty() || self.begin_transfer(now) {
            true => Response::Page(self.known.page(now, after)),
            false => Response::Busy,
        }
    }
}

impl Responder for Answers {
    async fn respond(&self, request: Request) -> Response {
        match request {
            Request::Ping => Response::Pong,
            Request::Page(after) => self.page(&after),
            Request::Since(revision) => {
                let news = self.known.changes_since(clock::now(), revision);
                news.map_or_else(|| self.page(""), Response::News)
            }
            _ => Response::Unserved,
        }
    }
}

struct State {
    shared: Arc<Shared>,
    socket: DatagramSocket,
    members: RefCell<MemberTable>,
    listed: RefCell<BTreeMap<Name, ListedInstance>>,
    quiet: Cell<bool>,
    turn: Cell<u32>,
    calls: CallClient,
    known: StoreReplica,
    /// Addresses of the peers that are heard, as of the last roster: those of this zone, then those of other zones.
    heard: RefCell<[Vec<SocketAddr>; 2]>,
    /// When each peer last reported work.
    busy: RefCell<BTreeMap<SocketAddr, Time>>,
    /// Up to which revision of the store each peer said to know.
    ahead: RefCell<BTreeMap<Name, u64>>,
    proofs: Proofs,
    tallies: Tallies,
    started: Time,
    /// Rank of this instance among those that it hears.
    seat: Cell<FleetRank>,
    /// Wakes whoever listens to the peers instead of the store: one knows more, or the seat changed.
    news: Notify,
}

/// The fleet as this instance sees it; cheap to clone, stays on one thread.
#[derive(Clone)]
pub struct Fleet(Rc<State>);

/// Starts to speak with the peers.
pub fn start(shared: Arc<Shared>, sockets: Sockets, known: StoreReplica) -> Fleet {
    let options = &shared.options;
    let about = InstanceInfo::new(clock::wall().0, options.zone.clone(), options.front, options.peer);
    let myself = LocalInstance {
        name: options.name.clone(),
        seed: about.incarnation,
        info: about,
    };
    let limits = Limits {
        interval: INTERVAL,
        fanout: FANOUT,
        cross_zone: CROSS_ZONE_FANOUT,
        silent_after: SILENT,
        partition_policy: PartitionPolicy::Serve,
        ..Limits::default()
    };
    let key = ClusterKey::new(&shared.options.cluster_key);
    actix_rt::spawn(call::serve(
        sockets.calls,
        key.clone(),
        Answers::new(known.clone(), shared.options.capacity),
    ));
    let fleet = Fleet(Rc::new(State {
        shared,
        socket: sockets.datagrams,
        calls: CallClient::new(key),
        known,
        heard: RefCell::default(),
        busy: RefCell::default(),
        ahead: RefCell::default(),
        proofs: Proofs::default(),
        tallies: Tallies::new(),
        members: RefCell::new(MemberTable::new(myself, limits)),
        listed: RefCell::default(),
        quiet: Cell::new(true),
        turn: Cell::new(0),
        started: clock::now(),
        seat: Cell::default(),
        news: Notify::new(),
    }));
    actix_rt::spawn(receive(fleet.clone()));
    actix_rt::spawn(beat(fleet.clone()));
    actix_rt::spawn(tell(fleet.clone()));
    fleet
}

async fn receive(fleet: Fleet) {
    loop {
        match fleet.0.socket.receive().await {
            Ok((name, Datagram::Beat(beat))) => fleet.on(Event::Heartbeat(name, beat)),
            Ok((name, Datagram::Load(digest))) => fleet.on_load(&name, digest),
            Ok((name, Datagram::Prove(question))) => fleet.on_prove(&name, question),
            Ok((_, Datagram::Proof(proof))) => fleet.on_proof(proof),
            Ok((name, Datagram::Counts(told))) => fleet.on_counts(&name, told),
            Ok((_, Datagram::Ping)) => {}
            Err(PeerError::Broken(error)) => {
                log_event!(warn, log_event::PEER_FAILED, %error, call = "receive");
                tokio::time::sleep(SOCKET_PAUSE).await;
            }
            Err(error) => log_event!(debug, log_event::PEER_REFUSED, %error),
        }
    }
}

async fn beat(fleet: Fleet) {
    loop {
        fleet.on(Event::Tick);
        tokio::time::sleep(INTERVAL).await;
    }
}

async fn tell(fleet: Fleet) {
    loop {
        tokio::time::sleep(LOAD_INTERVAL).await;
        fleet.tell().await;
    }
}

impl Fleet {
    /// Takes the list of instances in the store.
    pub fn on_listed(&self, listings: Vec<ListedInstance>) {
        let listed = listings
            .into_iter()
            .map(|l| (l.listing.name.clone(), l))
            .collect();
        *self.0.listed.borrow_mut() = listed;
        self.relist();
    }

    /// Takes an instance that was added to the list, if it is one; [`Self::relist`] is to follow.
    pub fn on_item(&self, listed: Option<ListedInstance>) -> bool {
        let Some(listed) = listed else {
            return false;
        };
        let name = listed.listing.name.clone();
        self.0.listed.borrow_mut().insert(name, listed);
        true
    }

    /// Takes an instance off the list, if it is one; [`Self::relist`] is to follow.
    pub fn on_removed(&self, name: Option<Name>) -> bool {
        name.is_some_and(|name| self.0.listed.borrow_mut().remove(&name).is_some())
    }

    /// What this instance knows of the store.
    pub fn known(&self) -> &StoreReplica {
        &self.0.known
    }

    /// The zones of the instances that the store lists.
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

    /// Tells the peers which configuration is in force here.
    pub fn on_version(&self, version: u64) {
        self.on(Event::InForce(Version(version)));
    }

    /// Tells the peers that this instance leaves.
    pub fn leave(&self) {
        self.on(Event::Leave);
    }

    /// Puts the list in force, once for all that an answer has changed: each time costs as much as the fleet is large.
    pub fn relist(&self) {
        let listed = self
            .0
            .listed
            .borrow()
            .values()
            .map(|l| l.listing.clone())
            .collect();
        self.on(Event::Listed(listed));
    }

    fn on(&self, event: Event) {
        let is_heartbeat = matches!(event, Event::Heartbeat(..));
        let actions = self.0.members.borrow_mut().on(clock::now(), event);
        let mut publish = false;
        for action in actions {
            match action {
                Action::Send(to, beat) => self.send(to, Datagram::Beat(beat)),
                Action::Publish => publish = true,
                Action::PeerAhead(..) | Action::Resumed => {}
            }
        }
        // The cost of publishing grows with the size of the fleet, and in a large fleet heartbeats with news arrive all the
        // time: these wait for the next tick.
        let is_deferred = is_heartbeat && self.is_large();
        if publish && !is_deferred {
            self.publish();
        }
    }

    fn send(&self, to: SocketAddr, body: Datagram) {
        let fleet = self.clone();
        actix_rt::spawn(async move {
            if let Err(error) = fleet.0.socket.send(to, body).await {
                log_event!(debug, log_event::PEER_FAILED, %to, %error, call = "send");
            }
        });
    }

    /// Rank of this instance among those that it hears.
    pub fn seat(&self) -> FleetRank {
        self.0.seat.get()
    }

    /// Returns when a peer knows more of the store, or when the seat has changed.
    pub async fn news(&self) {
        self.0.news.notified().await;
    }

    fn on_load(&self, name: &Name, digest: LoadMessage) {
        let now = clock::now();
        self.0.ahead.borrow_mut().insert(name.clone(), digest.revision);
        self.0.proofs.on_told(now, name, digest.proof);
        self.on_clock(now, name, digest.wall);
        if self.0.known.on_peer_status(now, digest.sync_status()) {
            self.0.news.notify_one();
        }
        if self.is_large()
            && !digest.shares.is_empty()
            && let Some(peer) = self.0.members.borrow().address(name)
        {
            self.0.busy.borrow_mut().insert(peer, now);
        }
        let keys = self.0.shared.view.load().keys().clone();
        let work: BTreeMap<EngineKey, Work> = digest
            .shares
            .into_iter()
            .filter_map(|share| {
                let key = keys.get(share.engine.as_str())?;
                let reading = Duration::from_micros(share.reading);
                let requests = share.requests;
                Some((
                    *key,
                    Work {
                        requests,
                        prefill: reading,
                    },
                ))
            })
            .collect();
        let mut ledger = self.0.shared.traffic();
        ledger.load.on_peer_report(now, name.as_str(), work);
        for note in digest.notes {
            ledger.suspects.on_note(now, note);
        }
        let view = self.0.shared.view.load();
        for read in digest.reads {
            // An engine that is not known here yet, or no more, gets no work from here.
            if let Some(engine) = view.hashes().get(&read.engine) {
                ledger.load.cached_parts.on_prefill(now, *engine, read);
            }
        }
    }

    /// Whether there are too many peers to tell all of them about load in time.
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

    /// Tells the peers about this instance's work and how far it knows the store; seldom, if there is no work.
    async fn tell(&self) {
        let now = clock::now();
        self.0.known.on_tick(now);
        self.prove(now);
        self.count(now);
        let turn = self.0.turn.get();
        self.0.turn.set(turn.wrapping_add(1));
        let (peers, turns) = self.load_recipients(now, turn);
        let (all, notes, reads) = {
            let mut ledger = self.0.shared.traffic();
            let reads = ledger
                .load
                .cached_parts
                .records_to_send(u32::try_from(turns).unwrap_or(u32::MAX));
            (ledger.load.own_by_engine(), ledger.suspects.notes(now), reads)
        };
        let quiet = all.is_empty() && notes.is_empty() && reads.is_empty();
        if self.0.quiet.replace(quiet) && quiet && !load_message::is_quiet_turn(turn) {
            return;
        }
        let ids = self.0.shared.view.load().ids().clone();
        let work = all
            .into_iter()
            .filter_map(|(key, work)| Some((ids.get(&key)?.clone(), work)));
        let digest =
            LoadMessage::new(work.collect(), notes, reads).with_sync_status(self.0.known.sync_status(now));
        let mut digest = digest.with_clock(clock::wall_micros(), self.0.known.proof_status(now));
        for peer in peers {
            let mut sent = self.0.socket.send(peer, Datagram::Load(digest.clone())).await;
            if let Err(PeerError::TooLong(length)) = sent {
                digest = digest.trim(MAX_DATAGRAM as f64 / length as f64 * FITS);
                sent = self.0.socket.send(peer, Datagram::Load(digest.clone())).await;
            }
            if let Err(error) = sent {
                log_event!(debug, log_event::PEER_FAILED, to = %peer, %error, call = "load");
            }
        }
    }
}
