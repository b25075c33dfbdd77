//! The servers: callers' requests, the question which addresses to use, and the question whether this instance is
//! ready.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::http::ConnectionType;
use actix_web::web;
use actix_web::web::Data;
use actix_web::web::Payload;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Uri;
use http::header;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::hash::Hash;
use sequoiastream_core::relay::prompt::Prompt;
use sequoiastream_core::relay::routes::Route;
use sequoiastream_core::time::Time;
use sequoiastream_upstream::channel::Pool;

use crate::log_event;
use crate::ops::relay::edge::Names;
use crate::ops::relay::forward::Forward;
use crate::ops::relay::gauges;
use crate::ops::relay::idle;
use crate::ops::relay::reply::Reply;
use crate::ops::relay::send::Ask;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// How long an idle connection of a caller is kept: longer than callers use one, so that no request crosses its end.
const IDLE: Duration = Duration::from_secs(75);

/// How long a caller may take to send the head of a request. The configuration's own limit is never longer.
const HEAD: Duration = Duration::from_secs(10);

/// Connections that wait to be accepted; a full queue costs a caller seconds.
const BACKLOG: u32 = 2_048;

/// Deadline of a request that names none.
const DEADLINE: Duration = Duration::from_secs(30);

/// Path of the metrics.
const METRICS: &str = "/metrics";

/// When a caller may come back, to another instance.
const ELSEWHERE: Duration = Duration::from_millis(100);

/// Headers that concern one connection only.
const HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];

/// What a traffic thread has for itself.
#[derive(Clone)]
struct Worker {
    shared: Arc<Shared>,
    pool: Pool,
}

/// Starts the servers.
///
/// # Errors
///
/// If an address can't be bound.
pub fn start(shared: Arc<Shared>) -> std::io::Result<ServerHandle> {
    let options = &shared.options;
    let mut addresses = vec![options.front];
    addresses.extend(options.ready);
    addresses.extend(options.directory);
    addresses.extend(options.metrics);
    addresses.sort();
    addresses.dedup();
    let state = shared.clone();
    let mut server = HttpServer::new(move || {
        let pool = Pool::new();
        actix_rt::spawn(idle::sweep(state.clone(), pool.clone()));
        let worker = Worker {
            shared: state.clone(),
            pool,
        };
        App::new()
            .app_data(Data::new(worker))
            .default_service(web::to(handle))
    })
    .workers(1)
    .backlog(BACKLOG)
    .keep_alive(IDLE)
    .client_request_timeout(HEAD)
    .h1_allow_half_closed(false)
    .disable_signals();
    for address in addresses {
        server = server.bind(address)?;
    }
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log_event!(error, log_event::SERVER_FAILED, %error);
        }
    });
    Ok(handle)
}

async fn handle(request: HttpRequest, payload: Payload, worker: Data<Worker>) -> HttpResponse {
    let shared = &worker.shared;
    let local = request.app_config().local_addr();
    let mut response = match call(shared, local, &request) {
        Some(response) => response,
        None => traffic(&worker, &request, payload).await,
    };
    if shared.is_leaving() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

/// The answer to a call about this instance, if it is one.
fn call(shared: &Shared, local: SocketAddr, request: &HttpRequest) -> Option<HttpResponse> {
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
        return Some(addresses(shared));
    }
    if at(options.metrics) && request.path() == METRICS {
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

fn addresses(shared: &Shared) -> HttpResponse {
    let view = shared.view.load();
    if view.addresses.is_empty() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let body = shared.translate.addresses(&view.addresses, shared.tuning().keep);
    HttpResponse::Ok().content_type("application/json").body(body)
}

async fn traffic(worker: &Worker, request: &HttpRequest, payload: Payload) -> HttpResponse {
    let arrived = clock::now();
    let shared = &worker.shared;
    let running = shared.begin();
    let view = shared.view.load_full();
    let most = view.table.limits.body;
    if declared(request) > most {
        return refuse(shared, Reply::TooLong);
    }
    let body = match read(payload, most).await {
        Ok(body) => body,
        Err(reply) => return refuse(shared, reply),
    };
    if !view.is_configured() || shared.is_closed(arrived) {
        return refuse(shared, Reply::Refused(ELSEWHERE));
    }
    let head = match Head::read(request, shared.translate.names()) {
        Ok(head) => head,
        Err(why) => {
            log_event!(warn, log_event::REFUSED, why, path = request.path());
            return refuse(shared, Reply::Bad);
        }
    };
    let Some(route) = view.table.find(&head.host, head.uri.path()) else {
        return refuse(shared, Reply::NoRoute);
    };
    let ask = match head.into_ask(shared, &route, arrived, body) {
        Ok(ask) => ask,
        Err(why) => {
            log_event!(warn, log_event::REFUSED, why, path = request.path());
            return refuse(shared, Reply::Bad);
        }
    };
    let forward = Forward::new(shared.clone(), worker.pool.clone(), view, route, ask, running);
    forward.run().await
}

/// Answers a request that got no further than here.
fn refuse(shared: &Shared, reply: Reply) -> HttpResponse {
    shared.metrics.refusal(match reply {
        Reply::NoRoute => "no route leads from there",
        Reply::TooLong => "the body is too long",
        Reply::Refused(_) => "the instance is not ready",
        _ => "the request can't be read",
    });
    reply.into_response()
}

/// The length that the head of a request declares, zero if none.
fn declared(request: &HttpRequest) -> usize {
    let length = request.headers().get(actix_web::http::header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok());
    length.and_then(|text| text.parse().ok()).unwrap_or_default()
}

async fn read(mut payload: Payload, most: usize) -> Result<Bytes, Reply> {
    let mut whole = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|error| {
            // A caller that left, or broke the framing of its body.
            log_event!(debug, log_event::REFUSED, %error, why = "the body broke off");
            Reply::Bad
        })?;
        if whole.len() + part.len() > most {
            return Err(Reply::TooLong);
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}

/// The head of a request, in the types of the side that sends it on.
struct Head {
    method: Method,
    uri: Uri,
    host: String,
    headers: HeaderMap,
    id: HeaderValue,
}

impl Head {
    /// Failure guarded against: a request smuggled inside another, or read differently here and at the engine. Two
    /// lengths, two hosts or two ids are refused; what frames a body is never passed on but made anew.
    fn read(request: &HttpRequest, names: &Names) -> Result<Head, &'static str> {
        let mut headers = HeaderMap::with_capacity(request.headers().len());
        for (name, value) in request.headers() {
            let name = HeaderName::from_bytes(name.as_str().as_bytes()).map_err(|_| "a header's name")?;
            let value = HeaderValue::from_bytes(value.as_bytes()).map_err(|_| "a header's value")?;
            headers.append(name, value);
        }
        let framed = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING].map(|n| headers.contains_key(n));
        if framed == [true, true] {
            return Err("two framings");
        }
        for name in [&header::HOST, &header::CONTENT_LENGTH, &names.request] {
            if headers.get_all(name).iter().count() > 1 {
                return Err("a header that may stand once only");
            }
        }
        let id = headers.get(&names.request).cloned().ok_or("no request id")?;
        let host = headers.get(header::HOST).ok_or("no host")?;
        let host = host.to_str().map_err(|_| "a host that is no text")?;
        let host = host.split(':').next().unwrap_or(host).to_string();
        let uri = request.head().uri.path_and_query();
        let uri = uri.map_or("/", |uri| uri.as_str());
        let uri = uri.parse().map_err(|_| "a path that can't be read")?;
        let method = Method::from_bytes(request.method().as_str().as_bytes()).map_err(|_| "the method")?;
        strip(&mut headers, names);
        Ok(Head {
            method,
            uri,
            host,
            headers,
            id,
        })
    }

    /// A deadline or a last event that can't be read is refused: without it a caller would wait beyond its time, or get
    /// events once more.
    fn into_ask(
        self,
        shared: &Shared,
        route: &Route,
        arrived: Time,
        body: Bytes,
    ) -> Result<Ask, &'static str> {
        let names = shared.translate.names();
        let deadline: Option<f64> = number(&self.headers, &names.deadline).map_err(|_| "the deadline")?;
        let wait = match deadline {
            Some(millis) => Duration::try_from_secs_f64(millis / 1_000.0).map_err(|_| "the deadline")?,
            None => DEADLINE,
        };
        let resume = match route.kind.is_stream() {
            true => number(&self.headers, &names.resume).map_err(|_| "the last event")?,
            false => None,
        };
        let prompt = match route.affine || route.kind.is_stream() {
            true => prompt(shared, &self.headers),
            false => None,
        };
        let deadline = arrived + wait;
        let print = (!body.is_empty()).then(|| print(&self.method, &self.uri, &body));
        Ok(Ask {
            print,
            prompt,
            resume,
            arrived,
            deadline,
            until: deadline.min(arrived + route.timeout),
            method: self.method,
            uri: self.uri,
            headers: self.headers,
            id: self.id,
            body,
        })
    }
}

/// The number in a header, if it is there.
fn number<T>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>, Unreadable>
where
    T: std::str::FromStr,
{
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Unreadable)?;
    text.trim().parse().map(Some).map_err(|_| Unreadable)
}

/// A header that holds no number.
struct Unreadable;

fn print(method: &Method, uri: &Uri, body: &[u8]) -> u64 {
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let hash = Hash::new().with(method.as_str().as_bytes());
    hash.with(path.as_bytes()).with(body).value()
}

/// A prompt whose shape can't be read is forwarded all the same: the engine judges it.
fn prompt(shared: &Shared, headers: &HeaderMap) -> Option<Prompt> {
    let names = shared.translate.names();
    let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
    let tokens = text(&names.tokens)?;
    let model = text(&names.model).unwrap_or_default();
    let parts = text(&names.parts).unwrap_or_default();
    match shared.translate.prompt(model, tokens, parts) {
        Ok(prompt) => Some(prompt),
        Err(error) => {
            log_event!(debug, log_event::ENTRY_UNREADABLE, %error);
            None
        }
    }
}

/// Removes what concerns one connection only, and what only this system may say.
fn strip(headers: &mut HeaderMap, names: &Names) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named {
        if name != header::HOST && name != names.request {
            headers.remove(name);
        }
    }
    for name in HOP.iter().chain(&names.reserved) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
