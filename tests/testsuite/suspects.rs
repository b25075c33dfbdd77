//! Records of requests that crash engines, tested in seeded simulations of several instances.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sequoiastream_core::name::Name;
use sequoiastream_core::poison::CrashRecords;
use sequoiastream_core::poison::CrashReport;
use sequoiastream_core::poison::Evidence;
use sequoiastream_core::poison::Fingerprint;
use sequoiastream_core::poison::HoldRequest;
use sequoiastream_core::poison::Incident;
use sequoiastream_core::poison::MAX_RECORDS;
use sequoiastream_core::poison::Suspicion;
use sequoiastream_core::time::Time;
use uuid::Uuid;

const INSTANCES: usize = 3;
const ENGINES: usize = 9;
const INNOCENT: usize = 12;
const POISONOUS: usize = 2;
const LENGTH: u32 = 8;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn engine(index: usize) -> Name {
    name(&format!("e{index}"))
}

fn fingerprint(index: usize) -> Fingerprint {
    Fingerprint::of(&name("p"), "m", &index.to_string(), 8)
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Waiting,
    Running {
        engine: usize,
        attempt: Uuid,
        hold_request: Option<HoldRequest>,
    },
    Broken {
        attempt: Uuid,
        hold_request: Option<HoldRequest>,
    },
    Whole,
    Refused,
}

#[derive(Debug)]
struct Request {
    instance: usize,
    fingerprint: Fingerprint,
    crash_offset: Option<u32>,
    offset: u32,
    phase: Phase,
    retries: u32,
}

/// Simulated instances, engines and requests; messages between instances arrive immediately.
struct Fleet {
    rng: StdRng,
    now: Time,
    records: Vec<CrashRecords>,
    alive: Vec<bool>,
    requests: Vec<Request>,
    lost: BTreeMap<Fingerprint, u32>,
    last_id: u128,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut rng = StdRng::seed_from_u64(seed);
        let requests = (0..INNOCENT + POISONOUS).map(|index| Request {
            instance: rng.random_range(0..INSTANCES),
            fingerprint: fingerprint(index),
            crash_offset: (index >= INNOCENT).then(|| rng.random_range(0..LENGTH)),
            offset: 0,
            phase: Phase::Waiting,
            retries: 0,
        });
        Fleet {
            requests: requests.collect(),
            rng,
            now: Time::ZERO,
            records: (0..INSTANCES)
                .map(|i| CrashRecords::new(name(&format!("i{i}"))))
                .collect(),
            alive: vec![true; ENGINES],
            lost: BTreeMap::new(),
            last_id: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(1);
        let index = self.rng.random_range(0..self.requests.len());
        match self.requests[index].phase.clone() {
            Phase::Waiting => self.start(index),
            Phase::Running {
                engine,
                attempt,
                hold_request,
            } => self.run(index, engine, attempt, hold_request),
            Phase::Broken {
                attempt,
                hold_request,
            } => self.handle_broken(index, attempt, hold_request),
            Phase::Refused if self.requests[index].retries < 3 => self.retry(index),
            Phase::Refused | Phase::Whole => {}
        }
    }

    /// The caller sends its request again, through another instance.
    fn retry(&mut self, index: usize) {
        let instance = self.rng.random_range(0..INSTANCES);
        let request = &mut self.requests[index];
        request.instance = instance;
        request.offset = 0;
        request.phase = Phase::Waiting;
        request.retries += 1;
    }

    fn start(&mut self, index: usize) {
        let (instance, fingerprint) = (self.requests[index].instance, self.requests[index].fingerprint);
        match self.records[instance].suspicion(self.now, fingerprint) {
            Suspicion::Pending => {}
            Suspicion::Confirmed => self.requests[index].phase = Phase::Refused,
            Suspicion::Unsuspected => {
                let held = self.records[instance].held_engines(self.now);
                let free = |e: &usize| self.alive[*e] && !held.contains(&engine(*e));
                let engines: Vec<usize> = (0..ENGINES).filter(free).collect();
                if let Some(chosen) = self.choose(&engines) {
                    self.begin(index, chosen, None);
                }
            }
            Suspicion::Suspect => self.hold(index),
        }
    }

    fn choose(&mut self, engines: &[usize]) -> Option<usize> {
        match engines.is_empty() {
            true => None,
            false => Some(engines[self.rng.random_range(0..engines.len())]),
        }
    }

    fn hold(&mut self, index: usize) {
        let engines: Vec<usize> = (0..ENGINES).filter(|e| self.alive[*e]).collect();
        let Some(chosen) = self.choose(&engines) else {
            return;
        };
        let instance = self.requests[index].instance;
        let hold_request = HoldRequest {
            fingerprint: self.requests[index].fingerprint,
            engine: engine(chosen),
            from: name(&format!("i{instance}")),
            millis: 1_000_000,
        };
        if !self.records[instance].reserve(self.now, &hold_request) {
            return;
        }
        let now = self.now;
        let others = (0..INSTANCES).filter(|i| *i != instance);
        let mut agreed = true;
        for other in others {
            agreed &= self.records[other].on_hold_request(now, &hold_request);
        }
        match agreed && self.records[instance].grant(&hold_request) {
            true => {
                self.move_attempts(&hold_request.engine);
                self.begin(index, chosen, Some(hold_request));
            }
            false => self.release(&hold_request),
        }
    }

    fn move_attempts(&mut self, engine: &Name) {
        for instance in 0..INSTANCES {
            let moving = self.records[instance].attempts_to_move(engine);
            self.stop(instance, &moving);
        }
    }

    fn release(&mut self, hold_request: &HoldRequest) {
        for records in &mut self.records {
            records.release(hold_request);
        }
    }

    fn begin(&mut self, index: usize, engine_index: usize, hold_request: Option<HoldRequest>) {
        self.last_id += 1;
        let attempt = Uuid::from_u128(self.last_id);
        let request = &mut self.requests[index];
        let records = &mut self.records[request.instance];
        let begun = records.begin(self.now, attempt, request.fingerprint, &engine(engine_index));
        assert!(begun, "the records contradict themselves");
        records.record_incarnation(attempt, Uuid::from_u128(engine_index as u128 + 1));
        request.phase = Phase::Running {
            engine: engine_index,
            attempt,
            hold_request,
        };
    }

    fn run(&mut self, index: usize, engine_index: usize, attempt: Uuid, hold_request: Option<HoldRequest>) {
        let request = &mut self.requests[index];
        if request.crash_offset == Some(request.offset) {
            return self.crash(index, engine_index);
        }
        request.offset += 1;
        if request.offset < LENGTH {
            return;
        }
        request.phase = Phase::Whole;
        let (instance, fingerprint) = (request.instance, request.fingerprint);
        self.records[instance].end(attempt);
        if let Some(hold_request) = hold_request {
            for records in &mut self.records {
                records.clear(fingerprint);
            }
            self.confirm_suspects(instance);
            self.release(&hold_request);
        }
    }

    fn crash(&mut self, index: usize, engine_index: usize) {
        self.alive[engine_index] = false;
        *self.lost.entry(self.requests[index].fingerprint).or_default() += 1;
        for request in &mut self.requests {
            if let Phase::Running {
                engine,
                attempt,
                hold_request,
            } = request.phase.clone()
                && engine == engine_index
            {
                request.phase = Phase::Broken {
                    attempt,
                    hold_request,
                };
            }
        }
    }

    /// Handles a broken stream as an instance does: records the crash, reports it, judges it and reports the verdict.
    fn handle_broken(&mut self, index: usize, attempt: Uuid, hold_request: Option<HoldRequest>) {
        let instance = self.requests[index].instance;
        let report = self.records[instance]
            .crash_report(attempt, Evidence::Crashed)
            .expect("it runs");
        let mut ran = report.ran.clone();
        self.deliver_report(instance, &report);
        for other in (0..INSTANCES).filter(|i| *i != instance) {
            ran.extend(self.records[other].requests_on(&report.incident));
            self.deliver_report(other, &report);
        }
        self.deliver_report(instance, &CrashReport { ran, ..report });
        self.confirm_suspects(instance);
        self.records[instance].end(attempt);
        if let Some(hold_request) = hold_request {
            self.release(&hold_request);
        }
        let request = &mut self.requests[index];
        request.phase = Phase::Waiting;
    }

    fn deliver_report(&mut self, instance: usize, report: &CrashReport) {
        let stop = self.records[instance].on_crash_report(self.now, report);
        self.stop(instance, &stop);
    }

    fn stop(&mut self, instance: usize, stop: &[Uuid]) {
        for request in &mut self.requests {
            if let Phase::Running {
                attempt,
                hold_request,
                ..
            } = request.phase.clone()
                && stop.contains(&attempt)
            {
                assert_eq!(hold_request, None, "a suspect with a hold is stopped");
                self.records[instance].end(attempt);
                request.phase = Phase::Waiting;
            }
        }
    }

    fn confirm_suspects(&mut self, instance: usize) {
        for fingerprint in self.records[instance].confirm_suspects(self.now) {
            for records in &mut self.records {
                records.confirm(self.now, fingerprint);
            }
        }
    }

    fn check(&self, seed: u64) {
        for (fingerprint, lost) in &self.lost {
            assert!(*lost <= 2, "seed {seed}: {lost} engines lost to {fingerprint}");
        }
        for records in &self.records {
            for request in self.requests.iter().filter(|r| r.crash_offset.is_none()) {
                let standing = records.suspicion(self.now, request.fingerprint);
                assert_ne!(
                    standing,
                    Suspicion::Confirmed,
                    "seed {seed}: an innocent is convicted"
                );
            }
        }
        let mut holders = BTreeSet::new();
        for request in &self.requests {
            if let Phase::Running {
                engine,
                hold_request: Some(_),
                ..
            } = &request.phase
            {
                assert!(holders.insert(*engine), "seed {seed}: two suspects on one engine");
            }
        }
    }
}

/// Two requests that crash their engines at any point, twelve that don't, three instances, and callers that retry
/// through any of them: no request crashes more than two engines, no innocent request is convicted, and nearly all
/// innocent ones complete.
#[test]
fn convict_seeded_runs() {
    let (mut whole, mut convicted) = (0, 0);
    for seed in 0..200 {
        let mut fleet = Fleet::new(seed);
        for _ in 0..6_000 {
            fleet.step();
            fleet.check(seed);
        }
        let innocent = fleet.requests.iter().filter(|r| r.crash_offset.is_none());
        whole += innocent.filter(|r| r.phase == Phase::Whole).count();
        let poisonous = fleet.requests.iter().filter(|r| r.crash_offset.is_some());
        convicted += poisonous.filter(|r| r.phase == Phase::Refused).count();
    }
    assert!(whole > INNOCENT * 198, "only {whole} innocents ended whole");
    assert!(convicted > POISONOUS * 190, "only {convicted} convicted");
}

fn report(number: u128, evidence: Evidence, ran: &[usize]) -> CrashReport {
    CrashReport {
        incident: Incident {
            engine: engine(0),
            incarnation: Uuid::from_u128(number),
        },
        evidence,
        ran: ran.iter().map(|i| fingerprint(*i)).collect(),
    }
}

/// Guards against silence that counts as a crash: an innocent request would be refused permanently because the
/// network failed twice while it ran.
#[test]
fn judge_silent_engines() {
    let mut records = CrashRecords::new(name("i0"));
    for number in 1..4 {
        records.on_crash_report(Time::ZERO, &report(number, Evidence::Silent, &[0]));
    }
    assert!(records.confirm_suspects(Time::ZERO).is_empty());
    assert_eq!(records.suspicion(Time::ZERO, fingerprint(0)), Suspicion::Pending);
    let later = Time::from_millis(11 * 60 * 1_000);
    assert_eq!(records.suspicion(later, fingerprint(0)), Suspicion::Unsuspected);
}

/// Guards against two crashes that count as proof: a request that runs next to one poisonous request, then next to
/// another, would be refused along with the requests that crashed both its engines.
#[test]
fn judge_beside_another() {
    let mut records = CrashRecords::new(name("i0"));
    let (neighbour, first, second) = (0, 1, 2);
    records.on_crash_report(Time::ZERO, &report(1, Evidence::Crashed, &[neighbour, first]));
    let later = Time::from_millis(5);
    records.on_crash_report(later, &report(2, Evidence::Crashed, &[neighbour, second]));
    assert!(records.confirm_suspects(later).is_empty());
    assert_eq!(
        records.suspicion(later, fingerprint(neighbour)),
        Suspicion::Pending
    );
    let last = Time::from_millis(9);
    records.on_crash_report(last, &report(3, Evidence::Crashed, &[second]));
    assert_eq!(records.confirm_suspects(last), vec![fingerprint(second)]);
    assert_eq!(
        records.suspicion(last, fingerprint(neighbour)),
        Suspicion::Suspect
    );
}

#[test]
fn records_bounded() {
    let mut records = CrashRecords::new(name("i0"));
    for number in 0..MAX_RECORDS + 200 {
        let time = Time::from_millis(number as u64);
        records.on_crash_report(time, &report(number as u128, Evidence::Crashed, &[number]));
        records.confirm(time, fingerprint(number + 1_000_000));
    }
    assert!(
        records.record_count() <= 2 * MAX_RECORDS,
        "{}",
        records.record_count()
    );
}

/// A caller retries its request through another instance while the first attempt still runs, and it would crash a
/// second engine there, and a third. The second attempt must stop when the crash of the first one is reported.
#[test]
fn note_stops_elsewhere() {
    let mut records = CrashRecords::new(name("i0"));
    let attempt = Uuid::from_u128(5);
    assert!(records.begin(Time::ZERO, attempt, fingerprint(0), &engine(1)));
    let stop = records.on_crash_report(Time::ZERO, &report(1, Evidence::Crashed, &[0]));
    assert_eq!(stop, vec![attempt]);
    records.end(attempt);
    assert!(
        !records.begin(Time::ZERO, Uuid::from_u128(6), fingerprint(0), &engine(1)),
        "a suspect runs without a hold"
    );
}

/// Two instances request a hold on the same engine, or for the same suspect, at the same time: exactly one gets it.
#[test]
fn ask_at_once() {
    let hold_request = |fingerprint_index: usize, engine_index: usize, from: &str| HoldRequest {
        fingerprint: fingerprint(fingerprint_index),
        engine: engine(engine_index),
        from: name(from),
        millis: 1_000,
    };
    let cases = [
        ("same engine", hold_request(1, 0, "i0"), hold_request(2, 0, "i1")),
        ("same suspect", hold_request(1, 0, "i0"), hold_request(1, 1, "i1")),
    ];
    for (case, first, second) in cases {
        let (mut here, mut there) = (CrashRecords::new(name("i0")), CrashRecords::new(name("i1")));
        assert!(here.reserve(Time::ZERO, &first) && there.reserve(Time::ZERO, &second));
        let first_agreed = there.on_hold_request(Time::ZERO, &first);
        let second_agreed = here.on_hold_request(Time::ZERO, &second);
        let first_has = first_agreed && here.grant(&first);
        let second_has = second_agreed && there.grant(&second);
        assert!(first_has != second_has, "{case}: {first_has} {second_has}");
    }
}
