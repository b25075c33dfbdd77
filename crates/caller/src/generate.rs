//! The endpoints that generate text and return the answer as server-sent events or as one body.

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

/// Response header that carries the resume ID of the request.
const REQUEST_HEADER: &str = "sequoiastream-request";

/// Handles `POST /v1/chat/completions`.
pub async fn chat<G>(gateway: Data<G>, request: HttpRequest, payload: Payload) -> HttpResponse
where
    G: Gateway,
{
    respond(generate(gateway.get_ref(), &request, payload, Style::Chat).await)
}

/// Handles `POST /v1/completions`.
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
    let format = AnswerFormat::new(style, call.id, body.model).usage(body.stream_options.include_usage);
    let answer = gateway.generate(call).await?;
    match body.stream {
        true => stream(format, answer).await,
        false => whole(format, answer).await,
    }
}

/// Streams an answer. A failure before the first token becomes an ordinary refusal with its own HTTP status.
async fn stream(format: AnswerFormat, mut answer: Answer) -> Result<HttpResponse, Refusal> {
    let first = match answer.events.recv().await {
        Some(AnswerEvent::Failed(refusal)) => return Err(refusal),
        Some(event) => event,
        None => return Err(Refusal::unknown("the answer was lost")),
    };
    let mut head = HttpResponse::Ok();
    head.insert_header((REQUEST_HEADER, format.resume_id(version_of(&first))));
    let batches = futures_util::stream::unfold(Pending::Event(first, answer), next_batch);
    let mut first_event = true;
    let body = batches
        .map(move |batch| Ok::<Bytes, actix_web::Error>(render_batch(&format, &batch, &mut first_event)));
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

/// Time without an event after which a comment is sent, which clients ignore.
///
/// Guards against a caller that disconnects while its engine is silent. The server notices that a caller is gone only
/// when it writes to the connection, so without the comment the engine would work for nobody until its next token.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The server-sent comment that keeps an idle stream open.
const KEEP_ALIVE_COMMENT: &[u8] = b": waiting\n\n";

/// The part of an answer that is still to be sent.
enum Pending {
    /// An event that has already arrived, and the events after it.
    Event(AnswerEvent, Answer),
    /// Events that have not arrived yet.
    Open(Answer),
    /// The answer has ended.
    End,
}

/// Maximum number of events in one write.
const MAX_BATCH: usize = 64;

/// Returns the events to write next; an empty batch stands for a comment. Each event is sent when it arrives, without
/// waiting for the next one. Events that accumulated while the thread was busy are sent in one write.
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
    let mut batch = vec![event];
    while batch.len() < MAX_BATCH && matches!(batch.last(), Some(AnswerEvent::Token(_))) {
        match answer.events.try_recv() {
            Ok(event) => batch.push(event),
            Err(_) => return Some((batch, Pending::Open(answer))),
        }
    }
    let pending = match batch.last() {
        Some(AnswerEvent::Token(_)) => Pending::Open(answer),
        _ => Pending::End,
    };
    Some((batch, pending))
}

fn render_batch(format: &AnswerFormat, batch: &[AnswerEvent], first_event: &mut bool) -> Bytes {
    match batch {
        [] => Bytes::from_static(KEEP_ALIVE_COMMENT),
        [event] => render(format, event, std::mem::replace(first_event, false)),
        events => {
            let mut bytes = BytesMut::new();
            for event in events {
                bytes.extend_from_slice(&render(format, event, std::mem::replace(first_event, false)));
            }
            bytes.freeze()
        }
    }
}

fn render(format: &AnswerFormat, event: &AnswerEvent, first_event: bool) -> Bytes {
    match event {
        AnswerEvent::Token(token) => format.token(token, first_event),
        AnswerEvent::Done(finish) => format.done(finish),
        AnswerEvent::Failed(refusal) => format.failed(refusal),
    }
}

async fn whole(format: AnswerFormat, mut answer: Answer) -> Result<HttpResponse, Refusal> {
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
                    .insert_header((REQUEST_HEADER, format.resume_id(version)))
                    .json(format.whole(&text, &finish)));
            }
        }
    }
}
