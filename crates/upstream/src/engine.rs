//! Client of engines.

use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::header::HeaderMap;
use bytes::Bytes;
use http::Request;
use http::header;
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;
use uuid::Uuid;

use crate::channel::Answer;
use crate::channel::Channel;
use crate::channel::Pool;
use crate::error::UpstreamError;
use crate::lines::LineReader;
use crate::wire::ATTEMPT;
use crate::wire::CacheEvent;
use crate::wire::CancelBody;
use crate::wire::GenerateBody;
use crate::wire::INCARNATION;
use crate::wire::LoadBody;
use crate::wire::MODEL_VERSION;
use crate::wire::OrderBody;
use crate::wire::PieceBody;
use crate::wire::StaleBody;
use crate::wire::VERSION_MISMATCH;

/// Timeout for connecting to an upstream.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for short calls: cancel, load, orders.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for probing whether an engine is running.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Client of engines; confined to one thread (not `Send`), cheap to clone.
#[derive(Clone)]
pub struct EngineClient {
    http: Client,
    /// Connections of attempts. `awc` takes an answer with neither a length nor chunks for an empty one.
    pool: Pool,
    permit: Option<Permit>,
}

/// Called when a new connection for an attempt is open; returns whether the attempt may be sent on it.
///
/// Guards against a request to a drained engine: the process is paused while it connects, and operators drain the
/// engine before it resumes. Connecting is the only wait between the choice of the engine and the request, so the
/// permit detects such a pause before anything is sent.
pub type Permit = Rc<dyn Fn() -> bool>;

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
    /// The answer, until it has ended.
    answer: Option<Answer>,
    to: SocketAddr,
    pool: Pool,
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
        EngineClient {
            http: http_client(),
            pool: Pool::new(),
            permit: None,
        }
    }

    /// Creates a client with its own connection pool that calls `permit` once a new connection for an attempt is open.
    /// If it returns `false`, the attempt fails with [`UpstreamError::Connect`] and nothing is sent.
    pub fn with_permit(permit: Permit) -> EngineClient {
        EngineClient {
            permit: Some(permit),
            ..EngineClient::new()
        }
    }

    /// Starts an attempt. The core validates the stream's pieces; this client doesn't.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; [`UpstreamError::is_not_started`] tells whether another attempt is safe.
    pub async fn generate(&self, to: SocketAddr, call: &GenerateBody) -> Result<EngineStream, UpstreamError> {
        let body = serde_json::to_vec(call).map_err(|e| UpstreamError::Connect(e.to_string()))?;
        let request = Request::post("/v1/generate")
            .header(header::HOST, to.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(ATTEMPT, call.attempt.to_string())
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| UpstreamError::Connect(e.to_string()))?;
        let is_permitted = || self.permit.as_ref().is_none_or(|permit| permit());
        let channel = match self.pool.take_idle(to).await {
            Some(channel) => channel,
            None => Channel::connect_permitted(to, CONNECT_TIMEOUT, is_permitted).await?,
        };
        let answer = channel.send(request, Duration::MAX).await?;
        let (status, headers) = (answer.head.status, &answer.head.headers);
        if !status.is_success() {
            return Err(match answer.is_not_started(call.attempt) {
                true if status.as_u16() == VERSION_MISMATCH => UpstreamError::VersionMismatch,
                true => UpstreamError::NotStarted(status.as_u16()),
                false => UpstreamError::Status(status.as_u16()),
            });
        }
        Ok(EngineStream {
            version: parsed(headers.get(MODEL_VERSION).and_then(|v| v.to_str().ok())).unwrap_or_default(),
            incarnation: parsed(headers.get(INCARNATION).and_then(|v| v.to_str().ok())),
            answer: Some(answer),
            to,
            pool: self.pool.clone(),
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
    /// The next piece; `None` when the engine ended the stream.
    ///
    /// # Errors
    ///
    /// [`UpstreamError::Broken`] if the connection broke or the stream ended within a piece,
    /// [`UpstreamError::Malformed`] for a line that is not a valid piece.
    pub async fn next(&mut self) -> Result<Option<PieceBody>, UpstreamError> {
        loop {
            if let Some(piece) = self.lines.pop() {
                return Ok(Some(piece));
            }
            let Some(answer) = &mut self.answer else {
                return Ok(None);
            };
            match answer.next().await? {
                Some(bytes) => self.lines.push(&bytes)?,
                None if self.lines.has_rest() => {
                    let reason = "the stream ended within a piece";
                    return Err(UpstreamError::Broken(reason.to_string()));
                }
                None => {
                    let ended = self.answer.take();
                    ended
                        .into_iter()
                        .for_each(|answer| self.pool.keep(self.to, answer));
                }
            }
        }
    }
}

fn header<T>(headers: &HeaderMap, name: &str) -> Option<T>
where
    T: FromStr,
{
    parsed(headers.get(name)?.to_str().ok())
}

fn parsed<T>(value: Option<&str>) -> Option<T>
where
    T: FromStr,
{
    value?.parse().ok()
}

/// Creates an HTTP client that follows no redirects: following one would send a request twice.
fn http_client() -> Client {
    Client::builder()
        .connector(Connector::new().timeout(CONNECT_TIMEOUT).limit(0))
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
fn send_error(error: SendRequestError) -> UpstreamError {
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
