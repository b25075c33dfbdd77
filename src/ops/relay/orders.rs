//! Giving engines their one order, as [`sequoiastream_core::relay::stages`] plans.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::header;
use http_body_util::Full;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::records::AbsentEngines;
use sequoiastream_core::relay::stages::StageOrder;
use sequoiastream_core::relay::stages::limit_prefill_fraction;
use sequoiastream_core::relay::stages::plan_orders;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Item;
use sequoiastream_kv::store::Put;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;
use sequoiastream_kv::store::Write;
use sequoiastream_upstream::channel::Pool;
use sequoiastream_upstream::channel::call;
use serde::Deserialize;
use serde::Serialize;

use crate::log_event;
use crate::ops::relay::edge::Translate;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Time between two looks at the plan.
const LOOK: Duration = Duration::from_millis(500);

/// Longest time for which an engine is left alone after its order: the longest answers take some seconds, the change
/// three. An order that is carried out later still shows by the engine's declining.
const CHANGE: Duration = Duration::from_secs(8);

/// Looks for which the engines must have stayed the same before any gets an order.
const STEADY: u32 = 3;

/// How long an engine's answer to an order is waited for.
const ANSWER: Duration = Duration::from_secs(2);

/// Records removed in one look: the store takes few writes a second.
const MAX_FORGOTTEN: usize = 4;

/// Longest answer to an order, in bytes.
const MAX_ANSWER: usize = 64 * 1024;

/// Who gives an engine its order, and which.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    holder: String,
    reader: bool,
}

/// When the record of an order was first seen, and at which revision of the store.
#[derive(Debug, Clone, Copy)]
struct Seen {
    at: Time,
    revision: u64,
}

/// The records of orders, as the store shows them.
#[derive(Debug, Clone, Default)]
pub struct Ordered {
    stages: BTreeMap<String, Stage>,
    seen: BTreeMap<String, Seen>,
    /// When the last order was first seen.
    latest: Option<Time>,
}

impl Ordered {
    /// Takes an item of the store; whether it is the record of an order. One that can't be read counts as an order too,
    /// so that no second is given.
    pub fn on_item(&mut self, now: Time, translate: &dyn Translate, item: &Item) -> bool {
        let Some(id) = item.key.strip_prefix(translate.keys().orders.as_str()) else {
            return false;
        };
        let stage = match serde_json::from_slice::<Record>(&item.value) {
            Ok(record) if record.reader => Stage::Prefill,
            Ok(_) => Stage::Decode,
            Err(error) => {
                log_event!(warn, log_event::ENTRY_UNREADABLE, key = %item.key, revision = item.revision, %error);
                Stage::Whole
            }
        };
        self.stages.insert(id.to_string(), stage);
        let revision = item.revision;
        let first = Seen { at: now, revision };
        let seen = self.seen.entry(id.to_string()).or_insert(first);
        seen.revision = seen.revision.max(revision);
        self.latest = Some(now);
        true
    }

    /// Takes all that the store held as of `revision`: records that it doesn't name are dropped, but later ones stay.
    pub fn on_all(&mut self, now: Time, translate: &dyn Translate, revision: u64, items: &[Item]) {
        for item in items {
            self.on_item(now, translate, item);
        }
        let prefix = translate.keys().orders.as_str();
        let named: BTreeSet<&str> = items.iter().filter_map(|i| i.key.strip_prefix(prefix)).collect();
        self.seen
            .retain(|engine, seen| named.contains(engine.as_str()) || seen.revision > revision);
        let seen = &self.seen;
        self.stages.retain(|engine, _| seen.contains_key(engine));
    }

    /// The revision of an engine's record, if it has one.
    pub fn revision(&self, engine: &str) -> Option<u64> {
        self.seen.get(engine).map(|seen| seen.revision)
    }

    /// Takes the removal of a key; whether a record was dropped.
    pub fn on_removed(&mut self, translate: &dyn Translate, key: &str) -> bool {
        let Some(engine) = key.strip_prefix(translate.keys().orders.as_str()) else {
            return false;
        };
        self.seen.remove(engine);
        self.stages.remove(engine).is_some()
    }

    /// The engines that have had their order.
    pub fn engines(&self) -> &BTreeMap<String, Stage> {
        &self.stages
    }

    /// Whether an order is so recent that an engine may be about to change its stage. Mostly none is, and requests need
    /// not look at each engine.
    pub fn may_change(&self, now: Time) -> bool {
        self.latest.is_some_and(|at| now.since(at) < CHANGE)
    }

    /// Whether an engine is about to change its stage, and declines what is sent to it.
    pub fn is_changing(&self, now: Time, entry: &Entry) -> bool {
        let differs = self
            .stages
            .get(&entry.id)
            .is_some_and(|stage| *stage != entry.stage);
        let seen = self.seen.get(&entry.id);
        differs && seen.is_some_and(|seen| now.since(seen.at) < CHANGE)
    }
}

/// Looks at the plan again and again and gives the orders that it is this instance's turn to give.
pub async fn run(shared: Arc<Shared>, store: Rc<dyn Store>) {
    let pool = Pool::new();
    let mut tried: BTreeSet<String> = BTreeSet::new();
    let mut due: BTreeMap<String, u32> = BTreeMap::new();
    let mut steady = Steady::default();
    let mut absences = AbsentEngines::new();
    loop {
        tokio::time::sleep(LOOK).await;
        if shared.is_leaving() || !shared.view.load().is_configured() {
            continue;
        }
        let is_steady = steady.is_steady(&shared);
        let orders = planned(&shared, is_steady);
        let planned: BTreeSet<&str> = orders.iter().map(|(_, o)| o.engine.as_str()).collect();
        due.retain(|engine, _| planned.contains(engine.as_str()));
        for (engine, order) in orders {
            let looks = due.entry(order.engine.clone()).or_default();
            *looks += 1;
            // The first of the live instances gives it, the next one a look later if it didn't.
            if *looks <= shared.view.load().rank || tried.contains(&order.engine) {
                continue;
            }
            tried.insert(order.engine.clone());
            if !give(&shared, store.as_ref(), &pool, &engine, &order).await {
                tried.remove(&order.engine);
            }
        }
        let gone = absent(&shared, &mut absences);
        tried.retain(|engine| !gone.contains(engine));
        if shared.view.load().rank == 0 {
            forget(&shared, store.as_ref(), &gone).await;
        }
    }
}

/// Whether the engines have stayed the same for some looks.
///
/// Failure guarded against: a fleet starts, its engines register one by one, and the plan for the first few gives an
/// engine the one order of its life that the whole fleet would not have given.
#[derive(Debug, Default)]
struct Steady {
    known: Arc<BTreeMap<String, EngineKey>>,
    looks: u32,
}

impl Steady {
    fn is_steady(&mut self, shared: &Shared) -> bool {
        let view = shared.view.load();
        if !view.keys().keys().eq(self.known.keys()) {
            self.known = view.keys().clone();
            self.looks = 0;
        }
        self.looks += 1;
        self.looks > STEADY
    }
}

/// The orders that are due. A service that was never split waits until its engines are steady; later an engine that
/// comes is split at once.
fn planned(shared: &Shared, is_steady: bool) -> Vec<(Engine, StageOrder)> {
    let view = shared.view.load();
    let ordered = view.ordered.engines();
    let capacity = view.entrances.iter().map(|e| e.capacity).sum();
    let is_split = |engines: &[Engine]| engines.iter().any(|e| ordered.contains_key(&e.entry.id));
    let engines = view
        .engines()
        .values()
        .filter(|engines| is_steady || is_split(engines));
    let orders = engines.flat_map(|engines| {
        let readers = limit_prefill_fraction(engines, ordered, shared.tuning().readers, capacity);
        let orders = plan_orders(engines, ordered, readers);
        if orders.is_empty() {
            return Vec::new();
        }
        let engines: BTreeMap<&str, &Engine> = engines.iter().map(|e| (e.entry.id.as_str(), e)).collect();
        let orders = orders.into_iter().filter_map(|order| {
            let engine = engines.get(order.engine.as_str())?;
            Some((Engine::clone(engine), order))
        });
        orders.collect::<Vec<_>>()
    });
    orders.collect()
}

/// Engines with a record that are gone for so long that nobody needs it.
fn absent(shared: &Shared, absences: &mut AbsentEngines) -> Vec<String> {
    let view = shared.view.load();
    let keys = view.keys();
    let recorded = view.ordered.engines().keys().map(String::as_str);
    let forget = shared.tuning().forget;
    absences.due(clock::now(), forget, recorded, |id| keys.contains_key(id))
}

/// Removes the records of engines that are gone; the follower hears of it as of any change.
async fn forget(shared: &Shared, store: &dyn Store, engines: &[String]) {
    let view = shared.view.load_full();
    for engine in engines.iter().take(MAX_FORGOTTEN) {
        let Some(revision) = view.ordered.revision(engine) else {
            continue;
        };
        let key = format!("{}{engine}", shared.translate.keys().orders);
        let write = Write {
            expect: vec![(key.clone(), revision)],
            puts: Vec::new(),
            removes: vec![key],
        };
        match store.write(write).await {
            Ok(_) => log_event!(info, log_event::ORDER_FORGOTTEN, %engine),
            // Another instance has removed it, or will at its next look.
            Err(error) => log_event!(debug, log_event::KV_FAILED, %error, call = "forget"),
        }
    }
}

/// Gives an engine its order, if the record of it can be created.
///
/// Failures guarded against: two instances give an engine different orders; one repeats an order that may still be on
/// its way. The record is created once and never written again, and only its creator sends, once. If the answer of
/// the store is lost, reading back tells whose record it is; if that is not known, nothing is sent.
///
/// `false` if nothing was done and it may be tried again.
async fn give(shared: &Shared, store: &dyn Store, pool: &Pool, engine: &Engine, order: &StageOrder) -> bool {
    let record = Record {
        holder: format!("{}/{}", shared.options.name, uuid::Uuid::new_v4()),
        reader: order.stage == Stage::Prefill,
    };
    let fence = match create(shared, store, &order.engine, &record).await {
        Ok(Some(fence)) => fence,
        Ok(None) => return true,
        Err(error) => {
            log_event!(warn, log_event::ORDER_UNSETTLED, engine = %order.engine, %error);
            return !matches!(error, StoreError::Refused(_));
        }
    };
    log_event!(info, log_event::ORDER_SENT, engine = %order.engine, stage = ?order.stage, fence);
    let body = shared.translate.order(order.stage, &record.holder, fence);
    match send(shared, pool, engine, body).await {
        Ok(status) => log_event!(info, log_event::ORDER_CLOSED, engine = %order.engine, status),
        Err(error) => log_event!(warn, log_event::ORDER_UNANSWERED, engine = %order.engine, error),
    }
    true
}

/// Creates the record; its revision is the fencing token. `None` if somebody else has created it.
async fn create(
    shared: &Shared,
    store: &dyn Store,
    engine: &str,
    record: &Record,
) -> Result<Option<u64>, StoreError> {
    let key = format!("{}{engine}", shared.translate.keys().orders);
    let value = serde_json::to_vec(record).map_err(|e| StoreError::Unreadable(e.to_string()))?;
    let put = Put {
        key: key.clone(),
        value: Bytes::from(value),
        lease: None,
    };
    let write = Write {
        expect: vec![(key.clone(), 0)],
        puts: vec![put],
        removes: Vec::new(),
    };
    match store.write(write).await {
        Ok(revision) => Ok(Some(revision)),
        Err(StoreError::Conflict) => Ok(None),
        Err(StoreError::Unknown(_)) => {
            let page = store.range(&key, "").await?;
            let found = page.items.into_iter().find(|item| item.key == key);
            let own = found
                .filter(|item| serde_json::from_slice::<Record>(&item.value).ok().as_ref() == Some(record));
            Ok(own.map(|item| item.revision))
        }
        Err(error) => Err(error),
    }
}

async fn send(shared: &Shared, pool: &Pool, engine: &Engine, body: String) -> Result<u16, String> {
    let address = engine.entry.address;
    let request = Request::builder()
        .method(Method::POST)
        .uri(shared.translate.paths().order.as_str())
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(
            &shared.translate.names().target_engine,
            HeaderValue::from_str(&engine.entry.id).map_err(|e| e.to_string())?,
        )
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| e.to_string())?;
    let answer = call(pool, address, request, MAX_ANSWER, ANSWER).await;
    answer.map(|a| a.status().as_u16()).map_err(|e| e.to_string())
}
