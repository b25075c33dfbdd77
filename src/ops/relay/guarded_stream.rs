//! A caller's connection as a byte stream that can be closed from outside and takes turns with the others.

use std::io::Error;
use std::io::ErrorKind;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use actix_rt::net::TcpStream;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::ops::relay::connections::Caller;

/// Maximum number of bytes that are read from a connection in one turn.
///
/// Guards against callers whose bytes are costly to parse, such as many small chunks: all that one turn reads is parsed, and
/// held in pieces, before others have theirs.
const TURN_BYTES: usize = 8 << 10;

/// A caller's connection.
#[derive(Debug)]
pub(super) struct GuardedStream {
    inner: TcpStream,
    caller: Caller,
    /// Bytes that may still be read in this turn.
    left: usize,
}

impl GuardedStream {
    /// A connection of `caller`.
    pub(super) fn new(inner: TcpStream, caller: Caller) -> GuardedStream {
        GuardedStream {
            inner,
            caller,
            left: TURN_BYTES,
        }
    }

    /// The caller.
    pub(super) fn caller(&self) -> &Caller {
        &self.caller
    }

    fn check_open(&self) -> std::io::Result<()> {
        match self.caller.is_closed() {
            true => Err(Error::from(ErrorKind::ConnectionAborted)),
            false => Ok(()),
        }
    }
}

impl Drop for GuardedStream {
    fn drop(&mut self) {
        self.caller.on_close();
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        self.caller.register(cx.waker());
        self.check_open()?;
        if self.left == 0 {
            self.left = TURN_BYTES;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buffer);
        self.left = match read {
            Poll::Pending => TURN_BYTES,
            Poll::Ready(_) => self.left.saturating_sub(buffer.filled().len() - before),
        };
        read
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.check_open()?;
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
