//! Ordering engines, for all instances, as [`sequoiastream_core::relay::scale`] plans.

use std::sync::Arc;
use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::relay::scale::EngineCounts;
use sequoiastream_core::relay::scale::Planner;
use sequoiastream_core::relay::scale::ScaleOrder;
use sequoiastream_core::relay::scale::target_counts;

use crate::log_event;
use crate::ops::relay::cloud::Cloud;
use crate::ops::relay::cloud::CloudError;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Time between two looks at the plan.
const LOOK: Duration = Duration::from_millis(500);

/// Orders engines while this instance acts for all.
pub async fn run(shared: Arc<Shared>, cloud: Cloud) {
    let mut planner = Planner::default();
    let mut noted = 0;
    loop {
        tokio::time::sleep(LOOK).await;
        if !cloud.is_held() {
            planner = Planner::default();
            continue;
        }
        note_held(&shared, &mut noted);
        for order in due(&shared, &planner) {
            give(&shared, &cloud, &mut planner, order).await;
        }
    }
}

/// Says once for each version of the configuration of which services no engines are ordered though they may be.
fn note_held(shared: &Shared, noted: &mut u64) {
    let table = shared.view.load().table.clone();
    if std::mem::replace(noted, table.version) == table.version {
        return;
    }
    for service in table.services.values() {
        if service
            .scale
            .as_ref()
            .is_some_and(|scale| target_counts(scale).is_none())
        {
            log_event!(warn, log_event::SCALE_HELD, service = service.name);
        }
    }
}

fn due(shared: &Shared, planner: &Planner) -> Vec<ScaleOrder> {
    let view = shared.view.load();
    let now = clock::now();
    let services = view.table.services.values();
    let orders = services.filter_map(|service| {
        let scale = service.scale.as_ref()?;
        // A service without any engine known is one of which too little is known.
        let engines = view.engines().get(&service.name)?;
        let present = EngineCounts::by_zone(engines.iter().map(|e| &e.entry));
        Some(planner.due(now, &service.name, scale, &present))
    });
    orders.flatten().collect()
}

async fn give(shared: &Shared, cloud: &Cloud, planner: &mut Planner, order: ScaleOrder) {
    let body = shared.translate.scale(&order);
    let (zone, spot, count) = (order.group.zone.clone(), order.group.spot, order.count);
    match cloud.post(&shared.translate.paths().scale, body).await {
        Ok(()) => {
            log_event!(info, log_event::SCALE_ORDERED, zone, spot, count);
            planner.on_accepted(clock::now(), order);
        }
        Err(error) => {
            log_event!(info, log_event::CLOUD_FAILED, %error, call = "scale", zone, spot, count);
            let refused = matches!(error, CloudError::Refused(_));
            planner.on_failed(clock::now(), order, refused);
        }
    }
}
