//! Metrics of the forwarding of requests by route.

mod registration;

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::util::logging::SharedBudget;
use crate::util::metrics::PREFIX;
use crate::util::metrics::dropped_lines::DroppedLineCollector;
use crate::util::metrics::relay_labels::ArrivalLabels;
use crate::util::metrics::relay_labels::CallLabels;
use crate::util::metrics::relay_labels::PromptLabels;
use crate::util::metrics::relay_labels::ReasonLabels;
use crate::util::metrics::relay_labels::ResultLabels;
use crate::util::metrics::relay_labels::RouteLabels;
use crate::util::metrics::relay_labels::RouteOutcomeLabels;
use crate::util::metrics::relay_labels::ScaleLabels;
use crate::util::metrics::relay_labels::ScopeLabels;
use crate::util::metrics::relay_labels::ServiceLabels;
use crate::util::metrics::relay_labels::SourceLabels;
use crate::util::metrics::relay_labels::StatusLabels;

/// Bucket bounds of the time to the first event, in seconds. They are dense around the users' targets of 0.1 to 0.2.
const FIRST_EVENT_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.4, 0.8, 1.6, 5.0];

/// Bucket bounds of the interval between two events, in seconds. They are dense around the users' target of 0.15.
const EVENT_INTERVAL_BUCKETS: [f64; 9] = [0.02, 0.04, 0.06, 0.1, 0.15, 0.2, 0.3, 0.6, 1.2];

/// Bucket bounds of the prediction error, in seconds.
const PREDICTION_ERROR_BUCKETS: [f64; 9] = [-0.1, -0.03, -0.01, 0.0, 0.01, 0.03, 0.1, 0.3, 1.0];

/// Maximum number of services with a label of their own; all others share [`OTHER_SERVICES`]. Operators may configure
/// any number of services.
const MAX_SERVICES: usize = 64;

/// Label of all services beyond [`MAX_SERVICES`].
const OTHER_SERVICES: &str = "others";

/// Metrics of the forwarding of requests by route.
pub struct RelayMetrics {
    answers: Family<RouteOutcomeLabels, Counter>,
    prompts: Family<PromptLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    attempts: Family<ResultLabels, Counter>,
    store_calls: Family<CallLabels, Counter>,
    extra_attempts: Family<ResultLabels, Counter>,
    hedges: Family<ResultLabels, Counter>,
    hedges_denied: Family<ReasonLabels, Counter>,
    returns: Family<ResultLabels, Counter>,
    overdue: Family<ResultLabels, Counter>,
    take_ups: Family<SourceLabels, Counter>,
    engine_errors: Family<StatusLabels, Counter>,
    evictions: Family<ResultLabels, Counter>,
    requests: Family<ServiceLabels, Counter>,
    arrivals: Family<ArrivalLabels, Counter>,
    /// Requests that were decided by a view that nothing had confirmed within the time for applying a change.
    pub outdated_requests: Counter,
    /// Restorations of the store from a copy that this process has noticed.
    pub store_restorations: Counter,
    budget_left: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    work: Family<ScopeLabels, Gauge>,
    service_time: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    scale_target: Family<ScaleLabels, Gauge>,
    scale_need: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    first_event: Family<RouteLabels, Histogram, fn() -> Histogram>,
    prediction_error: Histogram,
    event_interval: Family<ServiceLabels, Histogram, fn() -> Histogram>,
    slow_streams: Family<ServiceLabels, Counter>,
    slow_engines: Family<ServiceLabels, Gauge>,
    /// Seconds since the store last confirmed this instance's copy of the configuration and the engines.
    pub store_age: Gauge<f64, AtomicU64>,
    /// Seconds since the last load report of the peer whose report is the oldest.
    pub peers_age: Gauge<f64, AtomicU64>,
    /// 1 while this instance watches the store on behalf of its zone, otherwise 0.
    pub watcher: Gauge,
    /// Age in seconds of the time up to which all changes in the store are proven to be known here; -1 without a proof.
    pub proof_age: Gauge<f64, AtomicU64>,
    /// 1 while this instance is the leader, which calls the platform's API on behalf of all, otherwise 0.
    pub is_leader: Gauge,
    service_names: Mutex<BTreeSet<String>>,
    /// Number of running requests.
    pub running: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Number of engines that may receive requests.
    pub engines: Gauge,
    /// Number of engines that currently limit the requests per second that they accept.
    pub limited_engines: Gauge,
    /// Number of engines that this instance currently reaches only through a peer.
    pub detached_engines: Gauge,
    /// Number of requests under which an engine ended lately.
    pub suspect_requests: Gauge,
    /// Number of requests that are blocked because they crash engines.
    pub blocked_requests: Gauge,
    /// Number of parts of prompts that are blocked because they crash engines.
    pub blocked_parts: Gauge,
    /// Number of workspaces that were refused lately because they were over their share of a service.
    pub workspaces_over_share: Gauge,
    /// Number of instances listed to callers.
    pub instances: Gauge,
    registry: Mutex<Registry>,
}

impl fmt::Debug for RelayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayMetrics").finish_non_exhaustive()
    }
}

impl RelayMetrics {
    /// Creates all metrics at zero. The number of log lines dropped is read from `budget`.
    pub fn new(budget: SharedBudget) -> RelayMetrics {
        let mut registry = Registry::with_prefix(PREFIX);
        let metrics = RelayMetrics {
            answers: Family::default(),
            prompts: Family::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            store_calls: Family::default(),
            extra_attempts: Family::default(),
            hedges: Family::default(),
            hedges_denied: Family::default(),
            returns: Family::default(),
            overdue: Family::default(),
            take_ups: Family::default(),
            engine_errors: Family::default(),
            evictions: Family::default(),
            requests: Family::default(),
            arrivals: Family::default(),
            outdated_requests: Counter::default(),
            store_restorations: Counter::default(),
            budget_left: Family::default(),
            work: Family::default(),
            service_time: Family::default(),
            scale_target: Family::default(),
            scale_need: Family::default(),
            first_event: Family::new_with_constructor(|| Histogram::new(FIRST_EVENT_BUCKETS)),
            event_interval: Family::new_with_constructor(|| Histogram::new(EVENT_INTERVAL_BUCKETS)),
            slow_streams: Family::default(),
            slow_engines: Family::default(),
            store_age: Gauge::default(),
            peers_age: Gauge::default(),
            watcher: Gauge::default(),
            proof_age: Gauge::default(),
            is_leader: Gauge::default(),
            service_names: Mutex::default(),
            prediction_error: Histogram::new(PREDICTION_ERROR_BUCKETS),
            running: Gauge::default(),
            config_version: Gauge::default(),
            engines: Gauge::default(),
            limited_engines: Gauge::default(),
            detached_engines: Gauge::default(),
            suspect_requests: Gauge::default(),
            blocked_requests: Gauge::default(),
            blocked_parts: Gauge::default(),
            workspaces_over_share: Gauge::default(),
            instances: Gauge::default(),
            registry: Mutex::default(),
        };
        metrics.register(&mut registry);
        registry.register_collector(Box::new(DroppedLineCollector(budget)));
        RelayMetrics {
            registry: Mutex::new(registry),
            ..metrics
        }
    }

    /// Counts a final answer.
    pub fn count_answer(&self, route: &RouteLabels, outcome: &str) {
        let labels = RouteOutcomeLabels {
            service: self.service_label(&route.service),
            kind: route.kind,
            outcome: outcome.to_string(),
        };
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts a final answer to a request with a prompt.
    pub fn count_prompt(&self, labels: PromptLabels) {
        let service = self.service_label(&labels.service);
        let labels = PromptLabels { service, ..labels };
        self.prompts.get_or_create(&labels).inc();
    }

    /// Counts a final answer produced by this instance itself.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts an attempt that ended with `result`.
    pub fn count_attempt(&self, result: &str) {
        let result = result.to_string();
        self.attempts.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, call: &'static str, result: &'static str) {
        self.store_calls.get_or_create(&CallLabels { call, result }).inc();
    }

    /// Counts an extra attempt, allowed or denied by the retry budget.
    pub fn count_extra(&self, allowed: bool) {
        let result = if allowed { "allowed" } else { "denied" }.to_string();
        self.extra_attempts.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts a request that was sent to a second engine, or which of the two delivered first.
    pub fn count_hedge(&self, result: &str) {
        let result = result.to_string();
        self.hedges.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts a request that was not sent to a second engine although the first one was slow.
    pub fn count_hedge_denied(&self, reason: &'static str) {
        self.hedges_denied.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a refused caller that returned when told, and was served or refused.
    pub fn count_return(&self, result: &str) {
        let result = result.to_string();
        self.returns.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts a request of a kind or size that was refused more often than it may be.
    pub fn count_overdue(&self, is_accepted: bool) {
        let result = if is_accepted { "accepted" } else { "refused" }.to_string();
        self.overdue.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts a stream that a caller took up, by what determined its version.
    pub fn count_take_up(&self, source: &'static str) {
        self.take_ups.get_or_create(&SourceLabels { source }).inc();
    }

    /// Counts an engine's error that was passed on to its caller.
    pub fn count_engine_error(&self, status: u16) {
        let status = u32::from(status);
        self.engine_errors.get_or_create(&StatusLabels { status }).inc();
    }

    /// Counts a caller's connection that was given up because memory or descriptors ran short.
    pub fn count_eviction(&self, how: &'static str) {
        let result = how.to_string();
        self.evictions.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts a caller's request on a route to a service.
    pub fn count_request(&self, service: &str) {
        let service = self.service_label(service);
        self.requests.get_or_create(&ServiceLabels { service }).inc();
    }

    /// Counts an arrival at an engine of a service.
    pub fn count_arrival(&self, service: &str, kind: &'static str) {
        let service = self.service_label(service);
        self.arrivals
            .get_or_create(&ArrivalLabels { service, kind })
            .inc();
    }

    /// Records the time to the first event of an answer, or to a complete answer.
    pub fn observe_first_event(&self, route: &RouteLabels, elapsed: Duration) {
        let labels = RouteLabels {
            service: self.service_label(&route.service),
            kind: route.kind,
        };
        self.first_event
            .get_or_create(&labels)
            .observe(elapsed.as_secs_f64());
    }

    /// Records the difference between the measured and the predicted time to the first event.
    pub fn observe_prediction_error(&self, elapsed: Duration, predicted: Duration) {
        self.prediction_error
            .observe(elapsed.as_secs_f64() - predicted.as_secs_f64());
    }

    /// Records the time between two events of a stream.
    pub fn observe_event_interval(&self, service: &str, interval: Duration) {
        let service = self.service_label(service);
        self.event_interval
            .get_or_create(&ServiceLabels { service })
            .observe(interval.as_secs_f64());
    }

    /// Counts a long stream that is sent to an engine at which a longer pause is expected than its route allows.
    pub fn count_slow_stream(&self, service: &str) {
        let service = self.service_label(service);
        self.slow_streams.get_or_create(&ServiceLabels { service }).inc();
    }

    /// Clears the gauges of all services, before the current values are set. Otherwise, a service whose engines have
    /// been removed would keep its last values indefinitely.
    pub fn clear_services(&self) {
        self.work.clear();
        self.slow_engines.clear();
        self.budget_left.clear();
        self.service_time.clear();
    }

    /// Sets the usual time in service at the plain engines of a service, in seconds.
    pub fn set_service_time(&self, service: &str, seconds: f64) {
        let service = self.service_label(service);
        self.service_time
            .get_or_create(&ServiceLabels { service })
            .set(seconds);
    }

    /// Sets the number of requests at the engines of a service.
    pub fn set_work(&self, service: &str, scope: &'static str, requests: u32) {
        let service = self.service_label(service);
        let gauge = self.work.get_or_create(&ScopeLabels { service, scope });
        gauge.set(i64::from(requests));
    }

    /// Sets the number of engines of a service that are slow in comparison with its fastest.
    pub fn set_slow_engines(&self, service: &str, count: i64) {
        let service = self.service_label(service);
        self.slow_engines
            .get_or_create(&ServiceLabels { service })
            .set(count);
    }

    /// Sets the number of extra attempts left in the retry budget of a service.
    pub fn set_retry_budget(&self, service: &str, left: f64) {
        let service = self.service_label(service);
        self.budget_left
            .get_or_create(&ServiceLabels { service })
            .set(left);
    }

    /// Clears what the leader wants of all services, before the current values are set or when the leader has changed.
    pub fn clear_scale(&self) {
        self.scale_target.clear();
        self.scale_need.clear();
    }

    /// Sets the number of engines that the load of a service needs.
    pub fn set_scale_need(&self, service: &str, need: f64) {
        let service = self.service_label(service);
        self.scale_need
            .get_or_create(&ServiceLabels { service })
            .set(need);
    }

    /// Sets the number of engines of a kind that the leader wants in a zone.
    pub fn set_scale_target(&self, service: &str, zone: &str, kind: &'static str, engines: u32) {
        let (service, zone) = (self.service_label(service), zone.to_string());
        let labels = ScaleLabels { service, zone, kind };
        self.scale_target.get_or_create(&labels).set(i64::from(engines));
    }

    /// The label of a service: its name, or [`OTHER_SERVICES`] once [`MAX_SERVICES`] names are in use.
    fn service_label(&self, service: &str) -> String {
        let mut names = self
            .service_names
            .lock()
            .expect("no thread panics while it holds the names");
        if names.contains(service) || names.len() < MAX_SERVICES {
            names.insert(service.to_string());
            return service.to_string();
        }
        OTHER_SERVICES.to_string()
    }

    /// The metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        super::render(&self.registry)
    }
}
