//! The configuration model: products, services, and the engines in service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::config::AlterProduct;
use crate::config::Command;
use crate::config::PlaceEngine;
use crate::config::Share;
use crate::name::Name;

/// Hash of an API key, in hexadecimal. The configuration never contains the key itself.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyHash(String);

impl KeyHash {
    /// Hashes the API key `secret`.
    pub fn of(secret: &str) -> KeyHash {
        KeyHash(blake3::hash(secret.as_bytes()).to_hex().to_string())
    }
}

/// The stages of a request that an engine processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prompt processing only.
    Prefill,
    /// Output generation only.
    Decode,
    /// Both prompt processing and output generation.
    Mixed,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Role::Prefill => "prefill",
            Role::Decode => "decode",
            Role::Mixed => "mixed",
        })
    }
}

/// Whether an engine refuses orders with an outdated fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The engine refuses such orders.
    Checked,
    /// The engine ignores the token.
    Ignored,
}

/// Whether operators want an engine to get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineState {
    /// The engine gets work.
    Serving,
    /// The engine finishes its current work and gets no new work.
    Draining,
}

/// Whether a call to a plain service may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Idempotent: may be retried.
    Safe,
    /// At most once; a call needs an idempotency key.
    Never,
    /// At most once, but the idempotency key is passed through and the service itself drops repeated calls.
    Dedupes,
}

/// A route of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// HTTP method, upper case.
    pub method: String,
    /// Path prefix.
    pub path: String,
    /// Whether a call may be retried.
    pub repeat: Repeat,
}

/// The kind of upstreams that a service consists of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines.
    Model {
        /// The model, as callers and engines name it.
        model: String,
    },
    /// Plain upstreams.
    Plain {
        /// Routes, of which the longest matching path prefix applies. A call that matches none may not be retried.
        routes: Vec<Route>,
    },
}

/// A set of interchangeable engines or plain upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Model engines or plain upstreams.
    pub kind: ServiceKind,
}

/// An engine (or plain upstream) placed in service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The service that it belongs to.
    pub service: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Whether it checks fencing tokens.
    pub fencing: Fencing,
    /// Whether it gets work.
    pub state: EngineState,
    /// The role fixed by an operator; `None` leaves it to the planner.
    pub role: Option<Role>,
}

/// A product: a separate business that runs on the shared fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Product {
    /// Hashes of its API keys.
    pub keys: BTreeSet<KeyHash>,
    /// Share of engine time that it is entitled to.
    pub share: Share,
    /// Default deadline of its requests, in milliseconds.
    pub deadline: u32,
    /// Weight of one role change against goodput, from 0 (only goodput counts) to 100.
    pub weight: u32,
}

/// The complete configuration at one version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Config {
    /// Products by name.
    pub products: BTreeMap<Name, Product>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Engines and plain upstreams by name.
    pub engines: BTreeMap<Name, Engine>,
    /// Fingerprints of quarantined requests, which may not run, in hexadecimal.
    pub quarantine: BTreeSet<String>,
    /// Sequence number of the order last released by operators, by engine.
    // Always serialized: instances exchange configurations in postcard, which has no field names, so a skipped field
    // would be read from the bytes of whatever follows it.
    #[serde(default)]
    pub released: BTreeMap<Name, u64>,
}

/// Why a command can't be applied to a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// A resource of that name already exists.
    #[error("{kind} `{name}` already exists")]
    Exists {
        /// Kind of the resource.
        kind: &'static str,
        /// Its name.
        name: Name,
    },
    /// No resource of that name exists.
    #[error("there is no {kind} `{name}`")]
    Missing {
        /// Kind of the resource.
        kind: &'static str,
        /// Its name.
        name: Name,
    },
    /// The shares of all products would exceed 100%.
    #[error("shares would add up to {sum}, more than {}", Share::WHOLE)]
    SharesExceeded {
        /// Sum of the shares.
        sum: Share,
    },
    /// The service still has engines.
    #[error("service `{service}` still has engine `{engine}`: withdraw it first")]
    ServiceInUse {
        /// The service to drop.
        service: Name,
        /// One of its engines.
        engine: Name,
    },
    /// Another engine has the address.
    #[error("address {address} is taken by engine `{engine}`")]
    AddressInUse {
        /// The address.
        address: SocketAddr,
        /// The engine that has it.
        engine: Name,
    },
}

impl Config {
    /// Applies `command`; on an error nothing is changed.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] if the command can't be applied.
    pub fn apply(&mut self, command: &Command) -> Result<(), ConfigError> {
        match command {
            Command::CreateProduct { name, product } => self.create_product(name, product),
            Command::AlterProduct { name, alter } => self.alter_product(name, alter),
            Command::DropProduct { name } => remove(&mut self.products, "product", name),
            Command::CreateService { name, service } => insert(&mut self.services, "service", name, service),
            Command::DropService { name } => self.drop_service(name),
            Command::PlaceEngine { name, place } => self.place_engine(name, place),
            Command::DrainEngine { name } => self.engine_mut(name).map(|e| e.state = EngineState::Draining),
            Command::ResumeEngine { name } => self.engine_mut(name).map(|e| e.state = EngineState::Serving),
            Command::WithdrawEngine { name } => remove(&mut self.engines, "engine", name),
            Command::ReleaseOrder { name, sequence } => self.release_order(name, *sequence),
            Command::ReplaceEngine { name, with, place } => self.replace_engine(name, with, place),
            Command::SetRole { name, role } => self.engine_mut(name).map(|e| e.role = *role),
            Command::Quarantine { fingerprint } => {
                self.quarantine.insert(fingerprint.clone());
                Ok(())
            }
            Command::Pardon { fingerprint } => {
                self.quarantine.remove(fingerprint);
                Ok(())
            }
        }
    }

    /// The product that the API key `secret` belongs to.
    pub fn product_of(&self, secret: &str) -> Option<&Name> {
        let hash = KeyHash::of(secret);
        self.products
            .iter()
            .find(|(_, product)| product.keys.contains(&hash))
            .map(|(name, _)| name)
    }

    fn create_product(&mut self, name: &Name, product: &Product) -> Result<(), ConfigError> {
        self.check_shares(name, product.share)?;
        insert(&mut self.products, "product", name, product)
    }

    fn alter_product(&mut self, name: &Name, alter: &AlterProduct) -> Result<(), ConfigError> {
        if let Some(share) = alter.share {
            self.check_shares(name, share)?;
        }
        let product = get_mut(&mut self.products, "product", name)?;
        product.share = alter.share.unwrap_or(product.share);
        product.deadline = alter.deadline.unwrap_or(product.deadline);
        product.weight = alter.weight.unwrap_or(product.weight);
        product.keys.extend(alter.key.iter().cloned());
        Ok(())
    }

    fn check_shares(&self, name: &Name, share: Share) -> Result<(), ConfigError> {
        let others = self.products.iter().filter(|(n, _)| *n != name);
        let sum = others.fold(share, |sum, (_, p)| sum.saturating_add(p.share));
        match sum <= Share::WHOLE {
            true => Ok(()),
            false => Err(ConfigError::SharesExceeded { sum }),
        }
    }

    fn drop_service(&mut self, name: &Name) -> Result<(), ConfigError> {
        if let Some((engine, _)) = self.engines.iter().find(|(_, e)| e.service == *name) {
            return Err(ConfigError::ServiceInUse {
                service: name.clone(),
                engine: engine.clone(),
            });
        }
        remove(&mut self.services, "service", name)
    }

    fn place_engine(&mut self, name: &Name, place: &PlaceEngine) -> Result<(), ConfigError> {
        if !self.services.contains_key(&place.service) {
            return Err(ConfigError::Missing {
                kind: "service",
                name: place.service.clone(),
            });
        }
        if let Some((other, _)) = self.engines.iter().find(|(_, e)| e.address == place.address) {
            return Err(ConfigError::AddressInUse {
                address: place.address,
                engine: other.clone(),
            });
        }
        insert(&mut self.engines, "engine", name, &place.to_engine())
    }

    /// Drains the old engine in the same change that places the new one, so that no version of the
    /// configuration lacks both.
    fn replace_engine(&mut self, name: &Name, with: &Name, place: &PlaceEngine) -> Result<(), ConfigError> {
        if !self.engines.contains_key(name) {
            return Err(ConfigError::Missing {
                kind: "engine",
                name: name.clone(),
            });
        }
        self.place_engine(with, place)?;
        self.engine_mut(name).map(|e| e.state = EngineState::Draining)
    }

    fn release_order(&mut self, name: &Name, sequence: u64) -> Result<(), ConfigError> {
        self.engine_mut(name)?;
        self.released.insert(name.clone(), sequence);
        Ok(())
    }

    fn engine_mut(&mut self, name: &Name) -> Result<&mut Engine, ConfigError> {
        get_mut(&mut self.engines, "engine", name)
    }
}

fn insert<V>(
    map: &mut BTreeMap<Name, V>,
    kind: &'static str,
    name: &Name,
    value: &V,
) -> Result<(), ConfigError>
where
    V: Clone,
{
    if map.contains_key(name) {
        let name = name.clone();
        return Err(ConfigError::Exists { kind, name });
    }
    map.insert(name.clone(), value.clone());
    Ok(())
}

fn remove<V>(map: &mut BTreeMap<Name, V>, kind: &'static str, name: &Name) -> Result<(), ConfigError> {
    match map.remove(name) {
        Some(_) => Ok(()),
        None => Err(ConfigError::Missing {
            kind,
            name: name.clone(),
        }),
    }
}

fn get_mut<'a, V>(
    map: &'a mut BTreeMap<Name, V>,
    kind: &'static str,
    name: &Name,
) -> Result<&'a mut V, ConfigError> {
    map.get_mut(name).ok_or_else(|| ConfigError::Missing {
        kind,
        name: name.clone(),
    })
}
