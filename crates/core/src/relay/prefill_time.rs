//! Model of the prefill time of a service's engines, learned from their answers.
//!
//! A prefill takes a fixed time until the first token, a time for each token, and a time for each pair of a token and
//! an earlier one: the cost of long contexts grows faster than their length. Engines differ by a factor of five in
//! each of these, so no constant suits two deployments. The three times are the coefficients of a linear model, fitted
//! by least squares to prefills that ran alone on their engine. Recent prefills have more weight, and a weak prior
//! stands in for what has not been observed.

use std::time::Duration;

use crate::relay::prompt::Prompt;

/// Number of coefficients: the fixed time, the time for a thousand tokens and the time for a million pairs, in this
/// order.
const COEFFICIENTS: usize = 3;

/// Coefficients that are assumed before any observation, in milliseconds, as of a fast engine. If they are too low,
/// the first requests are accepted and correct them; if they were too high, these requests would be refused, and
/// nothing would correct them.
const PRIOR_MEAN: [f64; COEFFICIENTS] = [15.0, 2.5, 0.05];

/// Variance of the prior coefficients: known engines differ by about this much.
const PRIOR_VARIANCE: [f64; COEFFICIENTS] = [400.0, 25.0, 0.09];

/// Variance of a prefill's time around the model, in square milliseconds: two calls between availability zones, and
/// steps that the engine had begun.
const NOISE_VARIANCE: f64 = 100.0;

/// Factor by which each observation reduces the weight of the earlier ones: about the last two hundred count.
const FORGETTING_FACTOR: f64 = 0.995;

/// Maximum residual of an observation, as a fraction of the expected time: a prefill that had to compute parts which
/// were assumed to be cached says nothing about the engine's speed.
const RESIDUAL_LIMIT: f64 = 0.5;

/// Lower bound of the residual limit, in milliseconds, so that wrong coefficients are corrected within a few
/// observations.
const MIN_RESIDUAL_LIMIT: f64 = 30.0;

/// Tokens and pairs of tokens that an engine processes for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillWork {
    tokens: f64,
    pairs: f64,
}

impl PrefillWork {
    /// Work for the last `tokens` of a prompt; those before them are cached.
    pub fn new(prompt: &Prompt, tokens: u32) -> PrefillWork {
        let input = f64::from(prompt.input);
        let tokens = f64::from(tokens);
        PrefillWork {
            tokens,
            pairs: tokens * (input - tokens).max(0.0) + tokens * tokens / 2.0,
        }
    }

    /// Tokens that the engine processes.
    pub fn tokens(self) -> u32 {
        self.tokens as u32
    }

    fn features(self) -> [f64; COEFFICIENTS] {
        [1.0, self.tokens / 1e3, self.pairs / 1e6]
    }
}

/// Linear model of the prefill time.
#[derive(Debug, Clone)]
pub struct PrefillModel {
    coefficients: [f64; COEFFICIENTS],
    /// Weighted sum of the outer products of the feature vectors.
    products: [[f64; COEFFICIENTS]; COEFFICIENTS],
    /// Weighted sum of the feature vectors times the observed times, in milliseconds.
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
    /// Returns the time for which a prefill keeps an engine from other requests.
    pub fn busy_time(&self, work: PrefillWork) -> Duration {
        let [_, tokens, pairs] = work.features();
        let [_, token, pair] = self.coefficients;
        millis(token * tokens + pair * pairs)
    }

    /// Returns the additional time of every prefill, during which the engine can process other requests.
    pub fn fixed_latency(&self) -> Duration {
        millis(self.coefficients[0])
    }

    /// Updates the model from a prefill that ran alone on its engine.
    pub fn on_uncontended(&mut self, work: PrefillWork, took: Duration) {
        let features = work.features();
        let expected = dot(&self.coefficients, &features);
        let limit = (expected * RESIDUAL_LIMIT).max(MIN_RESIDUAL_LIMIT);
        let error = (took.as_secs_f64() * 1e3 - expected).clamp(-limit, limit);
        for i in 0..COEFFICIENTS {
            self.times[i] = self.times[i] * FORGETTING_FACTOR + features[i] * (expected + error);
            for j in 0..COEFFICIENTS {
                self.products[i][j] = self.products[i][j] * FORGETTING_FACTOR + features[i] * features[j];
            }
        }
        // No coefficient is negative, however much the observations scatter.
        self.coefficients = self.fit().map(|value| value.max(0.0));
    }

    /// Returns the coefficients that fit the observations and the prior best.
    ///
    /// Failure guarded against: all requests of a service have the same size, the observations say nothing about the
    /// other coefficients, and these diverge. The weight of the prior doesn't decay, so the system of equations always
    /// has a solution.
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

/// Gauss-Jordan elimination; the matrix is positive definite, so no pivot is zero.
fn eliminate(rows: &mut [[f64; COEFFICIENTS + 1]; COEFFICIENTS]) {
    for pivot in 0..COEFFICIENTS {
        let pivot_row = rows[pivot];
        for (_, row) in rows.iter_mut().enumerate().filter(|(i, _)| *i != pivot) {
            let factor = row[pivot] / pivot_row[pivot];
            for (cell, value) in row.iter_mut().zip(pivot_row) {
                *cell -= factor * value;
            }
        }
    }
}

fn dot(left: &[f64; COEFFICIENTS], right: &[f64; COEFFICIENTS]) -> f64 {
    left.iter().zip(right).map(|(a, b)| a * b).sum()
}

fn millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1e3)
}
