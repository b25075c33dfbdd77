//! What reading a prompt takes the engines of a service, learned from their own answers.
//!
//! Reading takes a fixed time until the first token, a time for each token, and a time for each pair of a token with one
//! before it: long contexts cost more than their length. Engines differ by a factor of five in each of these, so that
//! no constant serves two deployments. The three are the coefficients of a line, fitted by least squares to readings that
//! had an engine for themselves; recent ones count more, and a weak prior stands in for what was not seen.

use std::time::Duration;

use crate::relay::prompt::Prompt;

/// Coefficients: the fixed time, the time of a thousand tokens, the time of a million pairs.
const COEFFICIENTS: usize = 3;

/// What is believed before any reading: milliseconds of a fast engine. A belief that is too low lets the first requests
/// in, and they correct it; one that is too high would refuse them, and nobody would.
const PRIOR_MEAN: [f64; COEFFICIENTS] = [15.0, 2.5, 0.05];

/// Doubt about each of these, squared: known engines differ by about so much.
const PRIOR_VARIANCE: [f64; COEFFICIENTS] = [400.0, 25.0, 0.09];

/// Spread of a reading's time around the line in milliseconds, squared: two calls between availability zones, and
/// steps of the engine that had begun.
const NOISE_VARIANCE: f64 = 100.0;

/// Part of the weight of earlier readings that stays with each: the last two hundred count.
const FORGETTING_FACTOR: f64 = 0.995;

/// Most by which one reading may differ from the line, as a part of what was expected: one that had to read parts that
/// were thought to be kept says nothing of the speed.
const RESIDUAL_LIMIT: f64 = 0.5;

/// Least by which it may differ, in milliseconds, so that a wrong belief is corrected within a few readings.
const MIN_RESIDUAL_LIMIT: f64 = 30.0;

/// What an engine reads for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillWork {
    tokens: f64,
    pairs: f64,
}

impl PrefillWork {
    /// The last `tokens` of a prompt; those before are kept.
    pub fn new(prompt: &Prompt, tokens: u32) -> PrefillWork {
        let input = f64::from(prompt.input);
        let tokens = f64::from(tokens);
        PrefillWork {
            tokens,
            pairs: tokens * (input - tokens).max(0.0) + tokens * tokens / 2.0,
        }
    }

    fn features(self) -> [f64; COEFFICIENTS] {
        [1.0, self.tokens / 1e3, self.pairs / 1e6]
    }
}

/// The line.
#[derive(Debug, Clone)]
pub struct PrefillModel {
    coefficients: [f64; COEFFICIENTS],
    /// Weighted sum of the products of each reading's features.
    products: [[f64; COEFFICIENTS]; COEFFICIENTS],
    /// Weighted sum of each reading's features times what it took.
    times: [f64; COEFFICIENTS],
}

impl Default for PrefillModel {
    fn default() -> PrefillModel {
        PrefillModel {
            coefficients: PRIOR_MEAN,
            products: [[0.0; COEFFICIENTS]; COEFFICIENTS],
            times: [0.0; COEFFICIENTS],
        }
    }
}

impl PrefillModel {
    /// Time for which a reading keeps an engine from others.
    pub fn busy_time(&self, load: PrefillWork) -> Duration {
        let [_, tokens, pairs] = load.features();
        let [_, token, pair] = self.coefficients;
        millis(token * tokens + pair * pairs)
    }

    /// Time that every reading takes besides: it doesn't keep the engine from others.
    pub fn fixed_latency(&self) -> Duration {
        millis(self.coefficients[0])
    }

    /// Takes a reading that had an engine for itself.
    pub fn on_uncontended(&mut self, load: PrefillWork, took: Duration) {
        let row = load.features();
        let expected = dot(&self.coefficients, &row);
        let most = (expected * RESIDUAL_LIMIT).max(MIN_RESIDUAL_LIMIT);
        let error = (took.as_secs_f64() * 1e3 - expected).clamp(-most, most);
        for i in 0..COEFFICIENTS {
            self.times[i] = self.times[i] * FORGETTING_FACTOR + row[i] * (expected + error);
            for j in 0..COEFFICIENTS {
                self.products[i][j] = self.products[i][j] * FORGETTING_FACTOR + row[i] * row[j];
            }
        }
        // No part of the time is negative, however the readings scatter.
        self.coefficients = self.fit().map(|part| part.max(0.0));
    }

    /// The line that fits the readings and the prior best.
    ///
    /// Failure guarded against: a service asks for one size only, the readings say nothing of the other coefficients, and
    /// the line runs away. The prior's weight doesn't fade, so that the matrix can always be solved.
    fn fit(&self) -> [f64; COEFFICIENTS] {
        let mut rows: [[f64; COEFFICIENTS + 1]; COEFFICIENTS] = std::array::from_fn(|i| {
            let weight = NOISE_VARIANCE / PRIOR_VARIANCE[i];
            std::array::from_fn(|j| match j {
                COEFFICIENTS => self.times[i] + weight * PRIOR_MEAN[i],
                j if j == i => self.products[i][j] + weight,
                j => self.products[i][j],
            })
        });
        eliminate(&mut rows);
        std::array::from_fn(|i| rows[i][COEFFICIENTS] / rows[i][i])
    }
}

/// Gauss-Jordan elimination; the matrix is positive definite, so that no pivot is zero.
fn eliminate(rows: &mut [[f64; COEFFICIENTS + 1]; COEFFICIENTS]) {
    for pivot in 0..COEFFICIENTS {
        let by = rows[pivot];
        for (_, row) in rows.iter_mut().enumerate().filter(|(i, _)| *i != pivot) {
            let factor = row[pivot] / by[pivot];
            for (cell, part) in row.iter_mut().zip(by) {
                *cell -= factor * part;
            }
        }
    }
}

fn dot(one: &[f64; COEFFICIENTS], other: &[f64; COEFFICIENTS]) -> f64 {
    one.iter().zip(other).map(|(a, b)| a * b).sum()
}

fn millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1e3)
}
