//! Requests that crash the engines that run them.
//!
//! Failure guarded against: a request crashes its engine, its caller sends it again, to any instance, and one engine
//! after the other goes down. What tells the request is its method, path and body, not its id. Engines that broke off
//! under it are counted over all instances: each tells the others what it saw.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::time::Time;

/// Engines that must have broken off under a request before it is run no more. Two may be chance: links lose answers.
pub const MIN_CRASHES: usize = 3;

/// How long what was seen counts: crashed engines are back after some seconds, and callers come again within minutes.
pub const NOTE_TTL: Duration = Duration::from_secs(120);

/// How long an instance tells the others in every message what it saw: some may be lost.
const NEW_NOTE_TIME: Duration = Duration::from_millis(500);

/// Time between two times that it tells them again, for as long as it counts.
///
/// Failure guarded against: an instance that was paused, cut off or started later never hears of a crash, and sends the
/// request to one engine more each time it comes. Three seconds after such trouble it must know.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Notes in a message, the latest first: 640 bytes at most, beside the load of 50 engines in one packet.
const MAX_NOTES: usize = 32;

/// Notes of its own that an instance keeps.
const MAX_OWN_NOTES: usize = 256;

/// Requests remembered; the oldest go first.
const MAX_REQUESTS: usize = 1_024;

/// What an instance tells the others: this engine broke off under this request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashNote {
    /// Hash of the request's method, path and body.
    pub request: u64,
    /// Hash of the engine's id.
    pub engine: u64,
}

/// What this instance knows of such requests.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    requests: BTreeMap<u64, BTreeMap<u64, Time>>,
    own: VecDeque<(Time, CrashNote)>,
    /// When all of its own were last told.
    last_resend: Time,
}

impl Suspects {
    /// Nothing known.
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// Notes what this instance saw.
    pub fn on_engine_broke(&mut self, now: Time, note: CrashNote) {
        self.own.push_back((now, note));
        if self.own.len() > MAX_OWN_NOTES {
            self.own.pop_front();
        }
        self.on_note(now, note);
    }

    /// Notes what a peer saw, perhaps once more.
    pub fn on_note(&mut self, now: Time, note: CrashNote) {
        let engines = self.requests.entry(note.request).or_default();
        engines.entry(note.engine).or_insert(now);
        if self.requests.len() > MAX_REQUESTS {
            self.evict(now);
        }
    }

    /// What to tell the peers now.
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

    /// Whether a request is run no more.
    pub fn is_blocked(&self, now: Time, request: u64) -> bool {
        let engines = self.requests.get(&request);
        let recent = |at: &&Time| now.since(**at) < NOTE_TTL;
        engines.is_some_and(|engines| engines.values().filter(recent).count() >= MIN_CRASHES)
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
