//! Client of plain services.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use awc::http::Method;
use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::header;
use http_body_util::Full;
use uuid::Uuid;

use crate::channel::Answer;
use crate::channel::Channel;
use crate::channel::Pool;
use crate::engine::CONNECT_TIMEOUT;
use crate::error::UpstreamError;
use crate::wire::ATTEMPT;
use crate::wire::NOT_STARTED;

/// Maximum size of a plain service's answer, in bytes.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// A call to forward to a plain service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query, beginning with `/`.
    pub path: String,
    /// Headers to forward, as names and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// A plain service's answer.
#[derive(Debug, Clone)]
pub struct PlainReply {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the service set one.
    pub content: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Client of plain services; confined to one thread (not `Send`), cheap to clone.
///
/// `awc` takes an answer with neither a length nor chunks for an empty one, so this client uses [`Channel`].
#[derive(Debug, Clone, Default)]
pub struct PlainClient {
    pool: Pool,
}

impl PlainClient {
    /// Creates a client with its own connection pool.
    pub fn new() -> PlainClient {
        PlainClient::default()
    }

    /// Sends `call` once and reads the complete answer within `limit`.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; [`UpstreamError::is_not_started`] tells whether another attempt is safe.
    pub async fn send(
        &self,
        to: SocketAddr,
        call: &PlainCall,
        limit: Duration,
    ) -> Result<PlainReply, UpstreamError> {
        let attempt = Uuid::new_v4();
        let request = request(to, call, attempt)?;
        let begun = Instant::now();
        let channel = match self.pool.take_idle(to).await {
            Some(channel) => channel,
            None => Channel::connect(to, limit.min(CONNECT_TIMEOUT)).await?,
        };
        let (reply, answer) =
            exchange(channel, request, attempt, limit.saturating_sub(begun.elapsed())).await?;
        self.pool.keep(to, answer);
        Ok(reply)
    }

    /// Like [`send`](PlainClient::send), on a new connection that is closed afterwards.
    ///
    /// Failure guarded against: the upstream closes a pooled connection while the request is being sent on it, and a
    /// proxy behind it retries the request; an order would run twice.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; unless [`UpstreamError::is_not_started`] returns true, the call may have run.
    pub async fn send_once(
        &self,
        to: SocketAddr,
        call: &PlainCall,
        limit: Duration,
    ) -> Result<PlainReply, UpstreamError> {
        let attempt = Uuid::new_v4();
        let mut request = request(to, call, attempt)?;
        let close = HeaderValue::from_static("close");
        request.headers_mut().insert(header::CONNECTION, close);
        let begun = Instant::now();
        let channel = Channel::connect(to, limit.min(CONNECT_TIMEOUT)).await?;
        let (reply, _) = exchange(channel, request, attempt, limit.saturating_sub(begun.elapsed())).await?;
        Ok(reply)
    }
}

fn request(to: SocketAddr, call: &PlainCall, attempt: Uuid) -> Result<Request<Full<Bytes>>, UpstreamError> {
    let mut builder = Request::builder()
        .method(call.method.as_str())
        .uri(&call.path)
        .header(header::HOST, to.to_string());
    for (name, value) in &call.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(unsent)?;
        builder = builder.header(name, HeaderValue::from_str(value).map_err(unsent)?);
    }
    builder = builder.header(ATTEMPT, attempt.to_string());
    builder.body(Full::new(call.body.clone())).map_err(unsent)
}

/// The error of a call that can't be sent.
fn unsent<E>(error: E) -> UpstreamError
where
    E: std::fmt::Display,
{
    UpstreamError::Connect(format!("the call is invalid: {error}"))
}

/// Sends a request and reads the complete answer within `limit`.
async fn exchange(
    channel: Channel,
    request: Request<Full<Bytes>>,
    attempt: Uuid,
    limit: Duration,
) -> Result<(PlainReply, Answer), UpstreamError> {
    let begun = Instant::now();
    let mut answer = channel.send(request, limit).await?;
    let status = answer.head.status.as_u16();
    if answer.head.headers.contains_key(NOT_STARTED) {
        return Err(match answer.is_not_started(attempt) {
            true => UpstreamError::NotStarted(status),
            false => UpstreamError::Status(status),
        });
    }
    let content = answer.head.headers.get(header::CONTENT_TYPE);
    let content = content.and_then(|v| v.to_str().ok()).map(str::to_string);
    let body = answer
        .read(MAX_ANSWER, limit.saturating_sub(begun.elapsed()))
        .await?;
    if answer.lacks_body(&body) {
        let reason = "the connection ended where a body was to begin";
        return Err(UpstreamError::Broken(reason.to_string()));
    }
    let reply = PlainReply {
        status,
        content,
        body,
    };
    Ok((reply, answer))
}
