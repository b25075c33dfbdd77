//! The resources that a command affects, to tell conflicting changes of concurrent operators from independent ones.

use std::collections::BTreeSet;
use std::fmt;

use crate::config::Command;
use crate::name::Name;

/// A resource that operators configure.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    /// A product.
    Product(Name),
    /// A service.
    Service(Name),
    /// An engine or plain upstream.
    Engine(Name),
    /// The fingerprint of a request.
    Fingerprint(String),
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Resource::Product(name) => write!(f, "product `{name}`"),
            Resource::Service(name) => write!(f, "service `{name}`"),
            Resource::Engine(name) => write!(f, "engine `{name}`"),
            Resource::Fingerprint(text) => write!(f, "fingerprint `{text}`"),
        }
    }
}

impl Command {
    /// Adds the resources whose configuration this command changes to `resources`.
    pub fn collect_resources(&self, resources: &mut BTreeSet<Resource>) {
        let resource = match self {
            Command::CreateProduct { name, .. }
            | Command::AlterProduct { name, .. }
            | Command::DropProduct { name } => Resource::Product(name.clone()),
            Command::CreateService { name, .. } | Command::DropService { name } => {
                Resource::Service(name.clone())
            }
            Command::ReplaceEngine { name, with, .. } => {
                resources.insert(Resource::Engine(with.clone()));
                Resource::Engine(name.clone())
            }
            Command::PlaceEngine { name, .. }
            | Command::DrainEngine { name }
            | Command::ResumeEngine { name }
            | Command::WithdrawEngine { name }
            | Command::SetRole { name, .. }
            | Command::ReleaseOrder { name, .. } => Resource::Engine(name.clone()),
            Command::Quarantine { fingerprint } | Command::Pardon { fingerprint } => {
                Resource::Fingerprint(fingerprint.clone())
            }
        };
        resources.insert(resource);
    }
}

/// Returns all resources that `commands` affect.
pub fn affected_resources(commands: &[Command]) -> BTreeSet<Resource> {
    let mut resources = BTreeSet::new();
    for command in commands {
        command.collect_resources(&mut resources);
    }
    resources
}
