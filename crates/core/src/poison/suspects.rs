//! Detects requests that crash engines among those that are forwarded unchanged.
//!
//! Guards against a request that crashes its engine and is sent again by its caller, to any instance, so that one
//! engine after the other fails. Crashes are counted over all instances: each passes on what it saw and what it was
//! told, so that an instance that starts later, or was paused or cut off, learns it from any other.
//!
//! All requests that ran on an engine when it ended are in its crash, most of them harmless. A crash counts against a
//! request only if no other request in it was in more crashes. Requests that were in exactly the same crashes can't be
//! told apart: they may run until they differ, up to [`MAX_CRASHES`]. A request that an engine answered completely does
//! not crash engines, and its crashes so far no longer count.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::poison::Fingerprint;
use crate::time::Time;

/// Number of crashes after which a request is blocked.
pub const MIN_CRASHES: usize = 3;

/// Number of crashes after which a request is blocked even if another one was in all of them.
pub const MAX_CRASHES: usize = 5;

/// How long a crash counts: crashed engines are back after some seconds, and callers retry within minutes.
pub const NOTE_TTL: Duration = Duration::from_secs(120);

/// Number of messages in which an instance passes on what is new to it. Each goes to other peers, and each of these
/// passes it on in turn, so that all instances of a large fleet hear of it within a few messages.
const NEW_NOTE_ROUNDS: u8 = 3;

/// How long an engine that has ended may still be listed: its entry expires after some heartbeats.
const ENDED_TIME: Duration = Duration::from_secs(6);

/// Interval at which an instance sends some of all notes again, in turn, for as long as they count.
///
/// Guards against an instance that was paused, cut off or started later, never hears of a crash, and sends the request
/// to one more engine each time it arrives. Three seconds after such a fault it must know.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of notes in a message: about a kilobyte, so that it fits into one packet.
const MAX_NOTES: usize = 32;

/// Maximum number of requests remembered. Those with the fewest crashes are removed first, of these the oldest.
const MAX_REQUESTS: usize = 1_024;

/// What is counted as one request. Requests are compared only with others that are counted in the same way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RequestKey {
    /// A request of any caller.
    Any(Fingerprint),
    /// A request of one caller.
    Caller(Fingerprint),
}

/// A request as it is recognised when it comes again.
///
/// Without a body, different callers send the same request. If it crashes engines for one of them only, the answers to
/// the others must not clear it; if it comes from other addresses of its caller, the address must not hide it. Such a
/// request is therefore counted in both ways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Whoever sends it.
    pub any: Fingerprint,
    /// With its caller, if it has no body.
    pub caller: Option<Fingerprint>,
}

impl RequestIdentity {
    /// The identity of a request that is forwarded unchanged.
    pub fn new(method: &str, path: &str, body: &[u8], caller: &[u8]) -> RequestIdentity {
        let any = Fingerprint::of_forwarded(method, path, body);
        RequestIdentity {
            any,
            caller: body.is_empty().then(|| any.from_caller(caller)),
        }
    }

    fn keys(self) -> impl Iterator<Item = RequestKey> {
        let caller = self.caller.map(RequestKey::Caller);
        [RequestKey::Any(self.any)].into_iter().chain(caller)
    }
}

impl From<Fingerprint> for RequestIdentity {
    fn from(any: Fingerprint) -> RequestIdentity {
        RequestIdentity { any, caller: None }
    }
}

/// What happened to a request at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// An engine answered it completely.
    Completed,
    /// The engine with this hash of its incarnation ended while it ran the request.
    Crashed(u64),
}

/// A note to other instances. Clocks of instances can't be compared, so it contains an age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The request.
    pub request: RequestKey,
    /// What happened to it.
    pub outcome: Outcome,
    /// Milliseconds since then.
    pub age: u32,
}

/// Numbers of requests, by what is known of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectCounts {
    /// Requests under which engines ended lately, including the blocked ones.
    pub suspect: usize,
    /// Requests that are blocked.
    pub blocked: usize,
}

/// When something happened, and in how many further messages it is sent as new.
#[derive(Debug, Clone, Copy)]
struct Seen {
    at: Time,
    rounds: u8,
}

impl Seen {
    fn new(at: Time) -> Seen {
        let rounds = NEW_NOTE_ROUNDS;
        Seen { at, rounds }
    }

    fn is_recent(self, now: Time) -> bool {
        now.since(self.at) < NOTE_TTL
    }
}

/// What is known of one request. Once it was completed, it keeps no crash from before.
type Record = BTreeMap<Outcome, Seen>;

/// The crashes that this instance knows of.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    requests: BTreeMap<RequestKey, Record>,
    /// When each of the engines that ended lately did, by the hash of its incarnation.
    ended: BTreeMap<u64, Time>,
    /// Number of checks that are running, by request.
    checks: BTreeMap<Fingerprint, usize>,
    /// The last note of the last message with notes that are not new.
    cursor: Option<(RequestKey, Outcome)>,
    last_resend: Time,
    /// Whether any note may be new.
    has_new: bool,
}

impl Suspects {
    /// No crashes.
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// Records that an engine broke off a request, and that it is being checked whether the engine has ended.
    pub fn on_check_started(&mut self, request: RequestIdentity) {
        *self.checks.entry(request.any).or_default() += 1;
    }

    /// Records the end of a check.
    pub fn on_check_ended(&mut self, request: RequestIdentity) {
        let left = self.checks.get(&request.any).map_or(0, |checks| checks - 1);
        match left {
            0 => self.checks.remove(&request.any),
            _ => self.checks.insert(request.any, left),
        };
    }

    /// Whether a request is blocked; `None` if it may be once the checks that are running have ended.
    pub fn verdict(&self, now: Time, request: RequestIdentity) -> Option<bool> {
        let checks = self.checks.get(&request.any).copied().unwrap_or_default();
        let must_wait = checks > 0 && self.crashes(now, request) + checks >= MIN_CRASHES;
        (!must_wait).then(|| self.is_blocked(now, request))
    }

    /// Records that the engine with this hash of its incarnation ended while it ran a request.
    pub fn on_crash(&mut self, now: Time, request: RequestIdentity, engine: u64) {
        for key in request.keys() {
            self.record(now, now, key, Outcome::Crashed(engine));
        }
    }

    /// Records that the engine with this hash of its incarnation has ended.
    pub fn on_ended(&mut self, now: Time, engine: u64) {
        self.record_ended(now, now, engine);
    }

    fn record_ended(&mut self, now: Time, at: Time, engine: u64) {
        self.ended.retain(|_, at| now.since(*at) < ENDED_TIME);
        if now.since(at) < ENDED_TIME {
            self.ended.insert(engine, at);
        }
    }

    /// Whether the engine with this hash of its incarnation ended lately.
    pub fn has_ended(&self, now: Time, engine: u64) -> bool {
        let ended = self.ended.get(&engine);
        ended.is_some_and(|at| now.since(*at) < ENDED_TIME)
    }

    /// Records that an engine answered a request completely, if the request is suspect.
    pub fn on_completed(&mut self, now: Time, request: RequestIdentity) {
        for key in request.keys() {
            if self.crashes_of(now, key).next().is_some() {
                self.record(now, now, key, Outcome::Completed);
            }
        }
    }

    /// Records what a peer reports, which may be a repetition.
    pub fn on_note(&mut self, now: Time, note: Note) {
        let age = Duration::from_millis(u64::from(note.age));
        if age < NOTE_TTL {
            self.record(now, now - age, note.request, note.outcome);
        }
    }

    fn record(&mut self, now: Time, at: Time, request: RequestKey, outcome: Outcome) {
        if let Outcome::Crashed(engine) = outcome {
            self.record_ended(now, at, engine);
        }
        let record = self.requests.entry(request).or_default();
        record.retain(|_, seen| seen.is_recent(now));
        let completed = record.get(&Outcome::Completed).map(|seen| seen.at);
        match outcome {
            Outcome::Crashed(_) if completed.is_some_and(|completed| completed >= at) => {}
            Outcome::Crashed(_) => {
                record.entry(outcome).or_insert(Seen::new(at));
            }
            Outcome::Completed if completed.is_some_and(|completed| completed >= at) => {}
            Outcome::Completed => {
                record.retain(|_, seen| seen.at > at);
                record.insert(outcome, Seen::new(at));
            }
        }
        self.has_new = true;
        if self.requests.len() > MAX_REQUESTS {
            self.evict(now, request);
        }
    }

    /// The notes to send in the next message: the new ones, those of the requests with most crashes first, and from time
    /// to time some of the others.
    pub fn notes(&mut self, now: Time) -> Vec<Note> {
        let mut due = self.take_new(now);
        if now.since(self.last_resend) >= RESEND_INTERVAL {
            self.last_resend = now;
            due.extend(self.next_known(now, MAX_NOTES - due.len()));
        }
        due
    }

    fn take_new(&mut self, now: Time) -> Vec<Note> {
        if !self.has_new {
            return Vec::new();
        }
        let mut new: Vec<(Reverse<usize>, RequestKey, Outcome)> = Vec::new();
        for (request, record) in &self.requests {
            let is_new = |seen: &Seen| seen.rounds > 0 && seen.is_recent(now);
            let outcomes = record.iter().filter(|(_, seen)| is_new(seen));
            new.extend(outcomes.map(|(outcome, _)| (Reverse(record.len()), *request, *outcome)));
        }
        self.has_new = !new.is_empty();
        new.sort();
        new.truncate(MAX_NOTES);
        let mut notes = Vec::with_capacity(new.len());
        for (_, request, outcome) in new {
            let record = self.requests.get_mut(&request);
            if let Some(seen) = record.and_then(|record| record.get_mut(&outcome)) {
                seen.rounds -= 1;
                notes.push(note(now, request, outcome, *seen));
            }
        }
        notes
    }

    /// The next notes in turn, whether they are new or not.
    fn next_known(&mut self, now: Time, max: usize) -> Vec<Note> {
        let first = self
            .cursor
            .map_or(Bound::Unbounded, |(request, _)| Bound::Included(request));
        let after = self.requests.range((first, Bound::Unbounded));
        let all = after.chain(&self.requests);
        let all = all
            .flat_map(|(request, record)| record.iter().map(|(outcome, seen)| (*request, *outcome, *seen)));
        let cursor = self.cursor;
        let next = all.skip_while(|(request, outcome, _)| cursor.is_some_and(|c| (*request, *outcome) <= c));
        let next: Vec<_> = next
            .filter(|(_, _, seen)| seen.is_recent(now))
            .take(max)
            .collect();
        self.cursor = next.last().map(|(request, outcome, _)| (*request, *outcome));
        next.into_iter()
            .map(|(request, outcome, seen)| note(now, request, outcome, seen))
            .collect()
    }

    /// Number of engines that ended under a request lately, and since an engine last answered it.
    pub fn crashes(&self, now: Time, request: RequestIdentity) -> usize {
        let counts = request.keys().map(|key| self.crashes_of(now, key).count());
        counts.max().unwrap_or_default()
    }

    /// Whether a request is blocked.
    pub fn is_blocked(&self, now: Time, request: RequestIdentity) -> bool {
        request.keys().any(|key| self.is_key_blocked(now, key))
    }

    fn is_key_blocked(&self, now: Time, request: RequestKey) -> bool {
        if self.crashes_of(now, request).count() < MIN_CRASHES {
            return false;
        }
        let own: Vec<u64> = self.crashes_of(now, request).collect();
        let mut counted = own.clone();
        for (other, record) in &self.requests {
            let is_in = |crash: &u64| {
                record
                    .get(&Outcome::Crashed(*crash))
                    .is_some_and(|s| s.is_recent(now))
            };
            let is_alike = matches!(
                (other, request),
                (RequestKey::Any(_), RequestKey::Any(_)) | (RequestKey::Caller(_), RequestKey::Caller(_))
            );
            if *other == request || !is_alike || !own.iter().any(is_in) {
                continue;
            }
            match self.crashes_of(now, *other).count().cmp(&own.len()) {
                Ordering::Greater => counted.retain(|crash| !is_in(crash)),
                Ordering::Equal if own.len() < MAX_CRASHES && own.iter().all(is_in) => return false,
                Ordering::Equal | Ordering::Less => {}
            }
        }
        counted.len() >= MIN_CRASHES
    }

    /// The numbers of suspect and of blocked requests.
    pub fn counts(&self, now: Time) -> SuspectCounts {
        let requests = || self.requests.keys();
        SuspectCounts {
            suspect: requests()
                .filter(|r| self.crashes_of(now, **r).next().is_some())
                .count(),
            blocked: requests().filter(|r| self.is_key_blocked(now, **r)).count(),
        }
    }

    fn crashes_of(&self, now: Time, request: RequestKey) -> impl Iterator<Item = u64> {
        let record = self.requests.get(&request).into_iter().flatten();
        let recent = record.filter(move |(_, seen)| seen.is_recent(now));
        recent.filter_map(|(outcome, _)| match outcome {
            Outcome::Crashed(engine) => Some(*engine),
            Outcome::Completed => None,
        })
    }

    /// Removes requests beyond the limit, but not `new`: otherwise nothing could be learned while the others count.
    fn evict(&mut self, now: Time, new: RequestKey) {
        self.requests.retain(|_, record| {
            record.retain(|_, seen| seen.is_recent(now));
            !record.is_empty()
        });
        while self.requests.len() > MAX_REQUESTS {
            let rank = |record: &Record| (record.len(), record.values().map(|seen| seen.at).max());
            let others = self.requests.iter().filter(|(request, _)| **request != new);
            let least = others.min_by_key(|(_, record)| rank(record));
            let Some(request) = least.map(|(request, _)| *request) else {
                break;
            };
            self.requests.remove(&request);
        }
    }
}

fn note(now: Time, request: RequestKey, outcome: Outcome, seen: Seen) -> Note {
    let age = now.since(seen.at).as_millis();
    Note {
        request,
        outcome,
        age: u32::try_from(age).unwrap_or(u32::MAX),
    }
}
