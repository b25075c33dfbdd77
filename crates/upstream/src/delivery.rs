//! Calls that must not arrive after a deadline.
//!
//! What was written to a connection stays with the kernel until the peer has acknowledged it: the kernel sends it again
//! after a partition, also if the connection was closed meanwhile or the process has ended. A timeout of the call alone
//! therefore doesn't limit when the call arrives. Here the socket is set up, before anything is written, so that each way in
//! which a call can end discards what was not acknowledged.

use std::io::ErrorKind;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use rustix::net::sockopt::set_tcp_user_timeout;
use sequoiastream_core::relay::reachability::Path;
use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::channel::Channel;
use crate::channel::ChannelError;
use crate::channel::round_trip;

/// Time between two checks of whether a call is still permitted: after a suspension of the machine, during which timers
/// stand still, a call that is no longer permitted ends within this time.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a call has no complete answer. Unless nothing was sent, it may have arrived before.
#[derive(Debug, Error)]
pub enum DeliveryError {
    /// The call is no longer permitted.
    #[error("the call is no longer permitted")]
    Expired,
    /// The connection can't be set up; nothing was sent.
    #[error("could not limit the delivery: {0}")]
    Setup(std::io::Error),
    /// The call failed.
    #[error(transparent)]
    Channel(#[from] ChannelError),
}

/// How long a call may be delivered.
#[derive(Debug, Clone)]
pub struct Permit<P> {
    /// Time after which the kernel stops sending unacknowledged bytes, whether or not this process runs.
    pub limit: Duration,
    /// Whether the call is still permitted. Checked before each write, and regularly until the answer is complete.
    pub is_valid: P,
}

/// Sends `request` on `stream`, on which nothing was sent before, and reads the complete answer, of at most `max_len` bytes,
/// within `limit`. The connection is then reset.
///
/// Guards against a call that arrives after the permit has ended: it was given up without an answer, or its process was
/// killed, stopped or paused, while a partition kept it from being delivered.
///
/// # Errors
///
/// [`DeliveryError`]. Its connection is reset as soon as the task of the connection runs, and by the kernel at the latest when
/// the permit ends.
pub async fn call<P>(
    stream: TcpStream,
    permit: Permit<P>,
    request: Request<Full<Bytes>>,
    max_len: usize,
    limit: Duration,
) -> Result<Response<Bytes>, DeliveryError>
where
    P: Fn() -> bool + Clone + Unpin + 'static,
{
    let is_valid = permit.is_valid.clone();
    let stream = LimitedStream::new(stream, permit).map_err(DeliveryError::Setup)?;
    let channel = Channel::handshake(stream, Path::Direct).await?;
    tokio::select! {
        biased;
        answered = round_trip(channel, request, max_len, limit) => {
            let (response, _) = answered?;
            Ok(response)
        }
        () = expired(is_valid) => Err(DeliveryError::Expired),
    }
}

/// Waits until `is_valid` returns `false`.
async fn expired<P>(is_valid: P)
where
    P: Fn() -> bool,
{
    while is_valid() {
        sleep(CHECK_INTERVAL).await;
    }
}

/// A connection that is reset when it is closed, and on which nothing is written once its permit has ended.
#[derive(Debug)]
struct LimitedStream<P> {
    stream: TcpStream,
    is_valid: P,
}

impl<P> LimitedStream<P>
where
    P: Fn() -> bool,
{
    fn new(stream: TcpStream, permit: Permit<P>) -> std::io::Result<LimitedStream<P>> {
        // Closing discards what was not acknowledged, also if the process is killed.
        stream.set_zero_linger()?;
        // Zero would mean that there is no limit.
        let limit = u32::try_from(permit.limit.as_millis()).unwrap_or(u32::MAX).max(1);
        set_tcp_user_timeout(&stream, limit)?;
        Ok(LimitedStream {
            stream,
            is_valid: permit.is_valid,
        })
    }

    fn check(&self) -> std::io::Result<()> {
        match (self.is_valid)() {
            true => Ok(()),
            false => Err(ErrorKind::TimedOut.into()),
        }
    }
}

impl<P> AsyncRead for LimitedStream<P>
where
    P: Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<P> AsyncWrite for LimitedStream<P>
where
    P: Fn() -> bool + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
