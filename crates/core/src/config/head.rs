//! The head of the log of accepted changes.
//!
//! A change is accepted by one compare-and-swap on the head's key. The head holds the latest changes (the tail),
//! so that instances that are up to date need to read nothing else, and the version of the snapshot for instances
//! that are too far behind.

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

/// Number of changes in the tail at which the next writer stores a snapshot and shortens the tail.
pub const MAX_TAIL: usize = 32;

/// Maximum number of changes kept in a shortened tail, so that an instance slightly behind needs no snapshot.
pub const SHORT_TAIL: usize = 8;

/// Estimated size, in bytes, at which a tail counts as long whatever its number of changes. The initial load of a
/// large configuration is one large change; without this limit, each later change would write it again.
pub const MAX_TAIL_BYTES: usize = 48 * 1024;

/// Estimated size of a change without its statement and commands, in bytes.
const CHANGE_BASE_BYTES: usize = 200;

/// Estimated size of a stored command, in bytes.
const COMMAND_BYTES: usize = 160;

/// Version of the configuration: the number of changes accepted so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies a proposed change, so that it can be retried safely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CommandId(pub Uuid);

impl CommandId {
    /// The timestamp in the id, if it is a UUIDv7.
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
    /// The version that the change produced.
    pub version: Version,
    /// The command's id.
    pub id: CommandId,
    /// The operator who proposed it.
    pub who: String,
    /// Where the operator's statement came from.
    pub from: String,
    /// When it was accepted, by the wall clock of the instance that wrote the head.
    pub when: WallTime,
    /// The statement as entered, with secrets replaced.
    pub statement: String,
    /// The commands, applied atomically.
    pub commands: Vec<Command>,
}

impl Change {
    fn estimated_bytes(&self) -> usize {
        CHANGE_BASE_BYTES + self.statement.len() + COMMAND_BYTES * self.commands.len()
    }
}

/// A change that an operator proposes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The command's id.
    pub id: CommandId,
    /// The operator who proposes it.
    pub who: String,
    /// Where the operator's statement comes from.
    pub from: String,
    /// Wall clock time on the instance that received the proposal.
    pub when: WallTime,
    /// The statement as entered, with secrets replaced.
    pub statement: String,
    /// The commands, applied atomically.
    pub commands: Vec<Command>,
    /// The version that the proposal is based on.
    pub base: Base,
}

/// The version that a proposal is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Base {
    /// The operator gave the version: any later change to the same resources is a conflict.
    Explicit(Version),
    /// The version in force on the instance that received the statement. Later changes by the same operator are not
    /// conflicts, since they may have been made through another instance a moment before.
    Implied(Version),
}

impl Base {
    /// The version, whether explicit or implied.
    pub fn version(self) -> Version {
        match self {
            Base::Explicit(version) | Base::Implied(version) => version,
        }
    }
}

/// The value stored under the head's key.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Head {
    /// Version produced by the last change in the tail.
    pub version: Version,
    /// Version of the snapshot to start from; version 0 is the empty configuration, for which no snapshot is stored.
    pub base: Version,
    /// Version of the previous snapshot, which is kept for readers of an older head.
    pub prior: Version,
    /// The latest changes, oldest first. A shortened tail starts before the version of its snapshot.
    pub tail: VecDeque<Change>,
}

/// Why a proposal can't be accepted on a head.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposalError {
    /// A command can't be applied.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// Another change to the same resource was accepted first.
    #[error("{resource} was changed by version {version} ({who}: {statement}) after version {base}")]
    Conflict {
        /// The resource that both changes affect.
        resource: Resource,
        /// Version of the change that was accepted first.
        version: Version,
        /// The operator who proposed that change.
        who: String,
        /// The statement of that change.
        statement: String,
        /// The version that the rejected proposal was based on.
        base: Version,
    },
    /// The tail no longer covers all changes since the version that the proposal is based on.
    #[error("version {base} is too far behind version {head} to check what was changed since")]
    BaseTooOld {
        /// The version that the rejected proposal was based on.
        base: Version,
        /// The version in force.
        head: Version,
    },
    /// The id is so old that it may have been accepted and dropped from the audit trail.
    #[error("the command id is too old to tell whether it was accepted before")]
    Expired,
}

impl Head {
    /// Checks whether `proposal` may be accepted on this head, whose state is `state`. Returns its version if it was
    /// accepted before.
    ///
    /// # Errors
    ///
    /// [`ProposalError`] if the proposal conflicts with a later change, or if its base or its id is too old.
    pub fn check(&self, state: &State, proposal: &Proposal) -> Result<Option<Version>, ProposalError> {
        match state.find(proposal.id) {
            CommandStatus::Accepted(version) => Ok(Some(version)),
            CommandStatus::Expired => Err(ProposalError::Expired),
            CommandStatus::New => self.check_base(proposal).map(|()| None),
        }
    }

    /// Returns the head with `proposal` appended to this one, whose state is `state`.
    ///
    /// # Errors
    ///
    /// [`ProposalError::Apply`] with the command that can't be applied.
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

    /// Whether the tail is so long that the next writer should store a snapshot and shorten it.
    pub fn is_long(&self) -> bool {
        self.tail.len() >= MAX_TAIL || self.estimated_bytes() >= MAX_TAIL_BYTES
    }

    /// This head with a shortened tail, based on a snapshot of its own version.
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

    /// The version before the first change in the tail: a state of this version or later needs no snapshot.
    pub fn tail_base(&self) -> Version {
        match self.tail.front() {
            Some(change) => Version(change.version.0.saturating_sub(1)),
            None => self.version,
        }
    }

    fn estimated_bytes(&self) -> usize {
        self.tail.iter().map(Change::estimated_bytes).sum()
    }

    /// Guards against lost updates between concurrent operators: the second would undo the first operator's change
    /// without having seen it. It is rejected with an error that gives the earlier change. Changes to other resources
    /// are not conflicts.
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
