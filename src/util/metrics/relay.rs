//! Metrics of forwarding by routes.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::util::logging::SharedBudget;
use crate::util::metrics::PREFIX;

/// Bounds of times to the first event, in seconds: around the targets of the users' sheets, 0.1 to 0.2.
const FIRST_EVENT_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.4, 0.8, 1.6, 5.0];

/// Bounds of the error of predictions, in seconds.
const PREDICTION_ERROR_BUCKETS: [f64; 9] = [-0.1, -0.03, -0.01, 0.0, 0.01, 0.03, 0.1, 0.3, 1.0];

/// Services that are shown by name; more are shown together as [`OTHERS`]. Operators may configure any number.
const MAX_SERVICES: usize = 64;

/// Services beyond [`MAX_SERVICES`].
const OTHER_SERVICES: &str = "others";

/// The way of a request.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RouteLabels {
    /// The service that may answer it.
    pub service: String,
    /// The kind of its route.
    pub kind: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RouteOutcomeLabels {
    service: String,
    kind: &'static str,
    outcome: String,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ResultLabels {
    result: String,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    result: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ScopeLabels {
    service: String,
    scope: &'static str,
}

/// Metrics of forwarding by routes.
pub struct RelayMetrics {
    answers: Family<RouteOutcomeLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    attempts: Family<ResultLabels, Counter>,
    store_calls: Family<CallLabels, Counter>,
    extra_attempts: Family<ResultLabels, Counter>,
    budget_left: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    work: Family<ScopeLabels, Gauge>,
    first_event: Family<RouteLabels, Histogram, fn() -> Histogram>,
    prediction_error: Histogram,
    /// Seconds since the store confirmed what is known of it.
    pub store_age: Gauge<f64, AtomicU64>,
    /// Seconds since the peer that was silent longest told of its work.
    pub peers_age: Gauge<f64, AtomicU64>,
    /// 1 while this instance watches the store for its zone.
    pub watcher: Gauge,
    /// Seconds since the time up to which everything that happened in the store is known, by proof; -1 without one.
    pub proof_age: Gauge<f64, AtomicU64>,
    /// Whether this instance acts for all towards the platform's API.
    pub is_leader: Gauge,
    service_names: Mutex<BTreeSet<String>>,
    /// Requests that are running.
    pub running: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Engines that may get work.
    pub engines: Gauge,
    /// Instances that callers are told of.
    pub instances: Gauge,
    registry: Mutex<Registry>,
}

impl fmt::Debug for RelayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayMetrics").finish_non_exhaustive()
    }
}

impl RelayMetrics {
    /// All at zero; lines that `budget` dropped are shown too.
    pub fn new(budget: SharedBudget) -> RelayMetrics {
        let mut registry = Registry::with_prefix(PREFIX);
        let metrics = RelayMetrics {
            answers: Family::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            store_calls: Family::default(),
            extra_attempts: Family::default(),
            budget_left: Family::default(),
            work: Family::default(),
            first_event: Family::new_with_constructor(|| Histogram::new(FIRST_EVENT_BUCKETS)),
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

    fn register(&self, registry: &mut Registry) {
        registry.register(
            "relay_answers",
            "Final answers by service, kind of route and outcome",
            self.answers.clone(),
        );
        registry.register(
            "relay_refusals",
            "Final answers of this instance's own, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "relay_attempts",
            "Attempts at engines by how they ended",
            self.attempts.clone(),
        );
        registry.register(
            "relay_extra_attempts",
            "Extra attempts that the budget allowed or denied",
            self.extra_attempts.clone(),
        );
        registry.register_with_unit(
            "relay_first_event",
            "From a request's arrival to its first event, or its whole answer",
            Unit::Seconds,
            self.first_event.clone(),
        );
        registry.register_with_unit(
            "relay_prediction_error",
            "First event less its prediction",
            Unit::Seconds,
            self.prediction_error.clone(),
        );
        self.register_work(registry);
        self.register_knowledge(registry);
    }

    fn register_work(&self, registry: &mut Registry) {
        registry.register("relay_running", "Requests that are running", self.running.clone());
        registry.register("relay_engines", "Engines that may get work", self.engines.clone());
        registry.register(
            "relay_work",
            "Requests at the engines of a service: of this instance, of all, and slots",
            self.work.clone(),
        );
        registry.register(
            "relay_budget_left",
            "Extra attempts that this instance may still make",
            self.budget_left.clone(),
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
            "Since the store last confirmed configuration and engines",
            Unit::Seconds,
            self.store_age.clone(),
        );
        registry.register(
            "relay_watcher",
            "Whether this instance watches the store for its zone",
            self.watcher.clone(),
        );
        registry.register_with_unit(
            "relay_proof_age",
            "Up to how long ago everything that happened in the store is known, by proof; -1 without one",
            Unit::Seconds,
            self.proof_age.clone(),
        );
        registry.register(
            "relay_leads",
            "Whether this instance acts for all towards the platform's API",
            self.is_leader.clone(),
        );
        registry.register_with_unit(
            "relay_peers_age",
            "Since the peer that was silent longest told of its work",
            Unit::Seconds,
            self.peers_age.clone(),
        );
        registry.register(
            "relay_config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "relay_instances",
            "Instances that callers are told of",
            self.instances.clone(),
        );
    }

    /// Counts a final answer.
    pub fn count_answer(&self, path: &RouteLabels, outcome: &str) {
        let by = RouteOutcomeLabels {
            service: self.service_label(&path.service),
            kind: path.kind,
            outcome: outcome.to_string(),
        };
        self.answers.get_or_create(&by).inc();
    }

    /// Counts a final answer of this instance's own.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts the end of an attempt.
    pub fn count_attempt(&self, result: &str) {
        let result = result.to_string();
        self.attempts.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, call: &'static str, result: &'static str) {
        self.store_calls.get_or_create(&CallLabels { call, result }).inc();
    }

    /// Counts an extra attempt that was asked for.
    pub fn count_extra(&self, allowed: bool) {
        let result = if allowed { "allowed" } else { "denied" }.to_string();
        self.extra_attempts.get_or_create(&ResultLabels { result }).inc();
    }

    /// Notes the time to a first event, or to a whole answer.
    pub fn observe_first_event(&self, path: &RouteLabels, took: Duration) {
        let path = RouteLabels {
            service: self.service_label(&path.service),
            kind: path.kind,
        };
        self.first_event.get_or_create(&path).observe(took.as_secs_f64());
    }

    /// Notes a first event against its prediction.
    pub fn observe_prediction_error(&self, took: Duration, predicted: Duration) {
        self.prediction_error
            .observe(took.as_secs_f64() - predicted.as_secs_f64());
    }

    /// Drops what is shown of services at a moment: one whose engines are gone would be shown as it was, for good.
    pub fn clear_services(&self) {
        self.work.clear();
        self.budget_left.clear();
    }

    /// Shows the requests at the engines of a service.
    pub fn set_work(&self, service: &str, scope: &'static str, requests: u32) {
        let service = self.service_label(service);
        let work = self.work.get_or_create(&ScopeLabels { service, scope });
        work.set(i64::from(requests));
    }

    /// Shows the extra attempts that are left for a service.
    pub fn set_retry_budget(&self, service: &str, left: f64) {
        let service = self.service_label(service);
        self.budget_left
            .get_or_create(&ServiceLabels { service })
            .set(left);
    }

    /// The name that a service is shown by.
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

    /// The page that a Prometheus server reads.
    pub fn render(&self) -> String {
        super::render(&self.registry)
    }
}

/// Shows the log lines that were not written.
#[derive(Debug)]
struct DroppedLineCollector(SharedBudget);

impl Collector for DroppedLineCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        self.encode_counters(
            &mut encoder,
            "log_lines_dropped",
            "Log lines that were not written, by event",
        )
    }
}

impl DroppedLineCollector {
    fn encode_counters(
        &self,
        encoder: &mut DescriptorEncoder<'_>,
        name: &str,
        help: &str,
    ) -> Result<(), fmt::Error> {
        let budget = self.0.lock().expect("no thread panics while it holds the budget");
        let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        for (event, count) in budget.dropped() {
            let counter = ConstCounter::new(*count);
            counter.encode(family.encode_family(&[("event", event.to_string())])?)?;
        }
        Ok(())
    }
}
