//! Choice of an engine for a request.
//!
//! The estimate for an engine is based on its last load report, aged by its lag, plus the work that this instance
//! has sent to it since (see [`engine_load`]), minus the prompt prefix that it is believed to have cached (see
//! [`affinity`]). A few candidates are compared and the best is chosen; the candidates are drawn at random, so that
//! instances with the same stale reports do not all choose the same engine.

mod affinity;
mod engine_load;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use affinity::Affinity;
pub use affinity::Holder;
pub use engine_load::EngineLoad;
pub use engine_load::Estimate;
pub use engine_load::LoadReport;
pub use engine_load::LoadView;
pub use engine_load::MAX_REPORT_AGE;

use crate::config::EngineState;
use crate::config::Version;
use crate::engine::Speed;
use crate::name::Name;
use crate::snapshot::EngineKey;
use crate::snapshot::ServiceKey;
use crate::snapshot::Snapshot;
use crate::time::Time;

/// Number of engines to compare besides those that hold the prompt's prefix.
const CANDIDATES: usize = 8;

/// Number of engines to compare because they hold the prompt's prefix.
const HOLDERS: usize = 4;

/// Maximum random fraction added to a score, so that instances with the same reports do not all choose the same
/// engine.
const JITTER: f64 = 0.02;

/// Seconds added to the estimate of an engine in another availability zone.
const OTHER_ZONE_S: f64 = 0.005;

/// Weight of the delay that a request causes for the requests of others.
const DELAY_WEIGHT: f64 = 0.25;

/// How long an engine that refused or broke an attempt before it began gets no work.
const SUSPECT_TIME: Duration = Duration::from_millis(500);

/// Upper limits of the time to the deadline, in milliseconds, for priorities 0, 1 and 2; above them the priority is
/// 3.
const PRIORITY_LIMITS_MS: [u128; 3] = [2_000, 8_000, 30_000];

/// How engines are chosen. All but [`Routing::Estimate`] are baselines for measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Routing {
    /// Round robin, regardless of load.
    RoundRobin,
    /// The lowest load according to the last reports alone.
    LeastReported,
    /// The best estimate among a few candidates.
    #[default]
    Estimate,
}

/// A request that needs an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRequest {
    /// The requested service.
    pub service: ServiceKey,
    /// Number of tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of tokens to generate.
    pub output: u32,
    /// Digests of the blocks of the prompt.
    pub digests: Vec<u64>,
    /// Deadline for the complete answer.
    pub deadline: Time,
}

/// Identifies a request at an engine until [`Router::end`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHandle {
    engine: Name,
    id: u64,
}

/// The engine chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The engine.
    pub engine: EngineKey,
    /// Name of the engine.
    pub name: Name,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Passed to [`Router::end`] or [`Router::failed`] when the attempt ends.
    pub handle: RequestHandle,
    /// Expected delays of the request.
    pub estimate: Estimate,
    /// Priority at the engine; 0 is the most urgent.
    pub priority: u8,
}

/// Forecast for a request at the best engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Expected delays of the request.
    pub estimate: Estimate,
    /// Number of prompt tokens that are not cached there.
    pub prefill: u32,
    /// Speed of the engine.
    pub speed: Speed,
}

/// Engines to exclude from a choice.
struct Exclusions<'a> {
    names: &'a [Name],
    suspects: bool,
}

/// Load of the engines as known to this instance, and the choice among them.
#[derive(Debug, Clone)]
pub struct Router {
    inflight: BTreeMap<Name, u32>,
    policy: Routing,
    zone: Option<Name>,
    scale: f64,
    version: Version,
    names: BTreeMap<Name, EngineKey>,
    loads: Vec<EngineLoad>,
    affinity: Affinity,
    rng: ChaCha8Rng,
    next: u64,
}

impl Default for Router {
    fn default() -> Router {
        Router::new()
    }
}

impl Router {
    /// Creates a router without requests.
    pub fn new() -> Router {
        Router {
            inflight: BTreeMap::new(),
            policy: Routing::default(),
            zone: None,
            scale: 1.0,
            version: Version::default(),
            names: BTreeMap::new(),
            loads: Vec::new(),
            affinity: Affinity::default(),
            rng: ChaCha8Rng::seed_from_u64(0),
            next: 0,
        }
    }

    /// Sets how engines are chosen.
    pub fn policy(mut self, policy: Routing) -> Router {
        self.policy = policy;
        self
    }

    /// Sets the availability zone whose engines are preferred.
    pub fn zone(mut self, zone: Name) -> Router {
        self.zone = Some(zone);
        self
    }

    /// Sets the seed for drawing candidates. Each instance needs a different one.
    pub fn seed(mut self, seed: u64) -> Router {
        self.rng = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Sets the number of instances that send work to the engines.
    pub fn set_instances(&mut self, count: usize) {
        self.scale = count.max(1) as f64;
    }

    /// Records a load report of `engine`.
    pub fn report(&mut self, engine: &Name, report: LoadReport) {
        let Some(key) = self.names.get(engine).copied() else {
            return;
        };
        let Some(load) = self.loads.get_mut(key.index() as usize) else {
            return;
        };
        if load.report(report) {
            self.affinity.forget(key);
        }
    }

    /// Records that `engine` stored (or evicted) the KV cache of `block`.
    pub fn cache_event(&mut self, now: Time, engine: &Name, block: u64, stored: bool) {
        let Some(key) = self.names.get(engine).copied() else {
            return;
        };
        match stored {
            true => self.affinity.store(now, key, block),
            false => self.affinity.evict(key, block),
        }
    }

    /// Records that cache events of `engine` were missed.
    pub fn cache_gap(&mut self, engine: &Name) {
        if let Some(key) = self.names.get(engine) {
            self.affinity.forget(*key);
        }
    }

    /// Returns the known load of `engine`.
    pub fn engine_load(&self, engine: &Name) -> Option<&EngineLoad> {
        self.loads.get(self.names.get(engine)?.index() as usize)
    }

    /// Chooses an engine for `request`, excluding `except`, and counts the request there. `None` if no engine accepts
    /// work.
    pub fn choose(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        request: &RouteRequest,
        except: &[Name],
    ) -> Option<Choice> {
        self.sync_engines(snapshot);
        let holders = match self.policy {
            Routing::Estimate => self.affinity.holders(now, &request.digests),
            Routing::RoundRobin | Routing::LeastReported => Vec::new(),
        };
        let candidates = self.eligible_candidates(now, snapshot, request, except, &holders);
        let Evaluated {
            key,
            cached,
            estimate,
        } = match self.policy {
            Routing::RoundRobin => self.evaluate(now, snapshot, request, self.round_robin(&candidates)?, 0),
            Routing::LeastReported => {
                self.evaluate(now, snapshot, request, self.least_reported(&candidates)?, 0)
            }
            Routing::Estimate => self.best(now, snapshot, request, &candidates, &holders)?,
        };
        let engine = snapshot.engines.get(key)?;
        let id = self.next;
        self.next += 1;
        self.loads[key.index() as usize].send(now, id, request.prompt.saturating_sub(cached));
        if self.policy == Routing::Estimate {
            for digest in &request.digests {
                self.affinity.store(now, key, *digest);
            }
        }
        Some(Choice {
            engine: key,
            name: engine.name.clone(),
            address: engine.address,
            handle: RequestHandle {
                engine: engine.name.clone(),
                id,
            },
            estimate,
            priority: self.priority(now, request),
        })
    }

    /// Returns the best estimate for `request`, without counting the request at an engine.
    pub fn forecast(&mut self, now: Time, snapshot: &Snapshot, request: &RouteRequest) -> Option<Forecast> {
        self.sync_engines(snapshot);
        let holders = self.affinity.holders(now, &request.digests);
        let candidates = self.eligible_candidates(now, snapshot, request, &[], &holders);
        let Evaluated {
            key,
            cached,
            estimate,
        } = self.best(now, snapshot, request, &candidates, &holders)?;
        Some(Forecast {
            estimate,
            prefill: request.prompt.saturating_sub(cached),
            speed: self.view(now, snapshot, key).speed,
        })
    }

    /// Records the first token of a request.
    pub fn started(&mut self, handle: &RequestHandle) {
        if let Some(load) = self.load_mut(&handle.engine) {
            load.start(handle.id);
        }
    }

    /// Records that a request ended at its engine.
    pub fn end(&mut self, handle: &RequestHandle) {
        if let Some(load) = self.load_mut(&handle.engine) {
            load.end(handle.id);
        }
    }

    /// Records that a request failed at its engine, which gets no work for a short time.
    pub fn failed(&mut self, now: Time, handle: &RequestHandle) {
        if let Some(load) = self.load_mut(&handle.engine) {
            load.end(handle.id);
            load.suspect(now + SUSPECT_TIME);
        }
    }

    /// Picks the serving upstream of `service` with the fewest requests of this instance, excluding `except`, and
    /// counts the request there. `None` if none is left. For plain services, which report no load.
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

    /// Returns the number of requests that this instance has at `engine`.
    pub fn in_flight(&self, engine: &Name) -> u32 {
        let picked = self.inflight.get(engine).copied().unwrap_or_default();
        let chosen = self.engine_load(engine).map_or(0, EngineLoad::own_requests);
        picked.saturating_add(u32::try_from(chosen).unwrap_or(u32::MAX))
    }

    /// Counts a request that [`Router::pick`] placed at `engine` as ended.
    pub fn release(&mut self, engine: &Name) {
        if let Some(count) = self.inflight.get_mut(engine) {
            *count = count.saturating_sub(1);
        }
    }

    /// Rebuilds the table of loads for a new version of the configuration, keeping what is known of each engine by
    /// its name.
    pub fn sync_engines(&mut self, snapshot: &Snapshot) {
        if self.version == snapshot.version && self.loads.len() == snapshot.engines.len() {
            return;
        }
        let mut names = BTreeMap::new();
        let mut loads = Vec::with_capacity(snapshot.engines.len());
        for (key, engine) in snapshot.engines.iter() {
            let old = self.names.get(&engine.name);
            let old = old.and_then(|k| self.loads.get_mut(k.index() as usize));
            loads.push(old.map(std::mem::take).unwrap_or_default());
            names.insert(engine.name.clone(), key);
        }
        if names != self.names {
            self.affinity = Affinity::new(loads.len());
        }
        self.names = names;
        self.loads = loads;
        self.version = snapshot.version;
    }

    fn load_mut(&mut self, engine: &Name) -> Option<&mut EngineLoad> {
        let key = self.names.get(engine)?;
        self.loads.get_mut(key.index() as usize)
    }

    fn priority(&self, now: Time, request: &RouteRequest) -> u8 {
        if self.policy != Routing::Estimate {
            return 0;
        }
        let left = request.deadline.since(now).as_millis();
        PRIORITY_LIMITS_MS.iter().filter(|limit| left > **limit).count() as u8
    }

    /// Returns the engines to compare. If all that are left are suspect they are used after all: one failed attempt
    /// must not leave a service without engines.
    fn eligible_candidates(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        request: &RouteRequest,
        except: &[Name],
        holders: &[Holder],
    ) -> Vec<EngineKey> {
        let mut excluded = Exclusions {
            names: except,
            suspects: true,
        };
        let candidates = self.candidates(now, snapshot, request, &excluded, holders);
        if !candidates.is_empty() {
            return candidates;
        }
        excluded.suspects = false;
        self.candidates(now, snapshot, request, &excluded, holders)
    }

    /// Returns the engines to compare: all of a small service; of a large one a random sample, and the holders.
    fn candidates(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        request: &RouteRequest,
        excluded: &Exclusions<'_>,
        holders: &[Holder],
    ) -> Vec<EngineKey> {
        let Some(service) = snapshot.services.get(request.service) else {
            return Vec::new();
        };
        let engines = &service.engines;
        let all = self.policy != Routing::Estimate || engines.len() <= 2 * CANDIDATES;
        if all {
            let takes = |key: &&EngineKey| self.is_eligible(now, snapshot, **key, excluded);
            return engines.iter().filter(takes).copied().collect();
        }
        let mut chosen: Vec<EngineKey> = Vec::with_capacity(CANDIDATES + HOLDERS);
        let holding = holders.iter().take(HOLDERS).map(|h| h.engine);
        chosen.extend(holding.filter(|key| self.is_eligible(now, snapshot, *key, excluded)));
        let mut same_zone = 0;
        // Engines of other zones are drawn too, but only half of them are kept.
        for _ in 0..6 * CANDIDATES {
            if chosen.len() >= CANDIDATES + HOLDERS || same_zone >= CANDIDATES {
                break;
            }
            let key = engines[self.rng.random_range(0..engines.len())];
            if chosen.contains(&key) || !self.is_eligible(now, snapshot, key, excluded) {
                continue;
            }
            let in_zone = self.is_same_zone(snapshot, key);
            if !in_zone && self.rng.random_bool(0.5) {
                continue;
            }
            same_zone += usize::from(in_zone);
            chosen.push(key);
        }
        chosen
    }

    fn is_eligible(&self, now: Time, snapshot: &Snapshot, key: EngineKey, excluded: &Exclusions<'_>) -> bool {
        let serving = snapshot
            .engines
            .get(key)
            .is_some_and(|e| e.state == EngineState::Serving && !excluded.names.contains(&e.name));
        let load = self.loads.get(key.index() as usize);
        serving && load.is_some_and(|b| b.is_present(now) && !(excluded.suspects && b.is_suspect(now)))
    }

    fn is_same_zone(&self, snapshot: &Snapshot, key: EngineKey) -> bool {
        let zone = snapshot.engines.get(key).map(|e| &e.zone);
        self.zone.is_none() || zone == self.zone.as_ref()
    }

    fn view(&self, now: Time, snapshot: &Snapshot, key: EngineKey) -> LoadView {
        let role = snapshot.engines.get(key).and_then(|e| e.role);
        self.loads[key.index() as usize].view(now, role, self.scale)
    }

    fn evaluate(
        &self,
        now: Time,
        snapshot: &Snapshot,
        request: &RouteRequest,
        key: EngineKey,
        cached: u32,
    ) -> Evaluated {
        let prompt = request.prompt.saturating_sub(cached);
        Evaluated {
            key,
            cached,
            estimate: self.view(now, snapshot, key).estimate(prompt, request.output),
        }
    }

    fn best(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        request: &RouteRequest,
        candidates: &[EngineKey],
        holders: &[Holder],
    ) -> Option<Evaluated> {
        let mut best = None;
        let mut least = f64::INFINITY;
        for key in candidates {
            let holder = holders.iter().find(|h| h.engine == *key);
            let cached = holder.map_or(0, |h| h.cached.min(request.prompt));
            let evaluated = self.evaluate(now, snapshot, request, *key, cached);
            let zone = match self.is_same_zone(snapshot, *key) {
                true => 0.0,
                false => OTHER_ZONE_S,
            };
            let jitter = 1.0 + JITTER * self.rng.random::<f64>();
            let estimate = &evaluated.estimate;
            let score = (estimate.total() + DELAY_WEIGHT * estimate.added_delay + zone) * jitter;
            if score < least {
                least = score;
                best = Some(evaluated);
            }
        }
        best
    }

    fn round_robin(&self, candidates: &[EngineKey]) -> Option<EngineKey> {
        let turn = usize::try_from(self.next).unwrap_or(0);
        candidates.get(turn % candidates.len().max(1)).copied()
    }

    fn least_reported(&self, candidates: &[EngineKey]) -> Option<EngineKey> {
        let load = |key: &&EngineKey| {
            let report = self.loads[key.index() as usize].last();
            report.map_or(0, |r| r.running + r.queued)
        };
        candidates.iter().min_by_key(load).copied()
    }
}

/// Estimate for a request at one engine.
#[derive(Debug, Clone, Copy)]
struct Evaluated {
    key: EngineKey,
    /// Number of leading prompt tokens that the engine is believed to have cached.
    cached: u32,
    estimate: Estimate,
}
