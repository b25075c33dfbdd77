//! Metrics of the daemon. `docs/METRICS.md` lists them; a test keeps both equal.
//!
//! One struct a concern, each registering its own families, so that whoever adds a concern touches one place.

use std::fmt;
use std::sync::Mutex;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Prefix of every name.
const PREFIX: &str = "sequoiastream";

/// All metrics of a daemon.
pub struct Metrics {
    /// Of traffic.
    pub traffic: TrafficMetrics,
    /// Of the policy.
    pub policy: PolicyMetrics,
    /// Of membership.
    pub membership: MembershipMetrics,
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

/// Metrics of the policy.
#[derive(Debug, Clone, Default)]
pub struct PolicyMetrics {
    /// Load reports read.
    pub polls: Counter,
    /// Load reports that could not be read.
    pub polls_failed: Counter,
    /// Gaps seen in cache events.
    pub cache_gaps: Counter,
}

impl PolicyMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register("load_polls", "Load reports read", self.polls.clone());
        registry.register(
            "load_polls_failed",
            "Load reports that could not be read",
            self.polls_failed.clone(),
        );
        registry.register("cache_gaps", "Gaps seen in cache events", self.cache_gaps.clone());
    }
}

/// Metrics of membership.
#[derive(Debug, Clone, Default)]
pub struct MembershipMetrics {
    /// Heartbeats sent.
    pub sent: Counter,
    /// Bytes of heartbeats sent, without headers of UDP and IP.
    pub bytes: Counter,
    /// Heartbeats received.
    pub received: Counter,
}

impl MembershipMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register("heartbeats_sent", "Heartbeats sent", self.sent.clone());
        registry.register(
            "heartbeat_bytes",
            "Bytes of heartbeats sent, without headers of UDP and IP",
            self.bytes.clone(),
        );
        registry.register(
            "heartbeats_received",
            "Heartbeats received",
            self.received.clone(),
        );
    }
}

impl Metrics {
    /// All metrics at zero.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix(PREFIX);
        let traffic = TrafficMetrics::default();
        traffic.register(&mut registry);
        let policy = PolicyMetrics::default();
        policy.register(&mut registry);
        let membership = MembershipMetrics::default();
        membership.register(&mut registry);
        Metrics {
            traffic,
            policy,
            membership,
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
