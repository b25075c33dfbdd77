//! HTTP protocol of the engine, and the faults that a test can inject.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Bytes;
use actix_web::web::Data;
use actix_web::web::Json;
use actix_web::web::Query;
use actix_web::web::ServiceConfig;
use futures_util::Stream;
use futures_util::StreamExt;
use sequoiastream_core::config::Role;
use sequoiastream_core::prefix::block_digests;
use sequoiastream_upstream::wire::ATTEMPT;
use sequoiastream_upstream::wire::CancelBody;
use sequoiastream_upstream::wire::FinishBody;
use sequoiastream_upstream::wire::GenerateBody;
use sequoiastream_upstream::wire::INCARNATION;
use sequoiastream_upstream::wire::LoadBody;
use sequoiastream_upstream::wire::MODEL_VERSION;
use sequoiastream_upstream::wire::NOT_STARTED;
use sequoiastream_upstream::wire::OrderBody;
use sequoiastream_upstream::wire::PieceBody;
use sequoiastream_upstream::wire::StaleBody;
use sequoiastream_upstream::wire::Target;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use uuid::Uuid;

use crate::engine::batch::Batch;
use crate::engine::batch::Rates;
use crate::engine::batch::Sequence;
use crate::engine::batch::Token;
use crate::engine::cache::PrefixCache;
use crate::engine::text::prompt_tokens;
use crate::engine::text::token_text;

/// Prefix of the word in a prompt that makes the engine crash; `poison:12` crashes it after 12 tokens.
const POISON_PREFIX: &str = "poison:";

/// Maximum number of load reports kept, from which outdated ones are served (`EngineFault::lag`).
const MAX_REPORTS: usize = 1024;

/// Settings with which an engine starts.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Speed of the engine.
    pub rates: Rates,
    /// Capacity of the prefix cache in tokens.
    pub capacity: u64,
    /// Initial role.
    pub role: Role,
    /// Initially loaded model.
    pub model: String,
    /// Whether the engine refuses orders with a stale fencing token.
    pub check_fence: bool,
    /// How long the engine is away when an order changes its target.
    pub away_time: Duration,
}

/// Injected faults, set by `PUT /control/fault`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFault {
    /// Age of the load reports served, in milliseconds.
    pub lag: u64,
    /// Cache events whose number is divisible by this are omitted; 0 omits none.
    pub gap: u64,
    /// The next order that takes effect crashes the process.
    pub crash: bool,
    /// Delay of the response to an order in milliseconds; the order itself takes effect at once.
    pub slow_order: u64,
    /// Each piece is sent twice.
    pub twice: bool,
    /// Each piece is preceded by one of an attempt that was never requested.
    pub crossed: bool,
    /// Requests are refused with 503 and marked as not started.
    pub refuse: bool,
    /// Each piece is preceded by one of the attempt that the engine admitted before this one.
    pub stale: bool,
    /// The token at this offset is omitted; 0 omits none.
    pub skip: u32,
    /// From this offset on nothing is sent, but the connection stays open; 0 disables the fault.
    pub stall: u32,
    /// The answer ends at this offset without a final piece; 0 disables the fault.
    pub ends: u32,
}

/// An order that the engine received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub order: OrderBody,
    /// Whether the order took effect.
    pub applied: bool,
    /// Time of receipt in microseconds since the start of the engine.
    pub at: u64,
}

/// An answer that is being streamed.
struct Answer {
    sender: mpsc::UnboundedSender<PieceBody>,
    body: GenerateBody,
    cached: u32,
    crash_offset: Option<u32>,
    version: u32,
    previous_attempt: Option<Uuid>,
}

struct State {
    batch: Batch,
    /// Number of answers whose last token belongs to the step in progress. A load report that left them out would show
    /// the engine as idle, and an order given on that basis would cut their streams.
    finishing: usize,
    cache: PrefixCache,
    answers: BTreeMap<Uuid, Answer>,
    target: Target,
    away_until: Option<Instant>,
    fence: u64,
    sequence: u64,
    orders: Vec<OrderRecord>,
    fault: EngineFault,
    reports: Vec<(Instant, LoadBody)>,
    served: u64,
    cut_streams: u64,
    last_attempt: Option<Uuid>,
}

/// Shared state of the server.
struct Engine {
    settings: EngineSettings,
    incarnation: Uuid,
    started: Instant,
    state: Mutex<State>,
    work: Notify,
    steps_started: AtomicBool,
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the state")
    }
}

/// Registers the routes of the protocol; all workers share one new state and one task that runs the steps.
pub fn configure(settings: EngineSettings) -> impl Fn(&mut ServiceConfig) + Send + Clone + 'static {
    let engine = Arc::new(new_engine(settings));
    move |config| {
        if !engine.steps_started.swap(true, Ordering::SeqCst) {
            actix_rt::spawn(run_steps(engine.clone()));
        }
        config
            .app_data(Data::from(engine.clone()))
            .app_data(web::JsonConfig::default().limit(8 * 1024 * 1024))
            .route("/v1/generate", web::post().to(generate))
            .route("/v1/cancel", web::post().to(cancel))
            .route("/v1/load", web::get().to(load))
            .route("/v1/cache", web::get().to(cache_events))
            .route("/v1/order", web::post().to(order))
            .route("/control/fault", web::put().to(set_fault))
            .route("/control/orders", web::get().to(orders))
            .route("/control/served", web::get().to(served))
            .route("/control/cut", web::get().to(cut));
    }
}

fn new_engine(settings: EngineSettings) -> Engine {
    let target = Target {
        role: settings.role,
        model: settings.model.clone(),
        adapter: None,
        version: 1,
    };
    let state = State {
        batch: Batch::new(settings.rates),
        finishing: 0,
        cache: PrefixCache::new(settings.capacity),
        answers: BTreeMap::new(),
        target,
        away_until: None,
        fence: 0,
        sequence: 0,
        orders: Vec::new(),
        fault: EngineFault::default(),
        reports: Vec::new(),
        served: 0,
        cut_streams: 0,
        last_attempt: None,
    };
    Engine {
        settings,
        incarnation: Uuid::new_v4(),
        started: Instant::now(),
        state: Mutex::new(state),
        work: Notify::new(),
        steps_started: AtomicBool::new(false),
    }
}

/// Runs steps while the batch has sequences, and waits for new requests otherwise.
async fn run_steps(engine: Arc<Engine>) {
    loop {
        let work = engine.work.notified();
        let step = {
            let mut state = engine.lock();
            match state.batch.is_idle() {
                true => None,
                false => {
                    let role = state.target.role;
                    let step = state.batch.step(role);
                    state.finishing = step.1.iter().filter(|token| token.last).count();
                    Some(step)
                }
            }
        };
        match step {
            None => work.await,
            Some((time, tokens)) => {
                tokio::time::sleep(time).await;
                let mut state = engine.lock();
                send_tokens(&mut state, &tokens);
                state.finishing = 0;
            }
        }
    }
}

fn send_tokens(state: &mut State, tokens: &[Token]) {
    for token in tokens {
        let Some(answer) = state.answers.get(&token.attempt) else {
            continue;
        };
        if answer.crash_offset.is_some_and(|at| token.offset >= at) {
            std::process::abort();
        }
        let sent = send(answer, &state.fault, token);
        let stalled = state.fault.stall > 0 && token.offset >= state.fault.stall;
        if !sent || (token.last && !stalled) {
            state.answers.remove(&token.attempt);
        }
        if !sent {
            state.batch.cancel(token.attempt);
        }
    }
}

/// Sends the piece of a token, and the final piece after the last token; `false` if the answer is to be ended because
/// its receiver is gone or a fault ends it here.
fn send(answer: &Answer, fault: &EngineFault, token: &Token) -> bool {
    let passed = |at: u32| at > 0 && token.offset >= at;
    if passed(fault.stall) || (fault.skip > 0 && token.offset == fault.skip) {
        return !answer.sender.is_closed();
    }
    if passed(fault.ends) {
        return false;
    }
    let text = token_text(
        answer.body.seed,
        &answer.body.prompt,
        answer.version,
        token.offset,
    );
    let piece = PieceBody {
        attempt: token.attempt,
        offset: token.offset,
        text,
        finish: None,
    };
    if fault.crossed {
        let crossed = PieceBody {
            attempt: Uuid::from_u128(token.attempt.as_u128() ^ 1),
            text: "crossed ".to_string(),
            ..piece.clone()
        };
        let _ = answer.sender.send(crossed);
    }
    if let (true, Some(before)) = (fault.stale, answer.previous_attempt) {
        let stale = PieceBody {
            attempt: before,
            text: "stale ".to_string(),
            ..piece.clone()
        };
        let _ = answer.sender.send(stale);
    }
    if fault.twice {
        let _ = answer.sender.send(piece.clone());
    }
    let sent = answer.sender.send(piece).is_ok();
    if token.last {
        let _ = answer.sender.send(final_piece(answer, token.offset + 1));
    }
    sent
}

fn final_piece(answer: &Answer, offset: u32) -> PieceBody {
    PieceBody {
        attempt: answer.body.attempt,
        offset,
        text: String::new(),
        finish: Some(FinishBody {
            reason: "length".to_string(),
            prompt: prompt_tokens(&answer.body.prompt),
            cached: answer.cached,
        }),
    }
}

async fn generate(engine: Data<Engine>, body: Json<GenerateBody>) -> HttpResponse {
    let body = body.into_inner();
    let (sender, receiver) = mpsc::unbounded_channel();
    let version = {
        let mut state = engine.lock();
        let away = state.away_until.is_some_and(|until| Instant::now() < until);
        if away || state.fault.refuse || body.model != state.target.model {
            return HttpResponse::ServiceUnavailable()
                .insert_header((NOT_STARTED, "1"))
                .insert_header((ATTEMPT, body.attempt.to_string()))
                .finish();
        }
        let version = state.target.version;
        if body.version.is_some_and(|wanted| wanted != version) {
            return HttpResponse::PreconditionFailed()
                .insert_header((NOT_STARTED, "1"))
                .insert_header((ATTEMPT, body.attempt.to_string()))
                .finish();
        }
        admit(&mut state, body, sender);
        version
    };
    engine.work.notify_one();
    HttpResponse::Ok()
        .insert_header((MODEL_VERSION, version.to_string()))
        .insert_header((INCARNATION, engine.incarnation.to_string()))
        .content_type("application/x-ndjson")
        .streaming(ndjson_stream(receiver))
}

fn admit(state: &mut State, body: GenerateBody, sender: mpsc::UnboundedSender<PieceBody>) {
    state.served += 1;
    let digests = block_digests(&body.prompt);
    let cached = state.cache.lookup(&digests);
    state.cache.store(&digests);
    let version = state.target.version;
    let previous_attempt = state.last_attempt.replace(body.attempt);
    if body.offset >= body.limit {
        let answer = Answer {
            sender,
            body,
            cached,
            crash_offset: None,
            version,
            previous_attempt,
        };
        let _ = answer.sender.send(final_piece(&answer, answer.body.limit));
        return;
    }
    let known = match body.import {
        Some(_) => prompt_tokens(&body.prompt),
        None => cached,
    };
    state.batch.push(Sequence {
        attempt: body.attempt,
        prefill: (prompt_tokens(&body.prompt) + body.offset)
            .saturating_sub(known)
            .max(1),
        offset: body.offset,
        limit: body.limit,
        priority: body.priority,
    });
    let answer = Answer {
        sender,
        crash_offset: crash_offset(&body.prompt),
        cached,
        version,
        previous_attempt,
        body,
    };
    state.answers.insert(answer.body.attempt, answer);
}

fn crash_offset(prompt: &str) -> Option<u32> {
    let word = prompt
        .split_whitespace()
        .find_map(|w| w.strip_prefix(POISON_PREFIX))?;
    word.parse().ok()
}

fn ndjson_stream(
    receiver: mpsc::UnboundedReceiver<PieceBody>,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    futures_util::stream::unfold(receiver, |mut receiver| async move {
        let piece = receiver.recv().await?;
        Some((piece, receiver))
    })
    .map(|piece| {
        let mut line = serde_json::to_vec(&piece)?;
        line.push(b'\n');
        Ok(Bytes::from(line))
    })
}

async fn cancel(engine: Data<Engine>, body: Json<CancelBody>) -> HttpResponse {
    let mut state = engine.lock();
    state.batch.cancel(body.attempt);
    state.answers.remove(&body.attempt);
    HttpResponse::Ok().json(())
}

async fn load(engine: Data<Engine>) -> HttpResponse {
    let mut state = engine.lock();
    let now = Instant::now();
    let report = load_report(&engine.settings, &state, now);
    state.reports.push((now, report));
    if state.reports.len() > MAX_REPORTS {
        state.reports.drain(..MAX_REPORTS / 2);
    }
    let lag = Duration::from_millis(state.fault.lag);
    let shown = now.checked_sub(lag).unwrap_or(engine.started);
    let old = state.reports.iter().rev().find(|(at, _)| *at <= shown);
    let (at, mut body) = old.unwrap_or(&state.reports[0]).clone();
    body.age = u64::try_from(now.duration_since(at).as_millis()).unwrap_or(u64::MAX);
    HttpResponse::Ok()
        .insert_header((INCARNATION, engine.incarnation.to_string()))
        .json(body)
}

fn load_report(settings: &EngineSettings, state: &State, now: Instant) -> LoadBody {
    LoadBody {
        role: state.target.role,
        model: state.target.model.clone(),
        adapter: state.target.adapter.clone(),
        version: state.target.version,
        away: state.away_until.is_some_and(|until| now < until),
        fence: state.fence,
        sequence: state.sequence,
        running: (state.batch.running() + state.finishing) as u32,
        queued: state.batch.queued() as u32,
        prefill: state.batch.prefill_left(),
        used: state.cache.used(),
        capacity: settings.capacity,
        prefill_rate: settings.rates.prefill_rate as u32,
        decode_rate: settings.rates.decode_rate as u32,
        slots: settings.rates.slots as u32,
        age: 0,
    }
}

#[derive(Debug, Deserialize)]
struct AfterQuery {
    after: u64,
}

async fn cache_events(engine: Data<Engine>, query: Query<AfterQuery>) -> HttpResponse {
    let state = engine.lock();
    let gap = state.fault.gap;
    let mut events = state.cache.events_after(query.after);
    events.retain(|e| gap == 0 || e.number % gap != 0);
    HttpResponse::Ok().json(events)
}

async fn order(engine: Data<Engine>, order: Json<OrderBody>) -> HttpResponse {
    let order = order.into_inner();
    let delay = {
        let mut state = engine.lock();
        let stale = engine.settings.check_fence && order.fence < state.fence;
        state.orders.push(OrderRecord {
            order: order.clone(),
            applied: !stale,
            at: u64::try_from(engine.started.elapsed().as_micros()).unwrap_or(u64::MAX),
        });
        if stale {
            return HttpResponse::Conflict().json(StaleBody { fence: state.fence });
        }
        apply_order(&engine.settings, &mut state, order);
        state.fault.slow_order
    };
    tokio::time::sleep(Duration::from_millis(delay)).await;
    HttpResponse::Ok().json(())
}

fn apply_order(settings: &EngineSettings, state: &mut State, order: OrderBody) {
    if state.fault.crash {
        std::process::abort();
    }
    state.fence = state.fence.max(order.fence);
    state.sequence = order.sequence;
    if state.target != order.target {
        state.target = order.target;
        state.away_until = Some(Instant::now() + settings.away_time);
        state.cache.clear();
        // The worst case for callers: running answers are cut, and their streams end without a final piece.
        state.cut_streams += state.answers.len() as u64;
        for attempt in std::mem::take(&mut state.answers).into_keys() {
            state.batch.cancel(attempt);
        }
    }
}

async fn set_fault(engine: Data<Engine>, fault: Json<EngineFault>) -> HttpResponse {
    engine.lock().fault = fault.into_inner();
    HttpResponse::Ok().finish()
}

async fn orders(engine: Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&engine.lock().orders)
}

async fn served(engine: Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.lock().served)
}

/// Responds with the number of streams cut by orders.
async fn cut(engine: Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.lock().cut_streams)
}
