//! One attempt: a request on its way to one engine, until the head of an answer that is the engine's own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::Full;
use sequoiastream_core::attempt::End;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::prompt::Prompt;
use sequoiastream_core::time::Time;
use sequoiastream_upstream::channel::Answer;
use sequoiastream_upstream::channel::ChannelError;
use sequoiastream_upstream::channel::Pool;

use crate::ops::relay::edge::HeaderNames;
use crate::util::clock;

/// How long a new connection to an engine is waited for: engines answer the opening packet at once or are full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the rest of an answer that declines is waited for.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Longest answer that is not a stream, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// What a caller asks, decoded.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Method.
    pub method: Method,
    /// Path and query, as they came.
    pub uri: Uri,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Id of the caller's attempt.
    pub id: HeaderValue,
    /// Hash of method, path and body; `None` without a body, where others ask the same.
    pub fingerprint: Option<u64>,
    /// The shape of the prompt, if it carries one.
    pub prompt: Option<Prompt>,
    /// The workspace whose request it is, where callers have keys.
    pub workspace: Option<HeaderValue>,
    /// The workspace's rank, if it has one.
    pub priority: Option<u8>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// When it came.
    pub arrived: Time,
    /// When its time is over: the caller's deadline or the route's timeout.
    pub expires_at: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
}

impl IncomingRequest {
    /// What is left of its time.
    pub fn time_left(&self) -> Duration {
        self.expires_at.since(clock::now())
    }
}

/// What goes with an attempt besides what the caller asked.
#[derive(Debug, Clone, Default)]
pub struct AttemptOptions {
    /// Ask only to read the prompt.
    pub prefill: bool,
    /// Where the prompt lies that was read.
    pub prompt_source: Option<String>,
    /// The engine that may keep shared parts of the prompt, for the one that reads it to fetch.
    pub fetch_from: Option<SocketAddr>,
    /// The last event delivered.
    pub last_event: Option<u64>,
    /// How long the answer's head is waited for, if another attempt may follow.
    pub attempt_timeout: Option<Duration>,
}

/// Why an attempt brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptFailure {
    /// What it proves.
    pub end: End,
    /// For the log.
    pub reason: String,
}

impl AttemptFailure {
    /// An attempt that ended as `end` because of `why`.
    pub fn new<W>(end: End, reason: W) -> AttemptFailure
    where
        W: std::fmt::Display,
    {
        let reason = reason.to_string();
        AttemptFailure { end, reason }
    }
}

impl From<ChannelError> for AttemptFailure {
    fn from(error: ChannelError) -> AttemptFailure {
        let end = match &error {
            ChannelError::Unsent(_) => End::Unsent,
            ChannelError::Broken(_) | ChannelError::TooLong(_) => End::Broken,
            ChannelError::Silent => End::Silent,
        };
        AttemptFailure::new(end, error)
    }
}

/// Sends `ask` to `engine` and returns the head of its answer, once it is sure that it is the engine's answer to this
/// request.
///
/// # Errors
///
/// [`AttemptFailure`] says what the end proves.
pub async fn send(
    pool: &Pool,
    names: &HeaderNames,
    incoming: &IncomingRequest,
    engine: &Engine,
    options: &AttemptOptions,
) -> Result<Answer, AttemptFailure> {
    let address = engine.entry.address;
    let channel = pool
        .take(address, CONNECT_TIMEOUT.min(incoming.time_left()))
        .await?;
    let left = incoming.time_left();
    if left.is_zero() {
        return Err(AttemptFailure::new(End::Unsent, "its time is over"));
    }
    let request = build_request(names, incoming, engine, options)?;
    let limit = options
        .attempt_timeout
        .map_or(left, |attempt_timeout| attempt_timeout.min(left));
    let answer = channel.send(request, limit).await?;
    match check_answer(names, incoming, options, &answer) {
        Ok(()) => Ok(answer),
        Err(failure) => {
            if failure.end.proves_not_run() {
                return_connection(pool, address, answer).await;
            }
            Err(failure)
        }
    }
}

/// Keeps the connection of an engine that declined: there may be many of these, and each new connection costs the
/// engine time.
async fn return_connection(pool: &Pool, address: SocketAddr, mut answer: Answer) {
    if answer.read(MAX_ANSWER_BYTES, DRAIN_TIMEOUT).await.is_ok() {
        pool.keep(address, answer);
    }
}

fn build_request(
    names: &HeaderNames,
    incoming: &IncomingRequest,
    engine: &Engine,
    options: &AttemptOptions,
) -> Result<Request<Full<Bytes>>, AttemptFailure> {
    let unsent = |e: &dyn std::fmt::Display| AttemptFailure::new(End::Unsent, e);
    let mut request = Request::new(Full::new(incoming.body.clone()));
    *request.method_mut() = incoming.method.clone();
    *request.uri_mut() = incoming.uri.clone();
    let headers = request.headers_mut();
    *headers = incoming.headers.clone();
    let left = incoming.deadline.since(clock::now()).min(incoming.time_left());
    headers.insert(&names.deadline, HeaderValue::from(left.as_millis() as u64));
    let target = HeaderValue::from_str(&engine.entry.id).map_err(|e| unsent(&e))?;
    headers.insert(&names.target_engine, target);
    if let Some(workspace) = &incoming.workspace {
        headers.insert(&names.workspace, workspace.clone());
    }
    if options.prefill {
        headers.insert(&names.stage, HeaderValue::from_static(names.prefill));
    }
    if let Some(source) = &options.prompt_source {
        let source = HeaderValue::from_str(source).map_err(|e| unsent(&e))?;
        headers.insert(&names.prompt_source, source);
    }
    if let Some(engine) = options.fetch_from {
        let engine = HeaderValue::from_str(&engine.to_string()).map_err(|e| unsent(&e))?;
        headers.insert(&names.fetch_from, engine);
    }
    if let Some(event) = options.last_event.or(incoming.last_event) {
        headers.insert(&names.last_event, HeaderValue::from(event));
    }
    Ok(request)
}

/// Failure guarded against: the engine sends a second answer to an earlier request, or somebody else's, where this one
/// is due. Its id tells. An answer that declines proves that nothing ran; a success must be signed.
fn check_answer(
    names: &HeaderNames,
    incoming: &IncomingRequest,
    options: &AttemptOptions,
    answer: &Answer,
) -> Result<(), AttemptFailure> {
    let headers = &answer.head.headers;
    let status = answer.head.status;
    let is_other_request = headers.get(&names.request).is_some_and(|id| id != incoming.id);
    if is_other_request {
        return Err(AttemptFailure::new(
            End::Broken,
            "the answer is another request's",
        ));
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptFailure::new(
            End::Misdirected,
            "another engine has the address",
        ));
    }
    if headers.contains_key(&names.declined) {
        return Err(AttemptFailure::new(
            End::Declined,
            format!("declined with {status}"),
        ));
    }
    if status.is_success() && !options.prefill && !headers.contains_key(&names.signature) {
        return Err(AttemptFailure::new(End::Broken, "the answer is not signed"));
    }
    if status.is_informational() || headers.contains_key(http::header::CONTENT_ENCODING) {
        return Err(AttemptFailure::new(
            End::Broken,
            "the answer is not the engine's own bytes",
        ));
    }
    Ok(())
}

/// What a whole answer says of its engine: failures other than a server's are the request's own.
pub fn end_of(answer: &Answer) -> End {
    match answer.head.status.is_server_error() {
        true => End::Failed,
        false => End::Answered,
    }
}

/// Frees a prompt that an engine keeps and nobody will take.
pub async fn release(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<(), AttemptFailure> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::DELETE;
    *request.uri_mut() = path
        .parse()
        .map_err(|e: http::uri::InvalidUri| AttemptFailure::new(End::Unsent, e))?;
    let host =
        HeaderValue::from_str(&address.to_string()).map_err(|e| AttemptFailure::new(End::Unsent, e))?;
    request.headers_mut().insert(http::header::HOST, host);
    sequoiastream_upstream::channel::call(pool, address, request, MAX_ANSWER_BYTES, limit).await?;
    Ok(())
}
