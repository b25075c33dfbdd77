//! The platform's list of machines, which may lag behind.

use std::net::SocketAddr;

use sequoiastream_core::name::Name;
use serde::Deserialize;
use serde::Serialize;

/// State of a machine in the list. The list lags: a machine that has left may still be listed as live.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// Running.
    Live,
    /// Instructed to shut down.
    Leaving,
}

/// A machine in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Name of the instance or upstream.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers (entry instances) or for requests (upstreams).
    pub address: SocketAddr,
    /// UDP and TCP address for other entry instances; `None` for upstreams.
    pub peer: Option<SocketAddr>,
    /// Live or leaving.
    pub state: ListedState,
}
