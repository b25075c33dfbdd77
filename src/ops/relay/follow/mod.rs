//! Follows the configuration, the engines and the other records in the store.
//!
//! One watch covers all of them. It is resumed from the revision of its last answer. Failures guarded against: history
//! that is no longer kept, an interrupted watch, and one that stays silent on a connection that appears alive. After
//! each of them, everything is read again, from the store itself and not from a replica that lags. A silent watch is
//! detected after at most [`ApplyLimit::watch_timeout`] and the store client's answer timeout (see
//! [`sequoiastream_kv::store`]).
//!
//! Only a few instances watch, see [`watchers`]: the others rely on the messages of their peers, and fetch changes from
//! a peer that is ahead.

mod join;
mod listen;
mod read;
mod snapshot;
mod unreadable;

use std::cell::LazyCell;
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
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::watchers;
use sequoiastream_core::relay::watchers::ApplyLimit;
use sequoiastream_core::relay::watchers::ConfirmationId;
use sequoiastream_core::relay::watchers::ConfirmedStatus;
use sequoiastream_core::relay::watchers::WatchAction;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Change;
use sequoiastream_kv::store::Changes;
use sequoiastream_kv::store::Item;
use sequoiastream_kv::store::RESPONSE_TIMEOUT;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;

use crate::log_event;
use crate::ops::relay::crash_store;
use crate::ops::relay::follow::join::Startup;
use crate::ops::relay::follow::read::PartialRead;
use crate::ops::relay::follow::unreadable::UnreadableKeys;
use crate::ops::relay::known::StoreReplica;
use crate::ops::relay::lead;
use crate::ops::relay::orders::OrderRecords;
use crate::ops::relay::peers::Fleet;
use crate::ops::relay::register;
use crate::ops::relay::shared::Shared;
use crate::ops::relay::version_record;
use crate::util::clock;

/// Interval at which engines whose entry is missing are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How long peers may be ahead of an instance whose own watch is open: then the watch is taken for silent, and a peer is
/// asked. Watches of different instances are answered within less.
const MAX_PEER_LEAD: Duration = Duration::from_millis(150);

/// Maximum number of requests per second that all instances together send to their peers.
const MAX_REQUESTS_PER_SECOND: u32 = 200;

/// Longest time that an instance waits after it has fetched changes from a peer, to fetch later ones in one batch.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(500);

/// Range of the time for which a watcher batches changes, as a fraction of the time within which a change must be
/// applied. It is shorter than the wait of a watch, so that a silent watch is detected no later; random, so that the
/// watchers don't all call the store at the same time.
const WATCHER_BATCH_FRACTION: std::ops::Range<f64> = 0.08..0.12;

/// Longest time that a watcher batches changes.
const MAX_WATCHER_BATCH_DELAY: Duration = Duration::from_secs(2);

/// Number of changes from which the answer of a watch may be truncated. The store returns about five hundred changes or
/// a megabyte at once. Such an answer does not prove that the instance is up to date, and the next watch begins at
/// once.
///
/// Guards against an instance that pauses after each answer while ten thousand engines register: it would know them
/// half a minute late, and treat each truncated answer as complete.
const TRUNCATION_CHANGES: usize = 250;

/// Total size of the changed values, in bytes, from which the answer of a watch may be truncated.
const TRUNCATION_BYTES: usize = 256 * 1024;

/// How long the store may wait for a change when it is polled.
const POLL_WAIT: Duration = Duration::from_millis(1);

/// The prefix of the keys that are read and watched: all keys.
const ALL_KEYS: &str = "";

/// Parts of the view that an answer of the store has changed. Each is published once per answer: when a fleet starts,
/// an answer contains hundreds of changes, and each published copy is as long as the fleet.
#[derive(Debug, Default)]
struct Changed {
    engines: bool,
    orders: bool,
    instances: bool,
    lead: bool,
}

/// Follows the store for one instance.
struct Follower {
    shared: Arc<Shared>,
    store: Rc<dyn Store>,
    fleet: Fleet,
    known: StoreReplica,
    engines: Engines,
    ordered: OrderRecords,
    /// Lease of the instance that acts for the fleet.
    lead: Option<LeaseRecord>,
    /// Revision of the configuration that is in force.
    config_revision: Revision,
    /// Number of calls that failed since the last success.
    failures: u32,
    /// When the last call failed.
    last_failure: Option<Time>,
    /// Delay before the next watch, in which changes are batched.
    watch_delay: Duration,
    /// Whether all changes up to the known revision were applied and the store still has the history after it, so that
    /// a watch can resume there.
    complete: bool,
    /// Pages that were read before a call to the store failed.
    partial: Option<PartialRead>,
    unreadable: UnreadableKeys,
    startup: Startup,
}

/// How long each of `instances` instances waits after it has fetched changes from a peer, before it fetches later ones
/// in one batch.
///
/// Guards against each instance processing a list as long as the fleet at every change, which keeps the smallest
/// instances from serving for half a minute when hundreds of instances start or engines come and go.
pub fn batch_delay(instances: usize) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    let delay = Duration::from_secs(1) / MAX_REQUESTS_PER_SECOND;
    delay.saturating_mul(instances).min(MAX_BATCH_DELAY)
}

/// How long a watcher waits after an answer with changes before it watches again.
///
/// Guards against the watch of every watcher ending at each of the frequent updates of engine entries.
fn watcher_batch_delay(bound: ApplyLimit) -> Duration {
    let delay = bound.0.mul_f64(rand::rng().random_range(WATCHER_BATCH_FRACTION));
    delay.min(MAX_WATCHER_BATCH_DELAY)
}

/// Whether the store may have more changes than the answer contains.
fn may_be_truncated(changes: &[Change]) -> bool {
    let size = |change: &Change| match change {
        Change::Put(item) => item.value.len(),
        Change::Removed { .. } => 0,
    };
    changes.len() >= TRUNCATION_CHANGES || changes.iter().map(size).sum::<usize>() >= TRUNCATION_BYTES
}

/// Asks the store for all changes after `known`, without waiting for further ones; `None` if it may have more than the answer
/// contains.
///
/// # Errors
///
/// [`StoreError::Compacted`] if the store has no history from there, also because it is of another epoch.
pub(super) async fn poll_changes(store: &dyn Store, known: Revision) -> Result<Option<Changes>, StoreError> {
    let changes = store.watch(ALL_KEYS, known, POLL_WAIT).await?;
    if changes.revision.epoch != known.epoch {
        return Err(StoreError::Compacted);
    }
    Ok((!may_be_truncated(&changes.changes)).then_some(changes))
}

/// Follows the store until the process ends.
pub async fn run(shared: Arc<Shared>, store: Rc<dyn Store>, fleet: Fleet, known: StoreReplica) {
    let mut follower = Follower {
        shared,
        store,
        fleet,
        known,
        engines: Engines::new(),
        ordered: OrderRecords::default(),
        lead: None,
        config_revision: Revision::ZERO,
        failures: 0,
        last_failure: None,
        watch_delay: Duration::ZERO,
        complete: false,
        partial: None,
        unreadable: UnreadableKeys::default(),
        startup: Startup::new(clock::now()),
    };
    loop {
        follower.step().await;
    }
}

impl Follower {
    /// Calls the store, or waits until a peer is ahead or the last confirmation becomes too old.
    async fn step(&mut self) {
        let now = clock::now();
        self.on_tick();
        self.detect_recovery(now);
        if self.startup.is_joining() && self.known.revision().is_zero() {
            return self.join(now).await;
        }
        let tuning = self.shared.reloadable();
        let action = self
            .known
            .watch_action(self.fleet.watch_rank(), tuning.apply_limit, now);
        let poll_at = self
            .shared
            .max_proof_age()
            .map(|limit| self.known.store_proof_due(self.fleet.watch_rank(), limit));
        let result = match (action, poll_at) {
            (WatchAction::Listen(_), Some(at)) if now >= at && self.complete => self.poll().await,
            (WatchAction::Listen(until), at) => {
                return self.listen(at.map_or(until, |at| until.min(at))).await;
            }
            (WatchAction::Watch, _) if self.complete => {
                self.log_unconfirmed(now);
                self.watch(self.known.revision()).await
            }
            (WatchAction::Watch, _) => self.read_all().await,
        };
        self.on_result(result).await;
    }

    /// Handles the result of a call to the store.
    async fn on_result(&mut self, result: Result<(), StoreError>) {
        self.complete = result.is_ok() && !self.known.revision().is_zero();
        match result {
            Ok(()) => self.on_success(),
            Err(error) => self.on_failure(&error).await,
        }
    }

    /// Logs that an instance that is no watcher watches the store, because its last confirmation is too old.
    fn log_unconfirmed(&self, now: Time) {
        if self.fleet.watch_rank().is_watcher() {
            return;
        }
        let age = self.known.sync_status(now).map(|s| s.status.age_millis());
        log_event!(
            info,
            log_event::UNCONFIRMED,
            age,
            revision = %self.known.revision()
        );
    }

    /// Asks the store for the changes since the known revision, without waiting for further ones. Called when no peer
    /// has proven in time that all changes are known.
    async fn poll(&mut self) -> Result<(), StoreError> {
        let revision = self.known.revision();
        let sent = clock::now();
        let changes = self.store.watch(ALL_KEYS, revision, POLL_WAIT).await?;
        self.on_poll_answer(sent, changes, revision)
    }

    /// Applies the answer to a watch for changes after the revision `since` that was sent at `sent` and did not wait.
    fn on_poll_answer(&mut self, sent: Time, changes: Changes, since: Revision) -> Result<(), StoreError> {
        if let Some(revision) = self.on_watch_answer(changes, since)? {
            self.known
                .on_store_answer(clock::now(), sent, POLL_WAIT, revision);
            self.known.on_proof(sent);
        }
        Ok(())
    }

    /// Watches the store for changes after `revision` and applies them.
    async fn watch(&mut self, revision: Revision) -> Result<(), StoreError> {
        let delay = std::mem::take(&mut self.watch_delay);
        self.wait(delay).await;
        let limit = self.shared.reloadable().apply_limit;
        let store = self.store.clone();
        let sent = clock::now();
        // The timeout is shorter by the delay, so that a silent watch is detected as early as without it.
        let wait = limit.watch_timeout().saturating_sub(delay);
        let wait = self.known.watch_wait(limit, sent, wait).max(POLL_WAIT);
        let mut watch = store.watch(ALL_KEYS, revision, wait);
        let fleet = self.fleet.clone();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        let mut overtaken_at = None;
        let changes = loop {
            tokio::select! {
                changes = &mut watch => break changes?,
                _ = ticks.tick(), if self.engines.has_missing() => self.on_tick(),
                () = fleet.wait_for_update() => {
                    // Other instances watch on behalf of this one again, or its own watch is silent.
                    let is_listener = !fleet.watch_rank().is_watcher();
                    if is_listener || self.is_watch_silent(&mut overtaken_at) {
                        let is_updated = self.ask_peer(clock::now()).await;
                        // Otherwise the watch may still be answered, and fails in time if not.
                        if is_listener || is_updated {
                            return Ok(());
                        }
                        overtaken_at = None;
                    }
                }
            }
        };
        let is_quiet = changes.changes.is_empty();
        let Some(revision) = self.on_watch_answer(changes, revision)? else {
            return Ok(());
        };
        let now = clock::now();
        if !is_quiet {
            self.watch_delay = watcher_batch_delay(self.shared.reloadable().apply_limit);
        }
        self.known.on_store_answer(now, sent, wait, revision);
        self.known
            .on_proof(watchers::proven_until(now, sent, wait, is_quiet));
        Ok(())
    }

    /// Whether peers have been ahead for so long that the open watch must be silent. `overtaken_at` is when the first one
    /// was found ahead.
    fn is_watch_silent(&self, overtaken_at: &mut Option<Time>) -> bool {
        if !self.fleet.is_overtaken(self.known.revision()) {
            *overtaken_at = None;
            return false;
        }
        let now = clock::now();
        now.since(*overtaken_at.get_or_insert(now)) >= MAX_PEER_LEAD
    }

    /// Applies the answer to a watch for changes after the revision `since`. Returns the revision up to which all
    /// changes are known, or `None` if the answer may be truncated: such an answer confirms and proves nothing.
    ///
    /// # Errors
    ///
    /// [`StoreError::Compacted`] if the store is of another epoch than `since`: it has no history from there.
    fn on_watch_answer(&mut self, changes: Changes, since: Revision) -> Result<Option<Revision>, StoreError> {
        if changes.revision.epoch != since.epoch {
            return Err(StoreError::Compacted);
        }
        self.unreadable.on_items(&changes.unreadable);
        let is_complete = !may_be_truncated(&changes.changes);
        let revision = changes.revision.max(since);
        self.on_changes(clock::now(), changes.changes);
        if !is_complete {
            let unconfirmed = ConfirmedStatus::new(revision, u32::MAX, ConfirmationId::default());
            self.known.on_peer_changes(clock::now(), unconfirmed);
        }
        Ok(is_complete.then_some(revision))
    }

    /// Applies changes, in the order in which they occurred. They show the state of the store as of `latest`.
    fn on_changes(&mut self, latest: Time, changes: Vec<Change>) {
        self.distrust_removals(latest);
        let mut changed = Changed::default();
        for change in changes {
            self.known.on_change(self.shared.translate.keys(), &change);
            self.on_change(change, &mut changed);
        }
        self.publish(&changed);
    }

    /// Waits for `time`, and checks engines whose entry is missing meanwhile.
    async fn wait(&mut self, time: Duration) {
        let until = clock::now() + time;
        loop {
            let left = until.since(clock::now());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(TICK_INTERVAL)).await;
            if self.engines.has_missing() {
                self.on_tick();
            }
        }
    }

    /// Applies a change, and notes in `changed` what is to be published.
    fn on_change(&mut self, change: Change, changed: &mut Changed) {
        let now = clock::now();
        let update = match &change {
            Change::Put(item) => {
                self.on_config(item);
                self.on_versions(item);
                crash_store::on_items(&self.shared, std::slice::from_ref(item));
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
                self.unreadable.on_readable(key);
                let translate = self.shared.translate.as_ref();
                changed.orders |= self.ordered.on_removed(translate, key, *revision);
                let is_lead = *key == translate.keys().leader;
                if is_lead && self.lead.as_ref().is_some_and(|lead| lead.revision < *revision) {
                    self.lead = None;
                    changed.lead = true;
                }
                changed.instances |= self.fleet.on_removed(register::name(&self.shared, key));
                let id = self.shared.translate.engine_id(key);
                if id.is_some_and(|id| !self.engines.has_known(id)) {
                    self.on_unseen_engine();
                }
                id.map(|id| EngineUpdate::Removed(*revision, id.to_string()))
            }
        };
        changed.engines |= update.is_some_and(|update| self.engines.on_update(now, update));
    }

    /// Notes that an engine has registered and left, or may have, of which this instance has not known the version.
    fn on_unseen_engine(&self) {
        self.shared.traffic().history.on_gap(clock::now());
        self.shared.on_history_changed();
    }

    /// Publishes the engines if any of them was removed because its entry did not come back in time.
    fn on_tick(&mut self) {
        if self.engines.on_tick(clock::now()) {
            self.log_departures();
            self.publish_engines();
        }
    }

    /// Decodes the entry of an engine, with its revision; `None` for other items, and for an entry that can't be decoded:
    /// what was known of its engine still holds, and other engines are not affected.
    fn entry(&mut self, item: &Item) -> Option<(Revision, Entry)> {
        self.shared.translate.engine_id(&item.key)?;
        match self.shared.translate.engine(item) {
            Ok(entry) => {
                self.unreadable.on_readable(&item.key);
                Some((item.revision, entry))
            }
            Err(error) => {
                if self.unreadable.is_new(&item.key) {
                    log_event!(warn, log_event::ENTRY_UNREADABLE, key = %item.key, revision = %item.revision, %error);
                }
                None
            }
        }
    }

    /// Installs the configuration if the item is a newer one.
    fn on_config(&mut self, item: &Item) {
        if item.key != self.shared.translate.keys().config || item.revision <= self.config_revision {
            return;
        }
        match self.shared.translate.config(&item.value) {
            Ok(table) => self.install(item.revision, table),
            Err(error) => {
                log_event!(error, log_event::CONFIG_UNREADABLE, revision = %item.revision, %error);
            }
        }
    }

    /// Handles the record of the versions of the engines if the item is that.
    fn on_versions(&self, item: &Item) -> bool {
        let Some(record) = version_record::record(&self.shared.translate.keys().versions, item) else {
            return false;
        };
        self.shared.traffic().history.on_record(clock::now(), &record);
        self.shared.on_history_changed();
        true
    }

    /// Puts a configuration into force, unless its version is lower than that of the current one: versions never go
    /// backwards, wherever a configuration comes from.
    fn install(&mut self, revision: Revision, table: RoutingTable) {
        let before = self.shared.view.load().table.version;
        if table.version < before {
            log_event!(warn, log_event::CONFIG_STALE, before, offered = table.version);
            return;
        }
        self.config_revision = revision;
        let version = table.version;
        let routes: BTreeSet<&str> = table.routes().map(|route| route.name.as_str()).collect();
        let mut ledger = self.shared.traffic();
        ledger.load.stream_lengths.retain(|route| routes.contains(route));
        drop(ledger);
        self.shared.publish(|view| view.table = Arc::new(table));
        self.fleet.on_version(version);
        log_event!(
            info,
            log_event::CONFIG_IN_FORCE,
            before,
            after = version,
            %revision
        );
    }

    /// Publishes the parts that have changed.
    fn publish(&mut self, changed: &Changed) {
        self.log_departures();
        if changed.engines {
            self.publish_engines();
        }
        if changed.orders {
            let ordered = Arc::new(self.ordered.clone());
            self.shared.publish(|view| view.orders = ordered);
        }
        if changed.lead {
            let lead = self.lead.clone();
            self.shared.publish(|view| view.leader = lead);
        }
        if changed.instances {
            self.fleet.apply_list();
        }
    }

    /// Logs which engines have departed, and how long before that the store was last known to have nothing newer: what an
    /// instance learns late is told from what it keeps on purpose.
    fn log_departures(&mut self) {
        let age = self.known.age(clock::now()).map(|age| age.as_millis() as u64);
        for (engine, departure) in self.engines.take_departures() {
            let how = departure.label();
            log_event!(
                info,
                log_event::ENGINE_DEPARTED,
                engine,
                how,
                age,
                failures = self.failures
            );
        }
    }

    /// Publishes the engines that may get work, and drops the load of those that are no longer known.
    fn publish_engines(&mut self) {
        let engines = self.engines.available();
        let count = self.engines.len();
        let versions = self.engines.take_versions();
        self.shared.publish(|view| {
            view.set_engines(engines);
            view.add_versions(versions);
        });
        let view = self.shared.view.load();
        let known: BTreeSet<EngineKey> = view.keys().values().copied().collect();
        self.remove_absent_engines(&known);
        log_event!(
            info,
            log_event::ENGINES_CHANGED,
            known = count,
            open = known.len()
        );
    }

    /// Removes the load of engines whose keys are not in `known`, and the notices of engines that have long been
    /// absent.
    fn remove_absent_engines(&self, known: &BTreeSet<EngineKey>) {
        // Only needed if there are notices or limits, which is rare.
        let incarnations = LazyCell::new(|| self.engines.incarnations());
        let mut ledger = self.shared.traffic();
        ledger.load.retain(|key| known.contains(&key));
        ledger.hedging.races.retain(|key| known.contains(&key));
        ledger.reachability.retain(|key| known.contains(&key));
        ledger
            .notices
            .retain(clock::now(), |engine| incarnations.contains(&engine));
        ledger
            .rate_limits
            .retain(clock::now(), |engine| incarnations.contains(&engine));
    }

    fn on_success(&mut self) {
        self.on_confirmed();
        if self.failures > 0 {
            log_event!(info, log_event::KV_BACK, failures = self.failures);
        }
        self.failures = 0;
        self.on_tick();
    }

    /// Publishes when the store last confirmed what is known of it.
    fn on_confirmed(&self) {
        let now = clock::now();
        if let Some(age) = self.known.age(now) {
            self.shared.on_store_answer(now - age);
        }
    }

    /// Handles a failed call to the store: asks a peer instead, then listens to peers until the next call is due, with
    /// exponential backoff and jitter. If the store no longer has the history of a watch, everything is read again at
    /// once.
    async fn on_failure(&mut self, error: &StoreError) {
        if *error == StoreError::Compacted {
            log_event!(info, log_event::KV_RESOLVED, %error);
            return;
        }
        if self.failures == 0 {
            log_event!(warn, log_event::KV_FAILED, %error, call = "follow");
        }
        let now = clock::now();
        self.last_failure = Some(now);
        let limit = self.shared.reloadable().apply_limit;
        let pause = limit.backoff(
            self.fleet.watch_rank(),
            self.failures,
            RESPONSE_TIMEOUT,
            rand::random(),
        );
        self.failures += 1;
        let next_call = now + pause;
        self.ask_peer(next_call).await;
        self.listen_during_pause(next_call).await;
    }
}
