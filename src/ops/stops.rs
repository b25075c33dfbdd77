//! How a crash reaches the attempts that must stop because of it, on whatever thread they run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use tokio::sync::Notify;
use uuid::Uuid;

/// What each running attempt listens to.
#[derive(Debug, Default)]
pub struct StopSignals(Mutex<BTreeMap<Uuid, Arc<Notify>>>);

impl StopSignals {
    /// Adds an attempt; returns what is notified when it must stop.
    pub fn add(&self, attempt: Uuid) -> Arc<Notify> {
        let notify = Arc::new(Notify::new());
        self.lock().insert(attempt, notify.clone());
        notify
    }

    /// Removes an attempt that has ended.
    pub fn remove(&self, attempt: Uuid) {
        self.lock().remove(&attempt);
    }

    /// Stops attempts.
    pub fn stop(&self, attempts: &[Uuid]) {
        let stops = self.lock();
        for notify in attempts.iter().filter_map(|attempt| stops.get(attempt)) {
            notify.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Uuid, Arc<Notify>>> {
        self.0.lock().expect("no thread panics while it holds the stops")
    }
}
