//! Settings of an instance that relays requests.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_core::name::Name;
use sequoiastream_core::relay::budget::BudgetLimits;
use sequoiastream_core::relay::hedging;
use sequoiastream_core::relay::hedging::HedgeLimits;
use sequoiastream_core::relay::watchers::ApplyLimit;
use sequoiastream_core::relay::workspaces::KeyAgeLimits;

/// How long callers are told to cache an answer of the directory. Some cache it for three times as long: that must pass
/// within the grace period of a shutdown, with time left for the longest streams, which take five seconds.
pub const ADDRESS_TTL: Duration = Duration::from_secs(1);

/// Time within which a change in the store must be applied on every instance, unless the settings set another.
pub const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Interval at which engines renew their entries, unless the settings set another.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Port on which metrics are served, the same as in the deploy file.
pub const METRICS_PORT: u16 = 9_464;

/// Fraction of a service's model engines that compute prefills for the others, unless operators set another. A prefill
/// keeps its engine from other requests, a batch of generating requests does not: prefill engines must be less busy
/// than those that generate.
pub const PREFILL_FRACTION: f64 = 0.65;

/// Length of the lease of the leader, unless the settings set another.
pub const LEADER_LEASE: Duration = Duration::from_secs(3);

/// How long an engine must be absent until the record of its order is removed. An engine that was unreachable for this
/// long and comes back gets a new order, long after the first one was carried out: that takes twelve seconds at most.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Settings of an instance that relays requests.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of this instance, unique in the deployment.
    pub name: Name,
    /// Availability zone of this instance.
    pub zone: Name,
    /// Address on which callers send requests.
    pub front: SocketAddr,
    /// Address on which the platform asks whether this instance is ready.
    pub ready: Option<SocketAddr>,
    /// Address on which callers ask the directory for the addresses of instances.
    pub directory: Option<SocketAddr>,
    /// Address on which metrics are read.
    pub metrics: Option<SocketAddr>,
    /// Address on which other instances connect.
    pub peer: SocketAddr,
    /// Capacity of this instance in thousandths of a core; 0 if it isn't known.
    pub capacity: u32,
    /// Maximum number of descriptors that the process may have open, if it is lower than the system's limit.
    pub descriptors: Option<u64>,
    /// Memory of the machine, in bytes, if the settings name it.
    pub memory: Option<u64>,
    /// Secret that all instances of the deployment share.
    pub cluster_key: String,
    /// Settings of the leader, if it has any tasks.
    pub leader: Option<LeaderOptions>,
    /// Settings that may change while the instance runs.
    pub reloadable: ReloadableOptions,
}

/// Settings of the leader, the one instance that calls the cloud API for all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderOptions {
    /// Address of the API.
    pub address: SocketAddr,
    /// Whether the usage is reported.
    pub usage: bool,
    /// Whether engines are ordered on demand.
    pub scale: bool,
    /// Length of the lease of the leader.
    pub lease: Duration,
    /// Length of a window of the usage reports.
    pub window: Duration,
}

/// Settings that may change while an instance runs.
#[derive(Debug, Clone, PartialEq)]
pub struct ReloadableOptions {
    /// How long callers are told to cache an answer of the directory.
    pub address_ttl: Duration,
    /// Maximum time from SIGTERM until the process ends.
    pub grace_period: Duration,
    /// Limits of the retry budget.
    pub budget_limits: BudgetLimits,
    /// Fraction of a service's model engines that compute prefills for the others, 0 to 1.
    pub prefill_fraction: f64,
    /// Maximum number of requests that are sent to a second engine because the first one is slow, for each request of a
    /// service, 0 to [`hedging::MAX_RATIO`]; 0 for none.
    pub hedge_ratio: f64,
    /// Whether requests go before others by the priority of their routes: in the queues of engines, in the slots and queues
    /// that less urgent ones leave to them, and in when refused callers return.
    pub priority_admission: bool,
    /// Engines that are ordered beyond the predicted need, as a fraction of it. `None` orders the maximum.
    pub scale_headroom: Option<f64>,
    /// Time within which a change in the store must be applied at this instance.
    pub apply_limit: ApplyLimit,
    /// Interval at which engines renew their entries in the store. Entries expire after three of them.
    pub heartbeat: Duration,
    /// Limits on the age of the known keys of callers.
    pub key_limits: KeyAgeLimits,
    /// How long an engine must be absent until the record of its order is removed, and how long an instance must be
    /// silent until its key is removed.
    pub retention: Duration,
}

impl ReloadableOptions {
    /// Limits on the requests that are sent to a second engine. They are counted in the same window as retries.
    pub fn hedge_limits(&self) -> HedgeLimits {
        HedgeLimits {
            ratio: self.hedge_ratio.clamp(0.0, hedging::MAX_RATIO),
            window: self.budget_limits.window,
        }
    }
}

/// Reads the settings again.
pub type Reload = Box<dyn Fn() -> Result<Options, String>>;
