//! Forwards a stream to the caller, event by event.
//!
//! Nothing is sent to the caller before the first event is complete, so that an engine that fails until then can still
//! be replaced. After that, a resumable stream continues at another engine after the last event delivered. Any other
//! stream is aborted towards the caller as well, so that the caller can't take it for complete.

use std::rc::Rc;

use actix_web::HttpResponse;
use bytes::Bytes;
use futures_util::stream::try_unfold;
use sequoiastream_core::attempt::End;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::time::Time;
use thiserror::Error;

use crate::log_event;
use crate::ops::relay::attempt::ActiveAttempt;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::forward::response_head;
use crate::ops::relay::reply::Reply;
use crate::ops::relay::shared::Running;
use crate::util::clock;

/// A stream was aborted before its end.
#[derive(Debug, Error)]
#[error("the stream was aborted before its end")]
pub struct StreamAborted;

/// A stream that is being forwarded to the caller.
struct ResponseStream {
    forward: ForwardedRequest,
    attempt: Option<ActiveAttempt>,
    /// Id of the last event delivered to the caller.
    last_event: Option<u64>,
    /// The engine that delivered the last event, and when it arrived.
    last_arrival: Option<(Rc<Engine>, Time)>,
    /// Number of events delivered to the caller.
    events: u32,
    _running: Option<Running>,
}

/// Starts the answer to the caller: it has the head of the first engine's answer and the events of all engines.
pub fn respond(
    mut forward: ForwardedRequest,
    attempt: ActiveAttempt,
    running: Option<Running>,
) -> HttpResponse {
    if let Some(body) = attempt.error_body().cloned() {
        return forward.respond(attempt, body);
    }
    let Some(answer) = attempt.answer() else {
        return forward.finish(forward.give_up());
    };
    let mut builder = response_head(&answer.head.headers, answer.head.status.as_u16());
    forward.answer_begun = true;
    forward.on_stream_begun(attempt.engine());
    let stream = ResponseStream {
        last_event: forward.incoming.last_event,
        last_arrival: None,
        events: 0,
        forward,
        attempt: Some(attempt),
        _running: running,
    };
    builder.streaming(try_unfold(stream, next_chunk))
}

/// Returns the next bytes for the caller.
async fn next_chunk(mut stream: ResponseStream) -> Result<Option<(Bytes, ResponseStream)>, StreamAborted> {
    let Some(attempt) = stream.attempt.take() else {
        return Ok(None);
    };
    let from = attempt.engine().clone();
    let mut attempt = match stream.forward.deliver(Some(attempt), stream.last_event).await {
        Ok(attempt) => attempt,
        Err(reply) => return Err(stream.abort(reply)),
    };
    if !Rc::ptr_eq(&from, attempt.engine()) {
        log_event!(info, log_event::RESUMED, request = stream.forward.id(), after = stream.last_event,
            from = %from.entry.id, to = %attempt.engine().entry.id,
            from_version = from.entry.version, to_version = attempt.engine().entry.version);
    }
    match attempt.take_event() {
        Some(event) => {
            stream.on_arrival(attempt.engine());
            stream.events = stream.events.saturating_add(1);
            stream.last_event = event.id.or(stream.last_event);
            stream.attempt = Some(attempt);
            Ok(Some((event.bytes, stream)))
        }
        None => {
            stream.close(attempt);
            Ok(None)
        }
    }
}

impl ResponseStream {
    /// Records the interval since the last event if the same engine delivered it, for routes that limit the pauses.
    fn on_arrival(&mut self, engine: &Rc<Engine>) {
        if self.forward.route.gap_target.is_zero() {
            return;
        }
        let now = clock::now();
        let last = self.last_arrival.replace((engine.clone(), now));
        let Some((_, at)) = last.filter(|(last, _)| Rc::ptr_eq(last, engine)) else {
            return;
        };
        let interval = now.since(at);
        let shared = &self.forward.shared;
        shared
            .metrics
            .observe_event_interval(&engine.entry.service, interval);
        shared.traffic().load.on_interval(now, engine, interval);
    }

    fn close(&self, attempt: ActiveAttempt) {
        self.forward.record_completion(attempt.engine(), End::Answered);
        self.forward.count(End::Answered.label());
        // A stream that was begun elsewhere had more events than were delivered here.
        if self.forward.incoming.last_event.is_none() {
            let mut traffic = self.forward.shared.traffic();
            traffic
                .load
                .stream_lengths
                .on_end(&self.forward.route.name, self.events);
        }
        attempt.finish(&self.forward.pool);
    }

    /// Counts and logs a stream that no engine continues.
    fn abort(&self, reply: Reply) -> StreamAborted {
        self.forward.count("broken-off");
        let (engine, why) = self.forward.last_failure.clone().unwrap_or_default();
        log_event!(
            info,
            log_event::BROKEN_OFF,
            request = self.forward.id(),
            engine,
            why,
            ?reply
        );
        StreamAborted
    }
}
