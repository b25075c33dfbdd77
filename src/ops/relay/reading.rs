//! Has the prefill computed by an engine that does nothing else, for another engine that generates the answer.

use std::time::Duration;

use http::header::CONTENT_TYPE;
use sequoiastream_core::attempt::End;
use sequoiastream_core::attempt::NextStep;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::placement::PrefillPlan;
use sequoiastream_core::retry;
use sequoiastream_core::time::Time;
use sequoiastream_upstream::channel::Answer;
use sequoiastream_upstream::channel::Pool;
use tokio::time::timeout;

use crate::ops::relay::connect;
use crate::ops::relay::failure::AttemptFailure;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::pick::MAX_LOAD_FACTOR;
use crate::ops::relay::pick::decode_engine;
use crate::ops::relay::prefilled::PrefilledPrompt;
use crate::ops::relay::reply::Refusal;
use crate::ops::relay::reply::Reply;
use crate::ops::relay::reply::WOULD_BE_LATE;
use crate::ops::relay::send::AttemptOptions;
use crate::ops::relay::send::IncomingRequest;
use crate::ops::relay::send::MAX_ANSWER_BYTES;
use crate::ops::relay::send::send;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Maximum number of engines that are asked to compute a prefill, one after the other.
const MAX_PREFILL_ATTEMPTS: u32 = 2;

/// Fraction of the route's latency target within which the first event must be expected. The rest is for the network
/// between the caller and this instance.
pub(super) const ON_TIME_PART: f64 = 0.95;

/// Fraction of the route's latency target up to which a queue time counts as short. A request with a short queue time
/// is accepted even if it will be late. The time is long enough for the remainder of a prefill in progress, and too
/// short for a queue of prefills.
const SHORT_WAIT_PART: f64 = 0.1;

/// As [`SHORT_WAIT_PART`], for requests that are overdue.
const OVERDUE_WAIT_PART: f64 = 1.0;

impl ForwardedRequest {
    /// Whether another engine is to compute the prefill: the service has engines that do nothing else, and the prompt
    /// is long enough for computing it there to be worth the handover.
    pub(super) fn wants_prefill_engine(&self) -> bool {
        let engines = self.service.as_ref().and_then(|s| self.view.engines().get(s));
        self.has_long_prompt() && engines.is_some_and(|e| e.iter().any(|e| e.entry.stage == Stage::Prefill))
    }

    /// Has the prefill computed by another engine. If there is none, the engine that generates the answer computes it.
    pub(super) async fn run_prefill(&mut self, is_fresh: bool) -> Result<(), Option<Reply>> {
        for attempt in 0..MAX_PREFILL_ATTEMPTS {
            if attempt > 0 {
                self.check_blocked().await.map_err(Some)?;
            }
            let Some(plan) = self.choose_prefill(Stage::Prefill) else {
                return Ok(());
            };
            // A prefill without an engine to generate the answer would be in vain.
            let Some(handover) = self.handover(plan.total_time) else {
                return Err(Some(self.refuse()));
            };
            let is_first = is_fresh && attempt == 0;
            if is_first && self.yields(&plan) {
                return Err(Some(self.refuse()));
            }
            let overtaken = self.overtaken(plan.queue_time);
            let expected = (plan.total_time + handover).saturating_sub(overtaken);
            if is_first {
                self.predicted = Some(clock::now().since(self.incoming.arrived) + expected);
            }
            if is_first && self.would_be_late(expected, plan.queue_time.saturating_sub(overtaken)) {
                let reply = self.give_up();
                return Err(Some(self.refuse_by_rank(reply)));
            }
            if !self.cover_prefill() {
                break;
            }
            self.reserve_decode(plan.total_time);
            let may_repeat = attempt + 1 < MAX_PREFILL_ATTEMPTS;
            let attempt_timeout =
                may_repeat.then(|| retry::first_token_timeout(self.incoming.time_left(), plan.total_time, 0));
            let result = match self.prefill_hedge_delay(&plan) {
                Some(delay) => self.prefill_hedged(plan, attempt_timeout, delay).await,
                None => {
                    let result = self.prefill_at(&plan, attempt_timeout).await;
                    result.map_err(|failure| (Box::new(plan.engine), failure))
                }
            };
            let is_prefilled = match result {
                Ok(()) => true,
                Err((engine, failure)) => {
                    self.on_prefill_failure(&engine, &failure);
                    false
                }
            };
            if self.attempts.next_step() != NextStep::Retry {
                break;
            }
            if is_prefilled {
                return Ok(());
            }
            if self.incoming.time_left().is_zero() {
                break;
            }
        }
        Err(Some(self.give_up()))
    }

    /// Expected time from the end of a prefill, which takes `prefill`, to the first event, at the engine that would
    /// generate the answer; `None` if no engine may.
    pub(super) fn handover(&self, prefill: Duration) -> Option<Duration> {
        let needs = self.stream_needs(MAX_LOAD_FACTOR, prefill);
        self.select(|selector, engines| {
            let engine = decode_engine(selector, engines, &needs)?;
            let queue = selector
                .loads
                .queue_time(selector.now, engine.key, engine.entry.slots);
            Some(queue + selector.loads.handover(selector.now, engine.key))
        })
    }

    async fn prefill_at(
        &mut self,
        plan: &PrefillPlan,
        attempt_timeout: Option<Duration>,
    ) -> Result<(), AttemptFailure> {
        self.record_prefill_sent(plan);
        let _job = self.begin_job(&plan.engine, plan.busy_time);
        let started = clock::now();
        let result = call_prefill(&self.shared, &self.pool, &self.incoming, plan, attempt_timeout).await;
        self.record_prefill_time(plan, started, &result);
        self.on_prefilled(plan, started, result?);
        Ok(())
    }

    /// Records that an engine holds the result of the prefill as `name`.
    pub(super) fn on_prefilled(&mut self, plan: &PrefillPlan, started: Time, name: String) {
        let now = clock::now();
        let mut ledger = self.shared.traffic();
        ledger.load.on_attempt_end(now, plan.engine.key, End::Answered);
        ledger.load.on_prefill(now, plan, now.since(started));
        drop(ledger);
        self.prefilled_at = Some(now);
        let (shared, pool) = (self.shared.clone(), self.pool.clone());
        self.prefilled = Some(PrefilledPrompt::new(shared, pool, plan.engine.clone(), name));
    }

    /// Records that a call for a prefill failed.
    pub(super) fn on_prefill_failure(&mut self, engine: &Engine, failure: &AttemptFailure) {
        self.log_failure(engine, failure, "prefill");
        if failure.is_prefill_run() {
            self.attempts.on_run();
        }
        self.record_end(engine, failure.end());
        self.check_crash(engine, failure.end());
        self.tried.push(engine.key);
    }

    /// Whether a request whose first event is expected after `expected` would be too late; if so, records this as the
    /// reason of its refusal.
    ///
    /// Failure guarded against: the longest prompts take longer than the latency target even on an idle engine, and
    /// would be refused for ever. A request that waits for little but its own prefill is therefore accepted, even if it
    /// will be late. So is one that is overdue, as long as its queue isn't longer than the target: under a lasting
    /// overload, shorter prompts fill the queues again at once.
    pub(super) fn would_be_late(&mut self, expected: Duration, queue_time: Duration) -> bool {
        let wait_part = match self.overdue() {
            Some(_) => OVERDUE_WAIT_PART,
            None => SHORT_WAIT_PART,
        };
        let is_late = !self.is_on_time(expected) && queue_time > self.route.latency_target.mul_f64(wait_part);
        if is_late {
            let reason = WOULD_BE_LATE;
            let expected = Some(expected);
            self.refusal = Some(Refusal { reason, expected });
        }
        is_late
    }

    /// Whether a first event expected after `expected` is early enough for the answer to have its full value.
    ///
    /// Under overload, this limits queues to requests that can still be answered in time for their full value: engines
    /// that are never idle and never late serve the most requests. Requests beyond that are refused immediately.
    pub(super) fn is_on_time(&self, expected: Duration) -> bool {
        let passed = clock::now().since(self.incoming.arrived);
        self.route.latency_target.is_zero()
            || passed + expected <= self.route.latency_target.mul_f64(ON_TIME_PART)
    }
}

/// Has the prefill of `incoming` computed according to `plan`. Returns the name of the result.
///
/// Failure guarded against: an engine that runs the request in place of its prefill, as one that doesn't know the header would.
/// The caller is promised that it did not run, or it is sent to another engine.
pub(super) async fn call_prefill(
    shared: &Shared,
    pool: &Pool,
    incoming: &IncomingRequest,
    plan: &PrefillPlan,
    attempt_timeout: Option<Duration>,
) -> Result<String, AttemptFailure> {
    let engine = &plan.engine;
    let options = AttemptOptions {
        prefill: true,
        fetch_from: plan.fetch_from,
        ..AttemptOptions::default()
    };
    let channel = connect::for_request(shared, pool, incoming, engine).await?;
    let left = incoming.time_left();
    let limit = attempt_timeout.map_or(left, |attempt_timeout| attempt_timeout.min(left));
    let answer = timeout(limit, send(shared, pool, incoming, engine, channel, &options)).await;
    let mut answer = answer.map_err(|_| AttemptFailure::silent("no answer within the time limit"))??;
    let status = answer.head.status;
    if status.is_success() && is_event_stream(&answer) {
        let reason = "the answer to the call for a prefill is a stream";
        return Err(AttemptFailure::prefill_run(reason));
    }
    let is_framed = !answer.ends_with_connection();
    let body = answer.read(MAX_ANSWER_BYTES, incoming.time_left()).await?;
    pool.keep(engine.entry.address, answer);
    if !status.is_success() {
        let reason = format!("prefill answered with status {status}");
        return Err(AttemptFailure::failed(reason));
    }
    let prefilled = shared.translate.prefilled_name(&body);
    prefilled.map_err(|error| match is_framed {
        true => AttemptFailure::prefill_run(error),
        // It may be the first part of a result.
        false => AttemptFailure::broken(error),
    })
}

fn is_event_stream(answer: &Answer) -> bool {
    let content = answer.head.headers.get(CONTENT_TYPE);
    let content = content.map(|value| value.as_bytes().to_ascii_lowercase());
    content.is_some_and(|content| content.starts_with(b"text/event-stream"))
}
