//! The key-value client.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use awc::Client;
use awc::ClientResponse;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use sequoiastream_core::name::Name;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::sleep;
use tokio::time::timeout;
use uuid::Uuid;

use crate::budget::CallKind;
use crate::budget::CallMeter;
use crate::budget::backoff;
use crate::envelope;
use crate::envelope::Operation;
use crate::error::KvError;
use crate::lists::ListEntry;
use crate::wire::EntryBody;
use crate::wire::LeaseBody;
use crate::wire::VersionBody;

/// Request header that identifies the calling instance to the platform.
const CALLER_HEADER: &str = "x-caller";

/// Maximum number of attempts to write and read back an ambiguous write before it is reported as unresolved.
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// Maximum duration of a write including all attempts, as a multiple of the deadline of one call.
const TOTAL_DEADLINES: u32 = 4;

/// Maximum response body, in bytes: a value of 1 MB in base64 and the JSON around it.
const MAX_BODY_LEN: usize = 2 * 1024 * 1024;

/// Version that the key-value service assigns to a key; 0 means that the key is absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct KvVersion(pub u64);

/// A lease granted by the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// A key's value and version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Version to expect in the next swap.
    pub version: KvVersion,
    /// The value; `None` if the key is absent.
    pub value: Option<Bytes>,
}

/// Precondition of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The key is absent.
    Absent,
    /// The key has this version.
    Version(KvVersion),
}

impl From<KvVersion> for Expect {
    fn from(version: KvVersion) -> Expect {
        match version.0 {
            0 => Expect::Absent,
            _ => Expect::Version(version),
        }
    }
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// The write took effect and created this version.
    Done(KvVersion),
    /// The write did not take effect; holds the current entry.
    Conflict(Entry),
}

/// Client of the key-value service, the machine lists and the weight store. Cheap to clone; not `Send`.
#[derive(Clone)]
pub struct KvClient {
    http: Client,
    base: Rc<str>,
    deadline: Duration,
    incarnation: Uuid,
    last_number: Rc<Cell<u64>>,
    meter: Arc<CallMeter>,
}

impl KvClient {
    /// Creates a client of the platform at the base URL `base` (such as `http://127.0.0.1:7000`) whose calls time out
    /// after `deadline`. `caller` identifies the calling instance to the platform. A new `incarnation` must be
    /// generated at each start of the process.
    pub fn new(base: &str, caller: &Name, deadline: Duration, incarnation: Uuid) -> KvClient {
        let http = Client::builder()
            .timeout(deadline)
            .disable_redirects()
            .add_default_header((CALLER_HEADER, caller.as_str()))
            .finish();
        KvClient {
            http,
            base: Rc::from(base.trim_end_matches('/')),
            deadline,
            incarnation,
            last_number: Rc::new(Cell::new(0)),
            meter: Arc::default(),
        }
    }

    /// Uses `meter`, the call budget shared with the other clients of the instance.
    pub fn meter(mut self, meter: Arc<CallMeter>) -> KvClient {
        self.meter = meter;
        self
    }

    /// Reads `key`.
    ///
    /// # Errors
    ///
    /// [`KvError`] if no usable response arrived in time.
    pub async fn get(&self, key: &str) -> Result<Entry, KvError> {
        let url = format!("{}/v1/kv/{key}", self.base);
        let get = async {
            let response = self.call(self.http.get(url).send(), self.deadline).await?;
            self.entry(response).await.map(|(entry, _)| entry)
        };
        self.metered(CallKind::Read, get).await
    }

    /// Writes `value` to `key` if the key satisfies `expect`.
    ///
    /// If the response is lost, the same write is retried and, on a conflict, the stored operation is compared with
    /// that of this write. Since every attempt expects the same version, at most one takes effect.
    ///
    /// # Errors
    ///
    /// [`KvError::Unresolved`] if it could not be determined in time whether the write took effect; another
    /// [`KvError`] if it definitely did not.
    pub async fn swap(
        &self,
        key: &str,
        expect: Expect,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Swap, KvError> {
        let operation = self.next_operation();
        let body = Bytes::from(envelope::wrap(operation, value));
        let attempts = self.swap_attempts(key, expect, operation, body, lease);
        match timeout(self.deadline * TOTAL_DEADLINES, attempts).await {
            Ok(result) => result,
            Err(_) => Err(KvError::Unresolved),
        }
    }

    async fn swap_attempts(
        &self,
        key: &str,
        expect: Expect,
        operation: Operation,
        body: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Swap, KvError> {
        let mut ambiguous = false;
        for attempt in 0..MAX_WRITE_ATTEMPTS {
            sleep(backoff(attempt)).await;
            match self.try_swap(key, expect, body.clone(), lease).await {
                Ok(SwapAttempt::Done(version)) => return Ok(Swap::Done(version)),
                Ok(SwapAttempt::Conflict(entry, Some(by))) if by == operation => {
                    return Ok(Swap::Done(entry.version));
                }
                // Another write replaced the value; this write may have taken effect before it.
                Ok(SwapAttempt::Conflict(..)) if ambiguous => return Err(KvError::Unresolved),
                Ok(SwapAttempt::Conflict(entry, _)) => return Ok(Swap::Conflict(entry)),
                Err(error) if error.is_ambiguous() => ambiguous = true,
                Err(error) if ambiguous => {
                    tracing::debug!(%error, key, "write outcome still ambiguous");
                }
                Err(error) => return Err(error),
            }
        }
        Err(KvError::Unresolved)
    }

    /// Waits up to `wait` until the version of `key` differs from `after`; returns `None` if it did not change.
    ///
    /// # Errors
    ///
    /// [`KvError`] if no usable response arrived within `wait` plus the deadline of the call.
    pub async fn watch(&self, key: &str, after: KvVersion, wait: Duration) -> Result<Option<Entry>, KvError> {
        let url = format!(
            "{}/v1/watch/{key}?after={}&wait_ms={}",
            self.base,
            after.0,
            wait.as_millis()
        );
        let limit = wait + self.deadline;
        let watch = async {
            let response = self.call(self.http.get(url).timeout(limit).send(), limit).await?;
            match response.status().as_u16() {
                304 => Ok(None),
                _ => self.entry(response).await.map(|(entry, _)| Some(entry)),
            }
        };
        self.metered(CallKind::Watch, watch).await
    }

    /// Requests a lease that expires `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// [`KvError`] if no usable response arrived in time; a lease that was granted nevertheless expires by itself.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        let url = format!("{}/v1/lease?ttl_ms={}", self.base, ttl.as_millis());
        let grant = async {
            let response = self.call(self.http.post(url).send(), self.deadline).await?;
            let body: LeaseBody = self.json(response).await?;
            Ok(LeaseId(body.id))
        };
        self.metered(CallKind::Lease, grant).await
    }

    /// Renews a lease. The holder must measure the lease's time from before this call was sent.
    ///
    /// # Errors
    ///
    /// [`KvError::LeaseLapsed`] if it has expired; another [`KvError`] if no usable response arrived in time.
    pub async fn renew(&self, lease: LeaseId) -> Result<(), KvError> {
        let url = format!("{}/v1/lease/{}", self.base, lease.0);
        let renew = async {
            let response = self.call(self.http.put(url).send(), self.deadline).await?;
            match response.status().as_u16() {
                404 => Err(KvError::LeaseLapsed),
                _ => expect_success(&response),
            }
        };
        self.metered(CallKind::Lease, renew).await
    }

    /// Releases a lease and the keys bound to it.
    ///
    /// # Errors
    ///
    /// [`KvError`] if no usable response arrived in time; the lease then expires by itself.
    pub async fn release(&self, lease: LeaseId) -> Result<(), KvError> {
        let url = format!("{}/v1/lease/{}", self.base, lease.0);
        let release = async {
            let response = self.call(self.http.delete(url).send(), self.deadline).await?;
            expect_success(&response)
        };
        self.metered(CallKind::Lease, release).await
    }

    /// Returns the platform's list of entry instances, which may lag behind.
    ///
    /// # Errors
    ///
    /// [`KvError`] if no usable response arrived in time.
    pub async fn instances(&self) -> Result<Vec<ListEntry>, KvError> {
        self.list("instances").await
    }

    /// Returns the platform's list of upstreams, which may lag behind.
    ///
    /// # Errors
    ///
    /// [`KvError`] if no usable response arrived in time.
    pub async fn upstreams(&self) -> Result<Vec<ListEntry>, KvError> {
        self.list("upstreams").await
    }

    /// Checks whether `model` can be read from the weight store now. The store is rate-limited: loading a model while
    /// it refuses reads would stall an engine.
    ///
    /// # Errors
    ///
    /// [`KvError::Refused`] with status 429 if the store's rate limit is reached.
    pub async fn check_weights(&self, model: &Name) -> Result<(), KvError> {
        let url = format!("{}/v1/weights/{model}", self.base);
        let read = async {
            let response = self.call(self.http.get(url).send(), self.deadline).await?;
            expect_success(&response)
        };
        self.metered(CallKind::Weights, read).await
    }

    async fn list(&self, kind: &str) -> Result<Vec<ListEntry>, KvError> {
        let url = format!("{}/v1/list/{kind}", self.base);
        let read = async {
            let response = self.call(self.http.get(url).send(), self.deadline).await?;
            self.json(response).await
        };
        self.metered(CallKind::List, read).await
    }

    async fn try_swap(
        &self,
        key: &str,
        expect: Expect,
        body: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<SwapAttempt, KvError> {
        let expect = match expect {
            Expect::Absent => 0,
            Expect::Version(version) => version.0,
        };
        let lease = lease.map(|l| format!("&lease={}", l.0)).unwrap_or_default();
        let url = format!("{}/v1/kv/{key}?expect={expect}{lease}", self.base);
        let put = async {
            let sent = self.http.put(url).send_body(body);
            let response = self.call(sent, self.deadline).await?;
            match response.status().as_u16() {
                409 => {
                    let (entry, by) = self.read_entry(response).await?;
                    Ok(SwapAttempt::Conflict(entry, by))
                }
                410 => Err(KvError::LeaseLapsed),
                _ => {
                    let body: VersionBody = self.json(response).await?;
                    Ok(SwapAttempt::Done(KvVersion(body.version)))
                }
            }
        };
        self.metered(CallKind::Write, put).await
    }

    /// Makes a call within the call budget and counts it.
    async fn metered<F, T>(&self, kind: CallKind, call: F) -> Result<T, KvError>
    where
        F: Future<Output = Result<T, KvError>>,
    {
        let wait = self.meter.take(kind, self.deadline)?;
        if !wait.is_zero() {
            sleep(wait).await;
        }
        let result = call.await;
        self.meter.end(kind, result.as_ref().err());
        result
    }

    fn next_operation(&self) -> Operation {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        Operation {
            incarnation: self.incarnation,
            number,
        }
    }

    async fn entry<S>(&self, response: ClientResponse<S>) -> Result<(Entry, Option<Operation>), KvError>
    where
        S: BodyStream,
    {
        match response.status().as_u16() {
            404 => Ok((absent(), None)),
            _ => {
                expect_success(&response)?;
                self.read_entry(response).await
            }
        }
    }

    async fn read_entry<S>(&self, response: ClientResponse<S>) -> Result<(Entry, Option<Operation>), KvError>
    where
        S: BodyStream,
    {
        let body: EntryBody = self.body(response).await?;
        let Some(text) = body.value else {
            return Ok((
                Entry {
                    version: KvVersion(body.version),
                    value: None,
                },
                None,
            ));
        };
        let bytes = BASE64_STANDARD
            .decode(text)
            .map_err(|e| KvError::Malformed(e.to_string()))?;
        let (operation, value) = envelope::unwrap(&bytes)
            .ok_or_else(|| KvError::Malformed("the value has no envelope".to_string()))?;
        let entry = Entry {
            version: KvVersion(body.version),
            value: Some(Bytes::copy_from_slice(value)),
        };
        Ok((entry, Some(operation)))
    }

    async fn json<S, T>(&self, response: ClientResponse<S>) -> Result<T, KvError>
    where
        S: BodyStream,
        T: DeserializeOwned,
    {
        expect_success(&response)?;
        self.body(response).await
    }

    async fn body<S, T>(&self, mut response: ClientResponse<S>) -> Result<T, KvError>
    where
        S: BodyStream,
        T: DeserializeOwned,
    {
        let read = response.body().limit(MAX_BODY_LEN);
        let bytes = match timeout(self.deadline, read).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(error)) => return Err(KvError::Connection(error.to_string())),
            Err(_) => return Err(KvError::Timeout(self.deadline)),
        };
        serde_json::from_slice(&bytes).map_err(|e| KvError::Malformed(e.to_string()))
    }

    async fn call<F, S>(&self, send: F, limit: Duration) -> Result<ClientResponse<S>, KvError>
    where
        F: Future<Output = Result<ClientResponse<S>, SendRequestError>>,
    {
        match timeout(limit, send).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(from_send(error, limit)),
            Err(_) => Err(KvError::Timeout(limit)),
        }
    }
}

/// Body stream of a response.
trait BodyStream: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin {}

impl<S> BodyStream for S where S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin {}

enum SwapAttempt {
    Done(KvVersion),
    Conflict(Entry, Option<Operation>),
}

fn absent() -> Entry {
    Entry {
        version: KvVersion::default(),
        value: None,
    }
}

/// Converts a send error to an error that tells whether the request may have been sent.
///
/// Guards against treating a write that took effect as one that did not. awc reports a connection that was closed
/// after the request was sent as `Connect(Disconnected)`; if this were treated as a connect error, the writer would
/// assume that its value was not stored. Every other connect error occurs before the connection is established, when
/// no byte of the request can have been sent.
fn from_send(error: SendRequestError, limit: Duration) -> KvError {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            KvError::Connection("the connection was closed without a response".to_string())
        }
        SendRequestError::Connect(ConnectError::Timeout) => {
            KvError::Connect("timed out while connecting".to_string())
        }
        SendRequestError::Connect(error) => KvError::Connect(error.to_string()),
        SendRequestError::Timeout => KvError::Timeout(limit),
        error => KvError::Connection(error.to_string()),
    }
}

fn expect_success<S>(response: &ClientResponse<S>) -> Result<(), KvError> {
    match response.status().is_success() {
        true => Ok(()),
        false => Err(KvError::Refused(response.status().as_u16())),
    }
}

impl fmt::Debug for KvClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KvClient")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}
