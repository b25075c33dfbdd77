//! HTTP protocol of the platform, and the faults that a test can inject.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Bytes;
use actix_web::web::Data;
use actix_web::web::Json;
use actix_web::web::Path;
use actix_web::web::Query;
use actix_web::web::ServiceConfig;
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use sequoiastream_core::name::Name;
use sequoiastream_kv::EntryBody;
use sequoiastream_kv::LeaseBody;
use sequoiastream_kv::ListEntry;
use sequoiastream_kv::VersionBody;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::platform::store::PutOutcome;
use crate::platform::store::Store;
use crate::platform::store::Stored;

/// Maximum size of a value in bytes.
const MAX_VALUE: usize = 1024 * 1024;

/// Interval at which a waiting watch checks for lapsed leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Injected faults, set by `PUT /control/fault`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// All calls are refused with 503.
    pub outage: bool,
    /// Names of callers (header `x-caller`, the instance name of the daemon) that get no response at all.
    pub cut: Vec<String>,
    /// Delay of each call in milliseconds, before it takes effect.
    pub delay: u64,
    /// Number of next writes that take effect but get no response.
    pub lose: u32,
    /// Key prefix of the writes to which `lose` applies.
    pub only: String,
    /// Lists are returned in their state of this many milliseconds ago.
    pub lag: u64,
    /// Reads of the weight store are refused with 429.
    pub throttle: bool,
}

/// Counters since the start of the stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Number of calls by kind: `get`, `put`, `watch`, `lease`, `list` or `weights`.
    pub calls: BTreeMap<String, u64>,
    /// Bytes of values written.
    pub written: u64,
    /// Bytes of values read.
    pub read: u64,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    fault: Fault,
    stats: Stats,
    history: Vec<(Instant, String, Vec<ListEntry>)>,
}

/// Shared state of the server.
#[derive(Debug, Default)]
pub struct Platform {
    state: Mutex<State>,
    changed: Notify,
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the state")
    }
}

/// Registers the routes of the protocol; all workers share one new state.
pub fn configure() -> impl Fn(&mut ServiceConfig) + Send + Clone + 'static {
    let platform = Arc::new(Platform::default());
    move |config| {
        config
            .app_data(Data::from(platform.clone()))
            .app_data(web::PayloadConfig::new(MAX_VALUE))
            .route("/v1/kv/{key:.*}", web::get().to(get))
            .route("/v1/kv/{key:.*}", web::put().to(put))
            .route("/v1/watch/{key:.*}", web::get().to(watch))
            .route("/v1/lease", web::post().to(grant))
            .route("/v1/lease/{id}", web::put().to(renew))
            .route("/v1/lease/{id}", web::delete().to(release))
            .route("/v1/list/{kind}", web::get().to(list))
            .route("/v1/weights/{name}", web::get().to(weights))
            .route("/control/list/{kind}", web::put().to(set_listed))
            .route("/control/list/{kind}/{name}", web::delete().to(remove_listed))
            .route("/control/fault", web::put().to(set_fault))
            .route("/control/stats", web::get().to(stats));
    }
}

/// Counts the call and applies the faults that act before the call takes effect; returns the refusal, if any.
async fn admit_call(platform: &Platform, request: &HttpRequest, kind: &str) -> Option<HttpResponse> {
    let (fault, cut) = {
        let mut state = platform.lock();
        *state.stats.calls.entry(kind.to_string()).or_default() += 1;
        let caller = request.headers().get("x-caller").and_then(|v| v.to_str().ok());
        let cut = caller.is_some_and(|c| state.fault.cut.iter().any(|name| name == c));
        (state.fault.clone(), cut)
    };
    if cut {
        std::future::pending::<()>().await;
    }
    if fault.delay > 0 {
        tokio::time::sleep(Duration::from_millis(fault.delay)).await;
    }
    fault.outage.then(|| HttpResponse::ServiceUnavailable().finish())
}

/// Whether the response to this write is to be withheld; uses up one of the `lose` writes if so.
fn take_lost_answer(state: &mut State, key: &str) -> bool {
    let lost = state.fault.lose > 0 && key.starts_with(&state.fault.only);
    state.fault.lose -= u32::from(lost);
    lost
}

/// Never responds: the write took effect, but the writer gets no confirmation.
async fn withhold_answer() -> HttpResponse {
    std::future::pending::<()>().await;
    HttpResponse::Ok().finish()
}

fn entry_body(stored: Stored) -> EntryBody {
    EntryBody {
        version: stored.version,
        value: stored.value,
    }
}

async fn get(platform: Data<Platform>, request: HttpRequest, key: Path<String>) -> HttpResponse {
    if let Some(refusal) = admit_call(&platform, &request, "get").await {
        return refusal;
    }
    let mut state = platform.lock();
    state.store.expire(Instant::now());
    let stored = state.store.get(&key);
    state.stats.read += stored.value.as_ref().map_or(0, |v| v.len() as u64);
    match stored.version {
        0 => HttpResponse::NotFound().finish(),
        _ => HttpResponse::Ok().json(entry_body(stored)),
    }
}

#[derive(Debug, Deserialize)]
struct PutQuery {
    expect: u64,
    lease: Option<u64>,
}

async fn put(
    platform: Data<Platform>,
    request: HttpRequest,
    key: Path<String>,
    query: Query<PutQuery>,
    bytes: Bytes,
) -> HttpResponse {
    if let Some(refusal) = admit_call(&platform, &request, "put").await {
        return refusal;
    }
    let (outcome, lost) = {
        let mut state = platform.lock();
        state.store.expire(Instant::now());
        let value = BASE64_STANDARD.encode(&bytes);
        let outcome = state.store.put(&key, query.expect, value, query.lease);
        if matches!(outcome, PutOutcome::Written(_)) {
            state.stats.written += bytes.len() as u64;
        }
        (outcome, take_lost_answer(&mut state, &key))
    };
    platform.changed.notify_waiters();
    if lost {
        return withhold_answer().await;
    }
    match outcome {
        PutOutcome::Written(version) => HttpResponse::Ok().json(VersionBody { version }),
        PutOutcome::Conflict(stored) => HttpResponse::Conflict().json(entry_body(stored)),
        PutOutcome::LeaseLapsed => HttpResponse::Gone().finish(),
    }
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

async fn watch(
    platform: Data<Platform>,
    request: HttpRequest,
    key: Path<String>,
    query: Query<WatchQuery>,
) -> HttpResponse {
    if let Some(refusal) = admit_call(&platform, &request, "watch").await {
        return refusal;
    }
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changed = platform.changed.notified();
        {
            let mut state = platform.lock();
            if state.fault.outage {
                return HttpResponse::ServiceUnavailable().finish();
            }
            state.store.expire(Instant::now());
            let stored = state.store.get(&key);
            if stored.version != query.after {
                state.stats.read += stored.value.as_ref().map_or(0, |v| v.len() as u64);
                return HttpResponse::Ok().json(entry_body(stored));
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return HttpResponse::NotModified().finish();
        }
        let _ = tokio::time::timeout(left.min(EXPIRY_INTERVAL), changed).await;
    }
}

#[derive(Debug, Deserialize)]
struct GrantQuery {
    ttl_ms: u64,
}

async fn grant(platform: Data<Platform>, request: HttpRequest, query: Query<GrantQuery>) -> HttpResponse {
    if let Some(refusal) = admit_call(&platform, &request, "lease").await {
        return refusal;
    }
    let (id, lost) = {
        let mut state = platform.lock();
        let ttl = Duration::from_millis(query.ttl_ms);
        let id = state.store.grant(ttl, Instant::now());
        (id, take_lost_answer(&mut state, "lease"))
    };
    match lost {
        true => withhold_answer().await,
        false => HttpResponse::Ok().json(LeaseBody { id }),
    }
}

async fn renew(platform: Data<Platform>, request: HttpRequest, id: Path<u64>) -> HttpResponse {
    if let Some(refusal) = admit_call(&platform, &request, "lease").await {
        return refusal;
    }
    let (known, lost) = {
        let mut state = platform.lock();
        let now = Instant::now();
        state.store.expire(now);
        (state.store.renew(*id, now), take_lost_answer(&mut state, "lease"))
    };
    match (lost, known) {
        (true, _) => withhold_answer().await,
        (false, true) => HttpResponse::Ok().finish(),
        (false, false) => HttpResponse::NotFound().finish(),
    }
}

async fn release(platform: Data<Platform>, request: HttpRequest, id: Path<u64>) -> HttpResponse {
    if let Some(refusal) = admit_call(&platform, &request, "lease").await {
        return refusal;
    }
    platform.lock().store.release(*id);
    platform.changed.notify_waiters();
    HttpResponse::Ok().finish()
}

async fn list(platform: Data<Platform>, request: HttpRequest, kind: Path<String>) -> HttpResponse {
    if let Some(refusal) = admit_call(&platform, &request, "list").await {
        return refusal;
    }
    let state = platform.lock();
    let lag = Duration::from_millis(state.fault.lag);
    let shown = Instant::now().checked_sub(lag);
    let mut of_kind = state.history.iter().rev().filter(|(_, k, _)| *k == *kind);
    let seen = of_kind.find(|(at, _, _)| shown.is_some_and(|s| *at <= s));
    HttpResponse::Ok().json(seen.map(|(_, _, list)| list.clone()).unwrap_or_default())
}

async fn weights(platform: Data<Platform>, request: HttpRequest, _name: Path<Name>) -> HttpResponse {
    if let Some(refusal) = admit_call(&platform, &request, "weights").await {
        return refusal;
    }
    match platform.lock().fault.throttle {
        true => HttpResponse::TooManyRequests()
            .insert_header(("retry-after", "1"))
            .finish(),
        false => HttpResponse::Ok().finish(),
    }
}

/// Adds the current state of a list to the history from which `lag` is served.
fn record_list(state: &mut State, kind: &str) {
    let list = state.store.list(kind);
    state.history.push((Instant::now(), kind.to_string(), list));
}

async fn set_listed(platform: Data<Platform>, kind: Path<String>, listed: Json<ListEntry>) -> HttpResponse {
    let mut state = platform.lock();
    state.store.set_listed(&kind, listed.into_inner());
    record_list(&mut state, &kind);
    HttpResponse::Ok().finish()
}

async fn remove_listed(platform: Data<Platform>, path: Path<(String, Name)>) -> HttpResponse {
    let (kind, name) = path.into_inner();
    let mut state = platform.lock();
    state.store.remove_listed(&kind, &name);
    record_list(&mut state, &kind);
    HttpResponse::Ok().finish()
}

async fn set_fault(platform: Data<Platform>, fault: Json<Fault>) -> HttpResponse {
    platform.lock().fault = fault.into_inner();
    platform.changed.notify_waiters();
    HttpResponse::Ok().finish()
}

async fn stats(platform: Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(&platform.lock().stats)
}
