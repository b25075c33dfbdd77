//! The time that requests spend in service at plain engines, learned from their answers.
//!
//! Engines of a service differ in speed, stall for a while, and may slow down when nearly all of their slots are taken.
//! An instance sees few answers of each engine, so an estimate lies between what was seen of the engine and what is
//! usual at its service: the less was seen lately, the closer to the latter. An engine that was slow is thus tried again,
//! and one of which nothing is known counts as a usual one, never as a fast one.

use std::time::Duration;

use crate::relay::engine_map::EngineMap;
use crate::relay::engines::EngineKey;
use crate::time::Time;

/// Half-life of the weight of observations.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Maximum weight of the earlier observations, so that each new one has at least a tenth of the whole.
const MAX_WEIGHT: f64 = 10.0;

/// Weight of what is usual at the service, in observations.
const USUAL_WEIGHT: f64 = 1.0;

/// Observations of less weight count as none.
const MIN_WEIGHT: f64 = 0.05;

/// Maximum of an observation, as a multiple of the mean: one request in a hundred takes five times as long as the
/// others, which says nothing about its engine.
const MAX_RATIO: f64 = 3.0;

/// Fraction of the slots above which an engine counts as nearly full.
const NEARLY_FULL: f64 = 0.75;

/// Service times that differ by at most this factor count as equal: the mean of a few answers varies by as much.
const EQUAL_RATIO: f64 = 1.25;

/// Multiple of the usual service time from which an engine is reported as slow.
const SLOW_RATIO: f64 = 2.0;

/// Multiple of the usual service time below which an engine is no longer reported as slow.
const RECOVERED_RATIO: f64 = 1.5;

/// Weight of the observations without which an engine is not reported: a single request may take five times as long as
/// the others.
const MIN_REPORT_WEIGHT: f64 = 3.0;

/// Mean of recent observations.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    at: Time,
    weight: f64,
    seconds: f64,
}

impl Mean {
    fn weight(&self, now: Time) -> f64 {
        if self.weight == 0.0 {
            return 0.0;
        }
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.weight * 0.5_f64.powf(halvings)
    }

    fn observe(&mut self, now: Time, seconds: f64) {
        let weight = self.weight(now);
        let seconds = match weight < MIN_WEIGHT {
            true => seconds,
            false => seconds.min(self.seconds * MAX_RATIO),
        };
        self.seconds += (seconds - self.seconds) / (weight + 1.0);
        self.weight = (weight + 1.0).min(MAX_WEIGHT);
        self.at = now;
    }

    /// The mean, drawn towards `usual` as the weight of the observations decays.
    fn estimate(&self, now: Time, usual: f64) -> f64 {
        let weight = self.weight(now);
        let estimate = (self.seconds * weight + usual * USUAL_WEIGHT) / (weight + USUAL_WEIGHT);
        match (usual / EQUAL_RATIO..=usual * EQUAL_RATIO).contains(&estimate) {
            true => usual,
            false => estimate,
        }
    }
}

/// Service times of one engine.
#[derive(Debug, Clone, Copy, Default)]
struct EngineTimes {
    /// While it had free slots to spare.
    calm: Mean,
    /// While it was nearly full.
    busy: Mean,
    /// Whether it was last reported as slow.
    is_slow: bool,
}

/// An engine became slow, or is no longer slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowChange {
    /// Whether it is slow now.
    pub is_slow: bool,
    /// Mean of its recent service times.
    pub took: Duration,
    /// Usual service time.
    pub usual: Duration,
}

impl EngineTimes {
    /// The better known of both means; `None` if nothing was seen lately.
    fn known(&self, now: Time) -> Option<f64> {
        let means = [self.calm, self.busy];
        let known = means.into_iter().find(|mean| mean.weight(now) >= MIN_WEIGHT);
        known.map(|mean| mean.seconds)
    }
}

/// The requests at an engine, compared with its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests at the engine, including the one that is looked at.
    pub requests: u32,
    /// Slots of the engine.
    pub slots: u32,
}

impl Occupancy {
    /// Requests for each slot.
    fn load(self) -> f64 {
        f64::from(self.requests) / f64::from(self.slots.max(1))
    }

    fn is_nearly_full(self) -> bool {
        self.load() > NEARLY_FULL
    }
}

/// Service times of all plain engines, as seen by this instance.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    engines: EngineMap<EngineTimes>,
}

impl ServiceTimes {
    /// Records that an engine answered a request in `took`; `occupancy` is that at the start of the request. A request
    /// that found all slots taken waited for one, which is no time in service.
    pub fn on_answer(&mut self, now: Time, engine: EngineKey, took: Duration, occupancy: Occupancy) {
        let seconds = took.as_secs_f64() / occupancy.load().max(1.0);
        let times = self.engines.get_or_default(engine);
        match occupancy.is_nearly_full() {
            true => times.busy.observe(now, seconds),
            false => times.calm.observe(now, seconds),
        }
    }

    /// Returns the usual service time in seconds, the median of those of `engines`; `None` if nothing was seen of any
    /// of them lately.
    pub fn usual<I>(&self, now: Time, engines: I) -> Option<f64>
    where
        I: Iterator<Item = EngineKey>,
    {
        let known = engines.filter_map(|key| self.engines.get(key)?.known(now));
        let mut known: Vec<f64> = known.collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len() / 2).copied()
    }

    /// Returns the expected time of a request at an engine: its time in service, multiplied by the requests for each
    /// slot. `usual` is the usual service time, `occupancy` includes the request.
    ///
    /// Requests count from the first one, not only those beyond the slots. Failure guarded against: all instances send to
    /// the fastest engine until their peers tell them that it is full.
    pub fn expected(&self, now: Time, engine: EngineKey, usual: f64, occupancy: Occupancy) -> Duration {
        let times = self.engines.get(engine).copied().unwrap_or_default();
        // An engine that was seen only while it was nearly full is no slower when it isn't.
        let calm = match times.calm.weight(now) < MIN_WEIGHT {
            true => times.busy.estimate(now, usual),
            false => times.calm.estimate(now, usual),
        };
        let seconds = match occupancy.is_nearly_full() {
            true => times.busy.estimate(now, calm).max(calm),
            false => calm,
        };
        Duration::from_secs_f64(seconds * occupancy.load())
    }

    /// Returns whether an engine has become slower than usual for its service, whose engines are `engines`, or is no longer
    /// slow; `None` if that hasn't changed since the last call.
    pub fn slow_change<I>(&mut self, now: Time, engine: EngineKey, engines: I) -> Option<SlowChange>
    where
        I: Iterator<Item = EngineKey>,
    {
        let usual = self.usual(now, engines)?;
        let times = self.engines.get_or_default(engine);
        let means = [times.calm, times.busy].into_iter();
        let mean = means.max_by(|a, b| a.weight(now).total_cmp(&b.weight(now)))?;
        let ratio = mean.seconds / usual;
        let is_slow = match times.is_slow {
            true => ratio >= RECOVERED_RATIO,
            false => ratio >= SLOW_RATIO && mean.weight(now) >= MIN_REPORT_WEIGHT,
        };
        let has_changed = std::mem::replace(&mut times.is_slow, is_slow) != is_slow;
        has_changed.then(|| SlowChange {
            is_slow,
            took: Duration::from_secs_f64(mean.seconds),
            usual: Duration::from_secs_f64(usual),
        })
    }

    /// Discards what was seen of an engine.
    pub fn forget(&mut self, engine: EngineKey) {
        *self.engines.get_or_default(engine) = EngineTimes::default();
    }
}
