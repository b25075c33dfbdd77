//! Limits extra attempts fleet-wide, without a shared counter.
//!
//! Guards against an engine that fails while every instance repeats its requests, so that the other engines are
//! overloaded by the repeats. Over any window, extra attempts at a service stay below a ratio of its requests plus a
//! fixed allowance. Each instance counts its own requests and takes its share of the allowance, so that the sum stays
//! within the limit whatever the other instances do.
//!
//! Instances come and go within a window, and no one remembers what a process used that has ended. So a process that
//! starts gets its share of the allowance little by little over a window, uses only the part of the ratio for a window
//! that no process before it can have used, and an instance divides the allowance by the highest number of instances
//! that it has known during the last window.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Fraction of the extra attempts for requests that is used: clocks and windows of instances differ, and a call may be
/// counted later at an engine than here.
const USED_FRACTION: f64 = 0.7;

/// Fraction of the extra attempts for requests that a process uses within a window of its start: the one before it may
/// have used [`USED_FRACTION`] right before it ended, and both count in the same window.
const STARTING_FRACTION: f64 = 0.2;

/// Fraction of the fixed allowance that is used: a process and those that follow it may each use a share within the same
/// window.
const USED_SLACK_FRACTION: f64 = 0.5;

/// Limits on extra attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Extra attempts for each request.
    pub ratio: f64,
    /// Length of a window.
    pub window: Duration,
    /// Extra attempts in a window by the whole fleet, regardless of the number of requests.
    pub slack: f64,
}

#[derive(Debug, Clone, Default)]
struct ServiceCounts {
    requests: VecDeque<Time>,
    extras: VecDeque<Time>,
}

impl ServiceCounts {
    fn expire(&mut self, now: Time, window: Duration) {
        for times in [&mut self.requests, &mut self.extras] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}

/// Budgets of all services at one instance.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: BudgetLimits,
    services: BTreeMap<String, ServiceCounts>,
    /// When the process started; `None` if that is longer ago than a window.
    started: Option<Time>,
    /// Numbers of instances, each with the time from which it was known, oldest first.
    fleet_sizes: VecDeque<(Time, usize)>,
}

impl RetryBudget {
    /// The budget of the only instance, which has been running for longer than a window, without any requests or attempts
    /// counted.
    pub fn new(limits: BudgetLimits) -> RetryBudget {
        RetryBudget {
            limits,
            services: BTreeMap::new(),
            started: None,
            fleet_sizes: VecDeque::new(),
        }
    }

    /// Notes that the process has just started.
    ///
    /// Guards against a share of the allowance that is used twice in a window, by the process that ended and by this one.
    pub fn on_start(&mut self, now: Time) {
        self.started = Some(now);
    }

    /// Notes the number of instances of the fleet, this one included.
    ///
    /// Guards against instances that stop one after the other: what they have used still counts while those that remain
    /// would already use larger shares.
    pub fn on_fleet_size(&mut self, now: Time, instances: usize) {
        if self.fleet_sizes.back().is_none_or(|(_, last)| *last != instances) {
            self.fleet_sizes.push_back((now, instances));
        }
        self.expire_fleet_sizes(now);
    }

    /// Forgets the numbers of instances that were replaced by another one longer ago than a window.
    fn expire_fleet_sizes(&mut self, now: Time) {
        let window = self.limits.window;
        let is_replaced = |next: Option<&(Time, usize)>| next.is_some_and(|(at, _)| now.since(*at) > window);
        while is_replaced(self.fleet_sizes.get(1)) {
            self.fleet_sizes.pop_front();
        }
    }

    /// Replaces the limits from now on.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Counts a request for `service`.
    pub fn on_request(&mut self, now: Time, service: &str) {
        let window = self.limits.window;
        let counts = self.counts(service);
        counts.expire(now, window);
        counts.requests.push_back(now);
    }

    /// Uses one extra attempt at `service` if one remains. Returns whether it did.
    pub fn try_take(&mut self, now: Time, service: &str) -> bool {
        if self.remaining(now, service) < 1.0 {
            return false;
        }
        self.counts(service).extras.push_back(now);
        true
    }

    /// Extra attempts at `service` that remain now.
    pub fn remaining(&mut self, now: Time, service: &str) -> f64 {
        let allowed = self.allowed(now, service);
        (allowed - self.counts(service).extras.len() as f64).max(0.0)
    }

    /// Extra attempts at `service` that are allowed in a window that ends now, including those already used in it.
    pub fn allowed(&mut self, now: Time, service: &str) -> f64 {
        let limits = self.limits;
        let share = self.share(now);
        let is_starting = self.started.is_some_and(|at| now.since(at) <= limits.window);
        let fraction = match is_starting {
            true => STARTING_FRACTION,
            false => USED_FRACTION,
        };
        let counts = self.counts(service);
        counts.expire(now, limits.window);
        fraction * limits.ratio * counts.requests.len() as f64 + USED_SLACK_FRACTION * share
    }

    /// The part of the allowance that this instance may use in a window that ends now.
    fn share(&mut self, now: Time) -> f64 {
        self.expire_fleet_sizes(now);
        let window = self.limits.window;
        let instances = self.fleet_sizes.iter().map(|(_, instances)| *instances).max();
        let share = self.limits.slack / instances.unwrap_or(1).max(1) as f64;
        let age = self.started.map_or(window, |at| now.since(at));
        match age < window {
            true => share * age.as_secs_f64() / window.as_secs_f64(),
            false => share,
        }
    }

    fn counts(&mut self, service: &str) -> &mut ServiceCounts {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_string(), ServiceCounts::default());
        }
        self.services.get_mut(service).expect("it was just inserted")
    }
}
