//! Having a prompt read by an engine that does nothing else, for another one that generates.

use std::sync::Arc;
use std::time::Duration;

use sequoiastream_core::attempt::End;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::placement::PrefillPlan;
use sequoiastream_core::retry;
use sequoiastream_upstream::channel::Pool;

use crate::log_event;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::forward::Refusal;
use crate::ops::relay::pick::decode_engine;
use crate::ops::relay::reply::Reply;
use crate::ops::relay::send::AttemptFailure;
use crate::ops::relay::send::AttemptOptions;
use crate::ops::relay::send::MAX_ANSWER_BYTES;
use crate::ops::relay::send::release;
use crate::ops::relay::send::send;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// How long freeing a kept prompt may take.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Engines that are asked in turn to read a prompt.
const MAX_PREFILL_ATTEMPTS: u32 = 2;

/// Part of a route's target by which an answer must be expected to begin: the rest is for the ways to and from the
/// caller.
const ON_TIME_PART: f64 = 0.95;

/// Part of a route's target that is a short wait: a request that would be late all the same is let in by it. Long
/// enough for what is left of a reading that goes on, too short for a queue.
const SHORT_WAIT_PART: f64 = 0.1;

/// A prompt that an engine has read and keeps; freed when dropped, unless it was taken.
pub(super) struct PrefilledPrompt {
    shared: Arc<Shared>,
    pool: Pool,
    pub(super) engine: Engine,
    name: String,
    pub(super) taken: bool,
}

impl PrefilledPrompt {
    pub(super) fn source(&self) -> String {
        format!("{}/{}", self.engine.entry.address, self.name)
    }
}

impl Drop for PrefilledPrompt {
    /// Failure guarded against: the caller leaves, or no engine takes the prompt, and it fills the memory of its
    /// engine until it expires.
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let path = self.shared.translate.release_path(&self.name);
        let pool = self.pool.clone();
        let engine = self.engine.clone();
        actix_rt::spawn(async move {
            if let Err(failure) = release(&pool, engine.entry.address, &path, RELEASE_TIMEOUT).await {
                log_event!(debug, log_event::ATTEMPT_FAILED, engine = %engine.entry.id, why = failure.reason, call = "release");
            }
        });
    }
}

impl ForwardedRequest {
    /// Whether another engine is to read the prompt: where some do nothing else, and it is so long that reading it
    /// there costs less than the hand-over.
    pub(super) fn wants_prefill_engine(&self) -> bool {
        let engines = self.service.as_ref().and_then(|s| self.view.engines().get(s));
        self.has_long_prompt() && engines.is_some_and(|e| e.iter().any(|e| e.entry.stage == Stage::Prefill))
    }

    /// Has the prompt read. Without an engine that could, the generating one reads it.
    pub(super) async fn run_prefill(&mut self, is_fresh: bool) -> Result<(), Option<Reply>> {
        for attempt in 0..MAX_PREFILL_ATTEMPTS {
            let Some(plan) = self.choose_prefill(Stage::Prefill) else {
                return Ok(());
            };
            let handover = self.handover();
            let expected = plan.total_time + handover;
            let is_first = is_fresh && attempt == 0;
            if is_first {
                self.predicted = Some(clock::now().since(self.incoming.arrived) + expected);
            }
            if is_first && self.would_be_late(expected, plan.queue_time) {
                break;
            }
            // Only the first call to read a prompt is free: one for another attempt draws on the budget as well.
            if !is_first && !self.take_extra_attempt() {
                break;
            }
            let may_repeat = attempt + 1 < MAX_PREFILL_ATTEMPTS;
            let attempt_timeout =
                may_repeat.then(|| retry::first_token_timeout(self.incoming.time_left(), plan.total_time, 0));
            match self.prefill_at(&plan, attempt_timeout).await {
                Ok(()) => return Ok(()),
                Err(failure) => {
                    self.log_failure(&plan.engine, &failure, "read the prompt");
                    self.record_end(plan.engine.key, failure.end);
                    self.tried.push(plan.engine.key);
                }
            }
            if self.incoming.time_left().is_zero() {
                break;
            }
        }
        Err(Some(self.give_up()))
    }

    /// How long it takes from the prompt's being read to the first event, at the engine that is free first.
    pub(super) fn handover(&self) -> Duration {
        let wait = self.select(|selector, engines| {
            let engine = decode_engine(selector, engines)?;
            let queue = selector
                .loads
                .queue_time(selector.now, engine.key, engine.entry.slots);
            Some(queue + selector.loads.handover(selector.now, engine.key))
        });
        wait.unwrap_or_default()
    }

    pub(super) async fn prefill_at(
        &mut self,
        plan: &PrefillPlan,
        attempt_timeout: Option<Duration>,
    ) -> Result<(), AttemptFailure> {
        self.record_prefill_sent(plan);
        let _job = self.begin_job(&plan.engine, plan.busy_time);
        let started = clock::now();
        let name = self.call_prefill(plan, attempt_timeout).await?;
        let now = clock::now();
        let mut ledger = self.shared.ledger();
        ledger.book.on_attempt_end(now, plan.engine.key, End::Answered);
        ledger.book.on_prefill(now, plan, now.since(started));
        drop(ledger);
        self.prefilled_at = Some(now);
        self.prefilled = Some(PrefilledPrompt {
            shared: self.shared.clone(),
            pool: self.pool.clone(),
            engine: plan.engine.clone(),
            name,
            taken: false,
        });
        Ok(())
    }

    pub(super) async fn call_prefill(
        &self,
        plan: &PrefillPlan,
        attempt_timeout: Option<Duration>,
    ) -> Result<String, AttemptFailure> {
        let engine = &plan.engine;
        let names = self.shared.translate.names();
        let options = AttemptOptions {
            prefill: true,
            fetch_from: plan.fetch_from,
            attempt_timeout,
            ..AttemptOptions::default()
        };
        let mut answer = send(&self.pool, names, &self.incoming, engine, &options).await?;
        let status = answer.head.status;
        let body = answer.read(MAX_ANSWER_BYTES, self.incoming.time_left()).await?;
        self.pool.keep(engine.entry.address, answer);
        if !status.is_success() {
            return Err(AttemptFailure::new(End::Failed, format!("status {status}")));
        }
        let prefilled = self.shared.translate.prefilled_name(&body);
        prefilled.map_err(|e| AttemptFailure::new(End::Broken, e))
    }

    /// Whether an answer that begins after `takes` would be late; notes it as the reason of the refusal.
    ///
    /// Failure guarded against: the longest prompts take longer than their target on an engine that has nothing else to
    /// do, and are refused for ever. What waits for little besides itself is served, late if need be.
    pub(super) fn would_be_late(&mut self, expected: Duration, queue_time: Duration) -> bool {
        let is_late =
            !self.is_on_time(expected) && queue_time > self.route.latency_target.mul_f64(SHORT_WAIT_PART);
        if is_late {
            let reason = "it would be late";
            self.refusal = Some(Refusal { reason, expected });
        }
        is_late
    }

    /// Whether an answer that begins after `takes` is in time for all that it is worth.
    ///
    /// Under overload this keeps the queues as long as what they hold is still of full worth: an engine that is
    /// never idle and never late serves the most. Whoever is refused knows at once.
    fn is_on_time(&self, expected: Duration) -> bool {
        let passed = clock::now().since(self.incoming.arrived);
        self.route.latency_target.is_zero()
            || passed + expected <= self.route.latency_target.mul_f64(ON_TIME_PART)
    }
}
