//! How much of a demand a set of engine roles can serve.

use crate::config::Role;
use crate::engine::RoleProfile;
use crate::engine::Speed;
use crate::roles::demand::Demand;

/// Multiple of the demand beyond which further capacity adds no value.
const HEADROOM: f64 = 1.5;

/// Bisection steps by which the largest multiple of a demand that can be served is found.
const BISECTION_STEPS: usize = 16;

/// Number of engines in each role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoleCounts {
    /// Engines in the role prefill.
    pub prefill: u32,
    /// Engines in the role mixed.
    pub mixed: u32,
    /// Engines in the role decode.
    pub decode: u32,
}

impl RoleCounts {
    /// Number of engines with `role`.
    pub fn of(&self, role: Role) -> u32 {
        match role {
            Role::Prefill => self.prefill,
            Role::Mixed => self.mixed,
            Role::Decode => self.decode,
        }
    }

    /// Number of engines in all roles.
    pub fn total(&self) -> u32 {
        self.prefill + self.mixed + self.decode
    }

    /// The counts with one more engine of `role`.
    pub fn plus(mut self, role: Role) -> RoleCounts {
        *self.count_mut(role) += 1;
        self
    }

    /// The counts with one engine of `role` less, if there is one.
    pub fn minus(mut self, role: Role) -> RoleCounts {
        let count = self.count_mut(role);
        *count = count.saturating_sub(1);
        self
    }

    fn count_mut(&mut self, role: Role) -> &mut u32 {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Mixed => &mut self.mixed,
            Role::Decode => &mut self.decode,
        }
    }
}

/// Remaining capacity of the engines of one role.
#[derive(Debug, Clone, Copy)]
struct Pool {
    free_engines: f64,
    prompt_rate: f64,
    output_rate: f64,
}

impl Pool {
    fn new(counts: RoleCounts, role: Role, speed: Speed) -> Pool {
        let profile = RoleProfile::of(role, speed.slots);
        Pool {
            free_engines: f64::from(counts.of(role)),
            prompt_rate: profile.prompt_rate(speed),
            output_rate: profile.output_rate(speed),
        }
    }

    /// Assigns as much of `tokens` per second as fits, at `rate` tokens per second and engine; returns the
    /// rest.
    fn assign(&mut self, tokens: f64, rate: f64) -> f64 {
        let taken = (tokens / rate).min(self.free_engines);
        self.free_engines -= taken;
        tokens - taken * rate
    }
}

/// The share of `demand` that engines in these roles serve in time, from 0 to 1. It reaches 1 only with some
/// headroom for peaks.
pub fn served_share(counts: RoleCounts, speed: Speed, demand: Demand) -> f64 {
    if counts.total() == 0 {
        return 0.0;
    }
    let (mut low, mut high) = (0.0, HEADROOM);
    if can_serve(counts, speed, demand.scaled(high)) {
        return 1.0;
    }
    for _ in 0..BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        match can_serve(counts, speed, demand.scaled(middle)) {
            true => low = middle,
            false => high = middle,
        }
    }
    low / HEADROOM
}

/// Whether the engines can serve all of `demand`. Prompts are assigned to prefill engines first, output to
/// decode engines first, and the rest to the others.
fn can_serve(counts: RoleCounts, speed: Speed, demand: Demand) -> bool {
    let mut prefill = Pool::new(counts, Role::Prefill, speed);
    let mut mixed = Pool::new(counts, Role::Mixed, speed);
    let mut decode = Pool::new(counts, Role::Decode, speed);
    let mut prompt_rest = demand.prefill;
    for pool in [&mut prefill, &mut mixed, &mut decode] {
        prompt_rest = pool.assign(prompt_rest, pool.prompt_rate);
    }
    let mut output_rest = demand.decode;
    for pool in [&mut decode, &mut mixed, &mut prefill] {
        output_rest = pool.assign(output_rest, pool.output_rate);
    }
    prompt_rest < 1e-6 && output_rest < 1e-6
}
