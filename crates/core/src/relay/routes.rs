//! Routes: which service may run a request, and whether it may be repeated.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Repeat;
use crate::relay::rank::Ranks;
use crate::relay::scale::ScalePolicy;
use crate::relay::workspaces;
use crate::relay::workspaces::KeyAccess;
use crate::relay::workspaces::KeyAgeLimits;
use crate::relay::workspaces::StoreAges;
use crate::relay::workspaces::Workspaces;

/// What may be repeated of a request, by its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that may resume at another engine after the last event delivered.
    Resumable,
}

impl RouteKind {
    /// Whether a request that may have run may run again.
    pub fn repeat(self) -> Repeat {
        match self {
            RouteKind::Idempotent | RouteKind::Resumable => Repeat::Safe,
            RouteKind::Once | RouteKind::Stream => Repeat::Never,
        }
    }

    /// Its name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            RouteKind::Idempotent => "idempotent",
            RouteKind::Once => "once",
            RouteKind::Stream => "stream",
            RouteKind::Resumable => "resumable",
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::Resumable)
    }
}

/// A service that a route leads to, with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: String,
    /// Its share, relative to the sum of all weights.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host of its requests.
    pub host: String,
    /// Prefix of their path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Maximum time for which a caller waits.
    pub timeout: Duration,
    /// Latency up to which an answer, or the first event of a stream, has its full value.
    pub latency_target: Duration,
    /// Maximum time between two events of a stream that is on time.
    pub gap_target: Duration,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Maximum number of engines that one request may be sent to.
    pub max_attempts: u32,
    /// Whether its requests carry a prompt and are better sent to an engine that has parts of it cached.
    pub affine: bool,
    /// Whether its requests need no key.
    pub public: bool,
    /// Services that its requests are sent to.
    pub targets: Vec<RouteTarget>,
}

impl Route {
    /// The service for a request that drew `draw`; `None` if the weights of all services add up to 0.
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut remaining = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(&target.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// Properties of the engines of a service, as configured by the operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Tokens that an engine keeps in its cache.
    pub cache_tokens: u64,
    /// Bytes of one token.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link in megabits a second.
    pub link_megabits: f64,
    /// How long an engine keeps a prompt that was processed for another engine.
    pub cache_ttl: Duration,
    /// How long an engine is unavailable when its stage changes.
    pub switch_time: Duration,
    /// Maximum number of calls for cache events that an engine keeps waiting.
    pub max_polls: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one of its engines accepts from all callers together; 0 if not specified.
    pub connections: u32,
    /// Set if its engines run models.
    pub engine_spec: Option<EngineSpec>,
    /// Set if its engines are ordered as demand requires.
    pub scale: Option<ScalePolicy>,
}

impl Service {
    /// Idle connections that each of `instances` may keep to an engine on which at most `busy` are in use, if the
    /// engine limits connections.
    pub fn idle_share(&self, busy: u32, instances: usize) -> Option<usize> {
        let rest = self.connections.saturating_sub(busy) as usize / instances.max(1);
        (self.connections > 0).then_some(rest.max(1))
    }
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a body, in bytes.
    pub max_body: usize,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits before any configuration: a larger body than any configuration is known to allow, since a request
    /// that is refused then is refused for lack of a configuration; and the default idle time of HTTP libraries.
    fn default() -> CallerLimits {
        CallerLimits {
            max_body: 16 << 20,
            idle_timeout: Duration::from_secs(5),
        }
    }
}

/// All routes and services of one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    /// The version; 0 before any configuration.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// The workspaces, if callers need keys.
    pub workspaces: Option<Workspaces>,
    hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    /// The priorities of the routes to each service.
    ranks: BTreeMap<String, Ranks>,
}

impl RoutingTable {
    /// A table of `routes` and `services`.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
    ) -> RoutingTable {
        let mut hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>> = BTreeMap::new();
        for route in routes {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        let mut ranks: BTreeMap<String, Ranks> = BTreeMap::new();
        for route in hosts.values().flat_map(BTreeMap::values) {
            for target in &route.targets {
                let ranks = ranks.entry(target.service.clone()).or_default();
                ranks.add(route.priority, route.latency_target);
            }
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        RoutingTable {
            version,
            limits,
            services,
            workspaces: None,
            hosts,
            ranks,
        }
    }

    /// The table with the workspaces whose keys callers need.
    pub fn with_workspaces(self, workspaces: Option<Workspaces>) -> RoutingTable {
        RoutingTable { workspaces, ..self }
    }

    /// Checks the key of a request on a route.
    pub fn grant(
        &self,
        route: &Route,
        key: Option<&[u8]>,
        ages: StoreAges,
        limits: KeyAgeLimits,
    ) -> KeyAccess<'_> {
        match &self.workspaces {
            Some(workspaces) if !route.public => workspaces::grant(workspaces, key, ages, limits),
            _ => KeyAccess::Open,
        }
    }

    /// The route with the longest prefix of `path`.
    ///
    /// Prefixes end with a slash, so only the parts of the path up to each of its slashes are looked up: the cost grows
    /// with the length of the path, not with the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = routes.get(&rest[..=slash]) {
                return Some(route.clone());
            }
            rest = &rest[..slash];
        }
        None
    }

    /// The lowest latency target of the routes to a service; `None` if none of them has one.
    pub fn latency_target(&self, service: &str) -> Option<Duration> {
        let routes = self.hosts.values().flat_map(BTreeMap::values);
        let routes = routes.filter(|route| route.targets.iter().any(|t| t.service == service));
        routes
            .map(|route| route.latency_target)
            .filter(|target| !target.is_zero())
            .min()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flat_map(BTreeMap::values).map(Arc::as_ref)
    }

    /// Whether another route to one of the same services has a higher priority than a request of this `priority`.
    pub fn is_outranked(&self, route: &Route, priority: u8) -> bool {
        let ranks = |target: &RouteTarget| self.ranks.get(&target.service);
        let mut ranks = route.targets.iter().filter_map(ranks);
        ranks.any(|ranks| ranks.is_outranked(priority))
    }

    /// The priorities of the routes to a service, if they differ. Otherwise, no request goes before another because of
    /// them.
    pub fn differing_ranks(&self, service: &str) -> Option<&Ranks> {
        self.ranks.get(service).filter(|ranks| ranks.differ())
    }
}
