//! The head of the accepted changes.
//!
//! One compare-and-swap on the head's key is the act of accepting a change. The head holds the last changes
//! (the tail), so that whoever follows it needs nothing else, and names the snapshot for whoever is too far
//! behind.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use uuid::Uuid;

use crate::config::ApplyError;
use crate::config::Command;
use crate::config::CommandStatus;
use crate::config::State;
use crate::config::resource::Resource;
use crate::config::resource::affected_resources;
use crate::time::WallTime;

/// How many changes the tail holds before its writer stores a snapshot and starts a short one.
pub const MAX_TAIL: usize = 32;

/// How many changes a shortened tail keeps, so that an instance a little behind needs no snapshot.
pub const SHORT_TAIL: usize = 8;

/// Weight, in bytes by estimate, at which a tail counts as long whatever its number of changes. The first
/// load of a large configuration is one heavy change: without this limit each later change would write it again.
pub const MAX_TAIL_BYTES: usize = 48 * 1024;

/// Estimated bytes of a change besides its statement and commands.
const CHANGE_BASE_BYTES: usize = 200;

/// Estimated bytes of a stored command.
const COMMAND_BYTES: usize = 160;

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

impl CommandId {
    /// The time that the id carries, if it is a UUIDv7.
    pub fn time(self) -> Option<WallTime> {
        if self.0.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = self.0.get_timestamp()?.to_unix();
        let since = Duration::new(seconds, nanos);
        Some(WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX)))
    }
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that it made.
    pub version: Version,
    /// The command's id.
    pub id: CommandId,
    /// The operator who gave it.
    pub who: String,
    /// Where it came from.
    pub from: String,
    /// When it was accepted, by the wall clock of the instance that wrote it.
    pub when: WallTime,
    /// The statement as written, secrets replaced.
    pub statement: String,
    /// The commands, applied together or not at all.
    pub commands: Vec<Command>,
}

impl Change {
    fn estimated_bytes(&self) -> usize {
        CHANGE_BASE_BYTES + self.statement.len() + COMMAND_BYTES * self.commands.len()
    }
}

/// A change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The command's id.
    pub id: CommandId,
    /// The operator who gives it.
    pub who: String,
    /// Where it comes from.
    pub from: String,
    /// Wall clock of the instance that takes it.
    pub when: WallTime,
    /// The statement as written, secrets replaced.
    pub statement: String,
    /// The commands, applied together or not at all.
    pub commands: Vec<Command>,
    /// The version that the operator decided on.
    pub base: Base,
}

/// The version that an operator decided on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Base {
    /// The operator named it: any later change of the same things is a conflict.
    Explicit(Version),
    /// The version in force where the statement came in. The operator's own later changes are no conflict, since
    /// they may have gone through another instance a moment before.
    Implied(Version),
}

impl Base {
    /// The version.
    pub fn version(self) -> Version {
        match self {
            Base::Explicit(version) | Base::Implied(version) => version,
        }
    }
}

/// The value of the head's key.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Head {
    /// Version after the last change of the tail.
    pub version: Version,
    /// Version of the snapshot to begin with; version 0 is the empty configuration, which is stored nowhere.
    pub base: Version,
    /// Version of the snapshot before that one; it stays for readers of an older head.
    pub prior: Version,
    /// The last changes, oldest first. A shortened tail begins before its snapshot.
    pub tail: VecDeque<Change>,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposalError {
    /// A command can't be applied.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// Another operator's change of the same thing came first.
    #[error("{resource} was changed by version {version} ({who}: {statement}) after version {base}")]
    Conflict {
        /// What both touch.
        resource: Resource,
        /// Version of the change that came first.
        version: Version,
        /// Who gave it.
        who: String,
        /// Its statement.
        statement: String,
        /// The version that the refused change was based on.
        base: Version,
    },
    /// So much was changed since that the tail can't tell what.
    #[error("version {base} is too far behind version {head} to tell what was changed since")]
    BaseTooOld {
        /// The version that the refused change was based on.
        base: Version,
        /// The version in force.
        head: Version,
    },
    /// The id is so old that it may have been accepted and forgotten.
    #[error("the command id is too old to tell whether it was accepted before")]
    Expired,
}

impl Head {
    /// Whether `proposal` may be accepted on this head, whose state is `state`; its version if it was already.
    ///
    /// # Errors
    ///
    /// [`ProposalError`] with what stands against it.
    pub fn check(&self, state: &State, proposal: &Proposal) -> Result<Option<Version>, ProposalError> {
        match state.find(proposal.id) {
            CommandStatus::Accepted(version) => Ok(Some(version)),
            CommandStatus::Expired => Err(ProposalError::Expired),
            CommandStatus::New => self.check_base(proposal).map(|()| None),
        }
    }

    /// The head that accepts `proposal` on top of this one, whose state is `state`.
    ///
    /// # Errors
    ///
    /// [`ProposalError`] naming the command that can't be applied.
    pub fn push(&self, state: &State, proposal: &Proposal) -> Result<Head, ProposalError> {
        let change = Change {
            version: Version(self.version.0 + 1),
            id: proposal.id,
            who: proposal.who.clone(),
            from: proposal.from.clone(),
            when: proposal.when,
            statement: proposal.statement.clone(),
            commands: proposal.commands.clone(),
        };
        let mut next = state.clone();
        next.apply(&change)?;
        let mut head = self.clone();
        head.version = change.version;
        head.tail.push_back(change);
        Ok(head)
    }

    /// Whether the tail has grown so long that its writer should store a snapshot and start a short one.
    pub fn is_long(&self) -> bool {
        self.tail.len() >= MAX_TAIL || self.estimated_bytes() >= MAX_TAIL_BYTES
    }

    /// This head with a short tail on a snapshot of its own version.
    pub fn shorten(&self) -> Head {
        let mut head = self.clone();
        head.prior = head.base;
        head.base = head.version;
        while head.tail.len() > SHORT_TAIL
            || (head.estimated_bytes() >= MAX_TAIL_BYTES / 2 && !head.tail.is_empty())
        {
            head.tail.pop_front();
        }
        head
    }

    /// The version before the first change of the tail: a state of this version or later needs no snapshot.
    pub fn tail_base(&self) -> Version {
        match self.tail.front() {
            Some(change) => Version(change.version.0.saturating_sub(1)),
            None => self.version,
        }
    }

    fn estimated_bytes(&self) -> usize {
        self.tail.iter().map(Change::estimated_bytes).sum()
    }

    /// Guards against racing operators: the second would undo the first without having seen it. It is refused
    /// with the name of the change that it lost to. Changes of other things don't stand in its way.
    fn check_base(&self, proposal: &Proposal) -> Result<(), ProposalError> {
        let base = proposal.base.version();
        if base >= self.version {
            return Ok(());
        }
        if base < self.tail_base() {
            return Err(ProposalError::BaseTooOld {
                base,
                head: self.version,
            });
        }
        let ours = affected_resources(&proposal.commands);
        for change in self.tail.iter().filter(|change| change.version > base) {
            let own = change.who == proposal.who && matches!(proposal.base, Base::Implied(_));
            if own {
                continue;
            }
            if let Some(resource) = common_resource(&ours, &change.commands) {
                return Err(ProposalError::Conflict {
                    resource,
                    version: change.version,
                    who: change.who.clone(),
                    statement: change.statement.clone(),
                    base,
                });
            }
        }
        Ok(())
    }
}

fn common_resource(ours: &BTreeSet<Resource>, commands: &[Command]) -> Option<Resource> {
    let theirs = affected_resources(commands);
    ours.intersection(&theirs).next().cloned()
}
