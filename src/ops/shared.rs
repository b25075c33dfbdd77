//! State shared by the control thread and the traffic threads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use sequoiastream_core::claims::ClockWatch;
use sequoiastream_core::claims::KeyAgeCheck;
use sequoiastream_core::claims::Owners;
use sequoiastream_core::membership::Roster;
use sequoiastream_core::name::Name;
use sequoiastream_core::outcome::Reason;
use sequoiastream_core::poison::CrashRecords;
use sequoiastream_core::route::Router;
use sequoiastream_core::snapshot::Snapshot;
use sequoiastream_core::time::Time;
use sequoiastream_kv::CallMeter;
use tokio::sync::watch;

use crate::ops::policy;
use crate::ops::policy::PolicyState;
use crate::ops::stops::StopSignals;
use crate::settings::Settings;
use crate::util::clock;
use crate::util::metrics::Metrics;

/// State shared by all threads of a daemon.
#[derive(Debug)]
pub struct Shared {
    /// The daemon's settings.
    pub settings: Settings,
    /// The configuration in force; replaced atomically as a whole.
    pub snapshot: ArcSwap<Snapshot>,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Budget of calls to the platform, and the calls spent from it.
    pub call_meter: Arc<CallMeter>,
    /// Checks the age of idempotency keys.
    pub key_ages: KeyAgeCheck,
    /// Limits, retry budgets and demand.
    pub policy: PolicyState,
    /// Signals that stop running attempts.
    pub stop_signals: StopSignals,
    router: Mutex<Router>,
    holds: Mutex<BTreeMap<Name, Time>>,
    owners: Mutex<Owners>,
    clock_watch: Mutex<ClockWatch>,
    crash_records: Mutex<CrashRecords>,
    roster: watch::Sender<Arc<Roster>>,
    leaving: AtomicBool,
    refusing: AtomicBool,
    running: Arc<AtomicUsize>,
}

/// Counts a piece of work as running until dropped; a shutdown waits for it.
#[derive(Debug)]
pub struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Shared {
    /// Returns the state before the first configuration is known.
    pub fn new(settings: Settings) -> Shared {
        let router = router(&settings);
        let policy = PolicyState::new(&settings);
        let crash_records = CrashRecords::new(settings.name.clone());
        let call_meter = Arc::new(CallMeter::new(settings.kv_rate));
        Shared {
            settings,
            snapshot: ArcSwap::default(),
            metrics: Metrics::new(call_meter.clone()),
            call_meter,
            key_ages: KeyAgeCheck::new(clock::clocks()),
            owners: Mutex::default(),
            clock_watch: Mutex::default(),
            policy,
            router: Mutex::new(router),
            stop_signals: StopSignals::default(),
            holds: Mutex::default(),
            crash_records: Mutex::new(crash_records),
            roster: watch::Sender::default(),
            leaving: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            running: Arc::new(AtomicUsize::new(0)),
        }
    }

    /// Locks the router. The lock is held for one decision, never across an await.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router
            .lock()
            .expect("no thread panics while it holds the router")
    }

    /// Sends no new work to `engine` until `until`, and returns the number of requests that this instance has there.
    ///
    /// The router is locked first, so that each request is either routed to the engine before the hold and counted,
    /// or routed afterwards and sees the hold.
    pub fn hold(&self, engine: Name, until: Time) -> u32 {
        let router = self.router();
        let count = router.in_flight(&engine);
        self.lock_holds().insert(engine, until);
        count
    }

    /// Removes the hold on `engine`, so that it gets new work again.
    pub fn unhold(&self, engine: &Name) {
        self.lock_holds().remove(engine);
    }

    /// Returns the engines that get no new work at `now`. Call this while the router is locked.
    ///
    /// A hold that is not renewed expires, so that an engine does not stay idle if the instance that asked for the
    /// hold crashes.
    pub fn held_engines(&self, now: Time) -> Vec<Name> {
        let mut held = self.lock_holds();
        held.retain(|_, until| now < *until);
        held.keys().cloned().collect()
    }

    fn lock_holds(&self) -> MutexGuard<'_, BTreeMap<Name, Time>> {
        self.holds
            .lock()
            .expect("no thread panics while it holds the engine holds")
    }

    /// Locks the comparison of the peers' clocks with this instance's clock. The lock is held for one decision, never
    /// across an await.
    pub fn clock_watch(&self) -> MutexGuard<'_, ClockWatch> {
        self.clock_watch
            .lock()
            .expect("no thread panics while it holds the clock watch")
    }

    /// Locks the record of the owners of claims that did not answer. The lock is held for one decision, never across
    /// an await.
    pub fn owners(&self) -> MutexGuard<'_, Owners> {
        self.owners
            .lock()
            .expect("no thread panics while it holds the owners")
    }

    /// Locks the records of requests that crash engines. The lock is held for one decision, never across an await.
    pub fn crash_records(&self) -> MutexGuard<'_, CrashRecords> {
        self.crash_records
            .lock()
            .expect("no thread panics while it holds the crash records")
    }

    /// Returns the roster of instances that was last published.
    pub fn roster(&self) -> Arc<Roster> {
        self.roster.borrow().clone()
    }

    /// Subscribes to the published rosters.
    pub fn follow_roster(&self) -> watch::Receiver<Arc<Roster>> {
        self.roster.subscribe()
    }

    /// Publishes `roster` and returns the previous one.
    pub fn publish_roster(&self, roster: Roster) -> Arc<Roster> {
        self.roster.send_replace(Arc::new(roster))
    }

    /// Returns the reason to refuse new work now, or `None` if it may be taken.
    ///
    /// Failure guarded against: an instance resumes after a pause, and a traffic thread takes a request before the
    /// control thread has noticed the pause. The roster is recomputed on each tick; one that is older than the pause
    /// limit shows that the control thread did not run.
    pub fn refusal_reason(&self) -> Option<Reason> {
        if self.refusing.load(Ordering::Acquire) {
            return Some(Reason::Stopping);
        }
        (!self.is_confirmed()).then_some(Reason::Isolated)
    }

    /// Whether, as far as this instance can tell, it was not paused and knows the configuration in force.
    pub fn is_confirmed(&self) -> bool {
        let roster = self.roster.borrow();
        let not_paused = clock::now().since(roster.evaluated_at) <= self.settings.limits.pause_limit;
        not_paused && roster.standing.accepts_work()
    }

    /// Counts a piece of work as running until the returned guard is dropped.
    pub fn begin_work(&self) -> Running {
        self.running.fetch_add(1, Ordering::AcqRel);
        Running(self.running.clone())
    }

    /// Returns the number of pieces of work that are running.
    pub fn count_running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Whether this instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Marks this instance as shutting down: it no longer lists its own address for callers.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Marks this instance as refusing new work.
    pub fn refuse_work(&self) {
        self.refusing.store(true, Ordering::Release);
    }
}

/// Builds the router. Its seed is derived from the instance's name, so that instances make different random choices.
fn router(settings: &Settings) -> Router {
    Router::new()
        .policy(settings.policy.routing())
        .zone(settings.zone.clone())
        .seed(policy::instance_seed(settings))
}
