//! Metrics of traffic.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;
use sequoiastream_core::name::Name;
use sequoiastream_core::outcome::Outcome;

/// Labels of [`TrafficMetrics::outcomes`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The product.
    pub product: String,
    /// The outcome: `whole`, `not-run`, `failed` or `unknown`.
    pub outcome: String,
}

/// Metrics of traffic.
#[derive(Debug, Clone)]
pub struct TrafficMetrics {
    /// Final answers, by product and outcome.
    pub outcomes: Family<OutcomeLabels, Counter>,
    /// Answers whose caller disconnected, by product.
    pub abandoned: Family<ProductLabels, Counter>,
    /// Pieces of answers dropped because they were late, duplicated, or of another request or a closed attempt.
    pub dropped_pieces: Counter,
    /// Answers resumed on another engine, or for a caller that reconnected.
    pub resumes: Counter,
    /// Attempts that an engine was asked to cancel.
    pub cancels: Counter,
    /// Streams during which the engine crashed or became silent.
    pub crashed_streams: Counter,
    /// Requests that this instance has convicted of crashing engines.
    pub convictions: Counter,
    first_token: Family<ProductLabels, Histogram, fn() -> Histogram>,
    between_tokens: Family<ProductLabels, Histogram, fn() -> Histogram>,
    queue_time: Family<ProductLabels, Histogram, fn() -> Histogram>,
}

/// The histograms of the token times of one answer.
#[derive(Debug, Clone)]
pub struct TokenMetrics {
    first_token: Histogram,
    between_tokens: Histogram,
}

impl TokenMetrics {
    /// Records the time to the first token.
    pub fn observe_first_token(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    /// Records the time between two tokens.
    pub fn observe_token_gap(&self, time: Duration) {
        self.between_tokens.observe(time.as_secs_f64());
    }
}

/// Labels of metrics by product.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ProductLabels {
    /// The product.
    pub product: String,
}

impl ProductLabels {
    fn of(product: &Name) -> ProductLabels {
        ProductLabels {
            product: product.to_string(),
        }
    }
}

/// A histogram with bucket bounds from 5 ms to 40 s, each twice the previous one. The range includes the users' targets
/// of 48 ms and 0.56 s.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 14))
}

impl Default for TrafficMetrics {
    fn default() -> Self {
        TrafficMetrics {
            outcomes: Family::default(),
            abandoned: Family::default(),
            dropped_pieces: Counter::default(),
            resumes: Counter::default(),
            cancels: Counter::default(),
            crashed_streams: Counter::default(),
            convictions: Counter::default(),
            first_token: Family::new_with_constructor(latency_histogram),
            between_tokens: Family::new_with_constructor(latency_histogram),
            queue_time: Family::new_with_constructor(latency_histogram),
        }
    }
}

impl TrafficMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "outcomes",
            "Final answers, by product and outcome",
            self.outcomes.clone(),
        );
        registry.register(
            "abandoned",
            "Answers whose caller disconnected, by product",
            self.abandoned.clone(),
        );
        registry.register(
            "dropped_pieces",
            "Pieces of answers dropped because they were late, duplicated, or of another request or a closed attempt",
            self.dropped_pieces.clone(),
        );
        registry.register(
            "resumes",
            "Answers resumed after their first token",
            self.resumes.clone(),
        );
        registry.register(
            "cancels",
            "Attempts that an engine was asked to cancel",
            self.cancels.clone(),
        );
        registry.register(
            "crashed_streams",
            "Streams during which the engine crashed or became silent",
            self.crashed_streams.clone(),
        );
        registry.register(
            "convictions",
            "Requests that this instance has convicted of crashing engines",
            self.convictions.clone(),
        );
        registry.register_with_unit(
            "first_token",
            "Time from a request's arrival to the first token, by product",
            Unit::Seconds,
            self.first_token.clone(),
        );
        registry.register_with_unit(
            "between_tokens",
            "Time between two tokens of an answer, by product",
            Unit::Seconds,
            self.between_tokens.clone(),
        );
        registry.register_with_unit(
            "queue",
            "Time from a request's arrival until an engine accepted it, by product",
            Unit::Seconds,
            self.queue_time.clone(),
        );
    }

    /// Counts a final answer.
    pub fn count_outcome(&self, product: &Name, outcome: Outcome) {
        let labels = OutcomeLabels {
            product: product.to_string(),
            outcome: outcome.to_string(),
        };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Counts an answer whose caller disconnected.
    pub fn count_abandoned(&self, product: &Name) {
        self.abandoned.get_or_create(&ProductLabels::of(product)).inc();
    }

    /// The histograms for one answer to a request of `product`. They are looked up once per answer, not for each token.
    pub fn token_metrics(&self, product: &Name) -> TokenMetrics {
        let labels = ProductLabels::of(product);
        TokenMetrics {
            first_token: self.first_token.get_or_create(&labels).clone(),
            between_tokens: self.between_tokens.get_or_create(&labels).clone(),
        }
    }

    /// Records the time until an engine accepted a request.
    pub fn observe_queue_time(&self, product: &Name, time: Duration) {
        let histogram = self.queue_time.get_or_create(&ProductLabels::of(product));
        histogram.observe(time.as_secs_f64());
    }
}
