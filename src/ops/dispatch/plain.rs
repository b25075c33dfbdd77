//! Upstreams of plain services: picks one for a call and converts its reply.

use std::net::SocketAddr;

use sequoiastream_caller::ForwardReply;
use sequoiastream_core::name::Name;
use sequoiastream_upstream::PlainReply;

use crate::ops::dispatch::Dispatch;

/// An upstream picked for a call.
#[derive(Debug, Clone)]
pub(super) struct Upstream {
    /// Its name.
    pub(super) name: Name,
    /// Address on which it listens.
    pub(super) address: SocketAddr,
}

impl Dispatch {
    /// Picks an upstream of `service` that is none of `except`. The router counts the call there until it is released.
    pub(super) fn pick_upstream(&self, service: &Name, except: &[Name]) -> Option<Upstream> {
        let snapshot = self.shared.snapshot.load();
        let service = snapshot.service_of(service.as_str())?;
        let key = self.shared.router().pick(&snapshot, service, except)?;
        let engine = snapshot.engines.get(key)?;
        Some(Upstream {
            name: engine.name.clone(),
            address: engine.address,
        })
    }
}

/// Converts an upstream's reply to the reply to the caller.
pub(super) fn forward_reply(reply: PlainReply) -> ForwardReply {
    ForwardReply {
        status: reply.status,
        content_type: reply.content,
        body: reply.body,
    }
}
