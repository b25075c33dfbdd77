//! Planner that decides which engine of a service should change its role, if any.
//!
//! The demand is forecast with a fast and a slow [`MovingAverage`]. A change is proposed only if its gain
//! over the horizon exceeds its price: the goodput lost while the engine is unavailable, and the weight that
//! operators give to a role change. In services of up to `ENGINES_PER_CHANGE` engines one engine changes at a
//! time, and each has a cooldown afterwards. Nothing is proposed on reports that are too old, nor while the
//! key-value service is unreachable.

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

/// Time constant of the fast average, in multiples of the downtime of a role change.
const FAST_TIME_CONSTANT: u32 = 4;

/// Time constant of the slow average, in multiples of the downtime.
const SLOW_TIME_CONSTANT: u32 = 100;

/// Time over which a change must pay off, in multiples of the downtime.
const HORIZON: u32 = 30;

/// Pause of the whole service after a change, in multiples of the downtime.
const SERVICE_COOLDOWN: u32 = 1;

/// Pause of an engine after its change, in multiples of the downtime.
const ENGINE_COOLDOWN: u32 = 12;

/// Time after which a proposal that has not taken effect is dropped, in multiples of the downtime.
const PROPOSAL_EXPIRY: u32 = 40;

/// A service may have one pending change per this many engines, rounded up.
const ENGINES_PER_CHANGE: usize = 16;

/// Share of the horizon's goodput that a change must gain, in addition to [`MIN_GAIN`], if its weight is 100.
const FULL_WEIGHT_GAIN: f64 = 0.25;

/// Share of the horizon's goodput that a change must gain if its weight is 0, in addition to what its
/// downtime costs.
const MIN_GAIN: f64 = 0.01;

/// Weight of the fast average against the slow one. The slow average covers the mix of the last minutes:
/// roles that suit only the current mix have to be changed again, at the same price, when the mix shifts.
const FAST_AVERAGE_WEIGHT: f64 = 0.6;

/// Duration of an answer in seconds, which the drain before a change takes.
const DRAIN_SECONDS: f64 = 1.0;

/// Share of the engines whose reports must be fresh.
const MIN_FRESH_SHARE: f64 = 0.75;

/// Baseline policy: an engine moves to a pool utilized above the first threshold from one below the second.
const POOL_THRESHOLDS: (f64, f64) = (0.7, 0.5);

/// An engine as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStatus {
    /// Name of the engine.
    pub name: Name,
    /// The role that the engine reported last.
    pub role: Role,
    /// Whether an operator fixed the engine's role or is taking it out of service.
    pub fixed: bool,
    /// Whether the engine was unavailable because of an order in progress.
    pub away: bool,
    /// Number of requests at the engine.
    pub requests: u32,
    /// Speed of the engine.
    pub speed: Speed,
    /// Age of the engine's report.
    pub age: Duration,
}

/// The state on which the planner decides.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerInput {
    /// The service's engines that can be reached.
    pub engines: Vec<EngineStatus>,
    /// Weight of one role change, 0 to 100.
    pub change_weight: u32,
    /// Age above which a report is ignored.
    pub max_age: Duration,
    /// Whether the key-value service answers.
    pub platform_reachable: bool,
}

/// A proposed role change. Gain and price are 0 under the threshold policy.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleChange {
    /// The engine to change.
    pub engine: Name,
    /// The role that the engine should get.
    pub role: Role,
    /// Gain of the change, in seconds of the service's whole goodput.
    pub gain: f64,
    /// Price of the change, in the same unit.
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
    /// A planner for engines that are unavailable for `downtime` during a role change.
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

    /// Adds the demand since the last call, from the callers of all instances.
    pub fn observe(&mut self, now: Time, work: Demand) {
        self.fast.add(now, work);
        self.slow.add(now, work);
    }

    /// Forecast of the demand by the fast average, in tokens per second.
    pub fn forecast(&self) -> Demand {
        self.fast.rate()
    }

    /// The change to propose now, if the gain of any exceeds its price.
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

    /// Drops proposals that took effect, and those that expired.
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

    /// The share of the demand that these roles serve, weighted between the fast and the slow average.
    fn weighted_service(&self, counts: RoleCounts, speed: Speed) -> f64 {
        FAST_AVERAGE_WEIGHT * served_share(counts, speed, self.fast.rate())
            + (1.0 - FAST_AVERAGE_WEIGHT) * served_share(counts, speed, self.slow.rate())
    }

    /// The engine of role `from` that has the fewest requests to drain.
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

    /// Baseline policy: one pool is utilized above a threshold, the other below another one.
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

/// Share of the goodput over the horizon that a change must gain.
fn min_gain(weight: u32) -> f64 {
    MIN_GAIN + FULL_WEIGHT_GAIN * f64::from(weight.min(100)) / 100.0
}

/// Whether the input is good enough to decide on a change.
///
/// Failure guarded against: with late reports the planner would see the roles and loads from before its last
/// change, and would change another engine for the same shift in the mix, back and forth. Without the
/// key-value service an order could not be opened, and would be carried out only when the mix has long
/// changed again.
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
