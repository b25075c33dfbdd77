//! Answers the questions of other instances.

use actix::Addr;
use sequoiastream_core::claims::Verdict;
use sequoiastream_peer::call::Responder;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;

use crate::ops::control::ClaimsActor;
use crate::ops::control::claims::Claim;
use crate::ops::control::claims::Look;
use crate::ops::control::claims::Report;

/// Passes questions on to the actors.
#[derive(Debug, Clone)]
pub struct PeerResponder {
    /// Owner of claims.
    pub claims: Addr<ClaimsActor>,
}

impl Responder for PeerResponder {
    async fn respond(&self, request: Request) -> Response {
        match request {
            Request::Ping => Response::Pong,
            Request::Claim(ask) => {
                let verdict = self.claims.send(Claim(ask)).await;
                Response::Verdict(verdict.unwrap_or(Verdict::Stopping))
            }
            Request::Look(claim) => {
                let verdict = self.claims.send(Look(claim)).await;
                Response::Verdict(verdict.unwrap_or(Verdict::Stopping))
            }
            Request::Edit(bucket, edit) => {
                self.claims.do_send(Report(bucket, edit));
                Response::Taken
            }
        }
    }
}
