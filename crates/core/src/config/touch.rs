//! What a command touches, to tell racing operators from independent ones.

use std::collections::BTreeSet;
use std::fmt;

use crate::config::Command;
use crate::name::Name;

/// A thing that operators decide on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Thing {
    /// A product.
    Product(Name),
    /// A service.
    Service(Name),
    /// An engine or plain upstream.
    Engine(Name),
    /// A request's fingerprint.
    Fingerprint(String),
}

impl fmt::Display for Thing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Thing::Product(name) => write!(f, "product `{name}`"),
            Thing::Service(name) => write!(f, "service `{name}`"),
            Thing::Engine(name) => write!(f, "engine `{name}`"),
            Thing::Fingerprint(text) => write!(f, "fingerprint `{text}`"),
        }
    }
}

impl Command {
    /// Adds the things whose decision this command replaces to `things`.
    pub fn touch(&self, things: &mut BTreeSet<Thing>) {
        let thing = match self {
            Command::CreateProduct { name, .. }
            | Command::AlterProduct { name, .. }
            | Command::DropProduct { name } => Thing::Product(name.clone()),
            Command::CreateService { name, .. } | Command::DropService { name } => {
                Thing::Service(name.clone())
            }
            Command::ReplaceEngine { name, with, .. } => {
                things.insert(Thing::Engine(with.clone()));
                Thing::Engine(name.clone())
            }
            Command::PlaceEngine { name, .. }
            | Command::DrainEngine { name }
            | Command::ResumeEngine { name }
            | Command::WithdrawEngine { name }
            | Command::SetRole { name, .. }
            | Command::ReleaseOrder { name, .. } => Thing::Engine(name.clone()),
            Command::Quarantine { fingerprint } | Command::Pardon { fingerprint } => {
                Thing::Fingerprint(fingerprint.clone())
            }
        };
        things.insert(thing);
    }
}

/// Everything that `commands` touch.
pub fn touched(commands: &[Command]) -> BTreeSet<Thing> {
    let mut things = BTreeSet::new();
    for command in commands {
        command.touch(&mut things);
    }
    things
}
