//! Immutable snapshots of the configuration, in a form that is cheap to read on the request path: dense arenas with
//! small keys.
//!
//! The control thread builds a snapshot from each new version of the configuration and replaces the previous one as
//! a whole; traffic threads read it without a lock.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::arena::Arena;
use crate::arena::Key;
use crate::config::Config;
use crate::config::EngineState;
use crate::config::Fencing;
use crate::config::KeyHash;
use crate::config::Role;
use crate::config::ServiceKind;
use crate::config::Share;
use crate::config::Version;
use crate::name::Name;

/// An engine or plain upstream within one snapshot of the configuration.
pub type EngineKey = Key<EngineView>;

/// A product within one snapshot of the configuration.
pub type ProductKey = Key<ProductView>;

/// A service within one snapshot of the configuration.
pub type ServiceKey = Key<ServiceView>;

/// An engine or plain upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Its name.
    pub name: Name,
    /// The service that it belongs to.
    pub service: ServiceKey,
    /// Availability zone.
    pub zone: Name,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Whether it checks fencing tokens.
    pub fencing: Fencing,
    /// Whether it accepts work.
    pub state: EngineState,
    /// Its fixed role, if any.
    pub role: Option<Role>,
}

/// A service and its engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceView {
    /// Its name.
    pub name: Name,
    /// What serves its requests.
    pub kind: ServiceKind,
    /// Its engines, in the order of their names.
    pub engines: Vec<EngineKey>,
}

/// A product's share and the defaults for its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProductView {
    /// Its name.
    pub name: Name,
    /// Share of engine time.
    pub share: Share,
    /// Default deadline, in milliseconds.
    pub deadline: u32,
    /// Weight of one role change, 0 to 100.
    pub weight: u32,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The version.
    pub version: Version,
    /// Engines, in the order of their names.
    pub engines: Arena<EngineView>,
    /// Services, in the order of their names.
    pub services: Arena<ServiceView>,
    /// Products, in the order of their names.
    pub products: Arena<ProductView>,
    /// Fingerprints of requests that may not run.
    pub quarantine: BTreeSet<String>,
    /// Sequence number of the last order that operators released, by engine.
    pub released: BTreeMap<Name, u64>,
    keys: BTreeMap<KeyHash, ProductKey>,
    names: BTreeMap<String, ServiceKey>,
}

impl Snapshot {
    /// Builds the snapshot of `config`.
    pub fn new(version: Version, config: &Config) -> Snapshot {
        let mut snapshot = Snapshot {
            version,
            quarantine: config.quarantine.clone(),
            released: config.released.clone(),
            ..Snapshot::default()
        };
        snapshot.add_products(config);
        snapshot.add_services(config);
        snapshot.add_engines(config);
        snapshot
    }

    /// Marks the engines at these addresses as draining, so that they get no more work: the platform lists them as
    /// leaving.
    pub fn mark_leaving(&mut self, leaving: &BTreeSet<SocketAddr>) {
        if leaving.is_empty() {
            return;
        }
        let engines = self.engines.iter();
        let gone = engines.filter(|(_, view)| leaving.contains(&view.address));
        let gone: Vec<EngineKey> = gone.map(|(key, _)| key).collect();
        for key in gone {
            if let Some(view) = self.engines.get_mut(key) {
                view.state = EngineState::Draining;
            }
        }
    }

    /// The product that the API key `secret` belongs to.
    pub fn product_of(&self, secret: &str) -> Option<ProductKey> {
        self.keys.get(&KeyHash::of(secret)).copied()
    }

    /// The service called `name`, or else the service of the model called `name`.
    pub fn service_of(&self, name: &str) -> Option<ServiceKey> {
        self.names.get(name).copied()
    }

    fn add_products(&mut self, config: &Config) {
        for (name, product) in &config.products {
            let key = self.products.push(ProductView {
                name: name.clone(),
                share: product.share,
                deadline: product.deadline,
                weight: product.weight,
            });
            self.keys
                .extend(product.keys.iter().map(|hash| (hash.clone(), key)));
        }
    }

    fn add_services(&mut self, config: &Config) {
        for (name, service) in &config.services {
            let key = self.services.push(ServiceView {
                name: name.clone(),
                kind: service.kind.clone(),
                engines: Vec::new(),
            });
            if let ServiceKind::Model { model } = &service.kind {
                self.names.entry(model.clone()).or_insert(key);
            }
            self.names.insert(name.to_string(), key);
        }
    }

    fn add_engines(&mut self, config: &Config) {
        for (name, engine) in &config.engines {
            let Some(service) = self.service_of(engine.service.as_str()) else {
                continue;
            };
            let key = self.engines.push(EngineView {
                name: name.clone(),
                service,
                zone: engine.zone.clone(),
                address: engine.address,
                fencing: engine.fencing,
                state: engine.state,
                role: engine.role,
            });
            if let Some(view) = self.services.get_mut(service) {
                view.engines.push(key);
            }
        }
    }
}
