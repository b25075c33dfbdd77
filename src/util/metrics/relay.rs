//! Metrics of forwarding by routes.

use std::fmt;
use std::sync::Mutex;
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
const FIRST: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.4, 0.8, 1.6, 5.0];

/// Bounds of the error of predictions, in seconds.
const ERRORS: [f64; 9] = [-0.1, -0.03, -0.01, 0.0, 0.01, 0.03, 0.1, 0.3, 1.0];

/// How a request ended, or a step of it. Labels are closed sets, whatever the number of products.
#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ByKind {
    kind: String,
    outcome: String,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct By {
    result: String,
}

/// Metrics of forwarding by routes.
pub struct RelayMetrics {
    answers: Family<ByKind, Counter>,
    attempts: Family<By, Counter>,
    store: Family<By, Counter>,
    extras: Family<By, Counter>,
    /// From a request's arrival to its first event.
    pub first: Histogram,
    /// First event against its prediction.
    pub error: Histogram,
    /// Requests that are running.
    pub running: Gauge,
    /// Version of the configuration in force.
    pub version: Gauge,
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
            attempts: Family::default(),
            store: Family::default(),
            extras: Family::default(),
            first: Histogram::new(FIRST),
            error: Histogram::new(ERRORS),
            running: Gauge::default(),
            version: Gauge::default(),
            engines: Gauge::default(),
            instances: Gauge::default(),
            registry: Mutex::default(),
        };
        metrics.register(&mut registry);
        registry.register_collector(Box::new(Dropped(budget)));
        RelayMetrics {
            registry: Mutex::new(registry),
            ..metrics
        }
    }

    fn register(&self, registry: &mut Registry) {
        registry.register(
            "relay_answers",
            "Final answers by kind of route and outcome",
            self.answers.clone(),
        );
        registry.register(
            "relay_attempts",
            "Attempts at engines by how they ended",
            self.attempts.clone(),
        );
        registry.register(
            "relay_store_calls",
            "Calls that follow the store, by result",
            self.store.clone(),
        );
        registry.register(
            "relay_extra_attempts",
            "Extra attempts that the budget allowed or denied",
            self.extras.clone(),
        );
        registry.register_with_unit(
            "relay_first_event",
            "From a request's arrival to its first event",
            Unit::Seconds,
            self.first.clone(),
        );
        registry.register_with_unit(
            "relay_prediction_error",
            "First event less its prediction",
            Unit::Seconds,
            self.error.clone(),
        );
        registry.register("relay_running", "Requests that are running", self.running.clone());
        registry.register(
            "relay_config_version",
            "Version of the configuration in force",
            self.version.clone(),
        );
        registry.register("relay_engines", "Engines that may get work", self.engines.clone());
        registry.register(
            "relay_instances",
            "Instances that callers are told of",
            self.instances.clone(),
        );
    }

    /// Counts a final answer.
    pub fn answer(&self, kind: &str, outcome: &str) {
        let (kind, outcome) = (kind.to_string(), outcome.to_string());
        self.answers.get_or_create(&ByKind { kind, outcome }).inc();
    }

    /// Counts the end of an attempt.
    pub fn attempt(&self, result: &str) {
        let result = result.to_string();
        self.attempts.get_or_create(&By { result }).inc();
    }

    /// Counts a call to the store.
    pub fn store(&self, result: &str) {
        let result = result.to_string();
        self.store.get_or_create(&By { result }).inc();
    }

    /// Counts an extra attempt that was asked for.
    pub fn extra(&self, allowed: bool) {
        let result = if allowed { "allowed" } else { "denied" }.to_string();
        self.extras.get_or_create(&By { result }).inc();
    }

    /// Notes the time to a first event, and the prediction if there was one.
    pub fn first(&self, took: Duration, predicted: Option<Duration>) {
        self.first.observe(took.as_secs_f64());
        if let Some(predicted) = predicted {
            self.error.observe(took.as_secs_f64() - predicted.as_secs_f64());
        }
    }

    /// The page that a Prometheus server reads.
    pub fn page(&self) -> String {
        super::page(&self.registry)
    }
}

/// Shows the log lines that were not written.
#[derive(Debug)]
struct Dropped(SharedBudget);

impl Collector for Dropped {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        self.family(
            &mut encoder,
            "log_lines_dropped",
            "Log lines that were not written, by event",
        )
    }
}

impl Dropped {
    fn family(&self, encoder: &mut DescriptorEncoder<'_>, name: &str, help: &str) -> Result<(), fmt::Error> {
        let budget = self.0.lock().expect("no thread panics while it holds the budget");
        let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
        for (event, count) in budget.dropped() {
            let counter = ConstCounter::new(*count);
            counter.encode(family.encode_family(&[("event", event.to_string())])?)?;
        }
        Ok(())
    }
}
