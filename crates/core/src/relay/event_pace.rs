//! The pace at which engines deliver the events of streams.
//!
//! Engines of one service may differ in speed by a factor of two, and some stall. A long stream whose route limits the
//! pauses between events is on time only at an engine that is fast enough even during a stall. This module learns two
//! things from the intervals between events: the recent mean of each engine, and, for each service, how far single
//! intervals exceed the mean of their engine. Their product is the pause that a stream has to expect.
//!
//! The time of a step grows with the number of requests at the engine, so intervals are kept as they would be without
//! other requests, and a prediction is made for a given number of requests.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use crate::relay::engine_map::EngineMap;
use crate::relay::engines::Engine;
use crate::relay::engines::EngineKey;
use crate::relay::interval_spread::IntervalSpread;
use crate::relay::pace_reports::DueMessage;
use crate::relay::pace_reports::PaceRecord;
use crate::relay::pace_reports::PaceReports;
use crate::time::Time;

/// Half-life of observations. Longer than a stall of an engine, so that a stall doesn't change the mean by much, and
/// short enough to notice within seconds that an engine has become slow.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Number of observations that together have the weight of the service's median in an engine's expected interval.
const PRIOR_WEIGHT: f64 = 4.0;

/// Maximum weight of an engine's earlier observations. It limits rounding errors only: a busy engine has a few hundred
/// events per half-life.
const MAX_WEIGHT: f64 = 10_000.0;

/// Confidence from which an engine's mean counts in the median of its service.
const MIN_CONFIDENCE: f64 = 0.1;

/// Intervals outside this range, in seconds, are measurement errors or silence, which is handled elsewhere.
const INTERVAL_RANGE: std::ops::RangeInclusive<f64> = 0.0..=2.0;

/// Smallest mean interval, in seconds. Events that are received together have an interval of zero.
const MIN_MEAN: f64 = 0.000_1;

/// Engines whose intervals differ by at most this factor are alike. Means of equal engines differ by up to an eighth,
/// depending on how many stalls were recent.
pub const ALIKE_FACTOR: f64 = 1.25;

/// Time between two updates of a service's median, for each of its engines: the cost of an update grows with their
/// number, and so its part of the processor's time stays the same.
const UPDATE_TIME: Duration = Duration::from_micros(100);

/// Mean interval of an engine, as of its last observation.
#[derive(Debug, Clone, Copy, Default)]
struct EngineMean {
    at: Time,
    /// Sum of the weights of the observations; 0 without any.
    weight: f64,
    /// Mean interval without other requests, in seconds.
    interval: f64,
}

impl EngineMean {
    fn add(&mut self, now: Time, interval: f64, weight: f64) {
        let earlier = self.weight * decay(now, self.at);
        let total = earlier + weight;
        let mean = self.interval + (interval - self.interval) * weight / total;
        *self = EngineMean {
            at: now,
            weight: total.min(MAX_WEIGHT),
            interval: mean.max(MIN_MEAN),
        };
    }

    /// Weight of this mean against the median of the service, 0 to 1.
    fn confidence(&self, now: Time) -> f64 {
        self.weight / (self.weight + PRIOR_WEIGHT) * decay(now, self.at)
    }

    fn expected(&self, now: Time, median: f64) -> f64 {
        median + (self.interval - median) * self.confidence(now)
    }
}

/// Approximates the remaining weight at `now` of an observation made at `at`: exact after whole half-lives, linear
/// between them. Each choice computes it for every engine, where an exact power would take most of the time.
fn decay(now: Time, at: Time) -> f64 {
    const HALF_LIFE_MICROS: u64 = HALF_LIFE.as_micros() as u64;
    let micros = now.as_micros().saturating_sub(at.as_micros());
    let halvings = micros / HALF_LIFE_MICROS;
    if halvings >= 32 {
        return 0.0;
    }
    let rest = (micros % HALF_LIFE_MICROS) as f64 / HALF_LIFE_MICROS as f64;
    (1.0 - rest / 2.0) / (1_u64 << halvings) as f64
}

/// What is known of the engines of a service together.
#[derive(Debug, Clone, Default)]
struct ServicePace {
    /// Engines with observations.
    engines: Vec<EngineKey>,
    /// When the values below were last updated.
    updated: Option<Time>,
    /// Median of the engines' mean intervals, in seconds.
    median: f64,
    /// Whether the engines differ.
    differs: bool,
    spread: IntervalSpread,
    reports: PaceReports,
}

impl ServicePace {
    fn insert(&mut self, engine: EngineKey) {
        if let Err(index) = self.engines.binary_search(&engine) {
            self.engines.insert(index, engine);
        }
    }

    fn is_due(&self, now: Time) -> bool {
        let count = u32::try_from(self.engines.len()).unwrap_or(u32::MAX);
        self.updated
            .is_none_or(|at| now.since(at) >= UPDATE_TIME.saturating_mul(count))
    }

    fn update(&mut self, now: Time, means: &EngineMap<EngineMean>) {
        let known = |key: &EngineKey| means.get(*key).filter(|m| m.weight > 0.0);
        let confident = self.engines.iter().filter_map(known);
        let confident = confident.filter(|m| m.confidence(now) >= MIN_CONFIDENCE);
        let mut intervals: Vec<f64> = confident.map(|m| m.interval).collect();
        if !intervals.is_empty() {
            let middle = (intervals.len() - 1) / 2;
            self.median = *intervals.select_nth_unstable_by(middle, f64::total_cmp).1;
        }
        let expected = self.engines.iter().filter_map(known);
        let expected = expected.map(|m| m.expected(now, self.median));
        let range = expected.fold(Range::default(), Range::with);
        self.differs = !range.is_alike();
        self.spread.update(now);
        self.updated = Some(now);
    }
}

/// The smallest and the largest of a number of intervals.
#[derive(Debug, Clone, Copy)]
pub struct Range {
    /// The smallest.
    pub min: f64,
    /// The largest.
    pub max: f64,
}

impl Default for Range {
    fn default() -> Range {
        Range {
            min: f64::INFINITY,
            max: 0.0,
        }
    }
}

impl Range {
    /// The range that includes `value` as well.
    pub fn with(self, value: f64) -> Range {
        Range {
            min: self.min.min(value),
            max: self.max.max(value),
        }
    }

    /// Whether the engines with these intervals are alike.
    pub fn is_alike(self) -> bool {
        !self.is_slow(self.max)
    }

    /// Whether an engine with this interval is slow in comparison with the fastest.
    pub fn is_slow(self, interval: f64) -> bool {
        interval > self.min * ALIKE_FACTOR
    }
}

/// The pace of all engines, as seen by this instance and its peers.
#[derive(Debug, Clone, Default)]
pub struct EventPace {
    means: EngineMap<EngineMean>,
    services: BTreeMap<String, ServicePace>,
    /// The service of the last message to peers.
    told: String,
}

impl EventPace {
    /// Records the interval between two events of a stream at an engine that had this number of requests.
    pub fn on_interval(&mut self, now: Time, engine: &Engine, interval: Duration, requests: u32) {
        let interval = interval.as_secs_f64();
        if !INTERVAL_RANGE.contains(&interval) {
            return;
        }
        if !self.services.contains_key(&engine.entry.service) {
            self.services
                .insert(engine.entry.service.clone(), ServicePace::default());
        }
        let Some(service) = self.services.get_mut(&engine.entry.service) else {
            return;
        };
        service.insert(engine.key);
        service.spread.on_interval(engine.key, interval, requests);
        let alone = interval / service.spread.batch_factor(requests);
        service.reports.on_interval(now, engine, alone);
        let mean = self.means.get_or_default(engine.key);
        mean.add(now, alone, 1.0);
        let range = [service.median, mean.expected(now, service.median)];
        let range = range.into_iter().fold(Range::default(), Range::with);
        if service.is_due(now) || (!service.differs && !range.is_alike()) {
            service.update(now, &self.means);
        }
    }

    /// Records what a peer reports of engines of `service`.
    pub fn on_peer_records(&mut self, now: Time, service: &str, records: &[(EngineKey, PaceRecord)]) {
        let is_valid = |r: &PaceRecord| r.weight > 0 && INTERVAL_RANGE.contains(&r.interval().as_secs_f64());
        let valid: Vec<_> = records.iter().filter(|(_, record)| is_valid(record)).collect();
        if valid.is_empty() {
            return;
        }
        let service = self.services.entry(service.to_string()).or_default();
        for (engine, record) in valid {
            service.insert(*engine);
            let interval = record.interval().as_secs_f64();
            self.means
                .get_or_default(*engine)
                .add(now, interval, f64::from(record.weight));
        }
        service.update(now, &self.means);
    }

    /// Returns the paces of a service whose engines differ; `None` if all are alike, as far as is known.
    pub fn differing(&self, now: Time, service: &str) -> Option<ServicePaces<'_>> {
        let service = self.services.get(service).filter(|s| s.differs)?;
        let means = &self.means;
        Some(ServicePaces { now, means, service })
    }

    /// Returns the pause that a stream has to expect at an engine with this number of requests: the 95th percentile of
    /// the intervals there. `None` without observations of the service.
    pub fn predicted_pause(&self, now: Time, engine: &Engine, requests: u32) -> Option<Duration> {
        let service = self.services.get(&engine.entry.service)?;
        let paces = ServicePaces {
            now,
            means: &self.means,
            service,
        };
        let pause = paces.interval(engine.key) * paces.pause_factor(requests);
        Some(Duration::from_secs_f64(pause))
    }

    /// Returns the number of engines of a service that are slow in comparison with its fastest.
    pub fn slow_count(&self, now: Time, service: &str) -> usize {
        let Some(paces) = self.differing(now, service) else {
            return 0;
        };
        let engines = &paces.service.engines;
        let intervals: Vec<f64> = engines.iter().map(|key| paces.interval(*key)).collect();
        let range = intervals.iter().copied().fold(Range::default(), Range::with);
        intervals.into_iter().filter(|i| range.is_slow(*i)).count()
    }

    /// Returns the next message to some of this number of peers, about another service each time. `None` if there is
    /// nothing to tell.
    pub fn take_due(&mut self, now: Time, peers: usize) -> Option<DueMessage> {
        let after = (Bound::Excluded(self.told.clone()), Bound::Unbounded);
        let names = self.services.range(after).chain(&self.services);
        let names: Vec<String> = names.map(|(name, _)| name.clone()).collect();
        for name in names {
            let service = self.services.get_mut(&name);
            if let Some(due) = service.and_then(|s| s.reports.take_due(now, &name, peers)) {
                self.told = name;
                return Some(due);
            }
        }
        None
    }

    /// Discards what was learned about the engines for which `known` returns false: an engine that restarts under the
    /// same id may run on another machine.
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(EngineKey) -> bool,
    {
        for service in self.services.values_mut() {
            for engine in service.engines.iter().filter(|key| !known(**key)) {
                *self.means.get_or_default(*engine) = EngineMean::default();
            }
            service.engines.retain(|key| known(*key));
            service.spread.retain(&known);
            service.reports.retain(&known);
        }
        self.services.retain(|_, service| !service.engines.is_empty());
    }
}

/// The paces of a service's engines at a time.
#[derive(Debug, Clone, Copy)]
pub struct ServicePaces<'a> {
    now: Time,
    means: &'a EngineMap<EngineMean>,
    service: &'a ServicePace,
}

impl ServicePaces<'_> {
    /// Returns the expected interval of an engine without other requests, in seconds. An engine without observations
    /// is expected to match the median.
    pub fn interval(&self, engine: EngineKey) -> f64 {
        let median = self.service.median;
        self.means
            .get(engine)
            .map_or(median, |mean| mean.expected(self.now, median))
    }

    /// Factor by which the mean interval grows with this number of requests at the engine.
    pub fn batch_factor(&self, requests: u32) -> f64 {
        self.service.spread.batch_factor(requests)
    }

    /// Factor from an engine's interval without other requests to the pause to expect with this number of them.
    pub fn pause_factor(&self, requests: u32) -> f64 {
        self.batch_factor(requests) * self.service.spread.pause_ratio()
    }
}
