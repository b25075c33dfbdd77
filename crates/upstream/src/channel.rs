//! Connections that forward a request unchanged and verify that its answer is complete.
//!
//! `awc` hides what determines whether an order may be retried: whether a connection was new, and whether the first
//! byte of a request was written before the connection broke. This module therefore uses the lower-level connections
//! of `hyper`, which return a request that was never written. A connection carries one request at a time; dropping a
//! [`Channel`] or the [`Answer`] closes the connection immediately, which also stops the work at the engine.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::future::AbortHandle;
use futures_util::future::Abortable;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use sequoiastream_core::attempt::evidence::AnswerEvidence;
use sequoiastream_core::attempt::evidence::AnswerId;
use sequoiastream_core::attempt::evidence::PriorUse;
use sequoiastream_core::relay::reachability::Path;
use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;
use uuid::Uuid;

use crate::joined_head;
use crate::limited_read::LimitedRead;
use crate::limited_read::UnusedBytes;
use crate::patience::take_turns;
use crate::patience::within;
use crate::wire::ATTEMPT;
use crate::wire::NOT_STARTED;
use crate::wire::REFUSING;

/// A connection isn't reused within this time before the upstream's idle timeout: a request must reach the upstream
/// before it closes the connection.
const CLOSE_MARGIN: Duration = Duration::from_millis(1_000);

/// How long an idle connection is kept if the upstream doesn't report its idle timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(3_000);

/// Maximum time for which an idle connection is kept, whatever idle timeout the upstream reports.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(20);

/// Maximum age at which a tunnel is reused for another request. A peer that shuts down waits only a limited time for
/// its tunnels to end.
const MAX_TUNNEL_AGE: Duration = Duration::from_secs(1);

/// Minimum idle time of a connection between two requests. An upstream that wrongly sends a second answer sends it
/// right after the first; a request sent before it arrives would take it for its own answer.
const REUSE_DELAY: Duration = Duration::from_millis(30);

/// Maximum number of idle connections to one upstream.
const MAX_IDLE: usize = 24;

/// Maximum number of requests on one connection, which remembers all their ids.
const MAX_REQUESTS: usize = 512;

/// Maximum size of a connection's read buffer: bytes read ahead of what the caller consumes.
const READ_BUFFER: usize = 16 * 1024;

/// Why no complete answer was received.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChannelError {
    /// Nothing was sent.
    #[error("could not send the request: {0}")]
    Unsent(String),
    /// Nothing was sent: nothing listens at the address.
    #[error("could not send the request: {0}")]
    Refused(String),
    /// The request was sent, at least in part, and may have run.
    #[error("could not read the answer: {0}")]
    Broken(String),
    /// No answer arrived before the timeout.
    #[error("no answer in time")]
    Timeout,
    /// The answer is longer than this limit, in bytes.
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
}

/// A connection to an upstream, between two requests.
#[derive(Debug)]
pub struct Channel {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Closes the connection on drop.
    _task: Closer,
    unused: UnusedBytes,
    path: Path,
    opened: Instant,
    /// Whether a request was sent on it.
    is_used: bool,
    /// Hashes of the ids of the requests that were sent on it.
    ids: Vec<u64>,
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
    /// Connects directly within `limit`.
    ///
    /// # Errors
    ///
    /// [`ChannelError::Refused`] or [`ChannelError::Unsent`] if no connection can be established.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Channel, ChannelError> {
        Channel::connect_permitted(address, limit, || true).await
    }

    /// Connects directly within `limit`, and closes the connection at once if `permit` then returns `false`.
    ///
    /// # Errors
    ///
    /// [`ChannelError::Refused`] or [`ChannelError::Unsent`] if no connection can be established or is permitted.
    pub async fn connect_permitted<P>(
        address: SocketAddr,
        limit: Duration,
        permit: P,
    ) -> Result<Channel, ChannelError>
    where
        P: FnOnce() -> bool,
    {
        let stream = open(address, limit).await?;
        if !permit() {
            let reason = "the request is no longer permitted";
            return Err(ChannelError::Unsent(reason.to_string()));
        }
        Channel::handshake(stream, Path::Direct).await
    }

    /// Performs the HTTP handshake on a byte stream to an upstream that was opened by `path`.
    ///
    /// # Errors
    ///
    /// [`ChannelError::Unsent`] if the stream is closed already.
    pub async fn handshake<S>(stream: S, path: Path) -> Result<Channel, ChannelError>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let unused = UnusedBytes::default();
        let io = TokioIo::new(LimitedRead::new(stream, unused.clone()));
        let mut builder = http1::Builder::new();
        let opened = builder.max_buf_size(READ_BUFFER).handshake(io).await;
        let (sender, connection) = opened.map_err(|e| ChannelError::Unsent(e.to_string()))?;
        let (handle, registration) = AbortHandle::new_pair();
        spawn_local(async move {
            let ended = Abortable::new(connection, registration).await;
            if let Ok(Err(error)) = ended {
                tracing::debug!(?path, %error, "connection of an upstream ended");
            }
        });
        Ok(Channel {
            sender,
            _task: Closer(handle),
            unused,
            path,
            opened: Instant::now(),
            is_used: false,
            ids: Vec::new(),
            idle_since: Instant::now(),
            keep_alive: DEFAULT_KEEP_ALIVE,
        })
    }

    /// Whether the upstream has not closed the connection.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    fn is_usable(&self) -> bool {
        let is_expired = self.path == Path::Tunnel && self.opened.elapsed() >= MAX_TUNNEL_AGE;
        self.sender.is_ready() && self.idle_since.elapsed() < self.keep_alive && !is_expired
    }

    fn can_reuse(&self) -> bool {
        !self.is_used || self.idle_since.elapsed() >= REUSE_DELAY
    }

    /// Sends `request` and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`ChannelError`] says whether anything was sent. The connection is closed on an error.
    pub async fn send(self, request: Request<Full<Bytes>>, limit: Duration) -> Result<Answer, ChannelError> {
        self.send_with_id(None, request, limit).await
    }

    /// As [`Self::send`], for a request whose id, of which `id` is a hash, answers contain.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn send_with_id(
        mut self,
        id: Option<u64>,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, ChannelError> {
        self.unused.reset();
        let prior = self.on_send(id);
        let sent = within(limit, self.sender.try_send_request(request)).await;
        let answered = sent.ok_or(ChannelError::Timeout)?;
        let answer = answered.map_err(|mut error| match error.take_message() {
            Some(_) => ChannelError::Unsent(error.into_error().to_string()),
            None => ChannelError::Broken(error.into_error().to_string()),
        })?;
        self.unused.reset();
        let (head, body) = answer.into_parts();
        if joined_head::holds_status_line(&head) {
            let reason = "the head of another answer precedes that of the answer";
            return Err(ChannelError::Broken(reason.to_string()));
        }
        self.keep_alive = reuse_period(&head.headers);
        let is_framed = body.size_hint().exact().is_some() || is_chunked(&head.headers);
        Ok(Answer {
            head,
            body,
            ended: false,
            ends_with_connection: !is_framed,
            prior,
            channel: self,
        })
    }

    /// Records that a request is sent. Returns what the connection carried before.
    fn on_send(&mut self, id: Option<u64>) -> PriorUse {
        let is_repeated = id.is_some_and(|id| self.ids.contains(&id));
        let prior = match (self.is_used, is_repeated) {
            (false, _) => PriorUse::None,
            (true, false) => PriorUse::OtherIds,
            (true, true) => PriorUse::SameId,
        };
        self.is_used = true;
        self.ids.extend(id);
        prior
    }
}

/// Opens a TCP connection within `limit`.
///
/// # Errors
///
/// [`ChannelError::Refused`] or [`ChannelError::Unsent`] if none can be established.
pub async fn open(address: SocketAddr, limit: Duration) -> Result<TcpStream, ChannelError> {
    let unsent = |e: std::io::Error| match e.kind() {
        ErrorKind::ConnectionRefused => ChannelError::Refused(e.to_string()),
        _ => ChannelError::Unsent(e.to_string()),
    };
    let connected = timeout(limit, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| ChannelError::Unsent("no connection in time".to_string()))?
        .map_err(unsent)?;
    stream.set_nodelay(true).map_err(unsent)?;
    Ok(stream)
}

/// How long the connection may be reused according to the answer's headers; zero if it may not be.
fn reuse_period(headers: &HeaderMap) -> Duration {
    let named = |name: header::HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
    if named(header::CONNECTION).is_some_and(|v| v.to_ascii_lowercase().contains("close")) {
        return Duration::ZERO;
    }
    let Some(parameters) = named(header::HeaderName::from_static("keep-alive")) else {
        return DEFAULT_KEEP_ALIVE;
    };
    let seconds = parameters
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

/// Whether the body comes in chunks, of which the last one shows the end.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).into_iter();
    let last = codings.next_back().and_then(|value| value.to_str().ok());
    let last = last.and_then(|value| value.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// The head of an answer, with a reader for its body.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    body: Incoming,
    /// Whether the body was read to its regular end.
    ended: bool,
    ends_with_connection: bool,
    /// What the connection had carried before.
    prior: PriorUse,
    channel: Channel,
}

impl Answer {
    /// Whether the body has neither a length nor chunks, so that only the end of the connection shows its end.
    pub fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }

    /// The length of the body, if its head says it.
    pub fn length(&self) -> Option<usize> {
        let length = self.body.size_hint().exact()?;
        usize::try_from(length).ok()
    }

    /// What the connection had carried before this request, to which an extra answer may still arrive.
    pub fn prior_use(&self) -> PriorUse {
        self.prior
    }

    /// Whether the upstream guarantees that it did not start the attempt with this id.
    pub(crate) fn is_not_started(&self, attempt: Uuid) -> bool {
        let headers = &self.head.headers;
        let is_same = |id: &HeaderValue| id.to_str().is_ok_and(|id| id.parse() == Ok(attempt));
        let evidence = AnswerEvidence {
            status: self.head.status.as_u16(),
            is_confirmed: headers.contains_key(NOT_STARTED),
            id: AnswerId::of(headers.get_all(ATTEMPT), is_same),
            prior: self.prior,
        };
        evidence.prove_not_run(&REFUSING).is_ok()
    }

    /// Whether an upstream may have stopped after the head of a success: nothing was read of its body, `body`, and nothing shows
    /// that it is empty.
    pub fn lacks_body(&self, body: &Bytes) -> bool {
        self.head.status.is_success() && self.ends_with_connection && body.is_empty()
    }

    /// The next bytes of the body; `None` at its regular end.
    ///
    /// # Errors
    ///
    /// [`ChannelError::Broken`] if the connection broke before the end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ChannelError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|e| ChannelError::Broken(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.channel.unused.reset();
                return Ok(Some(data));
            }
        }
        self.ended = true;
        Ok(None)
    }

    /// Reads the complete body, of at most `max_len` bytes, within `limit`.
    ///
    /// # Errors
    ///
    /// [`ChannelError`] if the body is incomplete, too long, or not read in time.
    pub async fn read(&mut self, max_len: usize, limit: Duration) -> Result<Bytes, ChannelError> {
        let read = within(limit, self.collect(max_len)).await;
        read.ok_or(ChannelError::Timeout)?
    }

    async fn collect(&mut self, max_len: usize) -> Result<Bytes, ChannelError> {
        let mut whole = Vec::new();
        while let Some(data) = self.next().await? {
            if whole.len() + data.len() > max_len {
                return Err(ChannelError::TooLong(max_len));
            }
            whole.extend_from_slice(&data);
        }
        Ok(Bytes::from(whole))
    }

    /// The connection, if the complete answer was read and the connection may be reused; otherwise it is closed. The
    /// end of a chunked body is known only after reading it.
    pub fn finish(self) -> Option<Channel> {
        let mut channel = self.channel;
        let has_ended = self.ended || self.body.is_end_stream();
        let reusable = has_ended && !channel.keep_alive.is_zero() && channel.ids.len() < MAX_REQUESTS;
        channel.idle_since = Instant::now();
        reusable.then_some(channel)
    }
}

/// Idle connections by upstream; confined to one thread (not `Send`), cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<Channel>>>>,
    /// Maximum number of idle connections by upstream, capped at [`MAX_IDLE`].
    max_idle: Rc<RefCell<BTreeMap<SocketAddr, usize>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Pool {
        Pool::default()
    }

    /// An idle connection that may be reused, or a new one.
    ///
    /// # Errors
    ///
    /// [`ChannelError::Unsent`] if no connection can be established.
    pub async fn take(&self, address: SocketAddr, limit: Duration) -> Result<Channel, ChannelError> {
        if let Some(channel) = self.take_idle(address).await {
            return Ok(channel);
        }
        Channel::connect(address, limit).await
    }

    /// An idle connection that may be reused. One that the upstream has closed, or on which something has arrived, is dropped.
    ///
    /// Failure guarded against: bytes that belong to no request wait in a connection, unread because this process was stopped
    /// or busy, and are taken for the answer to the next request, such as a confirmation that it did not run.
    pub async fn take_idle(&self, address: SocketAddr) -> Option<Channel> {
        loop {
            let channel = self.pop_idle(address)?;
            take_turns().await;
            if channel.is_usable() {
                return Some(channel);
            }
        }
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<Channel> {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.get_mut(&address)?;
        channels.retain(Channel::is_usable);
        let position = channels.iter().rposition(Channel::can_reuse)?;
        Some(channels.remove(position))
    }

    /// Returns the connection of a completely read answer to the pool.
    pub fn keep(&self, address: SocketAddr, answer: Answer) {
        if let Some(channel) = answer.finish() {
            self.put(address, channel);
        }
    }

    /// Adds an idle connection to the pool, or closes it if the pool has enough of them.
    pub fn put(&self, address: SocketAddr, channel: Channel) {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.entry(address).or_default();
        if channels.len() < self.max_idle(&address) {
            channels.push(channel);
        }
    }

    /// Closes the idle connections to `address`; only those opened by `path` if it is given.
    pub fn close_idle(&self, address: SocketAddr, path: Option<Path>) {
        if let Some(channels) = self.idle.borrow_mut().get_mut(&address) {
            channels.retain(|channel| path.is_some_and(|path| channel.path != path));
        }
    }

    /// Sets the current upstreams, with the maximum number of idle connections to each, and closes all other idle
    /// connections.
    ///
    /// Failures guarded against: connections to removed upstreams accumulate for the lifetime of the process; and many
    /// instances together keep so many idle connections that the upstream accepts no more.
    pub fn sweep(&self, max_idle: BTreeMap<SocketAddr, usize>) {
        let mut idle = self.idle.borrow_mut();
        for (address, channels) in idle.iter_mut() {
            channels.retain(Channel::is_usable);
            channels.truncate(max_idle.get(address).copied().unwrap_or_default());
        }
        idle.retain(|_, channels| !channels.is_empty());
        *self.max_idle.borrow_mut() = max_idle;
    }

    fn max_idle(&self, address: &SocketAddr) -> usize {
        let max_idle = self.max_idle.borrow().get(address).copied();
        max_idle.map_or(MAX_IDLE, |max_idle| max_idle.min(MAX_IDLE))
    }
}

/// Sends a request on a pooled or new connection and reads the complete answer, of at most `max_len` bytes. If there is
/// none in time, all idle connections to the address are closed.
///
/// Failure guarded against: all open connections are silent, as after a partition, and each of the next calls waits in
/// vain on another one of them although new connections work.
///
/// # Errors
///
/// [`ChannelError`] says whether anything was sent.
pub async fn call(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    max_len: usize,
    limit: Duration,
) -> Result<Response<Bytes>, ChannelError> {
    let begun = Instant::now();
    let channel = pool.take(address, limit).await?;
    let left = limit.saturating_sub(begun.elapsed());
    let answer = exchange(pool, address, channel, request, max_len, left).await;
    if matches!(answer, Err(ChannelError::Timeout)) {
        pool.close_idle(address, None);
    }
    answer
}

/// Sends a request on `channel`, reads the complete answer, of at most `max_len` bytes, and returns the connection to the
/// pool.
///
/// # Errors
///
/// [`ChannelError`] says whether anything was sent.
pub async fn exchange(
    pool: &Pool,
    address: SocketAddr,
    channel: Channel,
    request: Request<Full<Bytes>>,
    max_len: usize,
    limit: Duration,
) -> Result<Response<Bytes>, ChannelError> {
    let (response, answer) = round_trip(channel, request, max_len, limit).await?;
    pool.keep(address, answer);
    Ok(response)
}

/// Sends a request on `channel` and reads the complete answer, of at most `max_len` bytes, within `limit`.
pub(crate) async fn round_trip(
    channel: Channel,
    request: Request<Full<Bytes>>,
    max_len: usize,
    limit: Duration,
) -> Result<(Response<Bytes>, Answer), ChannelError> {
    let begun = Instant::now();
    let left = || limit.saturating_sub(begun.elapsed());
    let mut answer = channel.send(request, left()).await?;
    let body = answer.read(max_len, left()).await?;
    let response = Response::from_parts(answer.head.clone(), body);
    Ok((response, answer))
}
