//! Selects the engine for each request.
//!
//! Most of the cost of a prompt is the prefill of the parts it shares with other prompts, so a request goes to an
//! engine that has these parts cached. Every instance computes the same home engine for a part by rendezvous hashing,
//! without exchanging messages. A request leaves the home when the queue there takes longer than a prefill of the
//! shared parts elsewhere.

use std::cell::LazyCell;
use std::net::SocketAddr;
use std::time::Duration;

use crate::relay::engines::Engine;
use crate::relay::engines::EngineKey;
use crate::relay::engines::Stage;
use crate::relay::hash::hash_pair;
use crate::relay::load_tracker::LoadTracker;
use crate::relay::prefill_time::PrefillWork;
use crate::relay::prompt::Prompt;
use crate::relay::service_time::Occupancy;
use crate::relay::stream_needs::DecodeOption;
use crate::relay::stream_needs::StreamNeeds;
use crate::time::Time;

/// Cost of one request in progress when wait times are compared: about the duration of one batch step, which every
/// further request makes longer.
const REQUEST_COST: Duration = Duration::from_micros(500);

/// Weight of the time to compute or fetch shared parts again when engines are compared, in addition to this request's
/// own wait. Under load, an engine that computes them has no time for other requests, and storing them evicts parts
/// that other requests use.
const CACHE_MISS_WEIGHT: f64 = 12.0;

/// Weight of the time to compute parts that no engine has cached, if it is done elsewhere than at their home. With a
/// weight of 1, one instance has the parts computed at one engine while others have them computed at the next.
const OFF_HOME_WEIGHT: f64 = 12.0;

/// Cost of an engine in another availability zone: half a round trip.
const CROSS_ZONE_COST: Duration = Duration::from_micros(750);

/// Additional time of a request to an engine in another availability zone.
pub const CROSS_ZONE_ROUND_TRIP: Duration = Duration::from_micros(1_500);

/// Requests at a plain engine, as a multiple of its slots, from which it is chosen only if all others have as many: the
/// request would be refused.
const MAX_PLAIN_LOAD: f64 = 2.0;

/// Mean failure rate from which an engine counts as failing, provided that another engine of its service has at most
/// half of its rate.
const FAILING_RATE: f64 = 0.3;

/// A prefill that was assigned to an engine, with its expected times.
#[derive(Debug, Clone, PartialEq)]
pub struct PrefillPlan {
    /// The engine that computes the prefill.
    pub engine: Engine,
    /// Tokens that the engine has to process.
    pub work: PrefillWork,
    /// Tokens that the engine has to add to its cache.
    pub new_tokens: u32,
    /// Time for which the prefill keeps the engine from other requests.
    pub busy_time: Duration,
    /// Time until the engine has finished the prefills that are queued before this one.
    pub queue_time: Duration,
    /// Time until the prefill is complete, including the queue time.
    pub total_time: Duration,
    /// Another engine that most probably has the shared parts in its cache.
    ///
    /// Failure guarded against: an engine leaves, or a home is avoided because of its long queue, and many thousand
    /// tokens are computed again although an engine a few milliseconds away has them cached. An engine that is given
    /// this address fetches what it lacks and computes only the rest. If no engine is known to have the parts, the
    /// address is that of the home or, for the home itself, of the engine that was the home before it joined. If
    /// nothing is cached there, asking costs nothing.
    pub fetch_from: Option<SocketAddr>,
}

/// How an engine obtains the shared parts of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PartSource {
    /// They are in its cache.
    Cached,
    /// It fetches them from another engine's cache.
    Fetched,
    /// It computes them.
    Prefilled,
}

/// Expected times and cost of a prefill at one engine.
struct Estimate<'e> {
    engine: &'e Engine,
    source: PartSource,
    queue_time: Duration,
    total_time: Duration,
    /// Expected time of this request, plus what the prefill costs all other requests.
    cost: Duration,
}

/// Expected times of a prefill, with and without its shared parts cached.
#[derive(Debug, Clone, Copy)]
struct PrefillCosts {
    fixed_latency: Duration,
    /// Time for the tokens that no other request shares.
    own_time: Duration,
    /// Time for the whole prompt.
    full_time: Duration,
    /// Home engine of the shared part.
    home: Option<EngineKey>,
    /// Time to fetch the shared parts, if any engine has them cached.
    fetch_time: Option<Duration>,
}

/// Inputs to the choice of an engine for one request.
#[derive(Debug, Clone, Copy)]
pub struct EngineSelector<'a> {
    /// Load and health of the engines.
    pub loads: &'a LoadTracker,
    /// The current time.
    pub now: Time,
    /// Availability zone of this instance, or of the engine that holds the prompt.
    pub zone: &'a str,
    /// Engines at which this request failed already.
    pub tried: &'a [EngineKey],
    /// Tokens that an engine's memory holds, if known.
    pub memory_tokens: Option<u64>,
    /// Number of turns in which the load messages of this instance reach all its peers.
    pub report_turns: usize,
    /// Random value of this request, used to choose among equal engines.
    pub tie_breaker: u64,
}

impl EngineSelector<'_> {
    /// Returns the engine for a request without a prompt: a healthy one with the shortest expected time, where another
    /// availability zone costs a round trip. While no service times of the engines are known, as at model engines, it is
    /// the one with the shortest wait, where another zone counts as half a round trip. `None` if every engine has been
    /// tried.
    pub fn least_loaded<'e>(&self, engines: &'e [Engine]) -> Option<&'e Engine> {
        let times = &self.loads.service_times;
        let Some(usual) = times.usual(self.now, engines.iter().map(|e| e.key)) else {
            return self.least_wait(self.candidates(engines.iter()));
        };
        let candidates = self.candidates(engines.iter()).into_iter();
        candidates.min_by_key(|e| {
            let is_full = self.is_full(e, MAX_PLAIN_LOAD);
            (is_full, self.expected_time(e, usual), self.tie_rank(e), e.key)
        })
    }

    /// Returns the expected time until a plain engine has answered one more request.
    fn expected_time(&self, engine: &Engine, usual: f64) -> Duration {
        let occupancy = Occupancy {
            requests: self.loads.work(self.now, engine.key).requests + 1,
            slots: engine.entry.slots,
        };
        let times = &self.loads.service_times;
        let network = match engine.entry.zone == self.zone {
            true => Duration::ZERO,
            false => CROSS_ZONE_ROUND_TRIP,
        };
        times.expected(self.now, engine.key, usual, occupancy) + network
    }

    /// Returns the engine at `stage` that computes the prefill of `prompt`, with the expected times. `None` if every
    /// engine at this stage has been tried, or those that only compute prefills keep declining them.
    ///
    /// Failure guarded against: engines that only compute prefills decline each of them, the budget of extra attempts is
    /// used up by prompts that are tried there first, and callers are refused although engines that generate are free.
    pub fn choose_prefill(&self, engines: &[Engine], stage: Stage, prompt: &Prompt) -> Option<PrefillPlan> {
        let is_left_out = |e: &&Engine| stage == Stage::Prefill && self.loads.is_left_out(self.now, e.key);
        let candidates = self.candidates(at_stage(engines, stage).filter(|e| !is_left_out(e)));
        let shared = prompt.shared();
        let homes = shared.map_or([None, None], |part| home_engines(&candidates, part.id));
        let is_cached = |e: &Engine| {
            shared.is_some_and(|p| {
                self.loads
                    .cached_parts
                    .is_cached(self.now, e.key, p.id, self.memory_tokens)
            })
        };
        let holder = homes
            .into_iter()
            .flatten()
            .chain(candidates.iter().copied())
            .find(|e| is_cached(e));
        let model = self.loads.prefill_model(&candidates.first()?.entry.service);
        let work = [prompt.input, prompt.own_tokens()].map(|tokens| PrefillWork::new(prompt, tokens));
        let costs = PrefillCosts {
            fixed_latency: model.fixed_latency(),
            own_time: model.busy_time(work[1]),
            full_time: model.busy_time(work[0]),
            home: homes[0].map(|e| e.key),
            fetch_time: holder.map(|e| self.loads.handover(self.now, e.key)),
        };
        let estimates = candidates.iter().map(|e| self.estimate(e, is_cached(e), costs));
        let best = estimates.min_by_key(|e| (e.cost, e.engine.key))?;
        // If no engine is known to have the parts cached, the home may have them nevertheless: asking it costs
        // nothing.
        let mut sources = holder.into_iter().chain(homes.into_iter().flatten());
        let source = sources.find(|e| e.key != best.engine.key && best.source != PartSource::Cached);
        let without_shared = usize::from(best.source != PartSource::Prefilled);
        Some(PrefillPlan {
            engine: best.engine.clone(),
            work: work[without_shared],
            new_tokens: if best.source == PartSource::Cached {
                prompt.own_tokens()
            } else {
                prompt.input
            },
            busy_time: [costs.full_time, costs.own_time][without_shared],
            queue_time: best.queue_time,
            total_time: best.total_time,
            fetch_from: source.map(|e| e.entry.address),
        })
    }

    fn estimate<'e>(&self, engine: &'e Engine, is_cached: bool, costs: PrefillCosts) -> Estimate<'e> {
        let slowness = self.loads.slowness(self.now, engine.key);
        let queue_time = self.loads.work(self.now, engine.key).prefill;
        let shared_time = costs.full_time.saturating_sub(costs.own_time);
        // Parts that are computed or fetched again delay this request, and they cost the requests behind it time or
        // memory of the engine. Parts that no engine has cached cost the same everywhere, but at the home other
        // instances find them without being told.
        let (source, extra_time, weight) = match (is_cached, costs.fetch_time) {
            (true, _) => (PartSource::Cached, Duration::ZERO, 0.0),
            (false, Some(fetch)) if fetch < shared_time => (PartSource::Fetched, fetch, CACHE_MISS_WEIGHT),
            (false, Some(_)) => (PartSource::Prefilled, shared_time, CACHE_MISS_WEIGHT),
            (false, None) if costs.home == Some(engine.key) => (PartSource::Prefilled, shared_time, 0.0),
            (false, None) => (PartSource::Prefilled, shared_time, OFF_HOME_WEIGHT),
        };
        let expected = costs.fixed_latency + queue_time + costs.own_time + extra_time;
        let cost = match weight > 0.0 {
            true => expected + extra_time.mul_f64(weight),
            false => expected,
        };
        // Most engines are as fast as the mean of their service. Skip the multiplication for them: it takes a third of
        // the time of a choice.
        let [total_time, cost] = match slowness == 1.0 {
            true => [expected, cost],
            false => [expected, cost].map(|time| time.mul_f64(slowness)),
        };
        Estimate {
            engine,
            source,
            queue_time,
            total_time,
            cost,
        }
    }

    /// Returns the engine at `stage` that generates the answer: the one with the shortest wait of those whose pace suits
    /// the stream. `None` if every engine at this stage has been tried.
    pub fn choose_decode<'e>(
        &self,
        engines: &'e [Engine],
        stage: Stage,
        needs: &StreamNeeds,
    ) -> Option<&'e Engine> {
        let candidates = self.candidates(at_stage(engines, stage));
        match self.suitable(&candidates, needs) {
            Some(suitable) => self.least_wait(suitable),
            None => self.least_wait(candidates),
        }
    }

    /// Returns those of the engines whose pace suits a stream; `None` if pace makes no difference.
    fn suitable<'e>(&self, engines: &[&'e Engine], needs: &StreamNeeds) -> Option<Vec<&'e Engine>> {
        if needs.gap_target.is_zero() {
            return None;
        }
        let service = &engines.first()?.entry.service;
        let paces = self.loads.event_pace.differing(self.now, service)?;
        let options = engines.iter().map(|engine| DecodeOption {
            engine,
            alone: paces.interval(engine.key),
            requests: self.loads.work(self.now, engine.key).requests,
        });
        needs.suitable(paces, &options.collect::<Vec<_>>())
    }

    /// Returns the engine with the shortest wait. Ties are broken at random if peers learn of each other's
    /// choices with a delay.
    ///
    /// Failure guarded against: many instances each send to the first of the idle engines, which is the same one for
    /// all, and requests wait there while the other engines stay idle.
    fn least_wait<'e>(&self, engines: Vec<&'e Engine>) -> Option<&'e Engine> {
        engines
            .into_iter()
            .min_by_key(|e| (self.wait_time(e), self.tie_rank(e), e.key))
    }

    /// Returns the rank of an engine among equal ones.
    fn tie_rank(&self, engine: &Engine) -> u64 {
        match self.report_turns {
            0 | 1 => 0,
            _ => hash_pair(engine.hash, self.tie_breaker),
        }
    }

    /// Whether the requests at an engine fill at least the fraction `part` of its slots.
    pub fn is_full(&self, engine: &Engine, part: f64) -> bool {
        let slots = f64::from(engine.entry.slots.max(1));
        f64::from(self.loads.work(self.now, engine.key).requests) >= slots * part
    }

    /// Returns the healthy engines that have not been tried yet. If there are none, returns the unhealthy ones that
    /// have not been tried; the result is empty if all have been tried.
    fn candidates<'e, I>(&self, engines: I) -> Vec<&'e Engine>
    where
        I: Iterator<Item = &'e Engine>,
    {
        let untried: Vec<&Engine> = engines.filter(|e| !self.tried.contains(&e.key)).collect();
        let failure_rate = |e: &Engine| self.loads.failure_rate(self.now, e.key);
        let lowest = LazyCell::new(|| untried.iter().map(|e| failure_rate(e)).fold(1.0, f64::min));
        let is_healthy = |e: &Engine| {
            let failure_rate = failure_rate(e);
            !self.loads.is_avoided(self.now, e.key)
                && (failure_rate < FAILING_RATE || failure_rate < 2.0 * *lowest)
        };
        let healthy: Vec<&Engine> = untried.iter().copied().filter(|e| is_healthy(e)).collect();
        match healthy.is_empty() {
            true => untried,
            false => healthy,
        }
    }

    /// Returns the expected wait at an engine that generates.
    fn wait_time(&self, engine: &Engine) -> Duration {
        let work = self.loads.work(self.now, engine.key);
        let zone = if engine.entry.zone == self.zone {
            Duration::ZERO
        } else {
            CROSS_ZONE_COST
        };
        work.prefill + REQUEST_COST * work.requests + zone
    }
}

fn at_stage(engines: &[Engine], stage: Stage) -> impl Iterator<Item = &Engine> {
    engines.iter().filter(move |e| e.entry.stage == stage)
}

/// Returns the home engine of a part, and the engine that becomes its home if the first one leaves: those with the
/// highest hash of engine and part, so that the loss of one engine moves only its own parts.
fn home_engines<'e>(engines: &[&'e Engine], part: u64) -> [Option<&'e Engine>; 2] {
    let rank = |e: &Engine| (hash_pair(e.hash, part), e.key);
    let mut best: [Option<&Engine>; 2] = [None, None];
    for engine in engines {
        match best {
            [Some(first), _] if rank(engine) < rank(first) => {
                if best[1].is_none_or(|second| rank(engine) > rank(second)) {
                    best[1] = Some(engine);
                }
            }
            [first, _] => best = [Some(engine), first],
        }
    }
    best
}
