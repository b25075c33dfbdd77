//! What follows the end of an attempt: its records, and whether another attempt may be made.

use std::time::Duration;

use sequoiastream_core::attempt::End;
use sequoiastream_core::attempt::NextStep;
use sequoiastream_core::log_event;
use sequoiastream_core::poison::suspects::RequestIdentity;
use sequoiastream_core::poison::suspects::Verdict;
use sequoiastream_core::relay::arrivals::Arrivals;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::retry;

use crate::log_event;
use crate::ops::relay::attempt::ActiveAttempt;
use crate::ops::relay::connect;
use crate::ops::relay::failure::AttemptFailure;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::pick::MAX_LOAD_FACTOR;
use crate::ops::relay::reply::Refusal;
use crate::ops::relay::reply::Reply;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

impl ForwardedRequest {
    /// Counts the end of an attempt in the metrics and in the health of its engine.
    ///
    /// Closes the idle connections of an engine that didn't answer. Guards against sending further requests on
    /// connections that hang.
    pub fn record_end(&self, engine: &Engine, end: End) {
        self.shared.metrics.count_attempt(end.label());
        self.shared
            .traffic()
            .load
            .on_attempt_end(clock::now(), engine.key, end);
        if end == End::Silent {
            self.pool.close_idle(engine.entry.address, None);
        }
    }

    pub(super) fn log_failure(&self, engine: &Engine, failure: &AttemptFailure, call: &str) {
        let evidence = failure.evidence();
        log_event!(info, log_event::ATTEMPT_FAILED, request = self.id(), route = %self.route.name,
            engine = %engine.entry.id, end = ?failure.end(), why = failure.reason(), call,
            status = evidence.map(|e| e.status), confirmed = evidence.map(|e| e.is_confirmed),
            id = evidence.map(|e| e.id.label()), prior = evidence.map(|e| e.prior.label()),
            fingerprint = %self.incoming.identity.any, parts = self.incoming.shared_parts());
    }

    /// Handles a failed attempt. Returns `None` if another attempt may follow, otherwise the final answer.
    pub fn on_failure(&mut self, engine: &Engine, failure: &AttemptFailure) -> Option<Reply> {
        self.record_failure(engine, failure);
        self.tried.push(engine.key);
        match self.may_retry(failure.end()) {
            true => None,
            false => Some(self.give_up()),
        }
    }

    /// Handles the failure of an attempt before it was sent. Returns `None` if another attempt may follow, otherwise the final
    /// answer.
    pub(super) fn on_connect_failure(&mut self, engine: &Engine, failure: &AttemptFailure) -> Option<Reply> {
        self.record_failure(engine, failure);
        self.tried.push(engine.key);
        let next = self.attempts.on_unsent();
        match self.may_follow(next) {
            true => None,
            false => Some(self.give_up()),
        }
    }

    /// Handles the failure of an attempt that has already been counted because its engine was silent. Returns `None` if
    /// another attempt may follow, otherwise the final answer.
    pub(super) fn on_failure_after_silence(
        &mut self,
        engine: &Engine,
        failure: &AttemptFailure,
    ) -> Option<Reply> {
        self.record_failure(engine, failure);
        match self.may_follow(self.attempts.next_step()) {
            true => None,
            false => Some(self.give_up()),
        }
    }

    pub(super) fn record_failure(&mut self, engine: &Engine, failure: &AttemptFailure) {
        self.log_failure(engine, failure, "send");
        self.ends.push(failure.end().label());
        self.last_failure = Some((engine.entry.id.clone(), failure.reason().to_string()));
        self.record_end(engine, failure.end());
        self.check_crash(engine, failure.end());
    }

    /// Starts to check whether an engine that broke off this request has ended, and records it if so: the request may
    /// have crashed it.
    pub(super) fn check_crash(&self, engine: &Engine, end: End) {
        if end != End::Broken {
            return;
        }
        let (shared, pool, engine) = (self.shared.clone(), self.pool.clone(), engine.clone());
        // An engine that ends after it, or another one, began to answer has ended for another reason.
        let request = match self.answer_begun {
            true => self.incoming.identity.without_parts(),
            false => self.incoming.identity.clone(),
        };
        shared.traffic().suspects.on_check_started(&request);
        actix_rt::spawn(async move {
            let has_ended = connect::has_ended(&shared, &pool, &engine).await;
            on_checked(&shared, &engine, &request, has_ended);
        });
    }

    /// Returns the final answer if no engine may run the request, because it or a part of its prompt crashes the engines
    /// that do. Waits for checks of which that depends.
    pub(super) async fn check_blocked(&mut self) -> Result<(), Reply> {
        loop {
            let shared = self.shared.clone();
            let checked = shared.checked.notified();
            let verdict = shared
                .traffic()
                .suspects
                .verdict(clock::now(), &self.incoming.identity);
            match verdict {
                Verdict::Allowed => return Ok(()),
                Verdict::Pending => checked.await,
                Verdict::Blocked => return Err(Reply::Convicted),
                Verdict::PartBlocked => return Err(self.refuse_part()),
            }
        }
    }

    /// Returns the final answer if a part of the prompt was blocked since the request was checked. Must be called right
    /// before the request is sent to the engine that is to answer it.
    pub(super) fn begin_run(&mut self) -> Result<(), Reply> {
        let identity = &self.incoming.identity;
        let may_run = self.shared.traffic().suspects.begin_run(clock::now(), identity);
        match may_run {
            true => Ok(()),
            false => Err(self.refuse_part()),
        }
    }

    fn refuse_part(&mut self) -> Reply {
        let reason = "a part of its prompt crashes engines";
        self.refuse_because(reason)
    }

    /// The final answer of a request that is refused for this reason.
    fn refuse_because(&mut self, reason: &'static str) -> Reply {
        let expected = None;
        self.refusal = Some(Refusal { reason, expected });
        self.give_up()
    }

    /// Records that an engine answered the request completely, with a success or with an error of its own.
    pub(super) fn record_completion(&self, engine: &Engine, end: End) {
        self.record_end(engine, end);
        let mut traffic = self.shared.traffic();
        traffic
            .suspects
            .on_completed(clock::now(), &self.incoming.identity);
    }

    /// Records an attempt that was cancelled before its result was known, and discards its prefill and its reservation.
    /// The engine may have run the request.
    pub(super) fn on_attempt_cancelled(&mut self) {
        self.attempts.on_end(End::Silent);
        self.prefilled = None;
        self.reserved = None;
    }

    /// Abandons an engine that answered with a server error before any of its answer was passed on, so that the request
    /// can be sent to another one.
    pub(super) fn switch_engine(&mut self, attempt: ActiveAttempt) {
        let engine = attempt.engine().clone();
        let failure = AttemptFailure::failed("the engine answered with a server error");
        self.log_failure(&engine, &failure, "send");
        self.record_completion(&engine, End::Failed);
        self.tried.push(engine.key);
        attempt.finish(&self.pool);
    }

    /// Whether another attempt may follow one that ended with `end`. Depends on whether the request may have run, and
    /// on the instance's share of the budget of extra attempts.
    pub(super) fn may_retry(&mut self, end: End) -> bool {
        let next = self.attempts.on_end(end);
        self.may_follow(next)
    }

    fn may_follow(&self, next: NextStep) -> bool {
        next == NextStep::Retry && !self.incoming.time_left().is_zero() && self.cover_request()
    }

    /// How long to wait for an answer that is expected after `expected` before asking another engine. `None` if no
    /// further attempt may follow, so that only the request's own time limit applies.
    ///
    /// Failure guarded against: an engine accepts a request and never answers, and all of the caller's time is spent
    /// waiting for it.
    pub fn attempt_timeout(&self, expected: Duration) -> Option<Duration> {
        let left = self.incoming.time_left();
        let may_retry = self.attempts.allows_another();
        may_retry.then(|| retry::first_token_timeout(left, expected, 0))
    }

    /// The final answer if the budget of extra attempts has none left for the first send of the request, because an
    /// engine has rejected a call for its prefill.
    pub(super) fn refuse_uncovered(&mut self) -> Reply {
        self.refuse_because("the budget of extra attempts is exhausted")
    }

    /// Takes an extra attempt from the budget in advance, for a retry at another engine than `engine`; `false` if there
    /// is no such engine with room, or the budget is exhausted.
    pub(super) fn reserve_extra_attempt(&self, engine: &Engine) -> bool {
        let is_other = |e: &&Engine| {
            e.key != engine.key && e.entry.stage == engine.entry.stage && !self.tried.contains(&e.key)
        };
        let other = self.select(|selector, engines| {
            let mut others = engines.iter().filter(is_other);
            others.find(|e| !selector.is_full(e, MAX_LOAD_FACTOR)).map(|_| ())
        });
        other.is_some() && self.cover_request()
    }

    /// Takes what one more send of the request needs from the budget of extra attempts that all instances share. Returns
    /// `false` if the budget is exhausted. What was taken and not used remains for the next send.
    pub(super) fn cover_request(&self) -> bool {
        self.take_extra_attempts(self.incoming.arrivals.get().due_for_request())
    }

    /// As [`Self::cover_request`], for a call for the prefill and the request that follows it.
    pub(super) fn cover_prefill(&self) -> bool {
        self.take_extra_attempts(self.incoming.arrivals.get().due_for_prefill())
    }

    /// As [`Self::cover_prefill`], for a call beside one that was begun at `before`.
    pub(super) fn cover_second_prefill(&self, before: Arrivals) -> bool {
        self.take_extra_attempts(self.incoming.arrivals.get().due_for_second_prefill(before))
    }

    fn take_extra_attempts(&self, count: u32) -> bool {
        (0..count).all(|_| self.take_extra_attempt())
    }

    fn take_extra_attempt(&self) -> bool {
        let Some(service) = &self.service else {
            return false;
        };
        let allowed = self.shared.traffic().budget.try_take(clock::now(), service);
        self.shared.metrics.count_extra(allowed);
        if allowed {
            self.incoming.update_arrivals(Arrivals::on_taken);
        }
        allowed
    }
}

/// Records whether an engine that broke off `request` has ended.
fn on_checked(shared: &Shared, engine: &Engine, request: &RequestIdentity, has_ended: bool) {
    let now = clock::now();
    let mut traffic = shared.traffic();
    traffic.suspects.on_check_ended(request);
    if has_ended {
        let incarnation = engine.incarnation().hash();
        traffic.suspects.on_crash(now, request, incarnation);
    }
    let crashes = traffic.suspects.crashes(now, request);
    drop(traffic);
    shared.checked.notify_waiters();
    if has_ended {
        shared.crashes_changed.notify_one();
        log_event!(warn, log_event::ENGINE_CRASHED, engine = %engine.entry.id, fingerprint = %request.any, crashes);
    }
}
