//! Metrics of the authority over engines.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use sequoiastream_core::authority::OrderAnswer;

/// How an order ended that was to be sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabels {
    /// `applied`, `stale`, `unsent` or `unknown`.
    pub answer: String,
}

/// Metrics of the authority over engines.
#[derive(Debug, Clone, Default)]
pub struct AuthorityMetrics {
    /// Services whose authority this instance holds.
    pub held: Gauge,
    /// Of these, services whose lease it believes in.
    pub lease_valid: Gauge,
    /// Orders by how they ended.
    pub orders: Family<OrderLabels, Counter>,
    /// Times that an engine was found with an order that is not settled.
    pub unsettled: Counter,
}

impl AuthorityMetrics {
    /// Counts an order that ended so.
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
            "Services whose authority this instance holds under a lease that it believes in",
            self.lease_valid.clone(),
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
