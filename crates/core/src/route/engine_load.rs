//! Load of one engine: its last report, aged, plus the work that this instance has sent to it since.

use std::time::Duration;

use crate::config::Role;
use crate::engine::RoleProfile;
use crate::engine::Speed;
use crate::engine::step_time;
use crate::time::Time;

/// Time constant of the mean of prompt tokens sent to an engine, in seconds.
const PROMPT_MEAN_S: f64 = 5.0;

/// Maximum fraction of an engine's time that is assumed to go into the prompts of other requests.
const MAX_PRESSURE: f64 = 0.9;

/// Load reports older than this are ignored.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(15);

/// A load report of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Time that the report describes: time of receipt minus its age.
    pub at: Time,
    /// Role of the engine.
    pub role: Role,
    /// Whether the engine was unavailable because of an order in progress.
    pub away: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub queued: u32,
    /// Number of waiting prompt tokens.
    pub prefill: u64,
    /// Speed of the engine.
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

/// Load of one engine, as known to this instance.
#[derive(Debug, Clone, Default)]
pub struct EngineLoad {
    report: Option<LoadReport>,
    sent: Vec<Sent>,
    prompt_rate: f64,
    decayed_at: Time,
    suspect_until: Option<Time>,
}

/// Estimated state of an engine at one point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadView {
    /// Role of the engine.
    pub role: Role,
    /// Number of waiting prompt tokens.
    pub backlog: f64,
    /// Number of requests that run or wait.
    pub requests: f64,
    /// Fraction of the engine's time that goes into prompts, from 0 to 1.
    pub pressure: f64,
    /// Speed of the engine.
    pub speed: Speed,
}

/// Expected delays of a request at an engine, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Estimate {
    /// Time until processing of its prompt begins.
    pub wait: f64,
    /// Time to process the uncached part of its prompt.
    pub prefill: f64,
    /// Time to generate its output.
    pub decode: f64,
    /// Delay that it adds to the requests that run there, summed over them.
    pub added_delay: f64,
}

impl Estimate {
    /// Returns the seconds until the answer is complete.
    pub fn total(&self) -> f64 {
        self.wait + self.prefill + self.decode
    }
}

impl EngineLoad {
    /// Records a report unless a newer one is known. Returns whether the role of the engine changed.
    pub fn report(&mut self, report: LoadReport) -> bool {
        let known = self.report.map(|r| (r.at, r.role));
        if known.is_some_and(|(at, _)| at > report.at) {
            return false;
        }
        self.report = Some(report);
        known.is_some_and(|(_, role)| role != report.role)
    }

    /// Returns the last report.
    pub fn last(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Returns the number of requests that this instance has at the engine.
    pub fn own_requests(&self) -> usize {
        self.sent.len()
    }

    /// Records a request that is sent now.
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

    /// Records the first token of a request.
    pub fn start(&mut self, id: u64) {
        if let Some(sent) = self.sent.iter_mut().find(|s| s.id == id) {
            sent.started = true;
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, id: u64) {
        self.sent.retain(|s| s.id != id);
    }

    /// Keeps work from the engine until `until`, because an attempt there failed before it began.
    pub fn suspect(&mut self, until: Time) {
        self.suspect_until = Some(until);
    }

    /// Whether the engine is available: not away for an order.
    pub fn is_present(&self, now: Time) -> bool {
        !self
            .report
            .is_some_and(|r| r.away && now.since(r.at) < MAX_REPORT_AGE)
    }

    /// Whether an attempt there failed recently.
    pub fn is_suspect(&self, now: Time) -> bool {
        self.suspect_until.is_some_and(|until| until > now)
    }

    /// Returns the estimated state now. `scale` is the number of instances that send work to the engine: all see the
    /// same report, so each is assumed to have added as much work since as this one.
    pub fn view(&self, now: Time, role: Option<Role>, scale: f64) -> LoadView {
        let report = self.report.filter(|r| now.since(r.at) < MAX_REPORT_AGE);
        let at = report.map_or(Time::ZERO, |r| r.at);
        let (mut sent_since, mut prompts, mut waiting) = (0.0, 0.0, 0.0);
        for sent in &self.sent {
            if sent.at >= at {
                sent_since += 1.0;
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
        let requests = report.map_or(0.0, |r| f64::from(r.running + r.queued)) + sent_since * scale;
        let prompt_rate =
            self.prompt_rate * (-now.since(self.decayed_at).as_secs_f64() / PROMPT_MEAN_S).exp();
        LoadView {
            role,
            backlog: aged.max(waiting),
            requests: requests.max(self.sent.len() as f64),
            pressure: (prompt_rate * scale / speed.prefill).min(MAX_PRESSURE),
            speed,
        }
    }

    fn decay(&mut self, now: Time) {
        self.prompt_rate *= (-now.since(self.decayed_at).as_secs_f64() / PROMPT_MEAN_S).exp();
        self.decayed_at = now;
    }
}

impl LoadView {
    /// Estimates the delays of a request with `prefill` uncached prompt tokens and `output` tokens.
    pub fn estimate(&self, prefill: u32, output: u32) -> Estimate {
        let profile = RoleProfile::of(self.role, self.speed.slots);
        let slots = f64::from(profile.slots);
        let running = self.requests.min(slots);
        let step = step_time(self.speed, running + 1.0) / (1.0 - self.pressure);
        // A request beyond the slots waits until one is free; slots free up evenly over the duration of an answer.
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
