//! Routing, limits, retries and role changes: decisions made with fixed seeds, and one small load test.

mod limits;
mod load;
mod retries;
mod roles;
mod routing;

use std::net::SocketAddr;

use sequoiastream_core::config::Config;
use sequoiastream_core::config::Engine;
use sequoiastream_core::config::EngineState;
use sequoiastream_core::config::Fencing;
use sequoiastream_core::config::Service;
use sequoiastream_core::config::ServiceKind;
use sequoiastream_core::config::Version;
use sequoiastream_core::name::Name;
use sequoiastream_core::snapshot::Snapshot;

/// A validated name.
fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// A service `assistente` of model `m` with engines `e0`, `e1`, ... in zone `lodi-a`.
fn snapshot(engines: u16) -> Snapshot {
    let mut config = Config::default();
    let kind = ServiceKind::Model {
        model: "m".to_string(),
    };
    config.services.insert(name("assistente"), Service { kind });
    for index in 0..engines {
        let engine = Engine {
            service: name("assistente"),
            zone: name("lodi-a"),
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index)),
            fencing: Fencing::Checked,
            state: EngineState::Serving,
            role: None,
        };
        config.engines.insert(name(&format!("e{index}")), engine);
    }
    Snapshot::new(Version(1), &config)
}
