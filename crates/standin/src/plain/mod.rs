//! Stand-in for a plain service: counts the runs of each idempotency key.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::web;
use actix_web::web::Bytes;
use actix_web::web::Data;
use actix_web::web::Json;
use actix_web::web::ServiceConfig;
use sequoiastream_upstream::wire::ATTEMPT;
use sequoiastream_upstream::wire::NOT_STARTED;
use serde::Deserialize;
use serde::Serialize;

/// Injected faults, set by `PUT /control/fault`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainFault {
    /// Delay of each response in milliseconds; the call itself runs at once.
    pub delay: u64,
    /// Number of next calls that run but whose connection is closed without a complete response.
    pub lose: u32,
    /// Calls are answered with a redirect to the same path after they have run.
    pub redirect: bool,
    /// Calls are refused with 503 and marked as not started.
    pub refuse: bool,
    /// Status of the answers to calls that have run; that of a success if 0.
    pub status: u16,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, u32>,
    fault: PlainFault,
}

#[derive(Debug, Default)]
struct PlainService {
    state: Mutex<State>,
}

#[derive(Debug, Serialize)]
struct Receipt {
    key: String,
    run: u32,
    path: String,
}

/// Registers the routes of the service; all workers share one new state.
pub fn configure() -> impl Fn(&mut ServiceConfig) + Send + Clone + 'static {
    let plain = Arc::new(PlainService::default());
    move |config| {
        config
            .app_data(Data::from(plain.clone()))
            .route("/control/fault", web::put().to(set_fault))
            .route("/control/runs", web::get().to(runs))
            .default_service(web::route().to(run));
    }
}

/// Refuses a request, with the guarantee that it did not start.
fn refusal(request: &HttpRequest) -> HttpResponse {
    let mut answer = HttpResponse::ServiceUnavailable();
    answer.insert_header((NOT_STARTED, "1"));
    if let Some(attempt) = request.headers().get(ATTEMPT) {
        answer.insert_header((ATTEMPT, attempt.clone()));
    }
    answer.finish()
}

async fn run(plain: Data<PlainService>, request: HttpRequest, _body: Bytes) -> HttpResponse {
    let key = request.headers().get("idempotency-key");
    let key = key.and_then(|v| v.to_str().ok()).unwrap_or("-").to_string();
    let (fault, run, lost) = {
        let mut state = plain
            .state
            .lock()
            .expect("no thread panics while it holds the state");
        if state.fault.refuse {
            return refusal(&request);
        }
        let run = state.runs.entry(key.clone()).or_default();
        *run += 1;
        let run = *run;
        let lost = state.fault.lose > 0;
        state.fault.lose = state.fault.lose.saturating_sub(1);
        (state.fault.clone(), run, lost)
    };
    tokio::time::sleep(Duration::from_millis(fault.delay)).await;
    let path = request.path().to_string();
    if lost {
        let broken = futures_util::stream::iter([Err::<Bytes, _>(std::io::Error::other("lost"))]);
        return HttpResponse::Ok().streaming(broken);
    }
    if let Ok(status) = StatusCode::from_u16(fault.status) {
        return HttpResponse::build(status).finish();
    }
    match fault.redirect {
        true => HttpResponse::TemporaryRedirect()
            .insert_header(("location", path))
            .finish(),
        false => HttpResponse::Ok().json(Receipt { key, run, path }),
    }
}

async fn set_fault(plain: Data<PlainService>, fault: Json<PlainFault>) -> HttpResponse {
    plain
        .state
        .lock()
        .expect("no thread panics while it holds the state")
        .fault = fault.into_inner();
    HttpResponse::Ok().finish()
}

async fn runs(plain: Data<PlainService>) -> HttpResponse {
    let state = plain
        .state
        .lock()
        .expect("no thread panics while it holds the state");
    HttpResponse::Ok().json(&state.runs)
}
