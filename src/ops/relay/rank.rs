//! Leaves capacity to the more urgent requests of services whose routes differ in priority, and tells refused callers
//! when to return.

use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::poison::Fingerprint;
use sequoiastream_core::poison::suspects::RequestIdentity;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::placement::EngineSelector;
use sequoiastream_core::relay::placement::PrefillPlan;
use sequoiastream_core::relay::rank::MAX_LOAD_FACTOR;
use sequoiastream_core::relay::rank::RankedRequest;
use sequoiastream_core::relay::rank::Ranks;
use sequoiastream_core::relay::rank::SlotUse;
use sequoiastream_core::relay::return_schedule::RefusedCaller;

use crate::log_event;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::pick::decode_engine;
use crate::ops::relay::reply::Refusal;
use crate::ops::relay::reply::Reply;
use crate::ops::relay::reply::max_retry_after;
use crate::ops::relay::send::IncomingRequest;
use crate::ops::relay::shared::Shared;
use crate::ops::relay::versions::StreamVersion;
use crate::util::clock;

/// Reason of a refusal: the queues of prefills are as long as more urgent requests can bear.
const NO_QUEUE: &str = "the prefill queues are left to more urgent requests";

/// Reason of a refusal: the slots for requests of this priority are taken.
const NO_SLOT: &str = "no slots are left for its priority";

/// Whether this reason of a refusal is that capacity is left to more urgent requests.
pub(super) fn is_rank_reason(reason: &str) -> bool {
    [NO_QUEUE, NO_SLOT].contains(&reason)
}

impl ForwardedRequest {
    /// The priorities of the routes to the service, if they differ and the settings let requests go before others by them.
    fn ranks(&self) -> Option<&Ranks> {
        let is_enabled = self.shared.reloadable().priority_admission;
        let service = self.service.as_ref().filter(|_| is_enabled)?;
        self.view.table.differing_ranks(service)
    }

    /// As [`Self::ranks`], if one of them is more urgent than this request.
    fn outranking(&self) -> Option<&Ranks> {
        self.ranks().filter(|ranks| ranks.is_outranked(self.priority))
    }

    fn ranked_request(&self) -> RankedRequest {
        RankedRequest {
            priority: self.priority,
            is_return: self.is_return,
        }
    }

    /// Whether only some engines may continue the stream. Others can take the new ones, so it is not limited by rank.
    pub(super) fn is_bound(&self) -> bool {
        self.version != StreamVersion::Any
    }

    /// Fraction of an engine's slots up to which it is sent this stream, if its rank determines it.
    pub(super) fn ranked_part(&self) -> Option<f64> {
        let slot_use = match self.prefilled {
            Some(_) => SlotUse::Prefilled,
            None => SlotUse::Stream,
        };
        let ranks = self.ranks().filter(|_| !self.is_bound())?;
        Some(ranks.part(self.ranked_request(), slot_use))
    }

    /// Fraction of an engine's slots up to which it is sent this call.
    pub(super) fn call_part(&self) -> f64 {
        let is_fresh = self.attempts.sent() == 0;
        let ranks = self.ranks().filter(|_| is_fresh);
        ranks.map_or(MAX_LOAD_FACTOR, |ranks| {
            ranks.part(self.ranked_request(), SlotUse::Call)
        })
    }

    /// Whether a stream without a separate prefill gets a slot of this engine in time. Always true where ranks don't
    /// differ: there, such a stream is not sent to an engine without a free slot.
    pub(super) fn waits_in_time(&self, selector: &EngineSelector<'_>, engine: &Engine) -> bool {
        if self.prefilled.is_some() || self.ranks().is_none() || !selector.is_full(engine, 1.0) {
            return true;
        }
        let (loads, now) = (selector.loads, selector.now);
        let wait = loads.queue_time(now, engine.key, engine.entry.slots);
        self.is_on_time(wait + loads.handover(now, engine.key))
    }

    /// Whether a prefill is not to be computed, because more urgent requests need the queue or the slot that it would
    /// take; if so, records this as the reason of the refusal.
    pub(super) fn yields(&mut self, plan: &PrefillPlan) -> bool {
        let Some(ranks) = self.outranking().filter(|_| !self.is_bound()) else {
            return false;
        };
        if self.overdue().is_some() {
            return false;
        }
        let part = ranks.part(self.ranked_request(), SlotUse::Stream);
        let max_queue = ranks.max_queue(self.ranked_request());
        let reason = match max_queue.is_some_and(|max| plan.queue_time > max) {
            true => NO_QUEUE,
            false if self.has_slot(plan, part) => return false,
            false => NO_SLOT,
        };
        let expected = None;
        self.refusal = Some(Refusal { reason, expected });
        true
    }

    /// Whether the engine that is to generate the answer after this prefill is filled to less than `part` of its slots.
    fn has_slot(&self, plan: &PrefillPlan, part: f64) -> bool {
        let needs = self.stream_needs(part, plan.total_time);
        let free = self.select(|selector, engines| {
            let engine = match plan.engine.entry.stage {
                Stage::Prefill => decode_engine(selector, engines, &needs)?,
                Stage::Decode | Stage::Whole => &plan.engine,
            };
            (!selector.is_full(engine, part)).then_some(())
        });
        free.is_some()
    }

    /// The part of a queue of prefills that this request overtakes.
    pub(super) fn overtaken(&self, queue: Duration) -> Duration {
        match (self.ranks(), &self.service) {
            (Some(_), Some(service)) => {
                let traffic = self.shared.traffic();
                let part = traffic.rank_work.overtaken(clock::now(), service, self.priority);
                queue.mul_f64(part)
            }
            _ => Duration::ZERO,
        }
    }

    /// Counts a prefill that is sent to an engine for its priority.
    pub(super) fn record_rank(&self, plan: &PrefillPlan) {
        if let (Some(_), Some(service)) = (self.ranks(), &self.service) {
            let mut traffic = self.shared.traffic();
            traffic
                .rank_work
                .on_prefill(clock::now(), service, self.priority, plan.busy_time);
        }
    }

    /// The final answer `reply` of a request that found no room at the engines or would be late, with the time after
    /// which the caller is to return.
    pub(super) fn refuse_by_rank(&mut self, reply: Reply) -> Reply {
        let Reply::Refused(fallback) = reply else {
            return reply;
        };
        let (Some(_), Some(service)) = (self.ranks(), &self.service) else {
            return reply;
        };
        let caller = RefusedCaller {
            service,
            priority: self.priority,
            id: caller_id(&self.incoming),
            max: max_retry_after(self.incoming.time_left()),
            spread: self.draw as f64 / u64::MAX as f64,
            fallback,
        };
        let delay = self.shared.traffic().returns.tell(clock::now(), caller);
        if let Some(reason) = self.rank_refusal() {
            let expected = None;
            self.refusal = Some(Refusal { reason, expected });
            log_event!(info, log_event::OUTRANKED, request = self.id(), route = %self.route.name,
                priority = self.priority, why = reason, returns = self.is_return, delay = delay.as_millis() as u64);
        }
        reply.with_delay(delay)
    }

    /// Records that an engine was chosen for the request.
    pub(super) fn on_accepted(&self) {
        if let (Some(_), Some(service)) = (self.ranks(), &self.service) {
            let (id, mut traffic) = (caller_id(&self.incoming), self.shared.traffic());
            traffic
                .returns
                .on_accepted(clock::now(), service, self.priority, id);
        }
    }

    /// Counts the final answer in the metrics if the caller returned when told. Answers that say nothing about the
    /// capacity count as neither served nor refused.
    pub(super) fn count_return(&self, outcome: &str) {
        if !self.is_return {
            return;
        }
        match outcome {
            "answered" => self.shared.metrics.count_return("served"),
            "refused" | "expired" => self.shared.metrics.count_return("refused"),
            _ => {}
        }
    }

    /// Why this request is refused, if more urgent ones are the cause.
    fn rank_refusal(&self) -> Option<&'static str> {
        self.outranking()?;
        match self.refusal {
            Some(refusal) => [NO_QUEUE, NO_SLOT].into_iter().find(|r| *r == refusal.reason),
            None => {
                let untried = self.select(|selector, engines| selector.least_loaded(engines).map(|_| ()));
                untried.map(|()| NO_SLOT)
            }
        }
    }
}

/// Whether the caller was refused before and returns when told.
pub(super) fn is_return(shared: &Shared, incoming: &IncomingRequest, timeout: Duration) -> bool {
    let (id, left) = (caller_id(incoming), incoming.time_left());
    shared
        .traffic()
        .returns
        .is_return(clock::now(), id, left, timeout)
}

/// Identifies a request over its repetitions; one without a body, which many callers send, together with its caller.
fn caller_id(incoming: &IncomingRequest) -> Fingerprint {
    let RequestIdentity { any, caller, .. } = incoming.identity;
    caller.filter(|_| incoming.body.is_empty()).unwrap_or(any)
}
