//! Metrics of the daemon. `docs/METRICS.md` lists them; a test keeps both equal.
//!
//! One struct a concern, each registering its own families, so that whoever adds a concern touches one place.

use std::fmt;
use std::sync::Mutex;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use sequoiastream_core::authority::Answer;

/// Prefix of every name.
const PREFIX: &str = "sequoiastream";

/// All metrics of a daemon.
pub struct Metrics {
    /// Of traffic.
    pub traffic: TrafficMetrics,
    /// Of the authority over engines.
    pub authority: AuthorityMetrics,
    registry: Mutex<Registry>,
}

/// How requests ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The product.
    pub product: String,
    /// `whole`, `not-run`, `failed` or `unknown`.
    pub outcome: String,
}

/// Metrics of traffic.
#[derive(Debug, Clone, Default)]
pub struct TrafficMetrics {
    /// Final answers by product and outcome.
    pub outcomes: Family<OutcomeLabels, Counter>,
}

impl TrafficMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register(
            "outcomes",
            "Final answers by product and outcome",
            self.outcomes.clone(),
        );
    }
}

/// How an order ended that was to be sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// `applied`, `stale`, `unsent` or `unknown`.
    pub answer: String,
}

/// Metrics of the authority over engines.
#[derive(Debug, Clone, Default)]
pub struct AuthorityMetrics {
    /// Services whose authority this instance holds.
    pub held: Gauge,
    /// Of these, services whose lease it believes in.
    pub believed: Gauge,
    /// Orders by how they ended.
    pub orders: Family<AnswerLabels, Counter>,
    /// Times that an engine was found with an order that is not settled.
    pub unsettled: Counter,
}

impl AuthorityMetrics {
    /// Counts an order that ended so.
    pub fn count_order(&self, answer: Answer) {
        let answer = match answer {
            Answer::Applied => "applied",
            Answer::Stale(_) => "stale",
            Answer::Unsent => "unsent",
            Answer::Unknown => "unknown",
        };
        let labels = AnswerLabels {
            answer: answer.to_string(),
        };
        self.orders.get_or_create(&labels).inc();
    }

    fn register(&self, registry: &mut Registry) {
        registry.register(
            "authorities_held",
            "Services whose authority this instance holds",
            self.held.clone(),
        );
        registry.register(
            "authorities_believed",
            "Services whose authority this instance holds under a lease that it believes in",
            self.believed.clone(),
        );
        registry.register(
            "orders",
            "Orders to engines by how they ended",
            self.orders.clone(),
        );
        registry.register(
            "orders_unsettled",
            "Times that an engine was found with an order that is not settled",
            self.unsettled.clone(),
        );
    }
}

impl Metrics {
    /// All metrics at zero.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix(PREFIX);
        let traffic = TrafficMetrics::default();
        traffic.register(&mut registry);
        let authority = AuthorityMetrics::default();
        authority.register(&mut registry);
        Metrics {
            traffic,
            authority,
            registry: Mutex::new(registry),
        }
    }

    /// The page that a Prometheus server reads.
    pub fn page(&self) -> String {
        let registry = self
            .registry
            .lock()
            .expect("no thread panics while it holds the registry");
        let mut page = String::new();
        match encode(&mut page, &registry) {
            Ok(()) => page,
            Err(error) => format!("# could not encode: {error}\n"),
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
