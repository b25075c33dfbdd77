//! Keeping up with the configuration and the engines.
//!
//! One watch covers both. It is resumed from the revision of its last answer. Failures guarded against: history that
//! is no longer kept, a watch that was cut, and one that stays silent on a connection that looks alive. Each ends in
//! a read of everything, which asks the store itself, not a copy that lags. The longest silence of a watch that
//! is not noticed is [`Tuning::wait`](crate::ops::relay::options::Tuning) and [`ANSWER`].

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Engines;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::News;
use sequoiastream_core::relay::routes::Table;
use sequoiastream_kv::store::Change;
use sequoiastream_kv::store::Item;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;

use crate::log_event;
use crate::ops::relay::known;
use crate::ops::relay::known::Known;
use crate::ops::relay::orders::Ordered;
use crate::ops::relay::peers::Fleet;
use crate::ops::relay::register;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Pause after the first failed call; doubles with each.
const PAUSE: Duration = Duration::from_millis(100);

/// Longest pause: with it, an instance knows within a second that the store is back.
const LONGEST: Duration = Duration::from_millis(800);

/// How often engines whose entry is missing are looked through.
const TICK: Duration = Duration::from_millis(100);

/// Watches that all instances together begin in a second at most, however often something changes: a tenth of what the
/// store's reads allow on the smallest deployment.
const WATCHES: u32 = 200;

/// Longest time by which changes wait to be fetched together: half of a watch's own wait.
const LONGEST_REST: Duration = Duration::from_millis(500);

/// Everything that begins with this is read and watched.
const ALL: &str = "";

/// What an answer of the store has changed, and is published once for all of it: a fleet that starts brings hundreds of
/// changes in one answer, and each copy is as long as the fleet.
#[derive(Debug, Default)]
struct Changed {
    engines: bool,
    orders: bool,
}

struct Follower {
    shared: Arc<Shared>,
    store: Rc<dyn Store>,
    fleet: Fleet,
    known: Known,
    engines: Engines,
    ordered: Ordered,
    /// Revision of the configuration that is in force.
    config: u64,
    failures: u32,
    /// How long the next watch waits before it begins.
    rest: Duration,
}

/// How long an instance of so many rests after a watch that brought changes.
///
/// Failure guarded against: a fleet of hundreds starts, or its engines come and go, and each single change ends the
/// watch of every instance: changes times instances calls, which the store turns away and whoever runs it charges for.
/// A watch that begins later brings what has gathered. Before 140 engines and with 84 instances it saves 68 to 77 calls
/// in a hundred, measured over three days.
pub fn rest(instances: usize) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    let rest = Duration::from_secs(1) / WATCHES;
    rest.saturating_mul(instances).min(LONGEST_REST)
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
        config: 0,
        failures: 0,
        rest: Duration::ZERO,
    };
    let mut from = None;
    loop {
        let known = match from {
            None => follower.read().await,
            Some(revision) => follower.watch(revision).await,
        };
        from = match known {
            Ok(revision) => {
                follower.on_success();
                Some(revision)
            }
            Err(error) => {
                follower.on_failure(&error).await;
                None
            }
        };
    }
}

impl Follower {
    /// Reads everything, page by page.
    async fn read(&mut self) -> Result<u64, StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut revision = u64::MAX;
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
        }
        self.on_all(revision, &items);
        Ok(revision)
    }

    async fn watch(&mut self, revision: u64) -> Result<u64, StoreError> {
        let pause = std::mem::take(&mut self.rest);
        self.pass(pause).await;
        // A watch that falls silent is found out as soon as without the rest.
        let wait = self.shared.tuning().wait.saturating_sub(pause);
        let watch = self.store.clone();
        let mut watch = watch.watch(ALL, revision, wait);
        let changes = loop {
            tokio::select! {
                changes = &mut watch => break changes?,
                () = tokio::time::sleep(TICK), if self.engines.is_waiting() => self.on_tick(),
            }
        };
        if !changes.changes.is_empty() {
            self.rest = rest(self.shared.view.load().instances);
        }
        let mut changed = Changed::default();
        for change in changes.changes {
            self.known.on_change(self.shared.translate.keys(), &change);
            self.on_change(change, &mut changed);
        }
        self.publish(&changed);
        let revision = changes.revision.max(revision);
        self.known.on_revision(revision);
        Ok(revision)
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
            if self.engines.is_waiting() {
                self.on_tick();
            }
        }
    }

    fn on_all(&mut self, revision: u64, items: &[Item]) {
        let now = clock::now();
        self.known.on_all(self.shared.translate.keys(), revision, items);
        let entries = items.iter().filter_map(|item| self.entry(item));
        let entries: Vec<(u64, Entry)> = entries.collect();
        let engines = self.engines.on_all(now, revision, entries);
        self.ordered
            .on_all(now, self.shared.translate.as_ref(), revision, items);
        for item in items {
            self.on_config(item);
        }
        let orders = true;
        self.publish(&Changed { engines, orders });
        self.fleet.on_listed(register::listings(&self.shared, items));
    }

    fn on_change(&mut self, change: Change, changed: &mut Changed) {
        let now = clock::now();
        let news = match &change {
            Change::Put(item) => {
                self.on_config(item);
                let translate = self.shared.translate.as_ref();
                changed.orders |= self.ordered.on_item(now, translate, item);
                self.fleet.on_item(register::listing(&self.shared, item));
                self.entry(item).map(|(at, entry)| News::Entry(at, entry))
            }
            Change::Removed { key, revision } => {
                let translate = self.shared.translate.as_ref();
                changed.orders |= self.ordered.on_removed(translate, key);
                self.fleet.on_removed(register::name(&self.shared, key));
                let id = self.shared.translate.engine_id(key);
                id.map(|id| News::Gone(*revision, id.to_string()))
            }
        };
        changed.engines |= news.is_some_and(|news| self.engines.on_news(now, news));
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
    fn install(&mut self, revision: u64, table: Table) {
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
    }

    fn publish_engines(&self) {
        let engines = self.engines.open();
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
        self.shared.on_store(clock::now());
        if self.failures > 0 {
            log_event!(info, log_event::KV_BACK, failures = self.failures);
        }
        self.failures = 0;
        self.on_tick();
    }

    /// Takes what a peer knows of the store, if one knows more.
    async fn ask_peer(&mut self) {
        let Some(told) = self.fleet.ask_ahead(self.known.revision()).await else {
            return;
        };
        let revision = told.revision;
        let items = known::items(told);
        self.on_all(revision, &items);
        log_event!(info, log_event::PEER_TOLD, revision, items = items.len());
    }

    async fn on_failure(&mut self, error: &StoreError) {
        if *error == StoreError::Compacted {
            log_event!(info, log_event::KV_RESOLVED, %error);
            return;
        }
        if self.failures == 0 {
            log_event!(warn, log_event::KV_FAILED, %error, call = "follow");
        }
        self.engines.on_failure(clock::now());
        let pause = PAUSE.saturating_mul(1 << self.failures.min(8)).min(LONGEST);
        self.failures += 1;
        self.ask_peer().await;
        let pause = pause.mul_f64(0.5 + rand::rng().random::<f64>());
        tokio::time::sleep(pause).await;
    }
}
