//! What an instance knows of the load and health of each engine.
//!
//! Two sources: the work that this instance has there, to the moment, and what its peers last said of theirs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::attempt::End;
use crate::relay::by_engine::ByEngine;
use crate::relay::engines::EngineKey;
use crate::relay::pace::Pace;
use crate::relay::parts::Parts;
use crate::relay::parts::Read;
use crate::relay::place::Reading;
use crate::relay::told::Told;
use crate::time::Time;

/// How long an engine gets no new work after its first fault, if another can take it; doubles with each.
const AVOID: Duration = Duration::from_millis(500);

/// How long an engine that declined gets no new work, if another can take it: a slot is free again after about that.
const DECLINED: Duration = Duration::from_millis(250);

/// Doublings of [`AVOID`]: 8 s at most, the time a crashed engine takes to come back.
const MAX_DOUBLINGS: u32 = 4;

/// Part of a new observation in the mean rate of failures.
const FAILURE_GAIN: f64 = 0.1;

/// A mean rate of failures below this is none: it sets no engine back, and costs time to work out.
const NO_FAILURES: f64 = 0.001;

/// Time in which that mean loses half of its weight while nothing is seen.
const FORGIVE: Duration = Duration::from_secs(2);

/// Part of a new observation in an engine's slowness: a slow engine shows after about ten prompts.
const SLOWNESS_GAIN: f64 = 0.1;

/// Slowness outside is taken for a fault of the measurement: a call that waited in the network, parts that were kept.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.25..=8.0;

/// A slowness that is none: readings scatter by so much, and a request that leaves its home for it has its shared parts
/// read again.
const ORDINARY: std::ops::RangeInclusive<f64> = 0.67..=1.5;

/// Time in which what was seen of an engine's slowness loses half of its weight: slow ones are avoided, and nothing else
/// would tell that they are well again.
const RECOVER: Duration = Duration::from_secs(4);

/// Part of a new observation in the mean time that requests stay at an engine.
const STAY_GAIN: f64 = 0.05;

/// Time from a prompt's being read to the first event, until it was seen: transfer, a step and two calls.
const HANDOVER: Duration = Duration::from_millis(15);

/// Time in which what was seen of it loses half of its weight.
const FORGET: Duration = Duration::from_millis(500);

/// Part of a new observation in the mean of that time.
const HANDOVER_GAIN: f64 = 0.1;

/// Work at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Work {
    /// Requests.
    pub requests: u32,
    /// Time that the reading of prompts which are not read yet takes.
    pub reading: Duration,
}

impl Work {
    /// Both together.
    pub fn plus(self, other: Work) -> Work {
        Work {
            requests: self.requests + other.requests,
            reading: self.reading + other.reading,
        }
    }

    /// This without the other, never below nothing.
    pub fn minus(self, other: Work) -> Work {
        Work {
            requests: self.requests.saturating_sub(other.requests),
            reading: self.reading.saturating_sub(other.reading),
        }
    }
}

/// One piece of work that this instance has at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

#[derive(Debug, Clone, Copy)]
struct Job {
    engine: EngineKey,
    reading: Duration,
    since: Time,
}

#[derive(Debug, Clone, Default)]
struct Load {
    own: Work,
    faults: u32,
    avoid: Option<Time>,
    /// Mean rate of failed attempts, and when it was last seen.
    failures: (Time, f64),
    /// Mean time that readings took against what was expected, and when it was last seen.
    slowness: Option<(Time, f64)>,
    /// Mean time from a prompt's being read to the first event here, and when it was last seen.
    handover: Option<(Time, Duration)>,
    /// Mean time for which a request stays at the engine, in seconds.
    stay: Option<f64>,
}

impl Load {
    /// Failure guarded against: an engine fails for a while, gets nothing any more, and is left out for ever, since
    /// nothing is seen that could clear it.
    fn failures(&self, now: Time) -> f64 {
        let (at, mean) = self.failures;
        if mean < NO_FAILURES {
            return 0.0;
        }
        mean * faded(now.since(at), FORGIVE)
    }
}

/// What is left of an observation's weight after `passed`, if half goes in each `half`.
fn faded(passed: Duration, half: Duration) -> f64 {
    0.5_f64.powf(passed.as_secs_f64() / half.as_secs_f64())
}

/// The load and health of all engines, as this instance sees them.
#[derive(Debug, Clone, Default)]
pub struct Book {
    loads: ByEngine<Load>,
    jobs: BTreeMap<Ticket, Job>,
    told: Told,
    next: u64,
    /// What reading takes the engines of each service.
    paces: BTreeMap<String, Pace>,
    /// Which engine keeps which shared parts of prompts.
    pub parts: Parts,
}

impl Book {
    /// Nothing known.
    pub fn new() -> Book {
        Book::default()
    }

    /// Notes work that is sent to an engine.
    pub fn begin(&mut self, now: Time, engine: EngineKey, reading: Duration) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let load = self.loads.at(engine);
        load.own = load.own.plus(Work { requests: 1, reading });
        let since = now;
        self.jobs.insert(
            ticket,
            Job {
                engine,
                reading,
                since,
            },
        );
        ticket
    }

    /// Notes that the prompt of a piece of work is read.
    pub fn read(&mut self, ticket: Ticket) {
        let Some(job) = self.jobs.get_mut(&ticket) else {
            return;
        };
        let reading = std::mem::take(&mut job.reading);
        let load = self.loads.at(job.engine);
        load.own.reading = load.own.reading.saturating_sub(reading);
    }

    /// Notes that a piece of work is over; a second call changes nothing.
    pub fn end(&mut self, now: Time, ticket: Ticket) {
        self.read(ticket);
        let Some(job) = self.jobs.remove(&ticket) else {
            return;
        };
        let load = self.loads.at(job.engine);
        load.own.requests = load.own.requests.saturating_sub(1);
        let stay = now.since(job.since).as_secs_f64();
        let mean = load.stay.unwrap_or(stay);
        load.stay = Some(mean + STAY_GAIN * (stay - mean));
    }

    /// Notes what the end of an attempt says of the engine.
    pub fn judge(&mut self, now: Time, engine: EngineKey, end: End) {
        let load = self.loads.at(engine);
        let failed = f64::from(u8::from(end.is_fault()));
        let mean = load.failures(now);
        load.failures = (now, mean + FAILURE_GAIN * (failed - mean));
        match end {
            End::Answered => {
                load.faults = 0;
                load.avoid = None;
            }
            End::Failed => {}
            // Failure guarded against: an engine that declines all has no work, so it looks like the best choice.
            End::Declined => load.avoid = Some(now + DECLINED),
            End::Unsent | End::Misdirected | End::Broken | End::Silent => {
                let pause = AVOID * (1 << load.faults.min(MAX_DOUBLINGS));
                load.faults += 1;
                load.avoid = Some(now + pause);
            }
        }
    }

    /// What reading takes the engines of a service.
    pub fn pace(&self, service: &str) -> Pace {
        self.paces.get(service).cloned().unwrap_or_default()
    }

    /// Notes that an engine read a prompt in `took`.
    pub fn on_read(&mut self, now: Time, reading: &Reading, took: Duration) {
        let entry = &reading.engine.entry;
        if reading.before.is_zero() {
            let pace = self.paces.entry(entry.service.clone()).or_default();
            pace.on_alone(reading.load, took);
        }
        let key = reading.engine.key;
        let mean = self.mean_slowness(now, key);
        let plain = reading.takes.as_secs_f64() / self.slowness(now, key);
        if plain <= 0.0 {
            return;
        }
        let seen = (took.as_secs_f64() / plain).clamp(*SLOWNESS.start(), *SLOWNESS.end());
        self.loads.at(key).slowness = Some((now, mean + SLOWNESS_GAIN * (seen - mean)));
    }

    /// Notes that an engine is sent a prompt to read: whoever asks for the same parts behind it finds them there.
    pub fn on_sent(&mut self, now: Time, reading: &Reading, part: u64) {
        let read = Read {
            engine: reading.engine.hash,
            part,
            tokens: reading.adds,
        };
        self.parts.on_own(now, reading.engine.key, read);
    }

    /// Time that readings take at an engine against what they take the engines of its service; 1 if nothing is known.
    pub fn slowness(&self, now: Time, engine: EngineKey) -> f64 {
        let seen = self.loads.get(engine).and_then(|load| load.slowness);
        // What is ordinary when it was seen is ordinary when it has faded; working that out for each engine takes longer
        // than all else of a choice.
        if seen.is_none_or(|(_, mean)| ORDINARY.contains(&mean)) {
            return 1.0;
        }
        let mean = self.mean_slowness(now, engine);
        match ORDINARY.contains(&mean) {
            true => 1.0,
            false => mean,
        }
    }

    fn mean_slowness(&self, now: Time, engine: EngineKey) -> f64 {
        let seen = self.loads.get(engine).and_then(|load| load.slowness);
        let Some((at, mean)) = seen else {
            return 1.0;
        };
        1.0 + (mean - 1.0) * faded(now.since(at), RECOVER)
    }

    /// How long a request waits at an engine with `slots` before it is worked on.
    pub fn queue(&self, now: Time, engine: EngineKey, slots: u32) -> Duration {
        let requests = self.work(now, engine).requests;
        let waiting = (requests + 1).saturating_sub(slots.max(1));
        let stay = self
            .loads
            .get(engine)
            .and_then(|load| load.stay)
            .unwrap_or_default();
        Duration::from_secs_f64(stay * f64::from(waiting) / f64::from(slots.max(1)))
    }

    /// Notes how long it took from a prompt's being read to the first event, at an engine with slots to spare.
    pub fn on_handover(&mut self, now: Time, engine: EngineKey, took: Duration) {
        let mean = self.handover(now, engine);
        let mean = mean.mul_f64(1.0 - HANDOVER_GAIN) + took.mul_f64(HANDOVER_GAIN);
        self.loads.at(engine).handover = Some((now, mean));
    }

    /// How long it takes from a prompt's being read to the first event at an engine.
    ///
    /// Failure guarded against: links are slow for a while, the mean grows beyond what any request can wait, all are
    /// refused, and so nothing is seen any more that could correct it. What was seen loses half of its weight in each
    /// [`FORGET`].
    pub fn handover(&self, now: Time, engine: EngineKey) -> Duration {
        let seen = self.loads.get(engine).and_then(|load| load.handover);
        let Some((at, mean)) = seen else {
            return HANDOVER;
        };
        let weight = faded(now.since(at), FORGET);
        mean.mul_f64(weight) + HANDOVER.mul_f64(1.0 - weight)
    }

    /// Notes the work that a peer says it has.
    pub fn on_peer(&mut self, now: Time, peer: &str, work: BTreeMap<EngineKey, Work>) {
        self.told.on_peer(now, peer, work);
    }

    /// Work at an engine, of this instance and of those peers that were heard lately.
    pub fn work(&self, now: Time, engine: EngineKey) -> Work {
        self.own(engine).plus(self.told.work(now, engine))
    }

    /// Age of the oldest report of a peer that still counts, nothing without one.
    pub fn oldest_report(&self, now: Time) -> Duration {
        self.told.oldest(now)
    }

    /// Work of this instance at an engine.
    pub fn own(&self, engine: EngineKey) -> Work {
        self.loads.get(engine).map_or_else(Work::default, |l| l.own)
    }

    /// Work of this instance at every engine where it has some.
    pub fn all(&self) -> BTreeMap<EngineKey, Work> {
        let busy = self.jobs.values().map(|job| job.engine);
        busy.map(|key| (key, self.own(key))).collect()
    }

    /// Whether an engine is to get no work now if another can take it.
    pub fn is_avoided(&self, now: Time, engine: EngineKey) -> bool {
        let load = self.loads.get(engine);
        load.and_then(|l| l.avoid).is_some_and(|until| now < until)
    }

    /// Mean rate of failed attempts at an engine, 0 to 1, over about its last ten.
    pub fn failures(&self, now: Time, engine: EngineKey) -> f64 {
        self.loads.get(engine).map_or(0.0, |load| load.failures(now))
    }

    /// Forgets engines that `known` denies and that have no work left.
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(EngineKey) -> bool,
    {
        let gone = |key: EngineKey, load: &Load| !known(key) && load.own.requests == 0;
        for (key, load) in self.loads.iter_mut().filter(|(key, load)| gone(*key, load)) {
            *load = Load::default();
            self.parts.forget(key);
        }
    }
}
