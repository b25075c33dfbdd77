//! Authenticated connections: framing, sealing and numbering of messages over TCP.

use std::borrow::Cow;
use std::net::SocketAddr;

use rand::RngExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use crate::error::PeerError;
use crate::seal::ClusterKey;

/// Maximum frame, in bytes: a configuration of 1 MB and its framing.
pub const MAX_FRAME: usize = 2 * 1024 * 1024;

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

/// The two ends of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Opened the connection.
    Client,
    /// Accepted the connection.
    Server,
}

impl Side {
    fn other(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }
}

/// A connection whose frames are authenticated with a key of its own and numbered in each direction.
#[derive(Debug)]
pub struct Channel {
    /// Sends frames.
    pub sender: FrameSender,
    /// Receives frames.
    pub receiver: FrameReceiver,
}

/// Sending half of a [`Channel`].
#[derive(Debug)]
pub struct FrameSender {
    /// Write half of the TCP stream.
    pub stream: OwnedWriteHalf,
    /// Whether large messages are compressed.
    pub compress: bool,
    key: ClusterKey,
    side: Side,
    sent: u64,
}

/// Receiving half of a [`Channel`].
#[derive(Debug)]
pub struct FrameReceiver {
    stream: OwnedReadHalf,
    key: ClusterKey,
    other: Side,
    received: u64,
}

fn broken(error: std::io::Error) -> PeerError {
    PeerError::Broken(error.to_string())
}

impl Channel {
    /// Connects to the peer at `to`.
    ///
    /// # Errors
    ///
    /// [`PeerError::Connect`].
    pub async fn connect(to: SocketAddr, key: &ClusterKey) -> Result<Channel, PeerError> {
        let connect = |e: std::io::Error| PeerError::Connect(e.to_string());
        let stream = TcpStream::connect(to).await.map_err(connect)?;
        stream.set_nodelay(true).map_err(connect)?;
        let opened = Channel::open(stream, key, Side::Client).await;
        opened.map_err(|e| PeerError::Connect(e.to_string()))
    }

    /// Exchanges nonces with the other side and derives the connection's key.
    ///
    /// # Errors
    ///
    /// [`PeerError::Broken`] if the connection fails.
    pub async fn open(mut stream: TcpStream, key: &ClusterKey, side: Side) -> Result<Channel, PeerError> {
        let ours: [u8; NONCE_LEN] = rand::rng().random();
        let mut theirs = [0; NONCE_LEN];
        stream.write_all(&ours).await.map_err(broken)?;
        stream.read_exact(&mut theirs).await.map_err(broken)?;
        let nonces = match side {
            Side::Client => [ours, theirs].concat(),
            Side::Server => [theirs, ours].concat(),
        };
        let key = key.session(&nonces);
        let (reader, writer) = stream.into_split();
        Ok(Channel {
            sender: FrameSender {
                stream: writer,
                compress: true,
                key: key.clone(),
                side,
                sent: 0,
            },
            receiver: FrameReceiver {
                stream: reader,
                key,
                other: side.other(),
                received: 0,
            },
        })
    }

    /// Whether an idle connection has not been closed by the peer.
    pub fn is_open(&self) -> bool {
        let mut byte = [0];
        let read = self.receiver.stream.try_read(&mut byte);
        matches!(read, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// The underlying TCP stream.
    pub fn stream(&self) -> &TcpStream {
        self.receiver.stream.as_ref()
    }
}

impl FrameSender {
    /// Sends `message` as one frame.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the connection is unusable afterwards.
    pub async fn send<M>(&mut self, message: &M) -> Result<(), PeerError>
    where
        M: Serialize,
    {
        let frame = self.frame(message)?;
        self.stream.write_all(&frame).await.map_err(broken)
    }

    /// Numbers and seals `message`. The caller must write the returned bytes to the connection.
    ///
    /// # Errors
    ///
    /// [`PeerError::TooLong`] and [`PeerError::Malformed`].
    pub fn frame<M>(&mut self, message: &M) -> Result<Vec<u8>, PeerError>
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
        frame.extend(encode(message, self.compress));
        let sealed = self.key.seal(frame);
        let payload = &sealed[head..];
        if payload.len() > MAX_FRAME {
            return Err(PeerError::TooLong(payload.len()));
        }
        let length = u32::try_from(payload.len()).map_err(|_| PeerError::TooLong(payload.len()))?;
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend_from_slice(payload);
        Ok(bytes)
    }
}

impl FrameReceiver {
    /// Receives the next message. Must not be called again if the future was dropped before it completed.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the connection is unusable afterwards.
    pub async fn receive<M>(&mut self) -> Result<M, PeerError>
    where
        M: DeserializeOwned,
    {
        let length = self.stream.read_u32().await.map_err(broken)? as usize;
        if length > MAX_FRAME {
            return Err(PeerError::TooLong(length));
        }
        self.received += 1;
        let mut frame = prefix(self.other, self.received);
        let head = frame.len();
        // Grows with what arrives, not with what is announced.
        let mut body = (&mut self.stream).take(length as u64);
        if body.read_to_end(&mut frame).await.map_err(broken)? < length {
            return Err(PeerError::Broken(
                "the connection ended within a frame".to_string(),
            ));
        }
        let message = self.key.open(&frame)?;
        Ok(postcard::from_bytes(&decode(&message[head..])?)?)
    }

    /// Waits until the other side has closed or reset the connection, even if there are unread bytes.
    pub async fn closed(&self) -> PeerError {
        let closed = Interest::ERROR.add(Interest::PRIORITY);
        match self.stream.ready(closed).await {
            Ok(_) => PeerError::Broken("the peer closed the connection".to_string()),
            Err(error) => broken(error),
        }
    }

    /// Reads and discards all bytes until the connection ends.
    pub async fn discard(&mut self) -> PeerError {
        match tokio::io::copy(&mut self.stream, &mut tokio::io::sink()).await {
            Ok(_) => PeerError::Broken("the peer closed the connection".to_string()),
            Err(error) => broken(error),
        }
    }
}

/// Data that a frame's tag covers besides its body: the sending side and the frame's number on the connection.
fn prefix(side: Side, number: u64) -> Vec<u8> {
    let mut prefix = vec![side as u8];
    prefix.extend_from_slice(&number.to_be_bytes());
    prefix
}

/// Encodes a message as a frame's body: an encoding byte, then the message, compressed if it is large and
/// `compress` is set.
fn encode(message: Vec<u8>, compress: bool) -> Vec<u8> {
    if !compress || message.len() < MIN_COMPRESSED {
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
