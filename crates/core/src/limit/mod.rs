//! Admission control: whether a request may run now.
//!
//! A product is entitled to a share of a service's engine time. Requests within the share are admitted; requests
//! beyond it borrow what other products leave unused, in proportion to shares, while the engines are not congested.
//! A request whose deadline can't be met is refused immediately. No other instance is called: each instance admits a
//! fraction of each product's share, and the fractions follow demand (see [`Limiter::set_fraction`]).

mod lending;
mod services;
mod usage;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use lending::CapacityFactor;
pub use lending::UPDATE_INTERVAL;
pub use lending::equal_share;
pub use services::Limits;
pub use usage::TIME_CONSTANT;
pub use usage::Usage;
pub use usage::decay_seconds;

use crate::config::Role;
use crate::config::Share;
use crate::engine::RoleProfile;
use crate::engine::Speed;
use crate::engine::step_time;
use crate::limit::lending::Lending;
use crate::limit::lending::ShareUse;
use crate::name::Name;
use crate::outcome::Reason;
use crate::time::Time;

/// Maximum expected duration of a borrowing request, as a fraction of the time left to its deadline.
const BORROW_TIME: f64 = 0.8;

/// Expected duration of a request, as a fraction of the time left, above which the service counts as congested.
const CONGESTED: f64 = 0.9;

/// A request is refused as too late if its expected duration exceeds this multiple of the time left.
const TOO_LATE: f64 = 1.0;

/// Minimum of the capacity factor.
const MIN_CAPACITY_FACTOR: f64 = 0.2;

/// Shortest and longest retry delay, in seconds.
const RETRY_AFTER_S: (f64, f64) = (0.2, 30.0);

/// Upper bound on the expected tokens of an answer before any answer of its product was seen.
const INITIAL_OUTPUT: f64 = 256.0;

/// Upper bound on the expected tokens of an answer, as a multiple of the mean of its product's answers.
/// [`INITIAL_OUTPUT`] applies if it is higher.
const OUTPUT_SPREAD: f64 = 2.0;

/// Weight of the latest answer in that mean.
const OUTPUT_WEIGHT: f64 = 0.05;

/// Cost of a request, as seen by admission control.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestCost {
    /// Engine seconds that the request takes.
    pub cost: f64,
    /// Expected seconds until its answer is complete.
    pub total: f64,
    /// Seconds left to its deadline.
    pub left: f64,
}

/// Share of a product in a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceShare {
    /// Share of engine time.
    pub share: Share,
    /// Number of engines of the service.
    pub engines: usize,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// Admitted within the product's share.
    WithinShare,
    /// Admitted with capacity that other products leave unused.
    Borrowed,
    /// Refused; the duration is the retry delay.
    Refused(Reason, Duration),
}

#[derive(Debug, Clone, Default)]
struct Account {
    usage: Usage,
    share: f64,
    entitled: f64,
    fraction: Option<f64>,
    output: Option<f64>,
}

/// Entitlement and usage of a product at one service, through one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountView {
    /// The product.
    pub product: Name,
    /// Engine seconds per second that the product is entitled to at this instance.
    pub entitled: f64,
    /// Engine seconds per second that it used recently.
    pub used: f64,
}

/// Limits of one service at one instance.
#[derive(Debug, Clone)]
pub struct Limiter {
    accounts: BTreeMap<Name, Account>,
    capacity: f64,
    even_fraction: f64,
    capacity_factor: CapacityFactor,
    congested: bool,
    lending: Lending,
    updated_at: Option<Time>,
    rng: ChaCha8Rng,
}

/// Returns the engine seconds that `prefill` uncached prompt tokens and `output` tokens take in a busy engine.
pub fn cost(speed: Speed, prefill: u32, output: u32) -> f64 {
    let slots = f64::from(RoleProfile::of(Role::Decode, speed.slots).slots);
    f64::from(prefill) / speed.prefill + f64::from(output) * step_time(speed, slots) / slots
}

impl Limiter {
    /// Creates the limits of an instance that has received no requests. `seed` seeds the jitter of retry delays.
    pub fn new(seed: u64) -> Limiter {
        Limiter {
            accounts: BTreeMap::new(),
            capacity: 0.0,
            even_fraction: 1.0,
            capacity_factor: CapacityFactor::new(MIN_CAPACITY_FACTOR),
            congested: false,
            lending: Lending::default(),
            updated_at: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets the number of instances that share the engines. Where no demand is known, each gets an equal fraction.
    pub fn set_instances(&mut self, count: usize) {
        self.even_fraction = 1.0 / count.max(1) as f64;
    }

    /// Sets the fraction of `product`'s share that this instance admits, from 0 to 1: this instance's fraction of
    /// the demand at all instances.
    pub fn set_fraction(&mut self, product: &Name, part: f64) {
        self.accounts.entry(product.clone()).or_default().fraction = Some(part.clamp(0.0, 1.0));
    }

    /// Returns the engine seconds per second that `product` used recently at this instance.
    pub fn rate(&self, now: Time, product: &Name) -> f64 {
        self.accounts.get(product).map_or(0.0, |a| a.usage.rate(now))
    }

    /// Iterates over the accounts of all products that sent requests, in the order of their names.
    pub fn accounts(&self, now: Time) -> impl Iterator<Item = AccountView> {
        self.accounts.iter().map(move |(product, account)| AccountView {
            product: product.clone(),
            entitled: account.entitled,
            used: account.usage.rate(now),
        })
    }

    /// Returns the factor from 0 to 1 on the capacity, which is lowered while requests are late.
    pub fn capacity_factor(&self) -> f64 {
        self.capacity_factor.value()
    }

    /// Returns the expected number of tokens of an answer of `product` with at most `limit` tokens.
    ///
    /// Callers set limits far above the length of most answers; taken literally, they would have nearly all requests
    /// refused as too late.
    pub fn expected_output(&self, product: &Name, limit: u32) -> u32 {
        let mean = self.accounts.get(product).and_then(|a| a.output);
        let most = mean.map_or(INITIAL_OUTPUT, |m| (m * OUTPUT_SPREAD).max(INITIAL_OUTPUT));
        limit.min(most as u32)
    }

    /// Records that an answer of `product` had `tokens` tokens.
    pub fn record_output(&mut self, product: &Name, tokens: u32) {
        let account = self.accounts.entry(product.clone()).or_default();
        let tokens = f64::from(tokens);
        let mean = account.output.unwrap_or(tokens);
        account.output = Some(mean + OUTPUT_WEIGHT * (tokens - mean));
    }

    /// Decides on a request of `product`, and counts its cost if it may run.
    pub fn admit(
        &mut self,
        now: Time,
        product: &Name,
        service: ServiceShare,
        request: RequestCost,
    ) -> Admission {
        if self.updated_at.is_none_or(|at| now.since(at) >= UPDATE_INTERVAL) {
            self.update_capacity(now, service.engines);
        }
        let even = self.even_fraction;
        let capacity = self.capacity;
        let account = self.accounts.entry(product.clone()).or_default();
        account.share = service.share.fraction();
        account.entitled = capacity * account.share * account.fraction.unwrap_or(even);
        // Only earlier usage counts: a request that alone exceeds a small share must be able to run.
        let within = account.usage.rate(now) < account.entitled;
        let rate = account.usage.with(now, request.cost);
        if request.total > CONGESTED * request.left {
            self.congested = true;
        }
        if request.total > TOO_LATE * request.left {
            return self.refuse(Reason::TooLate, request.total - request.left);
        }
        if !within && !self.may_borrow(product, rate, request) {
            let entitled = self.accounts.get(product).map_or(0.0, |a| a.entitled);
            return self.refuse(Reason::OverShare, decay_seconds(rate, entitled));
        }
        if let Some(account) = self.accounts.get_mut(product) {
            account.usage.add(now, request.cost);
        }
        match within {
            true => Admission::WithinShare,
            false => Admission::Borrowed,
        }
    }

    /// Whether the product may borrow up to `rate`: its part of the spare capacity, divided by shares among the
    /// borrowers.
    fn may_borrow(&self, product: &Name, rate: f64, request: RequestCost) -> bool {
        let Some(account) = self.accounts.get(product) else {
            return false;
        };
        rate <= account.entitled + self.lending.part(account.share)
            && request.total <= BORROW_TIME * request.left
    }

    /// Computes the spare capacity, and adjusts the capacity factor.
    fn update_capacity(&mut self, now: Time, engines: usize) {
        self.updated_at = Some(now);
        let congested = std::mem::replace(&mut self.congested, false);
        self.capacity = engines as f64 * self.capacity_factor.update(congested);
        let uses = self.accounts.values().map(|account| ShareUse {
            rate: account.usage.rate(now),
            entitled: account.entitled,
            weight: account.share,
        });
        self.lending = Lending::new(self.capacity * self.even_fraction, uses);
    }

    fn refuse(&mut self, reason: Reason, seconds: f64) -> Admission {
        let jitter = 1.0 + 0.5 * self.rng.random::<f64>();
        let seconds = (seconds * jitter).clamp(RETRY_AFTER_S.0, RETRY_AFTER_S.1);
        Admission::Refused(reason, Duration::from_secs_f64(seconds))
    }
}
