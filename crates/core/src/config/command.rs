//! The commands with which operators change the configuration, as data. The operator package defines their grammar.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Engine;
use crate::config::EngineState;
use crate::config::Fencing;
use crate::config::KeyHash;
use crate::config::Product;
use crate::config::Role;
use crate::config::Service;
use crate::config::Share;
use crate::name::Name;

/// Settings with which an engine is placed in service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceEngine {
    /// The service that the engine joins.
    pub service: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Whether the engine checks fencing tokens.
    pub fencing: Fencing,
    /// Its fixed role; `None` leaves the role to the planner.
    pub role: Option<Role>,
}

impl PlaceEngine {
    /// The engine as configured right after it is placed.
    pub fn to_engine(&self) -> Engine {
        Engine {
            service: self.service.clone(),
            zone: self.zone.clone(),
            address: self.address,
            fencing: self.fencing,
            state: EngineState::Serving,
            role: self.role,
        }
    }
}

/// Changes to the settings of a product; `None` leaves a setting unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AlterProduct {
    /// Hash of an API key to add.
    pub key: Option<KeyHash>,
    /// New share of engine time.
    pub share: Option<Share>,
    /// New default deadline of requests, in milliseconds.
    pub deadline: Option<u32>,
    /// New weight of one role change against goodput, 0 to 100.
    pub weight: Option<u32>,
}

/// A command that changes the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Creates a product.
    CreateProduct {
        /// Its name.
        name: Name,
        /// Its settings.
        product: Product,
    },
    /// Changes settings of a product.
    AlterProduct {
        /// Its name.
        name: Name,
        /// The settings to change.
        alter: AlterProduct,
    },
    /// Removes a product.
    DropProduct {
        /// Its name.
        name: Name,
    },
    /// Creates a service.
    CreateService {
        /// Its name.
        name: Name,
        /// Its settings.
        service: Service,
    },
    /// Removes a service that has no engines.
    DropService {
        /// Its name.
        name: Name,
    },
    /// Places an engine or plain upstream in service.
    PlaceEngine {
        /// Its name.
        name: Name,
        /// Its settings.
        place: PlaceEngine,
    },
    /// Drains an engine: it finishes its current work and gets no new work.
    DrainEngine {
        /// Its name.
        name: Name,
    },
    /// Gives a drained engine new work again.
    ResumeEngine {
        /// Its name.
        name: Name,
    },
    /// Takes an engine out of service.
    WithdrawEngine {
        /// Its name.
        name: Name,
    },
    /// Places a new engine and drains the old one in one change.
    ReplaceEngine {
        /// The engine to drain.
        name: Name,
        /// Name of the new engine.
        with: Name,
        /// Settings of the new engine.
        place: PlaceEngine,
    },
    /// Fixes the role of an engine, or leaves it to the planner.
    SetRole {
        /// The engine.
        name: Name,
        /// The role; `None` leaves it to the planner.
        role: Option<Role>,
    },
    /// Quarantines a request by its fingerprint: it may not run.
    Quarantine {
        /// The fingerprint in hexadecimal.
        fingerprint: String,
    },
    /// Allows a quarantined request again.
    Pardon {
        /// The fingerprint in hexadecimal.
        fingerprint: String,
    },
    /// Declares that an order to an engine that ignores fencing tokens can no longer arrive, although nothing
    /// shows that it took effect.
    ReleaseOrder {
        /// The engine.
        name: Name,
        /// Sequence number of the order.
        sequence: u64,
    },
}
