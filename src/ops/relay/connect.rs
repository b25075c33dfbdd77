//! Opens connections to engines: directly, or through a peer if this instance has lost its direct link to the engine.
//!
//! A request that is sent through a peer is an attempt like any other: it counts against the same limits and budgets of
//! this instance and is sent once. The peer only relays its bytes, and connects directly, so that no request passes
//! through more than one peer.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use futures_util::future::join_all;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::reachability::ConnectPlan;
use sequoiastream_core::relay::reachability::HEDGE_DELAY;
use sequoiastream_core::relay::reachability::Path;
use sequoiastream_core::relay::tunnel_peers;
use sequoiastream_peer::responder::Upstream;
use sequoiastream_peer::tunnel;
use sequoiastream_upstream::channel::Channel;
use sequoiastream_upstream::channel::ChannelError;
use sequoiastream_upstream::channel::Pool;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::log_event;
use crate::ops::relay::failure::AttemptFailure;
use crate::ops::relay::send::IncomingRequest;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Time limit for a new connection to an engine. Engines answer the first packet of a connection immediately unless
/// they are full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit for a peer to open a tunnel. Two peers fit into the time limit of a connection after [`HEDGE_DELAY`].
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(150);

/// Time limit for connecting to an engine for a peer: less than [`TUNNEL_TIMEOUT`], so that a failure is reported to
/// the peer in time.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Time within which an engine that ends closes all its connections and refuses new ones.
const END_TIME: Duration = Duration::from_millis(50);

/// A connection to `engine` for `incoming`.
///
/// # Errors
///
/// [`AttemptFailure`] with [`End::Unsent`] if neither this instance nor a peer can connect to the engine, or by then the
/// request has expired or the engine must get no more requests.
pub async fn for_request(
    shared: &Shared,
    pool: &Pool,
    incoming: &IncomingRequest,
    engine: &Engine,
) -> Result<Channel, AttemptFailure> {
    let channel = take(shared, pool, engine, incoming.time_left()).await?;
    if incoming.time_left().is_zero() {
        return Err(AttemptFailure::unsent("the request has expired"));
    }
    if !is_available(shared, engine) {
        pool.put(engine.entry.address, channel);
        return Err(AttemptFailure::unsent("the engine is leaving or paused"));
    }
    Ok(channel)
}

/// Whether an engine that was chosen before may still get requests. Opening a connection may take almost a second.
fn is_available(shared: &Shared, engine: &Engine) -> bool {
    let is_listed = shared.view.load().ids().contains_key(&engine.key);
    let traffic = shared.traffic();
    is_listed && !traffic.notices.is_unavailable(clock::now(), engine.incarnation())
}

/// A connection to `engine`: an idle one that may be reused, or a new one that is opened within `limit` and
/// [`CONNECT_TIMEOUT`].
///
/// # Errors
///
/// [`ChannelError::Unsent`] if neither this instance nor a peer can connect to the engine.
pub async fn take(
    shared: &Shared,
    pool: &Pool,
    engine: &Engine,
    limit: Duration,
) -> Result<Channel, ChannelError> {
    let address = engine.entry.address;
    let now = clock::now();
    let is_detached = shared.traffic().reachability.is_detached(now, engine.key);
    if !is_detached && let Some(channel) = pool.take_idle(address).await {
        return Ok(channel);
    }
    let plan = shared.traffic().reachability.plan(now, engine.key);
    // Idle tunnels are not reused when a direct attempt is due: otherwise a restored link would be noticed late.
    if plan == ConnectPlan::Tunnel
        && let Some(channel) = pool.take_idle(address).await
    {
        return Ok(channel);
    }
    let limit = limit.min(CONNECT_TIMEOUT);
    let opener = Opener {
        limit,
        ..Opener::new(shared, pool, engine)
    };
    let opened = timeout(limit, opener.open(plan)).await;
    if let Ok(Err(ChannelError::Refused(_))) = &opened {
        let incarnation = engine.incarnation().hash();
        shared.traffic().suspects.on_ended(clock::now(), incarnation);
    }
    opened.unwrap_or_else(|_| {
        if plan != ConnectPlan::Tunnel {
            opener.on_direct_failed();
        }
        Err(ChannelError::Unsent("no connection in time".to_string()))
    })
}

/// Connects to an engine for a peer that has lost its link to it. `None` if no engine is known at `upstream`, this
/// instance can't connect to it, or it is shutting down. The connection counts as a running request, so that a shutdown
/// waits for it.
pub async fn for_peer(shared: &Shared, upstream: SocketAddr) -> Option<Upstream> {
    if shared.is_leaving() {
        return None;
    }
    let engine = {
        let view = shared.view.load();
        let mut engines = view.engines().values().flatten();
        engines.find(|engine| engine.entry.address == upstream)?.key
    };
    // Fails immediately if this instance can't reach the engine directly either, so that there is time to ask another
    // peer.
    if shared.traffic().reachability.is_detached(clock::now(), engine) {
        return None;
    }
    let connected = timeout(PEER_CONNECT_TIMEOUT, TcpStream::connect(upstream)).await;
    let now = clock::now();
    let reachability = &mut shared.traffic().reachability;
    match connected {
        Ok(Ok(stream)) => {
            reachability.on_connected(now, engine, Path::Direct);
            Some(Upstream::new(stream, shared.begin()))
        }
        Ok(Err(_)) | Err(_) => {
            reachability.on_direct_failed(now, engine);
            None
        }
    }
}

/// Tries to connect directly to each engine that is detached and due for a probe, and keeps the connections that are
/// opened.
///
/// Guards against an instance that gets no requests because it has lost its engines, and therefore doesn't notice that
/// they can be reached again.
pub async fn probe(shared: &Shared, pool: &Pool) {
    let now = clock::now();
    let detached = shared.traffic().reachability.detached(now);
    if detached.is_empty() {
        return;
    }
    let view = shared.view.load_full();
    let engines = view.engines().values().flatten();
    let probes = engines
        .filter(|engine| detached.contains(&engine.key))
        .filter(|engine| shared.traffic().reachability.plan(now, engine.key) == ConnectPlan::Both)
        .map(|engine| async {
            let opener = Opener::new(shared, pool, engine);
            if let Ok(channel) = opener.connect().await {
                pool.put(engine.entry.address, channel);
            }
        });
    join_all(probes).await;
}

/// Whether an engine that broke off a request has ended: it refuses connections, and no peer can connect to it either.
/// `false` if that is not certain because it can't be reached. A connection that is opened is kept.
///
/// Failures guarded against: a link loses the answers to a request, or an engine breaks off some answers, and the request
/// is taken for one that crashes engines; an engine that is killed still accepts a connection after it has closed that of an
/// answer, which is taken for complete.
pub async fn has_ended(shared: &Shared, pool: &Pool, engine: &Engine) -> bool {
    let opener = Opener::new(shared, pool, engine);
    let opened = match opener.open(ConnectPlan::Direct).await {
        Ok(channel) => {
            // An engine that is ending may still have accepted the connection.
            tokio::time::sleep(END_TIME).await;
            match channel.is_open() {
                true => Ok(channel),
                false => opener.open(ConnectPlan::Direct).await,
            }
        }
        failed => failed,
    };
    match opened {
        Ok(channel) => {
            pool.put(engine.entry.address, channel);
            false
        }
        Err(error) => matches!(error, ChannelError::Refused(_)),
    }
}

/// Opens one connection.
struct Opener<'a> {
    shared: &'a Shared,
    pool: &'a Pool,
    engine: &'a Engine,
    limit: Duration,
}

impl<'a> Opener<'a> {
    fn new(shared: &'a Shared, pool: &'a Pool, engine: &'a Engine) -> Opener<'a> {
        Opener {
            shared,
            pool,
            engine,
            limit: CONNECT_TIMEOUT,
        }
    }

    async fn open(&self, plan: ConnectPlan) -> Result<Channel, ChannelError> {
        match plan {
            ConnectPlan::Direct => self.race(HEDGE_DELAY).await,
            ConnectPlan::Both => self.race(Duration::ZERO).await,
            ConnectPlan::Tunnel => self.open_tunnel().await,
        }
    }

    /// Connects directly and, if that fails or takes longer than `delay`, through a peer as well. The first connection is
    /// used.
    async fn race(&self, delay: Duration) -> Result<Channel, ChannelError> {
        let mut direct = pin!(self.connect());
        match timeout(delay, &mut direct).await {
            Ok(Ok(channel)) => return Ok(channel),
            Ok(Err(error)) => return self.open_tunnel().await.map_err(|_| error),
            Err(_) => {}
        }
        let mut tunnel = pin!(self.open_tunnel());
        tokio::select! {
            biased;
            connected = &mut direct => match connected {
                Ok(channel) => Ok(channel),
                Err(error) => tunnel.await.map_err(|_| error),
            },
            opened = &mut tunnel => match opened {
                Ok(channel) => {
                    self.on_direct_hung();
                    Ok(channel)
                }
                Err(_) => direct.await,
            },
        }
    }

    async fn connect(&self) -> Result<Channel, ChannelError> {
        let address = self.engine.entry.address;
        let result = Channel::connect(address, self.limit).await;
        match &result {
            Ok(_) => self.on_connected(Path::Direct),
            Err(_) => self.on_direct_failed(),
        }
        result
    }

    /// Connects through one of the peers that reach the engine.
    async fn open_tunnel(&self) -> Result<Channel, ChannelError> {
        let mut failure = ChannelError::Unsent("no peer can connect to the engine".to_string());
        let entry = &self.engine.entry;
        let peers = {
            let view = self.shared.view.load();
            tunnel_peers::choose(&view.tunnel_peers, &entry.zone, rand::random())
        };
        for peer in &peers {
            let opened = timeout(
                TUNNEL_TIMEOUT,
                tunnel::open(&self.shared.key, *peer, entry.address),
            )
            .await;
            let error = match opened {
                Ok(Ok(tunnel)) => {
                    self.on_connected(Path::Tunnel);
                    return Channel::handshake(tunnel, Path::Tunnel).await;
                }
                Ok(Err(error)) => error.to_string(),
                Err(_) => "no tunnel in time".to_string(),
            };
            log_event!(debug, log_event::PEER_FAILED, to = %peer, error, call = "connect");
            failure = ChannelError::Unsent(error);
        }
        if !peers.is_empty() {
            self.shared
                .traffic()
                .reachability
                .on_tunnel_failed(self.engine.key);
        }
        Err(failure)
    }

    fn on_connected(&self, path: Path) {
        let (now, key) = (clock::now(), self.engine.key);
        let mut traffic = self.shared.traffic();
        let was_detached = traffic.reachability.is_detached(now, key);
        traffic.reachability.on_connected(now, key, path);
        drop(traffic);
        if was_detached && path == Path::Direct {
            self.pool
                .close_idle(self.engine.entry.address, Some(Path::Tunnel));
        }
    }

    fn on_direct_failed(&self) {
        let mut traffic = self.shared.traffic();
        traffic
            .reachability
            .on_direct_failed(clock::now(), self.engine.key);
    }

    /// Handles a direct attempt that was still pending when a tunnel had been opened: packets to the engine are being
    /// lost, so its idle direct connections hang too.
    fn on_direct_hung(&self) {
        self.on_direct_failed();
        self.pool
            .close_idle(self.engine.entry.address, Some(Path::Direct));
    }
}
