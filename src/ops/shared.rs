//! What the control thread and the traffic threads share.

use std::sync::Mutex;
use std::sync::MutexGuard;

use arc_swap::ArcSwap;
use sequoiastream_core::route::Router;
use sequoiastream_core::snapshot::Snapshot;

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
}

impl Shared {
    /// Shared state before the first configuration is known.
    pub fn new(settings: Settings) -> Shared {
        let router = router(&settings);
        Shared {
            settings,
            snapshot: ArcSwap::default(),
            metrics: Metrics::new(),
            router: Mutex::new(router),
        }
    }

    /// The router. Held for one decision, never across an await.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router
            .lock()
            .expect("no thread panics while it holds the router")
    }
}

/// The router of an instance. Its seed comes from the instance's name, so that instances draw differently.
fn router(settings: &Settings) -> Router {
    let hash = blake3::hash(settings.name.as_str().as_bytes());
    let mut seed = [0; 8];
    seed.copy_from_slice(&hash.as_bytes()[..8]);
    Router::new()
        .policy(settings.policy.routing())
        .zone(settings.zone.clone())
        .seed(u64::from_le_bytes(seed))
}
