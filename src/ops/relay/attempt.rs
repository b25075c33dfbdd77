//! One attempt at a request: from its send to an engine to the end of that engine's answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::Method;
use http::StatusCode;
use sequoiastream_core::attempt::End;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::time::Time;
use sequoiastream_upstream::channel::Answer;
use sequoiastream_upstream::channel::Channel;
use sequoiastream_upstream::channel::Pool;
use sequoiastream_upstream::events::Event;

use crate::ops::relay::ending::Ending;
use crate::ops::relay::event_stream::EventStream;
use crate::ops::relay::failure::AttemptFailure;
use crate::ops::relay::job::JobGuard;
use crate::ops::relay::prefilled::PrefilledPrompt;
use crate::ops::relay::send::AttemptOptions;
use crate::ops::relay::send::IncomingRequest;
use crate::ops::relay::send::MAX_ANSWER_BYTES;
use crate::ops::relay::send::end_of;
use crate::ops::relay::send::send;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// An attempt whose request is being sent or was sent to an engine. Dropping it closes the connection.
pub struct ActiveAttempt {
    engine: Rc<Engine>,
    job: JobGuard,
    source: Source,
    ending: Rc<Ending>,
    progress: Progress,
    /// How long the engine may be silent before it delivers, if another attempt may follow.
    silence_limit: Option<Duration>,
    /// When the engine was chosen.
    started: Time,
    /// When the request was about to be sent, with a connection at hand.
    sent_at: Time,
    /// The result of a prefill that the engine was told to fetch, until the engine answers.
    prefilled: Option<PrefilledPrompt>,
    /// Whether the attempt has been counted as one whose engine was silent.
    counted: bool,
    /// Whether the engine has delivered an answer or an event.
    delivered: bool,
}

/// What an attempt needs besides its engine and its connection.
pub(super) struct AttemptParts {
    pub(super) shared: Arc<Shared>,
    pub(super) pool: Pool,
    pub(super) incoming: Rc<IncomingRequest>,
    pub(super) prefilled: Option<PrefilledPrompt>,
    pub(super) last_event: Option<u64>,
    pub(super) kind: RouteKind,
    pub(super) silence_limit: Option<Duration>,
    pub(super) started: Time,
}

/// Where the answer comes from.
enum Source {
    /// The request is being sent, or the head of the answer has not arrived.
    Sent(LocalBoxFuture<'static, Result<Source, AttemptFailure>>),
    /// A stream of events.
    Events(Box<EventStream>),
    /// A successful answer that is not a stream; its body has not been read.
    Body(Box<Answer>),
    /// A complete answer whose status is not a success.
    Error(Box<(Answer, Bytes)>),
}

/// What has been received and not yet taken from the attempt.
enum Progress {
    /// Nothing.
    Waiting,
    /// The head of a stream.
    Head,
    /// An event of a stream; `None` for its proper end.
    Event(Option<Event>),
    /// The head of an answer that is not a stream, and its body unless that is a success.
    Answer,
}

impl ActiveAttempt {
    /// Sends the request on `channel` once the attempt is first awaited.
    pub(super) fn new(engine: Engine, job: JobGuard, channel: Channel, parts: AttemptParts) -> ActiveAttempt {
        let engine = Rc::new(engine);
        let options = AttemptOptions {
            prompt_source: parts.prefilled.as_ref().map(PrefilledPrompt::source),
            last_event: parts.last_event,
            ..AttemptOptions::default()
        };
        let AttemptParts {
            shared,
            pool,
            incoming,
            kind,
            last_event,
            ..
        } = parts;
        let target = engine.clone();
        let ending = Rc::new(Ending::new(shared.clone(), pool.clone(), engine.clone()));
        let error_ending = ending.clone();
        let sent = async move {
            let mut answer = send(&shared, &pool, &incoming, &target, channel, &options).await?;
            if !answer.head.status.is_success() {
                let body = answer.read(MAX_ANSWER_BYTES, incoming.time_left()).await?;
                error_ending.check(&answer).await?;
                return Ok(Source::Error(Box::new((answer, body))));
            }
            let is_continuation = last_event.is_some() && !answer.ends_with_connection();
            let may_be_empty = has_no_body(&incoming, &answer) || is_continuation;
            let after = match kind {
                RouteKind::Resumable => last_event,
                // Engines need not continue a stream that can't be resumed.
                RouteKind::Once | RouteKind::Idempotent | RouteKind::Stream => None,
            };
            Ok(match kind.is_stream() {
                true => {
                    let stream = EventStream::new(answer).after(after).allow_empty(may_be_empty);
                    Source::Events(Box::new(stream))
                }
                false => Source::Body(Box::new(answer)),
            })
        };
        ActiveAttempt {
            engine,
            job,
            source: Source::Sent(sent.boxed_local()),
            ending,
            progress: Progress::Waiting,
            silence_limit: parts.silence_limit,
            started: parts.started,
            sent_at: clock::now(),
            prefilled: parts.prefilled,
            counted: false,
            delivered: false,
        }
    }

    /// The engine that the request was sent to.
    pub fn engine(&self) -> &Rc<Engine> {
        &self.engine
    }

    /// When the engine was chosen.
    pub(super) fn started(&self) -> Time {
        self.started
    }

    /// When the request was about to be sent.
    pub(super) fn sent_at(&self) -> Time {
        self.sent_at
    }

    /// How long the engine may be silent before it delivers, if another attempt may follow.
    pub(super) fn silence_limit(&self) -> Option<Duration> {
        self.silence_limit
    }

    /// Whether an answer, its next event or its end has been received.
    pub(super) fn is_ready(&self) -> bool {
        matches!(self.progress, Progress::Event(_) | Progress::Answer)
    }

    /// Waits until [`Self::is_ready`]. Nothing is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure`] if the answer ends before that.
    pub(super) async fn ready(&mut self) -> Result<(), AttemptFailure> {
        while !self.is_ready() {
            self.advance().await?;
        }
        Ok(())
    }

    /// Waits for the head of the answer or, after it, for the next event of a stream. Nothing is lost if the future is
    /// dropped.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure`] if the answer ends before that.
    pub(super) async fn advance(&mut self) -> Result<(), AttemptFailure> {
        match &mut self.source {
            Source::Sent(sent) => {
                self.source = sent.await?;
                self.progress = match &self.source {
                    Source::Events(_) => Progress::Head,
                    _ => Progress::Answer,
                };
            }
            Source::Events(stream) => {
                let event = stream.next().await?;
                if event.is_none() {
                    self.ending.check(stream.answer()).await?;
                }
                self.progress = Progress::Event(event);
            }
            Source::Body(_) | Source::Error(_) => {}
        }
        Ok(())
    }

    /// Takes the event that was received; `None` if the stream has ended properly.
    pub(super) fn take_event(&mut self) -> Option<Event> {
        match std::mem::replace(&mut self.progress, Progress::Head) {
            Progress::Event(event) => event,
            _ => None,
        }
    }

    /// The complete answer if its status is not a success.
    pub(super) fn error_body(&self) -> Option<&Bytes> {
        match &self.source {
            Source::Error(error) => Some(&error.1),
            _ => None,
        }
    }

    /// The answer, once its head has been received.
    pub(super) fn answer(&self) -> Option<&Answer> {
        match &self.source {
            Source::Sent(_) => None,
            Source::Events(stream) => Some(stream.answer()),
            Source::Body(answer) => Some(answer),
            Source::Error(error) => Some(&error.0),
        }
    }

    /// Whether the engine answered with a server error.
    pub(super) fn is_failure(&self) -> bool {
        self.answer().is_some_and(|answer| end_of(answer) == End::Failed)
    }

    /// Reads the body of an answer that is not a stream, within `limit`.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure`] if the body is incomplete or too long.
    pub(super) async fn read_body(&mut self, limit: Duration) -> Result<Bytes, AttemptFailure> {
        match &mut self.source {
            Source::Error(error) => Ok(error.1.clone()),
            Source::Body(answer) => {
                let body = answer.read(MAX_ANSWER_BYTES, limit).await?;
                check_empty(answer, &body)?;
                self.ending.check(answer).await?;
                Ok(body)
            }
            Source::Sent(_) | Source::Events(_) => {
                Err(AttemptFailure::broken("the answer has no single body"))
            }
        }
    }

    /// Ends the attempt and returns its connection to the pool if it can be reused.
    pub(super) fn finish(self, pool: &Pool) {
        let address = self.engine.entry.address;
        match self.source {
            Source::Sent(_) => {}
            Source::Events(stream) => pool.keep(address, stream.into_answer()),
            Source::Body(answer) => pool.keep(address, *answer),
            Source::Error(error) => pool.keep(address, error.0),
        }
    }

    /// Closes the connection and returns the result of the prefill.
    pub(super) fn close(self) -> Option<PrefilledPrompt> {
        self.prefilled
    }

    /// Records that the engine may have fetched the result of the prefill.
    pub(super) fn take_prefilled(&mut self) {
        if let Some(mut prefilled) = self.prefilled.take() {
            prefilled.taken = true;
        }
    }

    /// Whether the attempt has been counted as one whose engine was silent.
    pub(super) fn is_counted(&self) -> bool {
        self.counted
    }

    /// Marks the attempt as counted because its engine was silent.
    pub(super) fn set_counted(&mut self) {
        self.counted = true;
    }

    /// Whether the engine has delivered an answer or an event.
    pub(super) fn has_delivered(&self) -> bool {
        self.delivered
    }

    /// Records that the engine has delivered an answer or an event.
    pub(super) fn set_delivered(&mut self) {
        self.delivered = true;
    }

    /// Records that the engine, a plain one, has answered; `network` was the time of the round trip.
    pub(super) fn record_service_time(&self, network: Duration) {
        self.job.on_answer(self.engine.entry.slots, network);
    }

    /// Records that the engine has completed the prefill.
    pub(super) fn finish_prefill(&self) {
        self.job.finish_prefill();
    }
}

/// Whether the answer has no body by its kind, so that its head is the whole of it.
fn has_no_body(incoming: &IncomingRequest, answer: &Answer) -> bool {
    incoming.method == Method::HEAD || answer.head.status == StatusCode::NO_CONTENT
}

/// Guards against an empty body that looks complete: an engine stops after the head of its answer and closes the connection.
fn check_empty(answer: &Answer, body: &Bytes) -> Result<(), AttemptFailure> {
    match answer.lacks_body(body) {
        true => Err(AttemptFailure::broken(
            "the connection ended where a body was to begin",
        )),
        false => Ok(()),
    }
}
