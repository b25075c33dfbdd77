//! Which engine of a service should change its role, if any.
//!
//! The demand is forecast at two speeds ([`demand`]). A change is proposed only if what it gains over the horizon
//! is worth more than its price: the seconds that the engine is away, and the weight that operators give to a role
//! change. One engine changes at a time in a service of today's size, and each rests afterwards. Nothing is
//! proposed on reports older than their lag, nor while the key-value service is out of reach.

mod capacity;
mod demand;

use std::collections::BTreeMap;
use std::time::Duration;

pub use capacity::RoleCounts;
pub use capacity::served_share;
pub use demand::Demand;
pub use demand::MovingAverage;

use crate::config::Role;
use crate::engine::Speed;
use crate::name::Name;
use crate::policy::Policy;
use crate::time::Time;

/// Time constant of the fast mean, in times away.
const FAST_TIME_CONSTANT: u32 = 4;

/// Time constant of the slow mean, in times away.
const SLOW_TIME_CONSTANT: u32 = 100;

/// Time over which a change must pay, in times away.
const HORIZON: u32 = 30;

/// Pause after a change of the service, in times away.
const SERVICE_COOLDOWN: u32 = 1;

/// Pause of an engine after its change, in times away.
const ENGINE_COOLDOWN: u32 = 12;

/// A proposal that did not take effect after so many times away is dropped.
const PROPOSAL_EXPIRY: u32 = 40;

/// Engines of a service for each one that may be in change.
const ENGINES_PER_CHANGE: usize = 16;

/// Part of the horizon's goodput that a change must gain where its weight is 100.
const FULL_WEIGHT_GAIN: f64 = 0.25;

/// Part of the horizon's goodput that a change must gain where its weight is 0, beside its seconds away.
const MIN_GAIN: f64 = 0.01;

/// Weight of the fast mean against the slow one. The slow mean holds the mix of the last minutes: roles that serve
/// only the mix of this moment are paid for again with the next shift.
const FAST_AVERAGE_WEIGHT: f64 = 0.6;

/// Seconds of an answer, which a drain takes before the change.
const DRAIN_SECONDS: f64 = 1.0;

/// Part of the engines whose reports must be fresh.
const MIN_FRESH_SHARE: f64 = 0.75;

/// Baseline: a pool above the first changes places with one below the second.
const POOL_THRESHOLDS: (f64, f64) = (0.7, 0.5);

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
    downtime: Duration,
    fast: MovingAverage,
    slow: MovingAverage,
    pending: BTreeMap<Name, Pending>,
    changed_at: BTreeMap<Name, Time>,
    paused_until: Time,
}

impl Planner {
    /// A planner for engines that a role change takes away for `away`.
    pub fn new(policy: Policy, downtime: Duration) -> Planner {
        Planner {
            policy,
            downtime,
            fast: MovingAverage::new(downtime * FAST_TIME_CONSTANT),
            slow: MovingAverage::new(downtime * SLOW_TIME_CONSTANT),
            pending: BTreeMap::new(),
            changed_at: BTreeMap::new(),
            paused_until: Time::ZERO,
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
    pub fn plan(&mut self, now: Time, input: &PlannerInput) -> Option<RoleChange> {
        self.update_pending(now, input);
        let max_pending = input.engines.len().div_ceil(ENGINES_PER_CHANGE);
        if now < self.paused_until || self.pending.len() >= max_pending || !is_usable(input) {
            return None;
        }
        let change = match self.policy {
            Policy::Adaptive => self.best_change(now, input)?,
            Policy::Threshold => self.threshold_change(input)?,
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
    fn update_pending(&mut self, now: Time, input: &PlannerInput) {
        let expiry = self.downtime * PROPOSAL_EXPIRY;
        let mut done = Vec::new();
        for (name, pending) in &self.pending {
            let engine = input.engines.iter().find(|e| e.name == *name);
            if engine.is_some_and(|e| e.role == pending.role && !e.away) {
                done.push(name.clone());
            }
        }
        for name in done {
            self.pending.remove(&name);
            self.changed_at.insert(name, now);
            self.paused_until = now + self.downtime * SERVICE_COOLDOWN;
        }
        self.pending.retain(|_, p| now.since(p.since) < expiry);
        let cooldown = self.downtime * ENGINE_COOLDOWN;
        self.changed_at.retain(|_, at| now.since(*at) < cooldown);
    }

    fn best_change(&self, now: Time, input: &PlannerInput) -> Option<RoleChange> {
        let speed = mean_speed(&input.engines);
        let counts = role_counts(&input.engines);
        let before = self.weighted_service(counts, speed);
        let horizon = (self.downtime * HORIZON).as_secs_f64();
        let mut best: Option<RoleChange> = None;
        for (from, to) in role_moves() {
            let Some(engine) = self.candidate(now, input, from) else {
                continue;
            };
            let gain = horizon * (self.weighted_service(counts.minus(from).plus(to), speed) - before);
            let loss = before - self.weighted_service(counts.minus(from), speed);
            let price = loss * (self.downtime.as_secs_f64() + DRAIN_SECONDS)
                + horizon * min_gain(input.change_weight);
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
    fn weighted_service(&self, counts: RoleCounts, speed: Speed) -> f64 {
        FAST_AVERAGE_WEIGHT * served_share(counts, speed, self.fast.rate())
            + (1.0 - FAST_AVERAGE_WEIGHT) * served_share(counts, speed, self.slow.rate())
    }

    /// The engine of role `from` that has least to drain.
    fn candidate<'a>(&self, now: Time, input: &'a PlannerInput, from: Role) -> Option<&'a EngineStatus> {
        let cooldown = self.downtime * ENGINE_COOLDOWN;
        let rested = |e: &&EngineStatus| {
            self.changed_at
                .get(&e.name)
                .is_none_or(|at| now.since(*at) >= cooldown)
        };
        let movable = input
            .engines
            .iter()
            .filter(|e| e.role == from && !e.fixed && !e.away && e.age <= input.max_age)
            .filter(|e| !self.pending.contains_key(&e.name));
        movable.filter(rested).min_by_key(|e| e.requests)
    }

    /// Baseline: one pool is above a threshold, the other below another.
    fn threshold_change(&self, input: &PlannerInput) -> Option<RoleChange> {
        let speed = mean_speed(&input.engines);
        let counts = role_counts(&input.engines);
        let demand = self.fast.rate();
        let utilization =
            |role: Role, tokens: f64, rate: f64| tokens / (rate * f64::from(counts.of(role).max(1)));
        let profile = |role| crate::engine::RoleProfile::of(role, speed.slots);
        let prefill = utilization(
            Role::Prefill,
            demand.prefill,
            profile(Role::Prefill).prompt_rate(speed),
        );
        let decode = utilization(
            Role::Decode,
            demand.decode,
            profile(Role::Decode).output_rate(speed),
        );
        let (from, to) = match (prefill, decode) {
            (high, low) if high > POOL_THRESHOLDS.0 && low < POOL_THRESHOLDS.1 => {
                (Role::Decode, Role::Prefill)
            }
            (low, high) if high > POOL_THRESHOLDS.0 && low < POOL_THRESHOLDS.1 => {
                (Role::Prefill, Role::Decode)
            }
            _ => return None,
        };
        if counts.of(from) <= 1 {
            return None;
        }
        let engines = input
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
fn min_gain(weight: u32) -> f64 {
    MIN_GAIN + FULL_WEIGHT_GAIN * f64::from(weight.min(100)) / 100.0
}

/// Whether the evidence may lead to a change.
///
/// Failure guarded against: with late reports the planner would see roles and loads of before its last change, and
/// change another engine for the same shift, back and forth; without the key-value service an order could not be
/// opened, and would be carried out when the mix is long another.
fn is_usable(input: &PlannerInput) -> bool {
    let fresh = input.engines.iter().filter(|e| e.age <= input.max_age).count();
    input.platform_reachable && fresh as f64 >= MIN_FRESH_SHARE * input.engines.len() as f64
}

fn role_moves() -> [(Role, Role); 6] {
    [
        (Role::Decode, Role::Prefill),
        (Role::Prefill, Role::Decode),
        (Role::Mixed, Role::Prefill),
        (Role::Mixed, Role::Decode),
        (Role::Prefill, Role::Mixed),
        (Role::Decode, Role::Mixed),
    ]
}

fn role_counts(engines: &[EngineStatus]) -> RoleCounts {
    engines
        .iter()
        .fold(RoleCounts::default(), |counts, engine| counts.plus(engine.role))
}

fn mean_speed(engines: &[EngineStatus]) -> Speed {
    let count = engines.len().max(1) as f64;
    Speed {
        prefill: engines.iter().map(|e| e.speed.prefill).sum::<f64>() / count,
        decode: engines.iter().map(|e| e.speed.decode).sum::<f64>() / count,
        slots: (engines.iter().map(|e| f64::from(e.speed.slots)).sum::<f64>() / count) as u32,
    }
}
