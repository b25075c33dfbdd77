//! Tunnels to engines through a peer.

mod ends;
mod leaving;
mod proxy;
mod serving;

use std::cell::Cell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;
use sequoiastream_peer::responder::MAX_TUNNELS;
use sequoiastream_peer::responder::Responder;
use sequoiastream_peer::responder::Upstream;
use sequoiastream_peer::seal::ClusterKey;
use sequoiastream_peer::serve;
use sequoiastream_peer::tunnel;
use sequoiastream_peer::tunnel::Tunnel;
use tokio::io::AsyncWrite;
use tokio::io::Interest;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which a test counts as hung.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of turns of all tasks without progress after which a writer counts as stalled.
const STALL_TURNS: usize = 2_000;

/// More bytes than fit into the buffers of all connections of a tunnel.
const MAX_BUFFERED: usize = 128 * 1024 * 1024;

fn key() -> ClusterKey {
    ClusterKey::new("cluster-key-for-tests")
}

/// Peer that connects to every upstream.
#[derive(Debug, Clone)]
struct Relay {
    /// Limit of concurrent tunnels.
    limit: usize,
    /// Number of connections that were attempted.
    attempts: Rc<Cell<usize>>,
}

impl Relay {
    fn new() -> Relay {
        Relay {
            limit: MAX_TUNNELS,
            attempts: Rc::default(),
        }
    }
}

impl Responder for Relay {
    async fn respond(&self, _: Request) -> Response {
        Response::Pong
    }

    async fn connect(&self, upstream: SocketAddr) -> Option<Upstream> {
        self.attempts.set(self.attempts.get() + 1);
        TcpStream::connect(upstream).await.ok().map(Upstream::from)
    }

    fn tunnel_limit(&self) -> usize {
        self.limit
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

/// Starts a peer and returns its address.
async fn start<R>(responder: R) -> SocketAddr
where
    R: Responder,
{
    let (listener, address) = listen().await;
    actix_web::rt::spawn(serve(listener, key(), responder));
    address
}

/// Opens a tunnel through the peer at `peer` and returns it with the accepted connection of the upstream.
async fn open_through(peer: SocketAddr) -> (Tunnel, TcpStream) {
    let (listener, upstream) = listen().await;
    let key = key();
    let (tunnel, accepted) = tokio::join!(tunnel::open(&key, peer, upstream), listener.accept());
    (tunnel.expect("a tunnel"), accepted.expect("a connection").0)
}

/// Opens a tunnel through a new peer.
async fn open() -> (Tunnel, TcpStream) {
    open_through(start(Relay::new()).await).await
}

/// Runs `test` and fails if it hangs.
async fn within_limit<T>(test: T) -> T::Output
where
    T: Future,
{
    timeout(TEST_TIMEOUT, test).await.expect("the test hangs")
}

/// Waits until the connection was closed or reset by the other side, without reading from it.
async fn closed(stream: &TcpStream) {
    let closed = Interest::ERROR.add(Interest::PRIORITY);
    stream.ready(closed).await.expect("the connection is watched");
}

/// Writes until the writer makes no progress any more, and returns the number of bytes written.
async fn write_until_stalled<W>(writer: &mut W) -> usize
where
    W: AsyncWrite + Unpin,
{
    let chunk = vec![7; 64 * 1024];
    let mut written = 0;
    let mut idle = 0;
    while idle < STALL_TURNS {
        assert!(written < MAX_BUFFERED, "the tunnel buffers without a limit");
        let polled = poll_fn(|context| Poll::Ready(Pin::new(&mut *writer).poll_write(context, &chunk))).await;
        match polled {
            Poll::Ready(result) => {
                written += result.expect("the connection is open");
                idle = 0;
            }
            Poll::Pending => {
                idle += 1;
                tokio::task::yield_now().await;
            }
        }
    }
    written
}

/// Random bytes that depend only on `seed`.
fn random_bytes(seed: u64, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes
}
