//! Follows accepted changes, read from the key-value service or received from peers.
//!
//! Whatever the input, the version in force only rises, and a known version always stands for the same change.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::config::ApplyError;
use crate::config::Change;
use crate::config::Head;
use crate::config::State;
use crate::config::Version;
use crate::config::head::MAX_TAIL;

/// Revision of the head's key in the key-value service; 0 if the key is absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Revision(pub u64);

/// A head as read from the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoredHead {
    /// Revision of the key that holds the head.
    pub revision: Revision,
    /// The head.
    pub head: Head,
}

/// What an instance sends to a peer that has an older version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The changes after the version that the peer has.
    Changes(Vec<Change>),
    /// The whole state, because the peer is too far behind for single changes.
    #[serde(rename = "Whole")]
    Snapshot(Box<State>),
}

impl Update {
    /// The version after the update is applied; 0 if the update is empty.
    pub fn version(&self) -> Version {
        match self {
            Update::Snapshot(state) => state.version,
            Update::Changes(changes) => changes.last().map(|c| c.version).unwrap_or_default(),
        }
    }
}

/// The result of processing an input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// The version in force rose.
    Advanced,
    /// The input held nothing new.
    Unchanged,
    /// The input is older than what is known and was ignored.
    Stale,
    /// The snapshot of this version must be read first.
    NeedsSnapshot(Version),
    /// The input contradicts what is known and was ignored.
    Inconsistent(ApplyError),
}

/// The configuration in force on one instance, and the latest head, on which changes can be proposed.
#[derive(Debug, Clone, Default)]
pub struct Follower {
    state: State,
    stored: Option<StoredHead>,
    recent: VecDeque<Change>,
}

impl Follower {
    /// The configuration in force.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The last head read from the key-value service.
    pub fn stored(&self) -> Option<&StoredHead> {
        self.stored.as_ref()
    }

    /// Processes a head read from the key-value service.
    ///
    /// Failure guarded against: an outdated response (delayed in the network, or from a lagging replica) restores a
    /// configuration that operators have replaced, and a drained engine gets work again. Such a response has a
    /// revision or a version below the known one, and is ignored.
    pub fn on_stored(&mut self, stored: StoredHead) -> Progress {
        let known = self.stored.as_ref().map(|s| s.revision);
        if known.is_some_and(|known| stored.revision < known) || stored.head.version < self.state.version {
            return Progress::Stale;
        }
        let progress = self.apply_tail(&stored.head);
        if !matches!(progress, Progress::Inconsistent(_)) {
            self.stored = Some(stored);
        }
        progress
    }

    /// Processes a snapshot that the head refers to.
    pub fn on_snapshot(&mut self, snapshot: State) -> Progress {
        let progress = self.replace_state(snapshot);
        let Some(stored) = self.stored.take() else {
            return progress;
        };
        let rest = self.apply_tail(&stored.head);
        self.stored = Some(stored);
        match rest {
            Progress::Unchanged => progress,
            rest => rest,
        }
    }

    /// Processes an update received from a peer.
    ///
    /// Failure guarded against: an instance that has just restarted has read the head and waits for the snapshot, and
    /// a peer that is behind sends it an older configuration. The instance had a later one in force before the
    /// restart, so its version would go back. An update older than the known head is therefore not accepted as the
    /// first state.
    pub fn on_update(&mut self, update: Update) -> Progress {
        let head = self.stored.as_ref().map(|s| s.head.version).unwrap_or_default();
        if self.state.version == Version::default() && update.version() < head {
            return Progress::Stale;
        }
        match update {
            Update::Snapshot(state) => self.replace_state(*state),
            Update::Changes(changes) => self.apply_changes(&changes),
        }
    }

    /// The update for a peer that has version `after` in force.
    pub fn update_after(&self, after: Version) -> Update {
        let covers = self.recent.front().is_some_and(|c| c.version.0 <= after.0 + 1);
        match covers || after >= self.state.version {
            true => {
                let later = self.recent.iter().filter(|change| change.version > after);
                Update::Changes(later.cloned().collect())
            }
            false => Update::Snapshot(Box::new(self.state.clone())),
        }
    }

    fn apply_tail(&mut self, head: &Head) -> Progress {
        if self.state.version < head.tail_base() {
            return Progress::NeedsSnapshot(head.base);
        }
        self.apply_changes(head.tail.iter())
    }

    fn apply_changes<'a, I>(&mut self, changes: I) -> Progress
    where
        I: IntoIterator<Item = &'a Change>,
    {
        let before = self.state.version;
        for change in changes {
            let known = change.version <= self.state.version;
            if let Err(error) = self.state.apply(change) {
                return Progress::Inconsistent(error);
            }
            if !known {
                self.push_recent(change);
            }
        }
        match self.state.version > before {
            true => Progress::Advanced,
            false => Progress::Unchanged,
        }
    }

    fn replace_state(&mut self, state: State) -> Progress {
        if state.version <= self.state.version {
            return match state.version == self.state.version {
                true => Progress::Unchanged,
                false => Progress::Stale,
            };
        }
        if let Some(error) = self.find_fork(&state) {
            return Progress::Inconsistent(error);
        }
        self.recent.clear();
        self.state = state;
        Progress::Advanced
    }

    /// Checks that `later` lists our last change under the same id; otherwise the histories have forked.
    fn find_fork(&self, later: &State) -> Option<ApplyError> {
        let ours = self.state.past.back()?;
        let theirs = later.past.iter().find(|past| past.version == ours.version)?;
        (theirs.id != ours.id).then_some(ApplyError::Fork {
            version: ours.version,
        })
    }

    fn push_recent(&mut self, change: &Change) {
        self.recent.push_back(change.clone());
        while self.recent.len() > MAX_TAIL {
            self.recent.pop_front();
        }
    }
}
