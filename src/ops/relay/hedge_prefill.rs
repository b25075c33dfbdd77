//! Has a prefill computed by a second engine as well if the first one takes unusually long, and uses the result that comes
//! first. `core::relay::hedging` decides whether that may be done.

use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use sequoiastream_core::attempt::End;
use sequoiastream_core::relay::arrivals::Arrivals;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::hedging;
use sequoiastream_core::relay::hedging::Denial;
use sequoiastream_core::relay::hedging::HedgeCandidate;
use sequoiastream_core::relay::placement::PrefillPlan;
use sequoiastream_core::time::Time;
use tokio::time::timeout;

use crate::ops::relay::failure::AttemptFailure;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::job::JobGuard;
use crate::ops::relay::prefilled::PrefilledPrompt;
use crate::ops::relay::reading::call_prefill;
use crate::util::clock;

/// A call for a prefill that is in progress; its connection is closed when this is dropped.
struct PrefillCall {
    plan: PrefillPlan,
    started: Time,
    /// The arrivals of the request before this call.
    arrivals: Arrivals,
    /// Ends the job at the engine.
    _job: JobGuard,
    result: LocalBoxFuture<'static, Result<String, AttemptFailure>>,
}

/// The failure of a call, with its engine.
type FailedCall = (Box<Engine>, AttemptFailure);

impl ForwardedRequest {
    /// Time after which the call for a prefill counts as unusually slow; `None` if it is not hedged.
    pub(super) fn prefill_hedge_delay(&self, plan: &PrefillPlan) -> Option<Duration> {
        if !self.hedge.is_prefill_open() {
            return None;
        }
        let mut traffic = self.shared.traffic();
        traffic.hedging.prefills.slow_after(clock::now(), plan)
    }

    /// Records how long a call for a prefill took, as far as hedges depend on it. One whose engine was silent counts with
    /// the time until its connection was closed: it is among the slowest.
    pub(super) fn record_prefill_time(
        &self,
        plan: &PrefillPlan,
        started: Time,
        result: &Result<String, AttemptFailure>,
    ) {
        let is_timed = result
            .as_ref()
            .err()
            .is_none_or(|failure| failure.end() == End::Silent);
        if !self.hedge.is_enabled() {
            return;
        }
        let now = clock::now();
        let mut traffic = self.shared.traffic();
        if is_timed {
            traffic.hedging.prefills.on_prefill(now, plan, now.since(started));
        }
        if result.is_ok() {
            traffic.hedging.races.on_answer(plan.engine.key);
        }
    }

    /// Has the prefill computed according to `plan`, and by another engine as well after `delay`, if that may be done.
    ///
    /// # Errors
    ///
    /// The failure of the only call, or of the later one to fail.
    pub(super) async fn prefill_hedged(
        &mut self,
        plan: PrefillPlan,
        attempt_timeout: Option<Duration>,
        delay: Duration,
    ) -> Result<(), FailedCall> {
        let mut first = self.start_prefill(plan, attempt_timeout);
        if let Ok(result) = timeout(delay, &mut first.result).await {
            return self.end_prefill(first, result);
        }
        self.hedge.close_prefill();
        let second = match self.decide_prefill_hedge(&first) {
            Some(Ok(second)) => second,
            denied => {
                if let Some(Err(denial)) = denied {
                    self.shared.metrics.count_hedge_denied(denial.label());
                }
                let result = (&mut first.result).await;
                return self.end_prefill(first, result);
            }
        };
        let waited = clock::now().since(first.started);
        self.on_hedge_sent(&first.plan.engine, &second.engine, waited, "prefill");
        let second = self.start_prefill(second, attempt_timeout);
        self.race_prefills(first, second).await
    }

    fn decide_prefill_hedge(&self, first: &PrefillCall) -> Option<Result<PrefillPlan, Denial>> {
        let service = self.service.as_ref()?;
        let prompt = self.incoming.prompt.as_ref()?;
        let waited = clock::now().since(first.started);
        let second = self.select(|selector, engines| {
            hedging::second_prefill(selector, engines, prompt, &first.plan.engine, waited)
        });
        let expected = second.as_ref().map_or(Duration::ZERO, |plan| {
            plan.total_time + self.handover(plan.total_time).unwrap_or_default()
        });
        let table = self.shared.view.load().table.clone();
        let path = self.incoming.uri.path();
        let now = clock::now();
        let mut traffic = self.shared.traffic();
        let candidate = HedgeCandidate {
            service,
            expected,
            left: self.incoming.time_left(),
            // Calls for a prefill are no attempts of the route; the budget limits them.
            has_attempts: true,
            is_current: hedging::leads_prefill_to(&table, &self.route, path, service),
            is_suspect: traffic.suspects.is_suspect(now, &self.incoming.identity),
            second,
        };
        let state = &mut *traffic;
        let decision = hedging::decide(now, candidate, &mut state.hedging.limiter, &mut state.budget);
        drop(traffic);
        if decision.is_ok() && !self.cover_second_prefill(first.arrivals) {
            return Some(Err(Denial::Budget));
        }
        if decision.is_ok() {
            self.shared.traffic().hedging.limiter.on_hedge(now, service);
        }
        Some(decision)
    }

    fn start_prefill(&mut self, plan: PrefillPlan, attempt_timeout: Option<Duration>) -> PrefillCall {
        self.record_prefill_sent(&plan);
        let job = self.begin_job(&plan.engine, plan.busy_time);
        let (shared, pool, incoming) = (self.shared.clone(), self.pool.clone(), self.incoming.clone());
        let sent_plan = plan.clone();
        let result =
            async move { call_prefill(&shared, &pool, &incoming, &sent_plan, attempt_timeout).await };
        PrefillCall {
            plan,
            started: clock::now(),
            arrivals: self.incoming.arrivals.get(),
            _job: job,
            result: result.boxed_local(),
        }
    }

    /// Waits until one of two engines delivers, and closes the connection to the other. If one fails, the other goes on.
    async fn race_prefills(
        &mut self,
        mut first: PrefillCall,
        mut second: PrefillCall,
    ) -> Result<(), FailedCall> {
        let (is_first, result) = tokio::select! {
            biased;
            result = &mut first.result => (true, result),
            result = &mut second.result => (false, result),
        };
        let (ended, mut other) = match is_first {
            true => (first, second),
            false => (second, first),
        };
        match self.end_prefill(ended, result) {
            Ok(()) => {
                self.count_prefill_race(is_first);
                self.close_prefill(other, !is_first);
                Ok(())
            }
            Err((engine, failure)) => {
                self.on_prefill_failure(&engine, &failure);
                let result = (&mut other.result).await;
                self.end_prefill(other, result)?;
                self.count_prefill_race(!is_first);
                Ok(())
            }
        }
    }

    fn count_prefill_race(&self, is_first: bool) {
        let result = if is_first { "lost" } else { "won" };
        self.shared.metrics.count_hedge(result);
    }

    fn end_prefill(
        &mut self,
        call: PrefillCall,
        result: Result<String, AttemptFailure>,
    ) -> Result<(), FailedCall> {
        self.record_prefill_time(&call.plan, call.started, &result);
        match result {
            Ok(name) => {
                self.on_prefilled(&call.plan, call.started, name);
                Ok(())
            }
            Err(failure) => Err((Box::new(call.plan.engine), failure)),
        }
    }

    /// Closes the connection to the engine that didn't deliver first, and has its result freed if it has arrived as well.
    /// The first engine counts with the time until now, and as silent if it has lost several times.
    fn close_prefill(&mut self, mut call: PrefillCall, is_first: bool) {
        match (&mut call.result).now_or_never() {
            Some(Ok(name)) => {
                let (shared, pool) = (self.shared.clone(), self.pool.clone());
                drop(PrefilledPrompt::new(shared, pool, call.plan.engine, name));
                return;
            }
            Some(Err(failure)) if failure.is_prefill_run() => {
                self.on_prefill_failure(&call.plan.engine, &failure);
                return;
            }
            Some(Err(_)) | None => {}
        }
        if !is_first {
            return;
        }
        let now = clock::now();
        let mut traffic = self.shared.traffic();
        traffic
            .hedging
            .prefills
            .on_prefill(now, &call.plan, now.since(call.started));
        let is_silent = traffic.hedging.races.on_lost(call.plan.engine.key);
        drop(traffic);
        if is_silent {
            let failure = AttemptFailure::silent("another engine computed the prefill first");
            self.on_prefill_failure(&call.plan.engine, &failure);
        } else {
            self.tried.push(call.plan.engine.key);
        }
    }
}
