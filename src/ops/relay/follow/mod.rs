//! Keeping up with the configuration and the engines.
//!
//! One watch covers both. It is resumed from the revision of its last answer. Failures guarded against: history that
//! is no longer kept, a watch that was cut, and one that stays silent on a connection that looks alive. Each ends in
//! a read of everything, which asks the store itself, not a copy that lags. The longest silence of a watch that
//! is not noticed is [`ApplyLimit::watch_timeout`](sequoiastream_core::relay::watchers::ApplyLimit::watch_timeout) and [`ANSWER`].
//!
//! Only a few instances watch, see [`watchers`](sequoiastream_core::relay::watchers): the others listen to their peers and
//! ask one that knows more.

mod join;
mod listen;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::EngineUpdate;
use sequoiastream_core::relay::engines::Engines;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::leader_lease::LeaseRecord;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::watchers;
use sequoiastream_core::relay::watchers::ApplyLimit;
use sequoiastream_core::relay::watchers::SyncStatus;
use sequoiastream_core::relay::watchers::WatchAction;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Change;
use sequoiastream_kv::store::Changes;
use sequoiastream_kv::store::Item;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;

use crate::log_event;
use crate::ops::relay::follow::join::Startup;
use crate::ops::relay::known::Known;
use crate::ops::relay::lead;
use crate::ops::relay::orders::Ordered;
use crate::ops::relay::peers::Fleet;
use crate::ops::relay::register;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Pause after the first failed call; doubles with each.
const PAUSE: Duration = Duration::from_millis(100);

/// Longest pause of an instance that watches for others: with it, it knows within a second that the store is back.
const LONGEST: Duration = Duration::from_millis(800);

/// Longest pause of all other instances: they hear of the store's return from those.
const LONGEST_LISTENER: Duration = Duration::from_millis(2_000);

/// How often engines whose entry is missing are looked through.
const TICK: Duration = Duration::from_millis(100);

/// Maximum number of questions per second that all instances together ask their peers.
const MAX_QUESTIONS_PER_SECOND: u32 = 200;

/// Longest time that an instance waits after hearing of changes from peers, to fetch them in one batch.
const LONGEST_REST: Duration = Duration::from_millis(500);

/// Range from which a watcher draws how long it batches changes, as a part of the time within which a change must be in
/// force. Shorter than the wait of a watch, so that a silent watch is detected no later; random, so that the watchers don't
/// all call the store at the same time.
const GATHER: std::ops::Range<f64> = 0.08..0.12;

/// Longest time that a watcher batches changes.
const LONGEST_WATCHER_REST: Duration = Duration::from_secs(2);

/// Number of changes from which the answer of a watch may be truncated. The store returns about five hundred changes or a
/// megabyte at once. Such an answer does not prove that the instance is up to date, and the next watch begins at once.
///
/// Guards against an instance that pauses after each answer while ten thousand engines register: it would know them half a
/// minute late, and treat each truncated answer as complete.
const TRUNCATION_CHANGES: usize = 250;

/// Total size of the changed values, in bytes, from which the answer of a watch may be truncated.
const TRUNCATION_BYTES: usize = 256 * 1024;

/// How long a look at the store waits for something to happen.
const LOOK: Duration = Duration::from_millis(1);

/// Everything that begins with this is read and watched.
const ALL: &str = "";

/// What an answer of the store has changed, and is published once for all of it: a fleet that starts brings hundreds of
/// changes in one answer, and each copy is as long as the fleet.
#[derive(Debug, Default)]
struct Changed {
    engines: bool,
    orders: bool,
    instances: bool,
    lead: bool,
}

struct Follower {
    shared: Arc<Shared>,
    store: Rc<dyn Store>,
    fleet: Fleet,
    known: Known,
    engines: Engines,
    ordered: Ordered,
    lead: Option<LeaseRecord>,
    /// Revision of the configuration that is in force.
    config: u64,
    failures: u32,
    /// When the last call failed.
    failed: Option<Time>,
    /// How long the next watch waits before it begins.
    rest: Duration,
    /// Whether all up to the known revision was taken in, and the store still tells what follows it.
    complete: bool,
    startup: Startup,
}

/// How long one of `askers` instances waits after a peer reported changes, before it fetches them in one batch.
///
/// Guards against every change making each instance process a list as long as the fleet, which keeps the smallest instances
/// from serving for half a minute when hundreds of instances start or engines come and go.
pub fn rest(askers: usize) -> Duration {
    let askers = u32::try_from(askers).unwrap_or(u32::MAX);
    let rest = Duration::from_secs(1) / MAX_QUESTIONS_PER_SECOND;
    rest.saturating_mul(askers).min(LONGEST_REST)
}

/// How long a watcher waits after changes before it watches again.
///
/// Guards against each of the frequent updates of engine entries ending the watch of every watcher.
fn watcher_rest(bound: ApplyLimit) -> Duration {
    let rest = bound.0.mul_f64(rand::rng().random_range(GATHER));
    rest.min(LONGEST_WATCHER_REST)
}

fn may_be_truncated(changes: &[Change]) -> bool {
    let size = |change: &Change| match change {
        Change::Put(item) => item.value.len(),
        Change::Removed { .. } => 0,
    };
    changes.len() >= TRUNCATION_CHANGES || changes.iter().map(size).sum::<usize>() >= TRUNCATION_BYTES
}

/// Follows until the process ends.
pub async fn run(shared: Arc<Shared>, store: Rc<dyn Store>, fleet: Fleet, known: Known) {
    let mut follower = Follower {
        shared,
        store,
        fleet,
        known,
        engines: Engines::new(),
        ordered: Ordered::default(),
        lead: None,
        config: 0,
        failures: 0,
        failed: None,
        rest: Duration::ZERO,
        complete: false,
        startup: Startup::new(clock::now()),
    };
    loop {
        follower.step().await;
    }
}

impl Follower {
    /// Asks the store, or listens to the peers until one knows more or too much time has passed.
    async fn step(&mut self) {
        let now = clock::now();
        self.on_heard(now);
        if self.startup.is_joining() && self.known.revision() == 0 {
            return self.join(now).await;
        }
        let tuning = self.shared.tuning();
        let duty = self.known.duty(self.fleet.seat(), tuning.bound, now);
        let prove = self
            .shared
            .proof_limit()
            .map(|limit| self.known.prove_at(self.fleet.seat(), limit));
        let asked = match (duty, prove) {
            (WatchAction::Listen(_), Some(at)) if now >= at && self.complete => self.prove().await,
            (WatchAction::Listen(until), at) => {
                return self.listen(at.map_or(until, |at| until.min(at))).await;
            }
            (WatchAction::Watch, _) if self.complete => {
                self.log_unconfirmed(now);
                self.watch(self.known.revision()).await
            }
            (WatchAction::Watch, _) => self.read().await,
        };
        self.on_result(asked).await;
    }

    /// Handles the result of a call to the store.
    async fn on_result(&mut self, result: Result<(), StoreError>) {
        self.complete = result.is_ok() && self.known.revision() > 0;
        match result {
            Ok(()) => self.on_success(),
            Err(error) => self.on_failure(&error).await,
        }
    }

    /// An instance that should listen and watches all the same has not heard of the store for too long.
    fn log_unconfirmed(&self, now: Time) {
        if self.fleet.seat().is_watcher() {
            return;
        }
        let age = self.known.word(now).map(SyncStatus::age_millis);
        log_event!(
            info,
            log_event::UNCONFIRMED,
            age,
            revision = self.known.revision()
        );
    }

    /// Reads everything, page by page.
    async fn read(&mut self) -> Result<(), StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut revision = u64::MAX;
        let sent = clock::now();
        loop {
            let after = items.last().map_or("", |item| &item.key);
            let page = self.store.range(ALL, after).await?;
            // Pages are no snapshot: what changed after the first one is in the watch that follows.
            revision = revision.min(page.revision);
            let last = page.items.is_empty();
            items.extend(page.items);
            if !page.more || last {
                break;
            }
            if self.startup.defer_large_read() {
                return Ok(());
            }
        }
        self.on_all(revision, &items);
        self.known.on_answer(clock::now(), sent, Duration::ZERO, revision);
        self.known.on_proof(sent);
        Ok(())
    }

    /// Asks the store for what happened since, without waiting for more: nobody else has proved in time that what is
    /// known is all there is.
    async fn prove(&mut self) -> Result<(), StoreError> {
        let revision = self.known.revision();
        let sent = clock::now();
        let changes = self.store.watch(ALL, revision, LOOK).await?;
        if let Some(revision) = self.on_watch_answer(changes, revision) {
            self.known.on_answer(clock::now(), sent, LOOK, revision);
            self.known.on_proof(sent);
        }
        Ok(())
    }

    async fn watch(&mut self, revision: u64) -> Result<(), StoreError> {
        let pause = std::mem::take(&mut self.rest);
        self.pass(pause).await;
        // A watch that falls silent is found out as soon as without the rest.
        let wait = self.shared.tuning().bound.watch_timeout().saturating_sub(pause);
        let watch = self.store.clone();
        let sent = clock::now();
        let mut watch = watch.watch(ALL, revision, wait);
        let fleet = self.fleet.clone();
        let changes = loop {
            tokio::select! {
                changes = &mut watch => break changes?,
                () = tokio::time::sleep(TICK), if self.engines.has_missing() => self.on_tick(),
                // Others watch for it again, and know more by now.
                () = fleet.news() => if !fleet.seat().is_watcher() {
                    self.ask_peer().await;
                    return Ok(());
                }
            }
        };
        let is_quiet = changes.changes.is_empty();
        let Some(revision) = self.on_watch_answer(changes, revision) else {
            return Ok(());
        };
        let now = clock::now();
        if !is_quiet {
            self.rest = watcher_rest(self.shared.tuning().bound);
        }
        self.known.on_answer(now, sent, wait, revision);
        self.known
            .on_proof(watchers::proven_until(now, sent, wait, is_quiet));
        Ok(())
    }

    /// Applies the answer to a watch for changes after the revision `since`. Returns the revision up to which all
    /// changes are known, or `None` if the answer may be truncated: such an answer confirms and proves nothing.
    fn on_watch_answer(&mut self, changes: Changes, since: u64) -> Option<u64> {
        let is_complete = !may_be_truncated(&changes.changes);
        let revision = changes.revision.max(since);
        self.on_changes(changes.changes);
        if !is_complete {
            self.known
                .on_news(clock::now(), SyncStatus::new(revision, u32::MAX));
        }
        is_complete.then_some(revision)
    }

    /// Takes in what has changed, in the order in which it did.
    fn on_changes(&mut self, changes: Vec<Change>) {
        let mut changed = Changed::default();
        for change in changes {
            self.known.on_change(self.shared.translate.keys(), &change);
            self.on_change(change, &mut changed);
        }
        self.publish(&changed);
    }

    /// Lets time pass; engines whose entry is missing are looked through meanwhile.
    async fn pass(&mut self, time: Duration) {
        let until = clock::now() + time;
        loop {
            let left = until.since(clock::now());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(TICK)).await;
            if self.engines.has_missing() {
                self.on_tick();
            }
        }
    }

    fn on_all(&mut self, revision: u64, items: &[Item]) {
        let now = clock::now();
        self.known.on_all(self.shared.translate.keys(), revision, items);
        let entries = items.iter().filter_map(|item| self.entry(item));
        let entries: Vec<(u64, Entry)> = entries.collect();
        let engines = self.engines.on_snapshot(now, revision, entries);
        self.ordered
            .on_all(now, self.shared.translate.as_ref(), revision, items);
        for item in items {
            self.on_config(item);
        }
        let translate = self.shared.translate.as_ref();
        self.lead = items.iter().find_map(|item| lead::record(translate, item));
        self.publish(&Changed {
            engines,
            orders: true,
            instances: false,
            lead: true,
        });
        self.fleet.on_listed(register::listings(&self.shared, items));
    }

    fn on_change(&mut self, change: Change, changed: &mut Changed) {
        let now = clock::now();
        let news = match &change {
            Change::Put(item) => {
                self.on_config(item);
                let translate = self.shared.translate.as_ref();
                changed.orders |= self.ordered.on_item(now, translate, item);
                if let Some(record) = lead::record(translate, item) {
                    self.lead = Some(record);
                    changed.lead = true;
                }
                changed.instances |= self.fleet.on_item(register::listing(&self.shared, item));
                self.entry(item).map(|(at, entry)| EngineUpdate::Entry(at, entry))
            }
            Change::Removed { key, revision } => {
                let translate = self.shared.translate.as_ref();
                changed.orders |= self.ordered.on_removed(translate, key);
                let is_lead = *key == translate.keys().leader;
                if is_lead && self.lead.as_ref().is_some_and(|lead| lead.revision < *revision) {
                    self.lead = None;
                    changed.lead = true;
                }
                changed.instances |= self.fleet.on_removed(register::name(&self.shared, key));
                let id = self.shared.translate.engine_id(key);
                id.map(|id| EngineUpdate::Removed(*revision, id.to_string()))
            }
        };
        changed.engines |= news.is_some_and(|news| self.engines.on_update(now, news));
    }

    fn on_tick(&mut self) {
        if self.engines.on_tick(clock::now()) {
            self.publish_engines();
        }
    }

    /// An entry that can't be read names no engine; it doesn't stop the others.
    fn entry(&self, item: &Item) -> Option<(u64, Entry)> {
        self.shared.translate.engine_id(&item.key)?;
        match self.shared.translate.engine(item) {
            Ok(entry) => Some((item.revision, entry)),
            Err(error) => {
                log_event!(warn, log_event::ENTRY_UNREADABLE, key = %item.key, revision = item.revision, %error);
                None
            }
        }
    }

    fn on_config(&mut self, item: &Item) {
        if item.key != self.shared.translate.keys().config || item.revision <= self.config {
            return;
        }
        match self.shared.translate.config(&item.value) {
            Ok(table) => self.install(item.revision, table),
            Err(error) => {
                log_event!(error, log_event::CONFIG_UNREADABLE, revision = item.revision, %error);
            }
        }
    }

    /// Versions never go back, whoever offers them.
    fn install(&mut self, revision: u64, table: RoutingTable) {
        let before = self.shared.view.load().table.version;
        if table.version < before {
            log_event!(warn, log_event::CONFIG_STALE, before, offered = table.version);
            return;
        }
        self.config = revision;
        let version = table.version;
        self.shared.publish(|view| view.table = Arc::new(table));
        self.fleet.on_version(version);
        log_event!(
            info,
            log_event::CONFIG_IN_FORCE,
            before,
            after = version,
            revision
        );
    }

    fn publish(&self, changed: &Changed) {
        if changed.engines {
            self.publish_engines();
        }
        if changed.orders {
            let ordered = Arc::new(self.ordered.clone());
            self.shared.publish(|view| view.ordered = ordered);
        }
        if changed.lead {
            let lead = self.lead.clone();
            self.shared.publish(|view| view.lead = lead);
        }
        if changed.instances {
            self.fleet.relist();
        }
    }

    fn publish_engines(&self) {
        let engines = self.engines.available();
        let count = self.engines.len();
        self.shared.publish(|view| view.set_engines(engines));
        let view = self.shared.view.load();
        let known: BTreeSet<EngineKey> = view.keys().values().copied().collect();
        self.shared.ledger().book.retain(|key| known.contains(&key));
        log_event!(
            info,
            log_event::ENGINES_CHANGED,
            known = count,
            open = known.len()
        );
    }

    fn on_success(&mut self) {
        self.on_confirmed();
        if self.failures > 0 {
            log_event!(info, log_event::KV_BACK, failures = self.failures);
        }
        self.failures = 0;
        self.on_tick();
    }

    /// Shows how old what is known may be.
    fn on_confirmed(&self) {
        let now = clock::now();
        if let Some(age) = self.known.age(now) {
            self.shared.on_store(now - age);
        }
    }

    async fn on_failure(&mut self, error: &StoreError) {
        if *error == StoreError::Compacted {
            log_event!(info, log_event::KV_RESOLVED, %error);
            return;
        }
        if self.failures == 0 {
            log_event!(warn, log_event::KV_FAILED, %error, call = "follow");
        }
        let now = clock::now();
        self.engines.on_store_failure(now);
        self.failed = Some(now);
        let longest = match self.fleet.seat().is_watcher() {
            true => LONGEST,
            false => LONGEST_LISTENER,
        };
        let pause = PAUSE.saturating_mul(1 << self.failures.min(8)).min(longest);
        self.failures += 1;
        self.ask_peer().await;
        let pause = pause.mul_f64(0.5 + rand::rng().random::<f64>());
        self.pass(pause).await;
    }
}
