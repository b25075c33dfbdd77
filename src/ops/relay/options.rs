//! Settings of a relaying instance.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_core::name::Name;
use sequoiastream_core::relay::budget::BudgetLimits;
use sequoiastream_core::relay::watchers::ApplyLimit;
use sequoiastream_core::relay::workspaces::KeyAgeLimits;

/// How long callers are told to keep an answer about addresses. Some keep it three times as long: that must pass
/// within the grace period of a shutdown, with time left for the longest streams: these take five seconds.
pub const ADDRESS_TTL: Duration = Duration::from_secs(1);

/// Within which time a change of the store must be in force on every instance, unless the settings say otherwise.
pub const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Port of the metrics, the same as in the deploy file.
pub const METRICS_PORT: u16 = 9_464;

/// Part of a service's model engines that read prompts for the others, unless operators say otherwise. A reading keeps
/// its engine from others, a batch does not: readers must be less busy than those that generate.
pub const PREFILL_FRACTION: f64 = 0.65;

/// How long a lease to act for all lasts, unless the settings say otherwise.
pub const LEADER_LEASE: Duration = Duration::from_secs(3);

/// How long an engine must be gone until the record of its order is removed. One that was cut off for so long and comes back
/// gets an order anew, long after the first was carried out: that takes twelve seconds at most.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Settings of a relaying instance.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of this instance, unique in the deployment.
    pub name: Name,
    /// Availability zone of this instance.
    pub zone: Name,
    /// Where callers send requests.
    pub front: SocketAddr,
    /// Where the platform asks whether this instance is ready.
    pub ready: Option<SocketAddr>,
    /// Where callers ask for addresses.
    pub directory: Option<SocketAddr>,
    /// Where metrics are read.
    pub metrics: Option<SocketAddr>,
    /// Where other instances connect.
    pub peer: SocketAddr,
    /// What this instance can carry, in thousandths of a core; 0 if that isn't known.
    pub capacity: u32,
    /// Secret that all instances of the deployment share.
    pub cluster_key: String,
    /// What one instance does for all, if anything.
    pub leader: Option<LeaderOptions>,
    /// What may change while the instance runs.
    pub reloadable: ReloadableOptions,
}

/// What one instance does for all towards the platform's API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderOptions {
    /// Where the API is.
    pub address: SocketAddr,
    /// Whether use is reported.
    pub usage: bool,
    /// Whether engines are ordered.
    pub scale: bool,
    /// How long a lease to act lasts.
    pub lease: Duration,
    /// Length of a window of reports.
    pub window: Duration,
}

/// Settings that may change while an instance runs.
#[derive(Debug, Clone, PartialEq)]
pub struct ReloadableOptions {
    /// How long callers are told to keep an answer about addresses.
    pub address_ttl: Duration,
    /// Time between SIGTERM and the end.
    pub grace_period: Duration,
    /// What bounds extra attempts.
    pub budget_limits: BudgetLimits,
    /// Part of a service's model engines that read prompts for the others, 0 to 1.
    pub prefill_fraction: f64,
    /// Within which time a change of the store must be in force here.
    pub apply_limit: ApplyLimit,
    /// How old what is known of callers' keys may be.
    pub key_limits: KeyAgeLimits,
    /// How long an engine must be gone until the record of its order is removed, and how long an instance must not be
    /// heard until its key is removed.
    pub retention: Duration,
}

/// Reads the settings anew.
pub type Reload = Box<dyn Fn() -> Result<Options, String>>;
