//! Reading a request to generate: body, headers, and what a caller that comes back says it has.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::web::Payload;
use bytes::Bytes;
use sequoiastream_core::answer::Resume;
use sequoiastream_core::name::Name;
use uuid::Uuid;

use crate::gateway::GenerateCall;
use crate::proof::Unsent;
use crate::refusal::Refusal;
use crate::sse::Style;
use crate::wire::CompletionBody;
use crate::wire::Content;
use crate::wire::Prompt;

/// Tokens generated where the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Most tokens that a caller may ask for.
const MAX_TOKENS_LIMIT: u32 = 32_768;

/// Least urgent priority.
const MAX_PRIORITY: u8 = 9;

/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Reads a request's whole body, which must arrive within `time`.
///
/// Failure guarded against: a caller that sends its body byte by byte, or without end, holds a connection and
/// memory for good. Both size and time have a limit.
///
/// # Errors
///
/// [`Refusal`] if the body is too large, too slow or breaks off.
pub async fn read_body(payload: Payload, time: Duration) -> Result<Bytes, Refusal> {
    let read = payload.to_bytes_limited(MAX_BODY_BYTES);
    match tokio::time::timeout(time, read).await {
        Err(_) => Err(Refusal::bad_request("the request's body did not arrive in time")),
        Ok(Err(_)) => Err(Refusal::bad_request(format!(
            "the request's body has more than {MAX_BODY_BYTES} bytes"
        ))),
        Ok(Ok(Err(error))) => Err(Refusal::bad_request(format!("could not read the body: {error}"))),
        Ok(Ok(Ok(bytes))) => Ok(bytes),
    }
}

/// Reads a body of the OpenAI style, and checks what is supported.
///
/// # Errors
///
/// [`Refusal`] that says what is wrong.
pub fn parse_body(bytes: &Bytes) -> Result<CompletionBody, Refusal> {
    let body: CompletionBody = serde_json::from_slice(bytes)
        .map_err(|error| Refusal::bad_request(format!("could not read the request: {error}")))?;
    if body.n.unwrap_or(1) != 1 {
        return Err(Refusal::bad_request("`n` must be 1"));
    }
    if body.stop.as_ref().is_some_and(|stop| !stop.is_empty()) {
        return Err(Refusal::bad_request("`stop` is not supported"));
    }
    if body.tools.as_ref().is_some_and(|tools| !tools.is_empty()) {
        return Err(Refusal::bad_request("`tools` are not supported"));
    }
    match body.limit() {
        Some(0) => Err(Refusal::bad_request("`max_tokens` must be at least 1")),
        Some(limit) if limit > MAX_TOKENS_LIMIT => Err(Refusal::bad_request(format!(
            "`max_tokens` must be at most {MAX_TOKENS_LIMIT}"
        ))),
        _ => Ok(body),
    }
}

/// Puts a call together.
///
/// # Errors
///
/// [`Refusal`] that says what is wrong.
pub fn generate_call(
    product: Name,
    request: &HttpRequest,
    body: &CompletionBody,
    style: Style,
) -> Result<GenerateCall, Refusal> {
    let prompt = match style {
        Style::Chat => chat_prompt(body),
        Style::Text => text_prompt(body)?,
    };
    if prompt.trim().is_empty() {
        return Err(Refusal::bad_request("the prompt is empty"));
    }
    let limit = body.limit().unwrap_or(DEFAULT_MAX_TOKENS);
    let (id, resume) = match header(request, "last-event-id")? {
        Some(text) => parse_resume(text, limit)?,
        None => (Uuid::now_v7(), Resume::default()),
    };
    let seed = body
        .seed
        .map_or_else(|| derive_seed(&product, id), |seed| seed as u64);
    Ok(GenerateCall {
        unsent: Unsent::begin(),
        id,
        product,
        model: body.model.clone(),
        prompt,
        max_tokens: limit,
        seed,
        resume,
        priority: priority(request)?,
        deadline: deadline(request)?,
    })
}

/// The seed of a request that names none.
///
/// It must be the same when the caller comes back through another instance, which knows nothing of the request:
/// so it depends on the id alone. The product goes in too: who learns another product's request id can't have
/// that request's seed with it.
fn derive_seed(product: &Name, id: Uuid) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(product.as_str().as_bytes());
    hasher.update(b"/");
    hasher.update(id.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_be_bytes(bytes)
}

/// Reads what a caller that lost its connection sends back: `ID.VERSION/OFFSET`.
///
/// Nothing is looked up by it, so a forged one harms nobody: its sender gets the tokens of its own prompt.
fn parse_resume(text: &str, limit: u32) -> Result<(Uuid, Resume), Refusal> {
    let wrong = || Refusal::bad_request("`Last-Event-ID` is none that this service gave");
    let (name, offset) = text.trim().split_once('/').ok_or_else(wrong)?;
    let (id, version) = match name.split_once('.') {
        Some((id, version)) => (id, Some(version.parse().map_err(|_| wrong())?)),
        None => (name, None),
    };
    let id = Uuid::parse_str(id).map_err(|_| wrong())?;
    let offset: u32 = offset.parse().map_err(|_| wrong())?;
    if offset > limit {
        return Err(Refusal::bad_request(
            "`Last-Event-ID` lies behind the end that `max_tokens` sets",
        ));
    }
    if offset > 0 && version.is_none() {
        return Err(Refusal::bad_request(
            "this answer can't be continued: more than one version of the model made it; ask anew",
        ));
    }
    Ok((id, Resume { offset, version }))
}

fn chat_prompt(body: &CompletionBody) -> String {
    let lines: Vec<String> = body
        .messages
        .iter()
        .map(|m| format!("{}: {}", m.role, text_of(m.content.as_ref())))
        .collect();
    lines.join("\n")
}

fn text_of(content: Option<&Content>) -> String {
    match content {
        None => String::new(),
        Some(Content::Text(text)) => text.clone(),
        Some(Content::Parts(parts)) => parts.iter().map(|p| p.text.as_str()).collect(),
    }
}

fn text_prompt(body: &CompletionBody) -> Result<String, Refusal> {
    match &body.prompt {
        None => Ok(String::new()),
        Some(Prompt::Text(text)) => Ok(text.clone()),
        Some(Prompt::List(list)) => match list.as_slice() {
            [only] => Ok(only.clone()),
            _ => Err(Refusal::bad_request("`prompt` must hold one text")),
        },
    }
}

/// How long the caller waits, if it says so.
pub(crate) fn deadline(request: &HttpRequest) -> Result<Option<Duration>, Refusal> {
    let Some(text) = header(request, "sequoiastream-deadline-ms")? else {
        return Ok(None);
    };
    let wrong = || Refusal::bad_request("`sequoiastream-deadline-ms` must be a number of milliseconds");
    let limit = Duration::from_millis(text.parse().map_err(|_| wrong())?);
    Ok(Some(limit.min(MAX_DEADLINE)))
}

fn priority(request: &HttpRequest) -> Result<u8, Refusal> {
    let Some(text) = header(request, "sequoiastream-priority")? else {
        return Ok(0);
    };
    let message = format!("`sequoiastream-priority` must be a number from 0 to {MAX_PRIORITY}");
    match text.parse() {
        Ok(priority) if priority <= MAX_PRIORITY => Ok(priority),
        _ => Err(Refusal::bad_request(message)),
    }
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, Refusal> {
    let value = request.headers().get(name).map(|v| v.to_str());
    value
        .transpose()
        .map_err(|_| Refusal::bad_request(format!("header `{name}` is no text")))
}
