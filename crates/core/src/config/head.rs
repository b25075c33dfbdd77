//! The head of the accepted changes.
//!
//! One compare-and-swap on the head's key is the act of accepting a change. The head holds the last changes,
//! so that whoever repeats a command, or lost the answer to it, is told its first outcome instead of a second
//! execution.

use std::collections::VecDeque;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use uuid::Uuid;

use crate::config::Command;
use crate::config::Config;
use crate::config::ConfigError;
use crate::time::WallTime;

/// How many changes the tail holds before its writer stores a snapshot and starts a short one.
pub const MAX_TAIL: usize = 64;

/// Count of accepted changes; each accepted change raises it by one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies a command, so that repeating it is safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CommandId(pub Uuid);

/// An accepted change: an entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that it made.
    pub version: Version,
    /// The command's id.
    pub id: CommandId,
    /// The operator who gave it.
    pub who: String,
    /// When it was accepted, by the wall clock of the instance that wrote it.
    pub when: WallTime,
    /// The statement as written, secrets replaced.
    pub statement: String,
    /// The commands, applied together or not at all.
    pub commands: Vec<Command>,
}

/// The value of the head's key.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Head {
    /// Version after the last change of the tail.
    pub version: Version,
    /// Version of the snapshot that the tail builds on; version 0 is the empty configuration.
    pub base: Version,
    /// Changes since the snapshot, oldest first.
    pub tail: VecDeque<Change>,
}

/// A change that was accepted, now or before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Accepted {
    /// The head and configuration that accepting it would make; the swap is still to be done.
    Next {
        /// The head to swap in.
        head: Head,
        /// The configuration at that head.
        config: Config,
    },
    /// The same command was accepted before, as this version.
    Before(Version),
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Rejected {
    /// A command can't be applied.
    #[error("command {index} can't be applied: {source}")]
    Config {
        /// Index of the command in the change.
        index: usize,
        /// What stands against it.
        source: ConfigError,
    },
}

impl Head {
    /// The configuration at this head, given its snapshot.
    ///
    /// # Errors
    ///
    /// [`Rejected`] if a change of the tail can't be applied: the snapshot is not the one it builds on.
    pub fn build(&self, base: &Config) -> Result<Config, Rejected> {
        let mut config = base.clone();
        for change in &self.tail {
            apply_all(&mut config, &change.commands)?;
        }
        Ok(config)
    }

    /// Works out the head that accepts `change` on top of this one.
    ///
    /// The version of `change` is set here.
    ///
    /// # Errors
    ///
    /// [`Rejected`] naming the command that can't be applied.
    pub fn accept(&self, config: &Config, change: Change) -> Result<Accepted, Rejected> {
        if let Some(before) = self.find(change.id) {
            return Ok(Accepted::Before(before.version));
        }
        let mut config = config.clone();
        apply_all(&mut config, &change.commands)?;
        let mut head = self.clone();
        head.version = Version(self.version.0 + 1);
        head.tail.push_back(Change {
            version: head.version,
            ..change
        });
        Ok(Accepted::Next { head, config })
    }

    /// Whether the tail has grown so long that its writer should store a snapshot and start a short one.
    pub fn is_long(&self) -> bool {
        self.tail.len() >= MAX_TAIL
    }

    /// The change with this id, if the tail still holds it.
    pub fn find(&self, id: CommandId) -> Option<&Change> {
        self.tail.iter().find(|change| change.id == id)
    }
}

fn apply_all(config: &mut Config, commands: &[Command]) -> Result<(), Rejected> {
    for (index, command) in commands.iter().enumerate() {
        config
            .apply(command)
            .map_err(|source| Rejected::Config { index, source })?;
    }
    Ok(())
}
