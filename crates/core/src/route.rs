//! Which engine gets a request.

use std::collections::BTreeMap;

use crate::arena::EngineKey;
use crate::arena::ServiceKey;
use crate::config::EngineState;
use crate::name::Name;
use crate::snapshot::Snapshot;

/// Requests that this instance has at each engine.
#[derive(Debug, Clone, Default)]
pub struct Router {
    inflight: BTreeMap<Name, u32>,
}

impl Router {
    /// A router that knows of no requests.
    pub fn new() -> Router {
        Router::default()
    }

    /// Picks the serving engine of `service` with the fewest requests of ours, leaving out `except`, and
    /// counts the request there. `None` if there is no engine left.
    pub fn pick(&mut self, snapshot: &Snapshot, service: ServiceKey, except: &[Name]) -> Option<EngineKey> {
        let view = snapshot.services.get(service)?;
        let engines = view
            .engines
            .iter()
            .filter_map(|key| Some((*key, snapshot.engines.get(*key)?)));
        let serving = engines.filter(|(_, e)| e.state == EngineState::Serving && !except.contains(&e.name));
        let (key, engine) = serving.min_by_key(|(_, e)| self.inflight.get(&e.name).copied().unwrap_or(0))?;
        *self.inflight.entry(engine.name.clone()).or_default() += 1;
        Some(key)
    }

    /// Requests of this instance at `engine`.
    pub fn in_flight(&self, engine: &Name) -> u32 {
        self.inflight.get(engine).copied().unwrap_or_default()
    }

    /// Counts a request at `engine` as ended.
    pub fn done(&mut self, engine: &Name) {
        if let Some(count) = self.inflight.get_mut(engine) {
            *count = count.saturating_sub(1);
        }
    }
}
