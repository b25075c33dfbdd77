//! The head of a request: what is read of it, what is refused, and what is never passed on.

use std::time::Duration;

use actix_web::HttpRequest;
use bytes::Bytes;
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
use sequoiastream_core::relay::workspaces::Workspace;
use sequoiastream_core::time::Time;

use crate::log_event;
use crate::ops::relay::edge::HeaderNames;
use crate::ops::relay::send::IncomingRequest;
use crate::ops::relay::shared::Shared;

/// Headers that concern one connection only.
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

/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// The head of a request, in the types of the side that sends it on.
pub struct RequestHead {
    method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Host, without its port.
    pub host: String,
    headers: HeaderMap,
    id: HeaderValue,
    /// The caller's key.
    pub key: Option<HeaderValue>,
}

impl RequestHead {
    /// Failure guarded against: a request smuggled inside another, or read differently here and at the engine. Two
    /// lengths, two hosts or two ids are refused; what frames a body is never passed on but made anew.
    pub fn read(request: &HttpRequest, names: &HeaderNames) -> Result<RequestHead, &'static str> {
        let mut headers = HeaderMap::with_capacity(request.headers().len());
        for (name, value) in request.headers() {
            let name = HeaderName::from_bytes(name.as_str().as_bytes()).map_err(|_| "a header's name")?;
            let value = HeaderValue::from_bytes(value.as_bytes()).map_err(|_| "a header's value")?;
            headers.append(name, value);
        }
        let framing_headers =
            [header::CONTENT_LENGTH, header::TRANSFER_ENCODING].map(|n| headers.contains_key(n));
        if framing_headers == [true, true] {
            return Err("two framings");
        }
        for name in [&header::HOST, &header::CONTENT_LENGTH, &names.request, &names.key] {
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
        let key = headers.get(&names.key).cloned();
        strip_headers(&mut headers, names);
        Ok(RequestHead {
            method,
            uri,
            host,
            headers,
            id,
            key,
        })
    }

    /// A deadline or a last event that can't be read is refused: without it a caller would wait beyond its time, or get
    /// events once more.
    pub fn into_incoming(
        self,
        shared: &Shared,
        route: &Route,
        workspace: Option<&Workspace>,
        arrived: Time,
        body: Bytes,
    ) -> Result<IncomingRequest, &'static str> {
        let names = shared.translate.names();
        let deadline: Option<f64> =
            parse_number(&self.headers, &names.deadline).map_err(|_| "the deadline")?;
        let time_limit = match deadline {
            Some(millis) => Duration::try_from_secs_f64(millis / 1_000.0).map_err(|_| "the deadline")?,
            None => DEFAULT_DEADLINE,
        };
        let last_event = match route.kind.is_stream() {
            true => parse_number(&self.headers, &names.last_event).map_err(|_| "the last event")?,
            false => None,
        };
        let prompt = match route.affine || route.kind.is_stream() {
            true => parse_prompt(shared, &self.headers),
            false => None,
        };
        let name = workspace.map(|w| HeaderValue::from_str(&w.name)).transpose();
        let deadline = arrived + time_limit;
        let fingerprint = (!body.is_empty()).then(|| fingerprint(&self.method, &self.uri, &body));
        Ok(IncomingRequest {
            fingerprint,
            prompt,
            workspace: name.map_err(|_| "the workspace's name")?,
            priority: workspace.and_then(|w| w.priority),
            last_event,
            arrived,
            deadline,
            expires_at: deadline.min(arrived + route.timeout),
            method: self.method,
            uri: self.uri,
            headers: self.headers,
            id: self.id,
            body,
        })
    }
}

/// The number in a header, if it is there.
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

/// A header that holds no number.
struct InvalidNumber;

fn fingerprint(method: &Method, uri: &Uri, body: &[u8]) -> u64 {
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let hash = Hash::new().with(method.as_str().as_bytes());
    hash.with(path.as_bytes()).with(body).value()
}

/// A prompt whose shape can't be read is forwarded all the same: the engine judges it.
fn parse_prompt(shared: &Shared, headers: &HeaderMap) -> Option<Prompt> {
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
