//! What the control thread and the traffic threads share.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use arc_swap::ArcSwap;
use sequoiastream_core::name::Name;
use sequoiastream_core::route::Router;
use sequoiastream_core::snapshot::Snapshot;
use sequoiastream_core::time::Time;

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
    router: Mutex<Router>,
    held: Mutex<BTreeMap<Name, Time>>,
}

impl Shared {
    /// Shared state before the first configuration is known.
    pub fn new(settings: Settings) -> Shared {
        Shared {
            settings,
            snapshot: ArcSwap::default(),
            metrics: Metrics::new(),
            router: Mutex::new(Router::new()),
            held: Mutex::default(),
        }
    }

    /// Keeps new work from `engine` until `until`, and tells how many requests this instance has there.
    ///
    /// The router is locked first: a request that was given to the engine before is counted, and a later one
    /// sees the hold.
    pub fn hold(&self, engine: Name, until: Time) -> u32 {
        let router = self.router();
        let count = router.in_flight(&engine);
        self.holds().insert(engine, until);
        count
    }

    /// Gives `engine` work again.
    pub fn unhold(&self, engine: &Name) {
        self.holds().remove(engine);
    }

    /// Engines that get no work now. Ask while the router is locked. A hold that was not renewed lapses, so
    /// that a holder that died keeps no engine idle.
    pub fn held(&self, now: Time) -> Vec<Name> {
        let mut held = self.holds();
        held.retain(|_, until| now < *until);
        held.keys().cloned().collect()
    }

    fn holds(&self) -> MutexGuard<'_, BTreeMap<Name, Time>> {
        self.held
            .lock()
            .expect("no thread panics while it holds the held engines")
    }

    /// The router. Held for one decision, never across an await.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router
            .lock()
            .expect("no thread panics while it holds the router")
    }
}
