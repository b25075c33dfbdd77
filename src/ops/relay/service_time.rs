//! Records how long plain engines take for requests whose answer is no stream, and logs which are slow.

use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::relay::placement::CROSS_ZONE_ROUND_TRIP;

use crate::log_event;
use crate::ops::relay::attempt::ActiveAttempt;
use crate::ops::relay::forward::ForwardedRequest;
use crate::util::clock;

impl ForwardedRequest {
    /// Records how long a plain engine took to answer. Guards against an engine that seems fast because it answers
    /// requests with errors at once.
    pub(super) fn record_service_time(&self, attempt: &ActiveAttempt) {
        let service = self.service.as_ref();
        let service = service.and_then(|name| self.view.table.services.get(name));
        if attempt.error_body().is_some() || service.is_none_or(|s| s.engine_spec.is_some()) {
            return;
        }
        let network = match attempt.engine().entry.zone == self.shared.options.zone.as_str() {
            true => Duration::ZERO,
            false => CROSS_ZONE_ROUND_TRIP,
        };
        attempt.record_service_time(network);
        self.log_slowness(attempt);
    }

    /// Logs when an engine becomes slower than the others of its service, and when it no longer is.
    fn log_slowness(&self, attempt: &ActiveAttempt) {
        let engine = attempt.engine();
        let view = self.shared.view.load();
        let Some(engines) = view.engines().get(&engine.entry.service) else {
            return;
        };
        let now = clock::now();
        let mut traffic = self.shared.traffic();
        let times = &mut traffic.load.service_times;
        let change = times.slow_change(now, engine.key, engines.iter().map(|e| e.key));
        drop(traffic);
        if let Some(change) = change {
            log_event!(info, log_event::ENGINE_SLOW, engine = %engine.entry.id, service = engine.entry.service,
                slow = change.is_slow, millis = change.took.as_millis() as u64, usual = change.usual.as_millis() as u64);
        }
    }
}
