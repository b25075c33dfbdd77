//! Generates the requests and their arrival times: a seeded list of jobs in phases with different ratios of prompt to
//! output tokens.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

/// Number of standards texts that checks share.
const STANDARD_COUNT: u64 = 4;

/// Number of words in a standards text.
const STANDARD_WORDS: usize = 1_600;

/// Number of words in the spec that follows a standards text: minimum and maximum.
const SPEC_WORDS: (usize, usize) = (400, 1_200);

/// Number of output tokens of a check.
const VERDICT_TOKENS: u32 = 4;

/// Number of words in a chat turn: minimum and maximum.
const CHAT_WORDS: (usize, usize) = (30, 150);

/// Number of output tokens of a chat turn: minimum and maximum.
const CHAT_TOKENS: (u32, u32) = (50, 130);

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A long prompt (a standards text shared with other checks, then a spec) and a short verdict.
    Check,
    /// A short prompt and a longer answer.
    Chat,
    /// A non-idempotent order to a plain service.
    Order,
}

/// Arrival rates of one product during a part of the run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    /// Duration in seconds.
    pub seconds: f64,
    /// Checks per second.
    pub checks: f64,
    /// Chat turns per second.
    pub chats: f64,
    /// Orders per second.
    pub orders: f64,
}

/// Traffic of one product.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Name of the product.
    pub product: String,
    /// API key of the product.
    pub key: String,
    /// Consecutive phases of the run.
    pub phases: Vec<Phase>,
}

/// Deadlines by kind of request, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deadlines {
    /// Deadline of a check.
    pub check: u64,
    /// Deadline of a chat turn.
    pub chat: u64,
    /// Deadline of an order.
    pub order: u64,
}

impl Default for Deadlines {
    fn default() -> Deadlines {
        Deadlines {
            check: 2_000,
            chat: 3_000,
            order: 2_000,
        }
    }
}

impl Deadlines {
    /// Returns the deadline of a request of `kind`.
    pub fn of(&self, kind: Kind) -> Duration {
        Duration::from_millis(match kind {
            Kind::Check => self.check,
            Kind::Chat => self.chat,
            Kind::Order => self.order,
        })
    }
}

/// A request to be sent, with its arrival time.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Arrival time, from the start of the run.
    pub at: Duration,
    /// Index of the phase.
    pub phase: usize,
    /// Index of the product.
    pub product: usize,
    /// Kind of request.
    pub kind: Kind,
    /// Prompt; empty for an order.
    pub prompt: String,
    /// Number of tokens to generate; 0 for an order.
    pub max_tokens: u32,
    /// Seed for sampling.
    pub seed: u64,
}

/// Generates the jobs of all products, ordered by arrival time. The same seed gives the same jobs.
pub fn jobs(traffic: &[Traffic], seed: u64) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (product, asked) in traffic.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(product as u64));
        let mut begin = 0.0;
        for (phase, rates) in asked.phases.iter().enumerate() {
            let kinds = [
                (Kind::Check, rates.checks),
                (Kind::Chat, rates.chats),
                (Kind::Order, rates.orders),
            ];
            for (kind, rate) in kinds {
                for at in arrivals(&mut rng, rate, rates.seconds) {
                    let at = Duration::from_secs_f64(begin + at);
                    jobs.push(job(&mut rng, at, phase, product, kind));
                }
            }
            begin += rates.seconds;
        }
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

/// Generates the arrival times of a Poisson process, in seconds from its start.
fn arrivals(rng: &mut ChaCha8Rng, rate: f64, seconds: f64) -> Vec<f64> {
    let mut times = Vec::new();
    if rate <= 0.0 {
        return times;
    }
    let mut at = 0.0;
    loop {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        if at >= seconds {
            return times;
        }
        times.push(at);
    }
}

fn job(rng: &mut ChaCha8Rng, at: Duration, phase: usize, product: usize, kind: Kind) -> Job {
    let (prompt, max_tokens) = match kind {
        Kind::Check => (check_prompt(rng), VERDICT_TOKENS),
        Kind::Chat => {
            let words = rng.random_range(CHAT_WORDS.0..=CHAT_WORDS.1);
            let max_tokens = rng.random_range(CHAT_TOKENS.0..=CHAT_TOKENS.1);
            (words_of(rng.random(), words), max_tokens)
        }
        Kind::Order => (String::new(), 0),
    };
    Job {
        at,
        phase,
        product,
        kind,
        prompt,
        max_tokens,
        seed: rng.random(),
    }
}

/// Generates a prompt: a standards text that many checks share, followed by a spec unique to this one.
fn check_prompt(rng: &mut ChaCha8Rng) -> String {
    let standard = words_of(rng.random_range(0..STANDARD_COUNT), STANDARD_WORDS);
    let words = rng.random_range(SPEC_WORDS.0..=SPEC_WORDS.1);
    format!("{standard} {}", words_of(rng.random(), words))
}

fn words_of(seed: u64, count: usize) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let words: Vec<String> = (0..count)
        .map(|_| format!("{:04x}", rng.random::<u16>()))
        .collect();
    words.join(" ")
}
