//! Answers the questions of other instances.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use actix::MailboxError;
use sequoiastream_core::authority::Settlement;
use sequoiastream_core::claims::Verdict;
use sequoiastream_peer::call::Responder;
use sequoiastream_peer::message::PoisonRequest;
use sequoiastream_peer::message::PoisonResponse;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;

use crate::ops::control::authority::AskSettlement;
use crate::ops::control::authority::AuthorityActor;
use crate::ops::control::claims::ClaimsActor;
use crate::ops::control::claims::EditClaim;
use crate::ops::control::claims::QueryClaim;
use crate::ops::control::claims::RequestClaim;
use crate::ops::control::config::ConfigActor;
use crate::ops::control::config::UpdateAfter;
use crate::ops::shared::Shared;
use crate::util::clock;

/// Passes each question to the actor that can answer it.
#[derive(Debug, Clone)]
pub struct PeerResponder {
    /// Keeper of the configuration.
    pub config: Addr<ConfigActor>,
    /// Keeper of the authorities.
    pub authority: Addr<AuthorityActor>,
    /// Owner of claims.
    pub claims: Addr<ClaimsActor>,
    /// What the control thread shares with the traffic threads.
    pub shared: Arc<Shared>,
}

impl Responder for PeerResponder {
    async fn respond(&self, request: Request) -> Response {
        match request {
            Request::Ping => Response::Pong,
            Request::Page(_) | Request::Since(_) => Response::Unserved,
            Request::Claim(ask) => verdict_response(self.claims.send(RequestClaim(ask)).await),
            Request::Look(claim) => verdict_response(self.claims.send(QueryClaim(claim)).await),
            Request::Clock => Response::Clock(clock::wall()),
            Request::Edit(bucket, edit) => {
                self.claims.do_send(EditClaim(bucket, edit));
                Response::Taken
            }
            Request::Poison(request) => Response::Poison(handle_poison(&self.shared, &request)),
            Request::Hold(hold) => {
                let until = clock::now() + Duration::from_millis(hold.millis);
                Response::InFlight(self.shared.hold(hold.engine, until))
            }
            Request::Unhold(engine) => {
                self.shared.unhold(&engine);
                Response::Taken
            }
            Request::Settle(ask) => {
                let said = self.authority.send(AskSettlement::from(ask)).await;
                Response::Settled(said.unwrap_or(Settlement::Unknown))
            }
            Request::Config(after) => {
                let update = self.config.send(UpdateAfter(after)).await;
                update.map_or(Response::Unserved, Response::Config)
            }
        }
    }
}

/// An owner whose actor has ended is stopping.
fn verdict_response(verdict: Result<Verdict, MailboxError>) -> Response {
    Response::Verdict(verdict.unwrap_or(Verdict::Stopping))
}

/// Takes what a peer says of requests that crash engines.
fn handle_poison(shared: &Shared, request: &PoisonRequest) -> PoisonResponse {
    let now = clock::now();
    let mut response = PoisonResponse {
        agreed: true,
        ran: BTreeSet::new(),
    };
    let mut poison = shared.poison();
    match request {
        PoisonRequest::Note(note) => {
            response.ran = poison.requests_on(&note.incident);
            shared.stops.stop(&poison.on_crash_report(now, note));
        }
        PoisonRequest::Ask(ask) => response.agreed = poison.on_hold_request(now, ask),
        PoisonRequest::Vacate(engine) => shared.stops.stop(&poison.attempts_to_move(engine)),
        PoisonRequest::Release(ask) => poison.release(ask),
        PoisonRequest::Clear(fingerprint) => poison.clear(*fingerprint),
        PoisonRequest::Convict(fingerprint) => {
            let quarantine = &shared.snapshot.load().quarantine;
            shared.stops.stop(&poison.confirm(now, *fingerprint));
            // If the configuration has it already, it alone decides, so that a pardon holds.
            poison.on_quarantine(quarantine);
        }
    }
    response
}
