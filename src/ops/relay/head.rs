//! Parses the head of a request, refuses invalid ones, and removes the headers that are never forwarded.

use std::cell::Cell;
use std::net::IpAddr;
use std::time::Duration;

use actix_web::HttpRequest;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Uri;
use http::header;
use sequoiastream_core::log_event;
use sequoiastream_core::poison::suspects::RequestIdentity;
use sequoiastream_core::relay::prompt::Prompt;
use sequoiastream_core::relay::routes::Route;
use sequoiastream_core::relay::workspaces::Workspace;
use sequoiastream_core::time::Time;

use crate::log_event;
use crate::ops::relay::body::ReceivedBody;
use crate::ops::relay::edge::HeaderNames;
use crate::ops::relay::send::IncomingRequest;
use crate::ops::relay::shared::Shared;

/// Headers that apply to one connection only and are never forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];

/// Time until the deadline of a request that specifies none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// The head of a request, converted to the types that are used to forward it.
pub struct RequestHead {
    method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Host, without its port.
    pub host: String,
    headers: HeaderMap,
    /// Id that the caller gave this attempt.
    pub id: HeaderValue,
    /// Key of the caller.
    pub key: Option<HeaderValue>,
    /// Address of the caller.
    caller: Option<IpAddr>,
}

impl RequestHead {
    /// Reads and checks the head of a request.
    ///
    /// Failure guarded against: a request is smuggled inside another one, or this instance and the engine parse it
    /// differently. A request with two lengths, two hosts or two ids is refused. Headers that frame the body are never
    /// forwarded; they are generated anew.
    pub fn read(request: &HttpRequest, names: &HeaderNames) -> Result<RequestHead, &'static str> {
        let mut headers = HeaderMap::with_capacity(request.headers().len());
        for (name, value) in request.headers() {
            let name = HeaderName::from_bytes(name.as_str().as_bytes()).map_err(|_| "invalid header name")?;
            let value = HeaderValue::from_bytes(value.as_bytes()).map_err(|_| "invalid header value")?;
            headers.append(name, value);
        }
        let framing_headers =
            [header::CONTENT_LENGTH, header::TRANSFER_ENCODING].map(|n| headers.contains_key(n));
        if framing_headers == [true, true] {
            return Err("both content-length and transfer-encoding");
        }
        for name in [&header::HOST, &header::CONTENT_LENGTH, &names.request, &names.key] {
            if headers.get_all(name).iter().count() > 1 {
                return Err("duplicate host, content-length, request id or key");
            }
        }
        let id = headers.get(&names.request).cloned().ok_or("missing request id")?;
        let host = headers.get(header::HOST).ok_or("missing host")?;
        let host = host.to_str().map_err(|_| "host is not text")?;
        let host = host.split(':').next().unwrap_or(host).to_string();
        let uri = request.head().uri.path_and_query();
        let uri = uri.map_or("/", |uri| uri.as_str());
        let uri = uri.parse().map_err(|_| "invalid path")?;
        let method =
            Method::from_bytes(request.method().as_str().as_bytes()).map_err(|_| "invalid method")?;
        let key = headers.get(&names.key).cloned();
        strip_headers(&mut headers, names);
        Ok(RequestHead {
            method,
            uri,
            host,
            headers,
            id,
            key,
            caller: request.peer_addr().map(|address| address.ip()),
        })
    }

    /// How long the caller will wait, as far as its head says.
    pub fn time_limit(&self, names: &HeaderNames) -> Duration {
        let millis: Option<f64> = parse_number(&self.headers, &names.deadline).ok().flatten();
        let limit = millis.and_then(|millis| Duration::try_from_secs_f64(millis / 1_000.0).ok());
        limit.unwrap_or(DEFAULT_DEADLINE)
    }

    /// Parses the remaining headers and adds the body. A deadline or last event id that is invalid is refused: if it
    /// were ignored, the caller would be kept waiting beyond its deadline, or would receive events twice.
    pub fn into_incoming(
        self,
        shared: &Shared,
        route: &Route,
        workspace: Option<&Workspace>,
        arrived: Time,
        received: ReceivedBody,
    ) -> Result<IncomingRequest, &'static str> {
        let names = shared.translate.names();
        let deadline: Option<f64> =
            parse_number(&self.headers, &names.deadline).map_err(|_| "invalid deadline")?;
        let time_limit = match deadline {
            Some(millis) => Duration::try_from_secs_f64(millis / 1_000.0).map_err(|_| "invalid deadline")?,
            None => DEFAULT_DEADLINE,
        };
        let last_event = match route.kind.is_stream() {
            true => parse_number(&self.headers, &names.last_event).map_err(|_| "invalid last event id")?,
            false => None,
        };
        let prompt = match route.affine || route.kind.is_stream() {
            true => parse_prompt(shared, &self.headers),
            false => None,
        };
        let resumes = self.headers.get(&names.resumes).cloned();
        let name = workspace.map(|w| HeaderValue::from_str(&w.name)).transpose();
        let deadline = arrived + time_limit;
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        let address = self.caller.map(|address| address.to_string()).unwrap_or_default();
        let caller = self.key.as_ref().map_or(address.as_bytes(), |key| key.as_bytes());
        let ReceivedBody { bytes: body, memory } = received;
        let parts = prompt.iter().flat_map(|prompt: &Prompt| prompt.shared_parts());
        let identity = RequestIdentity::new(self.method.as_str(), path, &body, caller)
            .with_parts(parts.map(|part| part.id));
        Ok(IncomingRequest {
            identity,
            prompt,
            workspace: name.map_err(|_| "workspace name is not a valid header value")?,
            priority: workspace.and_then(|w| w.priority),
            engine_priority: None,
            last_event,
            resumes: resumes.filter(|_| route.kind.is_stream()),
            arrived,
            deadline,
            expires_at: deadline.min(arrived + route.timeout),
            method: self.method,
            uri: self.uri,
            headers: self.headers,
            id: self.id,
            body,
            memory,
            arrivals: Cell::default(),
        })
    }
}

/// Parses the number in a header, if the header is present.
fn parse_number<T>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>, InvalidNumber>
where
    T: std::str::FromStr,
{
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| InvalidNumber)?;
    text.trim().parse().map(Some).map_err(|_| InvalidNumber)
}

/// A header does not contain a valid number.
struct InvalidNumber;

/// Parses the structure of the prompt. If that fails, the request is forwarded without it: whether the prompt is valid
/// is for the engine to decide.
fn parse_prompt(shared: &Shared, headers: &HeaderMap) -> Option<Prompt> {
    let names = shared.translate.names();
    let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
    let tokens = text(&names.tokens)?;
    let model = text(&names.model).unwrap_or_default();
    let parts = text(&names.parts).unwrap_or_default();
    // An estimate that can't be read is no reason to ignore the prompt.
    let expected = parse_number(headers, &names.expected).unwrap_or_default();
    match shared.translate.prompt(model, tokens, parts) {
        Ok(prompt) => Some(Prompt { expected, ..prompt }),
        Err(error) => {
            log_event!(debug, log_event::ENTRY_UNREADABLE, %error);
            None
        }
    }
}

/// Removes the headers that apply to one connection only, and those that only this system may set.
fn strip_headers(headers: &mut HeaderMap, names: &HeaderNames) {
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
    for name in HOP_BY_HOP_HEADERS.iter().chain(&names.reserved) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
