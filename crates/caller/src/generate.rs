//! The endpoints that generate: the answer as server-sent events, or whole.

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
    let events = futures_util::stream::unfold(Some((first, answer)), next_event);
    let mut opening = true;
    let body = events.map(move |event| {
        let opening = std::mem::replace(&mut opening, false);
        Ok::<Bytes, actix_web::Error>(render(&frame, &event, opening))
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

type Pending = Option<(AnswerEvent, Answer)>;

async fn next_event(pending: Pending) -> Option<(AnswerEvent, Pending)> {
    let (event, mut answer) = pending?;
    if !matches!(event, AnswerEvent::Token(..)) {
        return Some((event, None));
    }
    let lost = || AnswerEvent::Failed(Refusal::unknown("the answer was lost"));
    let next = answer.events.recv().await.unwrap_or_else(lost);
    Some((event, Some((next, answer))))
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
