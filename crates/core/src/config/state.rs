//! The configuration at one version, with the trail of the last changes.
//!
//! A [`State`] is a function of the accepted changes alone: whoever applies the same changes in the same order
//! holds an equal one. That is why a snapshot of a version, written by any instance, is as good as any other.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::config::Change;
use crate::config::CommandId;
use crate::config::Config;
use crate::config::ConfigError;
use crate::config::Version;
use crate::time::WallTime;

/// How many past changes a state remembers: their ids answer repeated commands, their text is the audit trail.
/// At 210 changes a day this is two days and a half.
pub const MAX_AUDIT_ENTRIES: usize = 512;

/// Longest statement kept in the trail, in bytes.
pub const MAX_STATEMENT_BYTES: usize = 240;

/// An entry of the audit trail. Only accepted changes have one; refused ones are logged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The version that it made.
    pub version: Version,
    /// The command's id.
    pub id: CommandId,
    /// The operator who gave it.
    pub who: String,
    /// Where it came from.
    pub from: String,
    /// When it was accepted.
    pub when: WallTime,
    /// The statement, cut at [`MAX_STATEMENT`].
    pub statement: String,
}

/// The configuration at one version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct State {
    /// The version.
    pub version: Version,
    /// What operators decided.
    pub config: Config,
    /// The last changes, oldest first.
    pub past: VecDeque<AuditEntry>,
    /// Latest time within an id that `past` has dropped; an id with a later time was never dropped.
    pub forgotten: WallTime,
}

/// Why a change doesn't follow on a state.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ApplyError {
    /// A command can't be applied; nothing was changed.
    #[error("command {index} can't be applied: {source}")]
    Config {
        /// Index of the command in the change.
        index: usize,
        /// What stands against it.
        source: ConfigError,
    },
    /// Changes between are missing.
    #[error("version {next} doesn't follow on version {state}")]
    Gap {
        /// Version of the state.
        state: Version,
        /// Version of the change.
        next: Version,
    },
    /// Another change made this version: the accepted changes would not be a total order.
    #[error("two changes claim version {version}")]
    Fork {
        /// The version.
        version: Version,
    },
}

/// What is known of a command id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandStatus {
    /// It was accepted as this version.
    Accepted(Version),
    /// It was not accepted.
    New,
    /// It is so old that it may have been accepted and forgotten.
    Expired,
}

impl State {
    /// Applies `change`, or skips it if it is in the state already.
    ///
    /// # Errors
    ///
    /// [`ApplyError`]; the state is then unchanged.
    pub fn apply(&mut self, change: &Change) -> Result<(), ApplyError> {
        if change.version <= self.version {
            return self.check_fork(change);
        }
        if change.version.0 != self.version.0 + 1 {
            return Err(ApplyError::Gap {
                state: self.version,
                next: change.version,
            });
        }
        let mut config = self.config.clone();
        for (index, command) in change.commands.iter().enumerate() {
            config
                .apply(command)
                .map_err(|source| ApplyError::Config { index, source })?;
        }
        self.config = config;
        self.version = change.version;
        self.record(change);
        Ok(())
    }

    /// What is known of `id`.
    ///
    /// Failure guarded against: an operator repeats a command days later, and it takes effect a second time.
    /// Ids carry their time (UUIDv7), and the state keeps the latest time among the ids it dropped. An id that
    /// is not found and has a later time was never dropped, whatever the clocks say. An id without a time is
    /// covered only as long as it is remembered.
    pub fn find(&self, id: CommandId) -> CommandStatus {
        if let Some(past) = self.past.iter().rev().find(|past| past.id == id) {
            return CommandStatus::Accepted(past.version);
        }
        match id.time() {
            Some(time) if time <= self.forgotten => CommandStatus::Expired,
            _ => CommandStatus::New,
        }
    }

    /// The oldest version whose change is still remembered.
    pub fn oldest(&self) -> Option<Version> {
        self.past.front().map(|past| past.version)
    }

    /// Guards against a fork: a change of a version that is known must be the change that made it.
    fn check_fork(&self, change: &Change) -> Result<(), ApplyError> {
        let known = self.past.iter().find(|past| past.version == change.version);
        match known {
            Some(past) if past.id != change.id => Err(ApplyError::Fork {
                version: change.version,
            }),
            _ => Ok(()),
        }
    }

    fn record(&mut self, change: &Change) {
        self.past.push_back(AuditEntry {
            version: change.version,
            id: change.id,
            who: change.who.clone(),
            from: change.from.clone(),
            when: change.when,
            statement: truncate(&change.statement),
        });
        while self.past.len() > MAX_AUDIT_ENTRIES {
            let dropped = self.past.pop_front();
            let time = dropped.and_then(|past| past.id.time()).unwrap_or_default();
            self.forgotten = self.forgotten.max(time);
        }
    }
}

fn truncate(statement: &str) -> String {
    let mut end = MAX_STATEMENT_BYTES.min(statement.len());
    while !statement.is_char_boundary(end) {
        end -= 1;
    }
    statement[..end].to_string()
}
