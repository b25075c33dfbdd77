//! Client of plain services.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::ClientRequest;
use awc::http::Method;
use bytes::Bytes;
use tokio::time::timeout;

use crate::engine::http_client;
use crate::engine::send_error;
use crate::error::UpstreamError;
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
#[derive(Clone)]
pub struct PlainClient {
    http: Client,
    unpooled: Client,
}

impl Default for PlainClient {
    fn default() -> Self {
        PlainClient::new()
    }
}

impl PlainClient {
    /// Creates a client with its own connection pool.
    pub fn new() -> PlainClient {
        PlainClient {
            http: http_client(),
            unpooled: http_client(),
        }
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
        let request = request(&self.http, to, call);
        timeout(limit, answer(request, call))
            .await
            .unwrap_or(Err(UpstreamError::Timeout))
    }

    /// Like [`send`](PlainClient::send), on a new connection that is closed afterwards.
    ///
    /// Failure guarded against: the upstream closes a pooled connection while the request is being sent on it, and the
    /// HTTP client, or a proxy behind it, retries the request; an order would run twice. No connection is kept in
    /// this client's pool, so no stale connection can be used.
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
        let request = request(&self.unpooled, to, call).force_close();
        timeout(limit, answer(request, call))
            .await
            .unwrap_or(Err(UpstreamError::Timeout))
    }
}

fn request(http: &Client, to: SocketAddr, call: &PlainCall) -> ClientRequest {
    let url = format!("http://{to}{}", call.path);
    let mut request = http.request(call.method.clone(), url);
    for (name, value) in &call.headers {
        request = request.insert_header((name.as_str(), value.as_str()));
    }
    request
}

async fn answer(request: ClientRequest, call: &PlainCall) -> Result<PlainReply, UpstreamError> {
    let sent = request.send_body(call.body.clone()).await;
    let mut answer = sent.map_err(send_error)?;
    let status = answer.status().as_u16();
    if answer.headers().contains_key(NOT_STARTED) {
        return Err(UpstreamError::NotStarted(status));
    }
    let content = answer
        .headers()
        .get("content-type")
        .and_then(|v| v.to_str().ok())
        .map(str::to_string);
    let body = answer
        .body()
        .limit(MAX_ANSWER)
        .await
        .map_err(|e| UpstreamError::Broken(e.to_string()))?;
    Ok(PlainReply {
        status,
        content,
        body,
    })
}

impl fmt::Debug for PlainClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlainClient").finish_non_exhaustive()
    }
}
