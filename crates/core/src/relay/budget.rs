//! The budget of extra attempts, shared by all instances without a shared counter.
//!
//! Failure guarded against: an engine fails, every instance repeats its requests, and the others drown in
//! repeats. Over any window, extra attempts at a service stay below a share of the requests for it and a fixed
//! allowance. Each instance counts its own requests and takes its part of the allowance, so that the sum keeps
//! the bound whatever the others do.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Part of the bound that is used: clocks and windows of instances differ, and a call may be counted at an engine
/// later than here.
const USED_FRACTION: f64 = 0.7;

/// What bounds extra attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Extra attempts for each request.
    pub ratio: f64,
    /// Length of a window.
    pub window: Duration,
    /// Extra attempts in a window of the whole fleet, whatever its requests.
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
}

impl RetryBudget {
    /// Nothing counted yet.
    pub fn new(limits: BudgetLimits) -> RetryBudget {
        RetryBudget {
            limits,
            services: BTreeMap::new(),
        }
    }

    /// Bounds by another rule from now on.
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

    /// Takes one extra attempt at `service` if there is one left, at one of `instances`.
    pub fn try_take(&mut self, now: Time, service: &str, instances: usize) -> bool {
        if self.remaining(now, service, instances) < 1.0 {
            return false;
        }
        self.counts(service).extras.push_back(now);
        true
    }

    /// Extra attempts at `service` that are left now at one of `instances`.
    pub fn remaining(&mut self, now: Time, service: &str, instances: usize) -> f64 {
        let limits = self.limits;
        let counts = self.counts(service);
        counts.expire(now, limits.window);
        let part = limits.slack / instances.max(1) as f64;
        let allowed = USED_FRACTION * (limits.ratio * counts.requests.len() as f64 + part);
        (allowed - counts.extras.len() as f64).max(0.0)
    }

    fn counts(&mut self, service: &str) -> &mut ServiceCounts {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_string(), ServiceCounts::default());
        }
        self.services.get_mut(service).expect("it was just inserted")
    }
}
