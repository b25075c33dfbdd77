//! Generating: carries out what [`Answer`](sequoiastream_core::answer::Answer) decides.

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
use crate::util::metrics::AnswerTimes;

/// Events that wait for a caller that reads slowly. After that its engine is held back.
const EVENT_BUFFER: usize = 32;

/// Attempts in a row that bring no token.
const MAX_ATTEMPTS: u32 = 4;

/// Starts to generate in a task of its own; the answer's events come through the returned channel.
pub fn start(dispatch: &Dispatch, call: GenerateCall) -> Result<Answer, Refusal> {
    let snapshot = dispatch.shared.snapshot.load();
    let (service, model) = match admit::resolve_service(&snapshot, &call.model) {
        Ok(served) => served,
        Err(why) => return Err(Refusal::not_run(call.unsent.refuse(Reason::UnknownService), why)),
    };
    let (sender, events) = mpsc::channel(EVENT_BUFFER);
    let now = clock::now();
    let limit = call
        .deadline
        .unwrap_or_else(|| admit::default_deadline(&snapshot, &call));
    let limits = Limits {
        first_token: dispatch.shared.settings.patience.first,
        between_tokens: dispatch.shared.settings.patience.between,
        deadline: now + limit,
        max_attempts: MAX_ATTEMPTS,
    };
    let route = admit::route_request(&dispatch.shared, &snapshot, &call, service);
    let request = Request {
        id: call.id,
        fingerprint: Fingerprint::of(&call.product, model, &call.prompt, call.limit),
        product: call.product,
        model: model.to_string(),
        prompt: call.prompt,
        limit: call.limit,
        seed: call.seed,
        priority: call.priority,
        service,
        deadline: limits.deadline,
        route,
    };
    let run = GenerateTask {
        times: dispatch.shared.metrics.traffic.times(&request.product),
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
    actix::spawn(run.run());
    Ok(Answer { events })
}

/// The attempt that is sent or open.
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
    /// The proof that no engine has started the request, for as long as there is one.
    unsent: Option<Unsent>,
    /// The proof while an attempt is out that an engine may still vouch for.
    sent: Option<Sent>,
    sender: mpsc::Sender<AnswerEvent>,
    tried: Vec<Name>,
    open: Option<OpenAttempt>,
    /// The text so far, to be continued by another version of the model if need be.
    text: String,
    piece: Option<PieceBody>,
    quarantined: bool,
    /// Whether the open attempt only moves: its engine is not to blame.
    relocating: bool,
    finish: Option<Finish>,
    started_at: Time,
    last_token: Option<Time>,
    times: AnswerTimes,
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

    /// Carries out one action; returns the event that it leads to, if any.
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

    /// Whether a further attempt is within the product's retry budget. An answer that was begun is finished in
    /// any case: its engines have done most of the work.
    fn may_retry(&self) -> bool {
        let attempts = self.answer.attempts();
        attempts == 0 || self.dispatch.may_retry(&self.request.product, attempts) || self.last_token.is_some()
    }

    /// Whether an engine may be picked by the configuration known here. An answer that was begun goes on in any case.
    ///
    /// Failure guarded against: an instance is paused between a request's being let in and its being sent; meanwhile
    /// operators drain an engine, and the instance sends the request there when it goes on.
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
        let generated = self.dispatch.engine_client.generate(open.target.address, &body);
        let result = tokio::select! {
            result = generated => result,
            () = self.sender.closed() => return Event::CallerGone,
            () = open.stop.notified() => return Event::Relocate,
            () = clock::until(self.answer.due()) => return Event::Tick,
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
        traffic.queued(&self.request.product, queued);
        let Some(open) = &mut self.open else {
            return Event::Tick;
        };
        let version = stream.version;
        if let Some(incarnation) = stream.incarnation {
            self.dispatch
                .shared
                .poison()
                .record_incarnation(open.attempt, incarnation);
        }
        open.stream = Some(stream);
        Event::Opened(open.attempt, version)
    }

    /// The attempt is over, and nobody vouches that it did not run.
    fn discard_proof(&mut self) {
        // `Ran` leads nowhere: from here on no refusal of this request can say `not-run`.
        let _ = self.sent.take().map(Sent::lost);
    }

    /// Closes the attempt after `error`; what it means for the engine is judged and told before anything else.
    async fn on_attempt_failed(&mut self, error: UpstreamError) -> Event {
        let Some(open) = self.open.take() else {
            return Event::Tick;
        };
        log_event!(warn, log_event::ATTEMPT_FAILED, engine = %open.target.name, %error);
        let failure = match &error {
            UpstreamError::OtherVersion => Failure::VersionMismatch,
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
                self.unsent = self.sent.take().map(Sent::returned);
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
                () = clock::until(due) => Event::Tick,
            };
        };
        let piece = tokio::select! {
            piece = stream.next() => piece,
            () = self.sender.closed() => return Event::CallerGone,
            () = stop.notified() => return Event::Relocate,
            () = clock::until(due) => return Event::Tick,
        };
        match piece {
            Ok(Some(piece)) => self.on_piece(piece),
            Ok(None) => {
                let ended = UpstreamError::Broken("the answer ended early".to_string());
                self.on_attempt_failed(ended).await
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
                    prompt: finish.prompt,
                    cached: finish.cached,
                    output: offset,
                });
                Event::Finished(attempt, offset)
            }
            None => {
                self.piece = Some(piece);
                Event::Token(attempt, offset)
            }
        }
    }

    /// Gives the caller the piece that was just read. Waits for a caller that reads slowly, up to the deadline.
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
        // Mostly there is room; a timer for each token would cost more than the token.
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
            () = clock::until(self.request.deadline) => Event::Tick,
        }
    }

    fn record_token_time(&mut self) {
        let now = clock::now();
        match self.last_token.replace(now) {
            None => {
                self.times.first_token(now.since(self.started_at));
                if let Some(open) = &self.open {
                    self.dispatch.on_first_token(&open.target);
                }
            }
            Some(before) => self.times.between_tokens(now.since(before)),
        }
    }

    /// Closes an attempt that is given up, and asks its engine to stop it.
    async fn cancel(&mut self, attempt: Uuid) {
        self.discard_proof();
        let Some(open) = self.open.take_if(|o| o.attempt == attempt) else {
            return;
        };
        self.dispatch.shared.metrics.traffic.cancels.inc();
        let engines = self.dispatch.engine_client.clone();
        let address = open.target.address;
        actix::spawn(async move {
            // An engine that can't be reached sees the closed connection.
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
