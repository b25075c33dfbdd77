//! Answers the requests of other instances.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use actix::MailboxError;
use sequoiastream_core::authority::Settlement;
use sequoiastream_core::claims::Verdict;
use sequoiastream_peer::message::PoisonRequest;
use sequoiastream_peer::message::PoisonResponse;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;
use sequoiastream_peer::responder::Responder;

use crate::ops::control::authority::AskSettlement;
use crate::ops::control::authority::AuthorityActor;
use crate::ops::control::authority::unhold;
use crate::ops::control::claims::ClaimsActor;
use crate::ops::control::claims::EditClaim;
use crate::ops::control::claims::QueryClaim;
use crate::ops::control::claims::RequestClaim;
use crate::ops::control::config::ConfigActor;
use crate::ops::control::config::UpdateAfter;
use crate::ops::control::load::LoadActor;
use crate::ops::shared::Shared;
use crate::util::clock;

/// Passes each request to the actor that can answer it.
#[derive(Debug, Clone)]
pub struct PeerResponder {
    /// Replicates the configuration.
    pub config: Addr<ConfigActor>,
    /// Runs the authority of each model service.
    pub authority: Addr<AuthorityActor>,
    /// Owns the claims of this instance's shards.
    pub claims: Addr<ClaimsActor>,
    /// Polls the engines' load.
    pub load: Addr<LoadActor>,
    /// State that is shared between the control thread and the traffic threads.
    pub shared: Arc<Shared>,
}

impl Responder for PeerResponder {
    async fn respond(&self, request: Request) -> Response {
        match request {
            Request::Ping => Response::Pong,
            Request::Page(_) | Request::Since(_) | Request::Connect(_) | Request::Stream(_) => {
                Response::NotServed
            }
            Request::RetiredPage | Request::RetiredSince => Response::NotServed,
            Request::Claim(request) => verdict_response(self.claims.send(RequestClaim(request)).await),
            Request::Lookup(claim) => verdict_response(self.claims.send(QueryClaim(claim)).await),
            Request::Clock => Response::Clock(clock::wall_time()),
            Request::Edit(bucket, edit) => {
                self.claims.do_send(EditClaim(bucket, edit));
                Response::Accepted
            }
            Request::Poison(request) => Response::Poison(handle_poison(&self.shared, &request)),
            Request::Hold(hold) => {
                let until = clock::now() + Duration::from_millis(hold.millis);
                Response::InFlight(self.shared.hold(hold.engine, until))
            }
            Request::Unhold(engine) => {
                unhold(&self.shared, &self.load, engine).await;
                Response::Accepted
            }
            Request::Settle(order) => {
                let settlement = self.authority.send(AskSettlement::from(order)).await;
                Response::Settled(settlement.unwrap_or(Settlement::Unknown))
            }
            Request::Config(after) => {
                let update = self.config.send(UpdateAfter(after)).await;
                update.map_or(Response::NotServed, Response::Config)
            }
        }
    }
}

/// Converts a verdict to a response. If the actor of the owner has ended, the owner is stopping.
fn verdict_response(verdict: Result<Verdict, MailboxError>) -> Response {
    Response::Verdict(verdict.unwrap_or(Verdict::Stopping))
}

/// Handles a message from a peer about requests that crash engines.
fn handle_poison(shared: &Shared, request: &PoisonRequest) -> PoisonResponse {
    let now = clock::now();
    let mut response = PoisonResponse {
        agreed: true,
        ran: BTreeSet::new(),
    };
    let mut poison = shared.crash_records();
    match request {
        PoisonRequest::Note(report) => {
            response.ran = poison.requests_on(&report.incident);
            shared.stop_signals.stop(&poison.on_crash_report(now, report));
        }
        PoisonRequest::Ask(hold) => response.agreed = poison.on_hold_request(now, hold),
        PoisonRequest::Vacate(engine) => shared.stop_signals.stop(&poison.attempts_to_move(engine)),
        PoisonRequest::Release(hold) => poison.release(hold),
        PoisonRequest::Clear(fingerprint) => poison.clear(*fingerprint),
        PoisonRequest::Convict(fingerprint) => {
            let quarantine = &shared.snapshot.load().quarantine;
            shared.stop_signals.stop(&poison.confirm(now, *fingerprint));
            // If the configuration already lists the fingerprint, the configuration alone decides, so that a pardon
            // stays in force.
            poison.on_quarantine(quarantine);
        }
    }
    response
}
