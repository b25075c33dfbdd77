//! The control thread: one arbiter that owns all control state.
//!
//! Each concern is an actor of its own around a state machine of `sequoiastream-core`; traffic threads send
//! it messages and read what it publishes in [`Shared`](crate::ops::shared::Shared).

mod authority;
mod config;
mod responder;

use std::net::TcpListener;
use std::sync::Arc;

use actix::Actor;
use actix::Addr;
use actix::Arbiter;
use sequoiastream_peer::call::serve;
use sequoiastream_peer::seal::ClusterKey;
use sequoiastream_platform::KvClient;
use uuid::Uuid;

pub use authority::AuthorityActor;
pub use authority::IsHolder;
pub use authority::Propose;
pub use authority::Resign;
pub use authority::Settle;
pub use authority::ShowAuthorities;
pub use config::ConfigActor;
pub use config::Execute;

use crate::ops::control::responder::PeerResponder;
use crate::ops::shared::Shared;
use crate::settings::Settings;

/// Addresses of the control thread's actors.
#[derive(Debug, Clone)]
pub struct Control {
    /// Keeper of the configuration.
    pub config: Addr<ConfigActor>,
    /// Keeper of the authorities.
    pub authority: Addr<AuthorityActor>,
}

impl Control {
    /// Starts the actors on a thread of their own. Other instances connect to `peers`.
    pub fn start(shared: Arc<Shared>, peers: TcpListener) -> Control {
        let arbiter = Arbiter::new();
        let state = shared.clone();
        let config = ConfigActor::start_in_arbiter(&arbiter.handle(), move |_| {
            let kv = kv_client(&state.settings);
            ConfigActor::new(state, kv)
        });
        let state = shared.clone();
        let authority = AuthorityActor::start_in_arbiter(&arbiter.handle(), move |_| {
            let kv = kv_client(&state.settings);
            AuthorityActor::new(state, kv)
        });
        let key = ClusterKey::new(&shared.settings.cluster);
        let responder = PeerResponder {
            authority: authority.clone(),
            shared,
        };
        arbiter.spawn(async move {
            match tokio::net::TcpListener::from_std(peers) {
                Ok(listener) => serve(listener, key, responder).await,
                Err(error) => tracing::error!(%error, "could not listen for other instances"),
            }
        });
        Control { config, authority }
    }
}

/// A client with an incarnation of its own.
fn kv_client(settings: &Settings) -> KvClient {
    let incarnation = Uuid::new_v4();
    KvClient::new(&settings.platform, &settings.name, settings.deadline, incarnation)
}
