//! Asking what became of a request, by its idempotency key.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web::Data;
use actix_web::web::Path;
use actix_web::web::Query;
use sequoiastream_core::name::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::ForwardReply;
use crate::gateway::Gateway;
use crate::http::product;
use crate::http::respond;
use crate::proof::Unsent;
use crate::refusal::Refusal;

/// When to ask again if nobody could say.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// A caller that asks what became of a request.
#[derive(Debug)]
pub struct StatusCall {
    /// The proof that nothing of this question has run.
    pub unsent: Unsent,
    /// The product that asks.
    pub product: Name,
    /// The idempotency key of the request.
    pub idempotency_key: String,
    /// The service; any plain service if absent.
    pub service: Option<String>,
}

/// What is known of a request.
#[derive(Debug, Clone)]
pub enum RequestState {
    /// It was sent on and has not ended.
    Running,
    /// It ran, and the service answered; the answer is there if it was small enough to be kept.
    Finished(Option<ForwardReply>),
    /// It was sent on, and nobody knows whether it ran.
    Unknown,
    /// No claim stands on its key. It may still be on its way: repeat it with the same key, never another.
    NeverSeen,
    /// Its key is older than claims are kept.
    Expired,
    /// Nobody could say now.
    Unreachable,
}

#[derive(Debug, Deserialize)]
pub(crate) struct StatusQuery {
    service: Option<String>,
}

#[derive(Debug, Serialize)]
struct StatusBody {
    key: String,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<String>,
}

pub(crate) async fn status<G>(
    gateway: Data<G>,
    request: HttpRequest,
    key: Path<String>,
    query: Query<StatusQuery>,
) -> HttpResponse
where
    G: Gateway,
{
    respond(ask(gateway.get_ref(), &request, key.into_inner(), query.into_inner()).await)
}

async fn ask<G>(
    gateway: &G,
    request: &HttpRequest,
    key: String,
    query: StatusQuery,
) -> Result<HttpResponse, Refusal>
where
    G: Gateway,
{
    let product = product(gateway, request)?;
    let call = StatusCall {
        unsent: Unsent::begin(),
        product,
        idempotency_key: key.clone(),
        service: query.service,
    };
    let state = gateway.status(call).await?;
    Ok(render(key, state))
}

fn render(key: String, state: RequestState) -> HttpResponse {
    let (code, word, reply) = match state {
        RequestState::Running => (200, "running", None),
        RequestState::Finished(reply) => (200, "finished", reply),
        RequestState::Unknown => (200, "unknown", None),
        RequestState::NeverSeen => (404, "never-seen", None),
        RequestState::Expired => (410, "expired", None),
        RequestState::Unreachable => (503, "unreachable", None),
    };
    let mut answer = crate::http::response_builder(code);
    if code == 503 {
        answer.insert_header(("retry-after", RETRY_AFTER.as_secs().to_string()));
    }
    answer.json(StatusBody {
        key,
        state: word,
        status: reply.as_ref().map(|r| r.status),
        content: reply.as_ref().and_then(|r| r.content_type.clone()),
        answer: reply.map(|r| String::from_utf8_lossy(&r.body).into_owned()),
    })
}
