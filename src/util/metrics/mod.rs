//! Metrics of the daemon. `docs/METRICS.md` lists them; a test keeps both equal.
//!
//! One module a concern, each with a struct that registers its own families, so that whoever adds a concern
//! touches one place.

mod authority;
mod claims;
mod membership;
mod platform;
mod policy;
mod relay;
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
pub use relay::RouteLabels;
pub use traffic::TokenMetrics;
pub use traffic::TrafficMetrics;

/// Prefix of every name.
const PREFIX: &str = "sequoiastream";

/// All metrics of a daemon.
pub struct Metrics {
    /// Of traffic.
    pub traffic: TrafficMetrics,
    /// Of the authority over engines.
    pub authority: AuthorityMetrics,
    /// Of claims.
    pub claims: ClaimMetrics,
    /// Of the policy.
    pub policy: PolicyMetrics,
    /// Of membership.
    pub membership: MembershipMetrics,
    registry: Mutex<Registry>,
}

impl Metrics {
    /// All metrics at zero.
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

    /// The page that a Prometheus server reads.
    pub fn render(&self) -> String {
        render(&self.registry)
    }
}

/// The page of a registry.
fn render(registry: &Mutex<Registry>) -> String {
    let registry = registry
        .lock()
        .expect("no thread panics while it holds the registry");
    let mut page = String::new();
    match encode(&mut page, &registry) {
        Ok(()) => page,
        Err(error) => format!("# could not encode: {error}\n"),
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
