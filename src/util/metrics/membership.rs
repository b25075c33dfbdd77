//! Metrics of membership.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of membership.
#[derive(Debug, Clone, Default)]
pub struct MembershipMetrics {
    /// Heartbeats sent.
    pub heartbeats_sent: Counter,
    /// Bytes of heartbeats sent, without UDP and IP headers.
    pub heartbeat_bytes: Counter,
    /// Heartbeats received.
    pub heartbeats_received: Counter,
    /// Number of other instances known.
    pub peers: Gauge,
}

impl MembershipMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("heartbeats_sent", "Heartbeats sent", self.heartbeats_sent.clone());
        registry.register(
            "heartbeat_bytes",
            "Bytes of heartbeats sent, without UDP and IP headers",
            self.heartbeat_bytes.clone(),
        );
        registry.register(
            "heartbeats_received",
            "Heartbeats received",
            self.heartbeats_received.clone(),
        );
        registry.register("peers", "Other instances known", self.peers.clone());
    }
}
