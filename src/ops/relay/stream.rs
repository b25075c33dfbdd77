//! Forwards a stream to the caller, event by event.
//!
//! Nothing is sent to the caller before the first event is complete, so that an engine that fails until then can still
//! be replaced. After that, a resumable stream continues at another engine after the last event delivered. Any other
//! stream is aborted towards the caller as well, so that the caller can't take it for complete.

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
use tokio::time::timeout;

use crate::log_event;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::forward::response_head;
use crate::ops::relay::pick::JobGuard;
use crate::ops::relay::send::AttemptFailure;
use crate::ops::relay::send::end_of;
use crate::ops::relay::shared::Running;

/// Multiple of the route's target for the gap between two events after which a silent engine is abandoned. Callers
/// abandon a stream after eight times the target.
const GAP_TIMEOUT_FACTOR: u32 = 4;

/// Minimum time of silence after which an engine is abandoned. Callers abandon a stream after two seconds of silence.
const MIN_GAP_TIMEOUT: Duration = Duration::from_millis(600);

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
    first: Option<Event>,
    /// The whole body, if the answer is an error and not a stream.
    body: Option<Bytes>,
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

    /// Returns the next event, or `None` if the stream ended properly.
    async fn next(&mut self) -> Result<Option<Event>, AttemptFailure> {
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
        forward.record_end(opened.engine.key, end);
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
        let next = match opened.first.take() {
            Some(first) => Ok(Some(first)),
            None => timeout(limit, opened.next())
                .await
                .unwrap_or_else(|_| Err(AttemptFailure::new(End::Silent, "no event within the time limit"))),
        };
        match next {
            Ok(Some(event)) => {
                stream.last_event = event.id.or(stream.last_event);
                return Ok(Some((event.bytes, stream)));
            }
            Ok(None) => {
                stream.close();
                return Ok(None);
            }
            Err(failure) => stream.resume(&failure).await?,
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
        self.forward.record_end(opened.engine.key, End::Answered);
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
            engine, answer, job, ..
        } = opened;
        drop(answer);
        drop(job);
        let mut reply = self.forward.on_failure(&engine, failure);
        while reply.is_none() {
            match self.forward.open(self.last_event).await {
                Ok(next) if next.body.is_none() => {
                    log_event!(info, log_event::RESUMED, request = self.forward.id(), after = self.last_event, from = %engine.entry.id, to = %next.engine.entry.id);
                    self.opened = Some(next);
                    return Ok(());
                }
                Ok(next) => {
                    let failure = AttemptFailure::new(End::Failed, "the answer is not a stream");
                    reply = self.forward.on_failure(&next.engine, &failure);
                }
                Err(given_up) => reply = given_up,
            }
        }
        self.forward.count("broken-off");
        log_event!(info, log_event::BROKEN_OFF, request = self.forward.id(), engine = %engine.entry.id, why = failure.reason, ?reply);
        Err(StreamAborted)
    }
}
