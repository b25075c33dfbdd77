//! Metrics of the daemon. `docs/METRICS.md` lists them; a test checks that both have the same names.
//!
//! There is one module per subject, with a struct that registers its own metric families, so that a new subject needs
//! changes in one place only.

mod authority;
mod claims;
mod dropped_lines;
mod membership;
mod platform;
mod policy;
mod relay;
mod relay_labels;
mod traffic;

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use sequoiastream_kv::CallMeter;

pub use authority::AuthorityMetrics;
pub use claims::ClaimMetrics;
pub use membership::MembershipMetrics;
pub use policy::PolicyMetrics;
pub use relay::RelayMetrics;
pub use relay_labels::PromptLabels;
pub use relay_labels::RouteLabels;
pub use traffic::TokenMetrics;
pub use traffic::TrafficMetrics;

/// Prefix of the names of all metrics.
const PREFIX: &str = "sequoiastream";

/// All metrics of a daemon.
pub struct Metrics {
    /// Metrics of traffic.
    pub traffic: TrafficMetrics,
    /// Metrics of the authority over engines.
    pub authority: AuthorityMetrics,
    /// Metrics of claims.
    pub claims: ClaimMetrics,
    /// Metrics of the policy.
    pub policy: PolicyMetrics,
    /// Metrics of membership.
    pub membership: MembershipMetrics,
    registry: Mutex<Registry>,
}

impl Metrics {
    /// Creates all metrics at zero. Those of calls to the platform are read from `calls`.
    pub fn new(calls: Arc<CallMeter>) -> Metrics {
        let mut registry = Registry::with_prefix(PREFIX);
        let traffic = TrafficMetrics::default();
        traffic.register(&mut registry);
        let authority = AuthorityMetrics::default();
        authority.register(&mut registry);
        let claims = ClaimMetrics::default();
        claims.register(&mut registry);
        platform::register(&mut registry, calls);
        let policy = PolicyMetrics::default();
        policy.register(&mut registry);
        let membership = MembershipMetrics::default();
        membership.register(&mut registry);
        Metrics {
            traffic,
            authority,
            claims,
            policy,
            membership,
            registry: Mutex::new(registry),
        }
    }

    /// The metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        render(&self.registry)
    }
}

/// The metrics of a registry in the Prometheus text format.
fn render(registry: &Mutex<Registry>) -> String {
    let registry = registry
        .lock()
        .expect("no thread panics while it holds the registry");
    let mut text = String::new();
    match encode(&mut text, &registry) {
        Ok(()) => text,
        Err(error) => format!("# could not encode the metrics: {error}\n"),
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new(Arc::default())
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
