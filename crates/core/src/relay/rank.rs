//! Which requests go first at a service whose routes differ in priority.

use std::collections::BTreeMap;
use std::time::Duration;

/// Least urgent priority that engines accept in the header of a request.
const MAX_ENGINE_PRIORITY: u8 = 9;

/// The priorities of the routes to one service, each with the shortest latency target of its routes; zero if none has
/// one.
#[derive(Debug, Clone, Default)]
pub struct Ranks(BTreeMap<u8, Duration>);

impl Ranks {
    /// Adds a route with this priority and latency target; a target of zero is none.
    pub fn add(&mut self, priority: u8, target: Duration) {
        let shortest = self.0.entry(priority).or_default();
        *shortest = match shortest.is_zero() || target.is_zero() {
            true => target.max(*shortest),
            false => target.min(*shortest),
        };
    }

    /// Whether there are routes with different priorities.
    pub fn differ(&self) -> bool {
        self.0.len() > 1
    }

    /// Whether a route is more urgent than a request of this `priority`.
    pub fn is_outranked(&self, priority: u8) -> bool {
        self.0.range(..priority).next().is_some()
    }
}

/// The priority that engines are told of a request.
pub fn engine_priority(priority: u8) -> u8 {
    priority.min(MAX_ENGINE_PRIORITY)
}
