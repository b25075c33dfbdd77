//! State that the control thread and the traffic thread share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use sequoiastream_core::log_event;
use sequoiastream_core::poison::suspects::Suspects;
use sequoiastream_core::relay::budget::RetryBudget;
use sequoiastream_core::relay::directory::Endpoint;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::fairness::FairAdmission;
use sequoiastream_core::relay::hash::Hash;
use sequoiastream_core::relay::hedging::Hedging;
use sequoiastream_core::relay::leader_lease::LeaseRecord;
use sequoiastream_core::relay::limit_report::LimitReport;
use sequoiastream_core::relay::limit_report::RequestRate;
use sequoiastream_core::relay::load_tracker::LoadTracker;
use sequoiastream_core::relay::notices::EngineNotices;
use sequoiastream_core::relay::rank::RankWork;
use sequoiastream_core::relay::rate_limits::LimitChange;
use sequoiastream_core::relay::rate_limits::RateLimits;
use sequoiastream_core::relay::reachability::Reachability;
use sequoiastream_core::relay::return_schedule::ReturnSchedule;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::scale_need::CapacityRefusals;
use sequoiastream_core::relay::streams::Streams;
use sequoiastream_core::relay::tunnel_peers::TunnelPeer;
use sequoiastream_core::relay::usage::Tally;
use sequoiastream_core::relay::usage::Window;
use sequoiastream_core::relay::version_history::ServiceVersion;
use sequoiastream_core::relay::version_history::VersionHistory;
use sequoiastream_core::relay::workspace_shares::WorkspaceShares;
use sequoiastream_core::relay::workspaces::StoreAges;
use sequoiastream_core::time::Time;
use sequoiastream_peer::seal::ClusterKey;
use tokio::sync::Notify;

use crate::log_event;
use crate::ops::relay::edge::Translate;
use crate::ops::relay::options::Options;
use crate::ops::relay::options::ReloadableOptions;
use crate::ops::relay::orders::OrderRecords;
use crate::ops::relay::shared_call::SharedCall;
use crate::ops::relay::stream_store::StreamStore;
use crate::util::clock;
use crate::util::logging::SharedBudget;
use crate::util::metrics::RelayMetrics;

/// Callers cache an address for up to this many times as long as the answer told them.
pub const ADDRESS_TTL_FACTOR: u32 = 3;

/// The configuration and the engines by which requests are handled. A view is never changed, only replaced.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Routes and services.
    pub table: Arc<RoutingTable>,
    engines: Arc<BTreeMap<String, Vec<Engine>>>,
    /// Derived from `engines`, as each load message needs it.
    keys: Arc<BTreeMap<String, EngineKey>>,
    hashes: Arc<BTreeMap<u64, EngineKey>>,
    ids: Arc<BTreeMap<EngineKey, String>>,
    /// Versions that serve, also at engines that leave.
    versions: BTreeSet<ServiceVersion>,
    /// Instances that callers may be sent to, including this one.
    pub endpoints: Vec<Endpoint>,
    /// Peers that may be asked for a tunnel to an engine.
    pub tunnel_peers: Arc<Vec<TunnelPeer>>,
    /// The orders that engines have been given.
    pub orders: Arc<OrderRecords>,
    /// Rank of this instance among the live ones, by name.
    pub rank: u32,
    /// Number of instances that share the retry budget.
    pub instances: usize,
    /// The holder of the lease of the leader, as the store shows it.
    pub leader: Option<LeaseRecord>,
    /// The last restoration of the store that this process has noticed.
    pub restored: Option<Restoration>,
}

/// A restoration of the store from a copy.
#[derive(Debug, Clone, Copy)]
pub struct Restoration {
    /// The store's epoch since then.
    pub epoch: u64,
    /// When this process noticed it.
    pub noticed: Time,
}

impl View {
    /// Whether the store has been restored since `epoch`: leases and unfinished writes of that epoch are void.
    pub fn is_restored_since(&self, epoch: u64) -> bool {
        self.restored.is_some_and(|restored| restored.epoch > epoch)
    }

    /// Whether a configuration is known.
    pub fn is_configured(&self) -> bool {
        self.table.version > 0
    }

    /// Engines that may get requests, by service.
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
        self.versions = engines
            .values()
            .flatten()
            .filter_map(Engine::service_version)
            .collect();
        self.engines = Arc::new(engines);
    }

    /// Adds versions that serve at engines which get no requests, or did lately.
    pub fn add_versions(&mut self, versions: BTreeSet<ServiceVersion>) {
        self.versions.extend(versions);
    }
}

/// The head of an engine's answer to a call.
#[derive(Debug, Clone, Copy)]
pub struct AnswerHead<'a> {
    /// When the call was sent.
    pub sent: Time,
    /// Whether the engine served a request, so that the answer reports its whole state.
    pub is_served: bool,
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: &'a HeaderMap,
}

impl<'a> AnswerHead<'a> {
    /// The head of the answer to an order or to a call that frees a prefill result, sent at `sent`.
    pub fn of_call<B>(sent: Time, answer: &'a Response<B>) -> AnswerHead<'a> {
        AnswerHead {
            sent,
            is_served: false,
            status: answer.status(),
            headers: answer.headers(),
        }
    }
}

/// State that every request changes, under a lock that is never held across an await.
#[derive(Debug)]
pub struct TrafficState {
    /// Load and health of engines.
    pub load: LoadTracker,
    /// Retry budget.
    pub budget: RetryBudget,
    /// Requests that are sent to a second engine because the first one is slow.
    pub hedging: Hedging,
    /// State that engines have reported in their answers.
    pub notices: EngineNotices,
    /// Limits on requests per second that engines have reported.
    pub rate_limits: RateLimits,
    /// When callers that were refused because of these limits return.
    pub returns: ReturnSchedule,
    /// Requests that were refused for lack of capacity.
    pub capacity_refusals: CapacityRefusals,
    /// Which kinds and sizes of requests are owed an acceptance.
    pub fairness: FairAdmission,
    /// Prefill time sent to services whose routes differ in priority.
    pub rank_work: RankWork,
    /// Which engines this instance reaches only through a peer.
    pub reachability: Reachability,
    /// Requests suspected of crashing engines.
    pub suspects: Suspects,
    /// Which version of the engines began each stream.
    pub streams: Streams,
    /// Which versions of the engines have served each service.
    pub history: VersionHistory,
    /// Requests that engines began, by window and workspace.
    pub tally: Tally,
    /// Engine time that workspaces use.
    pub shares: WorkspaceShares,
}

/// The state that the threads of an instance share.
pub struct Shared {
    /// Settings.
    pub options: Options,
    /// Translates to and from the protocol of callers and upstreams.
    pub translate: Arc<dyn Translate>,
    /// Key that authenticates the instances to each other.
    pub key: ClusterKey,
    /// The current view.
    pub view: ArcSwap<View>,
    /// Metrics.
    pub metrics: RelayMetrics,
    reloadable: ArcSwap<ReloadableOptions>,
    leaving: OnceLock<Time>,
    /// Time at which the store last confirmed that this instance is up to date.
    confirmed: AtomicU64,
    /// Highest version of the configuration that any peer reported to be in force there.
    peer_version: AtomicU64,
    /// Time up to which all changes in the store are proven to be known.
    proven: AtomicU64,
    /// How far true time is ahead of the monotonic clock, in microseconds; zero until it is known.
    true_offset: AtomicU64,
    traffic: Mutex<TrafficState>,
    /// When this process started.
    started: Time,
    /// Access to the records of streams in the store.
    pub(super) stream_store: StreamStore,
    /// Confirmations by the store that all engines and versions which it holds are known here, see [`confirm`].
    ///
    /// [`confirm`]: super::confirm
    pub(super) confirmations: SharedCall<()>,
    /// Notified when the history of the versions changes.
    pub(super) versions_changed: Notify,
    /// Notified when an engine has ended under a request.
    pub(super) crashes_changed: Notify,
    /// Notified when a check whether an engine has ended is complete.
    pub(super) checked: Notify,
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
    /// Creates the state of an instance that knows neither a configuration nor engines.
    pub fn new(options: Options, translate: Arc<dyn Translate>, budget: SharedBudget) -> Shared {
        let traffic = TrafficState {
            load: LoadTracker::new(),
            budget: RetryBudget::new(options.reloadable.budget_limits),
            hedging: Hedging::new(options.reloadable.hedge_limits()),
            notices: EngineNotices::new(),
            rate_limits: RateLimits::new(),
            returns: ReturnSchedule::new(),
            capacity_refusals: CapacityRefusals::default(),
            fairness: FairAdmission::new(),
            rank_work: RankWork::default(),
            reachability: Reachability::new(),
            suspects: Suspects::with_seed(Hash::new().with(options.name.as_str().as_bytes()).value()),
            streams: Streams::new(),
            history: VersionHistory::new(),
            tally: Tally::default(),
            shares: WorkspaceShares::new(),
        };
        Shared {
            reloadable: ArcSwap::from_pointee(options.reloadable.clone()),
            key: ClusterKey::new(&options.cluster_key),
            options,
            translate,
            view: ArcSwap::default(),
            metrics: RelayMetrics::new(budget),
            leaving: OnceLock::new(),
            confirmed: AtomicU64::default(),
            peer_version: AtomicU64::default(),
            proven: AtomicU64::default(),
            true_offset: AtomicU64::default(),
            traffic: Mutex::new(traffic),
            started: clock::now(),
            stream_store: StreamStore::default(),
            confirmations: SharedCall::default(),
            versions_changed: Notify::new(),
            crashes_changed: Notify::new(),
            checked: Notify::new(),
            running: Arc::default(),
        }
    }

    /// Time since this process started.
    pub fn uptime(&self, now: Time) -> Duration {
        now.since(self.started)
    }

    /// The settings that may change while the instance runs.
    pub fn reloadable(&self) -> Arc<ReloadableOptions> {
        self.reloadable.load_full()
    }

    /// Applies changed settings.
    pub fn reload(&self, options: ReloadableOptions) {
        self.traffic().budget.set_limits(options.budget_limits);
        self.traffic().hedging.limiter.set_limits(options.hedge_limits());
        self.reloadable.store(Arc::new(options));
    }

    /// Locks the state that requests change.
    pub fn traffic(&self) -> MutexGuard<'_, TrafficState> {
        self.traffic
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Replaces the view by a changed copy.
    pub fn publish<F>(&self, change: F)
    where
        F: FnOnce(&mut View),
    {
        let before = self.view.load();
        let mut view = View::clone(&before);
        change(&mut view);
        if !Arc::ptr_eq(&before.engines, &view.engines) {
            self.traffic().history.on_served(clock::now(), &view.versions);
            self.on_history_changed();
        }
        self.view.store(Arc::new(view));
    }

    /// Notes that other versions of the engines serve than before, or that more is known of those before.
    pub fn on_history_changed(&self) {
        self.versions_changed.notify_one();
        self.stream_store.notify();
    }

    /// Notes that the store confirmed at `now` that this instance is up to date.
    pub fn on_store_answer(&self, now: Time) {
        self.confirmed.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Notes that this version of the configuration is in force at a peer.
    pub fn on_peer_version(&self, version: u64) {
        self.peer_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Whether a configuration of this version may lack routes that it must have, given the time since the store last confirmed
    /// it: a change may have come since, or a peer has one that this instance lacks.
    pub fn may_lack_routes(&self, version: u64, age: Duration) -> bool {
        age >= self.reloadable().apply_limit.0 || version < self.peer_version.load(Ordering::Relaxed)
    }

    /// Time since the store last confirmed that the configuration and the engines are up to date; since the start if it
    /// never did.
    pub fn store_age(&self, now: Time) -> Duration {
        now.since(Time::from_micros(self.confirmed.load(Ordering::Relaxed)))
    }

    /// Notes that all changes in the store up to `until` are known. They must be in the view already: requests load
    /// this time first and the view after it.
    pub fn on_proof(&self, until: Time) {
        self.proven.fetch_max(until.as_micros(), Ordering::SeqCst);
    }

    /// Age of what is known of the store.
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

    /// True time, in microseconds since the Unix epoch; the local wall clock's time until the clock of a peer is known.
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

    /// Maximum age of the last proof that all changes in the store are known; `None` if callers need no keys.
    pub fn max_proof_age(&self) -> Option<Duration> {
        self.view.load().table.workspaces.as_ref()?;
        self.reloadable().key_limits.max_proof_age()
    }

    /// Whether the last proof is recent enough for requests with keys to be accepted.
    pub fn is_proven(&self, now: Time) -> bool {
        self.max_proof_age()
            .is_none_or(|limit| self.ages(now).proven <= limit)
    }

    /// Whether callers may be sent to this instance.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.view.load().is_configured() && self.is_proven(clock::now())
    }

    /// Whether the instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// Begins the shutdown.
    pub fn leave(&self, now: Time) {
        self.leaving.get_or_init(|| now);
    }

    /// Whether new requests are refused: callers have had the time to learn that the directory no longer lists this
    /// address.
    ///
    /// Guards against streams that are accepted late in a shutdown and cut when the process ends.
    pub fn is_closed(&self, now: Time) -> bool {
        let max_kept = self.reloadable().address_ttl * ADDRESS_TTL_FACTOR;
        self.leaving.get().is_some_and(|at| now.since(*at) >= max_kept)
    }

    /// Whether an engine must get no order from this instance now, because it has reported that it is leaving, paused,
    /// or at its request limit.
    pub fn is_unavailable(&self, engine: &Engine) -> bool {
        let now = clock::now();
        let traffic = self.traffic();
        let incarnation = engine.incarnation();
        let delay = traffic.rate_limits.call_delay(now, incarnation);
        traffic.notices.is_unavailable(now, incarnation) || delay != Some(Duration::ZERO)
    }

    /// Records a request or call that is sent to an engine.
    pub fn on_send(&self, engine: &Engine) {
        self.traffic().rate_limits.on_send(clock::now(), engine);
    }

    /// Waits until an engine that may be paused or at its request limit accepts a call. Returns `false` if this
    /// instance may send it none within `max_wait` after its pauses.
    pub async fn wait_for_call(&self, engine: &Engine, max_wait: Duration) -> bool {
        let incarnation = engine.incarnation();
        let mut waited = Duration::ZERO;
        // The engine may extend its pause during the wait, and requests may be sent to it.
        loop {
            let now = clock::now();
            let (pause, delay) = {
                let traffic = self.traffic();
                let pause = traffic.notices.pause_left(now, incarnation);
                (pause, traffic.rate_limits.call_delay(now, incarnation))
            };
            let delay = match delay {
                _ if !pause.is_zero() => pause,
                Some(Duration::ZERO) => return true,
                Some(delay) if waited + delay <= max_wait => {
                    waited += delay;
                    delay
                }
                _ => return false,
            };
            tokio::time::sleep(delay).await;
        }
    }

    /// Records the state that an engine reports in an answer to this instance.
    pub fn on_engine_answer(&self, engine: &Engine, answer: &AnswerHead<'_>) {
        let AnswerHead { status, headers, .. } = *answer;
        // The answer comes from another engine that has the same address.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        self.on_request_limit(engine, answer);
        let id = &engine.entry.id;
        match self.translate.is_leaving(headers) {
            Ok(true) if self.traffic().notices.on_leaving(engine.incarnation()) => {
                log_event!(info, log_event::ENGINE_LEAVING, engine = %id);
            }
            Ok(_) => {}
            Err(error) => log_event!(warn, log_event::NOTICE_UNREADABLE, engine = %id, %error),
        }
        match self.translate.requested_pause(status, headers) {
            Ok(Some(pause)) => {
                let now = clock::now();
                if self.traffic().notices.on_pause(now, engine.incarnation(), pause) {
                    let millis = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
                    log_event!(info, log_event::ENGINE_PAUSED, engine = %id, pause = millis);
                }
            }
            Ok(None) => {}
            Err(error) => log_event!(warn, log_event::NOTICE_UNREADABLE, engine = %id, %error),
        }
    }

    /// Records the limit that an engine reports in an answer, or that it no longer reports one.
    fn on_request_limit(&self, engine: &Engine, answer: &AnswerHead<'_>) {
        let id = &engine.entry.id;
        let limit = match self.translate.request_limit(answer.headers) {
            // Engines may omit the header when they decline, fail, or answer other calls.
            Ok(None) if !answer.is_served => return,
            Ok(limit) => limit,
            Err(error) => {
                log_event!(warn, log_event::NOTICE_UNREADABLE, engine = %id, %error);
                return;
            }
        };
        let report = LimitReport {
            limit,
            sent: answer.sent,
            received: clock::now(),
        };
        let change = self.traffic().rate_limits.on_answer(engine, report);
        if let Some(change) = change {
            log_limit_change(id, change, "engine");
        }
    }

    /// Counts a request as running until the returned guard is dropped.
    pub fn begin(&self) -> Running {
        self.running.fetch_add(1, Ordering::SeqCst);
        Running(self.running.clone())
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }
}

/// Logs a change of an engine's request limit; `from` says who reported it.
pub(super) fn log_limit_change(engine: &str, change: LimitChange, from: &str) {
    let before = change.before.map(RequestRate::as_f64);
    let share = change.share;
    match change.after.map(RequestRate::as_f64) {
        Some(limit) => log_event!(
            info,
            log_event::ENGINE_LIMITED,
            engine,
            limit,
            share,
            before,
            from
        ),
        None => log_event!(info, log_event::ENGINE_LIMIT_ENDED, engine, before, from),
    }
}
