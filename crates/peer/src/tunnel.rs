//! Tunnels: an instance that can't reach an engine connects to it through a peer.
//!
//! The peer only relays bytes. Requests, retries, limits and deadlines stay with the instance that opened the tunnel.
//! All frames are sealed and numbered like those of calls. Neither side buffers more than one frame in each direction.
//!
//! The peer reports the end of the engine's connection in a separate frame. A tunnel that ends without that frame was
//! cut off: an answer without a length is delimited by the end of its connection, and a truncated one must not look
//! complete.

use std::cell::Cell;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use futures_util::stream::BoxStream;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::time::timeout;
use tokio_util::io::StreamReader;

use crate::channel::Channel;
use crate::channel::FrameReceiver;
use crate::channel::FrameSender;
use crate::error::PeerError;
use crate::message::Request;
use crate::message::Response;
use crate::responder::Responder;
use crate::responder::Upstream;
use crate::seal::ClusterKey;

/// Maximum number of relayed bytes in a frame: bounds the memory of a tunnel and how long a frame delays the next one.
const MAX_DATA: usize = 64 * 1024;

/// How long the peer may take to close a tunnel whose upstream has ended.
///
/// Guards against tunnels that are never freed because the peer's host vanished without closing its connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// A frame of a tunnel. The opener sends only data.
#[derive(Debug, Serialize, Deserialize)]
enum Frame {
    /// Bytes of the relayed connection.
    Data(Bytes),
    /// The upstream closed its connection; all its bytes were sent.
    End,
    /// The upstream's connection failed, for this reason; all bytes that were read from it were sent.
    Failed(String),
}

/// Opens a tunnel to `upstream` through the peer at `peer`, on a connection of its own. Not bounded in time; dropping
/// the future closes the connection.
///
/// # Errors
///
/// [`PeerError::Unreachable`] if the peer opened none; other [`PeerError`]s if the peer can't be reached. In all cases
/// the upstream has received nothing.
pub async fn open(key: &ClusterKey, peer: SocketAddr, upstream: SocketAddr) -> Result<Tunnel, PeerError> {
    let mut channel = Channel::connect(peer, key).await?;
    // Dropping resets the connection, which the peer detects even if it doesn't read.
    let linger = channel.stream().set_zero_linger();
    linger.map_err(|e| PeerError::Connect(e.to_string()))?;
    channel.sender.send(&Request::Connect(upstream)).await?;
    match channel.receiver.receive().await? {
        Response::Connected => Ok(Tunnel::new(channel)),
        Response::Unreachable | Response::NotServed => Err(PeerError::Unreachable),
        other => Err(PeerError::Malformed(format!(
            "unexpected response to Connect: {other:?}"
        ))),
    }
}

/// Connection to an upstream through a peer.
///
/// Reading returns the end of the stream only if the upstream closed its connection; otherwise an error
/// ([`ErrorKind::ConnectionReset`] if a connection was lost). Shutting down closes the tunnel in both directions, as
/// dropping does: the peer closes its connection to the upstream at once, whether or not it has accepted what was
/// written. There is no half-close.
pub struct Tunnel {
    reader: StreamReader<BoxStream<'static, std::io::Result<Bytes>>, Bytes>,
    writer: FrameWriter,
}

impl std::fmt::Debug for Tunnel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Tunnel").finish_non_exhaustive()
    }
}

impl Tunnel {
    fn new(channel: Channel) -> Tunnel {
        let sender = uncompressed(channel.sender);
        let incoming = stream::unfold(Incoming::Open(channel.receiver), Incoming::next);
        Tunnel {
            reader: StreamReader::new(incoming.boxed()),
            writer: FrameWriter {
                sender,
                pending: Bytes::new(),
            },
        }
    }
}

/// Disables compression. Guards against connections that hold many times more bytes than their buffers, which would
/// delay backpressure.
fn uncompressed(mut sender: FrameSender) -> FrameSender {
    sender.compress = false;
    sender
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.reader).poll_read(context, buffer)
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.writer.poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.writer.poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        // Doesn't wait for the peer, which may be unable to forward what was written.
        if let Poll::Ready(Err(error)) = self.writer.poll_flush(context) {
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.writer.sender.stream).poll_shutdown(context)
    }
}

/// State of the receiving half of a [`Tunnel`].
enum Incoming {
    Open(FrameReceiver),
    Failed(ErrorKind),
}

impl Incoming {
    /// Receives the next bytes. After an error, every further call returns it again instead of the end of the stream.
    async fn next(self) -> Option<(std::io::Result<Bytes>, Incoming)> {
        let mut receiver = match self {
            Incoming::Open(receiver) => receiver,
            Incoming::Failed(kind) => return Some((Err(kind.into()), Incoming::Failed(kind))),
        };
        let error = match receiver.receive().await {
            Ok(Frame::Data(data)) => return Some((Ok(data), Incoming::Open(receiver))),
            Ok(Frame::End) => return None,
            Ok(Frame::Failed(reason)) => PeerError::Broken(reason),
            Err(error) => error,
        };
        tracing::debug!(%error, "tunnel failed");
        let error = std::io::Error::from(error);
        let kind = error.kind();
        Some((Err(error), Incoming::Failed(kind)))
    }
}

/// Writes bytes as frames and holds at most one frame that the connection has not accepted.
struct FrameWriter {
    sender: FrameSender,
    pending: Bytes,
}

impl FrameWriter {
    fn poll_write(&mut self, context: &mut Context<'_>, data: &[u8]) -> Poll<std::io::Result<usize>> {
        ready!(self.poll_flush(context))?;
        let length = data.len().min(MAX_DATA);
        let frame = Frame::Data(Bytes::copy_from_slice(&data[..length]));
        self.pending = self.sender.frame(&frame)?.into();
        match self.poll_flush(context) {
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(())) | Poll::Pending => Poll::Ready(Ok(length)),
        }
    }

    fn poll_flush(&mut self, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        while !self.pending.is_empty() {
            let stream = Pin::new(&mut self.sender.stream);
            let count = ready!(stream.poll_write(context, &self.pending))?;
            if count == 0 {
                return Poll::Ready(Err(ErrorKind::WriteZero.into()));
            }
            drop(self.pending.split_to(count));
        }
        Poll::Ready(Ok(()))
    }
}

/// Limits the number of tunnels that are served at the same time. Cheap to clone; not `Send`.
#[derive(Debug, Clone)]
pub(crate) struct TunnelSlots {
    used: Rc<Cell<usize>>,
    limit: usize,
}

impl TunnelSlots {
    pub(crate) fn new(limit: usize) -> TunnelSlots {
        TunnelSlots {
            used: Rc::default(),
            limit,
        }
    }

    fn take(&self) -> Option<TunnelSlot> {
        let used = self.used.get();
        (used < self.limit).then(|| {
            self.used.set(used + 1);
            TunnelSlot(self.used.clone())
        })
    }
}

/// Counts a tunnel until it is dropped.
#[derive(Debug)]
struct TunnelSlot(Rc<Cell<usize>>);

impl Drop for TunnelSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Connection to an upstream that occupies a tunnel slot.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    upstream: Upstream,
    _slot: TunnelSlot,
}

/// Connects to `upstream` for the peer at the other end of `channel`; `None` if that is not possible.
///
/// # Errors
///
/// [`PeerError::Broken`] if the peer closes its connection in the meantime.
pub(crate) async fn connect<R>(
    channel: &Channel,
    responder: &R,
    slots: &TunnelSlots,
    upstream: SocketAddr,
) -> Result<Option<UpstreamConnection>, PeerError>
where
    R: Responder,
{
    let Some(slot) = slots.take() else {
        tracing::debug!(%upstream, limit = slots.limit, "tunnel limit reached");
        return Ok(None);
    };
    tokio::select! {
        upstream = responder.connect(upstream) => {
            Ok(upstream.map(|upstream| UpstreamConnection { upstream, _slot: slot }))
        }
        error = channel.receiver.closed() => Err(error),
    }
}

/// Relays bytes between `channel` and the upstream until the peer closes its connection.
///
/// # Errors
///
/// [`PeerError`]: why the tunnel ended. Always [`PeerError::Broken`] if the peer closed it.
pub(crate) async fn relay(channel: Channel, mut connection: UpstreamConnection) -> Result<(), PeerError> {
    let set = channel.stream().set_nodelay(true);
    set.and_then(|()| connection.upstream.stream.set_nodelay(true))
        .map_err(|e| PeerError::Broken(e.to_string()))?;
    let Channel { sender, mut receiver } = channel;
    let mut sender = uncompressed(sender);
    sender.send(&Response::Connected).await?;
    let failure = Cell::new(None);
    let (mut reader, mut writer) = connection.upstream.stream.split();
    let final_frame = tokio::select! {
        result = upload(&mut receiver, &mut writer, &failure) => match result? {},
        result = download(&mut reader, &mut sender, &failure) => result?,
    };
    let UpstreamConnection { upstream, _slot } = connection;
    drop(upstream.stream);
    // Closing a connection with unread bytes would discard frames in flight to the peer, so the peer closes first.
    let closed = async { Err::<Infallible, _>(receiver.discard().await) };
    let sent = sender.send(&final_frame);
    let ended = timeout(CLOSE_TIMEOUT, async { tokio::try_join!(closed, sent) }).await;
    ended.map_err(|_| PeerError::Timeout)?.map(|_| ())
}

/// Forwards the peer's bytes to the upstream until the peer closes its connection.
///
/// If the upstream no longer accepts them, its answer may still be in flight: [`download`] detects its end.
async fn upload(
    receiver: &mut FrameReceiver,
    writer: &mut WriteHalf<'_>,
    failure: &Cell<Option<String>>,
) -> Result<Infallible, PeerError> {
    loop {
        let data = match receiver.receive().await? {
            Frame::Data(data) => data,
            other => return Err(PeerError::Malformed(format!("unexpected frame {other:?}"))),
        };
        let written = tokio::select! {
            written = writer.write_all(&data) => written,
            error = receiver.closed() => {
                reset(writer);
                return Err(error);
            }
        };
        if let Err(error) = written {
            tracing::debug!(%error, "could not write to the upstream of a tunnel");
            // The upstream reset its connection without closing it first. The socket reports the error only once:
            // reading would return the end of the stream.
            if error.kind() != ErrorKind::BrokenPipe {
                failure.set(Some(error.to_string()));
            }
            return Err(receiver.discard().await);
        }
    }
}

/// Makes the upstream's connection close with a reset: the upstream isn't reading, and an orderly close would wait for
/// it.
fn reset(writer: &WriteHalf<'_>) {
    let stream: &TcpStream = writer.as_ref();
    if let Err(error) = stream.set_zero_linger() {
        tracing::debug!(%error, "could not reset the upstream of a tunnel");
    }
}

/// Forwards the upstream's bytes to the peer until the upstream's connection ends, and returns the frame that reports
/// how.
async fn download(
    reader: &mut ReadHalf<'_>,
    sender: &mut FrameSender,
    failure: &Cell<Option<String>>,
) -> Result<Frame, PeerError> {
    let mut buffer = vec![0; MAX_DATA];
    loop {
        let count = match reader.read(&mut buffer).await {
            Ok(0) => return Ok(failure.take().map_or(Frame::End, Frame::Failed)),
            Ok(count) => count,
            Err(error) => {
                tracing::debug!(%error, "upstream of a tunnel failed");
                return Ok(Frame::Failed(error.to_string()));
            }
        };
        let data = Bytes::copy_from_slice(&buffer[..count]);
        sender.send(&Frame::Data(data)).await?;
    }
}
