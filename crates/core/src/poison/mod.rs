//! Detects and isolates poison requests: requests that crash the engines that run them.
//!
//! Failure guarded against: a request crashes the engine that runs it, the daemon resumes it on the next engine and
//! its caller sends it again, until no engine is left. After each crash, all requests that ran on that engine are
//! suspects. A suspect may only run again with an exclusive hold on an engine: the engine's other streams are moved
//! elsewhere and it gets no new work meanwhile. A request that was running in a second crash isn't run any more, so
//! that no request takes down more than two engines.
//!
//! Two crashes alone don't confirm a request as poison: another poison request may have been about to end on the
//! engine when it crashed. It is confirmed when all other requests of its last crash have run to completion, or at
//! once if there were none. If one of the others is confirmed as the cause instead, the crash is explained: the
//! remaining requests may run again, still exclusively, since two poison requests may have been running there.
//!
//! Only evidence of a crash confirms a request: the engine refuses connections, or runs as a new incarnation. An
//! engine that is merely silent may be unreachable from this instance only; this raises suspicion for a shorter time
//! and never confirms a request.
//!
//! Requests that are forwarded unchanged are watched by [`suspects`], which takes no holds.
//!
//! To run, a suspect needs a hold on both an engine and its own fingerprint. An instance takes a hold only if all
//! peers that answer agree; if two instances ask at the same time, the lower fingerprint goes first.

mod fingerprint;
pub mod suspects;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::invariant;
use crate::name::Name;
pub use crate::poison::fingerprint::Fingerprint;
use crate::time::Time;

/// How long a crash with [`Evidence::Crashed`] raises suspicion.
pub const CRASH_RETENTION: Duration = Duration::from_secs(6 * 3600);

/// How long an engine that went silent raises suspicion. It is short because a harmless request may be withheld
/// for as long.
pub const SILENCE_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of recorded crashes, and of confirmed requests that are not in the configuration's quarantine yet.
/// The oldest are evicted first.
pub const MAX_RECORDS: usize = 4096;

/// Number of crashes after which a request isn't run any more.
const CRASH_THRESHOLD: usize = 2;

/// One crash of one engine, that is, the end of one of its incarnations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incident {
    /// The engine.
    pub engine: Name,
    /// The incarnation that ended; the nil UUID if it was not known.
    pub incarnation: Uuid,
}

/// How certain it is that an engine crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Evidence {
    /// The engine doesn't answer; it may only be unreachable.
    Silent,
    /// The engine refuses connections, or runs as another incarnation.
    Crashed,
}

/// An instance's report of a crash to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The crash.
    pub incident: Incident,
    /// How certain it is.
    pub evidence: Evidence,
    /// The requests of the reporting instance that ran on the engine.
    pub ran: BTreeSet<Fingerprint>,
}

/// A request for an exclusive hold, to run a suspect alone on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRequest {
    /// The suspect.
    pub fingerprint: Fingerprint,
    /// The engine.
    pub engine: Name,
    /// The instance that asks.
    pub from: Name,
    /// Maximum time for which the suspect runs, in milliseconds.
    pub millis: u64,
}

/// Whether a request is known or suspected to crash engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// It is in no recent crash.
    Unsuspected,
    /// It ran on an engine that crashed: it may only run with a hold.
    Suspect,
    /// It ran on two engines that crashed: it may not run until the other requests of these crashes are confirmed as
    /// poison or cleared.
    Pending,
    /// It is confirmed to crash engines: it may not run.
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
    /// Whether a request that ran there was confirmed as poison.
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

/// One instance's records of crashes, suspects, confirmed poison requests and holds.
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
    /// Creates empty records for the instance `own_name`.
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

    /// What the records say about a request.
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

    /// Records that an attempt is sent to an engine. Returns `false` if it may not be sent: its request is confirmed as
    /// poison, is a suspect without a hold, or the engine is held for a suspect.
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
        if invariant::check(
            allowed,
            "no suspect runs without a hold, no poison request at all",
        )
        .is_err()
        {
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

    /// Records which incarnation of the engine accepted the attempt.
    pub fn record_incarnation(&mut self, attempt: Uuid, incarnation: Uuid) {
        if let Some(running) = self.running.get_mut(&attempt) {
            running.incarnation = Some(incarnation);
            self.incarnations.insert(running.engine.clone(), incarnation);
        }
    }

    /// Records that an attempt has ended. Called after its end was evaluated, because [`CrashRecords::crash_report`]
    /// needs the attempt to be recorded as running.
    pub fn end(&mut self, attempt: Uuid) {
        self.running.remove(&attempt);
    }

    /// The incarnation of the engine that an attempt runs on, if known.
    pub fn incarnation(&self, attempt: Uuid) -> Option<Uuid> {
        let running = self.running.get(&attempt)?;
        running
            .incarnation
            .or_else(|| self.incarnations.get(&running.engine).copied())
    }

    /// Builds the report to the peers on the crash of the engine that ran `attempt`, which must still be recorded as
    /// running.
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

    /// This instance's requests that run, or ran until the crash, on the incarnation of the engine in `incident`.
    pub fn requests_on(&self, incident: &Incident) -> BTreeSet<Fingerprint> {
        let there = self.running.values().filter(|r| {
            r.engine == incident.engine && r.incarnation.is_none_or(|i| i == incident.incarnation)
        });
        there.map(|r| r.fingerprint).collect()
    }

    /// Number of attempts of this instance that run on an engine.
    pub fn running_on(&self, engine: &Name) -> usize {
        self.running.values().filter(|r| r.engine == *engine).count()
    }

    /// Engines held for suspects. They get no other work: if a new poison request ran beside a harmless suspect, the
    /// suspect would be in a second crash.
    pub fn held_engines(&self, now: Time) -> Vec<Name> {
        let held = self.holds.iter().filter(|(_, h)| h.until > now);
        held.map(|(engine, _)| engine.clone()).collect()
    }

    /// Attempts that must move to other engines, because a suspect is about to run alone on this one.
    pub fn attempts_to_move(&self, engine: &Name) -> Vec<Uuid> {
        let others = self
            .running
            .iter()
            .filter(|(_, r)| r.engine == *engine && !r.exclusive);
        others.map(|(attempt, _)| *attempt).collect()
    }

    /// Records a crash seen by this instance or by a peer. Returns the attempts of suspects that must stop and may
    /// only continue with a hold.
    pub fn on_crash_report(&mut self, now: Time, report: &CrashReport) -> Vec<Uuid> {
        self.expire(now);
        let crash = self.crashes.entry(report.incident.clone()).or_insert(Crash {
            evidence: report.evidence,
            ran: BTreeSet::new(),
            explained: false,
            at: now,
        });
        crash.evidence = crash.evidence.max(report.evidence);
        crash.ran.extend(report.ran.iter().copied());
        evict_oldest(&mut self.crashes, |c| c.at);
        self.attempts_to_stop(&report.ran)
    }

    /// Confirms the suspects against which there is now enough evidence, and returns them. The caller tells the peers
    /// and writes them to the configuration.
    pub fn confirm_suspects(&mut self, now: Time) -> Vec<Fingerprint> {
        let suspects = self.suspects();
        let confirmed: Vec<Fingerprint> = suspects
            .into_iter()
            .filter(|fingerprint| self.is_confirmed(now, *fingerprint))
            .collect();
        for fingerprint in &confirmed {
            self.confirm(now, *fingerprint);
        }
        confirmed
    }

    /// Records a request as confirmed poison; returns its attempts, which must stop.
    pub fn confirm(&mut self, now: Time, fingerprint: Fingerprint) -> Vec<Uuid> {
        self.confirmed.insert(fingerprint, now);
        evict_oldest(&mut self.confirmed, |at| *at);
        self.explain(fingerprint);
        let of_it = self.running.iter().filter(|(_, r)| r.fingerprint == fingerprint);
        of_it.map(|(attempt, _)| *attempt).collect()
    }

    /// Clears a suspect that ran to completion with a hold.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        for crash in self.crashes.values_mut() {
            crash.ran.remove(&fingerprint);
        }
        self.crashes.retain(|_, c| !c.ran.is_empty());
    }

    /// Applies a change of the configuration's quarantine. Requests listed there are forgotten here, so that only the
    /// configuration decides on them and an operator can release them for good.
    pub fn on_quarantine(&mut self, quarantine: &BTreeSet<String>) {
        self.confirmed
            .retain(|fingerprint, _| !quarantine.contains(&fingerprint.to_string()));
    }

    /// Reserves an engine for a suspect before the peers are asked. Returns `false` if there is a hold on the engine or
    /// on the suspect already.
    pub fn reserve(&mut self, now: Time, request: &HoldRequest) -> bool {
        self.expire(now);
        if self.conflicts(request).next().is_some() {
            return false;
        }
        self.insert_hold(now, request, false);
        true
    }

    /// Handles a peer's request for a hold. Returns `true` if this instance agrees.
    pub fn on_hold_request(&mut self, now: Time, request: &HoldRequest) -> bool {
        self.expire(now);
        if self.confirmed.contains_key(&request.fingerprint) {
            return false;
        }
        let theirs = (request.fingerprint, &request.from);
        let refused = self
            .conflicts(request)
            .any(|(_, h)| h.granted || (h.fingerprint, &h.owner) < theirs);
        if refused {
            return false;
        }
        // The peer goes first: conflicting reservations of this instance are dropped.
        let lost: Vec<Name> = self
            .conflicts(request)
            .map(|(engine, _)| engine.clone())
            .collect();
        for engine in lost {
            self.holds.remove(&engine);
        }
        self.insert_hold(now, request, true);
        true
    }

    /// Grants a reservation after all peers agreed. Returns `false` if it was lost to a peer meanwhile.
    pub fn grant(&mut self, request: &HoldRequest) -> bool {
        match self.holds.get_mut(&request.engine) {
            Some(hold) if hold.owner == request.from && hold.fingerprint == request.fingerprint => {
                hold.granted = true;
                true
            }
            _ => false,
        }
    }

    /// Releases a hold that ended or that not all peers agreed to.
    pub fn release(&mut self, request: &HoldRequest) {
        let ours = |h: &Hold| h.owner == request.from && h.fingerprint == request.fingerprint;
        if self.holds.get(&request.engine).is_some_and(ours) {
            self.holds.remove(&request.engine);
        }
    }

    /// Number of recorded crashes, confirmed requests and holds.
    pub fn record_count(&self) -> usize {
        self.crashes.len() + self.confirmed.len() + self.holds.len()
    }

    /// Requests that ran in a recorded crash and were not cleared since.
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

    /// Whether a request was in at least two crashes with [`Evidence::Crashed`], and all other requests of the last one
    /// were cleared.
    fn is_confirmed(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let sure: Vec<&Crash> = self
            .crashes_of(now, fingerprint)
            .filter(|c| c.evidence == Evidence::Crashed)
            .collect();
        let last = sure.iter().max_by_key(|c| c.at);
        sure.len() >= CRASH_THRESHOLD && last.is_some_and(|c| c.ran.len() == 1 && !c.explained)
    }

    fn attempts_to_stop(&self, suspects: &BTreeSet<Fingerprint>) -> Vec<Uuid> {
        let must_stop = |r: &RunningAttempt| suspects.contains(&r.fingerprint) && !r.exclusive;
        let running = self.running.iter().filter(|(_, r)| must_stop(r));
        running.map(|(attempt, _)| *attempt).collect()
    }

    /// Marks the crashes of a confirmed request as explained: it is their likely cause, so the other requests may run
    /// again.
    fn explain(&mut self, fingerprint: Fingerprint) {
        for crash in self.crashes.values_mut() {
            crash.explained |= crash.ran.remove(&fingerprint);
        }
        self.crashes.retain(|_, c| !c.ran.is_empty());
    }

    fn conflicts(&self, request: &HoldRequest) -> impl Iterator<Item = (&Name, &Hold)> {
        self.holds.iter().filter(|(engine, h)| {
            let same =
                h.owner == request.from && h.fingerprint == request.fingerprint && **engine == request.engine;
            !same && (**engine == request.engine || h.fingerprint == request.fingerprint)
        })
    }

    fn insert_hold(&mut self, now: Time, request: &HoldRequest, granted: bool) {
        let hold = Hold {
            fingerprint: request.fingerprint,
            owner: request.from.clone(),
            granted,
            until: now + Duration::from_millis(request.millis),
        };
        self.holds.insert(request.engine.clone(), hold);
    }

    fn expire(&mut self, now: Time) {
        self.crashes.retain(|_, c| c.is_recent(now));
        self.holds.retain(|_, h| h.until > now);
    }
}

/// Evicts the oldest records beyond [`MAX_RECORDS`].
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
