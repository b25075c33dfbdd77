//! The model of an engine that the decisions use: target state, speed and the profile of its role.

use serde::Deserialize;
use serde::Serialize;

use crate::config::Role;

/// The state that an order asks of an engine. Orders are absolute, so that applying the same order twice is harmless.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target {
    /// The role to assume.
    pub role: Role,
    /// The model to load.
    pub model: String,
    /// The adapter to load, if any.
    pub adapter: Option<String>,
    /// The version of the model.
    pub version: u32,
}

/// Fraction of the time of a single-sequence step that each further running sequence adds.
pub const SEQUENCE_OVERHEAD: f64 = 0.02;

/// Maximum number of concurrent sequences assumed for an engine that reports none.
pub const DEFAULT_SLOTS: u32 = 32;

/// Speed of an engine that is doing only one thing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    /// Prompt tokens per second.
    pub prefill: f64,
    /// Output tokens per second of a sequence that runs alone.
    pub decode: f64,
    /// Maximum number of concurrent sequences in role decode.
    pub slots: u32,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed {
            prefill: 8000.0,
            decode: 40.0,
            slots: DEFAULT_SLOTS,
        }
    }
}

/// How a role divides an engine's memory: more prompt tokens per step leave room for fewer sequences.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleProfile {
    /// Maximum number of prompt tokens processed per step.
    pub chunk: u32,
    /// Maximum number of concurrent sequences.
    pub slots: u32,
}

impl RoleProfile {
    /// The profile of `role` on an engine that runs up to `slots` concurrent sequences in role decode.
    pub fn of(role: Role, slots: u32) -> RoleProfile {
        let (chunk, part) = match role {
            Role::Prefill => (2048, 8),
            Role::Mixed => (512, 2),
            Role::Decode => (96, 1),
        };
        RoleProfile {
            chunk,
            slots: (slots / part).max(1),
        }
    }

    /// Prompt tokens per second that a busy engine of this profile processes alongside one running sequence.
    pub fn prompt_rate(self, speed: Speed) -> f64 {
        let chunk = f64::from(self.chunk);
        chunk / (1.0 / speed.decode + chunk / speed.prefill)
    }

    /// Output tokens per second with all slots in use and no prompt to process.
    pub fn output_rate(self, speed: Speed) -> f64 {
        f64::from(self.slots) / step_time(speed, f64::from(self.slots))
    }
}

/// Duration in seconds of a step that generates for `running` sequences and processes no prompt.
pub fn step_time(speed: Speed, running: f64) -> f64 {
    (1.0 + SEQUENCE_OVERHEAD * (running - 1.0).max(0.0)) / speed.decode
}
