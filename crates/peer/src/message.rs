//! The messages themselves.

use std::collections::BTreeSet;

use sequoiastream_core::authority::Incarnation;
use sequoiastream_core::authority::Settlement;
use sequoiastream_core::claims::BucketId;
use sequoiastream_core::claims::ClaimRef;
use sequoiastream_core::claims::ClaimRequest as ClaimAsk;
use sequoiastream_core::claims::Edit;
use sequoiastream_core::claims::Verdict;
use sequoiastream_core::config::Update;
use sequoiastream_core::config::Version;
use sequoiastream_core::membership::Heartbeat;
use sequoiastream_core::name::Name;
use sequoiastream_core::poison::CrashReport;
use sequoiastream_core::poison::Fingerprint;
use sequoiastream_core::poison::HoldRequest;
use sequoiastream_core::relay::load_message::LoadMessage;
use sequoiastream_core::relay::usage::CountsMessage;
use sequoiastream_core::time::WallTime;
use serde::Deserialize;
use serde::Serialize;

/// What goes over UDP: may get lost, come twice or out of order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Only shows that the sender runs.
    Ping,
    /// A heartbeat.
    Beat(Heartbeat),
    /// The sender's work at the engines.
    Load(LoadMessage),
    /// Asks, under this number, for a proof of what the peer knows of the store.
    Prove(u64),
    /// Answers that question.
    Proof(StoreProof),
    /// Requests that engines began for the sender.
    Counts(CountsMessage),
}

/// A question over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Only asks for an answer.
    Ping,
    /// Asks the owner of a shard for a claim.
    Claim(ClaimAsk),
    /// Asks the owner of a shard what is known of a claim.
    Look(ClaimRef),
    /// Tells the owner of a shard what became of a claim.
    Edit(BucketId, Edit),
    /// Asks for the wall clock.
    Clock,
    /// Asks for the configuration after this version.
    Config(Version),
    /// About requests that crash engines.
    Poison(PoisonRequest),
    /// Asks to keep new work from an engine.
    Hold(Hold),
    /// Says that this engine may get work again.
    Unhold(Name),
    /// Asks what became of an order.
    Settle(SettleOrder),
    /// Asks for a page of what the peer knows of the store: the items after this key, in key order.
    Page(String),
    /// Asks for what the peer knows of the store after this revision.
    Since(u64),
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
    /// Answer to [`Request::Clock`].
    Clock(WallTime),
    /// Answer to [`Request::Config`].
    Config(Update),
    /// Answer to [`Request::Poison`].
    Poison(PoisonResponse),
    /// Answer to [`Request::Hold`]: requests that the peer has at the engine.
    InFlight(u32),
    /// Answer to [`Request::Settle`].
    Settled(Settlement),
    /// Answer to [`Request::Page`]; also to [`Request::Since`], as the first page, if the peer doesn't know all changes
    /// since that revision.
    Page(StorePage),
    /// The peer has reached its limit of full transfers; retry later or ask another peer.
    Busy,
    /// Answer to [`Request::Since`].
    News(StoreChanges),
    /// The request is not served here.
    Unserved,
}

/// Asks to keep new work from an engine before it is changed. Asked again while the change goes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The engine.
    pub engine: Name,
    /// Milliseconds after which the hold lapses.
    pub millis: u64,
}

/// Asks the process that opened an order what became of it.
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

/// Answer to [`Datagram::Prove`]: the sender knew the store up to `revision` when it had nothing beyond that, `age` ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreProof {
    /// The question's number.
    pub question: u64,
    /// Up to which revision.
    pub revision: u64,
    /// Milliseconds since the store had nothing beyond that, by proof.
    pub age: u32,
}

/// A page of what an instance knows of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorePage {
    /// Up to which revision.
    pub revision: u64,
    /// Milliseconds since the store had nothing beyond that.
    pub age: u32,
    /// The items.
    pub items: Vec<StoreItem>,
    /// Whether further items follow.
    pub more: bool,
}

/// What happened in the store after a revision, as an instance knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChanges {
    /// Up to which revision.
    pub revision: u64,
    /// Milliseconds since the store had nothing beyond that.
    pub age: u32,
    /// Items that were written.
    pub items: Vec<StoreItem>,
    /// Keys that were removed, and at which revision.
    pub removed: Vec<(u64, String)>,
    /// Items that were written and are too large to be told: their revisions and keys.
    pub large: Vec<(u64, String)>,
}

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
    /// Revision at which it was created.
    pub created: u64,
}

/// What instances tell each other of requests that crash engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoisonRequest {
    /// An engine crashed.
    Note(CrashReport),
    /// May this suspect run alone there?
    Ask(HoldRequest),
    /// It runs there now: whatever else runs there must move.
    Vacate(Name),
    /// It runs there no more, or was not granted by all.
    Release(HoldRequest),
    /// It ran to its end: it is innocent.
    Clear(Fingerprint),
    /// It is convicted.
    Convict(Fingerprint),
}

/// The answer to a [`PoisonRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonResponse {
    /// Whether the peer agrees to what was asked.
    pub agreed: bool,
    /// Requests of the peer that ran on the engine that a note says has crashed.
    pub ran: BTreeSet<Fingerprint>,
}
