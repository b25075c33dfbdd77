//! Generation requests: the driver of the state machine [`Answer`](sequoiastream_core::answer::Answer).

mod ending;

use std::collections::VecDeque;
use std::sync::Arc;

use sequoiastream_caller::Answer;
use sequoiastream_caller::AnswerEvent;
use sequoiastream_caller::Finish;
use sequoiastream_caller::GenerateCall;
use sequoiastream_caller::Refusal;
use sequoiastream_caller::Sent;
use sequoiastream_caller::Token;
use sequoiastream_caller::Unsent;
use sequoiastream_core::answer;
use sequoiastream_core::answer::Action;
use sequoiastream_core::answer::Event;
use sequoiastream_core::answer::Failure;
use sequoiastream_core::answer::Limits;
use sequoiastream_core::invariant;
use sequoiastream_core::log_event;
use sequoiastream_core::name::Name;
use sequoiastream_core::outcome::Reason;
use sequoiastream_core::poison::Fingerprint;
use sequoiastream_core::time::Time;
use sequoiastream_upstream::EngineStream;
use sequoiastream_upstream::UpstreamError;
use sequoiastream_upstream::wire::GenerateBody;
use sequoiastream_upstream::wire::PieceBody;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use uuid::Uuid;

use crate::log_event;
use crate::ops::dispatch::Dispatch;
use crate::ops::dispatch::admit;
use crate::ops::dispatch::request::Request;
use crate::ops::dispatch::suspects::PickResult;
use crate::ops::dispatch::suspects::Target;
use crate::util::clock;
use crate::util::metrics::TokenMetrics;

/// Number of events buffered for a caller that reads slowly. When the buffer is full, the engine's stream is no longer
/// read, which slows the engine down.
const EVENT_BUFFER: usize = 32;

/// Maximum number of consecutive attempts that deliver no token.
const MAX_ATTEMPTS: u32 = 4;

/// Starts the generation in its own task. The returned answer receives its events through a channel.
///
/// # Errors
///
/// A refusal if the model or service is unknown.
pub fn start(dispatch: &Dispatch, call: GenerateCall) -> Result<Answer, Refusal> {
    let snapshot = dispatch.shared.snapshot.load();
    let (service, model) = match admit::resolve_service(&snapshot, &call.model) {
        Ok(resolved) => resolved,
        Err(why) => return Err(Refusal::not_run(call.unsent.refuse(Reason::UnknownService), why)),
    };
    let (sender, events) = mpsc::channel(EVENT_BUFFER);
    let now = clock::now();
    let limit = call
        .deadline
        .unwrap_or_else(|| admit::default_deadline(&snapshot, &call));
    let limits = Limits {
        first_token: dispatch.shared.settings.timeouts.first_token,
        between_tokens: dispatch.shared.settings.timeouts.between_tokens,
        deadline: now + limit,
        max_attempts: MAX_ATTEMPTS,
    };
    let route = admit::route_request(&dispatch.shared, &snapshot, &call, service);
    let request = Request {
        id: call.id,
        fingerprint: Fingerprint::of(&call.product, model, &call.prompt, call.max_tokens),
        product: call.product,
        model: model.to_string(),
        prompt: call.prompt,
        limit: call.max_tokens,
        seed: call.seed,
        priority: call.priority,
        service,
        deadline: limits.deadline,
        route,
    };
    let task = GenerateTask {
        times: dispatch.shared.metrics.traffic.token_metrics(&request.product),
        dispatch: dispatch.clone(),
        answer: answer::Answer::new(now, limits, call.resume),
        request,
        unsent: Some(call.unsent),
        sent: None,
        sender,
        tried: Vec::new(),
        open: None,
        text: String::new(),
        piece: None,
        quarantined: false,
        relocating: false,
        finish: None,
        started_at: now,
        last_token: None,
    };
    actix::spawn(task.run());
    Ok(Answer { events })
}

/// The current attempt, from its pick until its end.
struct OpenAttempt {
    attempt: Uuid,
    target: Target,
    stop: Arc<Notify>,
    stream: Option<EngineStream>,
}

struct GenerateTask {
    dispatch: Dispatch,
    request: Request,
    answer: answer::Answer,
    /// The proof that no engine has started the request, as long as that is certain.
    unsent: Option<Unsent>,
    /// The proof while an attempt is in flight that the engine may still report as not started.
    sent: Option<Sent>,
    sender: mpsc::Sender<AnswerEvent>,
    tried: Vec<Name>,
    open: Option<OpenAttempt>,
    /// The text so far, which another version of the model continues if necessary.
    text: String,
    piece: Option<PieceBody>,
    quarantined: bool,
    /// Whether the current attempt only moves to another engine: its engine is not at fault.
    relocating: bool,
    finish: Option<Finish>,
    started_at: Time,
    last_token: Option<Time>,
    times: TokenMetrics,
}

impl GenerateTask {
    async fn run(mut self) {
        let mut actions = VecDeque::from([Action::Pick]);
        loop {
            let event = match actions.pop_front() {
                Some(Action::End(ending)) => return self.end(ending).await,
                Some(action) => self.perform(action).await,
                None => Some(self.next_event().await),
            };
            if self.quarantined {
                return self.end_quarantined().await;
            }
            self.relocating |= event == Some(Event::Relocate);
            if let Some(event) = event {
                actions.extend(self.answer.on(clock::now(), event));
            }
        }
    }

    /// Carries out an action; returns the resulting event, if any.
    async fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Pick => self.pick().await,
            Action::ClearTried => {
                self.tried.clear();
                None
            }
            Action::Send(send) => Some(self.send(send).await),
            Action::Deliver(offset) => Some(self.deliver(offset).await),
            Action::Cancel(attempt) => {
                self.cancel(attempt).await;
                None
            }
            Action::End(_) => None,
        }
    }

    /// Whether another attempt is within the product's retry budget. An answer of which tokens were delivered is always
    /// continued: its engines have already done most of the work.
    fn may_retry(&self) -> bool {
        let attempts = self.answer.attempts();
        attempts == 0 || self.dispatch.may_retry(&self.request.product, attempts) || self.last_token.is_some()
    }

    /// Whether an engine may be picked by the configuration that this instance knows. An answer of which tokens were
    /// delivered is always continued.
    ///
    /// Failure guarded against: an instance is paused after it admitted a request and before it sends it; meanwhile
    /// operators drain an engine, and the instance sends the request there when it resumes. [`Self::send`] checks again
    /// after connecting to the engine.
    fn may_pick(&self) -> bool {
        self.last_token.is_some() || self.dispatch.shared.is_confirmed()
    }

    async fn pick(&mut self) -> Option<Event> {
        if !self.may_retry() {
            return Some(Event::NoEngine);
        }
        if !self.may_pick() {
            return Some(Event::Busy);
        }
        match self.dispatch.pick(&self.request, &self.tried).await {
            PickResult::Engine(target) => {
                let attempt = Uuid::new_v4();
                let Some(stop) = self.dispatch.begin_attempt(&self.request, &target, attempt) else {
                    self.dispatch.release_target(target).await;
                    return Some(Event::Busy);
                };
                self.open = Some(OpenAttempt {
                    attempt,
                    target,
                    stop,
                    stream: None,
                });
                Some(Event::Picked(attempt))
            }
            PickResult::NoEngine => Some(Event::NoEngine),
            PickResult::Busy => Some(Event::Busy),
            PickResult::Quarantined => {
                self.quarantined = true;
                None
            }
        }
    }

    async fn send(&mut self, send: answer::Send) -> Event {
        let priority = match &self.open {
            Some(open) => open.target.priority,
            None => self.request.priority,
        };
        let body = GenerateBody {
            attempt: send.attempt,
            model: self.request.model.clone(),
            prompt: self.request.prompt.clone(),
            limit: self.request.limit,
            seed: self.request.seed,
            offset: send.offset,
            version: send.version,
            prefix: send.continued.then(|| self.text.clone()),
            priority,
            import: None,
        };
        if self.answer.attempts() > 1 && send.offset > 0 {
            self.dispatch.shared.metrics.traffic.resumes.inc();
        }
        let Some(open) = &self.open else {
            return Event::AttemptFailed(send.attempt, Failure::NotStarted);
        };
        self.sent = self.unsent.take().map(Unsent::send);
        let client = match self.last_token {
            Some(_) => &self.dispatch.engine_client,
            None => &self.dispatch.permit_client,
        };
        let generated = client.generate(open.target.address, &body);
        let result = tokio::select! {
            result = generated => result,
            () = self.sender.closed() => return Event::CallerGone,
            () = open.stop.notified() => return Event::Relocate,
            () = clock::sleep_until(self.answer.due()) => return Event::Tick,
        };
        match result {
            Ok(stream) => self.on_opened(stream),
            Err(error) => self.on_attempt_failed(error).await,
        }
    }

    fn on_opened(&mut self, stream: EngineStream) -> Event {
        self.discard_proof();
        let queued = clock::now().since(self.started_at);
        let traffic = &self.dispatch.shared.metrics.traffic;
        traffic.observe_queue_time(&self.request.product, queued);
        let Some(open) = &mut self.open else {
            return Event::Tick;
        };
        let version = stream.version;
        if let Some(incarnation) = stream.incarnation {
            self.dispatch
                .shared
                .crash_records()
                .record_incarnation(open.attempt, incarnation);
        }
        open.stream = Some(stream);
        Event::Opened(open.attempt, version)
    }

    /// Gives up the proof: the attempt may have run.
    fn discard_proof(&mut self) {
        // A `MayHaveRun` can't be turned into a proof, so no later refusal of this request can have the outcome
        // `not-run`.
        let _ = self.sent.take().map(Sent::lost);
    }

    /// Closes the attempt after `error`. Whether the engine crashed is determined and reported before anything else.
    async fn on_attempt_failed(&mut self, error: UpstreamError) -> Event {
        let Some(open) = self.open.take() else {
            return Event::Tick;
        };
        log_event!(warn, log_event::ATTEMPT_FAILED, engine = %open.target.name, %error);
        let failure = match &error {
            UpstreamError::VersionMismatch => Failure::VersionMismatch,
            error if error.is_not_started() => Failure::NotStarted,
            _ => Failure::MayHaveRun,
        };
        match failure {
            Failure::MayHaveRun => {
                self.discard_proof();
                self.dispatch
                    .check_for_crash(&self.request, &open.target, open.attempt)
                    .await;
            }
            Failure::NotStarted | Failure::VersionMismatch => {
                self.unsent = self.sent.take().map(Sent::not_started);
            }
        }
        self.tried.push(open.target.name.clone());
        self.dispatch.report_failure(&open.target);
        self.dispatch.end_attempt(open.target, open.attempt).await;
        Event::AttemptFailed(open.attempt, failure)
    }

    async fn next_event(&mut self) -> Event {
        let due = self.answer.due();
        let Some(OpenAttempt {
            stop,
            stream: Some(stream),
            ..
        }) = &mut self.open
        else {
            return tokio::select! {
                () = self.sender.closed() => Event::CallerGone,
                () = clock::sleep_until(due) => Event::Tick,
            };
        };
        let piece = tokio::select! {
            piece = stream.next() => piece,
            () = self.sender.closed() => return Event::CallerGone,
            () = stop.notified() => return Event::Relocate,
            () = clock::sleep_until(due) => return Event::Tick,
        };
        match piece {
            Ok(Some(piece)) => self.on_piece(piece),
            Ok(None) => {
                let truncated = UpstreamError::Broken("the answer ended early".to_string());
                self.on_attempt_failed(truncated).await
            }
            Err(error) => self.on_attempt_failed(error).await,
        }
    }

    fn on_piece(&mut self, piece: PieceBody) -> Event {
        let (attempt, offset) = (piece.attempt, piece.offset);
        match &piece.finish {
            Some(finish) => {
                self.finish = Some(Finish {
                    reason: finish.reason.clone(),
                    prompt_tokens: finish.prompt,
                    cached_tokens: finish.cached,
                    output_tokens: offset,
                });
                Event::Finished(attempt, offset)
            }
            None => {
                self.piece = Some(piece);
                Event::Token(attempt, offset)
            }
        }
    }

    /// Delivers the piece that was just read to the caller. Waits for a caller that reads slowly, until the deadline.
    async fn deliver(&mut self, offset: u32) -> Event {
        let Some(piece) = self.piece.take() else {
            return Event::Tick;
        };
        let rule = "only the piece that was read is delivered";
        if invariant::check(piece.offset == offset, rule).is_err() {
            return Event::CallerGone;
        }
        self.text.push_str(&piece.text);
        self.record_token_time();
        let token = AnswerEvent::Token(Token {
            offset,
            text: piece.text,
            version: self.answer.version(),
        });
        // Usually the buffer has room; a timer for each token would cost more than the delivery.
        let token = match self.sender.try_send(token) {
            Ok(()) => return Event::Delivered,
            Err(TrySendError::Closed(_)) => return Event::CallerGone,
            Err(TrySendError::Full(token)) => token,
        };
        tokio::select! {
            sent = self.sender.send(token) => match sent {
                Ok(()) => Event::Delivered,
                Err(_) => Event::CallerGone,
            },
            () = clock::sleep_until(self.request.deadline) => Event::Tick,
        }
    }

    fn record_token_time(&mut self) {
        let now = clock::now();
        match self.last_token.replace(now) {
            None => {
                self.times.observe_first_token(now.since(self.started_at));
                if let Some(open) = &self.open {
                    self.dispatch.on_first_token(&open.target);
                }
            }
            Some(previous) => self.times.observe_token_gap(now.since(previous)),
        }
    }

    /// Abandons an attempt and asks its engine to cancel it.
    async fn cancel(&mut self, attempt: Uuid) {
        self.discard_proof();
        let Some(open) = self.open.take_if(|o| o.attempt == attempt) else {
            return;
        };
        self.dispatch.shared.metrics.traffic.cancels.inc();
        let engines = self.dispatch.engine_client.clone();
        let address = open.target.address;
        actix::spawn(async move {
            // If the request can't reach the engine, the closed connection still tells it to stop.
            let _ = engines.cancel(address, attempt).await;
        });
        if !std::mem::take(&mut self.relocating) {
            self.tried.push(open.target.name.clone());
        }
        if self.answer.is_silent(clock::now()) {
            self.dispatch
                .check_for_crash(&self.request, &open.target, attempt)
                .await;
        }
        self.dispatch.end_attempt(open.target, attempt).await;
    }
}
