//! Orders engines from the cloud API for all instances, as [`sequoiastream_core::relay::scale`] plans.

use std::sync::Arc;
use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::relay::scale::EngineCounts;
use sequoiastream_core::relay::scale::Planner;
use sequoiastream_core::relay::scale::ScaleOrder;
use sequoiastream_core::relay::scale::target_counts;

use crate::log_event;
use crate::ops::relay::cloud::CloudClient;
use crate::ops::relay::cloud::CloudError;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Time between two checks of the plan.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Orders engines while this instance is the leader.
pub async fn run(shared: Arc<Shared>, cloud: CloudClient) {
    let mut planner = Planner::default();
    let mut logged_version = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !cloud.is_leader() {
            planner = Planner::default();
            continue;
        }
        log_held_services(&shared, &mut logged_version);
        for order in due_orders(&shared, &planner) {
            place_order(&shared, &cloud, &mut planner, order).await;
        }
    }
}

/// Logs, once for each version of the configuration, the services that may be scaled but for which no engines are
/// ordered.
fn log_held_services(shared: &Shared, logged_version: &mut u64) {
    let table = shared.view.load().table.clone();
    if std::mem::replace(logged_version, table.version) == table.version {
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

fn due_orders(shared: &Shared, planner: &Planner) -> Vec<ScaleOrder> {
    let view = shared.view.load();
    let now = clock::now();
    let services = view.table.services.values();
    let orders = services.filter_map(|service| {
        let scale = service.scale.as_ref()?;
        // A service without a known engine is skipped: too little is known about it.
        let engines = view.engines().get(&service.name)?;
        let present = EngineCounts::by_zone(engines.iter().map(|e| &e.entry));
        Some(planner.due(now, &service.name, scale, &present))
    });
    orders.flatten().collect()
}

async fn place_order(shared: &Shared, cloud: &CloudClient, planner: &mut Planner, order: ScaleOrder) {
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
