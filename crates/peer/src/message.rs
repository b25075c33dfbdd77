//! The messages themselves.

use sequoiastream_core::claims::Ask;
use sequoiastream_core::claims::BucketId;
use sequoiastream_core::claims::ClaimRef;
use sequoiastream_core::claims::Edit;
use sequoiastream_core::claims::Verdict;
use sequoiastream_core::config::Update;
use sequoiastream_core::config::Version;
use sequoiastream_core::membership::Beat;
use serde::Deserialize;
use serde::Serialize;

/// What goes over UDP: may get lost, come twice or out of order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Only shows that the sender runs.
    Ping,
    /// A heartbeat.
    Beat(Beat),
}

/// A question over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Only asks for an answer.
    Ping,
    /// Asks the owner of a shard for a claim.
    Claim(Ask),
    /// Asks the owner of a shard what is known of a claim.
    Look(ClaimRef),
    /// Tells the owner of a shard what became of a claim.
    Edit(BucketId, Edit),
    /// Asks for the configuration after this version.
    Config(Version),
}

/// The answer to a question over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Answer to [`Request::Ping`].
    Pong,
    /// Answer to [`Request::Claim`] and [`Request::Look`].
    Verdict(Verdict),
    /// The message was taken.
    Taken,
    /// Answer to [`Request::Config`].
    Config(Update),
    /// The request is not served here.
    Unserved,
}
