//! How much of a demand a set of roles can carry.

use crate::config::Role;
use crate::engine::RoleProfile;
use crate::engine::Speed;
use crate::roles::demand::Demand;

/// Room above the demand beyond which more room is worth nothing.
const HEADROOM: f64 = 1.5;

/// Steps of halving by which the bearable multiple of a demand is found.
const BISECTION_STEPS: usize = 16;

/// How many engines have which role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoleCounts {
    /// In role prefill.
    pub prefill: u32,
    /// In role mixed.
    pub mixed: u32,
    /// In role decode.
    pub decode: u32,
}

impl RoleCounts {
    /// How many have `role`.
    pub fn of(&self, role: Role) -> u32 {
        match role {
            Role::Prefill => self.prefill,
            Role::Mixed => self.mixed,
            Role::Decode => self.decode,
        }
    }

    /// All of them.
    pub fn total(&self) -> u32 {
        self.prefill + self.mixed + self.decode
    }

    /// With one more of `role`.
    pub fn plus(mut self, role: Role) -> RoleCounts {
        *self.count_mut(role) += 1;
        self
    }

    /// With one less of `role`, if there is one.
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

/// What engines of one role still have to give.
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

    /// Takes on as much of `tokens` a second as fits, at `rate` an engine; returns the rest.
    fn assign(&mut self, tokens: f64, rate: f64) -> f64 {
        let taken = (tokens / rate).min(self.free_engines);
        self.free_engines -= taken;
        tokens - taken * rate
    }
}

/// The part of `demand` that engines of these roles carry in time, from 0 to 1; some room is left for peaks.
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

/// Whether the engines carry all of `demand`: prompts go to engines for prefill first, output to engines for
/// decode, and what is left to the others.
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
