//! Registers the metrics of the forwarding of requests by route.

use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::util::metrics::relay::RelayMetrics;

impl RelayMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "relay_answers",
            "Final answers, by service, kind of route and outcome",
            self.answers.clone(),
        );
        registry.register(
            "relay_prompts",
            "Final answers to requests with a prompt, by service, priority, size of the prompt and outcome",
            self.prompts.clone(),
        );
        registry.register(
            "relay_refusals",
            "Final answers produced by this instance itself, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "relay_attempts",
            "Attempts at engines, by how they ended",
            self.attempts.clone(),
        );
        registry.register(
            "relay_extra_attempts",
            "Extra attempts allowed or denied by the retry budget",
            self.extra_attempts.clone(),
        );
        registry.register(
            "relay_requests",
            "Requests that callers sent on a route to a service",
            self.requests.clone(),
        );
        registry.register(
            "relay_arrivals",
            "Arrivals of requests at the engines of a service, by how the retry budget counts them",
            self.arrivals.clone(),
        );
        registry.register(
            "relay_outdated_requests",
            "Requests decided by data that was not confirmed within the time for applying a change",
            self.outdated_requests.clone(),
        );
        registry.register(
            "relay_store_restorations",
            "Times that the store was restored from an older copy of its contents",
            self.store_restorations.clone(),
        );
        registry.register_with_unit(
            "relay_first_event",
            "Time from a request's arrival to the first event of its answer, or to the complete answer",
            Unit::Seconds,
            self.first_event.clone(),
        );
        registry.register_with_unit(
            "relay_prediction_error",
            "Measured time to the first event minus its prediction",
            Unit::Seconds,
            self.prediction_error.clone(),
        );
        self.register_hedges(registry);
        self.register_pace(registry);
        self.register_work(registry);
        self.register_knowledge(registry);
    }

    fn register_hedges(&self, registry: &mut Registry) {
        registry.register(
            "relay_hedges",
            "Requests sent to a second engine because the first one was slow, and which of the two delivered first",
            self.hedges.clone(),
        );
        registry.register(
            "relay_hedges_denied",
            "Requests not sent to a second engine although the first one was slow, by reason",
            self.hedges_denied.clone(),
        );
    }

    fn register_pace(&self, registry: &mut Registry) {
        registry.register_with_unit(
            "relay_event_interval",
            "Time between two events of a stream whose route limits the pauses",
            Unit::Seconds,
            self.event_interval.clone(),
        );
        registry.register(
            "relay_slow_streams",
            "Long streams sent to an engine at which a longer pause is expected than their route allows",
            self.slow_streams.clone(),
        );
        registry.register(
            "relay_slow_engines",
            "Engines whose events take at least a quarter longer than those of the fastest of their service",
            self.slow_engines.clone(),
        );
    }

    fn register_work(&self, registry: &mut Registry) {
        registry.register("relay_running", "Running requests", self.running.clone());
        registry.register(
            "relay_engines",
            "Engines that may receive requests",
            self.engines.clone(),
        );
        registry.register(
            "relay_work",
            "Requests at the engines of a service, by scope: of this instance, of the fleet, and engine slots",
            self.work.clone(),
        );
        registry.register(
            "relay_budget_left",
            "Extra attempts left in the retry budget of this instance",
            self.budget_left.clone(),
        );
        registry.register_with_unit(
            "relay_service_time",
            "Usual time in service at the engines of a service without model engines",
            Unit::Seconds,
            self.service_time.clone(),
        );
        self.register_scale(registry);
    }

    fn register_scale(&self, registry: &mut Registry) {
        registry.register(
            "relay_scale_target",
            "Engines that the leader wants in a zone, by kind, if the number follows the load",
            self.scale_target.clone(),
        );
        registry.register(
            "relay_scale_need",
            "Engines that the load of a service needs, as the leader predicts",
            self.scale_need.clone(),
        );
        registry.register(
            "relay_returns",
            "Refused callers that returned when told, by result",
            self.returns.clone(),
        );
        registry.register(
            "relay_overdue",
            "Requests of a kind or size that was refused more often than it may be, by whether they were accepted",
            self.overdue.clone(),
        );
        registry.register(
            "relay_take_ups",
            "Streams that callers took up, by what determined the version of their engines",
            self.take_ups.clone(),
        );
        registry.register(
            "relay_engine_errors",
            "Errors of engines that were passed on to their callers, by status",
            self.engine_errors.clone(),
        );
        registry.register(
            "relay_evictions",
            "Connections of callers that were given up for lack of memory or descriptors, by whether a request was refused",
            self.evictions.clone(),
        );
    }

    fn register_knowledge(&self, registry: &mut Registry) {
        registry.register(
            "relay_store_calls",
            "Calls to the store, by kind and result",
            self.store_calls.clone(),
        );
        registry.register_with_unit(
            "relay_store_age",
            "Time since the store last confirmed the configuration and the engines",
            Unit::Seconds,
            self.store_age.clone(),
        );
        registry.register(
            "relay_watcher",
            "1 while this instance watches the store on behalf of its zone, otherwise 0",
            self.watcher.clone(),
        );
        registry.register_with_unit(
            "relay_proof_age",
            "Age of the time up to which all changes in the store are proven to be known; -1 without a proof",
            Unit::Seconds,
            self.proof_age.clone(),
        );
        registry.register(
            "relay_leads",
            "1 while this instance is the leader, which calls the platform's API on behalf of all, otherwise 0",
            self.is_leader.clone(),
        );
        registry.register_with_unit(
            "relay_peers_age",
            "Time since the last load report of the peer whose report is the oldest",
            Unit::Seconds,
            self.peers_age.clone(),
        );
        registry.register(
            "relay_config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "relay_limited_engines",
            "Engines that currently limit the requests per second that they accept from all instances together",
            self.limited_engines.clone(),
        );
        registry.register(
            "relay_detached_engines",
            "Engines that this instance currently reaches only through a peer",
            self.detached_engines.clone(),
        );
        registry.register(
            "relay_instances",
            "Instances listed to callers",
            self.instances.clone(),
        );
        self.register_suspects(registry);
    }

    fn register_suspects(&self, registry: &mut Registry) {
        registry.register(
            "relay_suspect_requests",
            "Requests under which an engine ended lately, as far as this instance knows",
            self.suspect_requests.clone(),
        );
        registry.register(
            "relay_blocked_requests",
            "Requests that this instance blocks because they crash engines",
            self.blocked_requests.clone(),
        );
        registry.register(
            "relay_blocked_parts",
            "Parts of prompts that this instance blocks because they crash engines",
            self.blocked_parts.clone(),
        );
        registry.register(
            "relay_over_share_workspaces",
            "Workspaces that were refused lately because they were over their share of a service",
            self.workspaces_over_share.clone(),
        );
    }
}
