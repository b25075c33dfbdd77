//! Load and health of each engine, as known to this instance.
//!
//! There are two sources: the work that this instance has at an engine, which is always up to date, and the last
//! reports of its peers about theirs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::attempt::End;
use crate::relay::cached_parts::CachedParts;
use crate::relay::cached_parts::PrefillRecord;
use crate::relay::engine_map::EngineMap;
use crate::relay::engines::Engine;
use crate::relay::engines::EngineKey;
use crate::relay::event_pace::EventPace;
use crate::relay::peer_work::PeerWork;
use crate::relay::placement::PrefillPlan;
use crate::relay::prefill_time::PrefillModel;
use crate::relay::service_time::Occupancy;
use crate::relay::service_time::ServiceTimes;
use crate::relay::stream_lengths::StreamLengths;
use crate::time::Time;

/// How long an engine gets no new work after its first fault, if another engine can take it; doubles with each further
/// fault.
const BASE_BACKOFF: Duration = Duration::from_millis(500);

/// How long an engine that declined a request gets no new work, if another engine can take it: a slot becomes free
/// again after about this time.
const DECLINE_BACKOFF: Duration = Duration::from_millis(250);

/// Number of requests that an engine declines in a row before it is left out. An engine that is briefly full declines
/// some.
const MIN_DECLINES: u32 = 4;

/// Maximum number of doublings of [`BASE_BACKOFF`]: the limit is 8 s, the time a crashed engine takes to come back.
const MAX_DOUBLINGS: u32 = 4;

/// Weight of a new observation in the mean failure rate.
const FAILURE_GAIN: f64 = 0.1;

/// A mean failure rate below this counts as zero: it does not affect the choice of an engine, and computing its decay
/// costs time.
const MIN_FAILURE_RATE: f64 = 0.001;

/// Half-life of the mean failure rate while there are no observations.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of a new observation in an engine's slowness: a slow engine is recognized after about ten prompts.
const SLOWNESS_GAIN: f64 = 0.1;

/// Observed slowness is clamped to this range. Values outside it are measurement errors: a call was delayed in the
/// network, or parts were cached.
const SLOWNESS_RANGE: std::ops::RangeInclusive<f64> = 0.25..=8.0;

/// Slowness in this range counts as 1: prefill times vary by this much, and a request that leaves its home because of
/// it has its shared parts computed again.
const NORMAL_SLOWNESS: std::ops::RangeInclusive<f64> = 0.67..=1.5;

/// Half-life of an engine's observed slowness: slow engines are avoided, so that nothing else would show that they
/// have recovered.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

/// Weight of a new observation in the mean time that requests spend at an engine.
const RESIDENCE_GAIN: f64 = 0.05;

/// Assumed time from the end of a prefill to the first event, until it has been measured: a transfer, a step and two
/// calls.
const DEFAULT_HANDOVER: Duration = Duration::from_millis(15);

/// Half-life of the measured handover time.
const HANDOVER_HALF_LIFE: Duration = Duration::from_millis(500);

/// Weight of a new observation in the mean handover time.
const HANDOVER_GAIN: f64 = 0.1;

/// Amount of work at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Work {
    /// Requests in progress.
    pub requests: u32,
    /// Time needed for the prefills that are not complete yet.
    pub prefill: Duration,
}

impl Work {
    /// Returns the sum of both.
    pub fn plus(self, other: Work) -> Work {
        Work {
            requests: self.requests + other.requests,
            prefill: self.prefill + other.prefill,
        }
    }

    /// Returns the difference; neither value drops below zero.
    pub fn minus(self, other: Work) -> Work {
        Work {
            requests: self.requests.saturating_sub(other.requests),
            prefill: self.prefill.saturating_sub(other.prefill),
        }
    }
}

/// Identifies a piece of work that this instance has at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(u64);

#[derive(Debug, Clone, Copy)]
struct Job {
    engine: EngineKey,
    prefill: Duration,
    started_at: Time,
    /// Requests at the engine at the start of this one, including it.
    requests: u32,
}

#[derive(Debug, Clone, Default)]
struct EngineState {
    own: Work,
    consecutive_faults: u32,
    avoid_until: Option<Time>,
    /// Requests that it declined since it last answered one.
    declines: u32,
    /// Until when it is left out, if it has declined [`MIN_DECLINES`] requests in a row.
    left_out: Option<Time>,
    /// Time of the last update, and the mean rate of failed attempts.
    failure_rate: (Time, f64),
    /// Time of the last update, and the mean ratio of measured to expected prefill times.
    slowness: Option<(Time, f64)>,
    /// Time of the last update, and the mean time from the end of a prefill to the first event received here.
    handover: Option<(Time, Duration)>,
    /// Mean time that a request spends at the engine, in seconds.
    mean_residence: Option<f64>,
}

impl EngineState {
    /// Leaves the engine out for a while if it has declined several requests in a row; for longer with each further one.
    fn leave_out(&mut self, now: Time) {
        if let Some(doublings) = self.declines.checked_sub(MIN_DECLINES) {
            let pause = BASE_BACKOFF * (1 << doublings.min(MAX_DOUBLINGS));
            self.left_out = Some(now + pause);
        }
    }

    /// Returns the mean failure rate, decayed to `now`.
    ///
    /// Failure guarded against: an engine fails for a while, gets no more work and is excluded for ever, since there
    /// are no further observations that could clear it.
    fn failure_rate(&self, now: Time) -> f64 {
        let (at, mean) = self.failure_rate;
        if mean < MIN_FAILURE_RATE {
            return 0.0;
        }
        mean * decay(now.since(at), FAILURE_HALF_LIFE)
    }
}

/// Returns the remaining weight of an observation after `passed`, if half of it is lost in each `half_life`.
fn decay(passed: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(passed.as_secs_f64() / half_life.as_secs_f64())
}

/// Load and health of all engines, as seen by this instance.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    engines: EngineMap<EngineState>,
    jobs: BTreeMap<JobId, Job>,
    peer_work: PeerWork,
    next_job: u64,
    /// Model of the prefill time for each service.
    prefill_models: BTreeMap<String, PrefillModel>,
    /// Service times of plain engines.
    pub service_times: ServiceTimes,
    /// Shared prompt parts that each engine has cached.
    pub cached_parts: CachedParts,
    /// Number of events that the streams of each route have.
    pub stream_lengths: StreamLengths,
    /// Pace at which each engine delivers the events of streams.
    pub event_pace: EventPace,
}

impl LoadTracker {
    /// Creates a tracker without observations.
    pub fn new() -> LoadTracker {
        LoadTracker::default()
    }

    /// Records work that is sent to an engine; `prefill` is the expected time of its prefill.
    pub fn begin(&mut self, now: Time, engine: EngineKey, prefill: Duration) -> JobId {
        let id = JobId(self.next_job);
        self.next_job += 1;
        let state = self.engines.get_or_default(engine);
        state.own = state.own.plus(Work { requests: 1, prefill });
        // If this one tries an engine again that was left out, others wait for its result.
        state.leave_out(now);
        let started_at = now;
        let requests = self.work(now, engine).requests;
        self.jobs.insert(
            id,
            Job {
                engine,
                prefill,
                started_at,
                requests,
            },
        );
        id
    }

    /// Records that the prefill of a job is complete.
    pub fn finish_prefill(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let prefill = std::mem::take(&mut job.prefill);
        let state = self.engines.get_or_default(job.engine);
        state.own.prefill = state.own.prefill.saturating_sub(prefill);
    }

    /// Records that a job has ended; a second call changes nothing.
    pub fn finish(&mut self, now: Time, id: JobId) {
        self.finish_prefill(id);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let state = self.engines.get_or_default(job.engine);
        state.own.requests = state.own.requests.saturating_sub(1);
        let residence = now.since(job.started_at).as_secs_f64();
        let mean = state.mean_residence.unwrap_or(residence);
        state.mean_residence = Some(mean + RESIDENCE_GAIN * (residence - mean));
    }

    /// Records that a plain engine with `slots` answered a job completely, of which `network` was the time of the
    /// round trip.
    pub fn on_answer(&mut self, now: Time, id: JobId, slots: u32, network: Duration) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let took = now.since(job.started_at).saturating_sub(network);
        let occupancy = Occupancy {
            requests: job.requests,
            slots,
        };
        self.service_times.on_answer(now, job.engine, took, occupancy);
    }

    /// Updates the health of an engine from the outcome of an attempt.
    pub fn on_attempt_end(&mut self, now: Time, engine: EngineKey, end: End) {
        let state = self.engines.get_or_default(engine);
        let failed = f64::from(u8::from(end.is_fault()));
        let mean = state.failure_rate(now);
        state.failure_rate = (now, mean + FAILURE_GAIN * (failed - mean));
        match end {
            End::Answered => {
                state.consecutive_faults = 0;
                state.avoid_until = None;
                state.declines = 0;
                state.left_out = None;
            }
            End::Failed => {}
            // Failure guarded against: an engine that declines all requests has no work, so it looks like the best
            // choice.
            End::Declined => {
                state.avoid_until = Some(now + DECLINE_BACKOFF);
                state.declines += 1;
                state.leave_out(now);
            }
            End::Unsent | End::Misdirected | End::Broken | End::Silent => {
                let backoff = BASE_BACKOFF * (1 << state.consecutive_faults.min(MAX_DOUBLINGS));
                state.consecutive_faults += 1;
                state.avoid_until = Some(now + backoff);
            }
        }
    }

    /// Whether an engine has declined several requests in a row, and is not due for another try.
    pub fn is_left_out(&self, now: Time, engine: EngineKey) -> bool {
        let state = self.engines.get(engine);
        state.and_then(|s| s.left_out).is_some_and(|until| now < until)
    }

    /// Returns the model of the prefill time for a service; the default model if nothing has been measured.
    pub fn prefill_model(&self, service: &str) -> PrefillModel {
        self.prefill_models.get(service).cloned().unwrap_or_default()
    }

    /// Records that an engine completed a prefill in `took`.
    pub fn on_prefill(&mut self, now: Time, plan: &PrefillPlan, took: Duration) {
        let entry = &plan.engine.entry;
        if plan.queue_time.is_zero() {
            let model = self.prefill_models.entry(entry.service.clone()).or_default();
            model.on_uncontended(plan.work, took);
        }
        let key = plan.engine.key;
        let mean = self.mean_slowness(now, key);
        let expected = plan.total_time.as_secs_f64() / self.slowness(now, key);
        if expected <= 0.0 {
            return;
        }
        let seen = (took.as_secs_f64() / expected).clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end());
        self.engines.get_or_default(key).slowness = Some((now, mean + SLOWNESS_GAIN * (seen - mean)));
    }

    /// Records that a prefill was sent to an engine: later requests with the same shared part find it cached there.
    pub fn on_prefill_sent(&mut self, now: Time, plan: &PrefillPlan, part: u64) {
        let record = PrefillRecord {
            engine: plan.engine.hash,
            part,
            tokens: plan.new_tokens,
        };
        self.cached_parts.on_own_prefill(now, plan.engine.key, record);
    }

    /// Returns the ratio of an engine's prefill times to those expected for its service; 1 if there are no
    /// observations.
    pub fn slowness(&self, now: Time, engine: EngineKey) -> f64 {
        let seen = self.engines.get(engine).and_then(|state| state.slowness);
        // A value in the normal range stays in it as it decays. Computing the decay for each engine would take longer
        // than the rest of a choice.
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
        let seen = self.engines.get(engine).and_then(|state| state.slowness);
        let Some((at, mean)) = seen else {
            return 1.0;
        };
        1.0 + (mean - 1.0) * decay(now.since(at), SLOWNESS_HALF_LIFE)
    }

    /// Returns how long a request waits for a slot at an engine with `slots`.
    pub fn queue_time(&self, now: Time, engine: EngineKey, slots: u32) -> Duration {
        let requests = self.work(now, engine).requests;
        let waiting = (requests + 1).saturating_sub(slots.max(1));
        let residence = self
            .engines
            .get(engine)
            .and_then(|state| state.mean_residence)
            .unwrap_or_default();
        Duration::from_secs_f64(residence * f64::from(waiting) / f64::from(slots.max(1)))
    }

    /// Records the time from the end of a prefill to the first event, at an engine with free slots.
    pub fn on_handover(&mut self, now: Time, engine: EngineKey, took: Duration) {
        let mean = self.handover(now, engine);
        let mean = mean.mul_f64(1.0 - HANDOVER_GAIN) + took.mul_f64(HANDOVER_GAIN);
        self.engines.get_or_default(engine).handover = Some((now, mean));
    }

    /// Records the interval between two events of a stream at an engine.
    pub fn on_interval(&mut self, now: Time, engine: &Engine, interval: Duration) {
        let requests = self.work(now, engine.key).requests;
        self.event_pace.on_interval(now, engine, interval, requests);
    }

    /// Returns the pause between two events that a further stream has to expect at an engine; `None` without
    /// observations of its service.
    pub fn predicted_pause(&self, now: Time, engine: &Engine) -> Option<Duration> {
        let requests = self.work(now, engine.key).requests;
        self.event_pace
            .predicted_pause(now, engine, requests.saturating_add(1))
    }

    /// Returns the expected time from the end of a prefill to the first event at an engine.
    ///
    /// Failure guarded against: links are slow for a while, the mean grows beyond what any request can wait, all
    /// requests are refused, and so there are no further observations that could correct it. The weight of earlier
    /// observations therefore halves every [`HANDOVER_HALF_LIFE`].
    pub fn handover(&self, now: Time, engine: EngineKey) -> Duration {
        let seen = self.engines.get(engine).and_then(|state| state.handover);
        let Some((at, mean)) = seen else {
            return DEFAULT_HANDOVER;
        };
        let weight = decay(now.since(at), HANDOVER_HALF_LIFE);
        mean.mul_f64(weight) + DEFAULT_HANDOVER.mul_f64(1.0 - weight)
    }

    /// Records the work that a peer reports.
    pub fn on_peer_report(&mut self, now: Time, peer: &str, work: BTreeMap<EngineKey, Work>) {
        self.peer_work.on_peer_report(now, peer, work);
    }

    /// Returns the work at an engine, of this instance and of the peers with a recent report.
    pub fn work(&self, now: Time, engine: EngineKey) -> Work {
        self.own_work(engine).plus(self.peer_work.work(now, engine))
    }

    /// Returns the age of the oldest report of a peer that is still in use, zero if there is none.
    pub fn oldest_report_age(&self, now: Time) -> Duration {
        self.peer_work.oldest_report_age(now)
    }

    /// Returns the work of this instance at an engine.
    pub fn own_work(&self, engine: EngineKey) -> Work {
        self.engines.get(engine).map_or_else(Work::default, |s| s.own)
    }

    /// Returns the work of this instance at every engine where it has any.
    pub fn own_by_engine(&self) -> BTreeMap<EngineKey, Work> {
        let busy = self.jobs.values().map(|job| job.engine);
        busy.map(|key| (key, self.own_work(key))).collect()
    }

    /// Whether an engine is to get no new work at present, if another engine can take it.
    pub fn is_avoided(&self, now: Time, engine: EngineKey) -> bool {
        let state = self.engines.get(engine);
        state.and_then(|s| s.avoid_until).is_some_and(|until| now < until)
    }

    /// Returns the mean rate of failed attempts at an engine, 0 to 1, over about its last ten attempts.
    pub fn failure_rate(&self, now: Time, engine: EngineKey) -> f64 {
        self.engines
            .get(engine)
            .map_or(0.0, |state| state.failure_rate(now))
    }

    /// Discards the state of engines for which `known` returns false and at which this instance has no requests.
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(EngineKey) -> bool,
    {
        self.event_pace.retain(&known);
        let is_gone = |key: EngineKey, state: &EngineState| !known(key) && state.own.requests == 0;
        for (key, state) in self
            .engines
            .iter_mut()
            .filter(|(key, state)| is_gone(*key, state))
        {
            *state = EngineState::default();
            self.cached_parts.forget(key);
            self.service_times.forget(key);
        }
    }
}
