//! Which engine of a service should change its role, if any.
//!
//! The demand is forecast at two speeds ([`demand`]). A change is proposed only if what it gains over the horizon
//! is worth more than its price: the seconds that the engine is away, and the weight that operators give to a role
//! change. One engine changes at a time in a service of today's size, and each rests afterwards. Nothing is
//! proposed on reports older than their lag, nor while the key-value service is out of reach.

mod demand;
mod fit;

use std::collections::BTreeMap;
use std::time::Duration;

pub use demand::Demand;
pub use demand::Mean;
pub use fit::Counts;
pub use fit::served;

use crate::config::Role;
use crate::engine::Speed;
use crate::name::Name;
use crate::policy::Policy;
use crate::time::Time;

/// Time constant of the fast mean, in times away.
const FAST: u32 = 4;

/// Time constant of the slow mean, in times away.
const SLOW: u32 = 100;

/// Time over which a change must pay, in times away.
const HORIZON: u32 = 30;

/// Pause after a change of the service, in times away.
const REST: u32 = 1;

/// Pause of an engine after its change, in times away.
const ENGINE_REST: u32 = 12;

/// A proposal that did not take effect after so many times away is dropped.
const EXPIRY: u32 = 40;

/// Engines of a service for each one that may be in change.
const PER_CHANGE: usize = 16;

/// Part of the horizon's goodput that a change must gain where its weight is 100.
const FULL_WEIGHT: f64 = 0.25;

/// Part of the horizon's goodput that a change must gain where its weight is 0, beside its seconds away.
const LEAST_GAIN: f64 = 0.01;

/// Weight of the fast mean against the slow one. The slow mean holds the mix of the last minutes: roles that serve
/// only the mix of this moment are paid for again with the next shift.
const NOW: f64 = 0.6;

/// Seconds of an answer, which a drain takes before the change.
const DRAIN: f64 = 1.0;

/// Part of the engines whose reports must be fresh.
const FRESH: f64 = 0.75;

/// Baseline: a pool above the first changes places with one below the second.
const THRESHOLDS: (f64, f64) = (0.7, 0.5);

/// An engine as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStatus {
    /// Its name.
    pub name: Name,
    /// The role that it reported last.
    pub role: Role,
    /// Whether an operator fixed its role, or takes it out of service.
    pub fixed: bool,
    /// Whether it was away.
    pub away: bool,
    /// Requests there.
    pub requests: u32,
    /// How fast it is.
    pub speed: Speed,
    /// Age of its report.
    pub age: Duration,
}

/// What the planner decides on.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerInput {
    /// The service's engines that can be reached.
    pub engines: Vec<EngineStatus>,
    /// Weight of one role change, 0 to 100.
    pub change_weight: u32,
    /// Age above which a report is no evidence.
    pub max_age: Duration,
    /// Whether the key-value service answers.
    pub platform_reachable: bool,
}

/// A change worth its price.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleChange {
    /// The engine.
    pub engine: Name,
    /// The role that it should have.
    pub role: Role,
    /// What it gains, in seconds of the service's whole goodput.
    pub gain: f64,
    /// What it costs, in the same unit.
    pub price: f64,
}

#[derive(Debug, Clone)]
struct Pending {
    role: Role,
    since: Time,
}

/// Planner of one service's roles.
#[derive(Debug, Clone)]
pub struct Planner {
    policy: Policy,
    away: Duration,
    fast: Mean,
    slow: Mean,
    pending: BTreeMap<Name, Pending>,
    changed: BTreeMap<Name, Time>,
    rest: Time,
}

impl Planner {
    /// A planner for engines that a role change takes away for `away`.
    pub fn new(policy: Policy, away: Duration) -> Planner {
        Planner {
            policy,
            away,
            fast: Mean::new(away * FAST),
            slow: Mean::new(away * SLOW),
            pending: BTreeMap::new(),
            changed: BTreeMap::new(),
            rest: Time::ZERO,
        }
    }

    /// Notes the work asked for since the last call, by the callers of all instances.
    pub fn observe(&mut self, now: Time, work: Demand) {
        self.fast.add(now, work);
        self.slow.add(now, work);
    }

    /// Tokens a second by the fast mean.
    pub fn forecast(&self) -> Demand {
        self.fast.rate()
    }

    /// The change to propose now, if any is worth its price.
    pub fn plan(&mut self, now: Time, evidence: &PlannerInput) -> Option<RoleChange> {
        self.settle(now, evidence);
        let most = evidence.engines.len().div_ceil(PER_CHANGE);
        if now < self.rest || self.pending.len() >= most || !is_good(evidence) {
            return None;
        }
        let change = match self.policy {
            Policy::Adaptive => self.worthwhile(now, evidence)?,
            Policy::Threshold => self.over_threshold(evidence)?,
            Policy::Fixed | Policy::LeastLoad | Policy::RoundRobin => return None,
        };
        let pending = Pending {
            role: change.role,
            since: now,
        };
        self.pending.insert(change.engine.clone(), pending);
        Some(change)
    }

    /// Drops proposals that took effect, and those that never did.
    fn settle(&mut self, now: Time, evidence: &PlannerInput) {
        let expiry = self.away * EXPIRY;
        let mut done = Vec::new();
        for (name, pending) in &self.pending {
            let seen = evidence.engines.iter().find(|e| e.name == *name);
            if seen.is_some_and(|e| e.role == pending.role && !e.away) {
                done.push(name.clone());
            }
        }
        for name in done {
            self.pending.remove(&name);
            self.changed.insert(name, now);
            self.rest = now + self.away * REST;
        }
        self.pending.retain(|_, p| now.since(p.since) < expiry);
        let rest = self.away * ENGINE_REST;
        self.changed.retain(|_, at| now.since(*at) < rest);
    }

    fn worthwhile(&self, now: Time, evidence: &PlannerInput) -> Option<RoleChange> {
        let speed = mean_speed(&evidence.engines);
        let counts = counts(&evidence.engines);
        let before = self.worth(counts, speed);
        let horizon = (self.away * HORIZON).as_secs_f64();
        let mut best: Option<RoleChange> = None;
        for (from, to) in moves() {
            let Some(engine) = self.candidate(now, evidence, from) else {
                continue;
            };
            let gain = horizon * (self.worth(counts.minus(from).plus(to), speed) - before);
            let lost = before - self.worth(counts.minus(from), speed);
            let price =
                lost * (self.away.as_secs_f64() + DRAIN) + horizon * least_gain(evidence.change_weight);
            if gain > price && best.as_ref().is_none_or(|b| gain > b.gain) {
                best = Some(RoleChange {
                    engine: engine.name.clone(),
                    role: to,
                    gain,
                    price,
                });
            }
        }
        best
    }

    /// The part of the demand that these roles serve, now and as it was on the whole.
    fn worth(&self, counts: Counts, speed: Speed) -> f64 {
        NOW * served(counts, speed, self.fast.rate()) + (1.0 - NOW) * served(counts, speed, self.slow.rate())
    }

    /// The engine of role `from` that has least to drain.
    fn candidate<'a>(&self, now: Time, evidence: &'a PlannerInput, from: Role) -> Option<&'a EngineStatus> {
        let rest = self.away * ENGINE_REST;
        let rested = |e: &&EngineStatus| self.changed.get(&e.name).is_none_or(|at| now.since(*at) >= rest);
        let free = evidence
            .engines
            .iter()
            .filter(|e| e.role == from && !e.fixed && !e.away && e.age <= evidence.max_age)
            .filter(|e| !self.pending.contains_key(&e.name));
        free.filter(rested).min_by_key(|e| e.requests)
    }

    /// Baseline: one pool is above a threshold, the other below another.
    fn over_threshold(&self, evidence: &PlannerInput) -> Option<RoleChange> {
        let speed = mean_speed(&evidence.engines);
        let counts = counts(&evidence.engines);
        let demand = self.fast.rate();
        let use_of = |role: Role, tokens: f64, rate: f64| tokens / (rate * f64::from(counts.of(role).max(1)));
        let profile = |role| crate::engine::RoleProfile::of(role, speed.slots);
        let prefill = use_of(
            Role::Prefill,
            demand.prefill,
            profile(Role::Prefill).prompt_rate(speed),
        );
        let decode = use_of(
            Role::Decode,
            demand.decode,
            profile(Role::Decode).output_rate(speed),
        );
        let (from, to) = match (prefill, decode) {
            (high, low) if high > THRESHOLDS.0 && low < THRESHOLDS.1 => (Role::Decode, Role::Prefill),
            (low, high) if high > THRESHOLDS.0 && low < THRESHOLDS.1 => (Role::Prefill, Role::Decode),
            _ => return None,
        };
        if counts.of(from) <= 1 {
            return None;
        }
        let engines = evidence
            .engines
            .iter()
            .filter(|e| e.role == from && !e.fixed && !e.away);
        let engine = engines.min_by_key(|e| e.requests)?;
        Some(RoleChange {
            engine: engine.name.clone(),
            role: to,
            gain: 0.0,
            price: 0.0,
        })
    }
}

/// Part of the goodput over the horizon that a change must gain.
fn least_gain(weight: u32) -> f64 {
    LEAST_GAIN + FULL_WEIGHT * f64::from(weight.min(100)) / 100.0
}

/// Whether the evidence may lead to a change.
///
/// Failure guarded against: with late reports the planner would see roles and loads of before its last change, and
/// change another engine for the same shift, back and forth; without the key-value service an order could not be
/// opened, and would be carried out when the mix is long another.
fn is_good(evidence: &PlannerInput) -> bool {
    let fresh = evidence
        .engines
        .iter()
        .filter(|e| e.age <= evidence.max_age)
        .count();
    evidence.platform_reachable && fresh as f64 >= FRESH * evidence.engines.len() as f64
}

fn moves() -> [(Role, Role); 6] {
    [
        (Role::Decode, Role::Prefill),
        (Role::Prefill, Role::Decode),
        (Role::Mixed, Role::Prefill),
        (Role::Mixed, Role::Decode),
        (Role::Prefill, Role::Mixed),
        (Role::Decode, Role::Mixed),
    ]
}

fn counts(engines: &[EngineStatus]) -> Counts {
    engines
        .iter()
        .fold(Counts::default(), |counts, engine| counts.plus(engine.role))
}

fn mean_speed(engines: &[EngineStatus]) -> Speed {
    let count = engines.len().max(1) as f64;
    Speed {
        prefill: engines.iter().map(|e| e.speed.prefill).sum::<f64>() / count,
        decode: engines.iter().map(|e| e.speed.decode).sum::<f64>() / count,
        slots: (engines.iter().map(|e| f64::from(e.speed.slots)).sum::<f64>() / count) as u32,
    }
}
