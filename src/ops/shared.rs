//! What the control thread and the traffic threads share.

use std::sync::Mutex;
use std::sync::MutexGuard;

use arc_swap::ArcSwap;
use sequoiastream_core::claims::KeyClock;
use sequoiastream_core::route::Router;
use sequoiastream_core::snapshot::Snapshot;

use crate::ops::peers::Peers;
use crate::settings::Settings;
use crate::util::clock;
use crate::util::metrics::Metrics;

/// Shared between all threads of a daemon.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The configuration in force; swapped whole.
    pub snapshot: ArcSwap<Snapshot>,
    /// Counts of what happened.
    pub metrics: Metrics,
    /// The other instances.
    pub peers: Peers,
    /// Judges the age of idempotency keys.
    pub keys: KeyClock,
    router: Mutex<Router>,
}

impl Shared {
    /// Shared state before the first configuration is known.
    pub fn new(settings: Settings) -> Shared {
        Shared {
            settings,
            snapshot: ArcSwap::default(),
            metrics: Metrics::new(),
            peers: Peers::default(),
            keys: KeyClock::new(clock::both()),
            router: Mutex::new(Router::new()),
        }
    }

    /// The router. Held for one decision, never across an await.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router
            .lock()
            .expect("no thread panics while it holds the router")
    }
}
