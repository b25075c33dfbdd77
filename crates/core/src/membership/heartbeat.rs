//! Heartbeats, as they go over the network.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Version;
use crate::name::Name;

/// Whether an instance stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It serves.
    Live,
    /// It is shutting down.
    Leaving,
}

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// When the process started, in milliseconds since the Unix epoch: orders its incarnations.
    pub incarnation: u64,
    /// Counts the heartbeats of the incarnation.
    pub number: u64,
    /// Availability zone.
    pub zone: Name,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other instances connect.
    #[serde(rename = "peer")]
    pub peer_address: SocketAddr,
    /// Whether it stays.
    pub state: MemberState,
    /// The configuration in force there: the digest by which others see that they are behind.
    pub version: Version,
    /// Milliseconds since it had an answer of the key-value service.
    pub silence: u32,
}

impl InstanceInfo {
    /// What is known of an instance at first, before it has said anything.
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

/// What an instance heard of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// The other.
    pub name: Name,
    /// What it said of itself.
    #[serde(rename = "about")]
    pub info: InstanceInfo,
    /// Milliseconds since it said so. Ages only grow on their way, so that what is told of an instance that is gone
    /// ends.
    pub age: u32,
}

/// An upstream that the platform's list shows as leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Where it listens.
    pub address: SocketAddr,
    /// Milliseconds since some instance saw it on the list.
    pub age: u32,
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Of the sender.
    #[serde(rename = "about")]
    pub info: InstanceInfo,
    /// Of others: a part of the sender's table that rotates.
    pub rumors: Vec<Rumor>,
    /// Upstreams that leave.
    pub notices: Vec<LeavingNotice>,
}
