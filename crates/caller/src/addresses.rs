//! Address discovery: there is no load balancer in front, so callers ask any instance where to connect.

use std::net::SocketAddr;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web::Data;
use actix_web::web::Query;
use sequoiastream_core::name::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::AddressCall;
use crate::gateway::Gateway;
use crate::http::product;
use crate::http::respond;
use crate::proof::Unsent;
use crate::refusal::Refusal;

/// Query parameters of `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct AddressQuery {
    /// The service or model that the caller wants.
    pub service: Option<String>,
    /// The caller's own ID of its conversation.
    #[serde(default)]
    pub conversation: String,
    /// Availability zone of the caller; defaults to that of the instance that answers.
    pub zone: Option<Name>,
}

/// Response body of `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AddressBody {
    /// Where to connect, best address first.
    pub addresses: Vec<SocketAddr>,
    /// Seconds for which the response may be cached.
    pub keep: f64,
}

/// Handles `GET /v1/addresses`.
pub async fn addresses<G>(gateway: Data<G>, request: HttpRequest, query: Query<AddressQuery>) -> HttpResponse
where
    G: Gateway,
{
    respond(list(gateway.get_ref(), &request, query.into_inner()))
}

fn list<G>(gateway: &G, request: &HttpRequest, query: AddressQuery) -> Result<HttpResponse, Refusal>
where
    G: Gateway,
{
    let product = product(gateway, request)?;
    let call = AddressCall {
        unsent: Unsent::begin(),
        product,
        service: query.service,
        conversation: query.conversation,
        zone: query.zone,
    };
    let list = gateway.addresses(call)?;
    let answer = AddressBody {
        addresses: list.addresses,
        keep: list.max_age.as_secs_f64(),
    };
    Ok(HttpResponse::Ok()
        .insert_header(("cache-control", "no-store"))
        .json(answer))
}
