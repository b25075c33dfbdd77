//! Estimates how many engines a service needs, from the work at its engines and from the requests that were refused.
//!
//! The leader knows the work of all instances at each engine at the time of their last reports. Requests that generate
//! take slots, and prefills keep their engine from other requests. Both are converted to engines, each at the load up to
//! which requests don't wait. A prefill takes about 25 ms, so a look twice a second sees only a sample of them: the
//! number of engines that compute one is averaged, while a backlog of prefills counts at once.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::relay::engines::Engine;
use crate::relay::engines::Stage;
use crate::relay::load_tracker::LoadTracker;
use crate::relay::load_tracker::Work;
use crate::time::Time;

/// Fraction of the slots that may be taken on average. A less urgent request is refused where more than three quarters
/// of an engine's slots are taken.
const SLOT_UTILIZATION: f64 = 0.75;

/// Fraction of the time in which an engine may compute prefills. Beyond it, a prefill waits on average for longer than
/// it takes.
const PREFILL_UTILIZATION: f64 = 0.6;

/// Weight of a new observation in the mean number of engines that compute a prefill: a time constant of two seconds
/// with two observations per second.
const PREFILL_GAIN: f64 = 0.25;

/// Time in which a backlog of prefills must be done if no route to the service has a latency target.
const DEFAULT_LATENCY: Duration = Duration::from_millis(200);

/// How long the highest need counts: demand swings with periods of 11 to 15 s.
pub const NEED_WINDOW: Duration = Duration::from_secs(15);

/// Half-life of the counts of requests and refusals.
const REFUSAL_HALF_LIFE: Duration = Duration::from_secs(5);

/// Served requests that are assumed before any is counted: the leader is one of many instances and may see a few
/// requests per second, of which a single refusal says little.
const ASSUMED_REQUESTS: f64 = 20.0;

/// Fraction of refused requests from which the engines that are present are taken to be too few, whatever their load.
const MIN_REFUSED: f64 = 0.05;

/// Limit of the fraction of refused requests in the estimate: engines are at most doubled in one step.
const MAX_REFUSED: f64 = 0.5;

/// Smallest fraction of the engines that a stage of a split service is taken to have.
const MIN_STAGE: f64 = 0.05;

/// Fractions of the engines of a split service that are at each stage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageSplit {
    /// Those that compute prefills for the others.
    pub prefill: f64,
    /// Those that generate.
    pub decode: f64,
}

/// Load of a service's engines at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Engines that are present.
    pub engines: u32,
    /// Engines whose slots the generating requests would fill.
    pub slots: f64,
    /// Engines that compute a prefill.
    pub prefilling: f64,
    /// Time that one engine needs for all outstanding prefills.
    pub backlog: Duration,
    /// How the engines are split into stages; `None` if each engine does both.
    pub split: Option<StageSplit>,
    /// Fraction of the recent requests that were refused for lack of capacity.
    pub refused: f64,
    /// Lowest latency target of the routes to the service; zero if there is none.
    pub latency: Duration,
    /// Whether the reports of the other instances are known.
    pub is_complete: bool,
}

impl ServiceLoad {
    /// Reads the load of `engines` from the work that is known of all instances. If some of them compute prefills for
    /// the others, `prefill_fraction` of them are to do so.
    ///
    /// The planned split is used instead of the present one: a new engine generates until it is ordered to compute
    /// prefills, and counting it would raise the need with each engine that starts. If fewer engines generate than
    /// planned, their present part counts, since an engine changes its stage only once.
    pub fn of(now: Time, loads: &LoadTracker, engines: &[Engine], prefill_fraction: f64) -> ServiceLoad {
        let is_split = engines.iter().any(|e| e.entry.stage == Stage::Prefill);
        let work = |engine: &Engine| loads.work(now, engine.key);
        let generating = || engines.iter().filter(|e| e.entry.stage != Stage::Prefill);
        let slots: u32 = generating().map(|e| e.entry.slots.max(1)).sum();
        let requests: u32 = generating().map(|e| work(e).requests).sum();
        let mean_slots = f64::from(slots) / generating().count().max(1) as f64;
        let decoding = generating().count() as f64 / engines.len().max(1) as f64;
        let split = StageSplit {
            prefill: prefill_fraction,
            decode: decoding.min(1.0 - prefill_fraction),
        };
        let reading: Vec<Work> = engines
            .iter()
            .filter(|e| !is_split || e.entry.stage == Stage::Prefill)
            .map(work)
            .filter(|work| !work.prefill.is_zero())
            .collect();
        ServiceLoad {
            engines: u32::try_from(engines.len()).unwrap_or(u32::MAX),
            slots: f64::from(requests) / mean_slots.max(1.0),
            prefilling: reading.len() as f64,
            backlog: reading.iter().map(|work| work.prefill).sum(),
            split: is_split.then_some(split),
            refused: 0.0,
            latency: Duration::ZERO,
            is_complete: true,
        }
    }

    /// Returns the number of engines at which requests wouldn't wait, given the mean number that compute a prefill.
    fn engines_needed(&self, prefilling: f64) -> f64 {
        let latency = match self.latency.is_zero() {
            true => DEFAULT_LATENCY,
            false => self.latency,
        };
        let backlog = self.backlog.as_secs_f64() / latency.as_secs_f64();
        let prefill = (prefilling / PREFILL_UTILIZATION).max(backlog);
        let decode = self.slots / SLOT_UTILIZATION;
        match self.split {
            Some(split) => (prefill / split.prefill.max(MIN_STAGE)).max(decode / split.decode.max(MIN_STAGE)),
            None => prefill.max(decode),
        }
    }

    fn refused(&self) -> f64 {
        self.refused.min(MAX_REFUSED)
    }

    /// Returns the number of engines below which more requests would be refused; zero while few are refused.
    pub fn shortage(&self) -> f64 {
        match self.refused >= MIN_REFUSED {
            true => f64::from(self.engines) / (1.0 - self.refused()),
            false => 0.0,
        }
    }
}

/// The highest of the recent values.
#[derive(Debug, Clone)]
pub struct RecentMax {
    window: Duration,
    /// Values that may still become the highest: each is lower than the one before it.
    values: VecDeque<(Time, f64)>,
}

impl RecentMax {
    /// No values yet; each counts for `window`.
    pub fn new(window: Duration) -> RecentMax {
        RecentMax {
            window,
            values: VecDeque::new(),
        }
    }

    /// Adds a value and returns the highest.
    pub fn push(&mut self, now: Time, value: f64) -> f64 {
        self.values.retain(|(at, _)| now.since(*at) <= self.window);
        while self.values.back().is_some_and(|(_, last)| *last <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
        self.values.front().map_or(value, |(_, highest)| *highest)
    }
}

/// Estimates the number of engines that a service needs from successive observations of its load.
#[derive(Debug, Clone)]
pub struct NeedTracker {
    prefilling: Option<f64>,
    recent: RecentMax,
    last: f64,
}

impl Default for NeedTracker {
    fn default() -> NeedTracker {
        NeedTracker {
            prefilling: None,
            recent: RecentMax::new(NEED_WINDOW),
            last: 0.0,
        }
    }
}

impl NeedTracker {
    /// Returns the need: the highest of the last [`NEED_WINDOW`]. While reports of other instances are missing, it is
    /// not lower than before.
    pub fn observe(&mut self, now: Time, load: &ServiceLoad) -> f64 {
        let mean = self.prefilling.unwrap_or(load.prefilling);
        let mean = mean + PREFILL_GAIN * (load.prefilling - mean);
        self.prefilling = Some(mean);
        let offered = load.engines_needed(mean) / (1.0 - load.refused());
        let value = match load.is_complete {
            true => offered,
            false => offered.max(self.last),
        };
        self.last = self.recent.push(now, value);
        self.last
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct RefusalCounts {
    at: Time,
    requests: f64,
    refused: f64,
}

impl RefusalCounts {
    fn decayed(self, now: Time) -> RefusalCounts {
        let passed = now.since(self.at).as_secs_f64();
        let weight = 0.5_f64.powf(passed / REFUSAL_HALF_LIFE.as_secs_f64());
        RefusalCounts {
            at: now,
            requests: self.requests * weight,
            refused: self.refused * weight,
        }
    }
}

/// The requests that this instance got, and those that it refused for lack of capacity, by service.
#[derive(Debug, Clone, Default)]
pub struct CapacityRefusals(BTreeMap<String, RefusalCounts>);

impl CapacityRefusals {
    /// Counts a request.
    pub fn on_request(&mut self, now: Time, service: &str) {
        self.update(now, service).requests += 1.0;
    }

    /// Counts a request that was refused for lack of capacity.
    pub fn on_refused(&mut self, now: Time, service: &str) {
        self.update(now, service).refused += 1.0;
    }

    /// Returns the fraction of the recent requests that were refused for lack of capacity.
    pub fn fraction(&self, now: Time, service: &str) -> f64 {
        let Some(counts) = self.0.get(service) else {
            return 0.0;
        };
        let counts = counts.decayed(now);
        counts.refused / (counts.requests.max(counts.refused) + ASSUMED_REQUESTS)
    }

    fn update(&mut self, now: Time, service: &str) -> &mut RefusalCounts {
        if !self.0.contains_key(service) {
            self.0.insert(service.to_string(), RefusalCounts::default());
        }
        let counts = self.0.entry(service.to_string()).or_default();
        *counts = counts.decayed(now);
        counts
    }
}
