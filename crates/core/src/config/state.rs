//! The configuration at one version, with the audit trail of the latest changes.
//!
//! A [`State`] depends only on the accepted changes: every instance that applies the same changes in the same order
//! has an equal state. Therefore all snapshots of a version are equal, whichever instance wrote them.

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

/// Number of changes kept in the audit trail, whose ids also identify repeated commands. At 210 changes a day this
/// covers two and a half days.
pub const MAX_AUDIT_ENTRIES: usize = 512;

/// Maximum length of a statement in the audit trail, in bytes; longer ones are truncated.
pub const MAX_STATEMENT_BYTES: usize = 240;

/// An entry of the audit trail. Only accepted changes have one; rejected proposals are logged instead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The version that the change produced.
    pub version: Version,
    /// The command's id.
    pub id: CommandId,
    /// The operator who proposed it.
    pub who: String,
    /// Where the operator's statement came from.
    pub from: String,
    /// When it was accepted.
    pub when: WallTime,
    /// The statement, truncated to [`MAX_STATEMENT_BYTES`].
    pub statement: String,
}

/// The configuration at one version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct State {
    /// The version.
    pub version: Version,
    /// The configuration that operators set.
    pub config: Config,
    /// The audit trail of the latest changes, oldest first.
    pub past: VecDeque<AuditEntry>,
    /// Latest timestamp among the ids dropped from `past`; an id with a later timestamp was never dropped.
    pub forgotten: WallTime,
}

/// Why a change can't be applied to a state.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ApplyError {
    /// A command can't be applied; nothing was changed.
    #[error("command {index} can't be applied: {source}")]
    Config {
        /// Index of the command in the change.
        index: usize,
        /// Why it can't be applied.
        source: ConfigError,
    },
    /// Changes between the state and this change are missing.
    #[error("version {next} does not follow version {state}")]
    Gap {
        /// Version of the state.
        state: Version,
        /// Version of the change.
        next: Version,
    },
    /// Another change has this version: the accepted changes would not be totally ordered.
    #[error("two different changes have version {version}")]
    Fork {
        /// The version.
        version: Version,
    },
}

/// What a state knows about a command id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandStatus {
    /// The command was accepted as this version.
    Accepted(Version),
    /// The command was not accepted before.
    New,
    /// The id is so old that its command may have been accepted and dropped from the audit trail.
    Expired,
}

impl State {
    /// Applies `change`, or skips it if the state includes it already.
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

    /// Returns what is known about the command `id`.
    ///
    /// Failure guarded against: an operator repeats a command days later, and it takes effect a second time.
    /// Ids contain a timestamp (UUIDv7), and the state keeps the latest timestamp among the ids that it dropped. An id
    /// that is not found and has a later timestamp was never dropped, however wrong the clocks are. An id without a
    /// timestamp is recognized only as long as it is in the audit trail.
    pub fn find(&self, id: CommandId) -> CommandStatus {
        if let Some(past) = self.past.iter().rev().find(|past| past.id == id) {
            return CommandStatus::Accepted(past.version);
        }
        match id.time() {
            Some(time) if time <= self.forgotten => CommandStatus::Expired,
            _ => CommandStatus::New,
        }
    }

    /// The oldest version whose change is still in the audit trail.
    pub fn oldest(&self) -> Option<Version> {
        self.past.front().map(|past| past.version)
    }

    /// Guards against a fork: a change with a known version must be the change that produced that version.
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
