//! Detects requests that crash the engines that run them.
//!
//! Guards against a request that crashes its engine and is sent again by its caller, to any instance, so that one
//! engine after the other fails. A request is identified by its method, path and body, not by its id. Engines that
//! broke off the request are counted over all instances: each sends the others what it saw.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::time::Time;

/// Number of engines that must have broken off a request before it is blocked. Two may be chance: links lose answers.
pub const MIN_CRASHES: usize = 3;

/// How long a note counts: crashed engines are back after some seconds, and callers retry within minutes.
pub const NOTE_TTL: Duration = Duration::from_secs(120);

/// How long an instance sends a new note in every message: some messages may be lost.
const NEW_NOTE_TIME: Duration = Duration::from_millis(500);

/// Interval at which an instance sends its notes again, for as long as they count.
///
/// Guards against an instance that was paused, cut off or started later, never hears of a crash, and sends the request
/// to one more engine each time it arrives. Three seconds after such a fault it must know.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of notes in a message, the latest first: 640 bytes at most, beside the load of 50 engines in one
/// packet.
const MAX_NOTES: usize = 32;

/// Maximum number of own notes that an instance keeps.
const MAX_OWN_NOTES: usize = 256;

/// Maximum number of requests remembered; the oldest are removed first.
const MAX_REQUESTS: usize = 1_024;

/// A note to the other instances that an engine broke off a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashNote {
    /// Hash of the request's method, path and body.
    pub request: u64,
    /// Hash of the engine's id.
    pub engine: u64,
}

/// Numbers of requests, by what is known of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectCounts {
    /// Requests that engines broke off lately, including the blocked ones.
    pub suspect: usize,
    /// Requests that are blocked.
    pub blocked: usize,
}

/// The notes of all instances.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    requests: BTreeMap<u64, BTreeMap<u64, Time>>,
    own: VecDeque<(Time, CrashNote)>,
    /// When all own notes were last sent.
    last_resend: Time,
}

impl Suspects {
    /// No notes.
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// Adds a note of this instance.
    pub fn on_engine_broke(&mut self, now: Time, note: CrashNote) {
        self.own.push_back((now, note));
        if self.own.len() > MAX_OWN_NOTES {
            self.own.pop_front();
        }
        self.on_note(now, note);
    }

    /// Adds a note of a peer, which may be a repetition.
    pub fn on_note(&mut self, now: Time, note: CrashNote) {
        let engines = self.requests.entry(note.request).or_default();
        // A repeated note does not extend the lifetime of a valid one, but replaces an expired one.
        let at = engines.entry(note.engine).or_insert(now);
        if now.since(*at) >= NOTE_TTL {
            *at = now;
        }
        if self.requests.len() > MAX_REQUESTS {
            self.evict(now);
        }
    }

    /// The notes to send to peers now.
    pub fn notes(&mut self, now: Time) -> Vec<CrashNote> {
        self.own.retain(|(at, _)| now.since(*at) < NOTE_TTL);
        let again = now.since(self.last_resend) >= RESEND_INTERVAL;
        if again {
            self.last_resend = now;
        }
        let due = self.own.iter().rev();
        let due = due.filter(|(at, _)| again || now.since(*at) < NEW_NOTE_TIME);
        due.map(|(_, note)| *note).take(MAX_NOTES).collect()
    }

    /// Number of engines that ended under a request lately.
    pub fn crashes(&self, now: Time, request: u64) -> usize {
        let engines = self.requests.get(&request);
        let recent = |at: &&Time| now.since(**at) < NOTE_TTL;
        engines.map_or(0, |engines| engines.values().filter(recent).count())
    }

    /// Whether a request is blocked.
    pub fn is_blocked(&self, now: Time, request: u64) -> bool {
        self.crashes(now, request) >= MIN_CRASHES
    }

    /// The numbers of suspect and of blocked requests.
    pub fn counts(&self, now: Time) -> SuspectCounts {
        let is_recent = |at: &Time| now.since(*at) < NOTE_TTL;
        let recent = |engines: &BTreeMap<u64, Time>| engines.values().any(is_recent);
        SuspectCounts {
            suspect: self.requests.values().filter(|engines| recent(engines)).count(),
            blocked: self.requests.keys().filter(|r| self.is_blocked(now, **r)).count(),
        }
    }

    fn evict(&mut self, now: Time) {
        self.requests.retain(|_, engines| {
            engines.retain(|_, at| now.since(*at) < NOTE_TTL);
            !engines.is_empty()
        });
        while self.requests.len() > MAX_REQUESTS {
            let last = |engines: &BTreeMap<u64, Time>| engines.values().max().copied();
            let oldest = self.requests.iter().min_by_key(|(_, engines)| last(engines));
            let Some(request) = oldest.map(|(request, _)| *request) else {
                break;
            };
            self.requests.remove(&request);
        }
    }
}
