//! How single intervals between events vary around the mean of their engine, over all engines of a service.
//!
//! Two things are learned: the 95th percentile of the ratio of an interval to its engine's mean, and the growth of
//! intervals with the number of requests at the engine. Each interval counts by its length: a stall is long but has
//! few intervals, and a stream is in a stall for the fraction of time that the stalls take, not for that of their
//! events.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::engines::EngineKey;
use crate::time::Time;

/// Half-life of observations. Several stalls of an engine lie within it.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Percentile of the ratios that a stream has to expect, as the part of the time with higher ratios.
const UPPER_PART: f64 = 0.05;

/// Bins of the histogram of ratios for each doubling.
const BINS_PER_DOUBLING: f64 = 8.0;

/// Ratios below one quarter are in the first bin, those of 16 and more in the last.
const LOWEST_DOUBLING: f64 = -2.0;
const BINS: usize = 48;

/// Ratio that is assumed before any observation, and the observed time, in seconds, that has the same weight: stalls
/// by a factor of two to three are usual, and one in which no interval has been seen yet may come.
const PRIOR_RATIO: f64 = 2.0;
const PRIOR_TIME: f64 = 0.25;

/// Weight of a new observation in the mean interval and the mean number of requests of an engine.
const MEAN_GAIN: f64 = 0.02;

/// Number of observations of an engine from which its mean is used.
const MIN_COUNT: u32 = 8;

/// Deviation from the mean, as a fraction of it, beyond which an interval belongs to a stall and says nothing about
/// the growth with the number of requests.
const MAX_DEVIATION: f64 = 0.5;

/// Weight of the assumption that intervals don't grow with the number of requests, as a sum of squared deviations of
/// that number.
const GROWTH_PRIOR: f64 = 100.0;

/// Maximum growth of an interval with each request, as a fraction of the interval without any. With the largest known
/// batches of 24, it is a factor of two.
const MAX_GROWTH: f64 = 0.05;

/// Mean of an engine's own observations.
#[derive(Debug, Clone, Copy)]
struct Mean {
    count: u32,
    interval: f64,
    requests: f64,
}

/// Spread of the intervals of a service.
#[derive(Debug, Clone)]
pub struct IntervalSpread {
    means: BTreeMap<EngineKey, Mean>,
    /// Observed time for each bin of ratios, in seconds.
    ratios: [f64; BINS],
    /// Sums over the deviations of the number of requests: of their squares, and of their products with the relative
    /// deviations of the intervals.
    squares: f64,
    products: f64,
    /// Mean number of requests.
    requests: f64,
    updated: Time,
    pause_ratio: f64,
    growth: f64,
}

impl Default for IntervalSpread {
    fn default() -> IntervalSpread {
        IntervalSpread {
            means: BTreeMap::new(),
            ratios: [0.0; BINS],
            squares: 0.0,
            products: 0.0,
            requests: 0.0,
            updated: Time::ZERO,
            pause_ratio: PRIOR_RATIO,
            growth: 0.0,
        }
    }
}

impl IntervalSpread {
    /// Records an interval, in seconds, of an engine that had this number of requests.
    pub fn on_interval(&mut self, engine: EngineKey, interval: f64, requests: u32) {
        let requests = f64::from(requests);
        let first = Mean {
            count: 0,
            interval,
            requests,
        };
        let mean = self.means.entry(engine).or_insert(first);
        let before = *mean;
        mean.count = mean.count.saturating_add(1);
        // The first observations have equal weight.
        let gain = MEAN_GAIN.max(1.0 / f64::from(mean.count));
        mean.interval += (interval - mean.interval) * gain;
        mean.requests += (requests - mean.requests) * gain;
        self.requests += (requests - self.requests) * MEAN_GAIN;
        if before.count < MIN_COUNT || before.interval <= 0.0 {
            return;
        }
        let ratio = interval / before.interval;
        self.ratios[bin(ratio)] += interval;
        let deviation = ratio - 1.0;
        if deviation.abs() <= MAX_DEVIATION {
            let extra = requests - before.requests;
            self.squares += extra * extra;
            self.products += extra * deviation;
        }
    }

    /// Updates the derived values, and lets observations decay.
    pub fn update(&mut self, now: Time) {
        let halvings = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.updated = now;
        let weight = 0.5_f64.powf(halvings);
        self.ratios.iter_mut().for_each(|time| *time *= weight);
        self.squares *= weight;
        self.products *= weight;
        self.pause_ratio = self.upper_ratio();
        // The slope is relative to the mean interval, the growth to that without requests.
        let slope = (self.products / (self.squares + GROWTH_PRIOR)).max(0.0);
        let growth = slope / (1.0 - slope * self.requests).max(0.1);
        self.growth = growth.min(MAX_GROWTH);
    }

    /// Returns the ratio that is exceeded in [`UPPER_PART`] of the time, at least 1.
    fn upper_ratio(&self) -> f64 {
        let prior = bin(PRIOR_RATIO);
        let total: f64 = self.ratios.iter().sum::<f64>() + PRIOR_TIME;
        let mut above = 0.0;
        for (index, time) in self.ratios.iter().enumerate().rev() {
            above += time + if index == prior { PRIOR_TIME } else { 0.0 };
            if above > total * UPPER_PART {
                return middle(index).max(1.0);
            }
        }
        1.0
    }

    /// Returns the 95th percentile of the ratio of an interval to the mean of its engine.
    pub fn pause_ratio(&self) -> f64 {
        self.pause_ratio
    }

    /// Returns the factor by which an interval grows with this number of requests at the engine.
    pub fn batch_factor(&self, requests: u32) -> f64 {
        1.0 + self.growth * f64::from(requests)
    }

    /// Discards the means of the engines for which `known` returns false.
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(EngineKey) -> bool,
    {
        self.means.retain(|engine, _| known(*engine));
    }
}

fn bin(ratio: f64) -> usize {
    let doublings = ratio.max(f64::MIN_POSITIVE).log2() - LOWEST_DOUBLING;
    // The conversion saturates.
    ((doublings * BINS_PER_DOUBLING) as usize).min(BINS - 1)
}

/// The ratio in the middle of a bin.
fn middle(bin: usize) -> f64 {
    ((bin as f64 + 0.5) / BINS_PER_DOUBLING + LOWEST_DOUBLING).exp2()
}
