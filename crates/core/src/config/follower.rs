//! Following the accepted changes, from the key-value service and from peers.
//!
//! Whatever comes in, the version in force only rises, and a version that is known stays the change that made it.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::config::ApplyError;
use crate::config::Change;
use crate::config::Head;
use crate::config::State;
use crate::config::Version;
use crate::config::head::MAX_TAIL;

/// The key-value service's own version of the head's key; 0 if the key is absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Revision(pub u64);

/// A head as the key-value service gave it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoredHead {
    /// Its revision.
    pub revision: Revision,
    /// The head.
    pub head: Head,
}

/// What one instance tells another that is behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The changes after the version that the other has.
    Changes(Vec<Change>),
    /// Everything, since the other is too far behind.
    #[serde(rename = "Whole")]
    Snapshot(Box<State>),
}

impl Update {
    /// The version that it leads to; 0 if it holds nothing.
    pub fn version(&self) -> Version {
        match self {
            Update::Snapshot(state) => state.version,
            Update::Changes(changes) => changes.last().map(|c| c.version).unwrap_or_default(),
        }
    }
}

/// What came of input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// The version in force rose.
    Advanced,
    /// Nothing new.
    Unchanged,
    /// It is older than what is known and was ignored.
    Stale,
    /// The snapshot of this version is needed first.
    NeedsSnapshot(Version),
    /// It contradicts what is known and was ignored.
    Inconsistent(ApplyError),
}

/// The configuration in force on one instance, and the head it can build changes on.
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

    /// The last head that the key-value service gave.
    pub fn stored(&self) -> Option<&StoredHead> {
        self.stored.as_ref()
    }

    /// Takes a head that the key-value service gave.
    ///
    /// Failure guarded against: an answer from the past (delayed on its way, or of a replica that lags) brings
    /// back a configuration that operators have replaced: a drained engine gets work again. It shows as a
    /// revision or a version below what is known, and is ignored.
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

    /// Takes a snapshot that the head named.
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

    /// Takes what a peer told.
    ///
    /// Failure guarded against: an instance that has just restarted has read the head, waits for its snapshot, and
    /// is told an older configuration by a peer that is behind. It knew a later one before its restart, so the
    /// version in force would go back. What is older than the head that it knows is not taken as a beginning.
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

    /// What to tell a peer that has version `after` in force.
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

    /// A later state must remember our last change as the one that we know.
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
