//! Detects parts of prompts that crash engines, whatever else the prompts contain.
//!
//! Guards against requests that crash one engine after the other although no two of them are alike. All parts of the
//! prompts that ran on an engine when it ended are in its crash, most of them harmless. A part is cleared as soon as any
//! engine begins to answer a prompt with it; the prefill alone clears nothing, because engines end when they begin to
//! write. Parts at different positions are compared: a crash that a blocked part explains does not count against those
//! before it, which harmless prompts share. Of two parts that are always seen together, the later one is blocked: it
//! affects fewer requests. If the engines go on ending without it, the earlier one is blocked as well.
//!
//! A part may be blocked in error. After [`TRIAL_INTERVAL`], one request with it is let through, and the other instances
//! are told. If an engine begins to answer it, the part is cleared everywhere; if the engine ends, the part is blocked
//! for [`TRIAL_FACTOR`] times as long.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::poison::suspects::MAX_CRASHES;
use crate::poison::suspects::MIN_CRASHES;
use crate::poison::suspects::Outcome;
use crate::poison::suspects::RequestIdentity;
use crate::poison::suspects::RequestKey;
use crate::poison::suspects::Suspects;
use crate::relay::hash::hash_pair;
use crate::time::Time;

/// How long a crash counts against a part: longer than the pauses between trials.
pub const NOTE_TTL: Duration = Duration::from_secs(1_800);

/// How long after the last crash or trial a blocked part is tried again, by the first instance that does.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(60);

/// Factor by which that time grows with each further crash.
pub const TRIAL_FACTOR: u32 = 4;

/// An engine that began to answer a prompt with a part this long before another one ended shows that the part did not
/// crash that one.
const BEGUN_WINDOW: Duration = Duration::from_secs(2);

/// Number of crashes that no blocked part explains after which an earlier part of the same prompts is blocked as well.
const MIN_UNEXPLAINED: usize = 2;

/// How long the result of a comparison of all parts is used, unless a crash or a begun answer is added: notes expire
/// meanwhile.
const CONVICTED_TTL: Duration = Duration::from_secs(1);

/// Number of parts that are remembered as begun before those begun longer ago than [`BEGUN_WINDOW`] are removed.
const MAX_BEGUN: usize = 512;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartKey {
    /// Position in the prompt: 0 for the first part.
    pub depth: u8,
    /// Identifies the text of the part.
    pub id: u64,
}

/// A part, and the crashes that count against it.
type PartCrashes = (PartKey, BTreeSet<u64>);

/// The parts that crash engines, as of a time.
///
/// Guards against comparing all parts for each request, which takes a millisecond after some dozen crashes.
#[derive(Debug, Clone)]
pub(super) struct ConvictedParts {
    at: Time,
    parts: BTreeSet<PartKey>,
}

impl PartKey {
    /// The parts with these ids, in the order of the prompt.
    pub(super) fn in_order<I>(ids: I) -> Arc<[PartKey]>
    where
        I: IntoIterator<Item = u64>,
    {
        let depths = (0..=u8::MAX).zip(ids);
        depths.map(|(depth, id)| PartKey { depth, id }).collect()
    }

    fn key(self) -> RequestKey {
        RequestKey::Part(self)
    }
}

impl Suspects {
    /// Records that an engine began to answer a prompt with these parts, which therefore don't crash engines.
    pub fn on_begun(&mut self, now: Time, request: &RequestIdentity) {
        for part in request.parts.iter() {
            self.begun.insert(*part, now);
            if self.crashes_of(now, part.key()).next().is_some() {
                self.record(now, Duration::ZERO, part.key(), Outcome::Completed);
            }
        }
        if self.begun.len() > MAX_BEGUN {
            self.begun.retain(|_, at| now.since(*at) < BEGUN_WINDOW);
        }
    }

    pub(super) fn on_crash_of_parts(&mut self, now: Time, request: &RequestIdentity, engine: u64) {
        for part in request.parts.iter() {
            if !self.is_begun(now, *part) {
                self.record(now, Duration::ZERO, part.key(), Outcome::Crashed(engine));
            }
        }
    }

    fn is_begun(&self, now: Time, part: PartKey) -> bool {
        let begun = self.begun.get(&part);
        begun.is_some_and(|at| now.since(*at) < BEGUN_WINDOW)
    }

    /// Whether a part of the prompt may be blocked once the checks that are running have ended.
    pub(super) fn has_pending_part(&self, now: Time, request: &RequestIdentity) -> bool {
        request.parts.iter().any(|part| {
            let checks = self.checks_of(part.key());
            let crashes = || self.crashes_of(now, part.key()).count();
            checks > 0 && !self.is_begun(now, *part) && crashes() + checks >= MIN_CRASHES
        })
    }

    /// Whether the request may be sent to an engine that is to answer it. If a part of its prompt is blocked and due for a
    /// trial, this request is the trial.
    pub fn begin_run(&mut self, now: Time, request: &RequestIdentity) -> bool {
        let is_suspect = |part: &&PartKey| self.is_convicted(now, **part);
        let suspects: Vec<PartKey> = request.parts.iter().filter(is_suspect).copied().collect();
        if !suspects.iter().all(|part| self.is_trial_due(now, *part)) {
            return false;
        }
        for part in suspects {
            self.record(now, Duration::ZERO, part.key(), Outcome::Tried);
        }
        true
    }

    /// Whether a part of the prompt is blocked, and not due for a trial.
    pub(super) fn has_blocked_part(&self, now: Time, request: &RequestIdentity) -> bool {
        let mut parts = request.parts.iter();
        parts.any(|part| self.is_convicted(now, *part) && !self.is_trial_due(now, *part))
    }

    /// The parts that are blocked, including those that are due for a trial.
    pub(super) fn blocked_parts(&self, now: Time) -> impl Iterator<Item = PartKey> {
        self.parts().filter(move |part| self.is_convicted(now, *part))
    }

    fn parts(&self) -> impl Iterator<Item = PartKey> {
        let first = PartKey { depth: 0, id: 0 };
        let parts = self.requests.range(first.key()..);
        parts.filter_map(|(key, _)| match key {
            RequestKey::Part(part) => Some(*part),
            RequestKey::Any(_) | RequestKey::Caller(_) => None,
        })
    }

    fn is_convicted(&self, now: Time, part: PartKey) -> bool {
        if !self.requests.contains_key(&part.key()) {
            return false;
        }
        let mut cache = self.convicted.borrow_mut();
        let is_current = |known: &ConvictedParts| now.since(known.at) < CONVICTED_TTL;
        if !cache.as_ref().is_some_and(is_current) {
            *cache = Some(self.find_convicted(now));
        }
        cache.as_ref().is_some_and(|known| known.parts.contains(&part))
    }

    /// Compares all parts that are known from crashes. Later parts are decided first, since they may explain the crashes
    /// of earlier ones.
    fn find_convicted(&self, now: Time) -> ConvictedParts {
        let crashes = |part: PartKey| -> BTreeSet<u64> { self.crashes_of(now, part.key()).collect() };
        let known: Vec<PartCrashes> = self.parts().map(|part| (part, crashes(part))).collect();
        let mut suspects: Vec<&PartCrashes> = known
            .iter()
            .filter(|(_, crashes)| crashes.len() >= MIN_CRASHES)
            .collect();
        suspects.sort_by_key(|(part, _)| Reverse(part.depth));
        let mut parts = BTreeSet::new();
        for suspect in suspects {
            if is_guilty(suspect, &known, &parts) {
                parts.insert(suspect.0);
            }
        }
        ConvictedParts { at: now, parts }
    }

    /// Whether a blocked part may be tried. Instances wait for different times, so that the first one to try tells the
    /// others before they do.
    fn is_trial_due(&self, now: Time, part: PartKey) -> bool {
        let Some(record) = self.requests.get(&part.key()) else {
            return true;
        };
        let last = record.values().map(|seen| seen.age(now)).min();
        let crashes = self.crashes_of(now, part.key()).count();
        let exponent = u32::try_from(crashes.saturating_sub(MIN_CRASHES)).unwrap_or(u32::MAX);
        let factor = TRIAL_FACTOR.saturating_pow(exponent.min(8));
        let spread = hash_pair(self.seed, part.id) as f64 / u64::MAX as f64;
        let pause = TRIAL_INTERVAL.saturating_mul(factor).mul_f64(1.0 + spread);
        last.is_none_or(|age| age >= pause)
    }
}

/// Whether a part crashes engines, by comparison with all parts that are `known` from crashes; `convicted` has those of
/// the later ones that do.
fn is_guilty(suspect: &PartCrashes, known: &[PartCrashes], convicted: &BTreeSet<PartKey>) -> bool {
    let (part, crashes) = suspect;
    let mut unexplained = crashes.clone();
    for (other, others) in known {
        if other == part || crashes.is_disjoint(others) {
            continue;
        }
        let explains = match (other.depth.cmp(&part.depth), others.len().cmp(&crashes.len())) {
            (Ordering::Less, _) | (Ordering::Equal, Ordering::Less) => false,
            (Ordering::Greater, _) => convicted.contains(other),
            (Ordering::Equal, Ordering::Greater) => true,
            // They can't be told apart yet.
            (Ordering::Equal, Ordering::Equal) if crashes.len() < MAX_CRASHES && others == crashes => {
                return false;
            }
            (Ordering::Equal, Ordering::Equal) => false,
        };
        if explains {
            unexplained.retain(|crash| !others.contains(crash));
        }
    }
    let min = match unexplained.len() == crashes.len() {
        true => MIN_CRASHES,
        false => MIN_UNEXPLAINED,
    };
    unexplained.len() >= min
}
