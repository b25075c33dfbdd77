//! Answers the questions of other instances.

use actix::Addr;
use actix::MailboxError;
use sequoiastream_core::claims::Verdict;
use sequoiastream_peer::call::Responder;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;

use crate::ops::control::claims::Claim;
use crate::ops::control::claims::ClaimsActor;
use crate::ops::control::claims::Look;
use crate::ops::control::claims::Report;
use crate::ops::control::config::ConfigActor;
use crate::ops::control::config::UpdateAfter;

/// Passes each question to the actor that can answer it.
#[derive(Debug, Clone)]
pub struct PeerResponder {
    /// Keeper of the configuration.
    pub config: Addr<ConfigActor>,
    /// Owner of claims.
    pub claims: Addr<ClaimsActor>,
}

impl Responder for PeerResponder {
    async fn respond(&self, request: Request) -> Response {
        match request {
            Request::Ping => Response::Pong,
            Request::Claim(ask) => verdict(self.claims.send(Claim(ask)).await),
            Request::Look(claim) => verdict(self.claims.send(Look(claim)).await),
            Request::Edit(bucket, edit) => {
                self.claims.do_send(Report(bucket, edit));
                Response::Taken
            }
            Request::Config(after) => {
                let update = self.config.send(UpdateAfter(after)).await;
                update.map_or(Response::Unserved, Response::Config)
            }
        }
    }
}

/// An owner whose actor has ended is stopping.
fn verdict(verdict: Result<Verdict, MailboxError>) -> Response {
    Response::Verdict(verdict.unwrap_or(Verdict::Stopping))
}
