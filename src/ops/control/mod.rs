//! The control thread: one arbiter that owns all control state.
//!
//! Each concern is an actor of its own around a state machine of `sequoiastream-core`; traffic threads send
//! it messages and read what it publishes in [`Shared`](crate::ops::shared::Shared).

mod config;
mod load;

use std::sync::Arc;

use actix::Actor;
use actix::Addr;
use actix::Arbiter;
use sequoiastream_platform::KvClient;
use uuid::Uuid;

pub use config::ConfigActor;
pub use config::Execute;
pub use load::LoadActor;

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
    pub fn start(shared: Arc<Shared>) -> Control {
        let arbiter = Arbiter::new();
        let followed = shared.clone();
        LoadActor::start_in_arbiter(&arbiter.handle(), move |_| {
            let kv = kv(&followed.settings);
            LoadActor::new(followed, kv)
        });
        let config = ConfigActor::start_in_arbiter(&arbiter.handle(), move |_| {
            let kv = kv(&shared.settings);
            ConfigActor::new(shared, kv)
        });
        Control { config }
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
