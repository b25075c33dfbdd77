//! The commands by which operators change the configuration, as data. The grammar is the operator package's.

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

/// Where and as what an engine is placed in service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceEngine {
    /// The service it becomes part of.
    pub service: Name,
    /// Availability zone.
    pub zone: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// Its fixed role, if any.
    pub role: Option<Role>,
}

impl PlaceEngine {
    /// The engine as it stands right after it was placed.
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

/// What to change of a product; `None` leaves a setting as it is.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AlterProduct {
    /// A further API key.
    pub key: Option<KeyHash>,
    /// Share of engine time.
    pub share: Option<Share>,
    /// Default deadline, in milliseconds.
    pub deadline: Option<u32>,
    /// Weight of one role change, 0 to 100.
    pub weight: Option<u32>,
}

/// A change of the configuration.
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
        /// What to change.
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
        /// What stands behind it.
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
        /// Where and as what.
        place: PlaceEngine,
    },
    /// Lets an engine finish its work and gives it no more.
    DrainEngine {
        /// Its name.
        name: Name,
    },
    /// Gives a drained engine work again.
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
        /// The engine that leaves.
        name: Name,
        /// The engine that comes.
        with: Name,
        /// Where and as what it comes.
        place: PlaceEngine,
    },
    /// Fixes an engine's role, or leaves it to the planner.
    SetRole {
        /// The engine.
        name: Name,
        /// The role; `None` for the planner's choice.
        role: Option<Role>,
    },
    /// Forbids a request by fingerprint.
    Quarantine {
        /// The fingerprint in hexadecimal.
        fingerprint: String,
    },
    /// Allows it again.
    Pardon {
        /// The fingerprint in hexadecimal.
        fingerprint: String,
    },
    /// Declares that an order to an engine which ignores fencing numbers can't arrive any more, though
    /// nothing shows that it took effect.
    ReleaseOrder {
        /// The engine.
        name: Name,
        /// Sequence number of the order.
        sequence: u64,
    },
}
