//! What instances tell each other many times a second: their work at each engine, and how far they know the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::relay::cached_parts::PrefillRecord;
use crate::relay::load_tracker::Work;
use crate::relay::suspects::Note;
use crate::relay::watchers::Word;

/// Peers that get each heartbeat and each message about load. In a fleet with more peers, successive messages about load
/// go to successive groups of peers.
pub const FANOUT: usize = 16;

/// An idle instance sends a message about load only once in this many turns, to report the store revision it knows.
const QUIET_TURNS: u32 = 16;

/// Maximum number of turns for a message about load to reach all peers; later it would be outdated. In a fleet that needs
/// more turns, only busy peers of the same zone get a message in every turn.
const MAX_TURNS: usize = 16;

/// Peers of the same zone, busy or not, that get a message once in [`QUIET_TURNS`] in a large fleet. It spreads the store
/// revision that the sender knows.
const LARGE_FLEET_SAME_ZONE: usize = 8;

/// Peers of other zones that get a message once in [`QUIET_TURNS`] in a large fleet.
const LARGE_FLEET_OTHER_ZONES: usize = 1;

/// Work at one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The engine's id.
    pub engine: String,
    /// Requests.
    pub requests: u32,
    /// Time that the reading of prompts which are not read yet takes, in microseconds.
    pub reading: u64,
}

/// A message about load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's work, engine by engine.
    pub shares: Vec<Share>,
    /// Engines that broke off under a request lately.
    pub notes: Vec<Note>,
    /// What the sender has had read lately.
    pub reads: Vec<PrefillRecord>,
    /// Revision of the store up to which the sender knows the engines.
    pub revision: u64,
    /// Milliseconds since the store had nothing beyond that; the largest number if the sender can't tell.
    pub age: u32,
    /// Milliseconds since then by proof; the largest number without one.
    pub proof: u32,
    /// Microseconds since the Unix epoch by the sender's wall clock, as it left.
    pub wall: u64,
}

impl Digest {
    /// The message about `work`; it says nothing of the store yet.
    pub fn new(work: BTreeMap<String, Work>, notes: Vec<Note>, reads: Vec<PrefillRecord>) -> Digest {
        let shares = work.into_iter().map(|(engine, work)| Share {
            engine,
            requests: work.requests,
            reading: u64::try_from(work.prefill.as_micros()).unwrap_or(u64::MAX),
        });
        Digest {
            shares: shares.collect(),
            notes,
            reads,
            revision: 0,
            age: u32::MAX,
            proof: u32::MAX,
            wall: 0,
        }
    }

    /// The message with the sender's clock, and how old its proof of what it knows of the store is.
    pub fn with_clock(self, wall: u64, proof: Option<Word>) -> Digest {
        let proof = proof.map_or(u32::MAX, Word::millis);
        Digest { proof, wall, ..self }
    }

    /// The message with `part` of what it says of work and readings: the engines with most work, the latest readings.
    ///
    /// Failure guarded against: an instance with work at hundreds of engines has a message that is longer than a datagram may be,
    /// and the others hear of none of its work.
    pub fn trim(mut self, part: f64) -> Digest {
        let keep = |count: usize| (count as f64 * part.clamp(0.0, 1.0)) as usize;
        let (shares, reads) = (keep(self.shares.len()), keep(self.reads.len()));
        self.shares
            .sort_by_key(|share| std::cmp::Reverse((share.requests, share.reading)));
        self.shares.truncate(shares);
        self.reads.drain(..self.reads.len() - reads);
        self
    }

    /// The message with what the sender knows of the store.
    pub fn with_word(mut self, word: Option<Word>) -> Digest {
        if let Some(word) = word {
            self.revision = word.revision;
            self.age = word.millis();
        }
        self
    }

    /// What the sender knows of the store.
    pub fn word(&self) -> Word {
        Word::new(self.revision, self.age)
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

/// Peers to which messages about load may be sent.
///
/// Guards against all-to-all messages in a fleet of a thousand instances, where small instances would spend all their time
/// on messages that they have no use for.
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
            return part(&[self.same_zone, self.other_zones].concat(), turn, FANOUT);
        }
        let mut chosen = part(self.busy, turn, FANOUT);
        if is_quiet_turn(turn) {
            let round = turn / QUIET_TURNS;
            chosen.extend(part(self.same_zone, round, LARGE_FLEET_SAME_ZONE));
            chosen.extend(part(self.other_zones, round, LARGE_FLEET_OTHER_ZONES));
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

/// The peers that are told in a turn: `most` of them, and with each turn the next ones, round and round.
pub fn part(peers: &[SocketAddr], turn: u32, most: usize) -> Vec<SocketAddr> {
    let first = (turn as usize).wrapping_mul(most).checked_rem(peers.len());
    let next = peers.iter().cycle().skip(first.unwrap_or_default());
    next.take(most.min(peers.len())).copied().collect()
}
