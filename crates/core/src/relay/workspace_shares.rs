//! Shares the engines of a service between workspaces while capacity is short.
//!
//! Use, lending and the factor on the capacity are those of [`limit`](crate::limit). The unit is the engine second:
//! the time of a prefill, plus the time in a slot divided by the slots of an engine. All engines of a service count,
//! those that generate and those that only compute prefills: a request uses both. Capacity is short if nearly all slots
//! of either group are taken, or if requests were refused for lack of it.
//!
//! While capacity is short, a workspace whose requests use more than its share is refused first. A share is an equal
//! part of the capacity for each active workspace, plus an equal part of what others leave unused. A request counts as
//! within the share of its workspace if the use by requests that are at least as urgent is.
//!
//! Shares apply to the fleet. Instances tell each other the use through them ([`WorkspaceUse`]); those that an
//! instance does not hear are assumed to have the same use, on average, as those that it hears and itself.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::limit::CapacityFactor;
use crate::limit::TIME_CONSTANT;
use crate::limit::UPDATE_INTERVAL;
use crate::limit::Usage;
use crate::limit::decay_seconds;
use crate::limit::equal_share;
use crate::relay::engines::Stage;
use crate::relay::workspace_use::NameHash;
use crate::relay::workspace_use::UseEntry;
use crate::relay::workspace_use::WorkspaceUse;
use crate::time::Time;

/// Fraction of the slots from which on capacity is short. Below it, a request of a workspace within its share finds a
/// slot although the others are taken by one beyond its share.
const NEARLY_ALL: f64 = 0.9;

/// Standard deviations of the use by random arrivals that a workspace may use beyond an equal part while a tenth of the
/// slots is free; fewer with fewer free slots. A workspace with few requests often uses several times its mean: without
/// this tolerance, it would be refused in place of one that is always far beyond its share.
const TOLERATED_DEVIATIONS: f64 = 4.0;

/// Weight of a new request in the mean cost of a request.
const COST_GAIN: f64 = 0.05;

/// Fraction of the requests of the last seconds that are refused for lack of capacity from which on there is no
/// tolerance.
const MANY_REFUSALS: f64 = 0.1;

/// Time for which capacity counts as short after a request was refused for lack of it.
const REFUSAL_MEMORY: Duration = Duration::from_secs(1);

/// Time for which a workspace counts as active after a request. It is twice the time constant of the use, so that a
/// workspace whose callers wait as they were told remains active.
const ACTIVE_TIME: Duration = Duration::from_secs(4);

/// Time for which a peer's report is used. The use of an instance that ended is thus forgotten within the time constant
/// of the use.
const REPORT_TTL: Duration = TIME_CONSTANT;

/// Minimum of the factor on the capacity. It is lower than that for products, because a capacity that is assumed too
/// low is corrected here by the use itself.
const MIN_CAPACITY_FACTOR: f64 = 0.02;

/// Shortest retry delay, in seconds.
const MIN_RETRY_AFTER_S: f64 = 0.1;

/// Maximum extension of a retry delay, as a fraction of it, so that callers refused together don't retry together.
const RETRY_SPREAD: f64 = 0.5;

/// Weight of a new observation in the mean slot time of a route.
const SLOT_TIME_GAIN: f64 = 0.05;

/// Relative excess over the share that is tolerated: sums of rounded numbers differ by less.
const TOLERANCE: f64 = 1e-6;

/// Taken and existing slots of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SlotCounts {
    engines: usize,
    generating_engines: u32,
    generating: [u32; 2],
    prefilling: [u32; 2],
}

impl SlotCounts {
    /// Adds an engine with `slots` slots that has `requests` requests. Those that queue take no slot.
    pub fn add(&mut self, stage: Stage, slots: u32, requests: u32) {
        self.engines += 1;
        let group = match stage {
            Stage::Prefill => &mut self.prefilling,
            Stage::Decode | Stage::Whole => {
                self.generating_engines += 1;
                &mut self.generating
            }
        };
        group[0] += requests.min(slots);
        group[1] += slots;
    }

    /// Number of engines.
    pub fn engines(&self) -> usize {
        self.engines
    }

    /// Mean number of slots of an engine that generates, at least 1.
    pub fn mean_slots(&self) -> f64 {
        (f64::from(self.generating[1]) / f64::from(self.generating_engines.max(1))).max(1.0)
    }

    /// Whether nearly all slots are taken, of the engines that generate or of those that only compute prefills.
    pub fn is_nearly_full(&self) -> bool {
        self.taken_part() >= NEARLY_ALL
    }

    /// Fraction of the slots that is taken, at the group of engines where it is higher.
    fn taken_part(&self) -> f64 {
        let groups = [self.generating, self.prefilling];
        let parts = groups.map(|[taken, slots]| f64::from(taken) / f64::from(slots.max(1)));
        parts.into_iter().fold(0.0, f64::max)
    }
}

/// State of a service when a request arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceState {
    /// Slots of its engines, as far as the work of this instance and of its peers is known.
    pub slots: SlotCounts,
    /// Number of instances.
    pub instances: usize,
}

/// A request, as seen by the shares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The workspace.
    pub workspace: &'a str,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Engine seconds that the request is predicted to take.
    pub cost: f64,
    /// Whether it may be refused. One that continues a stream may not, but its use counts.
    pub refusable: bool,
    /// Random number from 0 to 1 that spreads the retry delays.
    pub spread: f64,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareDecision {
    /// It may be sent; its cost has been counted.
    Admitted,
    /// Its workspace is over its share.
    Refused {
        /// Time in which the use falls to the share.
        delay: Duration,
        /// Whether the workspace has not been over its share recently.
        is_first: bool,
    },
}

#[derive(Debug, Clone, Default)]
struct Account {
    /// Use through this instance, by priority.
    own: BTreeMap<u8, Usage>,
    /// Sum of the reports of peers in engine seconds per second, by priority.
    peers: BTreeMap<u8, f64>,
    requested_at: Option<Time>,
    refused_at: Option<Time>,
}

impl Account {
    /// Use through this instance and the peers that it hears, of requests that have this priority or are more urgent.
    fn rate(&self, now: Time, priority: u8) -> f64 {
        let own: f64 = self
            .own
            .range(..=priority)
            .map(|(_, usage)| usage.rate(now))
            .sum();
        let peers: f64 = self.peers.range(..=priority).map(|(_, rate)| rate).sum();
        own + peers
    }

    fn is_active(&self, now: Time) -> bool {
        is_recent(now, self.requested_at, ACTIVE_TIME) || !self.peers.is_empty()
    }

    fn is_over(&self, now: Time) -> bool {
        is_recent(now, self.refused_at, TIME_CONSTANT)
    }
}

fn is_recent(now: Time, at: Option<Time>, limit: Duration) -> bool {
    at.is_some_and(|at| now.since(at) <= limit)
}

#[derive(Debug, Clone)]
struct Report {
    at: Time,
    entries: Vec<UseEntry>,
}

/// Use of one service.
#[derive(Debug, Clone)]
struct ServiceShares {
    accounts: BTreeMap<NameHash, Account>,
    reports: BTreeMap<String, Report>,
    /// Number of instances for each one whose use is known here.
    scale: f64,
    factor: CapacityFactor,
    /// Engine seconds per second that the engines are assumed to provide.
    capacity: f64,
    /// Whether capacity was short since the last update, other than by memory of a refusal.
    congested: bool,
    short_at: Option<Time>,
    refused_at: Option<Time>,
    /// Requests, and refusals for lack of capacity, as decaying means.
    arrivals: [Usage; 2],
    /// Mean engine seconds of a request.
    mean_cost: Option<f64>,
    updated_at: Option<Time>,
    /// Mean seconds that requests of each route took at engines.
    slot_times: BTreeMap<String, f64>,
}

impl Default for ServiceShares {
    fn default() -> ServiceShares {
        ServiceShares {
            accounts: BTreeMap::new(),
            reports: BTreeMap::new(),
            scale: 1.0,
            factor: CapacityFactor::new(MIN_CAPACITY_FACTOR),
            capacity: 0.0,
            congested: false,
            short_at: None,
            refused_at: None,
            arrivals: [Usage::default(); 2],
            mean_cost: None,
            updated_at: None,
            slot_times: BTreeMap::new(),
        }
    }
}

impl ServiceShares {
    /// How short capacity is, from 0 to 1; `None` if it isn't.
    fn shortage(&mut self, now: Time, state: ServiceState) -> Option<f64> {
        let is_full = state.slots.is_nearly_full();
        self.congested |= is_full;
        if !is_full && !is_recent(now, self.refused_at, REFUSAL_MEMORY) {
            return None;
        }
        self.short_at = Some(now);
        let [requests, refusals] = self.arrivals.map(|usage| usage.rate(now));
        let refused = refusals / requests.max(f64::MIN_POSITIVE) / MANY_REFUSALS;
        let taken = (state.slots.taken_part() - NEARLY_ALL) / (1.0 - NEARLY_ALL);
        Some(refused.max(taken).clamp(0.0, 1.0))
    }

    /// Adjusts the assumed capacity, sums up the reports of peers and discards what is outdated.
    fn update(&mut self, now: Time, state: ServiceState) {
        let passed = self.updated_at.map_or(UPDATE_INTERVAL, |at| now.since(at));
        if passed < UPDATE_INTERVAL {
            return;
        }
        self.updated_at = Some(now);
        let mut factor = self.factor.update(std::mem::replace(&mut self.congested, false));
        // Without requests, there was no congestion either.
        let mut idle = passed.saturating_sub(UPDATE_INTERVAL);
        while idle >= UPDATE_INTERVAL && factor < 1.0 {
            factor = self.factor.update(false);
            idle -= UPDATE_INTERVAL;
        }
        self.capacity = state.slots.engines() as f64 * factor;
        self.reports
            .retain(|_, report| now.since(report.at) <= REPORT_TTL);
        self.scale = (state.instances as f64 / (self.reports.len() + 1) as f64).max(1.0);
        for account in self.accounts.values_mut() {
            account.peers.clear();
        }
        for entry in self.reports.values().flat_map(|report| &report.entries) {
            let account = self.accounts.entry(entry.workspace).or_default();
            *account.peers.entry(entry.priority).or_default() += entry.as_f64();
        }
        self.accounts
            .retain(|_, account| account.is_active(now) || account.rate(now, u8::MAX) > TOLERANCE);
    }

    /// The time in which the use of a workspace falls to its share, if it is over it.
    fn excess_time(&self, now: Time, workspace: NameHash, priority: u8, shortage: f64) -> Option<f64> {
        let active = self.accounts.values().filter(|a| a.is_active(now)).count();
        let rates: Vec<f64> = self
            .accounts
            .values()
            .map(|account| self.scale * account.rate(now, u8::MAX))
            .collect();
        // The engines provide at least what is used. Without this bound, all workspaces would be over their shares
        // if costs are predicted too high.
        let capacity = self.capacity.max(rates.iter().sum());
        let equal_part = capacity / active.max(1) as f64;
        let tolerated = equal_part + (1.0 - shortage) * self.tolerance(equal_part);
        let share = equal_share(capacity, &rates, active).max(tolerated);
        let rate = self.scale * self.accounts.get(&workspace)?.rate(now, priority);
        (active > 1 && rate > share * (1.0 + TOLERANCE)).then(|| decay_seconds(rate, share))
    }

    /// The excess over a mean use of `rate` that arrivals at random often cause, as estimated from a part of the
    /// instances.
    fn tolerance(&self, rate: f64) -> f64 {
        let cost = self.scale * self.mean_cost.unwrap_or_default();
        let deviation = (rate * cost / (2.0 * TIME_CONSTANT.as_secs_f64())).sqrt();
        TOLERATED_DEVIATIONS * deviation
    }

    fn on_request(&mut self, now: Time, workspace: NameHash, cost: f64) {
        self.arrivals[0].add(now, 1.0);
        let mean = self.mean_cost.get_or_insert(cost);
        *mean += COST_GAIN * (cost - *mean);
        self.accounts.entry(workspace).or_default().requested_at = Some(now);
    }

    fn message(&self, now: Time, service: NameHash) -> WorkspaceUse {
        let active = self
            .accounts
            .iter()
            .filter(|(_, account)| is_recent(now, account.requested_at, ACTIVE_TIME));
        let entries = active.flat_map(|(workspace, account)| {
            let own = account.own.iter();
            own.map(|(priority, usage)| UseEntry::new(*workspace, *priority, usage.rate(now)))
        });
        WorkspaceUse::new(service, entries.collect())
    }
}

/// Use of all services by workspaces, as known to this instance.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceShares {
    services: BTreeMap<NameHash, ServiceShares>,
}

impl WorkspaceShares {
    /// Creates the shares of an instance that has received no requests.
    pub fn new() -> WorkspaceShares {
        WorkspaceShares::default()
    }

    /// Decides on a request, and counts its cost if it is admitted. A request that is refused costs its workspace
    /// nothing.
    pub fn admit(&mut self, now: Time, state: ServiceState, request: &ShareRequest<'_>) -> ShareDecision {
        let service = self.services.entry(NameHash::of(request.service)).or_default();
        let workspace = NameHash::of(request.workspace);
        service.update(now, state);
        service.on_request(now, workspace, request.cost);
        let shortage = service.shortage(now, state).filter(|_| request.refusable);
        let excess =
            shortage.and_then(|shortage| service.excess_time(now, workspace, request.priority, shortage));
        let account = service.accounts.entry(workspace).or_default();
        let Some(excess) = excess else {
            let usage = account.own.entry(request.priority).or_default();
            usage.add(now, request.cost);
            return ShareDecision::Admitted;
        };
        let is_first = !account.is_over(now);
        account.refused_at = Some(now);
        let seconds = excess.max(MIN_RETRY_AFTER_S) * (1.0 + RETRY_SPREAD * request.spread);
        ShareDecision::Refused {
            delay: Duration::from_secs_f64(seconds),
            is_first,
        }
    }

    /// Gives back the cost of a request that was admitted at `admitted` and has not run.
    pub fn give_back(&mut self, now: Time, request: &ShareRequest<'_>, admitted: Time) {
        let service = self.services.get_mut(&NameHash::of(request.service));
        let account = service.and_then(|s| s.accounts.get_mut(&NameHash::of(request.workspace)));
        if let Some(usage) = account.and_then(|a| a.own.get_mut(&request.priority)) {
            usage.remove(now, request.cost, admitted);
        }
    }

    /// Records that a request was refused because the engines of a service lack capacity.
    pub fn on_capacity_refusal(&mut self, now: Time, service: &str) {
        if let Some(service) = self.services.get_mut(&NameHash::of(service)) {
            service.refused_at = Some(now);
            service.arrivals[1].add(now, 1.0);
            service.congested = true;
        }
    }

    /// Mean time that requests of a route took recently at the engines of a service; `default` before any ended.
    pub fn slot_time(&self, service: &str, route: &str, default: Duration) -> Duration {
        let service = self.services.get(&NameHash::of(service));
        let mean = service.and_then(|s| s.slot_times.get(route));
        mean.map_or(default, |mean| Duration::from_secs_f64(*mean))
    }

    /// Records that a request of a route took `took` at the engines of a service.
    pub fn on_end(&mut self, service: &str, route: &str, took: Duration) {
        let service = self.services.entry(NameHash::of(service)).or_default();
        let took = took.as_secs_f64();
        let mean = service.slot_times.entry(route.to_string()).or_insert(took);
        *mean += SLOT_TIME_GAIN * (took - *mean);
    }

    /// The message to the peers, if capacity is short at a service; successive rounds cover all such services.
    pub fn message(&self, now: Time, round: u32) -> Option<WorkspaceUse> {
        let is_short = |shares: &ServiceShares| is_recent(now, shares.short_at, REFUSAL_MEMORY);
        let short: Vec<_> = self.services.iter().filter(|(_, s)| is_short(s)).collect();
        let next = (round as usize).checked_rem(short.len())?;
        let (service, shares) = short.get(next)?;
        Some(shares.message(now, **service))
    }

    /// Records the use that a peer reports. It replaces what the peer reported before. Use of a service of which this
    /// instance got no requests is ignored.
    pub fn on_message(&mut self, now: Time, peer: &str, message: WorkspaceUse) {
        if let Some(service) = self.services.get_mut(&message.service) {
            let entries = message.entries;
            service
                .reports
                .insert(peer.to_string(), Report { at: now, entries });
        }
    }

    /// Number of workspaces that were refused lately because they were over their share of a service.
    pub fn over_count(&self, now: Time) -> usize {
        let accounts = self.services.values().flat_map(|s| s.accounts.values());
        accounts.filter(|account| account.is_over(now)).count()
    }
}
