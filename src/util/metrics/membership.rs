//! Metrics of membership.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of membership.
#[derive(Debug, Clone, Default)]
pub struct MembershipMetrics {
    /// Heartbeats sent.
    pub sent: Counter,
    /// Bytes of heartbeats sent, without headers of UDP and IP.
    pub bytes: Counter,
    /// Heartbeats received.
    pub received: Counter,
    /// Other instances known.
    pub peers: Gauge,
}

impl MembershipMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
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
        registry.register("peers", "Other instances known", self.peers.clone());
    }
}
