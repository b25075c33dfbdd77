//! Decides whether connections to an engine are opened directly or through a peer.
//!
//! Guards against an instance that is partitioned from the engines for seconds while its callers, the store and its
//! peers still reach it: its connection attempts hang or are refused, and it fails requests that a peer could have
//! forwarded. An engine is detached while this instance can reach it only through a tunnel, which is a connection that
//! a peer opens on its behalf. Only an opened tunnel proves that the engine is running: an engine that has crashed, and
//! that no peer reaches, is not detached.

use std::time::Duration;

use crate::relay::engine_map::EngineMap;
use crate::relay::engines::EngineKey;
use crate::time::Time;

/// Time after which a direct attempt that has not succeeded is hedged by a tunnel. A normal handshake takes 1 to 3 ms,
/// and a lost packet is retransmitted much later.
pub const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Time between two direct attempts to connect to a detached engine: short compared with a partition of seconds, long
/// enough that few attempts are wasted.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a failed direct attempt and an opened tunnel count as evidence: about as long as a partition lasts. A
/// detached engine stays detached for this long after the last of either.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(5);

/// Number of consecutive tunnel failures after which an engine no longer counts as detached: it has probably crashed. A
/// single failure may be the peer's, and at most two peers are tried for one connection.
pub const MAX_TUNNEL_FAILURES: u32 = 3;

/// An instance has lost its engines once at least one in this many is detached.
const LOST_DIVISOR: usize = 2;

/// An instance has regained its engines once fewer than one in this many are detached. Larger than [`LOST_DIVISOR`]:
/// without hysteresis, the directory would change with every engine.
const REGAINED_DIVISOR: usize = 4;

/// How a connection to an engine was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// By this instance itself.
    Direct,
    /// By a peer.
    Tunnel,
}

/// How the next connection to an engine is to be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectPlan {
    /// Directly; through a peer only if that fails or takes longer than [`HEDGE_DELAY`].
    Direct,
    /// Through a peer only: the engine is detached, and a direct attempt was made recently.
    Tunnel,
    /// Both at the same time; the first one to succeed is used.
    Both,
}

/// Results of the connection attempts to an engine since the last direct success.
#[derive(Debug, Default)]
struct EngineState {
    /// When a direct attempt last failed.
    direct_failure: Option<Time>,
    /// When a tunnel was last opened.
    last_tunnel: Option<Time>,
    /// When a direct attempt last started, as far as is known.
    last_probe: Option<Time>,
    /// Number of consecutive tunnel failures.
    tunnel_failures: u32,
    /// Whether the engine was found to be detached; expires after [`EVIDENCE_TTL`] without further evidence.
    detached: bool,
    /// When there was last evidence that a detached engine still is: an opened tunnel or a failed direct attempt.
    last_evidence: Option<Time>,
}

impl EngineState {
    fn is_detached(&self, now: Time) -> bool {
        self.detached && is_recent(now, self.last_evidence)
    }

    /// Updates whether the engine is detached after new evidence at `now`; `was_detached` says whether it was before.
    fn update(&mut self, now: Time, was_detached: bool) {
        let starts = is_recent(now, self.direct_failure) && is_recent(now, self.last_tunnel);
        self.detached = was_detached || starts;
        self.last_evidence = Some(now);
    }

    fn on_direct_failed(&mut self, now: Time) {
        let was_detached = self.is_detached(now);
        self.direct_failure = Some(now);
        // A failed probe doesn't postpone the next one: the failure may be detected long after the probe started.
        if !was_detached {
            self.last_probe = Some(now);
        }
        self.update(now, was_detached);
    }

    fn on_tunnel_opened(&mut self, now: Time) {
        let was_detached = self.is_detached(now);
        self.last_tunnel = Some(now);
        self.tunnel_failures = 0;
        self.update(now, was_detached);
    }

    fn on_tunnel_failed(&mut self) {
        self.tunnel_failures = self.tunnel_failures.saturating_add(1);
        if self.tunnel_failures >= MAX_TUNNEL_FAILURES {
            self.last_tunnel = None;
            self.detached = false;
            self.last_evidence = None;
        }
    }

    fn plan(&mut self, now: Time) -> ConnectPlan {
        let is_probed = self.last_probe.is_some_and(|at| now.since(at) < PROBE_INTERVAL);
        let plan = match (self.is_detached(now), is_probed) {
            (false, _) => ConnectPlan::Direct,
            (true, true) => return ConnectPlan::Tunnel,
            (true, false) => ConnectPlan::Both,
        };
        self.last_probe = Some(now);
        plan
    }
}

fn is_recent(now: Time, evidence: Option<Time>) -> bool {
    evidence.is_some_and(|at| now.since(at) < EVIDENCE_TTL)
}

/// Reachability of each engine, derived from this instance's own connection attempts.
#[derive(Debug, Default)]
pub struct Reachability {
    engines: EngineMap<EngineState>,
    /// Whether this instance has lost its engines, as last determined.
    lost: bool,
}

impl Reachability {
    /// Creates the state of an instance that has not tried to connect to any engine.
    pub fn new() -> Reachability {
        Reachability::default()
    }

    /// Records that a connection was opened. A direct one ends the engine's detachment at once.
    pub fn on_connected(&mut self, now: Time, engine: EngineKey, path: Path) {
        let state = self.engines.get_or_default(engine);
        match path {
            Path::Direct => *state = EngineState::default(),
            Path::Tunnel => state.on_tunnel_opened(now),
        }
    }

    /// Records that a direct attempt failed: it was refused, reset, or took too long.
    pub fn on_direct_failed(&mut self, now: Time, engine: EngineKey) {
        self.engines.get_or_default(engine).on_direct_failed(now);
    }

    /// Records that a peer could not open a tunnel. After [`MAX_TUNNEL_FAILURES`] in a row the engine is no longer
    /// detached.
    pub fn on_tunnel_failed(&mut self, engine: EngineKey) {
        self.engines.get_or_default(engine).on_tunnel_failed();
    }

    /// Returns how to open the next connection to an engine. The caller must follow the plan: a direct attempt that it
    /// contains counts as made.
    pub fn plan(&mut self, now: Time, engine: EngineKey) -> ConnectPlan {
        self.engines.get_or_default(engine).plan(now)
    }

    /// Whether this instance currently reaches an engine only through a peer.
    pub fn is_detached(&self, now: Time, engine: EngineKey) -> bool {
        let state = self.engines.get(engine);
        state.is_some_and(|state| state.is_detached(now))
    }

    /// The engines that this instance currently reaches only through a peer.
    pub fn detached(&self, now: Time) -> Vec<EngineKey> {
        self.detached_keys(now).collect()
    }

    fn detached_keys(&self, now: Time) -> impl Iterator<Item = EngineKey> {
        let states = self.engines.iter();
        let detached = states.filter(move |(_, state)| state.is_detached(now));
        detached.map(|(key, _)| key)
    }

    /// Number of engines that this instance currently reaches only through a peer.
    pub fn detached_count(&self, now: Time) -> usize {
        self.detached_keys(now).count()
    }

    /// Whether this instance has lost its engines, of which `engines` get work: it is so once at least half of them are
    /// detached, and stays so until fewer than a quarter are.
    pub fn lost_engines(&mut self, now: Time, engines: usize) -> bool {
        let detached = self.detached_count(now);
        let divisor = match self.lost {
            true => REGAINED_DIVISOR,
            false => LOST_DIVISOR,
        };
        self.lost = engines > 0 && detached > 0 && detached * divisor >= engines;
        self.lost
    }

    /// Discards the state of engines for which `known` returns false.
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(EngineKey) -> bool,
    {
        for (_, state) in self.engines.iter_mut().filter(|(key, _)| !known(*key)) {
            *state = EngineState::default();
        }
    }
}
