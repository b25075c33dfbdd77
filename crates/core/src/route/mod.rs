//! Which engine gets a request.
//!
//! The estimate of an engine is its last load report, aged by its lag, plus the work that this instance gave it
//! since (see [`book`]), less the prompt prefix that it is believed to hold (see [`affinity`]). A few candidates
//! are compared and the best is taken; the candidates are drawn at random, so that instances that see the same
//! stale reports don't all choose the same engine.

mod affinity;
mod book;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use affinity::Affinity;
pub use affinity::Holder;
pub use book::Book;
pub use book::Estimate;
pub use book::Report;
pub use book::STALE;
pub use book::View;

use crate::config::EngineState;
use crate::config::Version;
use crate::engine::Speed;
use crate::name::Name;
use crate::snapshot::EngineKey;
use crate::snapshot::ServiceKey;
use crate::snapshot::Snapshot;
use crate::time::Time;

/// Engines that are compared beside those that hold the prompt's prefix.
const CANDIDATES: usize = 8;

/// Engines compared because they hold the prompt's prefix.
const HOLDERS: usize = 4;

/// Part of a score that is drawn, so that instances with the same reports don't all choose the same engine.
const JITTER: f64 = 0.02;

/// Seconds that another availability zone adds to an estimate.
const OTHER_ZONE: f64 = 0.005;

/// Weight of the delay that a request means for the requests of others.
const HARM: f64 = 0.25;

/// How long an engine that refused or broke an attempt before it began gets no work.
const SUSPECT: Duration = Duration::from_millis(500);

/// Deadlines left, in milliseconds, up to which a request has priority 0, 1, 2; above, 3.
const URGENT: [u128; 3] = [2_000, 8_000, 30_000];

/// How engines are chosen. All but [`Routing::Estimate`] are baselines for measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Routing {
    /// In turn, whatever their load.
    RoundRobin,
    /// The least load by the last reports alone.
    LeastReported,
    /// The best estimate of a few candidates.
    #[default]
    Estimate,
}

/// A request to be placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The service.
    pub service: ServiceKey,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Tokens that it may generate.
    pub output: u32,
    /// Digests of the prompt's blocks.
    pub digests: Vec<u64>,
    /// When its answer must be whole.
    pub deadline: Time,
}

/// Names a request at an engine until [`Router::end`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    engine: Name,
    id: u64,
}

/// The engine chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The engine.
    pub engine: EngineKey,
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// To be given back when the attempt ends.
    pub ticket: Ticket,
    /// What the request is expected to meet.
    pub estimate: Estimate,
    /// Priority at the engine; 0 is the most urgent.
    pub priority: u8,
}

/// What a request would meet at the best engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Foreseen {
    /// What it is expected to meet.
    pub estimate: Estimate,
    /// Prompt tokens that are not cached there.
    pub prefill: u32,
    /// How fast the engine is.
    pub speed: Speed,
}

/// Engines that are left out of a choice.
struct Leave<'a> {
    names: &'a [Name],
    suspects: bool,
}

/// What this instance knows of engines, and its choice among them.
#[derive(Debug, Clone)]
pub struct Router {
    inflight: BTreeMap<Name, u32>,
    policy: Routing,
    zone: Option<Name>,
    scale: f64,
    version: Version,
    names: BTreeMap<Name, EngineKey>,
    books: Vec<Book>,
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
    /// A router that knows of no requests.
    pub fn new() -> Router {
        Router {
            inflight: BTreeMap::new(),
            policy: Routing::default(),
            zone: None,
            scale: 1.0,
            version: Version::default(),
            names: BTreeMap::new(),
            books: Vec::new(),
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

    /// Sets the availability zone whose engines go first.
    pub fn zone(mut self, zone: Name) -> Router {
        self.zone = Some(zone);
        self
    }

    /// Sets the seed by which candidates are drawn. Instances need different ones.
    pub fn seed(mut self, seed: u64) -> Router {
        self.rng = ChaCha8Rng::seed_from_u64(seed);
        self
    }

    /// Sets how many instances send work to the engines.
    pub fn set_instances(&mut self, count: usize) {
        self.scale = count.max(1) as f64;
    }

    /// Takes the load report of `engine`.
    pub fn report(&mut self, engine: &Name, report: Report) {
        let Some(key) = self.names.get(engine).copied() else {
            return;
        };
        let Some(book) = self.books.get_mut(key.index() as usize) else {
            return;
        };
        if book.report(report) {
            self.affinity.forget(key);
        }
    }

    /// Notes that `engine` stored (or evicted) the KV cache of `block`.
    pub fn cache_event(&mut self, now: Time, engine: &Name, block: u64, stored: bool) {
        let Some(key) = self.names.get(engine).copied() else {
            return;
        };
        match stored {
            true => self.affinity.store(now, key, block),
            false => self.affinity.evict(key, block),
        }
    }

    /// Notes that cache events of `engine` are missing.
    pub fn cache_gap(&mut self, engine: &Name) {
        if let Some(key) = self.names.get(engine) {
            self.affinity.forget(*key);
        }
    }

    /// What is known of `engine`.
    pub fn book(&self, engine: &Name) -> Option<&Book> {
        self.books.get(self.names.get(engine)?.index() as usize)
    }

    /// Chooses an engine for `ask`, leaving out `except`, and counts the request there. `None` if there is
    /// none that takes work.
    pub fn choose(&mut self, now: Time, snapshot: &Snapshot, ask: &Ask, except: &[Name]) -> Option<Choice> {
        self.follow(snapshot);
        let holders = match self.policy {
            Routing::Estimate => self.affinity.holders(now, &ask.digests),
            Routing::RoundRobin | Routing::LeastReported => Vec::new(),
        };
        let candidates = self.open_candidates(now, snapshot, ask, except, &holders);
        let Weighed {
            key,
            cached,
            estimate,
        } = match self.policy {
            Routing::RoundRobin => self.weigh(now, snapshot, ask, self.in_turn(&candidates)?, 0),
            Routing::LeastReported => self.weigh(now, snapshot, ask, self.least_reported(&candidates)?, 0),
            Routing::Estimate => self.best(now, snapshot, ask, &candidates, &holders)?,
        };
        let engine = snapshot.engines.get(key)?;
        let id = self.next;
        self.next += 1;
        self.books[key.index() as usize].send(now, id, ask.prompt.saturating_sub(cached));
        if self.policy == Routing::Estimate {
            for digest in &ask.digests {
                self.affinity.store(now, key, *digest);
            }
        }
        Some(Choice {
            engine: key,
            name: engine.name.clone(),
            address: engine.address,
            ticket: Ticket {
                engine: engine.name.clone(),
                id,
            },
            estimate,
            priority: self.priority(now, ask),
        })
    }

    /// The best estimate for `ask`, without counting it anywhere.
    pub fn foresee(&mut self, now: Time, snapshot: &Snapshot, ask: &Ask) -> Option<Foreseen> {
        self.follow(snapshot);
        let holders = self.affinity.holders(now, &ask.digests);
        let candidates = self.open_candidates(now, snapshot, ask, &[], &holders);
        let Weighed {
            key,
            cached,
            estimate,
        } = self.best(now, snapshot, ask, &candidates, &holders)?;
        Some(Foreseen {
            estimate,
            prefill: ask.prompt.saturating_sub(cached),
            speed: self.view(now, snapshot, key).speed,
        })
    }

    /// Notes the first token of a request.
    pub fn started(&mut self, ticket: &Ticket) {
        if let Some(book) = self.book_mut(&ticket.engine) {
            book.start(ticket.id);
        }
    }

    /// Notes that a request ended at its engine.
    pub fn end(&mut self, ticket: &Ticket) {
        if let Some(book) = self.book_mut(&ticket.engine) {
            book.end(ticket.id);
        }
    }

    /// Notes that a request failed at its engine, which gets no work for a moment.
    pub fn failed(&mut self, now: Time, ticket: &Ticket) {
        if let Some(book) = self.book_mut(&ticket.engine) {
            book.end(ticket.id);
            book.suspect(now + SUSPECT);
        }
    }

    /// Picks the serving upstream of `service` with the fewest requests of ours, leaving out `except`, and
    /// counts the request there. `None` if there is none left. For plain services, which report no load.
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
        let picked = self.inflight.get(engine).copied().unwrap_or_default();
        let chosen = self.book(engine).map_or(0, Book::own);
        picked.saturating_add(u32::try_from(chosen).unwrap_or(u32::MAX))
    }

    /// Counts a request that [`Router::pick`] placed at `engine` as ended.
    pub fn done(&mut self, engine: &Name) {
        if let Some(count) = self.inflight.get_mut(engine) {
            *count = count.saturating_sub(1);
        }
    }

    /// Lays the books out anew for another version of the configuration, keeping what is known by name.
    pub fn follow(&mut self, snapshot: &Snapshot) {
        if self.version == snapshot.version && self.books.len() == snapshot.engines.len() {
            return;
        }
        let mut names = BTreeMap::new();
        let mut books = Vec::with_capacity(snapshot.engines.len());
        for (key, engine) in snapshot.engines.iter() {
            let old = self.names.get(&engine.name);
            let old = old.and_then(|k| self.books.get_mut(k.index() as usize));
            books.push(old.map(std::mem::take).unwrap_or_default());
            names.insert(engine.name.clone(), key);
        }
        if names != self.names {
            self.affinity = Affinity::new(books.len());
        }
        self.names = names;
        self.books = books;
        self.version = snapshot.version;
    }

    fn book_mut(&mut self, engine: &Name) -> Option<&mut Book> {
        let key = self.names.get(engine)?;
        self.books.get_mut(key.index() as usize)
    }

    fn priority(&self, now: Time, ask: &Ask) -> u8 {
        if self.policy != Routing::Estimate {
            return 0;
        }
        let left = ask.deadline.since(now).as_millis();
        URGENT.iter().filter(|limit| left > **limit).count() as u8
    }

    /// The engines to compare. Where only suspects are left they are taken after all: one broken answer must not
    /// leave a service without engines.
    fn open_candidates(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        ask: &Ask,
        except: &[Name],
        holders: &[Holder],
    ) -> Vec<EngineKey> {
        let mut leave = Leave {
            names: except,
            suspects: true,
        };
        let candidates = self.candidates(now, snapshot, ask, &leave, holders);
        if !candidates.is_empty() {
            return candidates;
        }
        leave.suspects = false;
        self.candidates(now, snapshot, ask, &leave, holders)
    }

    /// The engines to compare: all of a small service; of a large one, some at random and the holders.
    fn candidates(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        ask: &Ask,
        leave: &Leave<'_>,
        holders: &[Holder],
    ) -> Vec<EngineKey> {
        let Some(service) = snapshot.services.get(ask.service) else {
            return Vec::new();
        };
        let engines = &service.engines;
        let all = self.policy != Routing::Estimate || engines.len() <= 2 * CANDIDATES;
        if all {
            let takes = |key: &&EngineKey| self.is_open(now, snapshot, **key, leave);
            return engines.iter().filter(takes).copied().collect();
        }
        let mut chosen: Vec<EngineKey> = Vec::with_capacity(CANDIDATES + HOLDERS);
        let near = holders.iter().take(HOLDERS).map(|h| h.engine);
        chosen.extend(near.filter(|key| self.is_open(now, snapshot, *key, leave)));
        let mut zone_mates = 0;
        // Engines of other zones are drawn too, but only half as many are kept.
        for _ in 0..6 * CANDIDATES {
            if chosen.len() >= CANDIDATES + HOLDERS || zone_mates >= CANDIDATES {
                break;
            }
            let key = engines[self.rng.random_range(0..engines.len())];
            if chosen.contains(&key) || !self.is_open(now, snapshot, key, leave) {
                continue;
            }
            let near = self.is_near(snapshot, key);
            if !near && self.rng.random_bool(0.5) {
                continue;
            }
            zone_mates += usize::from(near);
            chosen.push(key);
        }
        chosen
    }

    fn is_open(&self, now: Time, snapshot: &Snapshot, key: EngineKey, leave: &Leave<'_>) -> bool {
        let serving = snapshot
            .engines
            .get(key)
            .is_some_and(|e| e.state == EngineState::Serving && !leave.names.contains(&e.name));
        let book = self.books.get(key.index() as usize);
        serving && book.is_some_and(|b| b.is_here(now) && !(leave.suspects && b.is_suspect(now)))
    }

    fn is_near(&self, snapshot: &Snapshot, key: EngineKey) -> bool {
        let zone = snapshot.engines.get(key).map(|e| &e.zone);
        self.zone.is_none() || zone == self.zone.as_ref()
    }

    fn view(&self, now: Time, snapshot: &Snapshot, key: EngineKey) -> View {
        let role = snapshot.engines.get(key).and_then(|e| e.role);
        self.books[key.index() as usize].view(now, role, self.scale)
    }

    fn weigh(&self, now: Time, snapshot: &Snapshot, ask: &Ask, key: EngineKey, cached: u32) -> Weighed {
        let prompt = ask.prompt.saturating_sub(cached);
        Weighed {
            key,
            cached,
            estimate: self.view(now, snapshot, key).estimate(prompt, ask.output),
        }
    }

    fn best(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        ask: &Ask,
        candidates: &[EngineKey],
        holders: &[Holder],
    ) -> Option<Weighed> {
        let mut best = None;
        let mut least = f64::INFINITY;
        for key in candidates {
            let holder = holders.iter().find(|h| h.engine == *key);
            let cached = holder.map_or(0, |h| h.cached.min(ask.prompt));
            let weighed = self.weigh(now, snapshot, ask, *key, cached);
            let zone = match self.is_near(snapshot, *key) {
                true => 0.0,
                false => OTHER_ZONE,
            };
            let jitter = 1.0 + JITTER * self.rng.random::<f64>();
            let estimate = &weighed.estimate;
            let score = (estimate.total() + HARM * estimate.harm + zone) * jitter;
            if score < least {
                least = score;
                best = Some(weighed);
            }
        }
        best
    }

    fn in_turn(&self, candidates: &[EngineKey]) -> Option<EngineKey> {
        let turn = usize::try_from(self.next).unwrap_or(0);
        candidates.get(turn % candidates.len().max(1)).copied()
    }

    fn least_reported(&self, candidates: &[EngineKey]) -> Option<EngineKey> {
        let load = |key: &&EngineKey| {
            let report = self.books[key.index() as usize].last();
            report.map_or(0, |r| r.running + r.queued)
        };
        candidates.iter().min_by_key(load).copied()
    }
}

/// What a request would find at an engine.
#[derive(Debug, Clone, Copy)]
struct Weighed {
    key: EngineKey,
    /// Leading tokens of the prompt that the engine is believed to hold.
    cached: u32,
    estimate: Estimate,
}
