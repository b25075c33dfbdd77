//! Sends one attempt to one engine, and receives the head of its answer and checks that it answers this request.

use std::cell::Cell;
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
use sequoiastream_core::attempt::evidence::AnswerEvidence;
use sequoiastream_core::attempt::evidence::AnswerId;
use sequoiastream_core::attempt::evidence::DECLINING;
use sequoiastream_core::attempt::evidence::Unproven;
use sequoiastream_core::poison::suspects::RequestIdentity;
use sequoiastream_core::relay::arrivals::ArrivalKind;
use sequoiastream_core::relay::arrivals::Arrivals;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::hash::Hash;
use sequoiastream_core::relay::prompt::Prompt;
use sequoiastream_core::time::Time;
use sequoiastream_upstream::channel::Answer;
use sequoiastream_upstream::channel::Channel;
use sequoiastream_upstream::channel::Pool;

use crate::ops::relay::connections::Reservation;
use crate::ops::relay::edge::HeaderNames;
use crate::ops::relay::failure::AttemptFailure;
use crate::ops::relay::shared::AnswerHead;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Time limit for reading the remaining body of an answer by which an engine declines a request.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum size of an answer that is not a stream, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A caller's request, with its headers parsed.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// Headers that are forwarded to engines.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Memory of the body.
    pub memory: Reservation,
    /// Id that the caller gave this attempt.
    pub id: HeaderValue,
    /// Identifies the request over all its repetitions.
    pub identity: RequestIdentity,
    /// Structure of the prompt, if the request carries one.
    pub prompt: Option<Prompt>,
    /// Name of the workspace that sent the request, if callers need keys.
    pub workspace: Option<HeaderValue>,
    /// Priority of the workspace, which overrides that of the route, if it is set.
    pub priority: Option<u8>,
    /// Priority that engines are told; `None` if the routes to the service don't differ in it.
    pub engine_priority: Option<u8>,
    /// Id of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream which this one is to continue.
    pub resumes: Option<HeaderValue>,
    /// When the request arrived.
    pub arrived: Time,
    /// When the request expires: at the caller's deadline or the route's timeout, whichever is earlier.
    pub expires_at: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Its arrivals at engines so far.
    pub arrivals: Cell<Arrivals>,
}

impl IncomingRequest {
    /// Time until the request expires.
    pub fn time_left(&self) -> Duration {
        self.expires_at.since(clock::now())
    }

    /// The ids of the parts of the prompt that other requests may share, for the log.
    pub(super) fn shared_parts(&self) -> String {
        let parts = self.prompt.iter().flat_map(|prompt| prompt.shared_parts());
        let ids: Vec<String> = parts.map(|part| format!("{:x}", part.id)).collect();
        ids.join(",")
    }

    /// Updates the arrivals at engines.
    pub(super) fn update_arrivals<F, R>(&self, update: F) -> R
    where
        F: FnOnce(&mut Arrivals) -> R,
    {
        let mut arrivals = self.arrivals.get();
        let result = update(&mut arrivals);
        self.arrivals.set(arrivals);
        result
    }
}

/// Counts an arrival in the metrics when dropped, also if the attempt is cancelled.
struct ArrivalGuard<'a> {
    shared: &'a Shared,
    engine: &'a Engine,
    /// How it counts; `None` if nothing was sent.
    kind: Option<ArrivalKind>,
}

impl Drop for ArrivalGuard<'_> {
    fn drop(&mut self) {
        if let Some(kind) = self.kind {
            let service = &self.engine.entry.service;
            self.shared.metrics.count_arrival(service, kind.label());
        }
    }
}

/// What one attempt adds to the caller's request.
#[derive(Debug, Clone, Default)]
pub struct AttemptOptions {
    /// Whether the engine is asked for the prefill only.
    pub prefill: bool,
    /// Where the result of an earlier prefill can be fetched.
    pub prompt_source: Option<String>,
    /// Address of an engine that may have shared parts of the prompt in its cache, for the engine that computes the
    /// prefill to fetch them.
    pub fetch_from: Option<SocketAddr>,
    /// Id of the last event that was delivered to the caller.
    pub last_event: Option<u64>,
}

/// Sends `incoming` to `engine` on `channel` and returns the head of the answer, after checking that it is the engine's
/// answer to this request.
///
/// # Errors
///
/// [`AttemptFailure`], whose end says whether the request may have run.
pub async fn send(
    shared: &Shared,
    pool: &Pool,
    incoming: &IncomingRequest,
    engine: &Engine,
    channel: Channel,
    options: &AttemptOptions,
) -> Result<Answer, AttemptFailure> {
    let names = shared.translate.names();
    let address = engine.entry.address;
    let request = build_request(names, incoming, engine, options)?;
    let sent = clock::now();
    let mut arrival = ArrivalGuard {
        shared,
        engine,
        kind: Some(incoming.update_arrivals(Arrivals::on_send)),
    };
    let id = Hash::new().with(incoming.id.as_bytes()).value();
    let answer = channel
        .send_with_id(Some(id), request, incoming.time_left())
        .await;
    let answer = answer.map_err(AttemptFailure::from).inspect_err(|failure| {
        if failure.end() == End::Unsent {
            incoming.update_arrivals(Arrivals::on_unsent);
            arrival.kind = None;
        }
    })?;
    let evidence = evidence_of(names, incoming, &answer);
    let checked = check_answer(names, options, &answer, evidence);
    let checked = checked.map_err(|failure| failure.with_evidence(evidence));
    if options.prefill && checked.is_ok() && answer.head.status.is_success() {
        arrival.kind = incoming.update_arrivals(Arrivals::on_prefilled).or(arrival.kind);
    }
    drop(arrival);
    // An answer that failed any other check may not come from this engine.
    if checked
        .as_ref()
        .err()
        .is_none_or(|f| matches!(f.end(), End::Declined | End::Failed))
    {
        let (status, headers) = (answer.head.status, &answer.head.headers);
        let head = AnswerHead {
            sent,
            is_served: checked.is_ok() && status.is_success(),
            status,
            headers,
        };
        shared.on_engine_answer(engine, &head);
    }
    match checked {
        Ok(()) => Ok(answer),
        Err(failure) => {
            if failure.end().proves_not_run() {
                return_connection(pool, address, answer).await;
            }
            Err(failure)
        }
    }
}

/// Returns the connection of an engine that declined to the pool. Engines may decline many requests, and each new
/// connection costs the engine time.
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
    let mut request = Request::new(Full::new(incoming.body.clone()));
    *request.method_mut() = incoming.method.clone();
    *request.uri_mut() = incoming.uri.clone();
    let headers = request.headers_mut();
    *headers = incoming.headers.clone();
    let left = incoming.deadline.since(clock::now()).min(incoming.time_left());
    headers.insert(&names.deadline, HeaderValue::from(left.as_millis() as u64));
    let target = HeaderValue::from_str(&engine.entry.id).map_err(AttemptFailure::unsent)?;
    headers.insert(&names.target_engine, target);
    if let Some(workspace) = &incoming.workspace {
        headers.insert(&names.workspace, workspace.clone());
    }
    if let Some(priority) = incoming.engine_priority {
        headers.insert(&names.priority, HeaderValue::from(u16::from(priority)));
    }
    if options.prefill {
        headers.insert(&names.stage, HeaderValue::from_static(names.prefill));
    }
    if let Some(source) = &options.prompt_source {
        let source = HeaderValue::from_str(source).map_err(AttemptFailure::unsent)?;
        headers.insert(&names.prompt_source, source);
    }
    if let Some(engine) = options.fetch_from {
        let engine = HeaderValue::from_str(&engine.to_string()).map_err(AttemptFailure::unsent)?;
        headers.insert(&names.fetch_from, engine);
    }
    if let Some(event) = options.last_event.or(incoming.last_event) {
        headers.insert(&names.last_event, HeaderValue::from(event));
    }
    Ok(request)
}

fn evidence_of(names: &HeaderNames, incoming: &IncomingRequest, answer: &Answer) -> AnswerEvidence {
    let headers = &answer.head.headers;
    AnswerEvidence {
        status: answer.head.status.as_u16(),
        is_confirmed: headers.contains_key(&names.declined),
        id: AnswerId::of(headers.get_all(&names.request), |id| *id == incoming.id),
        prior: answer.prior_use(),
    }
}

/// Checks that an answer is the intended engine's answer to this request.
///
/// Failure guarded against: where the answer to this request is expected, the engine sends a second answer to an
/// earlier request, or an answer to another caller's request arrives. The request id in the answer reveals this; a successful
/// answer must be signed.
///
/// Failure guarded against: an engine answers with a status that promises the caller that its request did not run, without
/// proving it. Such a status is never passed on: the request counts as one that may have run.
fn check_answer(
    names: &HeaderNames,
    options: &AttemptOptions,
    answer: &Answer,
    evidence: AnswerEvidence,
) -> Result<(), AttemptFailure> {
    match evidence.prove_not_run(&DECLINING) {
        Ok(proof) => return Err(AttemptFailure::declined(proof, evidence.status)),
        Err(Unproven::Unconfirmed) => {}
        Err(unproven @ Unproven::Contradictory) => return Err(AttemptFailure::failed(unproven)),
        Err(unproven) => return Err(AttemptFailure::broken(unproven)),
    }
    let status = answer.head.status;
    let headers = &answer.head.headers;
    if status == StatusCode::MISDIRECTED_REQUEST {
        let reason = "another engine may have answered, and does not confirm that it did not run the request";
        return Err(AttemptFailure::broken(reason));
    }
    if promises_not_run(status) {
        let reason = format!("answered {status} without confirming that it did not run the request");
        return Err(AttemptFailure::failed(reason));
    }
    if status.is_success() && !options.prefill && !headers.contains_key(&names.signature) {
        return Err(AttemptFailure::broken("the answer is not signed"));
    }
    if status.is_informational() || headers.contains_key(http::header::CONTENT_ENCODING) {
        let reason = "the answer is informational or content-encoded, so not the engine's own bytes";
        return Err(AttemptFailure::broken(reason));
    }
    Ok(())
}

/// Whether a status tells the caller that the request did not run and will not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT
    )
}

/// What a complete answer says about its engine. Only server errors count as the engine's failure: other errors are
/// caused by the request itself.
pub fn end_of(answer: &Answer) -> End {
    match answer.head.status.is_server_error() {
        true => End::Failed,
        false => End::Answered,
    }
}
