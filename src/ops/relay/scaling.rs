//! Orders engines from the cloud API for all instances, as [`sequoiastream_core::relay::scale`] plans.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::load_message::is_large_fleet;
use sequoiastream_core::relay::routes::Service;
use sequoiastream_core::relay::scale::EngineCounts;
use sequoiastream_core::relay::scale::Planner;
use sequoiastream_core::relay::scale::ScaleOrder;
use sequoiastream_core::relay::scale::target_counts;
use sequoiastream_core::relay::scale_need::ServiceLoad;
use sequoiastream_core::relay::scale_target::ScaleInput;
use sequoiastream_core::relay::scale_target::ScaleTarget;
use sequoiastream_core::relay::scale_target::ServiceScaler;
use sequoiastream_core::relay::stages::limit_prefill_fraction;
use sequoiastream_core::time::Time;

use crate::log_event;
use crate::ops::relay::cloud::CloudClient;
use crate::ops::relay::cloud::CloudError;
use crate::ops::relay::peers::Fleet;
use crate::ops::relay::shared::Shared;
use crate::ops::relay::shared::View;
use crate::util::clock;

/// Time between two checks of the plan.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Fraction of the listed peers that must be heard for the load of the fleet to be known. A few may have stopped
/// without a word: they stay listed for minutes, and their callers have gone to the others.
const MIN_HEARD: f64 = 0.75;

/// The state of the orders for engines while this instance is the leader.
#[derive(Default)]
struct ScaleState {
    planner: Planner,
    /// By service.
    scalers: BTreeMap<String, ServiceScaler>,
    /// Whether the load of the fleet was unknown at the last check.
    is_uninformed: bool,
}

/// Orders engines while this instance is the leader.
pub async fn run(shared: Arc<Shared>, fleet: Fleet, cloud: CloudClient) {
    let mut state = ScaleState::default();
    let mut logged_version = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        shared.metrics.clear_scale();
        if !cloud.is_leader() {
            state = ScaleState::default();
            continue;
        }
        log_held_services(&shared, &mut logged_version);
        let heard = fleet.heard_names().len();
        for (order, need) in state.due_orders(&shared, heard) {
            place_order(&shared, &cloud, &mut state.planner, order, need).await;
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

impl ScaleState {
    /// The orders that are due, with the need that led to each if the number follows the load. `heard` is the number of
    /// peers that are heard.
    fn due_orders(&mut self, shared: &Shared, heard: usize) -> Vec<(ScaleOrder, Option<f64>)> {
        let view = shared.view.load();
        let now = clock::now();
        let peers = view.instances.saturating_sub(1);
        let is_complete = heard as f64 >= peers as f64 * MIN_HEARD;
        // In a large fleet, most instances don't report their load to the leader.
        let headroom = shared
            .reloadable()
            .scale_headroom
            .filter(|_| !is_large_fleet(peers));
        self.log_reports(headroom.is_some() && !is_complete, heard, peers);
        let mut orders = Vec::new();
        for service in view.table.services.values() {
            // A service without a known engine is skipped: too little is known about it.
            let (Some(scale), Some(engines)) = (&service.scale, view.engines().get(&service.name)) else {
                continue;
            };
            let present = EngineCounts::by_zone(engines.iter().map(|e| &e.entry));
            let name = &service.name;
            let Some(headroom) = headroom.filter(|_| target_counts(scale).is_some()) else {
                self.scalers.remove(name);
                let due = self.planner.due(now, name, scale, &present);
                orders.extend(due.into_iter().map(|order| (order, None)));
                continue;
            };
            let mut load = service_load(shared, &view, now, service, engines);
            load.is_complete = is_complete;
            let input = ScaleInput {
                scale,
                headroom,
                load: &load,
                present: &present,
                refused: &self.planner.refused_zones(name),
            };
            let scaler = self.scalers.entry(name.clone());
            let scaler = scaler.or_insert_with(|| ServiceScaler::new(&present));
            let target = scaler.target(now, &input);
            set_metrics(shared, name, &target);
            let due = self.planner.due_for(now, name, scale, &target.zones, &present);
            orders.extend(due.into_iter().map(|order| (order, Some(target.need))));
        }
        orders
    }

    /// Logs when the load of the fleet becomes unknown, and when it is known again.
    fn log_reports(&mut self, is_uninformed: bool, heard: usize, peers: usize) {
        if std::mem::replace(&mut self.is_uninformed, is_uninformed) != is_uninformed {
            log_event!(
                info,
                log_event::SCALE_REPORTS,
                missing = is_uninformed,
                heard,
                peers
            );
        }
    }
}

fn service_load(
    shared: &Shared,
    view: &View,
    now: Time,
    service: &Service,
    engines: &[Engine],
) -> ServiceLoad {
    let capacity = view.endpoints.iter().map(|e| e.capacity).sum();
    let fraction = shared.reloadable().prefill_fraction;
    let fraction = limit_prefill_fraction(engines, &BTreeMap::new(), fraction, capacity);
    let traffic = shared.traffic();
    ServiceLoad {
        refused: traffic.capacity_refusals.fraction(now, &service.name),
        latency: view.table.latency_target(&service.name).unwrap_or_default(),
        ..ServiceLoad::of(now, &traffic.load, engines, fraction)
    }
}

fn set_metrics(shared: &Shared, service: &str, target: &ScaleTarget) {
    shared.metrics.set_scale_need(service, target.need);
    for (zone, counts) in &target.zones {
        shared
            .metrics
            .set_scale_target(service, zone, "spot", counts.spot);
        shared
            .metrics
            .set_scale_target(service, zone, "reserved", counts.reserved);
    }
}

async fn place_order(
    shared: &Shared,
    cloud: &CloudClient,
    planner: &mut Planner,
    order: ScaleOrder,
    need: Option<f64>,
) {
    let body = shared.translate.scale(&order);
    let group = order.group.clone();
    let (service, zone, spot, count) = (group.service, group.zone, group.spot, order.count);
    match cloud.post(&shared.translate.paths().scale, body).await {
        Ok(()) => {
            log_event!(info, log_event::SCALE_ORDERED, service, zone, spot, count, need);
            planner.on_accepted(clock::now(), order);
        }
        Err(error) => {
            log_event!(info, log_event::CLOUD_FAILED, %error, call = "scale", service, zone, spot, count);
            let refused = matches!(error, CloudError::Refused(_));
            planner.on_failed(clock::now(), order, refused);
        }
    }
}
