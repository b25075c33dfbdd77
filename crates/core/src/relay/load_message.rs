//! Messages that instances send each other many times a second: their load on each engine, and how far they have read
//! the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::cached_parts::PrefillRecord;
use crate::relay::load_tracker::Work;
use crate::relay::revision::Revision;
use crate::relay::watchers::ConfirmationId;
use crate::relay::watchers::ConfirmedStatus;
use crate::relay::watchers::SyncStatus;

/// Peers that get each heartbeat and each message about load. In a fleet with more peers, successive messages about
/// load go to successive groups of peers.
pub const FANOUT: usize = 16;

/// An idle instance sends a message about load only once in this many turns, to report the store revision it knows.
const QUIET_TURNS: u32 = 16;

/// Maximum number of turns for a message about load to reach all peers; later it would be outdated. In a fleet that
/// needs more turns, only busy peers of the same zone get a message in every turn.
const MAX_TURNS: usize = 16;

/// Peers of the same zone, busy or not, that get a message once in [`QUIET_TURNS`] in a large fleet. It spreads the
/// store revision that the sender knows.
const LARGE_FLEET_SAME_ZONE: usize = 8;

/// Peers of other zones that get a message once in [`QUIET_TURNS`] in a large fleet.
const LARGE_FLEET_OTHER_ZONES: usize = 1;

/// Load on one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The engine's id.
    pub engine: String,
    /// Number of requests.
    pub requests: u32,
    /// Time needed to process the prompts that are not processed yet, in microseconds.
    pub reading: u64,
}

/// A message about load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// The sender's load on each engine.
    pub shares: Vec<EngineLoad>,
    /// Prompts that the sender recently had processed.
    pub reads: Vec<PrefillRecord>,
    /// Revision of the store up to which the sender knows the engines.
    pub revision: Revision,
    /// Milliseconds since the store had nothing beyond that revision; `u32::MAX` if the sender can't tell.
    pub age: u32,
    /// Milliseconds since the last proof of that; `u32::MAX` without one.
    pub proof: u32,
    /// Microseconds since the Unix epoch by the sender's wall clock when the message was sent.
    pub wall: u64,
    /// The store's confirmation from which `age` is counted.
    pub confirmation: ConfirmationId,
    /// Whether the sender has lost its direct links to the engines.
    pub detached: bool,
}

impl LoadMessage {
    /// A message with the load `work`, without a status of the store.
    pub fn new(work: BTreeMap<String, Work>, reads: Vec<PrefillRecord>) -> LoadMessage {
        let shares = work.into_iter().map(|(engine, work)| EngineLoad {
            engine,
            requests: work.requests,
            reading: u64::try_from(work.prefill.as_micros()).unwrap_or(u64::MAX),
        });
        LoadMessage {
            shares: shares.collect(),
            reads,
            revision: Revision::ZERO,
            age: u32::MAX,
            proof: u32::MAX,
            wall: 0,
            confirmation: ConfirmationId::default(),
            detached: false,
        }
    }

    /// The message with the sender's clock and the age of its last proof that it has read all changes of the store.
    pub fn with_clock(self, wall: u64, proof: Option<SyncStatus>) -> LoadMessage {
        let proof = proof.map_or(u32::MAX, SyncStatus::age_millis);
        LoadMessage { proof, wall, ..self }
    }

    /// The message with whether the sender has lost its direct links to the engines.
    pub fn with_detached(self, detached: bool) -> LoadMessage {
        LoadMessage { detached, ..self }
    }

    /// The message with the `fraction` of its load and its reads: the engines with most load, the latest reads.
    ///
    /// Guards against an instance with load on hundreds of engines whose message is longer than a datagram may be: the
    /// others would learn nothing of its load.
    pub fn trim(mut self, fraction: f64) -> LoadMessage {
        let keep = |count: usize| (count as f64 * fraction.clamp(0.0, 1.0)) as usize;
        let (shares, reads) = (keep(self.shares.len()), keep(self.reads.len()));
        self.shares
            .sort_by_key(|share| std::cmp::Reverse((share.requests, share.reading)));
        self.shares.truncate(shares);
        self.reads.drain(..self.reads.len() - reads);
        self
    }

    /// The message with how far the sender has read the store.
    pub fn with_sync_status(mut self, status: Option<ConfirmedStatus>) -> LoadMessage {
        if let Some(ConfirmedStatus { status, confirmation }) = status {
            self.revision = status.revision;
            self.age = status.age_millis();
            self.confirmation = confirmation;
        }
        self
    }

    /// How far the sender has read the store.
    pub fn sync_status(&self) -> ConfirmedStatus {
        ConfirmedStatus::new(self.revision, self.age, self.confirmation)
    }
}

/// Number of turns in which messages about load reach all of `peers` peers.
pub fn turns(peers: usize) -> usize {
    peers.div_ceil(FANOUT).max(1)
}

/// Whether there are too many peers to reach all of them within [`MAX_TURNS`].
pub fn is_large_fleet(peers: usize) -> bool {
    turns(peers) > MAX_TURNS
}

/// Whether an idle instance sends messages about load in this turn.
pub fn is_quiet_turn(turn: u32) -> bool {
    turn.is_multiple_of(QUIET_TURNS)
}

/// What an instance has to report in a turn.
#[derive(Debug, PartialEq, Eq)]
pub enum Report {
    /// No work, and nothing that changed.
    Nothing,
    /// Load, or records of processed prompts.
    Work,
    /// The direct links to the engines were lost or regained.
    Change,
}

/// Decides in which turns an instance sends a message about load.
#[derive(Debug, Default)]
pub struct SendSchedule {
    /// Whether there was something to report in the last turn.
    reported: bool,
    /// Number of turns until the last change has been sent to all recipients.
    change_turns: usize,
}

impl SendSchedule {
    /// Whether a message is sent in this turn. All recipients are covered within `cycle_turns` turns.
    ///
    /// Guards against peers learning late that an idle instance has lost its engines: a change is sent to all
    /// recipients immediately, even if there is no work to report. After the last work, one message reports that there
    /// is none.
    pub fn is_due(&mut self, turn: u32, report: Report, cycle_turns: usize) -> bool {
        if report == Report::Change {
            self.change_turns = cycle_turns;
        }
        let reports = report != Report::Nothing || self.change_turns > 0;
        self.change_turns = self.change_turns.saturating_sub(1);
        let reported = std::mem::replace(&mut self.reported, reports);
        reports || reported || is_quiet_turn(turn)
    }
}

/// Peers to which messages about load may be sent.
///
/// Guards against all-to-all messages in a fleet of a thousand instances, where small instances would spend all their
/// time on messages that they have no use for.
#[derive(Debug, Clone, Copy)]
pub struct LoadPeers<'a> {
    /// Peers of the same zone.
    pub same_zone: &'a [SocketAddr],
    /// Peers of other zones.
    pub other_zones: &'a [SocketAddr],
    /// Peers of the same zone that have work.
    pub busy: &'a [SocketAddr],
}

impl LoadPeers<'_> {
    fn is_large_fleet(&self) -> bool {
        is_large_fleet(self.same_zone.len() + self.other_zones.len())
    }

    /// Recipients of the message of a turn.
    pub fn recipients(&self, turn: u32) -> Vec<SocketAddr> {
        if !self.is_large_fleet() {
            return round_robin(&[self.same_zone, self.other_zones].concat(), turn, FANOUT);
        }
        let mut chosen = round_robin(self.busy, turn, FANOUT);
        if is_quiet_turn(turn) {
            let round = turn / QUIET_TURNS;
            chosen.extend(round_robin(self.same_zone, round, LARGE_FLEET_SAME_ZONE));
            chosen.extend(round_robin(self.other_zones, round, LARGE_FLEET_OTHER_ZONES));
        }
        chosen
    }

    /// Number of turns in which a message reaches all its recipients: the busy peers in a large fleet, otherwise all
    /// peers.
    pub fn turns(&self) -> usize {
        match self.is_large_fleet() {
            true => turns(self.busy.len()),
            false => turns(self.same_zone.len() + self.other_zones.len()),
        }
    }
}

/// The peers that get a message in a turn: at most `max`, and the next ones with each turn, in rotation.
pub fn round_robin(peers: &[SocketAddr], turn: u32, max: usize) -> Vec<SocketAddr> {
    let first = (turn as usize).wrapping_mul(max).checked_rem(peers.len());
    let next = peers.iter().cycle().skip(first.unwrap_or_default());
    next.take(max.min(peers.len())).copied().collect()
}
