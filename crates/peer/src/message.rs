//! Messages between instances.
//!
//! Instances of different versions exchange messages while a fleet is upgraded. A message whose contents change gets a new
//! variant at the end of its type, and the old one becomes a variant without contents that is ignored: an instance that
//! does not understand a message does not act on it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use sequoiastream_core::authority::Incarnation;
use sequoiastream_core::authority::Settlement;
use sequoiastream_core::claims::BucketId;
use sequoiastream_core::claims::ClaimRef;
use sequoiastream_core::claims::ClaimRequest;
use sequoiastream_core::claims::Edit;
use sequoiastream_core::claims::Verdict;
use sequoiastream_core::config::Update;
use sequoiastream_core::config::Version;
use sequoiastream_core::membership::Heartbeat;
use sequoiastream_core::name::Name;
use sequoiastream_core::poison::CrashReport;
use sequoiastream_core::poison::Fingerprint;
use sequoiastream_core::poison::HoldRequest;
use sequoiastream_core::poison::suspects::Note;
use sequoiastream_core::relay::limit_report::PeerLimitReport;
use sequoiastream_core::relay::load_message::LoadMessage;
use sequoiastream_core::relay::pace_reports::PaceMessage;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::streams::StreamId;
use sequoiastream_core::relay::streams::StreamRecord;
use sequoiastream_core::relay::usage::CountsMessage;
use sequoiastream_core::relay::usage::Window;
use sequoiastream_core::relay::watchers::ConfirmationId;
use sequoiastream_core::relay::workspace_use::WorkspaceUse;
use sequoiastream_core::time::WallTime;
use serde::Deserialize;
use serde::Serialize;

/// A message over UDP: may be lost, duplicated or reordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Shows that the sender is running.
    Ping,
    /// A heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Was the load of the sender with the number of a revision, without the store's epoch.
    RetiredLoad,
    /// Requests, with this number, a proof of the store revision that the peer knows.
    Prove(u64),
    /// Was a proof with the number of a revision, without the store's epoch.
    RetiredProof,
    /// Number of requests that engines started for the sender.
    Counts(CountsMessage),
    /// Request limits that engines reported to the sender.
    Limits(Vec<PeerLimitReport>),
    /// Requests under which engines ended.
    Crashes(Vec<Note>),
    /// Versions of streams that began at the sender.
    Streams(Vec<StreamRecord>),
    /// The sender's load on the engines.
    Load(LoadMessage),
    /// Response to [`Datagram::Prove`].
    Proof(StoreProof),
    /// The usage of all windows before this one has been decided.
    Decided(Window),
    /// Engine time that workspaces use through the sender, at a service whose capacity is short.
    WorkspaceUse(WorkspaceUse),
    /// Paces at which engines deliver events, as observed by the sender.
    Pace(PaceMessage),
}

/// A request over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Checks that the peer responds.
    Ping,
    /// Requests a claim from the owner of a shard.
    Claim(ClaimRequest),
    /// Looks up a claim at the owner of a shard.
    #[serde(rename = "Look")]
    Lookup(ClaimRef),
    /// Reports the outcome of a claim to the owner of a shard.
    Edit(BucketId, Edit),
    /// Requests the peer's wall-clock time.
    Clock,
    /// Requests configuration updates after this version.
    Config(Version),
    /// Coordinates the handling of requests that crash engines.
    Poison(PoisonRequest),
    /// Asks the peer not to send new work to an engine.
    Hold(Hold),
    /// Tells the peer that this engine may receive work again.
    Unhold(Name),
    /// Requests the outcome of an order.
    Settle(SettleOrder),
    /// Was a request for a page without the store's epoch.
    RetiredPage,
    /// Was a request for changes without the store's epoch.
    RetiredSince,
    /// Asks the peer to connect to this address of an engine and to turn the connection into a tunnel to it
    /// ([`crate::tunnel`]).
    Connect(SocketAddr),
    /// Requests the version of the engines that began a stream.
    Stream(StreamId),
    /// Requests a page of the peer's copy of the store: the items after this key, in key order.
    Page(String),
    /// Requests the store changes after this revision that the peer knows.
    Since(Revision),
}

/// Response to a request over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Response to [`Request::Ping`].
    Pong,
    /// Response to [`Request::Claim`] and [`Request::Lookup`].
    Verdict(Verdict),
    /// The message was accepted.
    #[serde(rename = "Taken")]
    Accepted,
    /// Response to [`Request::Clock`].
    Clock(WallTime),
    /// Response to [`Request::Config`].
    Config(Update),
    /// Response to [`Request::Poison`].
    Poison(PoisonResponse),
    /// Response to [`Request::Hold`]: number of requests that the peer has in flight at the engine.
    InFlight(u32),
    /// Response to [`Request::Settle`].
    Settled(Settlement),
    /// Was a page without the store's epoch.
    RetiredPage,
    /// The peer has reached its limit of concurrent full transfers; retry later or ask another peer.
    Busy,
    /// Were changes without the store's epoch.
    RetiredChanges,
    /// This instance does not serve the request.
    #[serde(rename = "Unserved")]
    NotServed,
    /// Response to [`Request::Connect`]: from now on the connection carries the tunnel.
    Connected,
    /// Response to [`Request::Connect`]: the peer can't reach the address or serves too many tunnels.
    Unreachable,
    /// Response to [`Request::Stream`]; `None` if the peer does not know the stream.
    Stream(Option<StreamRecord>),
    /// Response to [`Request::Page`]. Also the response to [`Request::Since`], as the first page, if the peer does not
    /// know all changes since that revision.
    Page(StorePage),
    /// Response to [`Request::Since`].
    Changes(StoreChanges),
}

/// Asks a peer not to send new work to an engine before it is changed. Repeated while the change is in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The engine.
    pub engine: Name,
    /// Milliseconds after which the hold expires.
    pub millis: u64,
}

/// Requests the outcome of an order from the process that opened it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleOrder {
    /// The service.
    pub service: Name,
    /// The process.
    pub incarnation: Incarnation,
    /// The engine.
    pub engine: Name,
    /// The order's sequence number.
    pub sequence: u64,
}

/// Response to [`Datagram::Prove`]: the sender knew the store up to `revision` at a time, `age` ago, when the store had
/// no later changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreProof {
    /// Number of the [`Datagram::Prove`] message.
    pub question: u64,
    /// Revision up to which the sender knows the store.
    pub revision: Revision,
    /// Milliseconds since the store provably had no later changes.
    pub age: u32,
}

/// A page of an instance's copy of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorePage {
    /// Revision up to which the sender knows the store.
    pub revision: Revision,
    /// Milliseconds since the store had no later changes.
    pub age: u32,
    /// The items.
    pub items: Vec<StoreItem>,
    /// Whether further items follow.
    pub more: bool,
    /// The store's confirmation from which `age` is counted.
    pub confirmation: ConfirmationId,
}

/// Store changes after a revision, as known to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChanges {
    /// Revision up to which the sender knows the store.
    pub revision: Revision,
    /// Milliseconds since the store had no later changes.
    pub age: u32,
    /// Items that were written.
    pub items: Vec<StoreItem>,
    /// Removed keys with the revisions of their removal.
    pub removed: Vec<(Revision, String)>,
    /// Revisions and keys of written items that are too large to be included.
    pub large: Vec<(Revision, String)>,
    /// The store's confirmation from which `age` is counted.
    pub confirmation: ConfirmationId,
}

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: Revision,
    /// Revision at which it was created.
    pub created: Revision,
}

/// Messages between instances about requests that crash engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoisonRequest {
    /// An engine crashed.
    Note(CrashReport),
    /// Asks whether a suspect request may run alone on an engine.
    Ask(HoldRequest),
    /// The suspect now runs on this engine: all other requests must leave it.
    Vacate(Name),
    /// The suspect no longer runs on the engine, or not all peers agreed.
    Release(HoldRequest),
    /// The request completed: it is no longer a suspect.
    Clear(Fingerprint),
    /// The request is confirmed to crash engines.
    Convict(Fingerprint),
}

/// Response to a [`PoisonRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonResponse {
    /// Whether the peer agrees to the request.
    pub agreed: bool,
    /// Requests of the peer that were running on the crashed engine that a [`PoisonRequest::Note`] reports.
    pub ran: BTreeSet<Fingerprint>,
}
