//! What each kind of request and each size of prompt is owed while a service can't serve all.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::relay::fairness::FairAdmission;
use sequoiastream_core::relay::fairness::KIND_FLOOR;
use sequoiastream_core::relay::fairness::PromptTokens;
use sequoiastream_core::relay::fairness::RequestGroups;
use sequoiastream_core::relay::fairness::SIZE_FLOOR;
use sequoiastream_core::relay::fairness::WORK_FLOOR;
use sequoiastream_core::time::Time;

/// Number of requests of a run.
const REQUESTS: u64 = 40_000;

/// Number of requests of a kind before what it got is compared with what it is owed: deficits are counted in whole requests.
const MIN_ASKED: f64 = 400.0;

/// Fraction of what a group is owed that it must get: rates are means over the last requests.
const TOLERANCE: f64 = 0.85;

/// Number of acceptances by which a group may lag besides: it is overdue from a deficit of one on, after a surplus of one.
const MAX_LAG: f64 = 2.0;

/// Requests of one kind and work, and how a service whose capacity is short treats them.
#[derive(Debug, Clone, Copy)]
struct Demand {
    groups: RequestGroups,
    /// How often it is asked for, relative to the others.
    weight: f64,
    /// Chance that the service's limits let a request pass.
    passes: f64,
    /// Chance that there is room for an overdue one.
    room: f64,
}

/// Requests, and how many were accepted.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    asked: f64,
    accepted: f64,
    overdue: f64,
}

impl Count {
    fn rate(self) -> f64 {
        self.accepted / self.asked.max(1.0)
    }

    /// Whether it got about this fraction of the acceptance rate of `all`.
    fn has(self, floor: f64, all: Count) -> bool {
        self.accepted + MAX_LAG >= TOLERANCE * floor * all.rate() * self.asked
    }

    fn plus(self, other: Count) -> Count {
        Count {
            asked: self.asked + other.asked,
            accepted: self.accepted + other.accepted,
            overdue: self.overdue + other.overdue,
        }
    }
}

/// Sends requests as drawn, and returns what those of each demand got.
fn run(random: &mut ChaCha8Rng, demands: &[Demand]) -> Vec<Count> {
    let mut fairness = FairAdmission::new();
    let mut counts = vec![Count::default(); demands.len()];
    let total: f64 = demands.iter().map(|demand| demand.weight).sum();
    for number in 0..REQUESTS {
        let mut drawn = random.random::<f64>() * total;
        let index = demands.iter().position(|demand| {
            drawn -= demand.weight;
            drawn <= 0.0
        });
        let index = index.unwrap_or_default();
        let demand = demands[index];
        let is_overdue = fairness.overdue(demand.groups) > 0.0;
        let chance = if is_overdue {
            demand.room.max(demand.passes)
        } else {
            demand.passes
        };
        let is_accepted = random.random_bool(chance);
        fairness.on_decision(Time::from_millis(number), demand.groups, is_accepted);
        counts[index] = counts[index].plus(Count {
            asked: 1.0,
            accepted: f64::from(u8::from(is_accepted)),
            overdue: f64::from(u8::from(is_overdue)),
        });
    }
    counts
}

fn groups(route: &str, size: u32, work: u32) -> RequestGroups {
    RequestGroups::new("chat", route, PromptTokens { size, work })
}

fn demand(route: &str, tokens: u32, weight: f64, passes: f64) -> Demand {
    Demand {
        groups: groups(route, tokens, tokens),
        weight,
        passes,
        room: 0.7,
    }
}

/// Guards against a kind of request that is never accepted, however rare it is, while others of its service are.
#[test]
fn kind_owed_its_floor() {
    for seed in 0..50 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let demands: Vec<Demand> = (0..random.random_range(2..6))
            .map(|kind| {
                let weight = 10.0_f64.powf(random.random_range(-1.5..1.0));
                let passes = [0.0, 0.0, 0.02, 0.3, 0.9][random.random_range(0..5)];
                demand(&format!("r{kind}"), 1_000, weight, passes)
            })
            .collect();
        let counts = run(&mut random, &demands);
        let all = counts
            .iter()
            .fold(Count::default(), |all, count| all.plus(*count));
        for count in counts.iter().filter(|count| count.asked >= MIN_ASKED) {
            assert!(count.has(KIND_FLOOR, all), "seed {seed}: {count:?} of {all:?}");
        }
    }
}

/// Runs prompts of one kind that pass the less often the larger their class is, and checks that each class gets this
/// fraction of what the kind gets.
fn check_classes<G>(floor: f64, groups: G)
where
    G: Fn(u32) -> RequestGroups,
{
    for seed in 0..50 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let demands: Vec<Demand> = (0..5)
            .map(|class| Demand {
                groups: groups(1_000 << class),
                weight: 0.5_f64.powi(class),
                passes: 0.6 * random.random_range(0.0..0.7_f64).powi(class),
                room: 0.7,
            })
            .collect();
        let counts = run(&mut random, &demands);
        let all = counts
            .iter()
            .fold(Count::default(), |all, count| all.plus(*count));
        for count in counts.iter().filter(|count| count.asked >= MIN_ASKED) {
            assert!(count.has(floor, all), "seed {seed}: {count:?} of {all:?}");
        }
    }
}

/// Guards against the largest prompts never being accepted while smaller ones of their kind are.
#[test]
fn size_owed_its_floor() {
    check_classes(SIZE_FLOOR, |size| groups("r", size, 500));
}

/// Guards against prompts that no engine has in its cache never being accepted, so that no engine ever has them.
#[test]
fn work_owed_its_floor() {
    check_classes(WORK_FLOOR, |work| groups("r", 20_000, work));
}

/// Guards against requests that are accepted beyond the limits although they are refused no more often than the others.
#[test]
fn overdue_rare_among_equals() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let passes = random.random_range(0.05..1.0);
        let demands = [
            demand("a", 500, 5.0, passes),
            demand("a", 9_000, 1.0, passes),
            demand("b", 500, 1.0, passes),
        ];
        for count in run(&mut random, &demands) {
            assert!(
                count.overdue < 0.03 * count.asked,
                "seed {seed}, {passes}: {count:?}"
            );
        }
    }
}

/// Guards against state that grows with every route that ever was.
#[test]
fn groups_bounded() {
    let mut fairness = FairAdmission::new();
    for number in 0..5_000 {
        let groups = groups(&format!("r{number}"), 100, 100);
        fairness.on_decision(Time::from_millis(number), groups, false);
    }
    assert_eq!(fairness.len(), 4_096);
}
