//! Request/response calls over TCP; a connection carries many calls in sequence.

use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::error::PeerError;
use crate::message::Request;
use crate::message::Response;
use crate::seal::ClusterKey;

/// Maximum frame, in bytes: a configuration of 1 MB and its framing.
pub const MAX_FRAME: usize = 2 * 1024 * 1024;

/// Maximum number of idle connections kept open to one peer.
const MAX_IDLE: usize = 4;

/// Smallest message, in bytes, that is compressed.
///
/// Guards against pages with thousands of similar engine entries occupying the link of a small instance for seconds.
const MIN_COMPRESSED: usize = 4 * 1024;

/// Largest message, in bytes, before compression.
///
/// Guards against memory exhaustion by a frame that declares an excessive decompressed length.
const MAX_MESSAGE: usize = 4 * MAX_FRAME;

/// Encoding byte at the start of a frame's body: the message follows uncompressed.
const UNCOMPRESSED: u8 = 0;

/// Encoding byte at the start of a frame's body: the uncompressed length follows, then the compressed message.
const COMPRESSED: u8 = 1;

/// Length of a nonce, in bytes.
const NONCE_LEN: usize = 16;

/// Handles requests of peers; implemented by the daemon.
pub trait Responder: Clone + 'static {
    /// Handles `request` and returns the response.
    fn respond(&self, request: Request) -> impl Future<Output = Response>;
}

/// Accepts connections from peers until the listener fails. Must run inside a `LocalSet`.
pub async fn serve<R>(listener: TcpListener, key: ClusterKey, responder: R)
where
    R: Responder,
{
    while let Ok((stream, peer)) = listener.accept().await {
        let key = key.clone();
        let responder = responder.clone();
        spawn_local(async move {
            if let Err(error) = handle_connection(stream, &key, responder).await {
                tracing::debug!(%peer, %error, "peer connection closed");
            }
        });
    }
}

async fn handle_connection<R>(stream: TcpStream, key: &ClusterKey, responder: R) -> Result<(), PeerError>
where
    R: Responder,
{
    let mut channel = Channel::open(stream, key, Side::Server).await?;
    loop {
        let request: Request = channel.receive().await?;
        let response = responder.respond(request).await;
        channel.send(&response).await?;
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
            channel.send(request).await?;
            let response = channel.receive().await?;
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
        let connect = |e: std::io::Error| PeerError::Connect(e.to_string());
        let stream = TcpStream::connect(to).await.map_err(connect)?;
        stream.set_nodelay(true).map_err(connect)?;
        let opened = Channel::open(stream, &self.key, Side::Client).await;
        opened.map_err(|e| PeerError::Connect(e.to_string()))
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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Client,
    Server,
}

/// A connection whose frames are authenticated with a key of its own and numbered in each direction.
#[derive(Debug)]
struct Channel {
    stream: TcpStream,
    key: ClusterKey,
    side: Side,
    sent: u64,
    received: u64,
}

impl Channel {
    async fn open(mut stream: TcpStream, key: &ClusterKey, side: Side) -> Result<Channel, PeerError> {
        let broken = |e: std::io::Error| PeerError::Broken(e.to_string());
        let ours: [u8; NONCE_LEN] = rand::rng().random();
        let mut theirs = [0; NONCE_LEN];
        stream.write_all(&ours).await.map_err(broken)?;
        stream.read_exact(&mut theirs).await.map_err(broken)?;
        let nonces = match side {
            Side::Client => [ours, theirs].concat(),
            Side::Server => [theirs, ours].concat(),
        };
        Ok(Channel {
            stream,
            key: key.session(&nonces),
            side,
            sent: 0,
            received: 0,
        })
    }

    /// Whether an idle connection has not been closed by the peer.
    fn is_open(&self) -> bool {
        let mut byte = [0];
        matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    async fn send<M>(&mut self, message: &M) -> Result<(), PeerError>
    where
        M: Serialize,
    {
        self.sent += 1;
        let mut frame = prefix(self.side, self.sent);
        let head = frame.len();
        let message = postcard::to_allocvec(message)?;
        if message.len() > MAX_MESSAGE {
            return Err(PeerError::TooLong(message.len()));
        }
        frame.extend(encode(message));
        let sealed = self.key.seal(frame);
        let payload = &sealed[head..];
        if payload.len() > MAX_FRAME {
            return Err(PeerError::TooLong(payload.len()));
        }
        let length = u32::try_from(payload.len()).map_err(|_| PeerError::TooLong(payload.len()))?;
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend_from_slice(payload);
        let written = self.stream.write_all(&bytes).await;
        written.map_err(|e| PeerError::Broken(e.to_string()))
    }

    async fn receive<M>(&mut self) -> Result<M, PeerError>
    where
        M: DeserializeOwned,
    {
        let broken = |e: std::io::Error| PeerError::Broken(e.to_string());
        let length = self.stream.read_u32().await.map_err(broken)? as usize;
        if length > MAX_FRAME {
            return Err(PeerError::TooLong(length));
        }
        self.received += 1;
        let other = match self.side {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        };
        let mut frame = prefix(other, self.received);
        let head = frame.len();
        frame.resize(head + length, 0);
        self.stream.read_exact(&mut frame[head..]).await.map_err(broken)?;
        let message = self.key.open(&frame)?;
        Ok(postcard::from_bytes(&decode(&message[head..])?)?)
    }
}

/// Data that a frame's tag covers besides its body: the sending side and the frame's number on the connection.
fn prefix(side: Side, number: u64) -> Vec<u8> {
    let mut prefix = vec![side as u8];
    prefix.extend_from_slice(&number.to_be_bytes());
    prefix
}

/// Encodes a message as a frame's body: an encoding byte, then the message, compressed if it is large.
fn encode(message: Vec<u8>) -> Vec<u8> {
    if message.len() < MIN_COMPRESSED {
        return [vec![UNCOMPRESSED], message].concat();
    }
    [vec![COMPRESSED], lz4_flex::compress_prepend_size(&message)].concat()
}

/// Decodes the message in a frame's body.
fn decode(body: &[u8]) -> Result<Cow<'_, [u8]>, PeerError> {
    let malformed = |reason: String| PeerError::Malformed(reason);
    match body.split_first() {
        Some((&UNCOMPRESSED, message)) => Ok(Cow::Borrowed(message)),
        Some((&COMPRESSED, compressed)) => {
            let (length, compressed) =
                lz4_flex::block::uncompressed_size(compressed).map_err(|e| malformed(e.to_string()))?;
            if length > MAX_MESSAGE {
                return Err(malformed(format!("the message declares {length} bytes")));
            }
            let message = lz4_flex::decompress(compressed, length).map_err(|e| malformed(e.to_string()))?;
            Ok(Cow::Owned(message))
        }
        _ => Err(malformed("missing or unknown message encoding".to_string())),
    }
}
