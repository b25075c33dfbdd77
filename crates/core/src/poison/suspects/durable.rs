//! Which crashes are kept in a store, so that they are known after all instances ended at once.
//!
//! Guards against a request, or a part of prompts, that goes on to crash engines each time that all instances are killed.
//! A first crash is not kept: most requests in it are harmless, and nothing is written while no request is in two.
//!
//! What is read was written at an unknown time: it appears to be as old as it was then. It therefore never outlasts a
//! completion that this instance hears of, is not passed on to peers, and is replaced by what they tell. A completion in
//! the store clears only what was read from there.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::poison::suspects::Note;
use crate::poison::suspects::Outcome;
use crate::poison::suspects::Record;
use crate::poison::suspects::RequestKey;
use crate::poison::suspects::Seen;
use crate::poison::suspects::Suspects;
use crate::poison::suspects::note;
use crate::poison::suspects::note_clock;
use crate::time::Time;

/// Number of crashes of a request or part from which on they are kept.
pub const MIN_DURABLE_CRASHES: usize = 2;

/// Maximum number of notes of an instance that are kept: less than 48 KB. Those of the requests with most crashes are.
pub const MAX_DURABLE_NOTES: usize = 1_024;

impl Suspects {
    /// The notes to keep: the crashes of requests and parts that crashed several engines, or that these were cleared since.
    pub fn durable_notes(&self, now: Time) -> Vec<Note> {
        let requests = self.requests.iter();
        let mut kept: Vec<(usize, Vec<Note>)> = requests
            .map(|(request, record)| {
                let crashes = self.crashes_of(now, *request).count();
                (crashes, durable_notes_of(now, *request, record, crashes))
            })
            .collect();
        kept.sort_by_key(|(crashes, _)| Reverse(*crashes));
        let notes = kept.into_iter().flat_map(|(_, notes)| notes);
        notes.take(MAX_DURABLE_NOTES).collect()
    }

    /// Takes in kept notes, of one or more instances.
    pub fn on_durable_notes(&mut self, now: Time, notes: &[Note]) {
        let completed = notes.iter().filter(|note| note.outcome == Outcome::Completed);
        let cleared: BTreeSet<RequestKey> = completed.map(|note| note.request).collect();
        for request in &cleared {
            self.forget_stored(*request);
        }
        let crashes = notes.iter().filter(|note| !cleared.contains(&note.request));
        crashes.for_each(|note| self.on_stored_crash(now, *note));
    }

    /// Forgets the crashes of a request that were read from the store.
    fn forget_stored(&mut self, request: RequestKey) {
        if let Some(record) = self.requests.get_mut(&request) {
            record.retain(|_, seen| !seen.is_stored);
            self.convicted.take();
        }
    }

    fn on_stored_crash(&mut self, now: Time, note: Note) {
        let age = Duration::from_millis(u64::from(note.age));
        let ttl = note.request.note_ttl();
        if age >= ttl || !matches!(note.outcome, Outcome::Crashed(_)) {
            return;
        }
        let record = self.requests.entry(note.request).or_default();
        record.retain(|_, seen| seen.is_recent(now, ttl));
        if record.contains_key(&Outcome::Completed) || record.contains_key(&note.outcome) {
            return;
        }
        let seen = Seen {
            at: note_clock(now) - age,
            rounds: 0,
            is_stored: true,
        };
        record.insert(note.outcome, seen);
        self.on_added(now, note.request);
    }
}

/// Has the crashes that were read from the store count as earlier than a completion at `completed`.
pub(super) fn date_before(record: &mut Record, completed: Time) {
    for seen in record.values_mut().filter(|seen| seen.is_stored) {
        seen.at = seen.at.min(completed);
        seen.is_stored = false;
        seen.rounds = 0;
    }
}

fn durable_notes_of(now: Time, request: RequestKey, record: &Record, crashes: usize) -> Vec<Note> {
    let ttl = request.note_ttl();
    let all = record.iter().filter(|(_, seen)| seen.is_recent(now, ttl));
    let is_crash = |outcome: &Outcome| matches!(outcome, Outcome::Crashed(_));
    let completed = record.get(&Outcome::Completed).map(|seen| seen.at);
    let is_kept = |outcome: &Outcome, seen: &Seen| match outcome {
        Outcome::Crashed(_) => crashes >= MIN_DURABLE_CRASHES && Some(seen.at) > completed,
        Outcome::Completed => crashes < MIN_DURABLE_CRASHES,
        Outcome::Tried => false,
    };
    if all.clone().filter(|(outcome, _)| is_crash(outcome)).count() < MIN_DURABLE_CRASHES {
        return Vec::new();
    }
    all.filter(|(outcome, seen)| is_kept(outcome, seen))
        .map(|(outcome, seen)| note(now, request, *outcome, *seen))
        .collect()
}
