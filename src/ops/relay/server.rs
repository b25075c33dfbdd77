//! Answers callers' requests, queries for addresses, readiness checks and queries for metrics. `listen` accepts them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::body::BodySize;
use actix_web::body::MessageBody;
use actix_web::http::ConnectionType;
use actix_web::http::Version;
use actix_web::web::Data;
use actix_web::web::Payload;
use actix_web::web::Query;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::directory;
use sequoiastream_core::relay::routes::Route;
use sequoiastream_core::relay::workspaces::KeyAccess;
use sequoiastream_core::relay::workspaces::KeyDigest;
use sequoiastream_core::relay::workspaces::StoreAges;
use sequoiastream_core::time::Time;
use sequoiastream_peer::call::CallClient;
use sequoiastream_upstream::channel::Pool;

use crate::log_event;
use crate::ops::relay::body;
use crate::ops::relay::body::BodyLimits;
use crate::ops::relay::body::MAX_BODY_TIME;
use crate::ops::relay::connections::Caller;
use crate::ops::relay::connections::Connections;
use crate::ops::relay::edge::Directory;
use crate::ops::relay::forward::ForwardedRequest;
use crate::ops::relay::gauges;
use crate::ops::relay::head::RequestHead;
use crate::ops::relay::long_answer;
use crate::ops::relay::reply::RETRY_ELSEWHERE;
use crate::ops::relay::reply::Reply;
use crate::ops::relay::shared::Shared;
use crate::ops::relay::shared::View;
use crate::util::clock;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// The connection on which a request arrived.
#[derive(Debug)]
pub(super) struct Arrival {
    pub(super) caller: Caller,
    /// Address at which it was accepted.
    pub(super) address: SocketAddr,
}

/// State of one traffic thread.
#[derive(Clone)]
pub(super) struct Worker {
    pub(super) shared: Arc<Shared>,
    pub(super) pool: Pool,
    pub(super) calls: CallClient,
    pub(super) connections: Connections,
}

/// Answers a request, and has its connection closed if there are too many or this instance is leaving.
pub(super) async fn handle(request: HttpRequest, mut payload: Payload, worker: Data<Worker>) -> HttpResponse {
    let shared = &worker.shared;
    let Some(Arrival { caller, address }) = request.conn_data::<Arrival>() else {
        return HttpResponse::InternalServerError().finish();
    };
    let mut response = match handle_own_call(shared, *address, &request) {
        Some(response) => response,
        None => forward_request(&worker, &request, &mut payload, caller).await,
    };
    if is_short(&response) {
        caller.on_answered();
    }
    // Kept until the head of the response is written: the rest of a body that nobody has read is then dropped with the
    // connection. Without it, chunks are read without end.
    response.extensions_mut().insert(payload);
    if shared.is_leaving() || worker.connections.are_many() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

/// Whether the response leaves at once: neither a stream nor a long answer, which record their ends themselves.
fn is_short(response: &HttpResponse) -> bool {
    match response.body().size() {
        BodySize::None => true,
        BodySize::Sized(length) => length < long_answer::MIN_LENGTH as u64,
        BodySize::Stream => false,
    }
}

/// Answers a call to this instance itself; `None` if the request is to be forwarded.
fn handle_own_call(shared: &Shared, local: SocketAddr, request: &HttpRequest) -> Option<HttpResponse> {
    let options = &shared.options;
    let paths = shared.translate.paths();
    let at = |address: Option<SocketAddr>| address.is_some_and(|a| a.port() == local.port());
    if at(options.ready) && request.path() == paths.ready {
        return Some(match shared.is_ready() {
            true => HttpResponse::Ok().finish(),
            false => HttpResponse::ServiceUnavailable().finish(),
        });
    }
    if at(options.directory) && request.path() == paths.resolve {
        return Some(addresses(shared, request));
    }
    if at(options.metrics) && request.path() == METRICS_PATH {
        return Some(metrics(shared));
    }
    let is_front = options.front.port() == local.port();
    (!is_front).then(|| HttpResponse::NotFound().finish())
}

fn metrics(shared: &Shared) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(gauges::page(shared))
}

fn addresses(shared: &Shared, request: &HttpRequest) -> HttpResponse {
    let view = shared.view.load();
    if view.endpoints.is_empty() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let Directory { zone, max_addresses } = &shared.translate.dialect().directory;
    // A query string that can't be parsed specifies no zone.
    let query = Query::<BTreeMap<String, String>>::from_query(request.query_string()).ok();
    let zone = query.as_ref().and_then(|query| query.get(zone));
    let caller = request.peer_addr().map(|address| address.ip().to_string());
    let caller = caller.unwrap_or_default();
    let addresses = directory::choose(&view.endpoints, zone.map(String::as_str), &caller, *max_addresses);
    let body = shared
        .translate
        .addresses(&addresses, shared.reloadable().address_ttl);
    HttpResponse::Ok().content_type("application/json").body(body)
}

async fn forward_request(
    worker: &Worker,
    request: &HttpRequest,
    payload: &mut Payload,
    caller: &Caller,
) -> HttpResponse {
    let arrived = clock::now();
    let shared = &worker.shared;
    let running = shared.begin();
    // Read before the view, so that the view contains every change that these ages cover.
    let ages = shared.ages(arrived);
    let view = shared.view.load_full();
    let head = match read_head(shared, &view, request, arrived) {
        Ok(head) => head,
        Err(reply) => return refuse(shared, reply),
    };
    let tuning = shared.reloadable();
    if ages.reported > tuning.apply_limit.0 {
        shared.metrics.outdated_requests.inc();
    }
    let Some(route) = view.table.find(&head.host, head.uri.path()) else {
        return refuse_unrouted(shared, &view, &head, ages);
    };
    let key = head.key.as_ref().map(|key| key.as_bytes());
    let workspace = match view.table.grant(&route, key, ages, tuning.key_limits) {
        KeyAccess::Open => None,
        KeyAccess::Granted(workspace) => Some(workspace),
        refused => return refuse_key(shared, &route, key, ages, refused),
    };
    // Such a caller takes a stream that is broken off for one that has ended.
    if route.kind.is_stream() && request.version() < Version::HTTP_11 {
        return refuse(shared, Reply::OldVersion);
    }
    let limits = BodyLimits {
        length: view.table.limits.max_body,
        time: head.time_limit(shared.translate.names()).min(MAX_BODY_TIME),
    };
    let body = match body::receive(caller, payload, limits).await {
        Ok(body) => body,
        Err(reply) => return refuse(shared, reply),
    };
    if shared.is_closed(arrived) {
        return refuse(shared, Reply::Refused(RETRY_ELSEWHERE));
    }
    let incoming = match head.into_incoming(shared, &route, workspace, arrived, body) {
        Ok(incoming) => incoming,
        Err(reason) => {
            log_event!(warn, log_event::REFUSED, why = reason, path = request.path());
            return refuse(shared, Reply::Bad);
        }
    };
    let forward = ForwardedRequest::new(
        shared.clone(),
        worker.pool.clone(),
        worker.calls.clone(),
        view.clone(),
        route,
        incoming,
        running,
    );
    forward.run().await
}

/// Reads the head of a request, and refuses what can be refused by it alone.
fn read_head(
    shared: &Shared,
    view: &View,
    request: &HttpRequest,
    arrived: Time,
) -> Result<RequestHead, Reply> {
    if !view.is_configured() || shared.is_closed(arrived) {
        return Err(Reply::Refused(RETRY_ELSEWHERE));
    }
    if content_length(request) > view.table.limits.max_body {
        return Err(Reply::TooLong);
    }
    RequestHead::read(request, shared.translate.names()).map_err(|reason| {
        log_event!(warn, log_event::REFUSED, why = reason, path = request.path());
        Reply::Bad
    })
}

/// Refuses a request that no route matches; for good only if the configuration is recent enough to have the routes that it
/// must have. Logs the version of the configuration and the time since the store's last confirmation, so that a route that
/// had not reached this instance yet can be told from one that doesn't exist.
fn refuse_unrouted(shared: &Shared, view: &View, head: &RequestHead, ages: StoreAges) -> HttpResponse {
    let reply = match shared.may_lack_routes(view.table.version, ages.reported) {
        true => Reply::Refused(RETRY_ELSEWHERE),
        false => Reply::NoRoute,
    };
    let request = String::from_utf8_lossy(head.id.as_bytes()).into_owned();
    log_event!(info, log_event::REFUSED, request, outcome = reply.label(), why = "no route matches it", host = %head.host,
        path = head.uri.path(), config = view.table.version, heard = ages.reported.as_millis() as u64);
    refuse(shared, reply)
}

/// Refuses a request whose key no workspace holds, or whose key can't be checked because the known keys are too old.
fn refuse_key(
    shared: &Shared,
    route: &Route,
    key: Option<&[u8]>,
    ages: StoreAges,
    grant: KeyAccess<'_>,
) -> HttpResponse {
    let reply = match grant {
        KeyAccess::Denied => Reply::Denied,
        _ => Reply::Refused(RETRY_ELSEWHERE),
    };
    let digest = key.map(|key| KeyDigest::of(key).to_string());
    log_event!(info, log_event::KEY_REFUSED, outcome = reply.label(), route = %route.name, key = digest,
        heard = ages.reported.as_millis() as u64, proven = ages.proven.as_millis() as u64);
    refuse(shared, reply)
}

/// Answers a request that is refused before it is forwarded.
fn refuse(shared: &Shared, reply: Reply) -> HttpResponse {
    shared.metrics.count_refusal(match reply {
        Reply::NoRoute => "no route leads from there",
        Reply::TooLong => "the body is too long",
        Reply::Incomplete => "the body did not arrive in time",
        Reply::Denied => "nobody holds the key",
        Reply::OldVersion => "the caller's version of HTTP has no streams",
        Reply::Refused(_) => "the instance is not ready",
        _ => "the request can't be read",
    });
    reply.into_response()
}

/// The length that the head of a request declares, 0 if it declares none.
fn content_length(request: &HttpRequest) -> usize {
    let length = request.headers().get(actix_web::http::header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok());
    length.and_then(|text| text.parse().ok()).unwrap_or_default()
}
