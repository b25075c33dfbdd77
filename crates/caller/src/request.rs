//! Parses requests to generate text: the body, the headers, and the position from which a caller resumes.

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

/// Maximum number of tokens generated if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Largest `max_tokens` that a caller may set.
const MAX_TOKENS_LIMIT: u32 = 32_768;

/// Least urgent priority.
const MAX_PRIORITY: u8 = 9;

/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Reads the whole body of a request, which must arrive within `timeout`.
///
/// Guards against a caller that sends its body byte by byte, or without end, and so occupies a connection and memory
/// forever. Both size and time are limited.
///
/// # Errors
///
/// [`Refusal`] if the body is too large, too slow or incomplete.
pub async fn read_body(payload: Payload, timeout: Duration) -> Result<Bytes, Refusal> {
    let read = payload.to_bytes_limited(MAX_BODY_BYTES);
    match tokio::time::timeout(timeout, read).await {
        Err(_) => Err(Refusal::bad_request("the request body did not arrive in time")),
        Ok(Err(_)) => Err(Refusal::bad_request(format!(
            "the request body is larger than {MAX_BODY_BYTES} bytes"
        ))),
        Ok(Ok(Err(error))) => Err(Refusal::bad_request(format!(
            "could not read the request body: {error}"
        ))),
        Ok(Ok(Ok(bytes))) => Ok(bytes),
    }
}

/// Parses an OpenAI-style body and rejects unsupported options.
///
/// # Errors
///
/// [`Refusal`] that describes what is invalid.
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

/// Builds the call for the gateway from the headers and the body of a request.
///
/// # Errors
///
/// [`Refusal`] that describes what is invalid.
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

/// Derives the sampling seed of a request that sets none.
///
/// The seed must be the same when the caller resumes through another instance, which knows nothing of the request, so
/// the only part of the request that it depends on is the ID. The product is hashed as well, so that a caller that
/// learns the ID of another product's request does not get that request's seed with it.
fn derive_seed(product: &Name, id: Uuid) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(product.as_str().as_bytes());
    hasher.update(b"/");
    hasher.update(id.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_be_bytes(bytes)
}

/// Parses the `Last-Event-ID` that a caller sends after it lost its connection: `ID.VERSION/OFFSET`.
///
/// Nothing is looked up by it, so a forged value does no harm: its sender gets the tokens of its own prompt.
fn parse_resume(text: &str, limit: u32) -> Result<(Uuid, Resume), Refusal> {
    let invalid = || Refusal::bad_request("`Last-Event-ID` is not one that this service issued");
    let (name, offset) = text.trim().split_once('/').ok_or_else(invalid)?;
    let (id, version) = match name.split_once('.') {
        Some((id, version)) => (id, Some(version.parse().map_err(|_| invalid())?)),
        None => (name, None),
    };
    let id = Uuid::parse_str(id).map_err(|_| invalid())?;
    let offset: u32 = offset.parse().map_err(|_| invalid())?;
    if offset > limit {
        return Err(Refusal::bad_request(
            "the offset in `Last-Event-ID` is greater than `max_tokens`",
        ));
    }
    if offset > 0 && version.is_none() {
        return Err(Refusal::bad_request(
            "this answer can't be resumed: several versions of the model generated it; send the request anew",
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
            _ => Err(Refusal::bad_request("`prompt` must contain exactly one string")),
        },
    }
}

/// How long the caller waits for the answer, if it sets a deadline; at most [`MAX_DEADLINE`].
pub(crate) fn deadline(request: &HttpRequest) -> Result<Option<Duration>, Refusal> {
    let Some(text) = header(request, "sequoiastream-deadline-ms")? else {
        return Ok(None);
    };
    let invalid = || Refusal::bad_request("`sequoiastream-deadline-ms` must be a number of milliseconds");
    let deadline = Duration::from_millis(text.parse().map_err(|_| invalid())?);
    Ok(Some(deadline.min(MAX_DEADLINE)))
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
        .map_err(|_| Refusal::bad_request(format!("header `{name}` is not valid text")))
}
