//! Engines as the decisions see them.

use serde::Deserialize;
use serde::Serialize;

use crate::config::Role;

/// What an order asks an engine to be. Orders are absolute, so that the same order twice is harmless.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target {
    /// The role to have.
    pub role: Role,
    /// The model to have loaded.
    pub model: String,
    /// The adapter to have loaded.
    pub adapter: Option<String>,
    /// Version of the model.
    pub version: u32,
}

/// Part of a step's time that each further running sequence adds.
pub const SEQUENCE_OVERHEAD: f64 = 0.02;

/// Sequences that an engine runs at once where it reports nothing else.
pub const DEFAULT_SLOTS: u32 = 32;

/// How fast an engine is when it does one thing alone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    /// Prompt tokens a second.
    pub prefill: f64,
    /// Tokens a second of a sequence that runs alone.
    pub decode: f64,
    /// Most sequences that run at once in role decode.
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

/// What a role makes of an engine's memory: more prompt tokens in a step leave room for fewer sequences.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleProfile {
    /// Prompt tokens that a step may process.
    pub chunk: u32,
    /// Sequences that may run at once.
    pub slots: u32,
}

impl RoleProfile {
    /// The profile of `role` in an engine that runs `slots` sequences in role decode.
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

    /// Prompt tokens a second that a busy engine of this profile processes beside a running sequence.
    pub fn prompt_rate(self, speed: Speed) -> f64 {
        let chunk = f64::from(self.chunk);
        chunk / (1.0 / speed.decode + chunk / speed.prefill)
    }

    /// Output tokens a second with all slots in use and no prompt to process.
    pub fn output_rate(self, speed: Speed) -> f64 {
        f64::from(self.slots) / step_time(speed, f64::from(self.slots))
    }
}

/// Seconds of a step that generates for `running` sequences and processes no prompt.
pub fn step_time(speed: Speed, running: f64) -> f64 {
    (1.0 + SEQUENCE_OVERHEAD * (running - 1.0).max(0.0)) / speed.decode
}
