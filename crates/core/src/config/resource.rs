//! What a command touches, to tell racing operators from independent ones.

use std::collections::BTreeSet;
use std::fmt;

use crate::config::Command;
use crate::name::Name;

/// A thing that operators decide on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    /// A product.
    Product(Name),
    /// A service.
    Service(Name),
    /// An engine or plain upstream.
    Engine(Name),
    /// A request's fingerprint.
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
    /// Adds the things whose decision this command replaces to `things`.
    pub fn collect_resources(&self, things: &mut BTreeSet<Resource>) {
        let thing = match self {
            Command::CreateProduct { name, .. }
            | Command::AlterProduct { name, .. }
            | Command::DropProduct { name } => Resource::Product(name.clone()),
            Command::CreateService { name, .. } | Command::DropService { name } => {
                Resource::Service(name.clone())
            }
            Command::ReplaceEngine { name, with, .. } => {
                things.insert(Resource::Engine(with.clone()));
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
        things.insert(thing);
    }
}

/// Everything that `commands` touch.
pub fn affected_resources(commands: &[Command]) -> BTreeSet<Resource> {
    let mut things = BTreeSet::new();
    for command in commands {
        command.collect_resources(&mut things);
    }
    things
}
