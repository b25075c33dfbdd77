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
//!
//! Requests that differ may have a part of their prompts in common that crashes engines: see [`parts`].

pub mod durable;
pub mod parts;

use std::cell::RefCell;
use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::poison::Fingerprint;
use crate::poison::suspects::parts::ConvictedParts;
use crate::poison::suspects::parts::PartKey;
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

/// How much later a repeated note may make an outcome appear: by the time that it took on its way.
const MAX_NOTE_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of notes in a message: about a kilobyte, so that it fits into one packet.
const MAX_NOTES: usize = 32;

/// Maximum number of notes in a message about requests and parts with at least [`MIN_CRASHES`] crashes, which are sent
/// again before all others.
const MAX_URGENT_NOTES: usize = 16;

/// Maximum number of requests remembered. Those with the fewest crashes are removed first, of these the oldest.
const MAX_REQUESTS: usize = 1_024;

/// What is counted as one request. Requests are compared only with others that are counted in the same way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RequestKey {
    /// A request of any caller.
    Any(Fingerprint),
    /// A request of one caller.
    Caller(Fingerprint),
    /// All requests with a part in their prompts.
    Part(PartKey),
}

impl RequestKey {
    /// How long notes about it count.
    fn note_ttl(self) -> Duration {
        match self {
            RequestKey::Any(_) | RequestKey::Caller(_) => NOTE_TTL,
            RequestKey::Part(_) => parts::NOTE_TTL,
        }
    }
}

/// A request as it is recognised when it comes again.
///
/// Different callers send the same request. If it crashes engines for one of them only, the answers to the others must not
/// clear it; if it comes from other addresses of its caller, the address must not hide it. A request is therefore counted in
/// both ways.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Whoever sends it.
    pub any: Fingerprint,
    /// With its caller, if it is known.
    pub caller: Option<Fingerprint>,
    /// The parts of its prompt that other requests may share.
    pub parts: Arc<[PartKey]>,
}

impl RequestIdentity {
    /// The identity of a request that is forwarded unchanged.
    pub fn new(method: &str, path: &str, body: &[u8], caller: &[u8]) -> RequestIdentity {
        let any = Fingerprint::of_forwarded(method, path, body);
        RequestIdentity {
            any,
            caller: (!caller.is_empty()).then(|| any.from_caller(caller)),
            parts: Arc::default(),
        }
    }

    /// The identity with the parts of its prompt that other requests may share, by their ids in the order of the prompt.
    pub fn with_parts<I>(self, ids: I) -> RequestIdentity
    where
        I: IntoIterator<Item = u64>,
    {
        let parts = PartKey::in_order(ids);
        RequestIdentity { parts, ..self }
    }

    /// The identity without the parts of its prompt.
    pub fn without_parts(&self) -> RequestIdentity {
        RequestIdentity {
            parts: Arc::default(),
            ..*self
        }
    }

    /// What checks whether an engine has ended are counted for.
    fn checked_keys(&self) -> impl Iterator<Item = RequestKey> {
        let parts = self.parts.iter().map(|part| RequestKey::Part(*part));
        [RequestKey::Any(self.any)].into_iter().chain(parts)
    }

    fn keys(&self) -> impl Iterator<Item = RequestKey> {
        let caller = self.caller.map(RequestKey::Caller);
        [RequestKey::Any(self.any)].into_iter().chain(caller)
    }
}

impl From<Fingerprint> for RequestIdentity {
    fn from(any: Fingerprint) -> RequestIdentity {
        RequestIdentity {
            any,
            caller: None,
            parts: Arc::default(),
        }
    }
}

/// What happened to a request at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// An engine answered it completely.
    Completed,
    /// The engine with this hash of its incarnation ended while it ran the request.
    Crashed(u64),
    /// A request with a blocked part was sent to an engine, to find out whether it still crashes engines.
    Tried,
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    Allowed,
    /// It may be blocked once the checks that are running have ended.
    Pending,
    /// It crashes engines.
    Blocked,
    /// A part of its prompt crashes engines.
    PartBlocked,
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
    /// Parts of prompts that are blocked.
    pub parts: usize,
}

/// The time by the clock of notes, which begins so long before the process that all notes that count are from later.
///
/// Guards against an instance that starts, for which everything that its peers tell would have happened at its start: a
/// request that was answered before it crashed engines would be cleared.
fn note_clock(now: Time) -> Time {
    now + parts::NOTE_TTL
}

/// When something happened, by [`note_clock`], and in how many further messages it is sent as new.
///
/// What was read from the store appears later than it was. It is not passed on, gives way to the notes of peers, and counts as
/// earlier than any completion.
#[derive(Debug, Clone, Copy)]
struct Seen {
    at: Time,
    rounds: u8,
    is_stored: bool,
}

impl Seen {
    fn new(at: Time) -> Seen {
        let rounds = NEW_NOTE_ROUNDS;
        let is_stored = false;
        Seen {
            at,
            rounds,
            is_stored,
        }
    }

    fn age(self, now: Time) -> Duration {
        note_clock(now).since(self.at)
    }

    fn is_recent(self, now: Time, ttl: Duration) -> bool {
        self.age(now) < ttl
    }
}

/// What is known of one request. Crashes from before it was completed no longer count, but are kept, so that a repeated
/// note about one of them is recognised: with each message that passes a note on, its crash appears a little later.
type Record = BTreeMap<Outcome, Seen>;

/// Whether an outcome at `at` is not known from the record already, or by an earlier note about the same one.
fn is_news(record: &Record, outcome: Outcome, at: Time) -> bool {
    let completed = record.get(&Outcome::Completed).map(|seen| seen.at);
    if completed.is_some_and(|completed| completed >= at) {
        return false;
    }
    let known = record.get(&outcome).map(|seen| seen.at);
    let is_repeated = known.is_some_and(|known| at.since(known) < MAX_NOTE_DELAY);
    match outcome {
        Outcome::Crashed(_) => record.get(&outcome).is_none_or(|seen| seen.is_stored),
        Outcome::Tried => !is_repeated,
        Outcome::Completed => {
            let mut later = record.values().filter(|seen| Some(seen.at) > completed);
            !is_repeated || later.any(|seen| seen.at <= at)
        }
    }
}

/// The entries of a record that still count.
fn counting(record: &Record, now: Time, ttl: Duration) -> impl Iterator<Item = (Outcome, Seen)> {
    let completed = record.get(&Outcome::Completed).map(|seen| seen.at);
    let recent = record.iter().filter(move |(_, seen)| seen.is_recent(now, ttl));
    let counting = recent.filter(move |(outcome, seen)| match outcome {
        Outcome::Completed => true,
        Outcome::Crashed(_) | Outcome::Tried => Some(seen.at) > completed,
    });
    counting.map(|(outcome, seen)| (*outcome, *seen))
}

/// The crashes that this instance knows of.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    requests: BTreeMap<RequestKey, Record>,
    /// When each of the engines that ended lately did, by the hash of its incarnation.
    ended: BTreeMap<u64, Time>,
    /// Number of checks that are running, by request and by part of its prompt.
    checks: BTreeMap<RequestKey, usize>,
    /// The last note of the last message with notes that are not new.
    cursor: Option<(RequestKey, Outcome)>,
    last_resend: Time,
    /// Whether any note may be new.
    has_new: bool,
    /// When an engine last began to answer a prompt with a part, as seen by this instance.
    begun: BTreeMap<PartKey, Time>,
    /// The parts that crash engines, until a crash or a begun answer is added.
    convicted: RefCell<Option<ConvictedParts>>,
    /// Draws when this instance tries blocked parts again.
    seed: u64,
}

impl Suspects {
    /// No crashes.
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// No crashes. Instances with different seeds try blocked parts again at different times.
    pub fn with_seed(seed: u64) -> Suspects {
        Suspects {
            seed,
            ..Suspects::default()
        }
    }

    /// Records that an engine broke off a request, and that it is being checked whether the engine has ended.
    pub fn on_check_started(&mut self, request: &RequestIdentity) {
        for key in request.checked_keys() {
            *self.checks.entry(key).or_default() += 1;
        }
    }

    /// Records the end of a check.
    pub fn on_check_ended(&mut self, request: &RequestIdentity) {
        for key in request.checked_keys() {
            let left = self.checks.get(&key).map_or(0, |checks| checks - 1);
            match left {
                0 => self.checks.remove(&key),
                _ => self.checks.insert(key, left),
            };
        }
    }

    fn checks_of(&self, key: RequestKey) -> usize {
        self.checks.get(&key).copied().unwrap_or_default()
    }

    /// Whether a request may run.
    pub fn verdict(&self, now: Time, request: &RequestIdentity) -> Verdict {
        let checks = self.checks_of(RequestKey::Any(request.any));
        let is_pending = checks > 0 && self.crashes(now, request) + checks >= MIN_CRASHES;
        if is_pending || self.has_pending_part(now, request) {
            return Verdict::Pending;
        }
        if request.keys().any(|key| self.is_key_blocked(now, key)) {
            return Verdict::Blocked;
        }
        match self.has_blocked_part(now, request) {
            true => Verdict::PartBlocked,
            false => Verdict::Allowed,
        }
    }

    /// Records that the engine with this hash of its incarnation ended while it ran a request.
    pub fn on_crash(&mut self, now: Time, request: &RequestIdentity, engine: u64) {
        for key in request.keys() {
            self.record(now, Duration::ZERO, key, Outcome::Crashed(engine));
        }
        self.on_crash_of_parts(now, request, engine);
    }

    /// Records that the engine with this hash of its incarnation has ended.
    pub fn on_ended(&mut self, now: Time, engine: u64) {
        self.record_ended(now, Duration::ZERO, engine);
    }

    fn record_ended(&mut self, now: Time, age: Duration, engine: u64) {
        self.ended.retain(|_, at| now.since(*at) < ENDED_TIME);
        if age < ENDED_TIME {
            self.ended.insert(engine, now - age);
        }
    }

    /// Whether the engine with this hash of its incarnation ended lately.
    pub fn has_ended(&self, now: Time, engine: u64) -> bool {
        let ended = self.ended.get(&engine);
        ended.is_some_and(|at| now.since(*at) < ENDED_TIME)
    }

    /// Records that an engine answered a request completely, if the request is suspect.
    pub fn on_completed(&mut self, now: Time, request: &RequestIdentity) {
        for key in request.keys() {
            if self.crashes_of(now, key).next().is_some() {
                self.record(now, Duration::ZERO, key, Outcome::Completed);
            }
        }
    }

    /// Records what a peer reports, which may be a repetition.
    pub fn on_note(&mut self, now: Time, note: Note) {
        let age = Duration::from_millis(u64::from(note.age));
        if age < note.request.note_ttl() {
            self.record(now, age, note.request, note.outcome);
        }
    }

    fn record(&mut self, now: Time, age: Duration, request: RequestKey, outcome: Outcome) {
        if let Outcome::Crashed(engine) = outcome {
            self.record_ended(now, age, engine);
        }
        let at = note_clock(now) - age;
        let ttl = request.note_ttl();
        let record = self.requests.entry(request).or_default();
        record.retain(|_, seen| seen.is_recent(now, ttl));
        if outcome == Outcome::Completed {
            durable::date_before(record, at);
        }
        if !is_news(record, outcome, at) {
            return;
        }
        record.insert(outcome, Seen::new(at));
        self.has_new = true;
        self.on_added(now, request);
    }

    fn on_added(&mut self, now: Time, request: RequestKey) {
        if let RequestKey::Part(_) = request {
            self.convicted.take();
        }
        if self.requests.len() > MAX_REQUESTS {
            self.evict(now, request);
        }
    }

    /// The notes to send in the next message: the new ones, those of the requests with most crashes first, and from time
    /// to time some of the others.
    pub fn notes(&mut self, now: Time) -> Vec<Note> {
        let is_resend_due = now.since(self.last_resend) >= RESEND_INTERVAL;
        let mut due = match is_resend_due {
            true => self.urgent(now),
            false => Vec::new(),
        };
        due.extend(self.take_new(now, MAX_NOTES - due.len()));
        if is_resend_due {
            self.last_resend = now;
            due.extend(self.next_known(now, MAX_NOTES - due.len()));
        }
        due
    }

    fn take_new(&mut self, now: Time, max: usize) -> Vec<Note> {
        if !self.has_new {
            return Vec::new();
        }
        let mut new: Vec<(Reverse<usize>, RequestKey, Outcome)> = Vec::new();
        for (request, record) in &self.requests {
            let outcomes = counting(record, now, request.note_ttl()).filter(|(_, seen)| seen.rounds > 0);
            new.extend(outcomes.map(|(outcome, _)| (Reverse(record.len()), *request, outcome)));
        }
        self.has_new = !new.is_empty();
        new.sort();
        new.truncate(max);
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

    /// Notes about the requests and parts with most crashes, whether they are new or not.
    fn urgent(&self, now: Time) -> Vec<Note> {
        let counts = self
            .requests
            .keys()
            .map(|key| (self.crashes_of(now, *key).count(), *key));
        let mut most: Vec<(usize, RequestKey)> =
            counts.filter(|(crashes, _)| *crashes >= MIN_CRASHES).collect();
        most.sort_by_key(|(crashes, _)| Reverse(*crashes));
        let notes = most.iter().flat_map(|(_, key)| {
            let record = self.requests.get(key).into_iter();
            let entries = record.flat_map(|record| counting(record, now, key.note_ttl()));
            let entries = entries.filter(|(_, seen)| !seen.is_stored);
            entries.map(|(outcome, seen)| note(now, *key, outcome, seen))
        });
        notes.take(MAX_URGENT_NOTES).collect()
    }

    /// The next notes in turn, whether they are new or not.
    fn next_known(&mut self, now: Time, max: usize) -> Vec<Note> {
        let first = self
            .cursor
            .map_or(Bound::Unbounded, |(request, _)| Bound::Included(request));
        let after = self.requests.range((first, Bound::Unbounded));
        let all = after.chain(&self.requests);
        let all = all.flat_map(|(request, record)| {
            let entries = counting(record, now, request.note_ttl()).filter(|(_, seen)| !seen.is_stored);
            entries.map(|(outcome, seen)| (*request, outcome, seen))
        });
        let cursor = self.cursor;
        let next = all.skip_while(|(request, outcome, _)| cursor.is_some_and(|c| (*request, *outcome) <= c));
        let next: Vec<_> = next.take(max).collect();
        self.cursor = next.last().map(|(request, outcome, _)| (*request, *outcome));
        next.into_iter()
            .map(|(request, outcome, seen)| note(now, request, outcome, seen))
            .collect()
    }

    /// Number of engines that ended under a request lately, and since an engine last answered it.
    pub fn crashes(&self, now: Time, request: &RequestIdentity) -> usize {
        let counts = request.keys().map(|key| self.crashes_of(now, key).count());
        counts.max().unwrap_or_default()
    }

    /// Whether any engine ended lately under a request or a part of its prompt, or may have: a check is running.
    pub fn is_suspect(&self, now: Time, request: &RequestIdentity) -> bool {
        let mut keys = request.checked_keys().chain(request.keys());
        keys.any(|key| self.checks_of(key) > 0 || self.crashes_of(now, key).next().is_some())
    }

    /// Whether a request is blocked.
    pub fn is_blocked(&self, now: Time, request: &RequestIdentity) -> bool {
        matches!(
            self.verdict(now, request),
            Verdict::Blocked | Verdict::PartBlocked
        )
    }

    fn is_key_blocked(&self, now: Time, request: RequestKey) -> bool {
        if self.crashes_of(now, request).count() < MIN_CRASHES {
            return false;
        }
        let own: Vec<u64> = self.crashes_of(now, request).collect();
        let mut counted = own.clone();
        for other in self.requests.keys() {
            let crashes: Vec<u64> = self.crashes_of(now, *other).collect();
            let is_in = |crash: &u64| crashes.contains(crash);
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
        let is_part = |key: &&RequestKey| matches!(key, RequestKey::Part(_));
        let requests = || self.requests.keys().filter(|key| !is_part(key));
        SuspectCounts {
            suspect: requests()
                .filter(|r| self.crashes_of(now, **r).next().is_some())
                .count(),
            blocked: requests().filter(|r| self.is_key_blocked(now, **r)).count(),
            parts: self.blocked_parts(now).count(),
        }
    }

    fn crashes_of(&self, now: Time, request: RequestKey) -> impl Iterator<Item = u64> {
        let record = self.requests.get(&request).into_iter();
        let entries = record.flat_map(move |record| counting(record, now, request.note_ttl()));
        entries.filter_map(|(outcome, _)| match outcome {
            Outcome::Crashed(engine) => Some(engine),
            Outcome::Completed | Outcome::Tried => None,
        })
    }

    /// Removes requests beyond the limit, but not `new`: otherwise nothing could be learned while the others count.
    fn evict(&mut self, now: Time, new: RequestKey) {
        self.requests.retain(|request, record| {
            record.retain(|_, seen| seen.is_recent(now, request.note_ttl()));
            !record.is_empty()
        });
        while self.requests.len() > MAX_REQUESTS {
            let rank = |request: &RequestKey, record: &Record| {
                let latest = record.values().map(|seen| seen.at).max();
                (self.crashes_of(now, *request).count(), latest)
            };
            let others = self.requests.iter().filter(|(request, _)| **request != new);
            let least = others.min_by_key(|(request, record)| rank(request, record));
            let Some(request) = least.map(|(request, _)| *request) else {
                break;
            };
            self.requests.remove(&request);
        }
    }
}

fn note(now: Time, request: RequestKey, outcome: Outcome, seen: Seen) -> Note {
    let age = seen.age(now).as_millis();
    Note {
        request,
        outcome,
        age: u32::try_from(age).unwrap_or(u32::MAX),
    }
}
