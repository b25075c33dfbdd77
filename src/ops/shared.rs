//! What the control thread and the traffic threads share.

use std::sync::Mutex;
use std::sync::MutexGuard;

use arc_swap::ArcSwap;
use sequoiastream_core::poison::Poison;
use sequoiastream_core::route::Router;
use sequoiastream_core::snapshot::Snapshot;

use crate::ops::peers::Peers;
use crate::ops::stops::Stops;
use crate::settings::Settings;
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
    /// Attempts that can be stopped.
    pub stops: Stops,
    router: Mutex<Router>,
    poison: Mutex<Poison>,
}

impl Shared {
    /// Shared state before the first configuration is known.
    pub fn new(settings: Settings) -> Shared {
        let poison = Poison::new(settings.name.clone());
        Shared {
            settings,
            snapshot: ArcSwap::default(),
            metrics: Metrics::new(),
            peers: Peers::default(),
            stops: Stops::default(),
            router: Mutex::new(Router::new()),
            poison: Mutex::new(poison),
        }
    }

    /// The router. Held for one decision, never across an await.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router
            .lock()
            .expect("no thread panics while it holds the router")
    }

    /// The records of requests that crash engines. Held for one decision, never across an await.
    pub fn poison(&self) -> MutexGuard<'_, Poison> {
        self.poison
            .lock()
            .expect("no thread panics while it holds the records")
    }
}
