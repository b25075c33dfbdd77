//! The control thread: one arbiter that owns all control state.
//!
//! Each concern is an actor of its own around a state machine of `sequoiastream-core`; traffic threads send
//! it messages and read what it publishes in [`Shared`](crate::ops::shared::Shared).

mod config;
mod peers;
mod responder;

use std::net::TcpListener;
use std::sync::Arc;

use actix::Actor;
use actix::Addr;
use actix::Arbiter;
use sequoiastream_core::log_event;
use sequoiastream_peer::call::serve;
use sequoiastream_peer::seal::ClusterKey;
use sequoiastream_platform::KvClient;
use uuid::Uuid;

pub use config::ConfigActor;
pub use config::Execute;

use crate::log_event;
use crate::ops::control::peers::PeersActor;
use crate::ops::control::responder::PeerResponder;
use crate::ops::shared::Shared;
use crate::settings::Settings;

/// Addresses of the control thread's actors.
#[derive(Debug, Clone)]
pub struct Control {
    /// Keeper of the configuration.
    pub config: Addr<ConfigActor>,
}

impl Control {
    /// Starts the actors on a thread of their own.
    pub fn start(shared: Arc<Shared>, listener: TcpListener) -> Control {
        let arbiter = Arbiter::new();
        let followed = shared.clone();
        PeersActor::start_in_arbiter(&arbiter.handle(), move |_| {
            let kv = kv(&followed.settings);
            PeersActor::new(followed, kv)
        });
        let asked = shared.clone();
        arbiter.spawn(async move { serve_peers(asked, listener).await });
        let config = ConfigActor::start_in_arbiter(&arbiter.handle(), move |_| {
            let kv = kv(&shared.settings);
            ConfigActor::new(shared, kv)
        });
        Control { config }
    }
}

async fn serve_peers(shared: Arc<Shared>, listener: TcpListener) {
    let key = ClusterKey::new(&shared.settings.cluster);
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => serve(listener, key, PeerResponder { shared }).await,
        Err(error) => log_event!(error, log_event::PEERS_UNHEARD, %error),
    }
}

fn kv(settings: &Settings) -> KvClient {
    KvClient::new(
        &settings.platform,
        &settings.name,
        settings.deadline,
        Uuid::new_v4(),
    )
}
