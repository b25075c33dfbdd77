//! Interface to the process that answers the requests of its peers.

use std::any::Any;
use std::net::SocketAddr;

use tokio::net::TcpStream;

use crate::message::Request;
use crate::message::Response;

/// Maximum number of tunnels that an instance serves at the same time.
///
/// Guards against an instance running out of file descriptors when many peers have lost their links.
pub const MAX_TUNNELS: usize = 512;

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

/// Connection to an upstream that a [`Responder`] opened for a tunnel.
#[derive(Debug)]
pub struct Upstream {
    pub(crate) stream: TcpStream,
    _guard: Box<dyn Any>,
}

impl Upstream {
    /// Creates a connection for a tunnel. `guard` is dropped when the tunnel ends.
    pub fn new<G>(stream: TcpStream, guard: G) -> Upstream
    where
        G: 'static,
    {
        Upstream {
            stream,
            _guard: Box::new(guard),
        }
    }
}

impl From<TcpStream> for Upstream {
    fn from(stream: TcpStream) -> Upstream {
        Upstream::new(stream, ())
    }
}
