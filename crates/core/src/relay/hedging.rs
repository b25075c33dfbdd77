//! Hedged requests: a request whose engine takes unusually long is sent to a second engine as well, and the first of the
//! two answers is used.
//!
//! Guards against a request that is late because its one engine is briefly slow, although other engines have free slots.
//! Only requests that may run more than once are hedged, and calls for prefills on each route. [`LatencyTracker`] says
//! what is unusually long on a route, [`PrefillTracker`] for a prefill,
//! [`HedgeLimiter`] limits the extra work, and [`decide`] checks the conditions. [`LostRaces`] recognises an engine that
//! has become silent: its requests are answered by others before it would be noticed.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::relay::budget::RetryBudget;
use crate::relay::engines::Engine;
use crate::relay::engines::EngineKey;
use crate::relay::engines::Stage;
use crate::relay::placement::EngineSelector;
use crate::relay::placement::PrefillPlan;
use crate::relay::prompt::Prompt;
use crate::relay::routes::Route;
use crate::relay::routes::RouteKind;
use crate::relay::routes::RoutingTable;
use crate::time::Time;

/// Highest ratio of hedges to requests that may be set. Beyond it, hedges load the engines more than slow answers do.
pub const MAX_RATIO: f64 = 0.2;

/// Quantile of a route's latency after which a request is hedged. A hedge is then wanted for one request in twenty.
const SLOW_QUANTILE: f64 = 0.95;

/// Number of answers from which a route's latency is known: with fewer, the quantile is that of the slowest answer.
const MIN_ANSWERS: usize = 30;

/// Maximum number of answers that are kept of a route. Of these, ten are beyond the quantile.
const MAX_ANSWERS: usize = 200;

/// Maximum age of an answer that counts. A route with one request in four seconds still has [`MIN_ANSWERS`].
const MAX_AGE: Duration = Duration::from_secs(120);

/// Number of hedges that an engine loses in a row, without any answer of its own, from which it counts as silent. With
/// one slow answer in twenty, a healthy engine loses as many in one of 8,000 cases.
const MAX_LOST_RACES: u32 = 3;

/// Whether requests of this kind may be hedged: they may run more than once, and nothing of the answer has been passed on
/// when they are.
pub fn is_eligible(kind: RouteKind) -> bool {
    match kind {
        RouteKind::Idempotent | RouteKind::Resumable => true,
        RouteKind::Once | RouteKind::Stream => false,
    }
}

/// Latency of the recent answers on a route, from the send to an engine to its answer or first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteLatency {
    /// Median.
    pub median: Duration,
    /// 95th percentile.
    pub slow: Duration,
}

/// What was measured of recent answers: their latencies, or their ratios to the latencies that were predicted.
#[derive(Debug, Clone, Default)]
struct Answers<T> {
    /// Oldest first.
    recent: VecDeque<(Time, T)>,
    /// The values of `recent`, in ascending order.
    sorted: Vec<T>,
}

impl<T: Copy + PartialOrd> Answers<T> {
    fn add(&mut self, now: Time, took: T) {
        if self.recent.len() == MAX_ANSWERS {
            self.remove_oldest();
        }
        self.recent.push_back((now, took));
        let index = self.sorted.partition_point(|other| *other < took);
        self.sorted.insert(index, took);
    }

    fn expire(&mut self, now: Time) {
        let is_expired = |oldest: Option<&(Time, T)>| oldest.is_some_and(|(at, _)| now.since(*at) > MAX_AGE);
        while is_expired(self.recent.front()) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, took)) = self.recent.pop_front() {
            let index = self.sorted.partition_point(|other| *other < took);
            self.sorted.remove(index);
        }
    }

    /// `None` if there are too few answers.
    fn quantile(&self, quantile: f64) -> Option<T> {
        if self.sorted.len() < MIN_ANSWERS {
            return None;
        }
        let rank = (quantile * self.sorted.len() as f64).ceil() as usize;
        self.sorted.get(rank.saturating_sub(1)).copied()
    }
}

impl Answers<Duration> {
    fn latency(&self) -> Option<RouteLatency> {
        Some(RouteLatency {
            median: self.quantile(0.5)?,
            slow: self.quantile(SLOW_QUANTILE)?,
        })
    }
}

/// Answers by the name of a route or service.
#[derive(Debug, Clone, Default)]
struct AnswersByName<T>(BTreeMap<String, Answers<T>>);

impl<T: Copy + Default + PartialOrd> AnswersByName<T> {
    fn add(&mut self, now: Time, name: &str, took: T) {
        if !self.0.contains_key(name) {
            // Forgets names that are no longer used, so that the memory is bounded by those in use.
            self.0.retain(|_, answers| {
                answers.expire(now);
                !answers.recent.is_empty()
            });
            self.0.insert(name.to_string(), Answers::default());
        }
        if let Some(answers) = self.0.get_mut(name) {
            answers.expire(now);
            answers.add(now, took);
        }
    }

    fn get(&mut self, now: Time, name: &str) -> Option<&Answers<T>> {
        let answers = self.0.get_mut(name)?;
        answers.expire(now);
        Some(answers)
    }
}

/// Latency of the recent answers of each route at this instance.
#[derive(Debug, Clone, Default)]
pub struct LatencyTracker {
    routes: AnswersByName<Duration>,
    /// Answers that are not streams, of all routes to each service.
    calls: AnswersByName<Duration>,
}

impl LatencyTracker {
    /// No answers.
    pub fn new() -> LatencyTracker {
        LatencyTracker::default()
    }

    /// Records that an engine took this long until its answer, or the first event of its stream. An engine whose
    /// connection was closed because the other one delivered first counts with the time until then.
    ///
    /// Guards against a percentile that falls with each hedge: if the slow answers that a hedge replaces were left out, the
    /// slowest of the others would be hedged next.
    pub fn on_answer(&mut self, now: Time, route: &str, took: Duration) {
        self.routes.add(now, route, took);
    }

    /// As [`Self::on_answer`], for an answer that is not a stream, by an engine of `service`: whether its request may run
    /// more than once or not.
    pub fn on_call(&mut self, now: Time, service: &str, took: Duration) {
        self.calls.add(now, service, took);
    }

    /// Latency of a route; `None` if there were too few answers recently.
    pub fn latency(&mut self, now: Time, route: &str) -> Option<RouteLatency> {
        self.routes.get(now, route)?.latency()
    }

    /// Latency of a route whose answers are not streams: its own, or that of all such routes to `service` if it had too
    /// few answers recently.
    ///
    /// Guards against calls that are never hedged: in a large fleet an instance gets less than one call in four seconds on
    /// a route, so that its own latency stays unknown. The same engines answer the calls of the other routes. Streams
    /// don't count, since the time to their first event is another quantity.
    pub fn call_latency(&mut self, now: Time, route: &str, service: &str) -> Option<RouteLatency> {
        let own = self.latency(now, route);
        own.or_else(|| self.calls.get(now, service)?.latency())
    }
}

/// Ratio of the time that recent calls for a prefill took to the time predicted for them, for each service at this
/// instance. The prediction depends on the prompt and the engine, so that prompts of all lengths can be compared.
#[derive(Debug, Clone, Default)]
pub struct PrefillTracker(AnswersByName<f64>);

impl PrefillTracker {
    /// No calls.
    pub fn new() -> PrefillTracker {
        PrefillTracker::default()
    }

    /// Records that a call for a prefill took this long until its result, or until its connection was closed because the
    /// engine was silent or another one delivered first.
    ///
    /// Calls for which a queue was predicted don't count: the queue depends on the reports of peers, and the percentile
    /// would be that of their delay.
    pub fn on_prefill(&mut self, now: Time, plan: &PrefillPlan, took: Duration) {
        let predicted = plan.total_time.as_secs_f64();
        if plan.queue_time.is_zero() && predicted > 0.0 {
            let service = &plan.engine.entry.service;
            self.0.add(now, service, took.as_secs_f64() / predicted);
        }
    }

    /// Time after which a call for a prefill counts as unusually slow; `None` if the service had too few calls recently.
    pub fn slow_after(&mut self, now: Time, plan: &PrefillPlan) -> Option<Duration> {
        let answers = self.0.get(now, &plan.engine.entry.service)?;
        let ratio = answers.quantile(SLOW_QUANTILE)?;
        Duration::try_from_secs_f64(plan.total_time.as_secs_f64() * ratio).ok()
    }
}

/// Limits on hedges.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeLimits {
    /// Hedges for each request, 0 to [`MAX_RATIO`]; 0 for none.
    pub ratio: f64,
    /// Length of the window in which both are counted.
    pub window: Duration,
}

#[derive(Debug, Clone, Default)]
struct ServiceCounts {
    requests: VecDeque<Time>,
    hedges: VecDeque<Time>,
}

/// Limits the hedges of each service to a ratio of its requests. Each instance counts its own, so that the sum over all
/// instances stays within the ratio.
#[derive(Debug, Clone)]
pub struct HedgeLimiter {
    limits: HedgeLimits,
    services: BTreeMap<String, ServiceCounts>,
}

impl HedgeLimiter {
    /// A limiter without any requests or hedges counted.
    pub fn new(limits: HedgeLimits) -> HedgeLimiter {
        HedgeLimiter {
            limits,
            services: BTreeMap::new(),
        }
    }

    /// Replaces the limits from now on.
    pub fn set_limits(&mut self, limits: HedgeLimits) {
        self.limits = limits;
    }

    /// Counts a request for `service`, whether it may be hedged or not.
    pub fn on_request(&mut self, now: Time, service: &str) {
        self.counts(now, service).requests.push_back(now);
    }

    /// Counts a hedge at `service`.
    pub fn on_hedge(&mut self, now: Time, service: &str) {
        self.counts(now, service).hedges.push_back(now);
    }

    /// Whether one more hedge at `service` is within the limit.
    pub fn has_room(&mut self, now: Time, service: &str) -> bool {
        let ratio = self.limits.ratio;
        let counts = self.counts(now, service);
        (counts.hedges.len() + 1) as f64 <= ratio * counts.requests.len() as f64
    }

    fn counts(&mut self, now: Time, service: &str) -> &mut ServiceCounts {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_string(), ServiceCounts::default());
        }
        let counts = self.services.get_mut(service).expect("it was just inserted");
        for times in [&mut counts.requests, &mut counts.hedges] {
            while times
                .front()
                .is_some_and(|at| now.since(*at) > self.limits.window)
            {
                times.pop_front();
            }
        }
        counts
    }
}

/// Hedges that each engine lost in a row, without any answer of its own.
///
/// Guards against an engine that hangs and is never avoided: other engines answer its requests before it counts as
/// silent, its connections are closed, and it looks idle.
#[derive(Debug, Clone, Default)]
pub struct LostRaces(BTreeMap<EngineKey, u32>);

impl LostRaces {
    /// Records that another engine delivered first. Returns whether the engine counts as silent.
    pub fn on_lost(&mut self, engine: EngineKey) -> bool {
        let lost = self.0.entry(engine).or_default();
        *lost = lost.saturating_add(1);
        *lost >= MAX_LOST_RACES
    }

    /// Records that an engine delivered.
    pub fn on_answer(&mut self, engine: EngineKey) {
        self.0.remove(&engine);
    }

    /// Discards what is known of engines for which `known` returns false.
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(EngineKey) -> bool,
    {
        self.0.retain(|engine, _| known(*engine));
    }
}

/// Everything that hedging keeps at an instance.
#[derive(Debug, Clone)]
pub struct Hedging {
    /// Latency of the recent answers.
    pub latencies: LatencyTracker,
    /// Duration of the recent calls for prefills.
    pub prefills: PrefillTracker,
    /// Limit on hedges.
    pub limiter: HedgeLimiter,
    /// Hedges that engines lost.
    pub races: LostRaces,
}

impl Hedging {
    /// The state of an instance that has had no requests.
    pub fn new(limits: HedgeLimits) -> Hedging {
        Hedging {
            latencies: LatencyTracker::new(),
            prefills: PrefillTracker::new(),
            limiter: HedgeLimiter::new(limits),
            races: LostRaces::default(),
        }
    }
}

/// Why a request is not hedged although its engine takes unusually long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The route allows no further attempt.
    Attempts,
    /// The current configuration no longer leads the route to the service, or not with repeats.
    Version,
    /// The request, or a part of its prompt, may have crashed an engine.
    Suspect,
    /// The time left is too short for an answer.
    Time,
    /// No other engine that may take the request has a free slot.
    Overload,
    /// The ratio of hedges to requests is reached.
    Limit,
    /// Less than half of the extra attempts that the budget allows would remain.
    Budget,
}

impl Denial {
    /// The value of the label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Denial::Attempts => "attempts",
            Denial::Version => "version",
            Denial::Suspect => "suspect",
            Denial::Time => "time",
            Denial::Overload => "overload",
            Denial::Limit => "limit",
            Denial::Budget => "budget",
        }
    }
}

/// What is known of a request, or a call for its prefill, whose engine takes unusually long.
#[derive(Debug, Clone)]
pub struct HedgeCandidate<'a, S = Engine> {
    /// The service chosen at its arrival.
    pub service: &'a str,
    /// Time that another engine is expected to take.
    pub expected: Duration,
    /// Time until it expires.
    pub left: Duration,
    /// Whether its route allows another attempt beside the running one.
    pub has_attempts: bool,
    /// Whether the current configuration leads it to its service, see [`leads_to`] and [`leads_prefill_to`].
    pub is_current: bool,
    /// Whether it, or a part of its prompt, may have crashed an engine.
    pub is_suspect: bool,
    /// The engine that would be sent it, see [`second_engine`] and [`second_prefill`].
    pub second: Option<S>,
}

/// Returns the second engine for a request, or the reason for not hedging. Nothing is counted.
///
/// # Errors
///
/// [`Denial`] if a condition doesn't hold.
pub fn decide<S>(
    now: Time,
    candidate: HedgeCandidate<'_, S>,
    limiter: &mut HedgeLimiter,
    budget: &mut RetryBudget,
) -> Result<S, Denial> {
    if !candidate.has_attempts {
        return Err(Denial::Attempts);
    }
    if !candidate.is_current {
        return Err(Denial::Version);
    }
    if candidate.is_suspect {
        return Err(Denial::Suspect);
    }
    if candidate.left < candidate.expected {
        return Err(Denial::Time);
    }
    let second = candidate.second.ok_or(Denial::Overload)?;
    if !limiter.has_room(now, candidate.service) {
        return Err(Denial::Limit);
    }
    // Half of the budget is left to the retries that follow failures.
    let remaining = budget.remaining(now, candidate.service) - 1.0;
    if remaining < budget.allowed(now, candidate.service) / 2.0 {
        return Err(Denial::Budget);
    }
    Ok(second)
}

/// Returns the engine that takes a request beside `first`: on another machine, of the same stage and software version,
/// healthy and with a free slot among the fraction `part` of its slots; preferably in another zone, and of those the one
/// with the shortest wait.
pub fn second_engine(
    selector: &EngineSelector<'_>,
    engines: &[Engine],
    first: &Engine,
    part: f64,
) -> Option<Engine> {
    let is_eligible = |e: &&Engine| {
        e.key != first.key
            && e.entry.address.ip() != first.entry.address.ip()
            && e.entry.stage == first.entry.stage
            && e.version == first.version
            && !selector.tried.contains(&e.key)
            && !selector.loads.is_avoided(selector.now, e.key)
            && !selector.loads.is_left_out(selector.now, e.key)
            && !selector.is_full(e, part)
    };
    let eligible: Vec<Engine> = engines.iter().filter(is_eligible).cloned().collect();
    let is_far = |e: &&Engine| e.entry.zone != first.entry.zone;
    let far: Vec<Engine> = eligible.iter().filter(is_far).cloned().collect();
    let preferred = if far.is_empty() { eligible } else { far };
    selector.least_loaded(&preferred).cloned()
}

/// Returns the engine that computes a prefill beside `first`, which has had the call for `waited`: the best one by
/// [`EngineSelector::choose_prefill`] that is healthy and on another machine. `None` if its queue is as long as the wait.
pub fn second_prefill(
    selector: &EngineSelector<'_>,
    engines: &[Engine],
    prompt: &Prompt,
    first: &Engine,
    waited: Duration,
) -> Option<PrefillPlan> {
    let mut tried = selector.tried.to_vec();
    tried.push(first.key);
    let selector = EngineSelector {
        tried: &tried,
        ..*selector
    };
    let is_eligible = |e: &&Engine| {
        e.entry.address.ip() != first.entry.address.ip() && !selector.loads.is_avoided(selector.now, e.key)
    };
    let eligible: Vec<Engine> = engines.iter().filter(is_eligible).cloned().collect();
    let plan = selector.choose_prefill(&eligible, Stage::Prefill, prompt)?;
    (plan.queue_time < waited).then_some(plan)
}

/// Whether a configuration leads the requests of `route` with this path to `service`, and lets them run more than once.
pub fn leads_to(table: &RoutingTable, route: &Route, path: &str, service: &str) -> bool {
    let current = table.find(&route.host, path);
    current.is_some_and(|current| is_eligible(current.kind) && has_target(&current, service))
}

/// As [`leads_to`], for calls for a prefill, which may be repeated on each route.
pub fn leads_prefill_to(table: &RoutingTable, route: &Route, path: &str, service: &str) -> bool {
    let current = table.find(&route.host, path);
    current.is_some_and(|current| has_target(&current, service))
}

fn has_target(route: &Route, service: &str) -> bool {
    let mut targets = route.targets.iter();
    targets.any(|target| target.service == service && target.weight > 0)
}
