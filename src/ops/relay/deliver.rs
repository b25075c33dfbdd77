//! Makes attempts at a request until an engine delivers the answer or, during a stream, its next event.
//!
//! An engine that has been silent for too long may still deliver. Its connection therefore stays open for a limited time
//! while another engine is asked, and whichever engine delivers first is used. If the other attempt fails in this time,
//! or none may follow, the request stays with the silent engine. This holds before the first byte of an answer and
//! between the events of a stream. Where hedged requests are enabled, `hedge` asks another engine as well before the
//! first one counts as silent.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use sequoiastream_core::attempt::End;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_upstream::patience::within;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::ops::relay::attempt::ActiveAttempt;
use crate::ops::relay::failure::AttemptFailure;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::reply::Reply;

/// Multiple of the route's target for the gap between two events after which another engine is asked to continue the
/// stream. Callers abandon a stream after eight times the target.
const GAP_TIMEOUT_FACTOR: u32 = 4;

/// Minimum time of silence after which another engine is asked to continue the stream. Callers abandon a stream
/// after two seconds of silence.
const MIN_GAP_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum time for which the connection to a silent engine stays open after the request is sent to another engine.
/// Limits the time in which both engines may work on the request.
pub(super) const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// What became of an attempt.
pub(super) enum Outcome {
    /// The engine delivers.
    Ready(ActiveAttempt),
    /// The engine has been silent for too long, and another attempt has been taken from the budget.
    Silent(ActiveAttempt),
    /// The engine takes unusually long, and another attempt at this engine has been taken from the budget.
    Slow(ActiveAttempt, Engine),
}

/// An [`Outcome`], or the failure of an attempt: the final answer, or `None` if another attempt may follow.
pub(super) type AttemptResult = Result<Outcome, Option<Reply>>;

impl ForwardedRequest {
    /// Waits until `current` delivers, or makes a first attempt if there is none, and makes further attempts as far as
    /// they are allowed. Returns the attempt that delivers.
    ///
    /// Guards against a request that fails because its engine was briefly silent and no other engine accepted it.
    ///
    /// # Errors
    ///
    /// The final answer if no engine delivers.
    pub(super) async fn deliver(
        &mut self,
        current: Option<ActiveAttempt>,
        last_event: Option<u64>,
    ) -> Result<ActiveAttempt, Reply> {
        let mut silent = None;
        let mut result = match current {
            Some(attempt) => self.wait(attempt).await,
            None => self.make_attempt(last_event).await,
        };
        loop {
            let reply = match result {
                Ok(Outcome::Ready(attempt)) => match self.accept(attempt, silent.is_some()) {
                    Ok(attempt) => return Ok(attempt),
                    Err(reply) => reply,
                },
                Ok(Outcome::Slow(attempt, engine)) => {
                    result = self.run_hedge(attempt, engine, last_event).await;
                    continue;
                }
                Ok(Outcome::Silent(mut attempt)) => {
                    let reply = self.on_silence(&mut attempt);
                    // Of two silent attempts, the later one is closed.
                    silent.get_or_insert(attempt);
                    reply
                }
                Err(reply) => reply,
            };
            result = match (reply, silent.take()) {
                (None, None) => self.make_attempt(last_event).await,
                (None, Some(attempt)) => {
                    let result;
                    (silent, result) = self.race(attempt, last_event).await;
                    result
                }
                (Some(_), Some(attempt)) => self.wait(attempt).await,
                (Some(reply), None) => return Err(reply),
            };
        }
    }

    async fn make_attempt(&mut self, last_event: Option<u64>) -> AttemptResult {
        let attempt = self.start_attempt(last_event).await?;
        self.wait(attempt).await
    }

    /// Waits until `attempt` delivers or fails, or its engine has been silent for too long and another one can be asked.
    /// The head of an answer and each event are limited separately. Also returns if the engine takes unusually long and
    /// the request is to be sent to another one as well.
    pub(super) async fn wait(&mut self, mut attempt: ActiveAttempt) -> AttemptResult {
        // Part of the current limit that passed before it was decided whether to ask another engine as well.
        let mut waited = Duration::ZERO;
        while !attempt.is_ready() {
            let left = self.incoming.time_left();
            let silence_limit = self.silence_limit(&attempt);
            let limit = silence_limit.map_or(left, |limit| limit.saturating_sub(waited).min(left));
            let delay = self.hedge_delay(&attempt).filter(|delay| *delay < limit);
            match within(delay.unwrap_or(limit), attempt.advance()).await {
                Some(Ok(())) => waited = Duration::ZERO,
                Some(Err(failure)) => return Err(self.on_attempt_failure(attempt, &failure)),
                None if self.incoming.time_left().is_zero() => {
                    let failure = AttemptFailure::silent("no answer before the request expired");
                    return Err(self.on_attempt_failure(attempt, &failure));
                }
                None if delay.is_some() => {
                    if let Some(engine) = self.choose_hedge(&attempt) {
                        return Ok(Outcome::Slow(attempt, engine));
                    }
                    waited = delay.unwrap_or_default();
                }
                None if limit < left && self.reserve_extra_attempt(attempt.engine()) => {
                    return Ok(Outcome::Silent(attempt));
                }
                None => waited = Duration::ZERO,
            }
        }
        self.on_ready(&mut attempt);
        Ok(Outcome::Ready(attempt))
    }

    /// How long the engine may be silent before another one is asked. `None` if no further attempt may follow, so that
    /// only the request's own time limit applies.
    fn silence_limit(&self, attempt: &ActiveAttempt) -> Option<Duration> {
        let limit = match attempt.has_delivered() {
            true => (self.route.gap_target * GAP_TIMEOUT_FACTOR).max(MIN_GAP_TIMEOUT),
            false => attempt.silence_limit()?,
        };
        (self.attempts.allows_another() && !limit.is_zero()).then_some(limit)
    }

    /// Makes another attempt beside a silent one. The silent one is closed if it fails, or [`MAX_OVERLAP`] after the
    /// request was sent to the other engine. Returns the silent attempt unless it was closed or delivers, and the
    /// result.
    async fn race(
        &mut self,
        mut silent: ActiveAttempt,
        last_event: Option<u64>,
    ) -> (Option<ActiveAttempt>, AttemptResult) {
        let request_sent = Rc::new(Notify::new());
        self.request_sent = request_sent.clone();
        let overlap_end = async {
            request_sent.notified().await;
            sleep(MAX_OVERLAP).await;
        };
        {
            let mut other = pin!(self.make_attempt(last_event));
            let delivers = tokio::select! {
                biased;
                ready = silent.ready() => ready.is_ok(),
                () = overlap_end => false,
                result = &mut other => return (Some(silent), result),
            };
            if !delivers {
                drop(silent);
                return (None, other.await);
            }
        }
        self.on_attempt_cancelled();
        self.on_ready(&mut silent);
        (None, Ok(Outcome::Ready(silent)))
    }

    /// Counts an attempt whose engine is silent. Returns `None` if another attempt may follow, otherwise the final
    /// answer.
    fn on_silence(&mut self, attempt: &mut ActiveAttempt) -> Option<Reply> {
        let failure = AttemptFailure::silent("no answer within the time limit");
        let engine = attempt.engine().clone();
        attempt.take_prefilled();
        // Another engine is asked already.
        self.hedge.close();
        if attempt.is_counted() {
            return self.on_failure_after_silence(&engine, &failure);
        }
        attempt.set_counted();
        self.on_failure(&engine, &failure)
    }

    /// Closes an attempt that failed. Returns `None` if another attempt may follow, otherwise the final answer.
    pub(super) fn on_attempt_failure(
        &mut self,
        mut attempt: ActiveAttempt,
        failure: &AttemptFailure,
    ) -> Option<Reply> {
        let engine = attempt.engine().clone();
        let is_counted = attempt.is_counted();
        let is_not_run = failure.end().proves_not_run();
        if !is_not_run {
            attempt.take_prefilled();
            self.on_run(&attempt);
        }
        if let Some(prefilled) = attempt.close() {
            self.prefilled = Some(prefilled);
        }
        match is_counted {
            true => self.on_failure_after_silence(&engine, failure),
            false => self.on_failure(&engine, failure),
        }
    }

    /// Whether the answer of an engine is passed on. Otherwise returns the final answer, or `None` if another attempt may
    /// follow.
    ///
    /// Failure guarded against: an engine fails some of its requests, and callers receive these errors although the
    /// request may be repeated and another engine is free, or a silent engine may still deliver.
    fn accept(
        &mut self,
        attempt: ActiveAttempt,
        is_other_held: bool,
    ) -> Result<ActiveAttempt, Option<Reply>> {
        if self.answer_begun && attempt.error_body().is_some() {
            let failure = AttemptFailure::failed("the answer is not a stream");
            return Err(self.on_attempt_failure(attempt, &failure));
        }
        if self.is_continued_by_reborn(attempt.engine()) {
            let failure = AttemptFailure::broken("the engine has started again since it was chosen");
            return Err(self.on_attempt_failure(attempt, &failure));
        }
        if !attempt.is_failure() {
            return Ok(attempt);
        }
        let may_retry = self.may_retry(End::Failed);
        if !may_retry && !is_other_held {
            return Ok(attempt);
        }
        self.switch_engine(attempt);
        Err((!may_retry).then(|| self.give_up()))
    }
}
