//! Limits extra attempts fleet-wide, without a shared counter.
//!
//! Guards against an engine that fails while every instance repeats its requests, so that the other engines are
//! overloaded by the repeats. Over any window, extra attempts at a service stay below a ratio of its requests plus a
//! fixed allowance. Each instance counts its own requests and takes its share of the allowance, so that the sum stays
//! within the limit whatever the other instances do.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Fraction of the limit that is used: clocks and windows of instances differ, and a call may be counted later at an
/// engine than here.
const USED_FRACTION: f64 = 0.7;

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
}

impl RetryBudget {
    /// A budget without any requests or attempts counted.
    pub fn new(limits: BudgetLimits) -> RetryBudget {
        RetryBudget {
            limits,
            services: BTreeMap::new(),
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

    /// Uses one extra attempt at `service` if one remains, at one of `instances` instances. Returns whether it did.
    pub fn try_take(&mut self, now: Time, service: &str, instances: usize) -> bool {
        if self.remaining(now, service, instances) < 1.0 {
            return false;
        }
        self.counts(service).extras.push_back(now);
        true
    }

    /// Extra attempts at `service` that remain now at one of `instances` instances.
    pub fn remaining(&mut self, now: Time, service: &str, instances: usize) -> f64 {
        let limits = self.limits;
        let counts = self.counts(service);
        counts.expire(now, limits.window);
        let allowance = limits.slack / instances.max(1) as f64;
        let allowed = USED_FRACTION * (limits.ratio * counts.requests.len() as f64 + allowance);
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
