//! The endpoints that generate: the answer as server-sent events, or whole.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web::Data;
use actix_web::web::Payload;
use bytes::Bytes;
use futures_util::StreamExt;
use sequoiastream_core::outcome::Outcome;

use crate::gateway::Answer;
use crate::gateway::AnswerEvent;
use crate::gateway::Gateway;
use crate::http::OUTCOME;
use crate::http::product;
use crate::http::refuse;
use crate::refusal::Refusal;
use crate::request::generate_call;
use crate::request::parse_body;
use crate::request::read_body;
use crate::sse::Frame;
use crate::sse::Style;

/// Header that names a request.
const REQUEST: &str = "sequoiastream-request";

/// `POST /v1/chat/completions`
pub async fn chat<G>(gateway: Data<G>, request: HttpRequest, payload: Payload) -> HttpResponse
where
    G: Gateway,
{
    let answer = generate(gateway.get_ref(), &request, payload, Style::Chat).await;
    answer.unwrap_or_else(|refusal| refuse(&refusal))
}

/// `POST /v1/completions`
pub async fn completion<G>(gateway: Data<G>, request: HttpRequest, payload: Payload) -> HttpResponse
where
    G: Gateway,
{
    let answer = generate(gateway.get_ref(), &request, payload, Style::Text).await;
    answer.unwrap_or_else(|refusal| refuse(&refusal))
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
    let body = parse_body(&read_body(payload, gateway.body_time()).await?)?;
    let call = generate_call(product, request, &body, style)?;
    let frame = Frame::new(style, call.id, body.model).usage(body.stream_options.include_usage);
    let answer = gateway.generate(call).await?;
    match body.stream {
        true => stream(frame, answer).await,
        false => whole(frame, answer).await,
    }
}

/// Streams an answer. What ends it before its first token becomes an ordinary refusal with its own status.
async fn stream(frame: Frame, mut answer: Answer) -> Result<HttpResponse, Refusal> {
    let first = match answer.events.recv().await {
        Some(AnswerEvent::Failed(refusal)) => return Err(refusal),
        Some(event) => event,
        None => return Err(Refusal::unknown("the answer was lost")),
    };
    let mut head = HttpResponse::Ok();
    head.insert_header((REQUEST, frame.name(version_of(&first))));
    let events = futures_util::stream::unfold(Pending::Event(first, answer), next_event);
    let mut opening = true;
    let body = events.map(move |event| {
        let opening = std::mem::replace(&mut opening, false);
        let bytes = match event {
            Some(event) => render(&frame, &event, opening),
            None => Bytes::from_static(COMMENT),
        };
        Ok::<Bytes, actix_web::Error>(bytes)
    });
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
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// The comment.
const COMMENT: &[u8] = b": waiting\n\n";

/// What of an answer is still to be sent.
enum Pending {
    /// An event that has come already, and what follows.
    Event(AnswerEvent, Answer),
    /// Events still to come.
    Rest(Answer),
    /// Nothing.
    End,
}

/// The next event to send, or `None` for a comment. Each is sent when it comes; none waits for the one after it.
async fn next_event(pending: Pending) -> Option<(Option<AnswerEvent>, Pending)> {
    let (event, answer) = match pending {
        Pending::Event(event, answer) => (event, answer),
        Pending::Rest(mut answer) => {
            let lost = || AnswerEvent::Failed(Refusal::unknown("the answer was lost"));
            match tokio::time::timeout(KEEP_ALIVE, answer.events.recv()).await {
                Ok(event) => (event.unwrap_or_else(lost), answer),
                Err(_) => return Some((None, Pending::Rest(answer))),
            }
        }
        Pending::End => return None,
    };
    let pending = match event {
        AnswerEvent::Token(_) => Pending::Rest(answer),
        AnswerEvent::Done(_) | AnswerEvent::Failed(_) => Pending::End,
    };
    Some((Some(event), pending))
}

fn render(frame: &Frame, event: &AnswerEvent, opening: bool) -> Bytes {
    match event {
        AnswerEvent::Token(token) => frame.token(token, opening),
        AnswerEvent::Done(finish) => frame.done(finish),
        AnswerEvent::Failed(refusal) => frame.failed(refusal),
    }
}

async fn whole(frame: Frame, mut answer: Answer) -> Result<HttpResponse, Refusal> {
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
                    .insert_header((OUTCOME, Outcome::Whole.to_string()))
                    .insert_header((REQUEST, frame.name(version)))
                    .json(frame.whole(&text, &finish)));
            }
        }
    }
}
