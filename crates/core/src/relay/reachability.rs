//! Decides whether connections to an engine are opened directly or through a peer.
//!
//! Guards against an instance that is partitioned from the engines for seconds while its callers, the store and its
//! peers still reach it: its connection attempts hang or are refused, and it fails requests that a peer could have
//! forwarded. An engine is detached while this instance can reach it only through a tunnel, which is a connection that
//! a peer opens on its behalf. Only a tunnel that was opened proves that the engine runs: an engine that has crashed,
//! and that nobody reaches, is not detached.

use std::time::Duration;

use crate::relay::engine_map::EngineMap;
use crate::relay::engines::EngineKey;
use crate::time::Time;

/// Time after which a direct attempt that has not succeeded is hedged by a tunnel. A normal handshake takes 1 to 3 ms,
/// and a lost packet is repeated much later.
pub const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Time between two direct attempts at a detached engine: short compared with a partition of seconds, long enough that
/// few attempts are wasted.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a failed direct attempt and an opened tunnel count as evidence: about as long as a partition lasts. A
/// detached engine stays detached for this long after the last of either.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(5);

/// Number of tunnels that fail in a row after which an engine no longer counts as detached: probably it has crashed.
/// One failure may be the peer's, and at most two peers are tried for one connection.
pub const MAX_TUNNEL_FAILURES: u32 = 3;

/// An instance has lost its engines once one in this many is detached.
const LOST_DIVISOR: usize = 2;

/// An instance has regained its engines once fewer than one in this many are detached. It differs from
/// [`LOST_DIVISOR`] so that the directory doesn't change with every engine.
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

/// What the connection attempts at an engine have shown since the last direct success.
#[derive(Debug, Default)]
struct EngineState {
    /// When a direct attempt last failed.
    direct_failure: Option<Time>,
    /// When a tunnel was last opened.
    last_tunnel: Option<Time>,
    /// When a direct attempt was last begun, as far as is known.
    last_probe: Option<Time>,
    /// Number of tunnels in a row that failed.
    tunnel_failures: u32,
    /// Whether the engine was found to be detached; it ends without further evidence within [`EVIDENCE_TTL`].
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
        let begins = is_recent(now, self.direct_failure) && is_recent(now, self.last_tunnel);
        self.detached = was_detached || begins;
        self.last_evidence = Some(now);
    }

    fn on_direct_failed(&mut self, now: Time) {
        let was_detached = self.is_detached(now);
        self.direct_failure = Some(now);
        // The failure of a probe doesn't postpone the next probe: it may be known only long after the probe began.
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

/// What this instance's own connection attempts have shown for each engine.
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
    /// detached; the times of the failures don't matter.
    pub fn on_tunnel_failed(&mut self, _now: Time, engine: EngineKey) {
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
        let states = self.engines.iter();
        let detached = states.filter(|(_, state)| state.is_detached(now));
        detached.map(|(key, _)| key).collect()
    }

    /// Number of engines that this instance currently reaches only through a peer.
    pub fn detached_count(&self, now: Time) -> usize {
        self.detached(now).len()
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
