//! Sharing of engines between workspaces while capacity is short, in a simulated fleet.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::load_message::round_robin;
use sequoiastream_core::relay::workspace_shares::ServiceState;
use sequoiastream_core::relay::workspace_shares::ShareDecision;
use sequoiastream_core::relay::workspace_shares::ShareRequest;
use sequoiastream_core::relay::workspace_shares::SlotCounts;
use sequoiastream_core::relay::workspace_shares::WorkspaceShares;
use sequoiastream_core::relay::workspace_use::MAX_ENTRIES;
use sequoiastream_core::relay::workspace_use::NameHash;
use sequoiastream_core::relay::workspace_use::UseEntry;
use sequoiastream_core::relay::workspace_use::WorkspaceUse;
use sequoiastream_core::time::Time;
use sequoiastream_peer::message::Datagram;

const ENGINES: u32 = 10;

const SLOTS: u32 = 8;

const SERVICE_TIME: Duration = Duration::from_millis(400);

/// Requests per second that the engines serve.
const CAPACITY: f64 = ENGINES as f64 * SLOTS as f64 / 0.4;

/// Engine seconds of a request.
const COST: f64 = 0.4 / SLOTS as f64;

/// Milliseconds between two messages of an instance, and the peers that get each.
const MESSAGE_MILLIS: u64 = 500;
const FANOUT: usize = 3;

/// Time after which a refused caller repeats its request, if callers do that immediately.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// How often such a caller repeats it.
const MAX_RETRIES: u32 = 50;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// The state of a service whose engines have `taken` slots taken, with this number of instances.
fn state(taken: u32, instances: usize) -> ServiceState {
    let mut slots = SlotCounts::default();
    for engine in 0..ENGINES {
        let requests = (taken + ENGINES - 1 - engine) / ENGINES;
        slots.add(Stage::Whole, SLOTS, requests);
    }
    ServiceState { slots, instances }
}

pub(super) fn full(instances: usize) -> ServiceState {
    state(ENGINES * SLOTS, instances)
}

pub(super) fn request(workspace: &str, priority: u8, cost: f64) -> ShareRequest<'_> {
    ShareRequest {
        service: "chat",
        workspace,
        priority,
        cost,
        refusable: true,
        spread: 0.0,
    }
}

pub(super) fn is_refused(decision: ShareDecision) -> bool {
    matches!(decision, ShareDecision::Refused { .. })
}

/// Requests of a workspace.
#[derive(Debug, Clone)]
struct Demand {
    workspace: String,
    priority: u8,
    /// Requests per second.
    rate: f64,
    /// Whether its refused callers repeat their requests immediately.
    repeats: bool,
}

fn demand(workspace: &str, rate: f64) -> Demand {
    Demand {
        workspace: workspace.to_string(),
        priority: 3,
        rate,
        repeats: false,
    }
}

/// What became of the requests of a demand; repetitions don't count.
#[derive(Debug, Clone, Copy, Default)]
struct Outcomes {
    requests: u32,
    served: u32,
    /// Refusals because the workspace was over its share, with those of repetitions.
    over: u32,
}

impl Outcomes {
    fn served_part(self) -> f64 {
        f64::from(self.served) / f64::from(self.requests.max(1))
    }
}

/// A fleet whose instances know all slots, and that refuses requests if no slot is free.
struct SimulatedFleet {
    random: ChaCha8Rng,
    now: Time,
    instances: Vec<WorkspaceShares>,
    silent: bool,
    /// Whether requests may be refused for the share of their workspace.
    refusable: bool,
    turn: u32,
    demands: Vec<Demand>,
    /// Ends of the running requests.
    running: VecDeque<Time>,
    /// Times of repetitions, with the index of the demand and the number of repetitions before.
    repeats: BTreeMap<Time, Vec<(usize, u32)>>,
    outcomes: Vec<Outcomes>,
}

impl SimulatedFleet {
    fn new(instances: usize, demands: Vec<Demand>) -> SimulatedFleet {
        SimulatedFleet {
            random: ChaCha8Rng::seed_from_u64(7),
            now: Time::ZERO,
            instances: vec![WorkspaceShares::new(); instances],
            silent: false,
            refusable: true,
            turn: 0,
            outcomes: vec![Outcomes::default(); demands.len()],
            demands,
            running: VecDeque::new(),
            repeats: BTreeMap::new(),
        }
    }

    /// Runs until `end`, in milliseconds, and returns the outcomes of each demand since the last call.
    fn run(&mut self, end: u64) -> Vec<Outcomes> {
        while self.now < at(end) {
            self.now = self.now + Duration::from_millis(1);
            while self.running.front().is_some_and(|end| *end <= self.now) {
                self.running.pop_front();
            }
            if self.now.as_micros().is_multiple_of(MESSAGE_MILLIS * 1_000) && !self.silent {
                self.exchange_messages();
            }
            for (demand, repeats) in self.repeats.remove(&self.now).unwrap_or_default() {
                self.send(demand, repeats);
            }
            let total: f64 = self.demands.iter().map(|demand| demand.rate).sum();
            if self.random.random_bool(total / 1_000.0) {
                let drawn = self.draw(total);
                self.send(drawn, 0);
            }
        }
        let count = self.demands.len();
        std::mem::replace(&mut self.outcomes, vec![Outcomes::default(); count])
    }

    fn draw(&mut self, total: f64) -> usize {
        let mut left = self.random.random_range(0.0..total);
        let found = self.demands.iter().position(|demand| {
            left -= demand.rate;
            left < 0.0
        });
        found.unwrap_or_default()
    }

    fn send(&mut self, index: usize, repeats: u32) {
        let instance = self.random.random_range(0..self.instances.len());
        let demand = self.demands[index].clone();
        let request = ShareRequest {
            refusable: self.refusable,
            ..request(&demand.workspace, demand.priority, COST)
        };
        let running = u32::try_from(self.running.len()).expect("a small number");
        let state = state(running, self.instances.len());
        let shares = &mut self.instances[instance];
        let outcomes = &mut self.outcomes[index];
        outcomes.requests += u32::from(repeats == 0);
        let is_over = is_refused(shares.admit(self.now, state, &request));
        let is_full = running >= ENGINES * SLOTS;
        match (is_over, is_full) {
            (true, _) => outcomes.over += 1,
            (false, true) => {
                shares.give_back(self.now, &request, self.now);
                shares.on_capacity_refusal(self.now, "chat");
            }
            (false, false) => {
                outcomes.served += 1;
                self.running.push_back(self.now + SERVICE_TIME);
            }
        }
        if (is_over || is_full) && demand.repeats && repeats < MAX_RETRIES {
            let due = self.now + RETRY_DELAY;
            self.repeats.entry(due).or_default().push((index, repeats + 1));
        }
    }

    fn exchange_messages(&mut self) {
        self.turn += 1;
        let addresses: Vec<std::net::SocketAddr> = (0..self.instances.len())
            .map(|index| ([127, 0, 0, 1], u16::try_from(index).expect("a small number")).into())
            .collect();
        for sender in 0..self.instances.len() {
            let Some(message) = self.instances[sender].message(self.now, self.turn) else {
                continue;
            };
            let peers: Vec<_> = addresses
                .iter()
                .filter(|a| usize::from(a.port()) != sender)
                .copied()
                .collect();
            // Instances begin with different peers.
            let turn = self.turn + 7 * u32::try_from(sender).expect("a small number");
            for peer in round_robin(&peers, turn, FANOUT) {
                let peer = &mut self.instances[usize::from(peer.port())];
                peer.on_message(self.now, &format!("i{sender}"), message.clone());
            }
        }
    }
}

/// A workspace with `factor` times an equal part of the capacity, beside 86 others that use `part` of theirs.
fn large_beside_86(factor: f64, part: f64) -> Vec<Demand> {
    let share = CAPACITY / 87.0;
    let others = (0..86).map(|number| demand(&format!("w{number}"), share * part));
    std::iter::once(demand("large", share * factor))
        .chain(others)
        .collect()
}

fn total(outcomes: &[Outcomes]) -> Outcomes {
    outcomes.iter().fold(Outcomes::default(), |sum, next| Outcomes {
        requests: sum.requests + next.requests,
        served: sum.served + next.served,
        over: sum.over + next.over,
    })
}

/// The outcomes of the first demand and of the others in 30 s, and those of the others without shares.
fn outcomes_of(instances: usize, demands: &[Demand]) -> [Outcomes; 3] {
    let [shared, unshared] = [true, false].map(|refusable| {
        let mut fleet = SimulatedFleet::new(instances, demands.to_vec());
        fleet.refusable = refusable;
        fleet.run(5_000);
        fleet.run(35_000)
    });
    [shared[0], total(&shared[1..]), total(&unshared[1..])]
}

/// Guards against one workspace that takes the capacity of all others. Without shares, their requests, which arrive at
/// random, find no free slot more often.
#[test]
fn ten_times_its_share() {
    for instances in [1, 6, 60] {
        let [large, others, unshared] = outcomes_of(instances, &large_beside_86(10.0, 0.9));
        let lost = [others, unshared].map(|outcomes| 1.0 - outcomes.served_part());
        assert!(lost[0] < 0.8 * lost[1], "{instances}: {others:?} {unshared:?}");
        assert!(large.served_part() > 0.2, "{instances}: {large:?}");
    }
}

/// Guards against a workspace that alone sends more than the engines can serve.
#[test]
fn hundred_times_its_share() {
    for instances in [1, 6, 60] {
        let [large, others, unshared] = outcomes_of(instances, &large_beside_86(100.0, 0.7));
        let used = f64::from(large.served + others.served) / 30.0 / CAPACITY;
        assert!(others.served_part() > 0.97, "{instances}: {others:?} {large:?}");
        assert!(unshared.served_part() < 0.6, "{unshared:?}");
        assert!(used > 0.78, "{used} of the capacity is used");
    }
}

/// Guards against refusals while capacity is available: a workspace may use what others don't.
#[test]
fn nothing_refused_with_capacity() {
    let mut fleet = SimulatedFleet::new(6, vec![demand("large", 120.0), demand("small", 1.0)]);
    let outcomes = fleet.run(20_000);
    assert!(
        total(&outcomes).over == 0 && outcomes[0].served_part() == 1.0,
        "{outcomes:?}"
    );
}

/// Guards against a workspace that is refused although it is alone: nobody else wants the capacity.
#[test]
fn alone_over_capacity() {
    let mut fleet = SimulatedFleet::new(6, vec![demand("large", 300.0)]);
    let outcomes = fleet.run(20_000);
    assert_eq!(outcomes[0].over, 0, "{outcomes:?}");
    assert!(outcomes[0].served_part() > 0.6, "{outcomes:?}");
}

/// Guards against capacity that is left unused after a large workspace has left, and against the two others getting
/// less than their equal parts before.
#[test]
fn others_get_what_it_leaves() {
    let demands = vec![demand("large", 300.0), demand("b", 85.0), demand("c", 85.0)];
    let mut fleet = SimulatedFleet::new(6, demands);
    fleet.run(5_000);
    let before = fleet.run(20_000);
    for other in &before[1..] {
        assert!(
            f64::from(other.served) / 15.0 > 0.8 * CAPACITY / 3.0,
            "{before:?}"
        );
    }
    fleet.demands[0].rate = 0.0;
    fleet.run(22_000);
    let after = fleet.run(37_000);
    assert!(total(&after[1..]).served_part() > 0.95, "{after:?}");
}

/// Guards against unfair shares while instances don't hear each other: each takes its own use as that of all.
#[test]
fn peers_silent() {
    let mut fleet = SimulatedFleet::new(6, large_beside_86(100.0, 0.7));
    fleet.silent = true;
    fleet.run(5_000);
    let outcomes = fleet.run(35_000);
    let (large, others) = (outcomes[0], total(&outcomes[1..]));
    assert!(others.served_part() > 0.95, "{others:?} {large:?}");
}

/// Guards against an urgent request of a large workspace that is refused because of the less urgent ones beside it.
#[test]
fn urgent_request_of_large_workspace() {
    let urgent = Demand {
        priority: 0,
        ..demand("large", 20.0)
    };
    let demands = vec![
        demand("large", 200.0),
        urgent,
        demand("b", 60.0),
        demand("c", 60.0),
    ];
    let mut fleet = SimulatedFleet::new(6, demands);
    fleet.run(5_000);
    let outcomes = fleet.run(25_000);
    assert_eq!(outcomes[1].over, 0, "{outcomes:?}");
    assert!(outcomes[1].served_part() > 0.92, "{outcomes:?}");
    assert!(outcomes[0].served_part() < 0.4, "{outcomes:?}");
}

/// Guards against a workspace that gets more, or costs others their parts, by repeating refused requests immediately.
#[test]
fn immediate_retries() {
    let mut demands = large_beside_86(20.0, 0.9);
    demands[0].repeats = true;
    let [large, others, unshared] = outcomes_of(6, &demands);
    assert!(large.over > 5 * large.requests, "{large:?}");
    assert!(others.served_part() > 0.92, "{others:?}");
    assert!(unshared.served_part() < 0.88, "{unshared:?}");
}

/// Guards against a workspace that stays refused for the use through an instance that has ended.
#[test]
fn instance_dies_with_its_part() {
    let mut dead = WorkspaceShares::new();
    let mut shares = WorkspaceShares::new();
    for workspace in ["large", "small"] {
        shares.admit(at(0), full(2), &request(workspace, 3, 0.1));
    }
    dead.admit(at(0), full(2), &request("large", 3, 20.0));
    let message = dead.message(at(0), 0).expect("capacity is short");
    shares.on_message(at(0), "dead", message);
    assert!(is_refused(shares.admit(
        at(300),
        full(2),
        &request("large", 3, 0.1)
    )));
    // It is no longer listed, and its report is outdated.
    assert!(!is_refused(shares.admit(
        at(2_300),
        full(1),
        &request("large", 3, 0.1)
    )));
}

/// Guards against callers that are told to return before the use of their workspace has fallen to its share, or all at
/// the same time.
#[test]
fn delay_until_share() {
    let mut shares = WorkspaceShares::new();
    for (workspace, cost) in [("large", 100.0), ("b", 20.0), ("c", 20.0)] {
        shares.admit(at(0), full(1), &request(workspace, 3, cost));
    }
    let delays = [(0.0, true), (1.0, false)].map(|(spread, expected_first)| {
        let request = ShareRequest {
            spread,
            ..request("large", 3, 1.0)
        };
        let ShareDecision::Refused { delay, is_first } = shares.admit(at(0), full(1), &request) else {
            panic!("the workspace is over its share");
        };
        assert_eq!(is_first, expected_first);
        delay.as_secs_f64()
    });
    // 70 engine seconds per second are used, of which a tenth is kept free; 20 are those of the others.
    let expected = 2.0 * (50.0_f64 / 43.0).ln();
    assert!(
        (delays[0] - expected).abs() < 0.01,
        "{delays:?} instead of {expected}"
    );
    assert!((delays[1] - 1.5 * delays[0]).abs() < 0.001, "{delays:?}");
    assert_eq!([at(0), at(3_000)].map(|now| shares.over_count(now)), [1, 0]);
}

/// Guards against a workspace that pays for requests that were refused: by its share, or for lack of a slot.
#[test]
fn refused_requests_cost_nothing() {
    let mut shares = WorkspaceShares::new();
    shares.admit(at(0), full(1), &request("large", 3, 100.0));
    shares.admit(at(0), full(1), &request("small", 3, 1.0));
    let used = |shares: &WorkspaceShares| shares.message(at(100), 0).expect("capacity is short");
    let before = used(&shares);
    for _ in 0..100 {
        assert!(is_refused(shares.admit(
            at(100),
            full(1),
            &request("large", 3, 5.0)
        )));
    }
    let refused = request("small", 3, 0.5);
    shares.admit(at(50), full(1), &refused);
    shares.give_back(at(100), &refused, at(50));
    assert_eq!(used(&shares), before);
}

/// Guards against a stream that was begun and can't be continued because its workspace is over its share.
#[test]
fn continued_stream_not_refused() {
    let mut shares = WorkspaceShares::new();
    shares.admit(at(0), full(1), &request("large", 3, 100.0));
    shares.admit(at(0), full(1), &request("small", 3, 1.0));
    let continued = ShareRequest {
        refusable: false,
        ..request("large", 3, 1.0)
    };
    assert!(!is_refused(shares.admit(at(0), full(1), &continued)));
    assert!(is_refused(shares.admit(
        at(0),
        full(1),
        &request("large", 3, 1.0)
    )));
}

/// Guards against prefill engines whose slots are taken without capacity being short, because those that generate have
/// free slots, and against requests that wait at one engine and count as taking the slots of another.
#[test]
fn slots_of_both_stages() {
    let counts = |engines: &[(Stage, u32)]| {
        let mut slots = SlotCounts::default();
        for (stage, requests) in engines {
            slots.add(*stage, 10, *requests);
        }
        slots.is_nearly_full()
    };
    assert!(counts(&[
        (Stage::Prefill, 9),
        (Stage::Decode, 0),
        (Stage::Decode, 1)
    ]));
    assert!(counts(&[
        (Stage::Prefill, 0),
        (Stage::Decode, 9),
        (Stage::Whole, 9)
    ]));
    assert!(!counts(&[
        (Stage::Prefill, 0),
        (Stage::Decode, 30),
        (Stage::Whole, 0)
    ]));
    assert!(!counts(&[]));
}

/// Guards against messages that grow with the number of workspaces, or are sent although capacity isn't short.
#[test]
fn message_bounded() {
    let mut shares = WorkspaceShares::new();
    for number in 0..1_000_u32 {
        let name = format!("w{number}");
        let cost = f64::from(number) * 1_000.0;
        shares.admit(at(0), state(0, 1), &request(&name, 255, cost));
    }
    assert_eq!(shares.message(at(0), 0), None);
    shares.admit(at(0), full(1), &request("w0", 255, 0.0));
    let message = shares.message(at(0), 7).expect("capacity is short");
    let largest = UseEntry::new(NameHash::of("w999"), 255, 499_500.0);
    assert_eq!(
        (message.entries.len(), message.entries[0]),
        (MAX_ENTRIES, largest)
    );
    let encoded = postcard::to_allocvec(&Datagram::WorkspaceUse(message)).expect("encoded");
    assert!(encoded.len() < 370, "{}", encoded.len());
    assert_eq!(shares.message(at(1_100), 0), None);
}

/// Guards against reports of services without requests here, which nothing would ever remove.
#[test]
fn report_of_unknown_service_ignored() {
    let mut shares = WorkspaceShares::new();
    let message = WorkspaceUse::new(NameHash::of("other"), vec![]);
    shares.on_message(at(0), "peer", message);
    assert_eq!(format!("{shares:?}"), format!("{:?}", WorkspaceShares::new()));
}
