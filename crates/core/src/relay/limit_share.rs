//! Splits the request limit of an engine among the instances.
//!
//! Every instance computes the split by itself, from the fleet as it knows it. Their shares add up to the limit
//! whatever the other instances send, and also if some of them don't know the limit yet.

use crate::relay::hash::hash_pair;
use crate::relay::limit_report::RequestRate;

/// Minimum share of an instance, in requests per second, that a limit is split into. Each instance may send one
/// request at once: if many instances had small shares, all of them together could exceed the limit by a multiple.
const MIN_SHARE: f64 = 2.0;

/// Minimum rate, in requests per second, at which an engine gets requests whatever its limit is: only an answer can
/// tell that the limit has ended.
const PROBE_RATE: f64 = 0.1;

/// Position of an instance in its fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPosition {
    /// Rank of this instance among the live ones.
    pub rank: u32,
    /// Number of live instances, including this one.
    pub live: usize,
    /// Number of all known instances, including those that are leaving or silent, which may still send requests.
    pub known: usize,
}

impl FleetPosition {
    /// The position of an instance that is the only one.
    pub const ALONE: FleetPosition = FleetPosition {
        rank: 0,
        live: 1,
        known: 1,
    };

    /// Requests per second that this instance may send to an engine with this limit; `engine` is the hash of its id.
    /// Zero if the limit is too small to be split among all instances and others have the shares: different ones for
    /// each engine.
    pub fn share(&self, limit: RequestRate, engine: u64) -> f64 {
        let limit = limit.as_f64().max(PROBE_RATE);
        let live = self.live.max(1);
        let count = ((limit / MIN_SHARE) as usize).clamp(1, live);
        let offset = hash_pair(engine, engine) % live as u64;
        let position = (u64::from(self.rank) + offset) % live as u64;
        if position >= count as u64 {
            return 0.0;
        }
        let live_fraction = live as f64 / self.known.max(live) as f64;
        limit / count as f64 * live_fraction
    }
}

impl Default for FleetPosition {
    fn default() -> FleetPosition {
        FleetPosition::ALONE
    }
}
