//! Answers the questions of other instances.

use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use sequoiastream_core::authority::Settlement;
use sequoiastream_peer::call::Responder;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;

use crate::ops::control::AuthorityActor;
use crate::ops::control::Settle;
use crate::ops::shared::Shared;
use crate::util::clock;

/// Passes questions on to the actors.
#[derive(Debug, Clone)]
pub struct PeerResponder {
    /// Shared with the traffic threads.
    pub shared: Arc<Shared>,
    /// Keeper of the authorities.
    pub authority: Addr<AuthorityActor>,
}

impl Responder for PeerResponder {
    async fn respond(&self, request: Request) -> Response {
        match request {
            Request::Ping => Response::Pong,
            Request::Hold(hold) => {
                let until = clock::now() + Duration::from_millis(hold.millis);
                Response::InFlight(self.shared.hold(hold.engine, until))
            }
            Request::Unhold(engine) => {
                self.shared.unhold(&engine);
                Response::Unheld
            }
            Request::Settle(ask) => {
                let ask = Settle {
                    service: ask.service,
                    incarnation: ask.incarnation,
                    engine: ask.engine,
                    sequence: ask.sequence,
                };
                let said = self.authority.send(ask).await;
                Response::Settled(said.unwrap_or(Settlement::Unknown))
            }
        }
    }
}
