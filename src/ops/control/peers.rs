//! Follows the platform's list of instances.

use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::ActorFutureExt;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;
use sequoiastream_core::log_event;
use sequoiastream_platform::KvClient;
use sequoiastream_platform::Listed;

use crate::log_event;
use crate::ops::shared::Shared;

/// How often the list is read.
const INTERVAL: Duration = Duration::from_secs(1);

/// Follower of the list.
#[derive(Debug)]
pub struct PeersActor {
    shared: Arc<Shared>,
    kv: KvClient,
}

impl PeersActor {
    /// A follower that has read nothing yet.
    pub fn new(shared: Arc<Shared>, kv: KvClient) -> PeersActor {
        PeersActor { shared, kv }
    }

    fn take(&mut self, listed: &[Listed]) {
        self.shared.peers.set_listed(listed);
        let known = self.shared.peers.others(&self.shared.settings.name).len();
        let known = i64::try_from(known).unwrap_or(i64::MAX);
        self.shared.metrics.peers.known.set(known);
    }

    fn read(&mut self, context: &mut Context<Self>) {
        let kv = self.kv.clone();
        let read = async move { kv.instances().await };
        context.spawn(read.into_actor(self).map(|result, actor, context| {
            match result {
                Ok(listed) => actor.take(&listed),
                Err(error) => log_event!(warn, log_event::KV_FAILED, %error, call = "list instances"),
            }
            context.run_later(INTERVAL, |actor, context| actor.read(context));
        }));
    }
}

impl Actor for PeersActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.read(context);
    }
}
