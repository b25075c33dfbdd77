//! Status queries: the state of a request, looked up by its idempotency key.

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

/// Delay before a query is repeated if the state could not be determined.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// A query for the state of a request.
#[derive(Debug)]
pub struct StatusCall {
    /// Proof that the query has not run.
    pub unsent: Unsent,
    /// The product that sent the query.
    pub product: Name,
    /// The idempotency key of the request.
    pub idempotency_key: String,
    /// The service to look in; any plain service if absent.
    pub service: Option<String>,
}

/// The known state of a request.
#[derive(Debug, Clone)]
pub enum RequestState {
    /// The request was sent to an upstream and has not ended.
    Running,
    /// The request ran and the service responded; the response is included if it was small enough to be stored.
    Finished(Option<ForwardReply>),
    /// The request was sent to an upstream, and it is not known whether it ran.
    Unknown,
    /// There is no claim on the key. The request may still be in transit: repeat it with the same key, never another.
    NeverSeen,
    /// The key is older than the retention time of claims.
    Expired,
    /// The state can't be determined at present.
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
    respond(query_status(gateway.get_ref(), &request, key.into_inner(), query.into_inner()).await)
}

async fn query_status<G>(
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
    let (code, name, reply) = match state {
        RequestState::Running => (200, "running", None),
        RequestState::Finished(reply) => (200, "finished", reply),
        RequestState::Unknown => (200, "unknown", None),
        RequestState::NeverSeen => (404, "never-seen", None),
        RequestState::Expired => (410, "expired", None),
        RequestState::Unreachable => (503, "unreachable", None),
    };
    let mut response = crate::http::response_builder(code);
    if code == 503 {
        response.insert_header(("retry-after", RETRY_AFTER.as_secs().to_string()));
    }
    response.json(StatusBody {
        key,
        state: name,
        status: reply.as_ref().map(|r| r.status),
        content: reply.as_ref().and_then(|r| r.content_type.clone()),
        answer: reply.map(|r| String::from_utf8_lossy(&r.body).into_owned()),
    })
}
