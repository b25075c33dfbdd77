//! What is known of one engine: its last report, aged, and the work that this instance gave it since.

use std::time::Duration;

use crate::config::Role;
use crate::engine::RoleProfile;
use crate::engine::Speed;
use crate::engine::step_time;
use crate::time::Time;

/// Time constant of the mean of prompt tokens given to an engine, in seconds.
const PROMPT_MEAN_S: f64 = 5.0;

/// Highest part of an engine's time that is taken to go into prompts of others.
const MAX_PRESSURE: f64 = 0.9;

/// Load reports older than this say nothing.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(15);

/// What an engine said of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// The moment that the report describes: receipt less its age.
    pub at: Time,
    /// The role it had.
    pub role: Role,
    /// Whether it was away for an order in progress.
    pub away: bool,
    /// Requests that were running.
    pub running: u32,
    /// Requests that were waiting.
    pub queued: u32,
    /// Prompt tokens that were waiting.
    pub prefill: u64,
    /// How fast it is.
    pub speed: Speed,
}

/// A request that this instance has at an engine.
#[derive(Debug, Clone, Copy)]
struct Sent {
    id: u64,
    at: Time,
    prefill: u32,
    started: bool,
}

/// What is known of one engine.
#[derive(Debug, Clone, Default)]
pub struct EngineLoad {
    report: Option<LoadReport>,
    sent: Vec<Sent>,
    prompt_rate: f64,
    decayed_at: Time,
    suspect_until: Option<Time>,
}

/// The engine's state as far as it can be told now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadView {
    /// Its role.
    pub role: Role,
    /// Prompt tokens waiting.
    pub backlog: f64,
    /// Requests running or waiting.
    pub requests: f64,
    /// Part of its time that goes into prompts, from 0 to 1.
    pub pressure: f64,
    /// How fast it is.
    pub speed: Speed,
}

/// What a request would meet at an engine, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Estimate {
    /// Until its prompt is begun.
    pub wait: f64,
    /// For the part of its prompt that is not cached.
    pub prefill: f64,
    /// For its output.
    pub decode: f64,
    /// By which it delays the requests that run there, all together.
    pub added_delay: f64,
}

impl Estimate {
    /// Seconds until the answer is whole.
    pub fn total(&self) -> f64 {
        self.wait + self.prefill + self.decode
    }
}

impl EngineLoad {
    /// Takes a report unless a newer one is known. Returns whether the engine's role changed.
    pub fn report(&mut self, report: LoadReport) -> bool {
        let known = self.report.map(|r| (r.at, r.role));
        if known.is_some_and(|(at, _)| at > report.at) {
            return false;
        }
        self.report = Some(report);
        known.is_some_and(|(_, role)| role != report.role)
    }

    /// The last report.
    pub fn last(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Requests of this instance there.
    pub fn own_requests(&self) -> usize {
        self.sent.len()
    }

    /// Notes a request that is sent now.
    pub fn send(&mut self, now: Time, id: u64, prefill: u32) {
        self.decay(now);
        self.prompt_rate += f64::from(prefill) / PROMPT_MEAN_S;
        self.sent.push(Sent {
            id,
            at: now,
            prefill,
            started: false,
        });
    }

    /// Notes that a request's first token came.
    pub fn start(&mut self, id: u64) {
        if let Some(sent) = self.sent.iter_mut().find(|s| s.id == id) {
            sent.started = true;
        }
    }

    /// Notes that a request ended.
    pub fn end(&mut self, id: u64) {
        self.sent.retain(|s| s.id != id);
    }

    /// Gives the engine no work until `until`: an attempt there failed before it began.
    pub fn suspect(&mut self, until: Time) {
        self.suspect_until = Some(until);
    }

    /// Whether the engine is here: not away for an order.
    pub fn is_present(&self, now: Time) -> bool {
        !self
            .report
            .is_some_and(|r| r.away && now.since(r.at) < MAX_REPORT_AGE)
    }

    /// Whether an attempt there failed a moment ago.
    pub fn is_suspect(&self, now: Time) -> bool {
        self.suspect_until.is_some_and(|until| until > now)
    }

    /// The state now. `scale` is the number of instances that send work there as this one does: a report is
    /// the same for all, so what each added since is taken to be what this one added.
    pub fn view(&self, now: Time, role: Option<Role>, scale: f64) -> LoadView {
        let report = self.report.filter(|r| now.since(r.at) < MAX_REPORT_AGE);
        let at = report.map_or(Time::ZERO, |r| r.at);
        let (mut newer, mut prompts, mut waiting) = (0.0, 0.0, 0.0);
        for sent in &self.sent {
            if sent.at >= at {
                newer += 1.0;
                prompts += f64::from(sent.prefill);
            }
            if !sent.started {
                waiting += f64::from(sent.prefill);
            }
        }
        let role = report.map(|r| r.role).or(role).unwrap_or(Role::Mixed);
        let speed = report.map_or_else(Speed::default, |r| r.speed);
        let profile = RoleProfile::of(role, speed.slots);
        let reported = report.map_or(0.0, |r| r.prefill as f64);
        let drained = now.since(at).as_secs_f64() * profile.prompt_rate(speed);
        let aged = match report {
            Some(_) => (reported + prompts * scale - drained).max(0.0),
            None => 0.0,
        };
        let counted = report.map_or(0.0, |r| f64::from(r.running + r.queued)) + newer * scale;
        let decayed = self.prompt_rate * (-now.since(self.decayed_at).as_secs_f64() / PROMPT_MEAN_S).exp();
        LoadView {
            role,
            backlog: aged.max(waiting),
            requests: counted.max(self.sent.len() as f64),
            pressure: (decayed * scale / speed.prefill).min(MAX_PRESSURE),
            speed,
        }
    }

    fn decay(&mut self, now: Time) {
        self.prompt_rate *= (-now.since(self.decayed_at).as_secs_f64() / PROMPT_MEAN_S).exp();
        self.decayed_at = now;
    }
}

impl LoadView {
    /// What a request of `prefill` uncached prompt tokens and `output` tokens would meet.
    pub fn estimate(&self, prefill: u32, output: u32) -> Estimate {
        let profile = RoleProfile::of(self.role, self.speed.slots);
        let slots = f64::from(profile.slots);
        let running = self.requests.min(slots);
        let step = step_time(self.speed, running + 1.0) / (1.0 - self.pressure);
        // A request beyond the slots waits until one is free: slots free up evenly over the time of an answer.
        let ahead = (self.requests + 1.0 - slots).max(0.0);
        let answer = f64::from(output.max(1)) * step;
        let rate = profile.prompt_rate(self.speed);
        let own = f64::from(prefill);
        Estimate {
            wait: self.backlog / rate + ahead * answer / slots,
            prefill: own / rate,
            decode: answer,
            added_delay: own / self.speed.prefill * running,
        }
    }
}
