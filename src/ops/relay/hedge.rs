//! Sends a request whose engine takes unusually long to a second engine as well, and goes on with the one that delivers
//! first. `core::relay::hedging` decides whether that may be done.

use std::rc::Rc;
use std::time::Duration;

use sequoiastream_core::attempt::End;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::hedging;
use sequoiastream_core::relay::hedging::Denial;
use sequoiastream_core::relay::hedging::HedgeCandidate;
use sequoiastream_core::relay::hedging::RouteLatency;
use sequoiastream_core::relay::prefill_time::PrefillWork;
use sequoiastream_core::relay::routes::RouteKind;
use tokio::time::sleep;

use crate::log_event;
use crate::ops::relay::attempt::ActiveAttempt;
use crate::ops::relay::attempt::AttemptParts;
use crate::ops::relay::connect;
use crate::ops::relay::deliver::AttemptResult;
use crate::ops::relay::deliver::MAX_OVERLAP;
use crate::ops::relay::deliver::Outcome;
use crate::ops::relay::failure::AttemptFailure;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::pick::DECODE_PREFILL_SLOWDOWN;
use crate::util::clock;

/// Whether a request is hedged. A request is considered once.
#[derive(Debug, Clone, Copy)]
pub(super) struct HedgeState {
    /// Whether the settings allow hedges.
    is_enabled: bool,
    /// Whether it may still be considered.
    is_open: bool,
    /// Whether a call for its prefill may still be considered.
    is_prefill_open: bool,
}

impl HedgeState {
    /// The state of a new request, if the settings allow `ratio` hedges for each request.
    pub(super) fn new(ratio: f64, kind: RouteKind) -> HedgeState {
        let is_enabled = ratio > 0.0;
        HedgeState {
            is_enabled,
            is_open: is_enabled && hedging::is_eligible(kind),
            is_prefill_open: is_enabled,
        }
    }

    /// Whether the settings allow hedges.
    pub(super) fn is_enabled(self) -> bool {
        self.is_enabled
    }

    /// Excludes the request from hedging from now on.
    pub(super) fn close(&mut self) {
        self.is_open = false;
    }

    /// Whether a call for the prefill of the request may be hedged.
    pub(super) fn is_prefill_open(self) -> bool {
        self.is_prefill_open
    }

    /// Excludes the calls for the prefill of the request, and the request itself, from hedging from now on.
    pub(super) fn close_prefill(&mut self) {
        self.is_prefill_open = false;
        self.is_open = false;
    }
}

/// What ended the wait for two engines.
enum RaceEnd {
    First(Result<(), AttemptFailure>),
    Second(Result<(), AttemptFailure>),
    TimeOver,
}

impl ForwardedRequest {
    /// Records that an engine delivered, as far as hedges depend on it.
    pub(super) fn on_delivered(&self, attempt: &ActiveAttempt) {
        if !self.hedge.is_enabled() {
            return;
        }
        let is_served = !attempt.is_failure() && attempt.error_body().is_none();
        if is_served {
            self.record_latency(attempt);
        }
        self.shared
            .traffic()
            .hedging
            .races
            .on_answer(attempt.engine().key);
    }

    /// Records how long an engine has taken, if the answers on this route are tracked and this one is comparable: a
    /// separate prefill, or the events that were delivered before, would make it shorter.
    fn record_latency(&self, attempt: &ActiveAttempt) {
        if self.answer_begun || self.prefilled_at.is_some() {
            return;
        }
        let now = clock::now();
        let took = now.since(attempt.sent_at());
        let mut traffic = self.shared.traffic();
        let latencies = &mut traffic.hedging.latencies;
        if hedging::is_eligible(self.route.kind) {
            latencies.on_answer(now, &self.route.name, took);
        }
        if !self.route.kind.is_stream() {
            latencies.on_call(now, &attempt.engine().entry.service, took);
        }
    }

    fn route_latency(&self) -> Option<RouteLatency> {
        let now = clock::now();
        let mut traffic = self.shared.traffic();
        let latencies = &mut traffic.hedging.latencies;
        match self.route.kind.is_stream() {
            true => latencies.latency(now, &self.route.name),
            false => latencies.call_latency(now, &self.route.name, self.service.as_ref()?),
        }
    }

    /// Time until `attempt` counts as unusually slow; `None` if the request is not hedged.
    pub(super) fn hedge_delay(&self, attempt: &ActiveAttempt) -> Option<Duration> {
        let is_begun = attempt.has_delivered() || self.answer_begun;
        if !self.hedge.is_open || is_begun || self.prefilled_at.is_some() {
            return None;
        }
        let slow = self.route_latency()?.slow;
        Some(slow.saturating_sub(clock::now().since(attempt.sent_at())))
    }

    /// Decides whether the request, which is at the engine of `first`, is hedged. Returns the second engine, for which an
    /// extra attempt has been taken from the budget.
    pub(super) fn choose_hedge(&mut self, first: &ActiveAttempt) -> Option<Engine> {
        self.hedge.close();
        match self.decide_hedge(first)? {
            Ok(second) => Some(second),
            Err(denial) => {
                self.shared.metrics.count_hedge_denied(denial.label());
                None
            }
        }
    }

    fn decide_hedge(&self, first: &ActiveAttempt) -> Option<Result<Engine, Denial>> {
        let service = self.service.as_ref()?;
        let latency = self.route_latency()?;
        let part = self.hedge_part();
        let second =
            self.select(|selector, engines| hedging::second_engine(selector, engines, first.engine(), part));
        let table = self.shared.view.load().table.clone();
        let now = clock::now();
        let mut traffic = self.shared.traffic();
        let candidate = HedgeCandidate {
            service,
            expected: latency.median,
            left: self.incoming.time_left(),
            has_attempts: self.attempts.allows_another(),
            is_current: hedging::leads_to(&table, &self.route, self.incoming.uri.path(), service),
            is_suspect: traffic.suspects.is_suspect(now, &self.incoming.identity),
            second,
        };
        let state = &mut *traffic;
        let decision = hedging::decide(now, candidate, &mut state.hedging.limiter, &mut state.budget);
        drop(traffic);
        if decision.is_ok() && !self.cover_request() {
            return Some(Err(Denial::Budget));
        }
        if decision.is_ok() {
            self.shared.traffic().hedging.limiter.on_hedge(now, service);
        }
        Some(decision)
    }

    /// Fraction of an engine's slots up to which it takes the request as a second engine: a stream leaves as many to
    /// those of higher priority as without a hedge.
    fn hedge_part(&self) -> f64 {
        let part = self.ranked_part().filter(|_| self.route.kind.is_stream());
        part.map_or(1.0, |part| part.min(1.0))
    }

    /// Sends the request to `engine` as well, and waits until one of the two delivers.
    pub(super) async fn run_hedge(
        &mut self,
        mut first: ActiveAttempt,
        engine: Engine,
        last_event: Option<u64>,
    ) -> AttemptResult {
        let second = match self.send_hedge(&mut first, engine, last_event).await {
            Ok(Some(second)) => second,
            Ok(None) => return self.wait(first).await,
            Err(failure) => return Err(self.on_attempt_failure(first, &failure)),
        };
        let second_engine = second.engine().clone();
        let remaining = self.race_hedge(first, second).await;
        let result = self.wait(remaining).await;
        if let Ok(Outcome::Ready(attempt)) = &result
            && !attempt.is_failure()
        {
            let is_won = Rc::ptr_eq(attempt.engine(), &second_engine);
            self.shared
                .metrics
                .count_hedge(if is_won { "won" } else { "lost" });
        }
        result
    }

    /// Connects to the second engine while the first one goes on. Returns `None` if the first one has delivered by then,
    /// or the second one can't be sent the request.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure`] of the first engine.
    async fn send_hedge(
        &mut self,
        first: &mut ActiveAttempt,
        engine: Engine,
        last_event: Option<u64>,
    ) -> Result<Option<ActiveAttempt>, AttemptFailure> {
        let job = self.begin_job(&engine, self.hedge_prefill(&engine));
        let started = clock::now();
        let channel = tokio::select! {
            biased;
            result = first.ready() => return result.map(|()| None),
            channel = connect::for_request(&self.shared, &self.pool, &self.incoming, &engine) => channel,
        };
        let channel = match channel {
            Ok(channel) => channel,
            Err(failure) => {
                self.record_failure(&engine, &failure);
                self.tried.push(engine.key);
                self.attempts.on_unsent();
                return Ok(None);
            }
        };
        // A part of the prompt may have been blocked meanwhile.
        let identity = &self.incoming.identity;
        if !self.shared.traffic().suspects.begin_run(clock::now(), identity) {
            self.pool.put(engine.entry.address, channel);
            return Ok(None);
        }
        let waited = clock::now().since(first.sent_at());
        self.on_hedge_sent(first.engine(), &engine, waited, "send");
        self.attempts.on_send();
        let parts = AttemptParts {
            shared: self.shared.clone(),
            pool: self.pool.clone(),
            incoming: self.incoming.clone(),
            prefilled: None,
            last_event,
            kind: self.route.kind,
            silence_limit: first.silence_limit(),
            started,
        };
        Ok(Some(ActiveAttempt::new(engine, job, channel, parts)))
    }

    /// Time for which the prefill of the prompt occupies the second engine.
    fn hedge_prefill(&self, engine: &Engine) -> Duration {
        let Some(prompt) = self
            .incoming
            .prompt
            .as_ref()
            .filter(|_| self.route.kind.is_stream())
        else {
            return Duration::ZERO;
        };
        let model = self.shared.traffic().load.prefill_model(&engine.entry.service);
        model.busy_time(PrefillWork::new(prompt, prompt.input)) * DECODE_PREFILL_SLOWDOWN
    }

    /// Records that an engine is sent the request, or a call for its prefill, beside the one that has had it for `waited`.
    pub(super) fn on_hedge_sent(&self, first: &Engine, second: &Engine, waited: Duration, call: &str) {
        self.shared.metrics.count_hedge("sent");
        log_event!(info, log_event::HEDGED, request = self.id(), route = %self.route.name,
            from = %first.entry.id, to = %second.entry.id, waited = waited.as_millis() as u64,
            left = self.incoming.time_left().as_millis() as u64, call);
    }

    /// Waits until one of two engines delivers, fails, or has been silent for too long, and ends one of the two attempts.
    /// Returns the other one, which delivers or is still running.
    async fn race_hedge(&mut self, mut first: ActiveAttempt, mut second: ActiveAttempt) -> ActiveAttempt {
        let limit = self.hedge_overlap(&first).min(self.incoming.time_left());
        let end = tokio::select! {
            biased;
            result = first.ready() => RaceEnd::First(result),
            result = second.ready() => RaceEnd::Second(result),
            () = sleep(limit) => RaceEnd::TimeOver,
        };
        match end {
            RaceEnd::First(Ok(())) if !first.is_failure() => {
                self.attempts.on_end(End::Silent);
                first
            }
            RaceEnd::Second(Ok(())) if !second.is_failure() => {
                self.close_slow(first);
                second
            }
            RaceEnd::First(result) => {
                self.end_hedged(first, result);
                second
            }
            RaceEnd::Second(result) => {
                self.end_hedged(second, result);
                first
            }
            RaceEnd::TimeOver if self.incoming.time_left().is_zero() => {
                let failure = AttemptFailure::silent("no answer before the request expired");
                self.end_hedged(second, Err(failure));
                first
            }
            RaceEnd::TimeOver => {
                self.close_slow(first);
                second
            }
        }
    }

    /// How long both engines may work on the request. A call stays at both: its first engine is closed only if a third
    /// one may be asked, once it has been silent for as long as without a hedge.
    fn hedge_overlap(&self, first: &ActiveAttempt) -> Duration {
        if self.route.kind.is_stream() {
            return MAX_OVERLAP;
        }
        let limit = first.silence_limit();
        let limit = limit.filter(|_| self.attempts.allows_another_after_two());
        limit.unwrap_or(Duration::MAX)
    }

    /// Closes the connection to the first engine because the second one delivered first, or both have worked on the
    /// request for long enough. The engine counts as silent if it has been for as long as without a hedge, or if it has
    /// delivered nothing for several requests.
    fn close_slow(&mut self, first: ActiveAttempt) {
        let engine = first.engine().clone();
        self.record_latency(&first);
        self.on_run(&first);
        let waited = clock::now().since(first.sent_at());
        let is_overdue =
            first.answer().is_none() && first.silence_limit().is_some_and(|limit| waited >= limit);
        let is_silent = self.shared.traffic().hedging.races.on_lost(engine.key);
        drop(first);
        match is_overdue || is_silent {
            true => {
                let failure = AttemptFailure::silent("another engine answered first");
                self.on_hedged_failure(&engine, &failure);
            }
            false => {
                self.tried.push(engine.key);
                self.attempts.on_end(End::Silent);
            }
        }
    }

    /// Ends one of two attempts: it failed, or brought a server error.
    fn end_hedged(&mut self, mut attempt: ActiveAttempt, result: Result<(), AttemptFailure>) {
        match result {
            Err(failure) => {
                if !failure.end().proves_not_run() {
                    self.on_run(&attempt);
                }
                self.on_hedged_failure(attempt.engine(), &failure);
            }
            Ok(()) => {
                self.on_ready(&mut attempt);
                self.attempts.on_end(End::Failed);
                self.switch_engine(attempt);
            }
        }
    }

    /// Counts the failure of one of two attempts. The other one is the attempt that follows it, so that nothing more is
    /// taken from the budget.
    fn on_hedged_failure(&mut self, engine: &Engine, failure: &AttemptFailure) {
        self.record_failure(engine, failure);
        self.tried.push(engine.key);
        self.attempts.on_end(failure.end());
    }
}
