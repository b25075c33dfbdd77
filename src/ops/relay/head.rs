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
use crate::ops::relay::edge::Names;
use crate::ops::relay::send::Ask;
use crate::ops::relay::shared::Shared;

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

/// Deadline of a request that names none.
const DEADLINE: Duration = Duration::from_secs(30);

/// The head of a request, in the types of the side that sends it on.
pub struct Head {
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

impl Head {
    /// Failure guarded against: a request smuggled inside another, or read differently here and at the engine. Two
    /// lengths, two hosts or two ids are refused; what frames a body is never passed on but made anew.
    pub fn read(request: &HttpRequest, names: &Names) -> Result<Head, &'static str> {
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
        strip(&mut headers, names);
        Ok(Head {
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
    pub fn into_ask(
        self,
        shared: &Shared,
        route: &Route,
        workspace: Option<&Workspace>,
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
        let name = workspace.map(|w| HeaderValue::from_str(&w.name)).transpose();
        let deadline = arrived + wait;
        let print = (!body.is_empty()).then(|| print(&self.method, &self.uri, &body));
        Ok(Ask {
            print,
            prompt,
            workspace: name.map_err(|_| "the workspace's name")?,
            priority: workspace.and_then(|w| w.priority),
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
