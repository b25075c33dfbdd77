//! Response bodies of the platform's HTTP protocol, also used by the stand-in.

use serde::Deserialize;
use serde::Serialize;

/// A key's value with its version. Version 0 without a value means that the key is absent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryBody {
    /// Version that the key-value service assigned to the key; increases with each write to any key.
    pub version: u64,
    /// The value in base64; `None` if the key is absent.
    pub value: Option<String>,
}

/// Response to an accepted write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionBody {
    /// The key's version after the write.
    pub version: u64,
}

/// Response to a granted lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// Lease ID.
    pub id: u64,
}
