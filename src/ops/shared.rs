//! What the control thread and the traffic threads share.

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

/// Shared between all threads of a daemon.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The configuration in force; swapped whole.
    pub snapshot: ArcSwap<Snapshot>,
    /// Counts of what happened.
    pub metrics: Metrics,
    /// The budget of calls to the platform, and what was spent.
    pub call_meter: Arc<CallMeter>,
    /// Judges the age of idempotency keys.
    pub key_ages: KeyAgeCheck,
    /// Limits, retry budgets and demand.
    pub policy: PolicyState,
    /// Attempts that can be stopped.
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

/// A piece of work that a shutdown waits for, until it is dropped.
#[derive(Debug)]
pub struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Shared {
    /// Shared state before the first configuration is known.
    pub fn new(settings: Settings) -> Shared {
        let router = router(&settings);
        let policy = PolicyState::new(&settings);
        let crash_records = CrashRecords::new(settings.name.clone());
        let call_meter = Arc::new(CallMeter::new(settings.rate));
        Shared {
            settings,
            snapshot: ArcSwap::default(),
            metrics: Metrics::new(call_meter.clone()),
            call_meter,
            key_ages: KeyAgeCheck::new(clock::both()),
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

    /// The router. Held for one decision, never across an await.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        self.router
            .lock()
            .expect("no thread panics while it holds the router")
    }

    /// Keeps new work from `engine` until `until`, and tells how many requests this instance has there.
    ///
    /// The router is locked first: a request that was given to the engine before is counted, and a later one
    /// sees the hold.
    pub fn hold(&self, engine: Name, until: Time) -> u32 {
        let router = self.router();
        let count = router.in_flight(&engine);
        self.lock_holds().insert(engine, until);
        count
    }

    /// Gives `engine` work again.
    pub fn unhold(&self, engine: &Name) {
        self.lock_holds().remove(engine);
    }

    /// Engines that get no work now. Ask while the router is locked. A hold that was not renewed lapses, so
    /// that a holder that died keeps no engine idle.
    pub fn held_engines(&self, now: Time) -> Vec<Name> {
        let mut held = self.lock_holds();
        held.retain(|_, until| now < *until);
        held.keys().cloned().collect()
    }

    fn lock_holds(&self) -> MutexGuard<'_, BTreeMap<Name, Time>> {
        self.holds
            .lock()
            .expect("no thread panics while it holds the held engines")
    }

    /// What other instances' clocks said of this one's. Held for one decision, never across an await.
    pub fn clock_watch(&self) -> MutexGuard<'_, ClockWatch> {
        self.clock_watch
            .lock()
            .expect("no thread panics while it holds the watch")
    }

    /// Which owners of claims were silent. Held for one decision, never across an await.
    pub fn owners(&self) -> MutexGuard<'_, Owners> {
        self.owners
            .lock()
            .expect("no thread panics while it holds the owners")
    }

    /// The records of requests that crash engines. Held for one decision, never across an await.
    pub fn crash_records(&self) -> MutexGuard<'_, CrashRecords> {
        self.crash_records
            .lock()
            .expect("no thread panics while it holds the records")
    }

    /// The other instances, as last published.
    pub fn roster(&self) -> Arc<Roster> {
        self.roster.borrow().clone()
    }

    /// Follows the published rosters.
    pub fn follow_roster(&self) -> watch::Receiver<Arc<Roster>> {
        self.roster.subscribe()
    }

    /// Publishes `roster` and returns the one before.
    pub fn publish_roster(&self, roster: Roster) -> Arc<Roster> {
        self.roster.send_replace(Arc::new(roster))
    }

    /// Why new work must be refused now, if it must.
    ///
    /// Failure guarded against: an instance that was paused goes on, and a traffic thread takes a request before
    /// the control thread has noticed. The roster is judged anew at each tick; one that is older than the limit
    /// shows that the control thread did not run.
    pub fn refusal_reason(&self) -> Option<Reason> {
        if self.refusing.load(Ordering::Acquire) {
            return Some(Reason::Stopping);
        }
        (!self.is_confirmed()).then_some(Reason::Isolated)
    }

    /// Whether this instance runs and knows the configuration in force, as far as it can tell.
    pub fn is_confirmed(&self) -> bool {
        let roster = self.roster.borrow();
        let awake = clock::now().since(roster.evaluated_at) <= self.settings.limits.pause_limit;
        awake && roster.standing.accepts_work()
    }

    /// Counts a piece of work as running until the result is dropped.
    pub fn begin_work(&self) -> Running {
        self.running.fetch_add(1, Ordering::AcqRel);
        Running(self.running.clone())
    }

    /// Pieces of work that run.
    pub fn count_running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Whether this instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Marks this instance as shutting down: it names itself to callers no more.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Marks this instance as refusing new work.
    pub fn refuse_work(&self) {
        self.refusing.store(true, Ordering::Release);
    }
}

/// The router of an instance. Its seed comes from the instance's name, so that instances draw differently.
fn router(settings: &Settings) -> Router {
    Router::new()
        .policy(settings.policy.routing())
        .zone(settings.zone.clone())
        .seed(policy::instance_seed(settings))
}
