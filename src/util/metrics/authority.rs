//! Metrics of the authority over engines.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use sequoiastream_core::authority::OrderAnswer;

/// Labels of [`AuthorityMetrics::orders`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabels {
    /// How the order ended: `applied`, `stale`, `unsent` or `unknown`.
    pub answer: String,
}

/// Metrics of the authority over engines.
#[derive(Debug, Clone, Default)]
pub struct AuthorityMetrics {
    /// Number of services whose authority this instance holds.
    pub held: Gauge,
    /// Number of these services whose lease this instance considers valid.
    pub lease_valid: Gauge,
    /// Orders to engines, by how they ended.
    pub orders: Family<OrderLabels, Counter>,
    /// Number of times that an engine was found to have an unsettled order.
    pub unsettled: Counter,
}

impl AuthorityMetrics {
    /// Counts an order that ended with `answer`.
    pub fn count_order(&self, answer: OrderAnswer) {
        let answer = match answer {
            OrderAnswer::Applied => "applied",
            OrderAnswer::Stale(_) => "stale",
            OrderAnswer::Unsent => "unsent",
            OrderAnswer::Unknown => "unknown",
        };
        let labels = OrderLabels {
            answer: answer.to_string(),
        };
        self.orders.get_or_create(&labels).inc();
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "authorities_held",
            "Services whose authority this instance holds",
            self.held.clone(),
        );
        registry.register(
            "authorities_believed",
            "Services whose authority this instance holds under a lease that it considers valid",
            self.lease_valid.clone(),
        );
        registry.register(
            "orders",
            "Orders to engines, by how they ended",
            self.orders.clone(),
        );
        registry.register(
            "orders_unsettled",
            "Number of times that an engine was found to have an unsettled order",
            self.unsettled.clone(),
        );
    }
}
