//! The control thread: one arbiter that owns all control state.
//!
//! Each concern is an actor of its own around a state machine of `sequoiastream-core`; traffic threads send
//! it messages and read what it publishes in [`Shared`](crate::ops::shared::Shared).

mod config;

use std::sync::Arc;

use actix::Actor;
use actix::Addr;
use actix::Arbiter;
use sequoiastream_platform::KvClient;
use uuid::Uuid;

pub use config::ConfigActor;
pub use config::Execute;

use crate::ops::shared::Shared;

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
        let config = ConfigActor::start_in_arbiter(&arbiter.handle(), move |_| {
            let settings = &shared.settings;
            let kv = KvClient::new(
                &settings.platform,
                &settings.name,
                settings.deadline,
                Uuid::new_v4(),
            );
            ConfigActor::new(shared, kv)
        });
        Control { config }
    }
}
