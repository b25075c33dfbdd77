//! Closes idle connections to engines that are no longer needed, and probes engines that can't be reached directly.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream_upstream::channel::Pool;

use crate::ops::relay::connect;
use crate::ops::relay::pick::MAX_LOAD_FACTOR;
use crate::ops::relay::shared::Shared;
use crate::ops::relay::shared::View;

/// Interval between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Closes surplus idle connections and probes detached engines at every interval, for as long as the thread runs.
pub async fn sweep(shared: Arc<Shared>, pool: Pool) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        pool.sweep(max_idle(&shared.view.load()));
        connect::probe(&shared, &pool).await;
    }
}

/// Maximum number of idle connections to each engine.
fn max_idle(view: &View) -> BTreeMap<SocketAddr, usize> {
    let engines = view.engines().iter().flat_map(|(name, engines)| {
        let service = view.table.services.get(name);
        engines.iter().map(move |engine| (service, engine))
    });
    let limits = engines.map(|(service, engine)| {
        let busy = (f64::from(engine.entry.slots) * MAX_LOAD_FACTOR) as u32;
        let share = service.and_then(|s| s.idle_share(busy, view.instances));
        (engine.entry.address, share.unwrap_or(usize::MAX))
    });
    limits.collect()
}
