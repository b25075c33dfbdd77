//! Answers the questions of other instances.

use actix::Addr;
use sequoiastream_peer::call::Responder;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;

use crate::ops::control::config::ConfigActor;
use crate::ops::control::config::UpdateAfter;

/// Passes each question to the actor that can answer it.
#[derive(Debug, Clone)]
pub struct PeerResponder {
    /// Keeper of the configuration.
    pub config: Addr<ConfigActor>,
}

impl Responder for PeerResponder {
    async fn respond(&self, request: Request) -> Response {
        match request {
            Request::Ping => Response::Pong,
            Request::Config(after) => {
                let update = self.config.send(UpdateAfter(after)).await;
                update.map_or(Response::Unserved, Response::Config)
            }
        }
    }
}
