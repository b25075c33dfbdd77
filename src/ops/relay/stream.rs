//! Forwards a stream to the caller, event by event.
//!
//! Nothing is sent to the caller before the first event is complete, so that an engine that fails until then can still
//! be replaced. After that, a resumable stream continues at another engine after the last event delivered. Any other
//! stream is aborted towards the caller as well, so that the caller can't take it for complete. The connection to an
//! engine that is only silent stays open for a limited time while another engine is asked, and remains in use if that
//! attempt fails in this time or no attempt may follow.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_web::HttpResponse;
use bytes::Bytes;
use futures_util::stream::try_unfold;
use sequoiastream_core::attempt::End;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_upstream::channel::Answer;
use sequoiastream_upstream::events::Event;
use sequoiastream_upstream::events::EventReader;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::log_event;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::forward::response_head;
use crate::ops::relay::pick::JobGuard;
use crate::ops::relay::reply::Reply;
use crate::ops::relay::send::AttemptFailure;
use crate::ops::relay::send::end_of;
use crate::ops::relay::shared::Running;

/// Multiple of the route's target for the gap between two events after which another engine is asked to continue the
/// stream. Callers abandon a stream after eight times the target.
const GAP_TIMEOUT_FACTOR: u32 = 4;

/// Minimum time of silence after which another engine is asked to continue the stream. Callers abandon a stream
/// after two seconds of silence.
const MIN_GAP_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time for which the connection to a silent engine stays open after the request is sent to another engine.
/// Limits the time in which both engines may work on the stream.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// A stream was aborted before its end.
#[derive(Debug, Error)]
#[error("the stream was aborted before its end")]
pub struct StreamAborted;

/// A stream whose first event has been received, or an error instead of a stream.
pub struct OpenedStream {
    answer: Answer,
    engine: Engine,
    job: JobGuard,
    reader: EventReader,
    /// An event that has been received but not yet returned by [`Self::next`].
    first: Option<Event>,
    /// The whole body, if the answer is an error and not a stream.
    body: Option<Bytes>,
    /// Whether the attempt has already been counted because its engine was silent.
    attempt_counted: bool,
}

/// Reads the first event of an answer, or the whole body if its status is not a success.
///
/// # Errors
///
/// [`AttemptFailure`] if the answer ends, or `limit` passes, before that.
pub async fn open(
    answer: Answer,
    engine: Engine,
    job: JobGuard,
    limit: Duration,
) -> Result<OpenedStream, AttemptFailure> {
    let mut opened = OpenedStream {
        answer,
        engine,
        job,
        reader: EventReader::new(),
        first: None,
        body: None,
        attempt_counted: false,
    };
    if !opened.answer.head.status.is_success() {
        let body = opened
            .answer
            .read(crate::ops::relay::send::MAX_ANSWER_BYTES, limit)
            .await?;
        opened.body = Some(body);
        return Ok(opened);
    }
    let first = timeout(limit, opened.next()).await;
    opened.first =
        first.map_err(|_| AttemptFailure::new(End::Silent, "no first event within the time limit"))??;
    opened.job.finish_prefill();
    Ok(opened)
}

impl OpenedStream {
    /// Whether the engine answered with a server error.
    pub fn is_failure(&self) -> bool {
        end_of(&self.answer) == End::Failed
    }

    /// Returns the engine and its answer.
    pub fn into_parts(self) -> (Engine, Answer) {
        (self.engine, self.answer)
    }

    /// Waits until the next event has been received or the stream has ended properly, without consuming the event.
    async fn peek(&mut self) -> Result<(), AttemptFailure> {
        if self.first.is_none() {
            self.first = self.next().await?;
        }
        Ok(())
    }

    /// Returns the next event, or `None` if the stream ended properly.
    async fn next(&mut self) -> Result<Option<Event>, AttemptFailure> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        loop {
            if let Some(event) = self.reader.next_event() {
                return Ok(Some(event));
            }
            if self.reader.is_too_long() {
                return Err(AttemptFailure::new(
                    End::Broken,
                    "an event exceeds the size limit",
                ));
            }
            match self.answer.next().await? {
                Some(data) => self.reader.push(&data),
                None if self.reader.has_rest() => {
                    return Err(AttemptFailure::new(
                        End::Broken,
                        "the stream ended within an event",
                    ));
                }
                None => return Ok(None),
            }
        }
    }
}

/// A stream that is being forwarded to the caller.
struct ResponseStream {
    forward: ForwardedRequest,
    opened: Option<OpenedStream>,
    /// Id of the last event delivered to the caller.
    last_event: Option<u64>,
    _running: Option<Running>,
}

/// Starts the answer to the caller: it has the head of the first engine's answer and the events of all engines.
pub fn respond(forward: ForwardedRequest, opened: OpenedStream, running: Option<Running>) -> HttpResponse {
    let parts = &opened.answer.head;
    let mut builder = response_head(&parts.headers, parts.status.as_u16());
    if let Some(body) = opened.body.clone() {
        let end = end_of(&opened.answer);
        forward.record_end(&opened.engine, end);
        forward.count(end.label());
        let (engine, answer) = opened.into_parts();
        forward.pool.keep(engine.entry.address, answer);
        return builder.body(body);
    }
    let stream = ResponseStream {
        last_event: forward.incoming.last_event,
        forward,
        opened: Some(opened),
        _running: running,
    };
    builder.streaming(try_unfold(stream, next_chunk))
}

/// Returns the next bytes for the caller.
async fn next_chunk(mut stream: ResponseStream) -> Result<Option<(Bytes, ResponseStream)>, StreamAborted> {
    loop {
        let limit = stream.event_timeout();
        let Some(opened) = stream.opened.as_mut() else {
            return Ok(None);
        };
        match timeout(limit, opened.next()).await {
            Ok(Ok(Some(event))) => {
                stream.last_event = event.id.or(stream.last_event);
                return Ok(Some((event.bytes, stream)));
            }
            Ok(Ok(None)) => {
                stream.close();
                return Ok(None);
            }
            Ok(Err(failure)) => stream.resume(&failure).await?,
            Err(_) => stream.on_silence().await?,
        }
    }
}

impl ResponseStream {
    /// How long to wait for the next event.
    fn event_timeout(&self) -> Duration {
        let left = self.forward.incoming.time_left();
        match self.forward.attempt_timeout(Duration::ZERO) {
            Some(_) => (self.forward.route.gap_target * GAP_TIMEOUT_FACTOR)
                .max(MIN_GAP_TIMEOUT)
                .min(left),
            None => left,
        }
    }

    fn close(&mut self) {
        let Some(opened) = self.opened.take() else {
            return;
        };
        self.forward.record_end(&opened.engine, End::Answered);
        self.forward.count(End::Answered.label());
        self.forward.pool.keep(opened.engine.entry.address, opened.answer);
    }

    /// Continues the stream at another engine if the route allows it. The connection to the previous engine is closed
    /// first.
    async fn resume(&mut self, failure: &AttemptFailure) -> Result<(), StreamAborted> {
        let Some(opened) = self.opened.take() else {
            return Err(StreamAborted);
        };
        let OpenedStream {
            engine,
            answer,
            job,
            attempt_counted,
            ..
        } = opened;
        drop(answer);
        drop(job);
        let reply = self.on_failure(&engine, failure, attempt_counted);
        self.reopen(&engine, failure, reply).await
    }

    fn on_failure(
        &mut self,
        engine: &Engine,
        failure: &AttemptFailure,
        attempt_counted: bool,
    ) -> Option<Reply> {
        match attempt_counted {
            true => self.forward.on_failure_after_silence(engine, failure),
            false => self.forward.on_failure(engine, failure),
        }
    }

    /// Sends the request to other engines until one of them continues the stream. The stream is aborted once there is a
    /// final answer, which means that no further attempt may follow.
    async fn reopen(
        &mut self,
        from: &Engine,
        failure: &AttemptFailure,
        mut reply: Option<Reply>,
    ) -> Result<(), StreamAborted> {
        while reply.is_none() {
            let result = self.forward.open(self.last_event).await;
            match self.accept(from, result) {
                Ok(()) => return Ok(()),
                Err(next) => reply = next,
            }
        }
        self.forward.count("broken-off");
        log_event!(info, log_event::BROKEN_OFF, request = self.forward.id(), engine = %from.entry.id, why = failure.reason, ?reply);
        Err(StreamAborted)
    }

    /// Continues with the result of an attempt if it is a stream. Otherwise returns the final answer, or `None` if
    /// another attempt may follow.
    fn accept(
        &mut self,
        from: &Engine,
        result: Result<OpenedStream, Option<Reply>>,
    ) -> Result<(), Option<Reply>> {
        let next = result?;
        if next.body.is_some() {
            let failure = AttemptFailure::new(End::Failed, "the answer is not a stream");
            return Err(self.forward.on_failure(&next.engine, &failure));
        }
        log_event!(info, log_event::RESUMED, request = self.forward.id(), after = self.last_event, from = %from.entry.id, to = %next.engine.entry.id);
        self.opened = Some(next);
        Ok(())
    }

    /// Asks other engines to continue a stream whose engine is silent, and continues with the engine that delivers
    /// first.
    ///
    /// Guards against a stream that is aborted because its engine was briefly silent and no other engine accepted it.
    async fn on_silence(&mut self) -> Result<(), StreamAborted> {
        let failure = AttemptFailure::new(End::Silent, "no event within the time limit");
        if self.forward.incoming.time_left().is_zero() {
            return self.resume(&failure).await;
        }
        let Some(mut silent) = self.opened.take() else {
            return Err(StreamAborted);
        };
        let engine = silent.engine.clone();
        if !self.forward.reserve_extra_attempt(&engine) {
            self.opened = Some(silent);
            return Ok(());
        }
        let mut reply = self.on_failure(&engine, &failure, silent.attempt_counted);
        silent.attempt_counted = true;
        let mut previous = Some(silent);
        while reply.is_none()
            && let Some(silent) = previous.take()
        {
            let request_sent = Rc::new(Notify::new());
            self.forward.request_sent = request_sent.clone();
            let attempt = self.forward.open(self.last_event);
            let (remaining, result) = race_silent(silent, &request_sent, attempt).await;
            previous = remaining;
            let Some(result) = result else {
                self.forward.on_attempt_cancelled();
                break;
            };
            match self.accept(&engine, result) {
                Ok(()) => return Ok(()),
                Err(next) => reply = next,
            }
        }
        if previous.is_none() {
            return self.reopen(&engine, &failure, reply).await;
        }
        self.opened = previous;
        Ok(())
    }
}

/// Waits until a silent stream continues or the attempt to replace it has a result. The silent stream is closed if it
/// fails, or [`MAX_OVERLAP`] after `request_sent` is notified. Returns the silent stream unless it was closed, and
/// the result unless the attempt was cancelled because the silent stream continues.
async fn race_silent<F>(
    mut silent: OpenedStream,
    request_sent: &Notify,
    attempt: F,
) -> (Option<OpenedStream>, Option<Result<OpenedStream, Option<Reply>>>)
where
    F: Future<Output = Result<OpenedStream, Option<Reply>>>,
{
    let mut attempt = pin!(attempt);
    let overlap_end = async {
        request_sent.notified().await;
        sleep(MAX_OVERLAP).await;
    };
    let continues = tokio::select! {
        biased;
        peeked = silent.peek() => peeked.is_ok(),
        () = overlap_end => false,
        result = &mut attempt => return (Some(silent), Some(result)),
    };
    if continues {
        return (Some(silent), None);
    }
    drop(silent);
    (None, Some(attempt.await))
}
