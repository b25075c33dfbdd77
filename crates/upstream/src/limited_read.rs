//! A connection that breaks if too much is received without any part of an answer among it.

use std::cell::Cell;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Maximum number of bytes received without progress: far more than a head and what is read ahead of the caller.
const MAX_UNUSED: usize = 256 * 1024;

/// Number of bytes received since the last part of an answer was used. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnusedBytes(Rc<Cell<usize>>);

impl UnusedBytes {
    /// Notes that a request is sent, or that a part of its answer was used.
    pub(crate) fn reset(&self) {
        self.0.set(0);
    }

    fn add(&self, count: usize) -> std::io::Result<()> {
        self.0.set(self.0.get().saturating_add(count));
        match self.0.get() <= MAX_UNUSED {
            true => Ok(()),
            false => Err(std::io::Error::new(
                ErrorKind::InvalidData,
                "too many bytes that are no part of an answer",
            )),
        }
    }
}

/// A byte stream that counts what it receives, and fails once too much of it was not used.
///
/// Guards against an upstream that keeps an instance reading until the deadline of the request: it sends provisional
/// answers or the size of a chunk without end, which the HTTP library skips without a limit.
#[derive(Debug)]
pub(crate) struct LimitedRead<S> {
    stream: S,
    unused: UnusedBytes,
}

impl<S> LimitedRead<S> {
    pub(crate) fn new(stream: S, unused: UnusedBytes) -> LimitedRead<S> {
        LimitedRead { stream, unused }
    }
}

impl<S> AsyncRead for LimitedRead<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.unused.add(buffer.filled().len() - before))
    }
}

impl<S> AsyncWrite for LimitedRead<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
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
