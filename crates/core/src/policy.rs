//! Which of the policies is in force: ours, or a baseline that measurements compare it with.

use std::str::FromStr;

use thiserror::Error;

use crate::route::Routing;

/// How requests are routed, limited, and roles changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Policy {
    /// Routing by estimates, limits by shares, role changes where the gain beats the price.
    #[default]
    Adaptive,
    /// As [`Policy::Adaptive`], but no role changes.
    Fixed,
    /// As [`Policy::Adaptive`], but role changes by a plain threshold.
    Threshold,
    /// Least load by the lagging reports; no limits, no role changes.
    LeastLoad,
    /// Engines in turn; no limits, no role changes.
    RoundRobin,
}

/// A text that names no policy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("there is no policy of that name")]
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

    /// Whether requests are refused where a share is spent or a deadline can't be met.
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
