//! Requests that crash the engines that run them.
//!
//! Failure guarded against: a request crashes each engine that runs it, the daemon resumes it on the next one and
//! its caller sends it again, until no engine is left. Each crash makes suspects of all requests that ran
//! there. A suspect runs again only alone: it holds an engine, whose other streams move elsewhere and which gets
//! no new work meanwhile. One that is in a second crash runs no more, so that no request takes more than two engines.
//!
//! That it is in two crashes doesn't convict it yet: another poisonous request may just have been on its way
//! out when the engine crashed. It is convicted when all others of its last crash have run to their end, at once
//! if there are none. If one of these turns out to be the cause instead, the crash is explained: the others may run
//! again, still alone, since two poisonous requests may have been there.
//!
//! Only evidence of a crash convicts: the engine refuses connections, or runs anew. An engine that is merely
//! silent may be cut off from this instance; that raises suspicion for a shorter time and convicts nobody.
//!
//! What a suspect needs to run is a hold on an engine and on its own fingerprint. An instance takes a hold only
//! if all peers that answer agree; of two that ask at once, the lower fingerprint goes first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::invariant;
use crate::name::Name;
use crate::time::Time;

/// How long a sure crash raises suspicion.
pub const CRASH_RETENTION: Duration = Duration::from_secs(6 * 3600);

/// How long an engine that went silent raises suspicion: while it lasts, an innocent request may be withheld.
pub const SILENCE_RETENTION: Duration = Duration::from_secs(600);

/// Most crashes, and most convicts awaiting their entry in the configuration. The oldest go first.
pub const MAX_RECORDS: usize = 4096;

/// Crashes after which a request runs no more.
const CRASH_THRESHOLD: usize = 2;

/// What makes two requests the same: hash of product, model, prompt and limit.
///
/// Ids are left out, and so is the seed: most callers get a new one with each repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(product: &Name, model: &str, prompt: &str, limit: u32) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for part in [product.as_str(), model, prompt] {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&limit.to_be_bytes());
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Fingerprint(bytes)
    }

    /// Its first byte, by which suspects are spread over engines.
    pub fn first_byte(self) -> u8 {
        self.0[0]
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

/// One crash of one engine: the engine's incarnation ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incident {
    /// The engine.
    pub engine: Name,
    /// The incarnation that ended; nil if it was not known.
    pub incarnation: Uuid,
}

/// How sure it is that an engine crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Evidence {
    /// It gives no answer; it may be cut off.
    Silent,
    /// It refuses connections, or runs as another incarnation.
    Crashed,
}

/// What an instance tells its peers of a crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The crash.
    pub incident: Incident,
    /// How sure it is.
    pub evidence: Evidence,
    /// The requests of the instance that ran there.
    pub ran: BTreeSet<Fingerprint>,
}

/// A wish to run a suspect alone on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRequest {
    /// The suspect.
    pub fingerprint: Fingerprint,
    /// The engine.
    pub engine: Name,
    /// The instance that asks.
    pub from: Name,
    /// How long at most the suspect runs, in milliseconds.
    pub millis: u64,
}

/// What the records say of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing.
    Unsuspected,
    /// It ran on an engine that crashed: it may run with a hold.
    Suspect,
    /// It ran on two: it may not run until others of these crashes were convicted or cleared.
    Pending,
    /// It crashed two engines: it may not run.
    Confirmed,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct RunningAttempt {
    fingerprint: Fingerprint,
    engine: Name,
    incarnation: Option<Uuid>,
    exclusive: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Crash {
    evidence: Evidence,
    ran: BTreeSet<Fingerprint>,
    /// Whether somebody was convicted who ran there.
    explained: bool,
    at: Time,
}

impl Crash {
    fn is_recent(&self, now: Time) -> bool {
        let lifetime = match self.evidence {
            Evidence::Silent => SILENCE_RETENTION,
            Evidence::Crashed => CRASH_RETENTION,
        };
        now.since(self.at) < lifetime
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Hold {
    fingerprint: Fingerprint,
    owner: Name,
    granted: bool,
    until: Time,
}

/// The records of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecords {
    own_name: Name,
    running: BTreeMap<Uuid, RunningAttempt>,
    crashes: BTreeMap<Incident, Crash>,
    confirmed: BTreeMap<Fingerprint, Time>,
    holds: BTreeMap<Name, Hold>,
    incarnations: BTreeMap<Name, Uuid>,
}

impl CrashRecords {
    /// Empty records of instance `own_name`.
    pub fn new(own_name: Name) -> CrashRecords {
        CrashRecords {
            own_name,
            running: BTreeMap::new(),
            crashes: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            holds: BTreeMap::new(),
            incarnations: BTreeMap::new(),
        }
    }

    /// What is known of a request.
    pub fn suspicion(&self, now: Time, fingerprint: Fingerprint) -> Suspicion {
        if self.confirmed.contains_key(&fingerprint) {
            return Suspicion::Confirmed;
        }
        let crashes: Vec<&Crash> = self.crashes_of(now, fingerprint).collect();
        let open = crashes.iter().filter(|c| !c.explained).count();
        match (crashes.is_empty(), open) {
            (true, _) => Suspicion::Unsuspected,
            (false, CRASH_THRESHOLD..) => Suspicion::Pending,
            (false, _) => Suspicion::Suspect,
        }
    }

    /// Records that an attempt is sent to an engine. `false` if it may not be sent: it is of a convict, of a
    /// suspect without a hold, or the engine is held for a suspect.
    pub fn begin(&mut self, now: Time, attempt: Uuid, fingerprint: Fingerprint, engine: &Name) -> bool {
        let held = self.holds.get(engine).is_some_and(|h| {
            h.fingerprint == fingerprint && h.owner == self.own_name && h.granted && h.until > now
        });
        let taken = self.held_engines(now).contains(engine) && !held;
        if taken {
            return false;
        }
        let allowed = match self.suspicion(now, fingerprint) {
            Suspicion::Unsuspected => true,
            Suspicion::Suspect => held,
            Suspicion::Pending | Suspicion::Confirmed => false,
        };
        if invariant::check(allowed, "no suspect runs without a hold, no convict at all").is_err() {
            return false;
        }
        let running = RunningAttempt {
            fingerprint,
            engine: engine.clone(),
            incarnation: None,
            exclusive: held,
        };
        self.running.insert(attempt, running);
        true
    }

    /// Records which incarnation of the engine took the attempt.
    pub fn record_incarnation(&mut self, attempt: Uuid, incarnation: Uuid) {
        if let Some(running) = self.running.get_mut(&attempt) {
            running.incarnation = Some(incarnation);
            self.incarnations.insert(running.engine.clone(), incarnation);
        }
    }

    /// Records that an attempt has ended, after its end was judged.
    pub fn end(&mut self, attempt: Uuid) {
        self.running.remove(&attempt);
    }

    /// The incarnation of the engine that an attempt runs on, as far as it is known.
    pub fn incarnation(&self, attempt: Uuid) -> Option<Uuid> {
        let running = self.running.get(&attempt)?;
        running
            .incarnation
            .or_else(|| self.incarnations.get(&running.engine).copied())
    }

    /// What to tell the peers of the crash under `attempt`, which is still recorded as running.
    pub fn crash_report(&self, attempt: Uuid, evidence: Evidence) -> Option<CrashReport> {
        let engine = &self.running.get(&attempt)?.engine;
        let incarnation = self.incarnation(attempt).unwrap_or(Uuid::nil());
        let incident = Incident {
            engine: engine.clone(),
            incarnation,
        };
        Some(CrashReport {
            ran: self.requests_on(&incident),
            incident,
            evidence,
        })
    }

    /// The requests of this instance that run, or ran until the crash, on that incarnation of an engine.
    pub fn requests_on(&self, incident: &Incident) -> BTreeSet<Fingerprint> {
        let there = self.running.values().filter(|r| {
            r.engine == incident.engine && r.incarnation.is_none_or(|i| i == incident.incarnation)
        });
        there.map(|r| r.fingerprint).collect()
    }

    /// How many attempts of this instance run on an engine.
    pub fn running_on(&self, engine: &Name) -> usize {
        self.running.values().filter(|r| r.engine == *engine).count()
    }

    /// Engines on which suspects run alone. They get no other work: an innocent suspect beside which a fresh
    /// poisonous request runs would come under double suspicion.
    pub fn held_engines(&self, now: Time) -> Vec<Name> {
        let held = self.holds.iter().filter(|(_, h)| h.until > now);
        held.map(|(engine, _)| engine.clone()).collect()
    }

    /// Attempts that must move elsewhere, because a suspect is about to run alone on the engine.
    pub fn attempts_to_move(&self, engine: &Name) -> Vec<Uuid> {
        let others = self
            .running
            .iter()
            .filter(|(_, r)| r.engine == *engine && !r.exclusive);
        others.map(|(attempt, _)| *attempt).collect()
    }

    /// Takes note of a crash, seen here or by a peer; returns attempts of suspects that must stop, to go on with
    /// a hold.
    pub fn on_crash_report(&mut self, now: Time, note: &CrashReport) -> Vec<Uuid> {
        self.expire(now);
        let crash = self.crashes.entry(note.incident.clone()).or_insert(Crash {
            evidence: note.evidence,
            ran: BTreeSet::new(),
            explained: false,
            at: now,
        });
        crash.evidence = crash.evidence.max(note.evidence);
        crash.ran.extend(note.ran.iter().copied());
        evict_oldest(&mut self.crashes, |c| c.at);
        self.attempts_to_stop(&note.ran)
    }

    /// Convicts whom the records convict by now, to be told to peers and written to the configuration.
    pub fn confirm_suspects(&mut self, now: Time) -> Vec<Fingerprint> {
        let suspects = self.suspects();
        let guilty: Vec<Fingerprint> = suspects
            .into_iter()
            .filter(|fingerprint| self.is_confirmed(now, *fingerprint))
            .collect();
        for fingerprint in &guilty {
            self.confirm(now, *fingerprint);
        }
        guilty
    }

    /// Takes a conviction; returns the attempts to stop.
    pub fn confirm(&mut self, now: Time, fingerprint: Fingerprint) -> Vec<Uuid> {
        self.confirmed.insert(fingerprint, now);
        evict_oldest(&mut self.confirmed, |at| *at);
        self.explain(fingerprint);
        let of_it = self.running.iter().filter(|(_, r)| r.fingerprint == fingerprint);
        of_it.map(|(attempt, _)| *attempt).collect()
    }

    /// A suspect ran with a hold to its end: it is innocent.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        for crash in self.crashes.values_mut() {
            crash.ran.remove(&fingerprint);
        }
        self.crashes.retain(|_, c| !c.ran.is_empty());
    }

    /// The quarantine in the configuration changed. What stands there is decided there alone from now on, so
    /// that an operator's pardon holds.
    pub fn on_quarantine(&mut self, quarantine: &BTreeSet<String>) {
        self.confirmed
            .retain(|fingerprint, _| !quarantine.contains(&fingerprint.to_string()));
    }

    /// Reserves an engine for a suspect, before the peers are asked. `false` if it or the suspect is taken.
    pub fn reserve(&mut self, now: Time, ask: &HoldRequest) -> bool {
        self.expire(now);
        if self.conflicts(ask).next().is_some() {
            return false;
        }
        self.insert_hold(now, ask, false);
        true
    }

    /// A peer asks. `true` if nothing speaks against it.
    pub fn on_hold_request(&mut self, now: Time, ask: &HoldRequest) -> bool {
        self.expire(now);
        if self.confirmed.contains_key(&ask.fingerprint) {
            return false;
        }
        let theirs = (ask.fingerprint, &ask.from);
        let refused = self
            .conflicts(ask)
            .any(|(_, h)| h.granted || (h.fingerprint, &h.owner) < theirs);
        if refused {
            return false;
        }
        // The peer goes first: a reservation of ours that it conflicts with is lost.
        let lost: Vec<Name> = self.conflicts(ask).map(|(engine, _)| engine.clone()).collect();
        for engine in lost {
            self.holds.remove(&engine);
        }
        self.insert_hold(now, ask, true);
        true
    }

    /// All peers agreed. `false` if the reservation was lost to a peer meanwhile.
    pub fn grant(&mut self, ask: &HoldRequest) -> bool {
        match self.holds.get_mut(&ask.engine) {
            Some(hold) if hold.owner == ask.from && hold.fingerprint == ask.fingerprint => {
                hold.granted = true;
                true
            }
            _ => false,
        }
    }

    /// A hold ended, or was not granted by all.
    pub fn release(&mut self, ask: &HoldRequest) {
        let ours = |h: &Hold| h.owner == ask.from && h.fingerprint == ask.fingerprint;
        if self.holds.get(&ask.engine).is_some_and(ours) {
            self.holds.remove(&ask.engine);
        }
    }

    /// Crashes, convicts and holds recorded.
    pub fn record_count(&self) -> usize {
        self.crashes.len() + self.confirmed.len() + self.holds.len()
    }

    /// Requests under suspicion.
    pub fn suspects(&self) -> BTreeSet<Fingerprint> {
        self.crashes
            .values()
            .flat_map(|c| c.ran.iter().copied())
            .collect()
    }

    fn crashes_of(&self, now: Time, fingerprint: Fingerprint) -> impl Iterator<Item = &Crash> {
        self.crashes
            .values()
            .filter(move |c| c.ran.contains(&fingerprint) && c.is_recent(now))
    }

    /// Whether a request is in two sure crashes, and everybody else of the last one was cleared.
    fn is_confirmed(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let sure: Vec<&Crash> = self
            .crashes_of(now, fingerprint)
            .filter(|c| c.evidence == Evidence::Crashed)
            .collect();
        let last = sure.iter().max_by_key(|c| c.at);
        sure.len() >= CRASH_THRESHOLD && last.is_some_and(|c| c.ran.len() == 1 && !c.explained)
    }

    fn attempts_to_stop(&self, suspects: &BTreeSet<Fingerprint>) -> Vec<Uuid> {
        let spread = |r: &RunningAttempt| suspects.contains(&r.fingerprint) && !r.exclusive;
        let running = self.running.iter().filter(|(_, r)| spread(r));
        running.map(|(attempt, _)| *attempt).collect()
    }

    /// A convict is the likely cause of the crashes that it is in. Others of them may run again.
    fn explain(&mut self, fingerprint: Fingerprint) {
        for crash in self.crashes.values_mut() {
            crash.explained |= crash.ran.remove(&fingerprint);
        }
        self.crashes.retain(|_, c| !c.ran.is_empty());
    }

    fn conflicts(&self, ask: &HoldRequest) -> impl Iterator<Item = (&Name, &Hold)> {
        self.holds.iter().filter(|(engine, h)| {
            let same = h.owner == ask.from && h.fingerprint == ask.fingerprint && **engine == ask.engine;
            !same && (**engine == ask.engine || h.fingerprint == ask.fingerprint)
        })
    }

    fn insert_hold(&mut self, now: Time, ask: &HoldRequest, granted: bool) {
        let hold = Hold {
            fingerprint: ask.fingerprint,
            owner: ask.from.clone(),
            granted,
            until: now + Duration::from_millis(ask.millis),
        };
        self.holds.insert(ask.engine.clone(), hold);
    }

    fn expire(&mut self, now: Time) {
        self.crashes.retain(|_, c| c.is_recent(now));
        self.holds.retain(|_, h| h.until > now);
    }
}

/// Removes the oldest records beyond [`MAX_RECORDS`].
fn evict_oldest<K, V, F>(records: &mut BTreeMap<K, V>, at: F)
where
    K: Ord + Clone,
    F: Fn(&V) -> Time,
{
    while records.len() > MAX_RECORDS {
        let oldest = records.iter().min_by_key(|(_, v)| at(v)).map(|(k, _)| k.clone());
        if let Some(key) = oldest {
            records.remove(&key);
        }
    }
}
