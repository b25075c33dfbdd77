//! Client of engines.

use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::str::FromStr;
use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use awc::Client;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::Uri;
use awc::http::header::HeaderMap;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use uuid::Uuid;

use crate::error::UpstreamError;
use crate::lines::LineReader;
use crate::permit::Permit;
use crate::permit::PermitConnector;
use crate::wire::CacheEvent;
use crate::wire::CancelBody;
use crate::wire::GenerateBody;
use crate::wire::INCARNATION;
use crate::wire::LoadBody;
use crate::wire::MODEL_VERSION;
use crate::wire::NOT_STARTED;
use crate::wire::OrderBody;
use crate::wire::PieceBody;
use crate::wire::StaleBody;
use crate::wire::VERSION_MISMATCH;

/// Timeout for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for short calls: cancel, load, orders.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for probing whether an engine is running.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Client of engines; confined to one thread (not `Send`), cheap to clone.
#[derive(Clone)]
pub struct EngineClient {
    http: Client,
}

type Body = Pin<Box<dyn Stream<Item = Result<Bytes, awc::error::PayloadError>>>>;

/// Result of probing whether an engine is running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// It is running, with this incarnation if it reports one.
    Running(Option<Uuid>),
    /// Its host is reachable, but refuses the connection: no process listens on the port.
    Refused,
    /// Connecting failed or the connection broke.
    Broken,
    /// No answer: the engine may be paused or unreachable.
    Timeout,
}

/// The pieces of one attempt's answer, in the order in which the engine sent them.
pub struct EngineStream {
    /// Version of the model that answers; 0 if the engine doesn't report it.
    pub version: u32,
    /// The engine's incarnation, if it reports one.
    pub incarnation: Option<Uuid>,
    body: Body,
    lines: LineReader,
}

impl Default for EngineClient {
    fn default() -> Self {
        EngineClient::new()
    }
}

impl EngineClient {
    /// Creates a client with its own connection pool.
    pub fn new() -> EngineClient {
        EngineClient { http: http_client() }
    }

    /// Creates a client with its own connection pool that calls `permit` after each connection is established. If it
    /// returns `false`, the request fails with [`UpstreamError::Connect`] and nothing is sent.
    pub fn with_permit(permit: Permit) -> EngineClient {
        let connector = Connector::new().connector(PermitConnector::new(permit));
        EngineClient {
            http: client_with(connector),
        }
    }

    /// Starts an attempt. The core validates the stream's pieces; this client doesn't.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; [`UpstreamError::is_not_started`] tells whether another attempt is safe.
    pub async fn generate(&self, to: SocketAddr, call: &GenerateBody) -> Result<EngineStream, UpstreamError> {
        let url = format!("http://{to}/v1/generate");
        let answer = self.http.post(url).send_json(call).await.map_err(send_error)?;
        let status = answer.status().as_u16();
        if !answer.status().is_success() {
            return Err(match answer.headers().contains_key(NOT_STARTED) {
                true if status == VERSION_MISMATCH => UpstreamError::VersionMismatch,
                true => UpstreamError::NotStarted(status),
                false => UpstreamError::Status(status),
            });
        }
        Ok(EngineStream {
            version: header(answer.headers(), MODEL_VERSION).unwrap_or_default(),
            incarnation: header(answer.headers(), INCARNATION),
            body: Box::pin(answer),
            lines: LineReader::default(),
        })
    }

    /// Asks the engine to stop an attempt.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if the engine did not confirm; the attempt may then run until it ends by itself.
    pub async fn cancel(&self, to: SocketAddr, attempt: Uuid) -> Result<(), UpstreamError> {
        let url = format!("http://{to}/v1/cancel");
        self.post::<_, serde_json::Value>(url, &CancelBody { attempt })
            .await
            .map(|_| ())
    }

    /// Reads the engine's load report.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if no valid report arrived in time.
    pub async fn load(&self, to: SocketAddr) -> Result<LoadBody, UpstreamError> {
        self.read(format!("http://{to}/v1/load")).await
    }

    /// Probes whether the engine is running, and with which incarnation.
    pub async fn probe(&self, to: SocketAddr) -> Probe {
        let url = format!("http://{to}/v1/load");
        match self.http.get(url).timeout(PROBE_TIMEOUT).send().await {
            Ok(answer) => Probe::Running(header(answer.headers(), INCARNATION)),
            Err(SendRequestError::Connect(ConnectError::Io(error)))
                if error.kind() == ErrorKind::ConnectionRefused =>
            {
                Probe::Refused
            }
            Err(SendRequestError::Timeout | SendRequestError::Connect(ConnectError::Timeout)) => {
                Probe::Timeout
            }
            Err(_) => Probe::Broken,
        }
    }

    /// Reads the cache events after number `after`.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if no valid answer arrived in time.
    pub async fn cache_events(&self, to: SocketAddr, after: u64) -> Result<Vec<CacheEvent>, UpstreamError> {
        self.read(format!("http://{to}/v1/cache?after={after}")).await
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// [`UpstreamError::Stale`] if the engine has seen a higher fencing token: the order has no effect.
    /// After any other error but [`UpstreamError::Connect`] the order may have taken effect.
    pub async fn order(&self, to: SocketAddr, order: &OrderBody) -> Result<(), UpstreamError> {
        let url = format!("http://{to}/v1/order");
        self.post::<_, serde_json::Value>(url, order).await.map(|_| ())
    }

    async fn read<T>(&self, url: String) -> Result<T, UpstreamError>
    where
        T: DeserializeOwned,
    {
        let mut answer = self
            .http
            .get(url)
            .timeout(CALL_TIMEOUT)
            .send()
            .await
            .map_err(send_error)?;
        if !answer.status().is_success() {
            return Err(UpstreamError::Status(answer.status().as_u16()));
        }
        answer
            .json()
            .limit(1024 * 1024)
            .await
            .map_err(|e| UpstreamError::Malformed(e.to_string()))
    }

    async fn post<B, T>(&self, url: String, body: &B) -> Result<T, UpstreamError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let sent = self.http.post(url).timeout(CALL_TIMEOUT).send_json(body).await;
        let mut answer = sent.map_err(send_error)?;
        match answer.status().as_u16() {
            409 => {
                let stale: StaleBody = answer
                    .json()
                    .await
                    .map_err(|e| UpstreamError::Malformed(e.to_string()))?;
                Err(UpstreamError::Stale(stale.fence))
            }
            status if !answer.status().is_success() => Err(UpstreamError::Status(status)),
            _ => answer
                .json()
                .await
                .map_err(|e| UpstreamError::Malformed(e.to_string())),
        }
    }
}

impl EngineStream {
    /// The next piece; `None` when the engine closed the stream.
    ///
    /// # Errors
    ///
    /// [`UpstreamError::Broken`] if the connection broke, [`UpstreamError::Malformed`] for a line that is not a
    /// valid piece.
    pub async fn next(&mut self) -> Result<Option<PieceBody>, UpstreamError> {
        loop {
            if let Some(piece) = self.lines.pop() {
                return Ok(Some(piece));
            }
            match self.body.next().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(UpstreamError::Broken(error.to_string())),
                Some(Ok(bytes)) => self.lines.push(&bytes)?,
            }
        }
    }
}

fn header<T>(headers: &HeaderMap, name: &str) -> Option<T>
where
    T: FromStr,
{
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Creates an HTTP client that follows no redirects: following one would send a request twice.
pub(crate) fn http_client() -> Client {
    client_with(Connector::new())
}

fn client_with<S>(connector: Connector<S>) -> Client
where
    S: Service<
            ConnectInfo<Uri>,
            Response = Connection<Uri, TcpStream>,
            Error = actix_tls::connect::ConnectError,
        > + Clone
        + 'static,
{
    Client::builder()
        .connector(connector.timeout(CONNECT_TIMEOUT).limit(0))
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Converts a send error into an error that tells whether any byte may have been sent.
///
/// Failure guarded against: a false `not-run`. awc reports a connection that closed after the request was
/// sent as `Connect(Disconnected)`, as if it had never been established; a caller that relied on this would
/// retry an order that ran. Every other connect error occurs before the connection exists, so only this one is mapped
/// to [`UpstreamError::Broken`].
pub(crate) fn send_error(error: SendRequestError) -> UpstreamError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            UpstreamError::Broken("closed without an answer".to_string())
        }
        SendRequestError::Connect(error) => UpstreamError::Connect(error.to_string()),
        SendRequestError::Timeout => UpstreamError::Timeout,
        error => UpstreamError::Broken(error.to_string()),
    }
}

impl fmt::Debug for EngineClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EngineClient").finish_non_exhaustive()
    }
}

impl fmt::Debug for EngineStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EngineStream").finish_non_exhaustive()
    }
}
