//! Which engine gets a request.
//!
//! A prompt's shared parts cost more to read than all else, so its requests go where those parts were read before:
//! every instance works out the same home for a part by rendezvous hashing, without a message. The home is left when
//! the wait there is longer than reading the parts anew elsewhere takes.

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
use crate::time::Time;

/// What one request in progress counts when waits are compared: about the time of a batch's step, which every further
/// request makes longer.
const REQUEST_COST: Duration = Duration::from_micros(500);

/// How often the reading or fetching of shared parts anew counts besides this request's own wait, when engines are
/// compared. Under load an engine that reads them has no time for others, and memory that takes them in drops others'.
const CACHE_MISS_WEIGHT: f64 = 12.0;

/// How often reading parts that no engine keeps counts besides, elsewhere than at their home: with 1 an instance reads
/// at one engine what others read at the next in the same moment.
const OFF_HOME_WEIGHT: f64 = 12.0;

/// What another availability zone counts: half a round trip.
const CROSS_ZONE_COST: Duration = Duration::from_micros(750);

/// A mean rate of failures from which on an engine counts as failing, if others of its service are half as bad.
const FAILING_RATE: f64 = 0.3;

/// A prompt that an engine is to read.
#[derive(Debug, Clone, PartialEq)]
pub struct PrefillPlan {
    /// The engine.
    pub engine: Engine,
    /// What it has to read for it.
    pub work: PrefillWork,
    /// Tokens that it has to put into its memory for it.
    pub new_tokens: u32,
    /// How long that keeps it from others.
    pub busy_time: Duration,
    /// How long what it has to read before that takes.
    pub queue_time: Duration,
    /// How long it takes until the prompt is read, with all that is before it.
    pub total_time: Duration,
    /// The other engine that most probably keeps its shared parts.
    ///
    /// Failure guarded against: an engine leaves, or its home is avoided for a long queue, and parts of many thousand
    /// tokens are read again though an engine a few milliseconds away keeps them. An engine that is told whom to ask
    /// fetches what it lacks and reads only the rest; it is the home for all others, and for the home the engine that
    /// was the home before it came. Where nothing is kept the question costs nothing.
    pub fetch_from: Option<SocketAddr>,
}

/// Where an engine has the shared parts of a prompt from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PartSource {
    /// It keeps them.
    Cached,
    /// Another engine keeps them.
    Fetched,
    /// They have to be read.
    Prefilled,
}

/// What it would come to if an engine read a prompt.
struct Estimate<'e> {
    engine: &'e Engine,
    source: PartSource,
    queue_time: Duration,
    total_time: Duration,
    /// What it takes, and what the reading costs all others.
    cost: Duration,
}

/// What reading a prompt takes, where its shared parts are kept and elsewhere.
#[derive(Debug, Clone, Copy)]
struct PrefillCosts {
    fixed_latency: Duration,
    /// The request's own part.
    own_time: Duration,
    /// All of it.
    full_time: Duration,
    /// The engine where requests with these parts meet.
    home: Option<EngineKey>,
    /// How long fetching the parts takes, if an engine keeps them.
    fetch_time: Option<Duration>,
}

/// What a choice is made by.
#[derive(Debug, Clone, Copy)]
pub struct EngineSelector<'a> {
    /// Load and health.
    pub loads: &'a LoadTracker,
    /// Now.
    pub now: Time,
    /// Availability zone of this instance, or of the engine that holds the prompt.
    pub zone: &'a str,
    /// Engines that failed this request already.
    pub tried: &'a [EngineKey],
    /// Tokens that an engine's memory holds, if that is known.
    pub memory_tokens: Option<u64>,
    /// In how many turns all peers are told of a choice made here.
    pub report_turns: usize,
    /// Drawn for the request.
    pub tie_breaker: u64,
}

impl EngineSelector<'_> {
    /// The engine for a request without a prompt: a healthy one of the same zone with the least work.
    pub fn least_loaded<'e>(&self, engines: &'e [Engine]) -> Option<&'e Engine> {
        self.least_wait(engines.iter())
    }

    /// The engine that reads a prompt, of those at `stage`, and when it will have read it.
    pub fn choose_prefill(&self, engines: &[Engine], stage: Stage, prompt: &Prompt) -> Option<PrefillPlan> {
        let open = self.candidates(at_stage(engines, stage));
        let shared = prompt.shared();
        let homes = shared.map_or([None, None], |part| home_engines(&open, part.id));
        let keeps = |e: &Engine| {
            shared.is_some_and(|p| {
                self.loads
                    .cached_parts
                    .is_cached(self.now, e.key, p.id, self.memory_tokens)
            })
        };
        let keeper = homes
            .into_iter()
            .flatten()
            .chain(open.iter().copied())
            .find(|e| keeps(e));
        let pace = self.loads.prefill_model(&open.first()?.entry.service);
        let loads = [prompt.input, prompt.own_tokens()].map(|tokens| PrefillWork::new(prompt, tokens));
        let need = PrefillCosts {
            fixed_latency: pace.fixed_latency(),
            own_time: pace.busy_time(loads[1]),
            full_time: pace.busy_time(loads[0]),
            home: homes[0].map(|e| e.key),
            fetch_time: keeper.map(|e| self.loads.handover(self.now, e.key)),
        };
        let estimates = open.iter().map(|e| self.estimate(e, keeps(e), need));
        let best = estimates.min_by_key(|e| (e.cost, e.engine.key))?;
        // Where nobody is known to keep the parts, the home may all the same: asking it costs nothing.
        let mut sources = keeper.into_iter().chain(homes.into_iter().flatten());
        let source = sources.find(|e| e.key != best.engine.key && best.source != PartSource::Cached);
        let reads = usize::from(best.source != PartSource::Prefilled);
        Some(PrefillPlan {
            engine: best.engine.clone(),
            work: loads[reads],
            new_tokens: if best.source == PartSource::Cached {
                prompt.own_tokens()
            } else {
                prompt.input
            },
            busy_time: [need.full_time, need.own_time][reads],
            queue_time: best.queue_time,
            total_time: best.total_time,
            fetch_from: source.map(|e| e.entry.address),
        })
    }

    fn estimate<'e>(&self, engine: &'e Engine, keeps: bool, need: PrefillCosts) -> Estimate<'e> {
        let slowness = self.loads.slowness(self.now, engine.key);
        let before = self.loads.work(self.now, engine.key).prefill;
        let anew = need.full_time.saturating_sub(need.own_time);
        // What is read or fetched anew costs this request its time, and all behind it the engine's, or its memory. What
        // no engine keeps costs the same everywhere, but at home others find it without being told.
        let (parts, besides, weight) = match (keeps, need.fetch_time) {
            (true, _) => (PartSource::Cached, Duration::ZERO, 0.0),
            (false, Some(fetch)) if fetch < anew => (PartSource::Fetched, fetch, CACHE_MISS_WEIGHT),
            (false, Some(_)) => (PartSource::Prefilled, anew, CACHE_MISS_WEIGHT),
            (false, None) if need.home == Some(engine.key) => (PartSource::Prefilled, anew, 0.0),
            (false, None) => (PartSource::Prefilled, anew, OFF_HOME_WEIGHT),
        };
        let plain = need.fixed_latency + before + need.own_time + besides;
        let cost = match weight > 0.0 {
            true => plain + besides.mul_f64(weight),
            false => plain,
        };
        // Most engines are as fast as their service; the product takes a third of a choice's time.
        let [takes, cost] = match slowness == 1.0 {
            true => [plain, cost],
            false => [plain, cost].map(|time| time.mul_f64(slowness)),
        };
        Estimate {
            engine,
            source: parts,
            queue_time: before,
            total_time: takes,
            cost,
        }
    }

    /// The engine that generates, of those at `stage`.
    pub fn choose_decode<'e>(&self, engines: &'e [Engine], stage: Stage) -> Option<&'e Engine> {
        self.least_wait(at_stage(engines, stage))
    }

    /// The healthy engine with the least wait; of several with the same, where peers hear late of each other's choices, one
    /// that is drawn.
    ///
    /// Failure guarded against: of many instances each sends to the first of the idle engines, all to the same one, and
    /// requests wait there while the others stay idle.
    fn least_wait<'e, I>(&self, engines: I) -> Option<&'e Engine>
    where
        I: Iterator<Item = &'e Engine>,
    {
        let drawn = |e: &Engine| match self.report_turns {
            0 | 1 => 0,
            _ => hash_pair(e.hash, self.tie_breaker),
        };
        let open = self.candidates(engines);
        open.into_iter()
            .min_by_key(|e| (self.wait_time(e), drawn(e), e.key))
    }

    /// Whether an engine has `part` of the work that it can do at once.
    pub fn is_full(&self, engine: &Engine, part: f64) -> bool {
        let slots = f64::from(engine.entry.slots.max(1));
        f64::from(self.loads.work(self.now, engine.key).requests) >= slots * part
    }

    /// Healthy engines that were not tried yet; else those that were not tried; else none.
    fn candidates<'e, I>(&self, engines: I) -> Vec<&'e Engine>
    where
        I: Iterator<Item = &'e Engine>,
    {
        let fresh: Vec<&Engine> = engines.filter(|e| !self.tried.contains(&e.key)).collect();
        let failures = |e: &Engine| self.loads.failure_rate(self.now, e.key);
        let least = LazyCell::new(|| fresh.iter().map(|e| failures(e)).fold(1.0, f64::min));
        let healthy = |e: &Engine| {
            let failures = failures(e);
            !self.loads.is_avoided(self.now, e.key) && (failures < FAILING_RATE || failures < 2.0 * *least)
        };
        let sound: Vec<&Engine> = fresh.iter().copied().filter(|e| healthy(e)).collect();
        match sound.is_empty() {
            true => fresh,
            false => sound,
        }
    }

    /// The wait at an engine that generates.
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

/// The engine at which the requests with this part meet, and the one that takes its place when it goes: highest hash
/// of both, so that one engine's end moves only its own parts.
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
