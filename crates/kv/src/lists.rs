//! The platform's lagging list of machines.

use std::net::SocketAddr;

use sequoiastream_core::name::Name;
use serde::Deserialize;
use serde::Serialize;

/// What the list says of a machine. It lags: a machine that left may still stand as live.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// Running.
    Live,
    /// Told to leave.
    Leaving,
}

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Name of the instance or upstream.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers (entry instances) or for requests (upstreams).
    pub address: SocketAddr,
    /// Address for other entry instances, over UDP and TCP; upstreams have none.
    pub peer: Option<SocketAddr>,
    /// Live or leaving.
    pub state: ListedState,
}
