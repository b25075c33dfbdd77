//! Gives each engine its only order to change its stage, as [`sequoiastream_core::relay::stages`] plans.

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
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::stages::StageOrder;
use sequoiastream_core::relay::stages::limit_prefill_fraction;
use sequoiastream_core::relay::stages::plan_orders;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Item;
use sequoiastream_kv::store::Put;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;
use sequoiastream_kv::store::Write;
use sequoiastream_upstream::channel;
use sequoiastream_upstream::delivery;
use sequoiastream_upstream::delivery::DeliveryError;
use sequoiastream_upstream::delivery::Permit;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::log_event;
use crate::ops::relay::edge::Translate;
use crate::ops::relay::shared::AnswerHead;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Time between two checks of the plan.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time after its order for which an engine gets no requests: the longest answers take a few seconds, and the
/// change takes three. If an order is carried out later than that, the engine still shows it by declining requests.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum time after its arrival at which an engine carries an order out.
const MAX_EXECUTION_DELAY: Duration = Duration::from_secs(12);

/// Time after a restoration of the store in which no orders are given: a record that was lost with it may be that of an order
/// that is on its way, or that its engine has not carried out yet.
const RESTORATION_PAUSE: Duration = ORDER_TIMEOUT.saturating_add(MAX_EXECUTION_DELAY);

/// Number of checks for which the engines must have stayed the same before any of them gets an order.
const STABLE_CHECKS: u32 = 3;

/// Maximum time from the write of its record in which an order may be on its way to its engine.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of the answer of an engine to an order.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of records that are removed in one check: the store takes few writes a second.
const MAX_REMOVED: usize = 4;

/// Maximum size of an answer to an order, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// The record of an order, as stored in JSON: which instance gives it, and which stage it names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct OrderRecord {
    holder: String,
    /// Whether the engine is ordered to compute prefills.
    #[serde(rename = "reader")]
    prefill: bool,
}

/// When the record of an order was first seen, and its latest revision.
#[derive(Debug, Clone, Copy)]
struct Seen {
    at: Time,
    revision: Revision,
}

impl Seen {
    /// Whether the record counts although the contents of the store as of `revision` lack it.
    fn is_binding(self, revision: Revision) -> bool {
        self.revision > revision || self.revision.epoch < revision.epoch
    }
}

/// The records of orders, as read from the store.
#[derive(Debug, Clone, Default)]
pub struct OrderRecords {
    stages: BTreeMap<String, Stage>,
    seen: BTreeMap<String, Seen>,
    /// When the last order was first seen.
    latest: Option<Time>,
}

impl OrderRecords {
    /// Handles an item of the store. Returns whether it is the record of an order. A record that can't be read counts
    /// as an order too, so that the engine doesn't get a second one.
    pub fn on_item(&mut self, now: Time, translate: &dyn Translate, item: &Item) -> bool {
        let Some(id) = item.key.strip_prefix(translate.keys().orders.as_str()) else {
            return false;
        };
        let stage = match serde_json::from_slice::<OrderRecord>(&item.value) {
            Ok(record) if record.prefill => Stage::Prefill,
            Ok(_) => Stage::Decode,
            Err(error) => {
                log_event!(warn, log_event::ENTRY_UNREADABLE, key = %item.key, revision = %item.revision, %error);
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

    /// Handles all items of the store as of `revision`: records that are not among them are dropped, except those with
    /// a later revision, and those that a restoration of the store has lost: the engine got its order.
    pub fn on_snapshot(&mut self, now: Time, translate: &dyn Translate, revision: Revision, items: &[Item]) {
        for item in items {
            self.on_item(now, translate, item);
        }
        let prefix = translate.keys().orders.as_str();
        let listed: BTreeSet<&str> = items.iter().filter_map(|i| i.key.strip_prefix(prefix)).collect();
        self.seen
            .retain(|engine, seen| listed.contains(engine.as_str()) || seen.is_binding(revision));
        let seen = &self.seen;
        self.stages.retain(|engine, _| seen.contains_key(engine));
    }

    /// The revision of an engine's record, if it has one.
    pub fn revision(&self, engine: &str) -> Option<Revision> {
        self.seen.get(engine).map(|seen| seen.revision)
    }

    /// Handles the removal of a key. Returns whether a record was dropped: not if a restoration of the store may have lost it.
    pub fn on_removed(&mut self, translate: &dyn Translate, key: &str, revision: Revision) -> bool {
        let Some(engine) = key.strip_prefix(translate.keys().orders.as_str()) else {
            return false;
        };
        if self
            .seen
            .get(engine)
            .is_some_and(|seen| seen.is_binding(revision))
        {
            return false;
        }
        self.seen.remove(engine);
        self.stages.remove(engine).is_some()
    }

    /// The stages that engines were ordered to change to, by the id of the engine.
    pub fn stages(&self) -> &BTreeMap<String, Stage> {
        &self.stages
    }

    /// Whether an order is so recent that an engine may be about to change its stage. In most cases there is none, and
    /// requests needn't check each engine.
    pub fn may_change(&self, now: Time) -> bool {
        self.latest.is_some_and(|at| now.since(at) < CHANGE_TIMEOUT)
    }

    /// Whether an engine is about to change its stage and therefore declines requests.
    pub fn is_changing(&self, now: Time, entry: &Entry) -> bool {
        let differs = self
            .stages
            .get(&entry.id)
            .is_some_and(|stage| *stage != entry.stage);
        let seen = self.seen.get(&entry.id);
        differs && seen.is_some_and(|seen| now.since(seen.at) < CHANGE_TIMEOUT)
    }
}

/// Checks the plan periodically and gives the orders that are for this instance to give.
pub async fn run(shared: Arc<Shared>, store: Rc<dyn Store>) {
    let mut attempted: BTreeSet<String> = BTreeSet::new();
    let mut due_checks: BTreeMap<String, u32> = BTreeMap::new();
    let mut stability = StabilityCheck::default();
    let mut absences = AbsentEngines::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if shared.is_leaving() || !shared.view.load().is_configured() {
            continue;
        }
        let restored = shared.view.load().restored;
        if restored.is_some_and(|restored| clock::now().since(restored.noticed) < RESTORATION_PAUSE) {
            continue;
        }
        let is_stable = stability.is_stable(&shared);
        let orders = planned_orders(&shared, is_stable);
        let planned: BTreeSet<&str> = orders.iter().map(|(_, o)| o.engine.as_str()).collect();
        due_checks.retain(|engine, _| planned.contains(engine.as_str()));
        for (engine, order) in orders {
            let checks = due_checks.entry(order.engine.clone()).or_default();
            *checks += 1;
            if shared.is_unavailable(&engine) {
                continue;
            }
            // The live instance that ranks first gives the order; if it did not, the next one does so a check later.
            if *checks <= shared.view.load().rank || attempted.contains(&order.engine) {
                continue;
            }
            attempted.insert(order.engine.clone());
            if !issue(&shared, store.as_ref(), &engine, &order).await {
                attempted.remove(&order.engine);
            }
        }
        let absent = absent_engines(&shared, &mut absences);
        attempted.retain(|engine| !absent.contains(engine));
        if shared.view.load().rank == 0 {
            remove_records(&shared, store.as_ref(), &absent).await;
        }
    }
}

/// Whether the engines have stayed the same for some checks.
///
/// Guards against the following failure: a fleet starts, its engines register one by one, and the plan for the first
/// few gives an engine, as its only order, one that it would not have got with the whole fleet.
#[derive(Debug, Default)]
struct StabilityCheck {
    engines: Arc<BTreeMap<String, EngineKey>>,
    checks: u32,
}

impl StabilityCheck {
    fn is_stable(&mut self, shared: &Shared) -> bool {
        let view = shared.view.load();
        if !view.keys().keys().eq(self.engines.keys()) {
            self.engines = view.keys().clone();
            self.checks = 0;
        }
        self.checks += 1;
        self.checks > STABLE_CHECKS
    }
}

/// The orders that are due. A service that was never split waits until its engines are stable; if it has been split, an
/// engine that comes later gets its order at once.
fn planned_orders(shared: &Shared, is_stable: bool) -> Vec<(Engine, StageOrder)> {
    let view = shared.view.load();
    let ordered = view.orders.stages();
    let capacity = view.endpoints.iter().map(|e| e.capacity).sum();
    let is_split = |engines: &[Engine]| engines.iter().any(|e| ordered.contains_key(&e.entry.id));
    let engines = view
        .engines()
        .values()
        .filter(|engines| is_stable || is_split(engines));
    let orders = engines.flat_map(|engines| {
        let fraction =
            limit_prefill_fraction(engines, ordered, shared.reloadable().prefill_fraction, capacity);
        let orders = plan_orders(engines, ordered, fraction);
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

/// Engines that have a record but have been absent for so long that it is no longer needed.
fn absent_engines(shared: &Shared, absences: &mut AbsentEngines) -> Vec<String> {
    let view = shared.view.load();
    let keys = view.keys();
    let recorded = view.orders.stages().keys().map(String::as_str);
    let retention = shared.reloadable().retention;
    absences.due(clock::now(), retention, recorded, |id| keys.contains_key(id))
}

/// Removes the records of absent engines; the task that follows the store sees this like any other change.
async fn remove_records(shared: &Shared, store: &dyn Store, engines: &[String]) {
    let view = shared.view.load_full();
    for engine in engines.iter().take(MAX_REMOVED) {
        // A record of an earlier epoch is gone, or its revision is another's by now.
        let revision = view.orders.revision(engine);
        let Some(revision) = revision.filter(|r| !view.is_restored_since(r.epoch)) else {
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
            // Another instance has removed it, or will at its next check.
            Err(error) => log_event!(debug, log_event::KV_FAILED, %error, call = "forget"),
        }
    }
}

/// Gives an engine its order, if the record of the order can be created.
///
/// Guards against two instances that give an engine different orders, and against an instance that repeats an order
/// that may still be on its way. The record is created once and never written again, and only its creator sends the
/// order, once, and within [`ORDER_TIMEOUT`]. If the answer of the store is lost, reading back shows whose record it is; if
/// that can't be found out, nothing is sent.
///
/// Returns `false` if nothing was done and the order may be tried again.
async fn issue(shared: &Shared, store: &dyn Store, engine: &Engine, order: &StageOrder) -> bool {
    let deadline = clock::now() + ORDER_TIMEOUT;
    let record = OrderRecord {
        holder: format!("{}/{}", shared.options.name, uuid::Uuid::new_v4()),
        prefill: order.stage == Stage::Prefill,
    };
    let fence = match create_record(shared, store, &order.engine, &record).await {
        Ok(Some(revision)) => revision.token(),
        Ok(None) => return true,
        Err(error) => {
            log_event!(warn, log_event::ORDER_UNSETTLED, engine = %order.engine, %error);
            return !matches!(error, StoreError::Refused(_));
        }
    };
    let Some(fence) = fence else {
        log_event!(error, log_event::ORDER_UNSETTLED, engine = %order.engine, error = "the store's revision is too large for a fencing token");
        return true;
    };
    log_event!(info, log_event::ORDER_SENT, engine = %order.engine, stage = ?order.stage, fence);
    let body = shared.translate.order(order.stage, &record.holder, fence);
    match post_order(shared, engine, body, deadline).await {
        Ok(status) => log_event!(info, log_event::ORDER_CLOSED, engine = %order.engine, status),
        Err(error) => log_event!(warn, log_event::ORDER_UNANSWERED, engine = %order.engine, %error),
    }
    true
}

/// Creates the record; its revision gives the fencing token. Returns `None` if another instance has created it.
async fn create_record(
    shared: &Shared,
    store: &dyn Store,
    engine: &str,
    record: &OrderRecord,
) -> Result<Option<Revision>, StoreError> {
    let key = format!("{}{engine}", shared.translate.keys().orders);
    let value = serde_json::to_vec(record).map_err(|e| StoreError::Unreadable(e.to_string()))?;
    let put = Put {
        key: key.clone(),
        value: Bytes::from(value),
        lease: None,
    };
    let write = Write::conditional(put, Revision::ZERO);
    match store.write(write).await {
        Ok(revision) => Ok(Some(revision)),
        Err(StoreError::Conflict) => Ok(None),
        Err(StoreError::Unknown(_)) => {
            let page = store.range(&key, "").await?;
            let found = page.items.into_iter().find(|item| item.key == key);
            let own = found.filter(|item| {
                serde_json::from_slice::<OrderRecord>(&item.value).ok().as_ref() == Some(record)
            });
            Ok(own.map(|item| item.revision))
        }
        Err(error) => Err(error),
    }
}

/// Why an order got no answer.
#[derive(Debug, Error)]
enum OrderError {
    /// The request can't be built; nothing was sent.
    #[error("could not build the request: {0}")]
    Request(#[from] http::Error),
    /// Unless nothing was sent, the order may have arrived. Its connection is reset.
    #[error(transparent)]
    Unanswered(#[from] DeliveryError),
}

/// Sends an order on a connection of its own. Returns the status of the answer.
///
/// Guards against an order that arrives after the deadline, when another instance may have given another one because the
/// store lost the record.
async fn post_order(
    shared: &Shared,
    engine: &Engine,
    body: String,
    deadline: Time,
) -> Result<u16, OrderError> {
    let request = order_request(shared, engine, body)?;
    let left = || deadline.since(clock::now());
    let stream = channel::open(engine.entry.address, left().min(ANSWER_TIMEOUT)).await;
    let stream = stream.map_err(DeliveryError::from)?;
    let permit = Permit {
        limit: left(),
        is_valid: move || clock::now() < deadline,
    };
    shared.on_send(engine);
    let sent = clock::now();
    let answer = delivery::call(stream, permit, request, MAX_ANSWER_BYTES, ANSWER_TIMEOUT).await?;
    shared.on_engine_answer(engine, &AnswerHead::of_call(sent, &answer));
    Ok(answer.status().as_u16())
}

fn order_request(
    shared: &Shared,
    engine: &Engine,
    body: String,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let id = HeaderValue::from_str(&engine.entry.id)?;
    Request::builder()
        .method(Method::POST)
        .uri(shared.translate.paths().order.as_str())
        .header(header::HOST, engine.entry.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(&shared.translate.names().target_engine, id)
        .body(Full::new(Bytes::from(body)))
}
