//! Choosing plain engines by the time that their requests take.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::hash::hash_pair;
use sequoiastream_core::relay::load_tracker::JobId;
use sequoiastream_core::relay::load_tracker::LoadTracker;
use sequoiastream_core::relay::placement::EngineSelector;
use sequoiastream_core::relay::routes::CallerLimits;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::routes::RoutingTable;
use sequoiastream_core::relay::routes::Service;
use sequoiastream_core::relay::service_time::Occupancy;
use sequoiastream_core::relay::service_time::ServiceTimes;
use sequoiastream_core::time::Time;

use super::engine;
use super::engine::Action;
use super::engine::ScriptedEngine;
use super::fleet;
use super::instance::Instance;
use super::instance::route;
use super::instance::status;

/// Slots of the engines of the simulation.
const SLOTS: u32 = 6;

/// Requests at an engine beyond which a request is refused.
const MAX_REQUESTS: f64 = 2.0;

/// Time between two reports of an instance to its peers, in milliseconds.
const REPORT_INTERVAL: u64 = 150;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// A request in the simulation.
#[derive(Debug, Clone, Copy)]
struct SimRequest {
    instance: usize,
    job: JobId,
    arrived: u64,
}

/// An engine that serves [`SLOTS`] requests at a time and queues the others.
#[derive(Debug, Clone, Default)]
struct SimEngine {
    running: Vec<(u64, SimRequest)>,
    queue: VecDeque<SimRequest>,
    /// Requests that it was sent.
    sent: u32,
    /// Most requests that it had at a time.
    peak: usize,
}

impl SimEngine {
    fn requests(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}

/// Instances that send requests to plain engines.
struct Sim<F> {
    engines: Vec<Engine>,
    states: Vec<SimEngine>,
    trackers: Vec<LoadTracker>,
    /// Zone of each instance, and its requests per second.
    instances: Vec<(&'static str, f64)>,
    /// Service time in milliseconds of an engine, by the current time and the requests in service.
    service_time: F,
    /// Whether service times are recorded.
    learns: bool,
    seed: u64,
    /// Times that answers took, in milliseconds, by instance.
    times: Vec<Vec<u64>>,
    refused: u32,
    now: u64,
}

impl<F> Sim<F>
where
    F: Fn(usize, u64, usize) -> f64,
{
    fn new(engines: usize, instances: &[(&'static str, f64)], learns: bool, service_time: F) -> Sim<F> {
        let mut engines = fleet(&vec![Stage::Whole; engines]);
        for engine in &mut engines {
            engine.entry.slots = SLOTS;
        }
        Sim {
            states: vec![SimEngine::default(); engines.len()],
            engines,
            trackers: vec![LoadTracker::new(); instances.len()],
            instances: instances.to_vec(),
            service_time,
            learns,
            seed: 7,
            times: vec![Vec::new(); instances.len()],
            refused: 0,
            now: 0,
        }
    }

    /// A number from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.seed = hash_pair(self.seed, 1);
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            if self.now.is_multiple_of(REPORT_INTERVAL) {
                self.report();
            }
            for index in 0..self.states.len() {
                self.advance(index);
            }
            for instance in 0..self.instances.len() {
                if self.draw() < self.instances[instance].1 / 1e3 {
                    self.send(instance);
                }
            }
        }
    }

    fn report(&mut self) {
        let reports: Vec<_> = self.trackers.iter().map(LoadTracker::own_by_engine).collect();
        for (receiver, tracker) in self.trackers.iter_mut().enumerate() {
            for (sender, work) in reports
                .iter()
                .enumerate()
                .filter(|(sender, _)| *sender != receiver)
            {
                tracker.on_peer_report(at(self.now), &sender.to_string(), work.clone());
            }
        }
    }

    /// Ends the requests that are due at an engine, and starts those that wait for a slot.
    fn advance(&mut self, index: usize) {
        let now = self.now;
        let state = &mut self.states[index];
        let (done, running) = state.running.iter().partition(|(end, _)| *end <= now);
        state.running = running;
        let done: Vec<(u64, SimRequest)> = done;
        for (_, request) in done {
            let tracker = &mut self.trackers[request.instance];
            if self.learns {
                tracker.on_answer(at(now), request.job, SLOTS, Duration::ZERO);
            }
            tracker.finish(at(now), request.job);
            self.times[request.instance].push(now - request.arrived);
        }
        while self.states[index].running.len() < SLOTS as usize {
            let Some(request) = self.states[index].queue.pop_front() else {
                break;
            };
            let tail = if self.draw() < 0.01 { 5.0 } else { 1.0 };
            let in_service = self.states[index].running.len() + 1;
            let time = (self.service_time)(index, now, in_service) * tail;
            self.states[index].running.push((now + time as u64, request));
        }
    }

    fn send(&mut self, instance: usize) {
        let tie_breaker = hash_pair(self.seed, 2);
        let selector = EngineSelector {
            loads: &self.trackers[instance],
            now: at(self.now),
            zone: self.instances[instance].0,
            tried: &[],
            memory_tokens: None,
            report_turns: 6,
            tie_breaker,
        };
        let engine = selector.least_loaded(&self.engines).expect("an engine");
        if selector.is_full(engine, MAX_REQUESTS) {
            self.refused += 1;
            return;
        }
        let key = engine.key;
        let job = self.trackers[instance].begin(at(self.now), key, Duration::ZERO);
        let state = &mut self.states[key.0 as usize];
        let arrived = self.now;
        state.queue.push_back(SimRequest {
            instance,
            job,
            arrived,
        });
        state.sent += 1;
        state.peak = state.peak.max(state.requests());
    }

    /// The time within which so many of the answers of an instance came, in milliseconds.
    fn percentile(&self, instance: usize, part: f64) -> u64 {
        let mut times = self.times[instance].clone();
        times.sort_unstable();
        times[((times.len() - 1) as f64 * part) as usize]
    }

    /// Requests that each engine was sent in the last `millis`, after running for that long.
    fn sent_in(&mut self, millis: u64) -> Vec<u32> {
        let before: Vec<u32> = self.states.iter().map(|state| state.sent).collect();
        self.run(millis);
        let after = self.states.iter().map(|state| state.sent);
        after.zip(before).map(|(after, before)| after - before).collect()
    }
}

/// Three instances in the zone of the engines.
const THREE: [(&str, f64); 3] = [("a", 120.0), ("a", 120.0), ("a", 120.0)];

/// Guards against slow engines with a queue beside fast ones with free slots: of six engines, three take twice as long
/// as the others. At three quarters of their capacity, the slowest answers come earlier than if requests are counted only.
#[test]
fn speeds_differ_by_two() {
    let run = |learns| {
        let mut sim = Sim::new(
            6,
            &THREE,
            learns,
            |engine, _, _| if engine < 3 { 40.0 } else { 80.0 },
        );
        sim.run(60_000);
        let fast: u32 = sim.states[..3].iter().map(|state| state.sent).sum();
        let slow: u32 = sim.states[3..].iter().map(|state| state.sent).sum();
        let late = sim.percentile(0, 0.95);
        (late, f64::from(fast) / f64::from(slow), sim.refused)
    };
    let (late, ratio, refused) = run(true);
    let (late_before, ratio_before, _) = run(false);
    assert_eq!(refused, 0);
    assert!(late < late_before, "{late} ms, {late_before} ms before");
    assert!(
        ratio > 1.8 && ratio > ratio_before,
        "{ratio}, {ratio_before} before"
    );
}

/// Guards against requests that go on to an engine that stalls, and against one that is avoided for good: an engine takes
/// ten times as long for three seconds.
#[test]
fn stalled_engine_avoided_and_tried_again() {
    let is_stalled = |engine: usize, now: u64| engine == 0 && (20_000..23_000).contains(&now);
    let mut sim = Sim::new(6, &THREE, true, |engine, now, _| {
        if is_stalled(engine, now) { 600.0 } else { 60.0 }
    });
    sim.run(21_000);
    let stalled = sim.sent_in(2_000);
    let others = stalled[1..].iter().sum::<u32>() / 5;
    assert!(stalled[0] * 4 < others, "{stalled:?}");
    sim.run(10_000);
    let recovered = sim.sent_in(5_000);
    let others = recovered[1..].iter().sum::<u32>() / 5;
    assert!(recovered[0] * 5 > others * 4, "{recovered:?}");
}

/// Guards against callers of a busy zone that wait while engines of the next zone are idle: one zone has three times the
/// demand of the other, more than its own engines can serve.
#[test]
fn zone_with_three_times_the_demand() {
    let mut sim = Sim::new(6, &[("a", 330.0), ("b", 110.0)], true, |_, _, _| 60.0);
    for engine in &mut sim.engines[3..] {
        engine.entry.zone = "b".to_string();
    }
    sim.run(60_000);
    let [busy, quiet] = [0, 1].map(|instance| sim.percentile(instance, 0.95));
    assert_eq!(sim.refused, 0);
    assert!(busy < 150 && quiet < 150, "{busy} ms, {quiet} ms");
}

/// Guards against an engine that is filled up although it slows down then: one of two engines takes three times as long
/// when more than four of its six slots are taken. Requests are served earlier and fewer are refused than if they are
/// counted only.
#[test]
fn nearly_full_engine_spared() {
    let run = |learns| {
        let mut sim = Sim::new(2, &[("a", 120.0)], learns, |engine, _, in_service| {
            if engine == 0 && in_service > 4 {
                180.0
            } else {
                60.0
            }
        });
        sim.run(60_000);
        (sim.percentile(0, 0.9), sim.refused)
    };
    let (late, refused) = run(true);
    let (late_before, refused_before) = run(false);
    assert!(late * 2 < late_before, "{late} ms, {late_before} ms before");
    assert!(refused * 3 < refused_before, "{refused}, {refused_before} before");
}

/// Guards against a refused request although an engine has room: the fast engine has twice as many requests as slots,
/// and its expected time is still the shorter one.
#[test]
fn full_engine_not_chosen() {
    let engines = fleet(&[Stage::Whole; 2]);
    let mut tracker = LoadTracker::new();
    for (engine, millis) in [(EngineKey(0), 5), (EngineKey(1), 100)] {
        let alone = Occupancy {
            requests: 1,
            slots: 16,
        };
        for _ in 0..10 {
            let took = Duration::from_millis(millis);
            tracker.service_times.on_answer(at(0), engine, took, alone);
        }
    }
    for _ in 0..32 {
        tracker.begin(at(0), EngineKey(0), Duration::ZERO);
    }
    for _ in 0..15 {
        tracker.begin(at(0), EngineKey(1), Duration::ZERO);
    }
    let selector = EngineSelector {
        loads: &tracker,
        now: at(0),
        zone: "a",
        tried: &[],
        memory_tokens: None,
        report_turns: 1,
        tie_breaker: 0,
    };
    assert_eq!(selector.least_loaded(&engines).map(|e| e.key), Some(EngineKey(1)));
}

fn expected(times: &ServiceTimes, now: Time, engine: u32) -> u128 {
    let keys = (0..3).map(EngineKey);
    let usual = times.usual(now, keys).expect("observations");
    let alone = Occupancy {
        requests: 1,
        slots: 1,
    };
    let time = times.expected(now, EngineKey(engine), usual, alone);
    time.as_millis()
}

/// Guards against an engine that is taken for a fast one because nothing is known of it: its key was never seen, or was
/// used by an engine that is gone, or its last answers were long ago.
#[test]
fn unknown_engine_is_usual() {
    let alone = Occupancy {
        requests: 1,
        slots: 1,
    };
    let mut tracker = LoadTracker::new();
    for (engine, millis) in [(0, 20), (1, 80)] {
        let job = tracker.begin(at(0), EngineKey(engine), Duration::ZERO);
        tracker.finish(at(0), job);
        for _ in 0..10 {
            let took = Duration::from_millis(millis);
            tracker
                .service_times
                .on_answer(at(0), EngineKey(engine), took, alone);
        }
    }
    let times = |tracker: &LoadTracker, engine| expected(&tracker.service_times, at(0), engine);
    assert_eq!([0, 1, 2].map(|engine| times(&tracker, engine)), [25, 80, 80]);
    tracker.retain(|key| key != EngineKey(0));
    assert_eq!(times(&tracker, 0), 80);
    let long_after = at(20_000);
    for engine in [0, 2].repeat(10).into_iter().map(EngineKey) {
        let took = Duration::from_millis(50);
        tracker.service_times.on_answer(long_after, engine, took, alone);
    }
    assert!(expected(&tracker.service_times, long_after, 1) <= 62);
    assert_eq!(
        tracker.service_times.usual(at(90_000), (0..3).map(EngineKey)),
        None
    );
}

/// Guards against a line for each request of a slow engine, and against one for a single slow request.
#[test]
fn slow_engine_reported_once() {
    let alone = Occupancy {
        requests: 1,
        slots: 6,
    };
    let mut times = ServiceTimes::default();
    let mut changes = Vec::new();
    let mut answer = |millis: u64, engine: u32, took: u64| {
        let engine = EngineKey(engine);
        times.on_answer(at(millis), engine, Duration::from_millis(took), alone);
        let change = times.slow_change(at(millis), engine, (0..3).map(EngineKey));
        changes.extend(change.map(|change| (millis, change.is_slow)));
    };
    answer(0, 0, 300);
    for round in 1..60 {
        for engine in 0..3 {
            let is_slow = engine == 0 && (20..40).contains(&round);
            answer(round * 100, engine, if is_slow { 180 } else { 60 });
        }
    }
    let slow: Vec<bool> = changes.iter().map(|(_, is_slow)| *is_slow).collect();
    assert_eq!(slow, [true, false], "{changes:?}");
    assert!(
        (2_000..4_000).contains(&changes[0].0) && changes[1].0 >= 4_000,
        "{changes:?}"
    );
}

/// Guards against an engine that seems fast because it answers each request with an error at once: only successful answers
/// of a service without model engines count.
#[actix_web::test]
async fn failures_not_counted() {
    let script = |code: &'static str| {
        move |_, request: &engine::ReceivedRequest| {
            let head = engine::head(request, "content-length: 2\r\n");
            vec![Action::Send(format!("{head}ok").replacen("200", code, 1))]
        }
    };
    for (code, is_counted) in [("200", true), ("404", false), ("500", false)] {
        let upstream = ScriptedEngine::start(script(code)).await;
        let instance = Instance::start(RouteKind::Once, &[(&upstream, Stage::Whole)], |_| {});
        let service = Service {
            name: "chat".to_string(),
            connections: 0,
            engine_spec: None,
            scale: None,
        };
        let routes = vec![route(RouteKind::Once, "/r/")];
        let table = RoutingTable::new(4, CallerLimits::default(), routes, vec![service]);
        instance.shared.publish(|view| view.table = Arc::new(table));
        let answer = instance.get("/r/x", "one", "").await;
        assert_eq!(status(&answer), code, "{answer}");
        let traffic = instance.shared.traffic();
        let usual = traffic
            .load
            .service_times
            .usual(clock::now(), [EngineKey(0)].into_iter());
        assert_eq!(usual.is_some(), is_counted, "{code}");
    }
}
