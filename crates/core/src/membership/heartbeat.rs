//! Heartbeat messages, as sent over the network.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Version;
use crate::name::Name;

/// Whether an instance is live or leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The instance serves.
    Live,
    /// The instance is shutting down.
    Leaving,
}

/// What an instance reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Start time of the process, in milliseconds since the Unix epoch; orders the incarnations of an instance.
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation.
    pub number: u64,
    /// Availability zone.
    pub zone: Name,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other instances.
    #[serde(rename = "peer")]
    pub peer_address: SocketAddr,
    /// Whether it is live or leaving.
    pub state: MemberState,
    /// Version of the configuration in force there, by which others detect that they are behind.
    pub version: Version,
    /// Milliseconds since it last had a response from the key-value service.
    pub silence: u32,
}

impl InstanceInfo {
    /// Creates the information about an instance that has not sent a heartbeat yet.
    pub fn new(incarnation: u64, zone: Name, address: SocketAddr, peer: SocketAddr) -> InstanceInfo {
        InstanceInfo {
            incarnation,
            number: 0,
            zone,
            address,
            peer_address: peer,
            state: MemberState::Live,
            version: Version::default(),
            silence: u32::MAX,
        }
    }
}

/// Information about another instance that a sender passes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// Name of the other instance.
    pub name: Name,
    /// What that instance last reported about itself.
    #[serde(rename = "about")]
    pub info: InstanceInfo,
    /// Milliseconds since that report. Ages only grow as rumors are passed on, so that rumors about an instance that is
    /// gone come to an end.
    pub age: u32,
}

/// Notice that the platform's list shows an upstream as leaving, or did so `age` milliseconds ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Milliseconds since an instance last read a list that shows it as leaving, excluding the transit time of
    /// messages.
    pub age: u32,
    /// Orders the notices for this upstream across all instances: a later notice has a higher number.
    pub number: u64,
}

/// A heartbeat message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Information about the sender.
    #[serde(rename = "about")]
    pub info: InstanceInfo,
    /// Information about other instances: a rotating part of the sender's table.
    pub rumors: Vec<Rumor>,
    /// Upstreams that are leaving, or were leaving a few minutes ago.
    pub notices: Vec<LeavingNotice>,
}
