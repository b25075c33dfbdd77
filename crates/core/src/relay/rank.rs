//! Which requests go first at a service whose routes differ in priority.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::decaying_sum::DecayingSum;
use crate::time::Time;

/// Maximum number of requests at an engine, as a multiple of its slots: for each request in a slot, one more may wait.
pub const MAX_LOAD_FACTOR: f64 = 2.0;

/// Fraction of an engine's slots up to which it accepts the least urgent requests. Long answers hold a slot for
/// seconds; if no slots were reserved, more urgent requests would wait for them.
pub const LEAST_URGENT_PART: f64 = 0.75;

/// Fraction of the latency target of more urgent requests that less urgent ones may fill with queued prefills. The rest
/// is for the urgent request's own prefill and the handover.
const QUEUE_PART: f64 = 0.5;

/// As [`QUEUE_PART`], for callers that return when told.
const RETURN_QUEUE_PART: f64 = 0.6;

/// Half-life of the prefill time by priority: long enough for an instance that sees an urgent request every two seconds.
const WORK_HALF_LIFE: Duration = Duration::from_secs(5);

/// Maximum fraction of a queue that a more urgent request overtakes: the prefill in progress is not interrupted.
const MAX_OVERTAKEN: f64 = 0.9;

/// Least urgent priority that engines accept in the header of a request.
const MAX_ENGINE_PRIORITY: u8 = 9;

/// What a request does with a slot of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUse {
    /// A call, which holds it for a short time and may wait for it.
    Call,
    /// A stream, whose prefill has not been computed.
    Stream,
    /// A stream whose prefill has been computed by another engine, in vain if it is refused.
    Prefilled,
}

/// What determines the turn of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankedRequest {
    /// Priority of its workspace or route; 0 is served first.
    pub priority: u8,
    /// Whether it was refused before and returns when told. It goes before a fresh one of its rank.
    pub is_return: bool,
}

/// The priorities of the routes to one service, each with the shortest latency target of its routes; zero if none has
/// one.
#[derive(Debug, Clone, Default)]
pub struct Ranks(BTreeMap<u8, Duration>);

impl Ranks {
    /// Adds a route with this priority and latency target; a target of zero is none.
    pub fn add(&mut self, priority: u8, target: Duration) {
        let shortest = self.0.entry(priority).or_default();
        *shortest = match shortest.is_zero() || target.is_zero() {
            true => target.max(*shortest),
            false => target.min(*shortest),
        };
    }

    /// Whether there are routes with different priorities.
    pub fn differ(&self) -> bool {
        self.0.len() > 1
    }

    /// Whether a route is more urgent than a request of this `priority`.
    pub fn is_outranked(&self, priority: u8) -> bool {
        self.0.range(..priority).next().is_some()
    }

    /// Fraction of an engine's slots up to which it is sent such a request; above 1, requests wait.
    ///
    /// The part of the most urgent requests is the largest for every use, so that none is refused for lack of a slot
    /// where a less urgent one is served. Ranks between the first and the last are spread evenly; a caller that
    /// returns gets half a step more.
    pub fn part(&self, request: RankedRequest, slot_use: SlotUse) -> f64 {
        if !self.is_outranked(request.priority) {
            return MAX_LOAD_FACTOR;
        }
        let last = self.0.len().saturating_sub(1).max(1);
        let rank = self.0.range(..request.priority).count().min(last);
        let steps = rank as f64 - if request.is_return { 0.5 } else { 0.0 };
        let share = 1.0 - (1.0 - LEAST_URGENT_PART) * steps / last as f64;
        match slot_use {
            SlotUse::Call => MAX_LOAD_FACTOR * share,
            SlotUse::Stream => share,
            SlotUse::Prefilled => 1.0,
        }
    }

    /// Maximum queue of prefills at an engine to which that of such a request is added; `None` if no route that is more
    /// urgent has a latency target. Does not depend on the prompt's size, so that the longest prompts are not refused
    /// for ever.
    pub fn max_queue(&self, request: RankedRequest) -> Option<Duration> {
        let targets = self.0.range(..request.priority).map(|(_, target)| *target);
        let shortest = targets.filter(|target| !target.is_zero()).min()?;
        let part = match request.is_return {
            true => RETURN_QUEUE_PART,
            false => QUEUE_PART,
        };
        Some(shortest.mul_f64(part))
    }
}

/// Prefill time that this instance recently sent to the engines of each service, by priority.
#[derive(Debug, Clone, Default)]
pub struct RankWork(BTreeMap<String, BTreeMap<u8, DecayingSum>>);

impl RankWork {
    /// Adds a prefill that occupies an engine for `busy`.
    pub fn on_prefill(&mut self, now: Time, service: &str, priority: u8, busy: Duration) {
        let work = self.0.entry(service.to_string()).or_default();
        let seconds = work.entry(priority).or_default();
        seconds.add(now, WORK_HALF_LIFE, busy.as_secs_f64());
    }

    /// Fraction of the queues of prefills that a request of this `priority` overtakes, since engines admit more urgent
    /// ones first. Load reports tell the length of queues, but not the priorities in them: those of this instance stand
    /// for those of all.
    ///
    /// Guards against urgent requests that are refused as late because of a queue that they don't wait for.
    pub fn overtaken(&self, now: Time, service: &str, priority: u8) -> f64 {
        let Some(work) = self.0.get(service) else {
            return 0.0;
        };
        let seconds = |sum: &DecayingSum| sum.value(now, WORK_HALF_LIFE);
        let all: f64 = work.values().map(seconds).sum();
        let less_urgent = work.iter().filter(|(p, _)| **p > priority);
        let less_urgent: f64 = less_urgent.map(|(_, sum)| seconds(sum)).sum();
        match all > 0.0 {
            true => (less_urgent / all).min(MAX_OVERTAKEN),
            false => 0.0,
        }
    }
}

/// The priority that engines are told of a request.
pub fn engine_priority(priority: u8) -> u8 {
    priority.min(MAX_ENGINE_PRIORITY)
}
