//! The endpoints that generate: the answer as server-sent events, or whole.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web::Data;
use actix_web::web::Payload;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use sequoiastream_core::outcome::Outcome;

use crate::gateway::Answer;
use crate::gateway::AnswerEvent;
use crate::gateway::Gateway;
use crate::http::OUTCOME_HEADER;
use crate::http::product;
use crate::http::respond;
use crate::refusal::Refusal;
use crate::request::generate_call;
use crate::request::parse_body;
use crate::request::read_body;
use crate::sse::AnswerFormat;
use crate::sse::Style;

/// Header that names a request.
const REQUEST_HEADER: &str = "sequoiastream-request";

/// `POST /v1/chat/completions`
pub async fn chat<G>(gateway: Data<G>, request: HttpRequest, payload: Payload) -> HttpResponse
where
    G: Gateway,
{
    respond(generate(gateway.get_ref(), &request, payload, Style::Chat).await)
}

/// `POST /v1/completions`
pub async fn completion<G>(gateway: Data<G>, request: HttpRequest, payload: Payload) -> HttpResponse
where
    G: Gateway,
{
    respond(generate(gateway.get_ref(), &request, payload, Style::Text).await)
}

async fn generate<G>(
    gateway: &G,
    request: &HttpRequest,
    payload: Payload,
    style: Style,
) -> Result<HttpResponse, Refusal>
where
    G: Gateway,
{
    let product = product(gateway, request)?;
    let body = parse_body(&read_body(payload, gateway.body_timeout()).await?)?;
    let call = generate_call(product, request, &body, style)?;
    let frame = AnswerFormat::new(style, call.id, body.model).usage(body.stream_options.include_usage);
    let answer = gateway.generate(call).await?;
    match body.stream {
        true => stream(frame, answer).await,
        false => whole(frame, answer).await,
    }
}

/// Streams an answer. What ends it before its first token becomes an ordinary refusal with its own status.
async fn stream(frame: AnswerFormat, mut answer: Answer) -> Result<HttpResponse, Refusal> {
    let first = match answer.events.recv().await {
        Some(AnswerEvent::Failed(refusal)) => return Err(refusal),
        Some(event) => event,
        None => return Err(Refusal::unknown("the answer was lost")),
    };
    let mut head = HttpResponse::Ok();
    head.insert_header((REQUEST_HEADER, frame.resume_id(version_of(&first))));
    let parts = futures_util::stream::unfold(Pending::Event(first, answer), next_batch);
    let mut opening = true;
    let body =
        parts.map(move |part| Ok::<Bytes, actix_web::Error>(render_batch(&frame, &part, &mut opening)));
    Ok(head
        .content_type("text/event-stream")
        .insert_header(("cache-control", "no-store"))
        .streaming(body))
}

fn version_of(event: &AnswerEvent) -> Option<u32> {
    match event {
        AnswerEvent::Token(token) => token.version,
        AnswerEvent::Done(_) | AnswerEvent::Failed(_) => None,
    }
}

/// After so long without an event a comment is sent, which clients skip.
///
/// Failure guarded against: a caller leaves while its engine is silent. The server sees that a caller is gone only
/// when it writes to it, so the engine would be kept busy for nobody until its next token.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The comment.
const KEEP_ALIVE_COMMENT: &[u8] = b": waiting\n\n";

/// What of an answer is still to be sent.
enum Pending {
    /// An event that has come already, and what follows.
    Event(AnswerEvent, Answer),
    /// Events still to come.
    Open(Answer),
    /// Nothing.
    End,
}

/// Most events that are written at once.
const MAX_BATCH: usize = 64;

/// The events to write next, none for a comment. Each is sent when it comes; none waits for the one after it. Those
/// that have come together, since the thread was busy, go out in one write.
async fn next_batch(pending: Pending) -> Option<(Vec<AnswerEvent>, Pending)> {
    let (event, mut answer) = match pending {
        Pending::Event(event, answer) => (event, answer),
        Pending::Open(mut answer) => {
            let lost = || AnswerEvent::Failed(Refusal::unknown("the answer was lost"));
            match tokio::time::timeout(KEEP_ALIVE_INTERVAL, answer.events.recv()).await {
                Ok(event) => (event.unwrap_or_else(lost), answer),
                Err(_) => return Some((Vec::new(), Pending::Open(answer))),
            }
        }
        Pending::End => return None,
    };
    let mut part = vec![event];
    while part.len() < MAX_BATCH && matches!(part.last(), Some(AnswerEvent::Token(_))) {
        match answer.events.try_recv() {
            Ok(event) => part.push(event),
            Err(_) => return Some((part, Pending::Open(answer))),
        }
    }
    let pending = match part.last() {
        Some(AnswerEvent::Token(_)) => Pending::Open(answer),
        _ => Pending::End,
    };
    Some((part, pending))
}

fn render_batch(frame: &AnswerFormat, part: &[AnswerEvent], opening: &mut bool) -> Bytes {
    match part {
        [] => Bytes::from_static(KEEP_ALIVE_COMMENT),
        [event] => render(frame, event, std::mem::replace(opening, false)),
        events => {
            let mut bytes = BytesMut::new();
            for event in events {
                bytes.extend_from_slice(&render(frame, event, std::mem::replace(opening, false)));
            }
            bytes.freeze()
        }
    }
}

fn render(frame: &AnswerFormat, event: &AnswerEvent, opening: bool) -> Bytes {
    match event {
        AnswerEvent::Token(token) => frame.token(token, opening),
        AnswerEvent::Done(finish) => frame.done(finish),
        AnswerEvent::Failed(refusal) => frame.failed(refusal),
    }
}

async fn whole(frame: AnswerFormat, mut answer: Answer) -> Result<HttpResponse, Refusal> {
    let mut text = String::new();
    let mut version = None;
    loop {
        match answer.events.recv().await {
            Some(AnswerEvent::Token(token)) => {
                version = token.version;
                text.push_str(&token.text);
            }
            Some(AnswerEvent::Failed(refusal)) => return Err(refusal),
            None => return Err(Refusal::unknown("the answer was lost")),
            Some(AnswerEvent::Done(finish)) => {
                return Ok(HttpResponse::Ok()
                    .insert_header((OUTCOME_HEADER, Outcome::Whole.to_string()))
                    .insert_header((REQUEST_HEADER, frame.resume_id(version)))
                    .json(frame.whole(&text, &finish)));
            }
        }
    }
}
