//! Connections on which a request is forwarded unchanged and its answer proved whole.
//!
//! `awc` hides what decides here whether an order may be sent again: whether a connection was fresh, and whether
//! the first byte of a request was written before it broke. So this part stands one level lower, on a connection of
//! `hyper`, which hands a request back that was never written. One request at a time is on a connection; dropping a
//! [`Channel`] or the body of its answer closes the connection at once, and with it the work at the engine.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::future::AbortHandle;
use futures_util::future::Abortable;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time before an upstream's idle timeout from which on its connection isn't used again: a request must reach it
/// before it closes.
const CLOSE_MARGIN: Duration = Duration::from_millis(1_000);

/// How long a connection is kept whose upstream doesn't name its idle timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(3_000);

/// Longest time for which a connection is kept, whatever its upstream promises.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(20);

/// How long a connection rests between two requests. An upstream that sends a second answer sends it right behind
/// the first; until it shows, the next request would take it for its own.
const REUSE_DELAY: Duration = Duration::from_millis(30);

/// Idle connections kept to one upstream.
const MAX_IDLE: usize = 24;

/// Bytes read ahead of what a connection's user takes.
const READ_BUFFER: usize = 16 * 1024;

/// Why no answer came.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChannelError {
    /// Nothing was sent.
    #[error("could not send the request: {0}")]
    Unsent(String),
    /// It was sent, at least in part, and may have run.
    #[error("could not read the answer: {0}")]
    Broken(String),
    /// No answer in the time given.
    #[error("no answer in time")]
    Timeout,
    /// The answer is longer than what is accepted.
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
}

/// A connection to an upstream, between two requests.
#[derive(Debug)]
pub struct Channel {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Held for its drop.
    _task: Closer,
    idle_since: Instant,
    keep_alive: Duration,
}

/// Closes the connection when dropped.
#[derive(Debug)]
struct Closer(AbortHandle);

impl Drop for Closer {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Channel {
    /// Connects within `limit`.
    ///
    /// # Errors
    ///
    /// [`ChannelError::Unsent`] if no connection can be had.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Channel, ChannelError> {
        let unsent = |e: &dyn std::fmt::Display| ChannelError::Unsent(e.to_string());
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| ChannelError::Unsent("no connection in time".to_string()))?
            .map_err(|e| unsent(&e))?;
        stream.set_nodelay(true).map_err(|e| unsent(&e))?;
        let io = TokioIo::new(stream);
        let mut builder = http1::Builder::new();
        let opened = builder.max_buf_size(READ_BUFFER).handshake(io).await;
        let (sender, connection) = opened.map_err(|e| unsent(&e))?;
        let (handle, registration) = AbortHandle::new_pair();
        spawn_local(async move {
            let ended = Abortable::new(connection, registration).await;
            if let Ok(Err(error)) = ended {
                tracing::debug!(%address, %error, "connection of an upstream ended");
            }
        });
        Ok(Channel {
            sender,
            _task: Closer(handle),
            idle_since: Instant::now(),
            keep_alive: DEFAULT_KEEP_ALIVE,
        })
    }

    fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < self.keep_alive
    }

    fn can_reuse(&self) -> bool {
        self.idle_since.elapsed() >= REUSE_DELAY
    }

    /// Sends `request` and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`ChannelError`] says whether anything was sent. The connection is closed then.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, ChannelError> {
        let sent = timeout(limit, self.sender.try_send_request(request)).await;
        let answered = sent.map_err(|_| ChannelError::Timeout)?;
        let answer = answered.map_err(|mut error| match error.take_message() {
            Some(_) => ChannelError::Unsent(error.into_error().to_string()),
            None => ChannelError::Broken(error.into_error().to_string()),
        })?;
        let (head, body) = answer.into_parts();
        self.keep_alive = reuse_period(&head.headers);
        Ok(Answer {
            head,
            body,
            ended: false,
            channel: self,
        })
    }
}

/// How long the connection may be used again, by the answer's headers; zero if it may not.
fn reuse_period(headers: &HeaderMap) -> Duration {
    let named = |name: header::HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
    if named(header::CONNECTION).is_some_and(|v| v.to_ascii_lowercase().contains("close")) {
        return Duration::ZERO;
    }
    let Some(promise) = named(header::HeaderName::from_static("keep-alive")) else {
        return DEFAULT_KEEP_ALIVE;
    };
    let seconds = promise
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok());
    match seconds {
        Some(seconds) => Duration::from_secs(seconds)
            .saturating_sub(CLOSE_MARGIN)
            .min(MAX_KEEP_ALIVE),
        None => DEFAULT_KEEP_ALIVE,
    }
}

/// The head of an answer, and the way to its body.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    body: Incoming,
    /// Whether it was read to its proper end.
    ended: bool,
    channel: Channel,
}

impl Answer {
    /// The next bytes of the body; `None` at its proper end.
    ///
    /// # Errors
    ///
    /// [`ChannelError::Broken`] if it was broken off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ChannelError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|e| ChannelError::Broken(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        self.ended = true;
        Ok(None)
    }

    /// The whole body, of at most `most` bytes, within `limit`.
    ///
    /// # Errors
    ///
    /// [`ChannelError`] if it is broken off, too long, or late.
    pub async fn read(&mut self, most: usize, limit: Duration) -> Result<Bytes, ChannelError> {
        timeout(limit, self.collect(most))
            .await
            .map_err(|_| ChannelError::Timeout)?
    }

    async fn collect(&mut self, most: usize) -> Result<Bytes, ChannelError> {
        let mut whole = Vec::new();
        while let Some(data) = self.next().await? {
            if whole.len() + data.len() > most {
                return Err(ChannelError::TooLong(most));
            }
            whole.extend_from_slice(&data);
        }
        Ok(Bytes::from(whole))
    }

    /// The connection, if the whole answer was read and another request may follow; else it is closed. The end of a body in
    /// chunks shows only in reading it.
    pub fn finish(self) -> Option<Channel> {
        let mut channel = self.channel;
        let reusable = (self.ended || self.body.is_end_stream()) && !channel.keep_alive.is_zero();
        channel.idle_since = Instant::now();
        reusable.then_some(channel)
    }
}

/// Idle connections by upstream; stays on one thread, cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<Channel>>>>,
    /// Most idle connections to an upstream, where it is less than [`MAX_IDLE`].
    max_idle: Rc<RefCell<BTreeMap<SocketAddr, usize>>>,
}

impl Pool {
    /// No connections.
    pub fn new() -> Pool {
        Pool::default()
    }

    /// An idle connection that has rested, or a new one.
    ///
    /// # Errors
    ///
    /// [`ChannelError::Unsent`] if no connection can be had.
    pub async fn take(&self, address: SocketAddr, limit: Duration) -> Result<Channel, ChannelError> {
        if let Some(channel) = self.idle(address) {
            return Ok(channel);
        }
        Channel::connect(address, limit).await
    }

    fn idle(&self, address: SocketAddr) -> Option<Channel> {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.get_mut(&address)?;
        channels.retain(Channel::is_usable);
        let rested = channels.iter().rposition(Channel::can_reuse)?;
        Some(channels.remove(rested))
    }

    /// Keeps the connection of an answer that was read to its end.
    pub fn keep(&self, address: SocketAddr, answer: Answer) {
        let Some(channel) = answer.finish() else {
            return;
        };
        let mut idle = self.idle.borrow_mut();
        let channels = idle.entry(address).or_default();
        if channels.len() < self.max_idle(&address) {
            channels.push(channel);
        }
    }

    /// Takes the upstreams that are still there, with the most idle connections to each, and closes all others.
    ///
    /// Failure guarded against: connections to upstreams that are gone pile up for as long as the process lives; and many
    /// instances keep so many idle ones that the upstream accepts no more.
    pub fn sweep(&self, most: BTreeMap<SocketAddr, usize>) {
        let mut idle = self.idle.borrow_mut();
        for (address, channels) in idle.iter_mut() {
            channels.retain(Channel::is_usable);
            channels.truncate(most.get(address).copied().unwrap_or_default());
        }
        idle.retain(|_, channels| !channels.is_empty());
        *self.max_idle.borrow_mut() = most;
    }

    fn max_idle(&self, address: &SocketAddr) -> usize {
        let most = self.max_idle.borrow().get(address).copied();
        most.map_or(MAX_IDLE, |most| most.min(MAX_IDLE))
    }
}

/// A call with a small whole answer: connect, send, read.
///
/// # Errors
///
/// [`ChannelError`] says whether anything was sent.
pub async fn call(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    most: usize,
    limit: Duration,
) -> Result<Response<Bytes>, ChannelError> {
    let begun = Instant::now();
    let left = || limit.saturating_sub(begun.elapsed());
    let channel = pool.take(address, limit).await?;
    let mut answer = channel.send(request, left()).await?;
    let body = answer.read(most, left()).await?;
    let response = Response::from_parts(answer.head.clone(), body);
    pool.keep(address, answer);
    Ok(response)
}
