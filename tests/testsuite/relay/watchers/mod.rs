//! Which instances watch the store, and how old the data of the others may be.
//!
//! The seeded runs draw fleets of 1 to 400 instances in 1 to 12 availability zones. `SEQUOIASTREAM_SEEDS=1000..5000
//! cargo test --release --test testsuite relay::watchers` runs other seeds, as many as wanted.

mod faults;
mod world;

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::relay::watchers::ApplyLimit;
use sequoiastream_core::relay::watchers::Candidate;
use sequoiastream_core::relay::watchers::FleetRank;
use sequoiastream_core::relay::watchers::most_advanced;
use sequoiastream_core::relay::watchers::rank_candidates;
use sequoiastream_core::relay::watchers::watcher_count;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::RESPONSE_TIMEOUT;

use crate::claims::client::PrintSeedOnPanic;
use crate::claims::client::seeds_or;
use crate::relay::rev;
use crate::relay::watchers::world::Timing;
use crate::relay::watchers::world::World;

const SEEDS: std::ops::Range<u64> = 0..16;

/// Time within which a change must be applied, with the strictest configuration.
pub const LIMIT: ApplyLimit = ApplyLimit(Duration::from_secs(2));

pub fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

#[test]
fn count_by_members() {
    assert_eq!(
        [1, 2, 8, 64, 195, 985, 2_000].map(watcher_count),
        [1, 2, 2, 2, 7, 31, 63]
    );
}

fn candidate<'n>(zone: &'n str, capacity: u32, name: &'n str) -> Candidate<'n> {
    Candidate { zone, capacity, name }
}

/// Guards against all watchers being in a single zone that is cut off.
#[test]
fn rank_across_zones() {
    let fleet = vec![
        candidate("a", 100, "a-1"),
        candidate("a", 500, "a-2"),
        candidate("a", 500, "a-3"),
        candidate("b", 100, "b-1"),
        candidate("c", 100, "c-2"),
        candidate("c", 100, "c-1"),
    ];
    let ranked = rank_candidates(fleet);
    let names: Vec<&str> = ranked.iter().map(|c| c.name).collect();
    assert_eq!(names, ["a-2", "b-1", "c-1", "a-3", "c-2", "a-1"]);
    assert_eq!(
        FleetRank::among(&ranked, "c-2"),
        FleetRank { rank: 4, members: 6 }
    );
}

/// Guards against no instance watching when instances disagree on who is alive.
#[test]
fn seat_alone_watches() {
    assert!(FleetRank::default().is_watcher());
    for members in 1..400 {
        let watchers = (0..members).filter(|rank| FleetRank { rank: *rank, members }.is_watcher());
        assert_eq!(watchers.count(), watcher_count(members));
    }
}

/// Guards against a change being applied on the last of three hundred instances only after 0.7 s. Sequence: all
/// instances without a watch learn from the same two dozen peers which of them have the change, and all ask the same
/// one of them.
#[test]
fn furthest_one_of_several() {
    let known = [7, 9, 3, 9, 9].map(rev);
    let asked: Vec<usize> = (0..6)
        .filter_map(|draw| most_advanced(&known, rev(8), draw))
        .collect();
    assert_eq!(asked, [1, 3, 4, 1, 3, 4]);
    assert_eq!(most_advanced(&known, rev(9), 0), None);
    assert_eq!(most_advanced(&[], rev(0), 0), None);
}

/// Guards against requests going to engines that have left, by routes that are no longer in force. Sequence: any mix of
/// watchers that are killed, that are paused and resume with old data, whose calls the store refuses, or that get no
/// answer on a connection that looks alive; faults of half of the fleet at once; zones cut off from each other.
#[test]
fn lag_within_bound() {
    for seed in seeds_or(SEEDS) {
        let _failing = PrintSeedOnPanic(seed);
        World::new(seed, Timing::Lockstep).run(30);
    }
}

/// Guards against the same failure when messages take time. Sequence: all watchers lose the store, the others keep
/// reporting a recent confirmation to each other, and none calls the store itself.
#[test]
fn lag_within_bound_delayed() {
    for seed in seeds_or(SEEDS) {
        let _failing = PrintSeedOnPanic(seed);
        World::new(seed, Timing::Delayed).run(30);
    }
}

/// The longest pause, a call that is lost before it and one after it end within the limit, whatever the limit is, but for
/// those that are shorter than a call may take.
#[test]
fn backoff_within_limit() {
    for (millis, longest) in [
        (500, 150),
        (1_000, 200),
        (2_000, 1_100),
        (3_000, 2_000),
        (9_000, 3_000),
    ] {
        let limit = ApplyLimit::within(Duration::from_millis(millis));
        let rank = FleetRank { rank: 5, members: 8 };
        let pause = limit.backoff(rank, 20, RESPONSE_TIMEOUT, 1.0);
        assert_eq!(pause.as_micros().div_ceil(1_000), longest);
        assert!(limit.0 < RESPONSE_TIMEOUT || RESPONSE_TIMEOUT + pause < limit.0);
    }
}

/// Guards against instances that go on with old data although they reach the store again. Sequence: no instance reaches
/// the store for so long that the pauses between their calls become as long as they get; as it returns, the watchers
/// stop. The others must call it themselves in time.
#[test]
fn lag_after_outage() {
    for seed in seeds_or(SEEDS) {
        let _failing = PrintSeedOnPanic(seed);
        let random = ChaCha8Rng::seed_from_u64(seed);
        // Two watchers and one other instance: the more there are, the sooner one of them calls.
        World::of(random, Timing::Delayed, 3, 1).run_outages(20);
    }
}

/// Guards against data that counts as confirmed after a change that it lacks. Sequence: the watchers are paused while the
/// store's answer waits for them, tell the others of it when they resume, and stop. The others must call the store in
/// time for the change that followed.
#[test]
fn lag_after_late_answer() {
    for seed in seeds_or(SEEDS) {
        let _failing = PrintSeedOnPanic(seed);
        let random = ChaCha8Rng::seed_from_u64(seed);
        World::of(random, Timing::Delayed, 3, 1).run_late_answers(10);
    }
}
