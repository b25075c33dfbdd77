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

    fn read(&mut self, context: &mut Context<Self>) {
        let kv = self.kv.clone();
        let read = async move { kv.instances().await };
        context.spawn(read.into_actor(self).map(|result, actor, context| {
            match result {
                Ok(listed) => actor.shared.peers.set_listed(&listed),
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
