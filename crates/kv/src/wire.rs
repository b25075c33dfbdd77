//! Bodies of the platform's HTTP protocol. The stand-in uses the same types.

use serde::Deserialize;
use serde::Serialize;

/// A key's value with its version. Version 0 with no value stands for an absent key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryBody {
    /// The key-value service's own version of the key; raised by each write to any key.
    pub version: u64,
    /// The value in base64; `None` if the key is absent.
    pub value: Option<String>,
}

/// Answer to an accepted write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionBody {
    /// The key's version after the write.
    pub version: u64,
}

/// Answer to a granted lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// The lease's id.
    pub id: u64,
}
