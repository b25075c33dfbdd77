//! Signals that stop running attempts after an engine crash, whichever thread they run on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use tokio::sync::Notify;
use uuid::Uuid;

/// The stop signal of each running attempt, by the attempt's id.
#[derive(Debug, Default)]
pub struct StopSignals(Mutex<BTreeMap<Uuid, Arc<Notify>>>);

impl StopSignals {
    /// Adds an attempt, and returns the signal that is notified when the attempt must stop.
    pub fn add(&self, attempt: Uuid) -> Arc<Notify> {
        let notify = Arc::new(Notify::new());
        self.lock().insert(attempt, notify.clone());
        notify
    }

    /// Removes an attempt that has ended.
    pub fn remove(&self, attempt: Uuid) {
        self.lock().remove(&attempt);
    }

    /// Notifies `attempts` to stop. Those that have ended are skipped.
    pub fn stop(&self, attempts: &[Uuid]) {
        let signals = self.lock();
        for notify in attempts.iter().filter_map(|attempt| signals.get(attempt)) {
            notify.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Uuid, Arc<Notify>>> {
        self.0
            .lock()
            .expect("no thread panics while it holds the stop signals")
    }
}
