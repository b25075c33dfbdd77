//! Refuses requests of workspaces that are over their share while the capacity of a service is short.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream_core::log_event;
use sequoiastream_core::relay::prefill_time::PrefillWork;
use sequoiastream_core::relay::workspace_shares::ServiceState;
use sequoiastream_core::relay::workspace_shares::ShareDecision;
use sequoiastream_core::relay::workspace_shares::ShareRequest;
use sequoiastream_core::relay::workspace_shares::SlotCounts;
use sequoiastream_core::time::Time;

use crate::log_event;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::reply::CAPACITY_REASONS;
use crate::ops::relay::reply::Refusal;
use crate::ops::relay::reply::Reply;
use crate::ops::relay::shared::Shared;
use crate::ops::relay::shared::TrafficState;
use crate::ops::relay::shared::View;
use crate::ops::relay::versions::StreamVersion;
use crate::util::clock;

/// A request that was admitted, and counts for its workspace. When it is dropped, its time at the engines is
/// recorded, unless its cost was given back because it has not run.
pub(super) struct AdmittedRequest {
    shared: Arc<Shared>,
    service: String,
    workspace: String,
    route: String,
    priority: u8,
    cost: f64,
    admitted: Time,
    given_back: Cell<bool>,
}

impl AdmittedRequest {
    /// Gives the cost back to the workspace; a second call changes nothing.
    fn give_back(&self) {
        if self.given_back.replace(true) {
            return;
        }
        let request = ShareRequest {
            service: &self.service,
            workspace: &self.workspace,
            priority: self.priority,
            cost: self.cost,
            refusable: false,
            spread: 0.0,
        };
        let mut traffic = self.shared.traffic();
        traffic.shares.give_back(clock::now(), &request, self.admitted);
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        if !self.given_back.get() {
            let took = clock::now().since(self.admitted);
            let mut traffic = self.shared.traffic();
            traffic.shares.on_end(&self.service, &self.route, took);
        }
    }
}

impl ForwardedRequest {
    /// Admits the request within the share of its workspace, if it has one; later calls change nothing.
    ///
    /// # Errors
    ///
    /// The final answer if its workspace is over its share and capacity is short.
    pub(super) fn admit(&mut self) -> Result<(), Reply> {
        let workspace = self.incoming.workspace.as_ref().and_then(|w| w.to_str().ok());
        let (Some(workspace), Some(service), None) = (workspace, &self.service, &self.admitted) else {
            return Ok(());
        };
        let (workspace, service) = (workspace.to_string(), service.clone());
        let view = self.shared.view.load();
        let now = clock::now();
        let mut traffic = self.shared.traffic();
        let state = service_state(&view, &traffic, now, &service);
        let cost = self.predicted_cost(&traffic, &service, state.slots);
        let request = ShareRequest {
            service: &service,
            workspace: &workspace,
            priority: self.priority,
            cost,
            // The beginning of a stream that is continued has been delivered: refusing it now would waste it.
            refusable: self.version == StreamVersion::Any,
            spread: self.draw as f64 / u64::MAX as f64,
        };
        let decision = traffic.shares.admit(now, state, &request);
        drop(traffic);
        if let ShareDecision::Refused { delay, is_first } = decision {
            if is_first {
                log_event!(
                    info,
                    log_event::WORKSPACE_OVER_SHARE,
                    request = self.id(),
                    workspace,
                    service,
                    delay = delay.as_millis() as u64
                );
            }
            let reason = "its workspace is over its share";
            let expected = None;
            self.refusal = Some(Refusal { reason, expected });
            return Err(self.give_up().with_delay(delay));
        }
        self.admitted = Some(AdmittedRequest {
            shared: self.shared.clone(),
            service,
            workspace,
            route: self.route.name.clone(),
            priority: self.priority,
            cost,
            admitted: now,
            given_back: Cell::new(false),
        });
        Ok(())
    }

    /// Engine seconds that the request is predicted to take: those of the prefill of the parts of its prompt that it
    /// shares with no other request, and the time in a slot.
    fn predicted_cost(&self, traffic: &TrafficState, service: &str, slots: SlotCounts) -> f64 {
        let prefill = self.incoming.prompt.as_ref().map_or(Duration::ZERO, |prompt| {
            let model = traffic.load.prefill_model(service);
            model.busy_time(PrefillWork::new(prompt, prompt.own_tokens()))
        });
        let default = self.route.latency_target;
        let slot_time = traffic.shares.slot_time(service, &self.route.name, default);
        prefill.as_secs_f64() + slot_time.as_secs_f64() / slots.mean_slots()
    }

    /// Gives the cost of a request that has not run back to its workspace.
    pub(super) fn settle_share(&self, reply: Reply) {
        if let (Reply::Refused(_) | Reply::Expired, Some(admitted)) = (reply, &self.admitted) {
            admitted.give_back();
        }
    }

    /// Whether the request, if it is refused, is so for lack of capacity.
    pub(super) fn lacks_capacity(&self) -> bool {
        match &self.refusal {
            Some(refusal) => CAPACITY_REASONS.contains(&refusal.reason),
            None => self.tried.is_empty(),
        }
    }

    /// Counts a request that was refused for lack of capacity, for the shares of workspaces and for the number of engines
    /// that are ordered.
    pub(super) fn count_capacity_refusal(&self, reply: Reply) {
        if let (Reply::Refused(_) | Reply::Expired, true, Some(service)) =
            (reply, self.lacks_capacity(), &self.service)
        {
            let now = clock::now();
            let mut traffic = self.shared.traffic();
            traffic.shares.on_capacity_refusal(now, service);
            traffic.capacity_refusals.on_refused(now, service);
        }
    }
}

/// The slots of a service's engines, and the number of instances that share them.
fn service_state(view: &View, traffic: &TrafficState, now: Time, service: &str) -> ServiceState {
    let mut slots = SlotCounts::default();
    for engine in view.engines().get(service).into_iter().flatten() {
        let requests = traffic.load.work(now, engine.key).requests;
        slots.add(engine.entry.stage, engine.entry.slots, requests);
    }
    ServiceState {
        slots,
        instances: view.instances,
    }
}
