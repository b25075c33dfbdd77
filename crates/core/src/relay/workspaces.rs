//! Keys of callers and the workspaces that hold them.
//!
//! Keys are stored as digests and looked up by digest, so that neither a memory dump nor a log contains one.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use thiserror::Error;

/// Fraction of the time limit for revoked keys during which the known keys count as complete: a store may delay watches
/// for a second while it changes.
const PROOF_FRACTION: f64 = 0.8;

/// Bytes of a digest shown in logs.
const DISPLAY_BYTES: usize = 4;

/// Digest of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of `key`.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(*blake3::hash(key).as_bytes())
    }
}

impl fmt::Display for KeyDigest {
    /// The first bytes: enough to tell keys apart, too few to guess one.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..DISPLAY_BYTES]))
    }
}

/// A workspace as configured by the operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name, which is sent to engines.
    pub name: String,
    /// Overrides the priority of the route, if it is set.
    pub priority: Option<u8>,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// Why the workspaces of a configuration are invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WorkspacesError {
    /// A workspace has no name.
    #[error("a workspace has no name")]
    Unnamed,
    /// Two workspaces have the same name.
    #[error("two workspaces are named {0}")]
    DuplicateName(String),
    /// Two workspaces hold the same key.
    #[error("workspaces {0} and {1} hold the same key")]
    SharedKey(String, String),
}

/// Index of a workspace in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WorkspaceIndex(usize);

/// All workspaces of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Workspaces {
    all: Vec<Workspace>,
    holders: BTreeMap<KeyDigest, WorkspaceIndex>,
}

impl Workspaces {
    /// The workspaces `all`.
    ///
    /// # Errors
    ///
    /// [`WorkspacesError`] if the holder of a key would be ambiguous, or a workspace has no name or that of another.
    pub fn new(all: Vec<Workspace>) -> Result<Workspaces, WorkspacesError> {
        let mut holders: BTreeMap<KeyDigest, WorkspaceIndex> = BTreeMap::new();
        let mut names: BTreeMap<&str, WorkspaceIndex> = BTreeMap::new();
        for (index, workspace) in all.iter().enumerate() {
            let index = WorkspaceIndex(index);
            if workspace.name.is_empty() {
                return Err(WorkspacesError::Unnamed);
            }
            if names.insert(&workspace.name, index).is_some() {
                return Err(WorkspacesError::DuplicateName(workspace.name.clone()));
            }
            for key in &workspace.keys {
                let previous = holders.insert(*key, index).filter(|previous| *previous != index);
                if let Some(previous) = previous {
                    let first = all[previous.0].name.clone();
                    return Err(WorkspacesError::SharedKey(first, workspace.name.clone()));
                }
            }
        }
        Ok(Workspaces { all, holders })
    }

    /// The workspace that holds a key.
    pub fn holder(&self, key: KeyDigest) -> Option<&Workspace> {
        self.holders.get(&key).map(|index| &self.all[index.0])
    }

    /// Number of workspaces.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are no workspaces.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

/// Limits on the age of the known keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyAgeLimits {
    /// Time within which a change must be applied at this instance.
    pub change: Duration,
    /// Time after which a revoked key must not work at any instance, if that is required.
    pub revoke: Option<Duration>,
}

impl KeyAgeLimits {
    /// Maximum age of the last proof that all changes of keys are known, if there is one.
    pub fn max_proof_age(&self) -> Option<Duration> {
        self.revoke.map(|revoke| revoke.mul_f64(PROOF_FRACTION))
    }
}

/// Age of what is known of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreAges {
    /// Time since the last confirmation, as reported by peers.
    pub reported: Duration,
    /// Time since the last proof that all changes are known; [`Duration::MAX`] without one.
    pub proven: Duration,
}

/// Result of checking the key of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAccess<'a> {
    /// No key is needed.
    Open,
    /// The key belongs to this workspace.
    Granted(&'a Workspace),
    /// No workspace holds the key.
    Denied,
    /// The known keys are too old to tell: the caller may ask another instance.
    Unknown,
}

/// Checks the key of a request on a route that needs one.
///
/// Guards against an instance that lost contact and runs requests with a key that was revoked long ago, and against one
/// that lags and denies a key that was just added: a denial is final for the caller, which never retries.
pub fn grant<'a>(
    workspaces: &'a Workspaces,
    key: Option<&[u8]>,
    ages: StoreAges,
    limits: KeyAgeLimits,
) -> KeyAccess<'a> {
    if limits.max_proof_age().is_some_and(|limit| ages.proven > limit) {
        return KeyAccess::Unknown;
    }
    let holder = key.and_then(|key| workspaces.holder(KeyDigest::of(key)));
    match holder {
        Some(workspace) => KeyAccess::Granted(workspace),
        None if ages.reported > limits.change => KeyAccess::Unknown,
        None => KeyAccess::Denied,
    }
}
