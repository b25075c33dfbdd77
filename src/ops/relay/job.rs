//! Jobs at engines, as this instance counts them.

use std::sync::Arc;
use std::time::Duration;

use sequoiastream_core::relay::load_tracker::JobId;

use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// A job recorded at an engine; it ends when this is dropped.
pub struct JobGuard {
    shared: Arc<Shared>,
    id: JobId,
}

impl JobGuard {
    /// The job `id`.
    pub(super) fn new(shared: Arc<Shared>, id: JobId) -> JobGuard {
        JobGuard { shared, id }
    }

    /// Records that the prefill is complete.
    pub fn finish_prefill(&self) {
        self.shared.traffic().load.finish_prefill(self.id);
    }

    /// Records that a plain engine with `slots` answered the job, of which `network` was the time of the round trip.
    pub fn on_answer(&self, slots: u32, network: Duration) {
        let mut traffic = self.shared.traffic();
        traffic.load.on_answer(clock::now(), self.id, slots, network);
    }
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        self.shared.traffic().load.finish(clock::now(), self.id);
    }
}
