//! Passing a stream on, event by event.
//!
//! Nothing reaches the caller before the first event is whole, so that an engine that fails until then can still be
//! replaced. Afterwards a stream that may be resumed goes on at another engine behind the last event delivered; any
//! other is broken off towards the caller too, so that it can't be taken for complete.

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
use crate::ops::relay::forward::Forward;
use crate::ops::relay::forward::head;
use crate::ops::relay::pick::Held;
use crate::ops::relay::send::Failure;
use crate::ops::relay::send::end_of;
use crate::ops::relay::shared::Running;

/// Pauses that are still on time which an engine may be silent for: callers leave after eight.
const GAP_PAUSES: u32 = 4;

/// Shortest silence after which an engine is given up: callers leave after two seconds.
const LEAST_GAP: Duration = Duration::from_millis(600);

/// A stream that was broken off.
#[derive(Debug, Error)]
#[error("the stream was broken off")]
pub struct BrokenOff;

/// A stream whose first event is here.
pub struct Opened {
    answer: Answer,
    engine: Engine,
    held: Held,
    reader: EventReader,
    first: Option<Event>,
    /// Set for an answer that is no stream: its whole body.
    body: Option<Bytes>,
}

/// Reads the first event of an answer, or the whole of one that is not a success.
///
/// # Errors
///
/// [`Failure`] if the answer ends before.
pub async fn open(answer: Answer, engine: Engine, held: Held, limit: Duration) -> Result<Opened, Failure> {
    let mut opened = Opened {
        answer,
        engine,
        held,
        reader: EventReader::new(),
        first: None,
        body: None,
    };
    if !opened.answer.head.status.is_success() {
        let body = opened
            .answer
            .read(crate::ops::relay::send::MAX_ANSWER, limit)
            .await?;
        opened.body = Some(body);
        return Ok(opened);
    }
    let first = timeout(limit, opened.next()).await;
    opened.first = first.map_err(|_| Failure::new(End::Silent, "no first event in time"))??;
    opened.held.read();
    Ok(opened)
}

impl Opened {
    /// Whether the engine failed instead of generating.
    pub fn is_failure(&self) -> bool {
        end_of(&self.answer) == End::Failed
    }

    /// The engine and what is left of its answer.
    pub fn into_parts(self) -> (Engine, Answer) {
        (self.engine, self.answer)
    }

    /// The next event; `None` at the proper end.
    async fn next(&mut self) -> Result<Option<Event>, Failure> {
        loop {
            if let Some(event) = self.reader.next_event() {
                return Ok(Some(event));
            }
            if self.reader.is_too_long() {
                return Err(Failure::new(End::Broken, "an event is too long"));
            }
            match self.answer.next().await? {
                Some(data) => self.reader.push(&data),
                None if self.reader.has_rest() => {
                    return Err(Failure::new(End::Broken, "the stream ended within an event"));
                }
                None => return Ok(None),
            }
        }
    }
}

/// A stream on its way to the caller.
struct Stream {
    forward: Forward,
    opened: Option<Opened>,
    /// The last event delivered.
    last: Option<u64>,
    _running: Option<Running>,
}

/// The answer to the caller: the head of the first engine, and the events of all.
pub fn respond(forward: Forward, opened: Opened, running: Option<Running>) -> HttpResponse {
    let parts = &opened.answer.head;
    let mut builder = head(&parts.headers, parts.status.as_u16());
    if let Some(body) = opened.body.clone() {
        let end = end_of(&opened.answer);
        forward.judge(opened.engine.key, end);
        forward.count(end.label());
        let (engine, answer) = opened.into_parts();
        forward.pool.keep(engine.entry.address, answer);
        return builder.body(body);
    }
    let stream = Stream {
        last: forward.ask.resume,
        forward,
        opened: Some(opened),
        _running: running,
    };
    builder.streaming(try_unfold(stream, step))
}

/// The next bytes for the caller.
async fn step(mut stream: Stream) -> Result<Option<(Bytes, Stream)>, BrokenOff> {
    loop {
        let limit = stream.limit();
        let Some(opened) = stream.opened.as_mut() else {
            return Ok(None);
        };
        let next = match opened.first.take() {
            Some(first) => Ok(Some(first)),
            None => timeout(limit, opened.next())
                .await
                .unwrap_or_else(|_| Err(Failure::new(End::Silent, "no event in time"))),
        };
        match next {
            Ok(Some(event)) => {
                stream.last = event.id.or(stream.last);
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

impl Stream {
    /// How long the next event is waited for.
    fn limit(&self) -> Duration {
        let left = self.forward.ask.left();
        match self.forward.patience(Duration::ZERO) {
            Some(_) => (self.forward.route.gap_target * GAP_PAUSES)
                .max(LEAST_GAP)
                .min(left),
            None => left,
        }
    }

    fn close(&mut self) {
        let Some(opened) = self.opened.take() else {
            return;
        };
        self.forward.judge(opened.engine.key, End::Answered);
        self.forward.count(End::Answered.label());
        self.forward.pool.keep(opened.engine.entry.address, opened.answer);
    }

    /// Goes on at another engine if the route allows it. The connection to the first is closed before.
    async fn resume(&mut self, failure: &Failure) -> Result<(), BrokenOff> {
        let Some(opened) = self.opened.take() else {
            return Err(BrokenOff);
        };
        let Opened {
            engine, answer, held, ..
        } = opened;
        drop(answer);
        drop(held);
        let mut reply = self.forward.on_failure(&engine, failure);
        while reply.is_none() {
            match self.forward.open(self.last).await {
                Ok(next) if next.body.is_none() => {
                    log_event!(info, log_event::RESUMED, request = self.forward.id(), after = self.last, from = %engine.entry.id, to = %next.engine.entry.id);
                    self.opened = Some(next);
                    return Ok(());
                }
                Ok(next) => {
                    let failure = Failure::new(End::Failed, "no stream");
                    reply = self.forward.on_failure(&next.engine, &failure);
                }
                Err(given_up) => reply = given_up,
            }
        }
        self.forward.count("broken-off");
        log_event!(info, log_event::BROKEN_OFF, request = self.forward.id(), engine = %engine.entry.id, why = failure.why, ?reply);
        Err(BrokenOff)
    }
}
