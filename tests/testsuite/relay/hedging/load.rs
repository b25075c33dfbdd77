//! Hedged requests under load: a simulated service with a queue of events, without network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::relay::budget::BudgetLimits;
use sequoiastream_core::relay::budget::RetryBudget;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::hedging;
use sequoiastream_core::relay::hedging::HedgeCandidate;
use sequoiastream_core::relay::hedging::HedgeLimits;
use sequoiastream_core::relay::hedging::Hedging;
use sequoiastream_core::relay::load_tracker::JobId;
use sequoiastream_core::relay::load_tracker::LoadTracker;
use sequoiastream_core::relay::placement::EngineSelector;
use sequoiastream_core::time::Time;

/// Hedges for each request.
const RATIO: f64 = 0.1;

const WINDOW: Duration = Duration::from_secs(10);

/// Number of simulated requests, one each [`INTERVAL`].
const REQUESTS: usize = 6_000;

const INTERVAL: Duration = Duration::from_millis(5);

/// Time in which a healthy engine answers, at least; at most 10 ms more.
const SERVICE_TIME: Duration = Duration::from_millis(15);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// The request with this number has been at its engine for the time after which it is slow.
    Slow(usize),
    /// An engine answers the request with this number: its first engine, or the second one.
    Answer(usize, bool),
}

/// A request in progress: its engines, and when it was sent to each.
struct Request {
    arrived: Time,
    jobs: Vec<(Engine, JobId, Time)>,
    is_done: bool,
}

/// What a simulation showed.
struct Report {
    /// Time from arrival to answer.
    latencies: Vec<Duration>,
    /// When requests arrived.
    requests: Vec<Time>,
    /// When hedges were sent.
    hedges: Vec<Time>,
}

impl Report {
    /// Number of requests that took more than four times as long as a healthy engine takes.
    fn late(&self) -> usize {
        let longest = Duration::from_millis(100);
        self.latencies.iter().filter(|took| **took > longest).count()
    }

    /// Panics if there were more hedges in some window than the ratio allows for the requests up to a window before.
    fn check_limit(&self, seed: u64) {
        for end in &self.hedges {
            let within = |times: &[Time]| {
                times.partition_point(|t| t <= end) - times.partition_point(|t| end.since(*t) > WINDOW)
            };
            let allowed = RATIO * within(&self.requests) as f64;
            assert!(within(&self.hedges) as f64 <= allowed, "seed {seed}, {end}");
        }
    }
}

/// A service with four engines of 16 slots, each on a machine of its own.
struct Simulation<F> {
    random: ChaCha8Rng,
    /// Time that an engine takes for a request.
    service_time: F,
    engines: Vec<Engine>,
    loads: LoadTracker,
    hedging: Hedging,
    budget: RetryBudget,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    requests: Vec<Request>,
    hedges: Vec<Time>,
}

impl<F> Simulation<F>
where
    F: Fn(&mut ChaCha8Rng, Time, EngineKey) -> Duration,
{
    fn new(seed: u64, ratio: f64, service_time: F) -> Simulation<F> {
        let engine = |number: u8| {
            let entry = Entry {
                address: SocketAddr::from(([10, 0, 0, number], 80)),
                ..crate::relay::entry(&format!("e{number}"), Stage::Whole)
            };
            Engine::new(EngineKey(u32::from(number)), entry)
        };
        Simulation {
            random: ChaCha8Rng::seed_from_u64(seed),
            service_time,
            engines: (0..4).map(engine).collect(),
            loads: LoadTracker::new(),
            hedging: Hedging::new(HedgeLimits {
                ratio,
                window: WINDOW,
            }),
            budget: RetryBudget::new(BudgetLimits {
                ratio: 0.4,
                window: WINDOW,
                slack: 20.0,
            }),
            events: BinaryHeap::new(),
            requests: Vec::new(),
            hedges: Vec::new(),
        }
    }

    fn run(mut self) -> Report {
        let mut latencies = Vec::new();
        self.events.push(Reverse((Time::ZERO, Event::Arrival)));
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                Event::Arrival => self.on_arrival(now),
                Event::Slow(number) => self.on_slow(now, number),
                Event::Answer(number, is_second) => latencies.extend(self.on_answer(now, number, is_second)),
            }
        }
        assert_eq!(latencies.len(), REQUESTS);
        Report {
            latencies,
            requests: self.requests.iter().map(|request| request.arrived).collect(),
            hedges: self.hedges,
        }
    }

    fn selector(&self, now: Time) -> EngineSelector<'_> {
        EngineSelector {
            loads: &self.loads,
            now,
            zone: "a",
            tried: &[],
            memory_tokens: None,
            report_turns: 1,
            tie_breaker: 0,
        }
    }

    fn send(&mut self, now: Time, number: usize, engine: Engine) {
        let took = (self.service_time)(&mut self.random, now, engine.key);
        let job = self.loads.begin(now, engine.key, Duration::ZERO);
        let request = &mut self.requests[number];
        let is_second = !request.jobs.is_empty();
        request.jobs.push((engine, job, now));
        self.events
            .push(Reverse((now + took, Event::Answer(number, is_second))));
    }

    fn on_arrival(&mut self, now: Time) {
        let number = self.requests.len();
        if number + 1 < REQUESTS {
            self.events.push(Reverse((now + INTERVAL, Event::Arrival)));
        }
        self.hedging.limiter.on_request(now, "chat");
        self.budget.on_request(now, "chat");
        let engine = self.selector(now).least_loaded(&self.engines).cloned();
        self.requests.push(Request {
            arrived: now,
            jobs: Vec::new(),
            is_done: false,
        });
        self.send(now, number, engine.expect("an engine"));
        if let Some(latency) = self.hedging.latencies.latency(now, "r") {
            self.events
                .push(Reverse((now + latency.slow, Event::Slow(number))));
        }
    }

    fn on_slow(&mut self, now: Time, number: usize) {
        if self.requests[number].is_done {
            return;
        }
        let first = &self.requests[number].jobs[0].0;
        let second = hedging::second_engine(&self.selector(now), &self.engines, first, 1.0);
        let latency = self.hedging.latencies.latency(now, "r").expect("known latency");
        let candidate = HedgeCandidate {
            service: "chat",
            expected: latency.median,
            left: Duration::from_secs(5),
            has_attempts: true,
            is_current: true,
            is_suspect: false,
            second,
        };
        let decision = hedging::decide(now, candidate, &mut self.hedging.limiter, &mut self.budget);
        if let Ok(second) = decision {
            assert!(self.budget.try_take(now, "chat"));
            self.hedging.limiter.on_hedge(now, "chat");
            self.hedges.push(now);
            self.send(now, number, second);
        }
    }

    /// Ends a request at its first answer; returns its latency.
    fn on_answer(&mut self, now: Time, number: usize, is_second: bool) -> Option<Duration> {
        let request = &mut self.requests[number];
        if std::mem::replace(&mut request.is_done, true) {
            return None;
        }
        for (index, (_, job, sent)) in request.jobs.iter().enumerate() {
            self.loads.finish(now, *job);
            // The first engine that was overtaken counts with its time until then; the second one doesn't count if it was.
            if index == 0 || is_second {
                self.hedging.latencies.on_answer(now, "r", now.since(*sent));
            }
        }
        Some(now.since(request.arrived))
    }
}

fn healthy(random: &mut ChaCha8Rng) -> Duration {
    SERVICE_TIME + Duration::from_micros(random.random_range(0..10_000))
}

/// One answer in twenty of the first engine takes a second, all others at most 25 ms.
fn one_engine_slow(random: &mut ChaCha8Rng, _: Time, engine: EngineKey) -> Duration {
    match engine == EngineKey(0) && random.random_range(0..20) == 0 {
        true => Duration::from_secs(1),
        false => healthy(random),
    }
}

/// Guards against answers that are late because one engine is slow now and then, while others are free.
#[test]
fn fewer_late() {
    for seed in 0..5 {
        let plain = Simulation::new(seed, 0.0, one_engine_slow).run();
        assert_eq!(plain.hedges, []);
        let hedged = Simulation::new(seed, RATIO, one_engine_slow).run();
        hedged.check_limit(seed);
        let (before, after) = (plain.late(), hedged.late());
        assert!(
            before >= 20 && after * 10 <= before,
            "seed {seed}: {before}, {after}"
        );
    }
}

/// Guards against hedges that overload engines which are all slow: from one moment on, they all take ten times as long.
/// The extra work must stay within the ratio while every request is slow, and become what it was once this is usual.
#[test]
fn all_slow_no_storm() {
    for seed in 0..5 {
        let slow_from = Time::ZERO + Duration::from_secs(10);
        let service_time = |random: &mut ChaCha8Rng, now: Time, _: EngineKey| match now < slow_from {
            true => healthy(random),
            false => healthy(random) * 10,
        };
        let report = Simulation::new(seed, RATIO, service_time).run();
        report.check_limit(seed);
        let later = slow_from + WINDOW;
        let count = |times: &[Time]| times.iter().filter(|at| **at > later).count();
        let (requests, hedges) = (count(&report.requests), count(&report.hedges));
        assert!(
            hedges * 100 <= requests * 7,
            "seed {seed}: {hedges} of {requests}"
        );
    }
}

/// Guards against a percentile that falls with each hedge, so that more and more requests are hedged: of a service whose
/// answers are all alike, about one in twenty is.
#[test]
fn share_stable() {
    for seed in 0..5 {
        let service_time = |random: &mut ChaCha8Rng, _: Time, _: EngineKey| healthy(random);
        let report = Simulation::new(seed, 0.2, service_time).run();
        let share = report.hedges.len() as f64 / report.requests.len() as f64;
        assert!((0.02..0.08).contains(&share), "seed {seed}: {share}");
    }
}
