//! Request/response calls over TCP; a connection carries many calls in sequence.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::channel::Channel;
pub use crate::channel::MAX_FRAME;
use crate::channel::Side;
use crate::error::PeerError;
use crate::message::Request;
use crate::message::Response;
use crate::seal::ClusterKey;
use crate::tunnel;
use crate::tunnel::MAX_TUNNELS;
use crate::tunnel::TunnelSlots;
use crate::tunnel::Upstream;

/// Maximum number of idle connections kept open to one peer.
const MAX_IDLE: usize = 4;

/// Handles requests of peers; implemented by the daemon.
pub trait Responder: Clone + 'static {
    /// Handles `request` and returns the response.
    fn respond(&self, request: Request) -> impl Future<Output = Response>;

    /// Connects to `upstream` for a tunnel that a peer opens. `None` if this instance does not serve tunnels to it or
    /// can't reach it. The future is dropped if the peer closes its connection in the meantime.
    fn connect(&self, _upstream: SocketAddr) -> impl Future<Output = Option<Upstream>> {
        std::future::ready(None)
    }

    /// Maximum number of tunnels that are served at the same time.
    fn tunnel_limit(&self) -> usize {
        MAX_TUNNELS
    }
}

/// Accepts connections from peers until the listener fails. Must run inside a `LocalSet`.
pub async fn serve<R>(listener: TcpListener, key: ClusterKey, responder: R)
where
    R: Responder,
{
    let slots = TunnelSlots::new(responder.tunnel_limit());
    while let Ok((stream, peer)) = listener.accept().await {
        let key = key.clone();
        let responder = responder.clone();
        let slots = slots.clone();
        spawn_local(async move {
            if let Err(error) = handle_connection(stream, &key, responder, slots).await {
                tracing::debug!(%peer, %error, "peer connection closed");
            }
        });
    }
}

async fn handle_connection<R>(
    stream: TcpStream,
    key: &ClusterKey,
    responder: R,
    slots: TunnelSlots,
) -> Result<(), PeerError>
where
    R: Responder,
{
    let mut channel = Channel::open(stream, key, Side::Server).await?;
    loop {
        let response = match channel.receiver.receive().await? {
            Request::Connect(upstream) => {
                match tunnel::connect(&channel, &responder, &slots, upstream).await? {
                    Some(connection) => return tunnel::relay(channel, connection).await,
                    None => Response::Unreachable,
                }
            }
            request => responder.respond(request).await,
        };
        channel.sender.send(&response).await?;
    }
}

/// Sends requests to peers and keeps a few idle connections open. Cheap to clone; not `Send`.
#[derive(Debug, Clone)]
pub struct CallClient {
    key: ClusterKey,
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<Channel>>>>,
}

impl CallClient {
    /// Creates a client without connections.
    pub fn new(key: ClusterKey) -> CallClient {
        CallClient {
            key,
            idle: Rc::new(RefCell::new(BTreeMap::new())),
        }
    }

    /// Sends `request` to the peer at `to` and waits up to `limit` for the response. Never sends a request twice.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; [`PeerError::is_not_sent`] tells whether the peer cannot have acted on it.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<Response, PeerError> {
        let sent = RefCell::new(false);
        let call = async {
            let mut channel = self.channel(to).await?;
            *sent.borrow_mut() = true;
            channel.sender.send(request).await?;
            let response = channel.receiver.receive().await?;
            self.keep(to, channel);
            Ok(response)
        };
        match timeout(limit, call).await {
            Ok(result) => result,
            Err(_) if *sent.borrow() => Err(PeerError::Timeout),
            Err(_) => Err(PeerError::Connect("timed out while connecting".to_string())),
        }
    }

    async fn channel(&self, to: SocketAddr) -> Result<Channel, PeerError> {
        while let Some(channel) = self.take(to) {
            if channel.is_open() {
                return Ok(channel);
            }
        }
        Channel::connect(to, &self.key).await
    }

    fn take(&self, to: SocketAddr) -> Option<Channel> {
        self.idle.borrow_mut().get_mut(&to)?.pop()
    }

    fn keep(&self, to: SocketAddr, channel: Channel) {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.entry(to).or_default();
        if channels.len() < MAX_IDLE {
            channels.push(channel);
        }
    }
}
