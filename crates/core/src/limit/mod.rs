//! Whether a request may run now.
//!
//! What a product is owed is a share of a service's engine time. Requests within it are admitted; beyond it they
//! borrow what others leave unused, in proportion to shares, while the engines are not congested. A request whose
//! deadline can't be met is refused at once. No call to another instance is made: an instance holds each product
//! to its part of the share, and parts follow demand (see [`Limiter::set_part`]).

mod services;
mod usage;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use services::Limits;
pub use usage::TIME_CONSTANT;
pub use usage::Usage;

use crate::config::Role;
use crate::config::Share;
use crate::engine::RoleProfile;
use crate::engine::Speed;
use crate::engine::step_time;
use crate::name::Name;
use crate::outcome::Reason;
use crate::time::Time;

/// How often it is worked out what may be lent.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Part of the capacity that may be in use before nothing more is lent.
const MAX_LENT: f64 = 0.9;

/// Part of the time left to its deadline that a borrowing request may be expected to take.
const BORROW_TIME: f64 = 0.8;

/// Part of the time left that the expected time may take before the service counts as congested.
const CONGESTED: f64 = 0.9;

/// A request is refused as too late if it is expected to take this many times the time left.
const TOO_LATE: f64 = 1.0;

/// Factor on what is taken for capacity after each [`UPDATE_INTERVAL`] in which the service was congested.
const CAPACITY_DECREASE: f64 = 0.9;

/// The same after each that was not.
const CAPACITY_INCREASE: f64 = 1.03;

/// Least factor on the capacity.
const MIN_CAPACITY_FACTOR: f64 = 0.2;

/// Shortest and longest time named to come back, in seconds.
const RETRY_AFTER_S: (f64, f64) = (0.2, 30.0);

/// Tokens that an answer is expected to have at most, before any answers of its product were seen.
const INITIAL_OUTPUT: f64 = 256.0;

/// An answer is expected to have at most this many times the mean of its product's answers.
const OUTPUT_SPREAD: f64 = 2.0;

/// Weight of the last answer in that mean.
const OUTPUT_WEIGHT: f64 = 0.05;

/// A request as its limits see it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestCost {
    /// Engine seconds that it takes.
    pub cost: f64,
    /// Seconds until its answer would be whole.
    pub total: f64,
    /// Seconds to its deadline.
    pub left: f64,
}

/// What a product is owed of the service that it asks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceShare {
    /// Share of engine time.
    pub share: Share,
    /// Engines of the service.
    pub engines: usize,
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// It is within the product's share.
    WithinShare,
    /// It uses what others leave.
    Borrowed,
    /// It may not run now.
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

/// What a product is owed and uses of one service, through one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountView {
    /// The product.
    pub product: Name,
    /// Engine seconds a second that it is owed here.
    pub entitled: f64,
    /// Engine seconds a second that it used lately.
    pub used: f64,
}

/// Limits of one service in one instance.
#[derive(Debug, Clone)]
pub struct Limiter {
    accounts: BTreeMap<Name, Account>,
    capacity: f64,
    even_fraction: f64,
    capacity_factor: f64,
    congested: bool,
    spare: f64,
    borrowers: f64,
    updated_at: Option<Time>,
    rng: ChaCha8Rng,
}

/// Engine seconds that `prefill` uncached prompt tokens and `output` tokens take in a busy engine.
pub fn cost(speed: Speed, prefill: u32, output: u32) -> f64 {
    let slots = f64::from(RoleProfile::of(Role::Decode, speed.slots).slots);
    f64::from(prefill) / speed.prefill + f64::from(output) * step_time(speed, slots) / slots
}

impl Limiter {
    /// Limits of an instance that has seen no requests. `seed` draws the jitter of times to come back.
    pub fn new(seed: u64) -> Limiter {
        Limiter {
            accounts: BTreeMap::new(),
            capacity: 0.0,
            even_fraction: 1.0,
            capacity_factor: 1.0,
            congested: false,
            spare: 0.0,
            borrowers: 0.0,
            updated_at: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets how many instances share the engines. Each has an even part, where no demand is known.
    pub fn set_instances(&mut self, count: usize) {
        self.even_fraction = 1.0 / count.max(1) as f64;
    }

    /// Sets which part of `product`'s share this instance gives out, from 0 to 1: its part of the demand that
    /// all instances saw.
    pub fn set_fraction(&mut self, product: &Name, part: f64) {
        self.accounts.entry(product.clone()).or_default().fraction = Some(part.clamp(0.0, 1.0));
    }

    /// Engine seconds a second that `product` used here lately.
    pub fn rate(&self, now: Time, product: &Name) -> f64 {
        self.accounts.get(product).map_or(0.0, |a| a.usage.rate(now))
    }

    /// What each product that asked is owed and uses, in the order of their names.
    pub fn accounts(&self, now: Time) -> impl Iterator<Item = AccountView> {
        self.accounts.iter().map(move |(product, account)| AccountView {
            product: product.clone(),
            entitled: account.entitled,
            used: account.usage.rate(now),
        })
    }

    /// Factor from 0 to 1 on the capacity, lowered while requests run late.
    pub fn capacity_factor(&self) -> f64 {
        self.capacity_factor
    }

    /// Tokens that an answer of `product` with at most `limit` tokens is expected to have.
    ///
    /// Callers set a limit far above what most answers have; taken at its word it would have nearly everything
    /// refused as too late.
    pub fn expected_output(&self, product: &Name, limit: u32) -> u32 {
        let mean = self.accounts.get(product).and_then(|a| a.output);
        let most = mean.map_or(INITIAL_OUTPUT, |m| (m * OUTPUT_SPREAD).max(INITIAL_OUTPUT));
        limit.min(most as u32)
    }

    /// Notes that an answer of `product` had `tokens` tokens.
    pub fn record_output(&mut self, product: &Name, tokens: u32) {
        let account = self.accounts.entry(product.clone()).or_default();
        let tokens = f64::from(tokens);
        let mean = account.output.unwrap_or(tokens);
        account.output = Some(mean + OUTPUT_WEIGHT * (tokens - mean));
    }

    /// Decides on a request of `product`, and counts it if it may run.
    pub fn admit(&mut self, now: Time, product: &Name, owed: ServiceShare, need: RequestCost) -> Admission {
        if self.updated_at.is_none_or(|at| now.since(at) >= UPDATE_INTERVAL) {
            self.update_capacity(now, owed.engines);
        }
        let even = self.even_fraction;
        let capacity = self.capacity;
        let account = self.accounts.entry(product.clone()).or_default();
        account.share = owed.share.fraction();
        account.entitled = capacity * account.share * account.fraction.unwrap_or(even);
        // What it used before counts: a request that alone is more than a small share must be able to run.
        let within = account.usage.rate(now) < account.entitled;
        let rate = account.usage.with(now, need.cost);
        if need.total > CONGESTED * need.left {
            self.congested = true;
        }
        if need.total > TOO_LATE * need.left {
            return self.refuse(Reason::TooLate, need.total - need.left);
        }
        if !within && !self.may_borrow(product, rate, need) {
            let owed = self.accounts.get(product).map_or(0.0, |a| a.entitled);
            let over = rate / owed.max(f64::MIN_POSITIVE);
            return self.refuse(
                Reason::OverShare,
                TIME_CONSTANT.as_secs_f64() * over.max(1.0).ln(),
            );
        }
        if let Some(account) = self.accounts.get_mut(product) {
            account.usage.add(now, need.cost);
        }
        match within {
            true => Admission::WithinShare,
            false => Admission::Borrowed,
        }
    }

    /// Whether the product may borrow up to `rate`: its part of what is spare, by shares among borrowers.
    fn may_borrow(&self, product: &Name, rate: f64, need: RequestCost) -> bool {
        let Some(account) = self.accounts.get(product) else {
            return false;
        };
        let weight = match self.borrowers > 0.0 {
            true => account.share.max(0.01) / self.borrowers.max(account.share.max(0.01)),
            false => 1.0,
        };
        rate <= account.entitled + self.spare * weight && need.total <= BORROW_TIME * need.left
    }

    /// Works out what is spare, and moves the factor on the capacity.
    ///
    /// Failure guarded against: a capacity taken too high (engines lost, roles that don't fit the mix, costs
    /// guessed too low). All products would then be within their shares, and the one that asks most would take
    /// from the others. The guard lowers what counts as capacity until the admitted requests run in time.
    fn update_capacity(&mut self, now: Time, engines: usize) {
        self.updated_at = Some(now);
        let factor = if self.congested {
            CAPACITY_DECREASE
        } else {
            CAPACITY_INCREASE
        };
        self.capacity_factor = (self.capacity_factor * factor).clamp(MIN_CAPACITY_FACTOR, 1.0);
        self.congested = false;
        self.capacity = engines as f64 * self.capacity_factor;
        let mut used = 0.0;
        self.borrowers = 0.0;
        for account in self.accounts.values() {
            let rate = account.usage.rate(now);
            used += rate.min(account.entitled);
            if rate > account.entitled * MAX_LENT {
                self.borrowers += account.share.max(0.01);
            }
        }
        self.spare = (self.capacity * self.even_fraction * MAX_LENT - used).max(0.0);
    }

    fn refuse(&mut self, reason: Reason, seconds: f64) -> Admission {
        let jitter = 1.0 + 0.5 * self.rng.random::<f64>();
        let seconds = (seconds * jitter).clamp(RETRY_AFTER_S.0, RETRY_AFTER_S.1);
        Admission::Refused(reason, Duration::from_secs_f64(seconds))
    }
}
