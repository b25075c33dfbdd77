//! Upstreams of plain services: which one a call goes to, and what it answered.

use std::net::SocketAddr;

use sequoiastream_caller::ForwardReply;
use sequoiastream_core::name::Name;
use sequoiastream_upstream::PlainReply;

use crate::ops::dispatch::Dispatch;

/// A picked upstream.
#[derive(Debug, Clone)]
pub(super) struct Upstream {
    /// Its name.
    pub(super) name: Name,
    /// Where it listens.
    pub(super) address: SocketAddr,
}

impl Dispatch {
    /// Picks an upstream of `service` and counts the call there.
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

/// The answer to the caller.
pub(super) fn forward_reply(reply: PlainReply) -> ForwardReply {
    ForwardReply {
        status: reply.status,
        content: reply.content,
        body: reply.body,
    }
}
