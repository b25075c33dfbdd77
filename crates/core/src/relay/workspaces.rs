//! Whose request it is: keys of callers and the workspaces that hold them.
//!
//! Keys are kept as digests and found by digest, so that neither a copy of the memory nor a log holds one.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use thiserror::Error;

/// Part of the time after which a key that was taken away must no longer work for which what is known counts as complete:
/// a store may keep watches waiting for a second while it changes.
const PROOF_FRACTION: f64 = 0.8;

/// Bytes of a digest that a log shows.
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
    /// The first bytes: enough to tell keys apart, too little to find one.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(&self.0[..DISPLAY_BYTES]))
    }
}

/// A workspace as the operators describe it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name, which engines are told.
    pub name: String,
    /// Goes before the rank of the route, if it is set.
    pub priority: Option<u8>,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// Why the workspaces of a configuration can't be taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WorkspacesError {
    /// One has no name.
    #[error("a workspace without a name")]
    Unnamed,
    /// Two have the same name.
    #[error("two workspaces of the name {0}")]
    DuplicateName(String),
    /// Two hold the same key.
    #[error("the workspaces {0} and {1} hold the same key")]
    SharedKey(String, String),
}

/// A workspace's place in the configuration.
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
    /// [`WorkspacesError`] if it isn't clear whose a key is.
    pub fn new(all: Vec<Workspace>) -> Result<Workspaces, WorkspacesError> {
        let mut holders: BTreeMap<KeyDigest, WorkspaceIndex> = BTreeMap::new();
        let mut names: BTreeMap<&str, WorkspaceIndex> = BTreeMap::new();
        for (index, workspace) in all.iter().enumerate() {
            let place = WorkspaceIndex(index);
            if workspace.name.is_empty() {
                return Err(WorkspacesError::Unnamed);
            }
            if names.insert(&workspace.name, place).is_some() {
                return Err(WorkspacesError::DuplicateName(workspace.name.clone()));
            }
            for key in &workspace.keys {
                let former = holders.insert(*key, place).filter(|former| *former != place);
                if let Some(former) = former {
                    let first = all[former.0].name.clone();
                    return Err(WorkspacesError::SharedKey(first, workspace.name.clone()));
                }
            }
        }
        Ok(Workspaces { all, holders })
    }

    /// The workspace that holds a key.
    pub fn holder(&self, key: KeyDigest) -> Option<&Workspace> {
        self.holders.get(&key).map(|place| &self.all[place.0])
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

/// How old what is known of keys may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyAgeLimits {
    /// Within which time a change must be in force here.
    pub change: Duration,
    /// After which time a key that was taken away must not work anywhere, if that is asked for.
    pub revoke: Option<Duration>,
}

impl KeyAgeLimits {
    /// The age from which on nothing can be said of keys, if there is one.
    pub fn max_proof_age(&self) -> Option<Duration> {
        self.revoke.map(|revoke| revoke.mul_f64(PROOF_FRACTION))
    }
}

/// How old what is known of the store is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreAges {
    /// By the messages of peers.
    pub reported: Duration,
    /// By proof: nothing happened that is not known, up to so long ago; the longest time without one.
    pub proven: Duration,
}

/// What a request's key allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAccess<'a> {
    /// No key is needed.
    Open,
    /// It is a request of this workspace.
    Granted(&'a Workspace),
    /// Nobody holds the key.
    Denied,
    /// What is known is too old to tell: the caller may ask elsewhere.
    Unknown,
}

/// What the key of a request allows on a route that needs one.
///
/// Failures guarded against: an instance that lost touch runs requests with a key that was taken away long ago; one that
/// lags denies a key that was just added, and its caller, for whom that is final, never asks again.
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
