//! The policy in force: the adaptive one, or a baseline that benchmarks compare it with.

use std::str::FromStr;

use thiserror::Error;

use crate::route::Routing;

/// How requests are routed and limited, and how the roles of engines change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Policy {
    /// Routing by estimated times, limits by shares, role changes where the gain exceeds the cost.
    #[default]
    Adaptive,
    /// Like [`Policy::Adaptive`], but without role changes.
    Fixed,
    /// Like [`Policy::Adaptive`], but with role changes at a fixed threshold.
    Threshold,
    /// The engine with the least load in its last report, which lags behind; no limits, no role changes.
    LeastLoad,
    /// Each engine in turn; no limits, no role changes.
    RoundRobin,
}

/// The text is not the name of a policy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown policy name")]
pub struct PolicyError;

impl Policy {
    /// How engines are chosen.
    pub fn routing(self) -> Routing {
        match self {
            Policy::Adaptive | Policy::Fixed | Policy::Threshold => Routing::Estimate,
            Policy::LeastLoad => Routing::LeastReported,
            Policy::RoundRobin => Routing::RoundRobin,
        }
    }

    /// Whether requests are refused if their product's share is used up or their deadline can't be met.
    pub fn enforces_limits(self) -> bool {
        self.routing() == Routing::Estimate
    }
}

impl FromStr for Policy {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Policy, PolicyError> {
        match text {
            "adaptive" => Ok(Policy::Adaptive),
            "fixed" => Ok(Policy::Fixed),
            "threshold" => Ok(Policy::Threshold),
            "least-load" => Ok(Policy::LeastLoad),
            "round-robin" => Ok(Policy::RoundRobin),
            _ => Err(PolicyError),
        }
    }
}
