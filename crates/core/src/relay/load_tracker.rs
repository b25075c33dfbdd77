//! What an instance knows of the load and health of each engine.
//!
//! Two sources: the work that this instance has there, to the moment, and what its peers last said of theirs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::attempt::End;
use crate::relay::cached_parts::CachedParts;
use crate::relay::cached_parts::PrefillRecord;
use crate::relay::engine_map::EngineMap;
use crate::relay::engines::EngineKey;
use crate::relay::peer_work::PeerWork;
use crate::relay::placement::PrefillPlan;
use crate::relay::prefill_time::PrefillModel;
use crate::time::Time;

/// How long an engine gets no new work after its first fault, if another can take it; doubles with each.
const BASE_BACKOFF: Duration = Duration::from_millis(500);

/// How long an engine that declined gets no new work, if another can take it: a slot is free again after about that.
const DECLINE_BACKOFF: Duration = Duration::from_millis(250);

/// Doublings of [`AVOID`]: 8 s at most, the time a crashed engine takes to come back.
const MAX_DOUBLINGS: u32 = 4;

/// Part of a new observation in the mean rate of failures.
const FAILURE_GAIN: f64 = 0.1;

/// A mean rate of failures below this is none: it sets no engine back, and costs time to work out.
const MIN_FAILURE_RATE: f64 = 0.001;

/// Time in which that mean loses half of its weight while nothing is seen.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Part of a new observation in an engine's slowness: a slow engine shows after about ten prompts.
const SLOWNESS_GAIN: f64 = 0.1;

/// Slowness outside is taken for a fault of the measurement: a call that waited in the network, parts that were kept.
const SLOWNESS_RANGE: std::ops::RangeInclusive<f64> = 0.25..=8.0;

/// A slowness that is none: readings scatter by so much, and a request that leaves its home for it has its shared parts
/// read again.
const NORMAL_SLOWNESS: std::ops::RangeInclusive<f64> = 0.67..=1.5;

/// Time in which what was seen of an engine's slowness loses half of its weight: slow ones are avoided, and nothing else
/// would tell that they are well again.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

/// Part of a new observation in the mean time that requests stay at an engine.
const RESIDENCE_GAIN: f64 = 0.05;

/// Time from a prompt's being read to the first event, until it was seen: transfer, a step and two calls.
const DEFAULT_HANDOVER: Duration = Duration::from_millis(15);

/// Time in which what was seen of it loses half of its weight.
const HANDOVER_HALF_LIFE: Duration = Duration::from_millis(500);

/// Part of a new observation in the mean of that time.
const HANDOVER_GAIN: f64 = 0.1;

/// Work at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Work {
    /// Requests.
    pub requests: u32,
    /// Time that the reading of prompts which are not read yet takes.
    pub prefill: Duration,
}

impl Work {
    /// Both together.
    pub fn plus(self, other: Work) -> Work {
        Work {
            requests: self.requests + other.requests,
            prefill: self.prefill + other.prefill,
        }
    }

    /// This without the other, never below nothing.
    pub fn minus(self, other: Work) -> Work {
        Work {
            requests: self.requests.saturating_sub(other.requests),
            prefill: self.prefill.saturating_sub(other.prefill),
        }
    }
}

/// One piece of work that this instance has at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(u64);

#[derive(Debug, Clone, Copy)]
struct Job {
    engine: EngineKey,
    prefill: Duration,
    started_at: Time,
}

#[derive(Debug, Clone, Default)]
struct EngineState {
    own: Work,
    consecutive_faults: u32,
    avoid_until: Option<Time>,
    /// Mean rate of failed attempts, and when it was last seen.
    failure_rate: (Time, f64),
    /// Mean time that readings took against what was expected, and when it was last seen.
    slowness: Option<(Time, f64)>,
    /// Mean time from a prompt's being read to the first event here, and when it was last seen.
    handover: Option<(Time, Duration)>,
    /// Mean time for which a request stays at the engine, in seconds.
    mean_residence: Option<f64>,
}

impl EngineState {
    /// Failure guarded against: an engine fails for a while, gets nothing any more, and is left out for ever, since
    /// nothing is seen that could clear it.
    fn failure_rate(&self, now: Time) -> f64 {
        let (at, mean) = self.failure_rate;
        if mean < MIN_FAILURE_RATE {
            return 0.0;
        }
        mean * decay(now.since(at), FAILURE_HALF_LIFE)
    }
}

/// What is left of an observation's weight after `passed`, if half goes in each `half`.
fn decay(passed: Duration, half: Duration) -> f64 {
    0.5_f64.powf(passed.as_secs_f64() / half.as_secs_f64())
}

/// The load and health of all engines, as this instance sees them.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    engines: EngineMap<EngineState>,
    jobs: BTreeMap<JobId, Job>,
    peer_work: PeerWork,
    next_job: u64,
    /// What reading takes the engines of each service.
    prefill_models: BTreeMap<String, PrefillModel>,
    /// Which engine keeps which shared parts of prompts.
    pub cached_parts: CachedParts,
}

impl LoadTracker {
    /// Nothing known.
    pub fn new() -> LoadTracker {
        LoadTracker::default()
    }

    /// Notes work that is sent to an engine.
    pub fn begin(&mut self, now: Time, engine: EngineKey, reading: Duration) -> JobId {
        let ticket = JobId(self.next_job);
        self.next_job += 1;
        let load = self.engines.get_or_default(engine);
        load.own = load.own.plus(Work {
            requests: 1,
            prefill: reading,
        });
        let since = now;
        self.jobs.insert(
            ticket,
            Job {
                engine,
                prefill: reading,
                started_at: since,
            },
        );
        ticket
    }

    /// Notes that the prompt of a piece of work is read.
    pub fn finish_prefill(&mut self, ticket: JobId) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        let reading = std::mem::take(&mut job.prefill);
        let load = self.engines.get_or_default(job.engine);
        load.own.prefill = load.own.prefill.saturating_sub(reading);
    }

    /// Notes that a piece of work is over; a second call changes nothing.
    pub fn finish(&mut self, now: Time, ticket: JobId) {
        self.finish_prefill(ticket);
        let Some(job) = self.jobs.remove(&ticket) else {
            return;
        };
        let load = self.engines.get_or_default(job.engine);
        load.own.requests = load.own.requests.saturating_sub(1);
        let stay = now.since(job.started_at).as_secs_f64();
        let mean = load.mean_residence.unwrap_or(stay);
        load.mean_residence = Some(mean + RESIDENCE_GAIN * (stay - mean));
    }

    /// Notes what the end of an attempt says of the engine.
    pub fn on_attempt_end(&mut self, now: Time, engine: EngineKey, end: End) {
        let load = self.engines.get_or_default(engine);
        let failed = f64::from(u8::from(end.is_fault()));
        let mean = load.failure_rate(now);
        load.failure_rate = (now, mean + FAILURE_GAIN * (failed - mean));
        match end {
            End::Answered => {
                load.consecutive_faults = 0;
                load.avoid_until = None;
            }
            End::Failed => {}
            // Failure guarded against: an engine that declines all has no work, so it looks like the best choice.
            End::Declined => load.avoid_until = Some(now + DECLINE_BACKOFF),
            End::Unsent | End::Misdirected | End::Broken | End::Silent => {
                let pause = BASE_BACKOFF * (1 << load.consecutive_faults.min(MAX_DOUBLINGS));
                load.consecutive_faults += 1;
                load.avoid_until = Some(now + pause);
            }
        }
    }

    /// What reading takes the engines of a service.
    pub fn prefill_model(&self, service: &str) -> PrefillModel {
        self.prefill_models.get(service).cloned().unwrap_or_default()
    }

    /// Notes that an engine read a prompt in `took`.
    pub fn on_prefill(&mut self, now: Time, reading: &PrefillPlan, took: Duration) {
        let entry = &reading.engine.entry;
        if reading.queue_time.is_zero() {
            let pace = self.prefill_models.entry(entry.service.clone()).or_default();
            pace.on_uncontended(reading.work, took);
        }
        let key = reading.engine.key;
        let mean = self.mean_slowness(now, key);
        let plain = reading.total_time.as_secs_f64() / self.slowness(now, key);
        if plain <= 0.0 {
            return;
        }
        let seen = (took.as_secs_f64() / plain).clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end());
        self.engines.get_or_default(key).slowness = Some((now, mean + SLOWNESS_GAIN * (seen - mean)));
    }

    /// Notes that an engine is sent a prompt to read: whoever asks for the same parts behind it finds them there.
    pub fn on_prefill_sent(&mut self, now: Time, reading: &PrefillPlan, part: u64) {
        let read = PrefillRecord {
            engine: reading.engine.hash,
            part,
            tokens: reading.new_tokens,
        };
        self.cached_parts.on_own_prefill(now, reading.engine.key, read);
    }

    /// Time that readings take at an engine against what they take the engines of its service; 1 if nothing is known.
    pub fn slowness(&self, now: Time, engine: EngineKey) -> f64 {
        let seen = self.engines.get(engine).and_then(|load| load.slowness);
        // What is ordinary when it was seen is ordinary when it has faded; working that out for each engine takes longer
        // than all else of a choice.
        if seen.is_none_or(|(_, mean)| NORMAL_SLOWNESS.contains(&mean)) {
            return 1.0;
        }
        let mean = self.mean_slowness(now, engine);
        match NORMAL_SLOWNESS.contains(&mean) {
            true => 1.0,
            false => mean,
        }
    }

    fn mean_slowness(&self, now: Time, engine: EngineKey) -> f64 {
        let seen = self.engines.get(engine).and_then(|load| load.slowness);
        let Some((at, mean)) = seen else {
            return 1.0;
        };
        1.0 + (mean - 1.0) * decay(now.since(at), SLOWNESS_HALF_LIFE)
    }

    /// How long a request waits at an engine with `slots` before it is worked on.
    pub fn queue_time(&self, now: Time, engine: EngineKey, slots: u32) -> Duration {
        let requests = self.work(now, engine).requests;
        let waiting = (requests + 1).saturating_sub(slots.max(1));
        let stay = self
            .engines
            .get(engine)
            .and_then(|load| load.mean_residence)
            .unwrap_or_default();
        Duration::from_secs_f64(stay * f64::from(waiting) / f64::from(slots.max(1)))
    }

    /// Notes how long it took from a prompt's being read to the first event, at an engine with slots to spare.
    pub fn on_handover(&mut self, now: Time, engine: EngineKey, took: Duration) {
        let mean = self.handover(now, engine);
        let mean = mean.mul_f64(1.0 - HANDOVER_GAIN) + took.mul_f64(HANDOVER_GAIN);
        self.engines.get_or_default(engine).handover = Some((now, mean));
    }

    /// How long it takes from a prompt's being read to the first event at an engine.
    ///
    /// Failure guarded against: links are slow for a while, the mean grows beyond what any request can wait, all are
    /// refused, and so nothing is seen any more that could correct it. What was seen loses half of its weight in each
    /// [`FORGET`].
    pub fn handover(&self, now: Time, engine: EngineKey) -> Duration {
        let seen = self.engines.get(engine).and_then(|load| load.handover);
        let Some((at, mean)) = seen else {
            return DEFAULT_HANDOVER;
        };
        let weight = decay(now.since(at), HANDOVER_HALF_LIFE);
        mean.mul_f64(weight) + DEFAULT_HANDOVER.mul_f64(1.0 - weight)
    }

    /// Notes the work that a peer says it has.
    pub fn on_peer_report(&mut self, now: Time, peer: &str, work: BTreeMap<EngineKey, Work>) {
        self.peer_work.on_peer_report(now, peer, work);
    }

    /// Work at an engine, of this instance and of those peers that were heard lately.
    pub fn work(&self, now: Time, engine: EngineKey) -> Work {
        self.own_work(engine).plus(self.peer_work.work(now, engine))
    }

    /// Age of the oldest report of a peer that still counts, nothing without one.
    pub fn oldest_report_age(&self, now: Time) -> Duration {
        self.peer_work.oldest_report_age(now)
    }

    /// Work of this instance at an engine.
    pub fn own_work(&self, engine: EngineKey) -> Work {
        self.engines.get(engine).map_or_else(Work::default, |l| l.own)
    }

    /// Work of this instance at every engine where it has some.
    pub fn own_by_engine(&self) -> BTreeMap<EngineKey, Work> {
        let busy = self.jobs.values().map(|job| job.engine);
        busy.map(|key| (key, self.own_work(key))).collect()
    }

    /// Whether an engine is to get no work now if another can take it.
    pub fn is_avoided(&self, now: Time, engine: EngineKey) -> bool {
        let load = self.engines.get(engine);
        load.and_then(|l| l.avoid_until).is_some_and(|until| now < until)
    }

    /// Mean rate of failed attempts at an engine, 0 to 1, over about its last ten.
    pub fn failure_rate(&self, now: Time, engine: EngineKey) -> f64 {
        self.engines
            .get(engine)
            .map_or(0.0, |load| load.failure_rate(now))
    }

    /// Forgets engines that `known` denies and that have no work left.
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(EngineKey) -> bool,
    {
        let gone = |key: EngineKey, load: &EngineState| !known(key) && load.own.requests == 0;
        for (key, load) in self.engines.iter_mut().filter(|(key, load)| gone(*key, load)) {
            *load = EngineState::default();
            self.cached_parts.forget(key);
        }
    }
}
