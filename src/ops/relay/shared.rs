//! What the control thread and the traffic thread share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use sequoiastream_core::relay::budget::RetryBudget;
use sequoiastream_core::relay::directory::Endpoint;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::leader_lease::LeaseRecord;
use sequoiastream_core::relay::load_tracker::LoadTracker;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::suspects::Suspects;
use sequoiastream_core::relay::usage::Tally;
use sequoiastream_core::relay::usage::Window;
use sequoiastream_core::relay::workspaces::StoreAges;
use sequoiastream_core::time::Time;

use crate::ops::relay::edge::Translate;
use crate::ops::relay::options::Options;
use crate::ops::relay::options::ReloadableOptions;
use crate::ops::relay::orders::OrderRecords;
use crate::util::clock;
use crate::util::logging::SharedBudget;
use crate::util::metrics::RelayMetrics;

/// Callers keep an address for up to so many times the time that the answer said.
pub const ADDRESS_TTL_FACTOR: u32 = 3;

/// What requests are answered by: never changed, only replaced.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Routes and services.
    pub table: Arc<RoutingTable>,
    engines: Arc<BTreeMap<String, Vec<Engine>>>,
    /// Derived from them: each message about load needs it.
    keys: Arc<BTreeMap<String, EngineKey>>,
    hashes: Arc<BTreeMap<u64, EngineKey>>,
    ids: Arc<BTreeMap<EngineKey, String>>,
    /// Where callers may go, this instance included.
    pub endpoints: Vec<Endpoint>,
    /// Engines that have had their order.
    pub orders: Arc<OrderRecords>,
    /// Place of this instance among the live ones, by name.
    pub rank: u32,
    /// Instances that share the budget of extra attempts.
    pub instances: usize,
    /// Who acts for all towards the platform's API.
    pub leader: Option<LeaseRecord>,
}

impl View {
    /// Whether a configuration is known.
    pub fn is_configured(&self) -> bool {
        self.table.version > 0
    }

    /// Engines that may get work, by service.
    pub fn engines(&self) -> &BTreeMap<String, Vec<Engine>> {
        &self.engines
    }

    /// The key of each engine by its id.
    pub fn keys(&self) -> &Arc<BTreeMap<String, EngineKey>> {
        &self.keys
    }

    /// The key of each engine by the hash of its id.
    pub fn hashes(&self) -> &BTreeMap<u64, EngineKey> {
        &self.hashes
    }

    /// The id of each engine by its key.
    pub fn ids(&self) -> &Arc<BTreeMap<EngineKey, String>> {
        &self.ids
    }

    /// Replaces the engines.
    pub fn set_engines(&mut self, engines: BTreeMap<String, Vec<Engine>>) {
        let keys = engines.values().flatten().map(|e| (e.entry.id.clone(), e.key));
        self.keys = Arc::new(keys.collect());
        let hashes = engines.values().flatten().map(|e| (e.hash, e.key));
        self.hashes = Arc::new(hashes.collect());
        let ids = engines.values().flatten().map(|e| (e.key, e.entry.id.clone()));
        self.ids = Arc::new(ids.collect());
        self.engines = Arc::new(engines);
    }
}

/// Load, health and budget: changed by every request, under a lock that is never held across an await.
#[derive(Debug)]
pub struct TrafficState {
    /// Load and health of engines.
    pub load: LoadTracker,
    /// Budget of extra attempts.
    pub budget: RetryBudget,
    /// Requests that crash engines.
    pub suspects: Suspects,
    /// Requests that engines began, by window and workspace.
    pub tally: Tally,
}

/// What the threads of an instance share.
pub struct Shared {
    /// Settings.
    pub options: Options,
    /// The edge to the protocol spoken.
    pub translate: Arc<dyn Translate>,
    /// What requests are answered by.
    pub view: ArcSwap<View>,
    /// Metrics.
    pub metrics: RelayMetrics,
    reloadable: ArcSwap<ReloadableOptions>,
    leaving: OnceLock<Time>,
    /// When the store last confirmed what is known of it.
    confirmed: AtomicU64,
    /// Up to when everything that happened in the store is known, by proof.
    proven: AtomicU64,
    /// How far true time is ahead of the monotonic clock, in microseconds; zero until it is known.
    true_offset: AtomicU64,
    traffic: Mutex<TrafficState>,
    running: Arc<AtomicUsize>,
}

/// Counts one request as running until dropped.
#[derive(Debug)]
pub struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Shared {
    /// State before anything is known.
    pub fn new(options: Options, translate: Arc<dyn Translate>, budget: SharedBudget) -> Shared {
        let traffic = TrafficState {
            load: LoadTracker::new(),
            budget: RetryBudget::new(options.reloadable.budget_limits),
            suspects: Suspects::new(),
            tally: Tally::default(),
        };
        Shared {
            reloadable: ArcSwap::from_pointee(options.reloadable.clone()),
            options,
            translate,
            view: ArcSwap::default(),
            metrics: RelayMetrics::new(budget),
            leaving: OnceLock::new(),
            confirmed: AtomicU64::default(),
            proven: AtomicU64::default(),
            true_offset: AtomicU64::default(),
            traffic: Mutex::new(traffic),
            running: Arc::default(),
        }
    }

    /// Settings that may change.
    pub fn reloadable(&self) -> Arc<ReloadableOptions> {
        self.reloadable.load_full()
    }

    /// Puts changed settings into force.
    pub fn reload(&self, options: ReloadableOptions) {
        self.traffic().budget.set_limits(options.budget_limits);
        self.reloadable.store(Arc::new(options));
    }

    /// Load, health and budget.
    pub fn traffic(&self) -> MutexGuard<'_, TrafficState> {
        self.traffic
            .lock()
            .expect("no thread panics while it holds the ledger")
    }

    /// Replaces the view by a changed copy.
    pub fn publish<F>(&self, change: F)
    where
        F: FnOnce(&mut View),
    {
        let mut view = View::clone(&self.view.load());
        change(&mut view);
        self.view.store(Arc::new(view));
    }

    /// Notes that the store confirmed what is known of it.
    pub fn on_store_answer(&self, now: Time) {
        self.confirmed.store(now.as_micros(), Ordering::Relaxed);
    }

    /// How old the configuration and the list of engines may be; since the start if the store never answered.
    pub fn store_age(&self, now: Time) -> Duration {
        now.since(Time::from_micros(self.confirmed.load(Ordering::Relaxed)))
    }

    /// Notes up to when everything that happened in the store is known. What it changed must be in force by then: requests
    /// read this first and look at the view after it.
    pub fn on_proof(&self, until: Time) {
        self.proven.fetch_max(until.as_micros(), Ordering::SeqCst);
    }

    /// How old what is known of the store may be.
    pub fn ages(&self, now: Time) -> StoreAges {
        let proven = match self.proven.load(Ordering::SeqCst) {
            0 => Duration::MAX,
            micros => now.since(Time::from_micros(micros)),
        };
        let reported = self.store_age(now);
        StoreAges { reported, proven }
    }

    /// Notes how far true time is ahead of the monotonic clock, in microseconds.
    pub fn on_true_offset(&self, offset: u64) {
        self.true_offset.store(offset, Ordering::Relaxed);
    }

    /// True time, in microseconds since the Unix epoch; the wall clock's until any peer was heard.
    pub fn true_micros(&self, now: Time) -> u64 {
        match self.true_offset.load(Ordering::Relaxed) {
            0 => clock::wall_micros(),
            offset => now.as_micros().saturating_add(offset),
        }
    }

    /// Counts a request of a workspace that an engine began at `at`.
    pub fn on_begun(&self, at: Time, workspace: &str) {
        if let Some(leader) = &self.options.leader {
            let window = Window::at(self.true_micros(at), leader.window);
            self.traffic().tally.on_begun(window, workspace);
        }
    }

    /// How old a proof of what is known of the store may be; `None` where callers have no keys.
    pub fn max_proof_age(&self) -> Option<Duration> {
        self.view.load().table.workspaces.as_ref()?;
        self.reloadable().key_limits.max_proof_age()
    }

    /// Whether requests with keys may be let in.
    pub fn is_proven(&self, now: Time) -> bool {
        self.max_proof_age()
            .is_none_or(|limit| self.ages(now).proven <= limit)
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.view.load().is_configured() && self.is_proven(clock::now())
    }

    /// Whether the instance shuts down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// Begins to shut down.
    pub fn leave(&self, now: Time) {
        self.leaving.get_or_init(|| now);
    }

    /// Whether new requests are refused: callers have had the time to learn that this address is no longer named.
    ///
    /// Failure guarded against: a stream that is accepted late in a shutdown is cut when the process ends.
    pub fn is_closed(&self, now: Time) -> bool {
        let max_kept = self.reloadable().address_ttl * ADDRESS_TTL_FACTOR;
        self.leaving.get().is_some_and(|at| now.since(*at) >= max_kept)
    }

    /// Counts a request as running.
    pub fn begin(&self) -> Running {
        self.running.fetch_add(1, Ordering::SeqCst);
        Running(self.running.clone())
    }

    /// Requests that are running.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }
}
