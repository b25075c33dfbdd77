//! Planning of orders for engines.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiastream_core::relay::scale::EngineCounts;
use sequoiastream_core::relay::scale::EngineGroup;
use sequoiastream_core::relay::scale::Planner;
use sequoiastream_core::relay::scale::ScaleOrder;
use sequoiastream_core::relay::scale::ScalePolicy;
use sequoiastream_core::relay::scale::target_counts;
use sequoiastream_core::time::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

fn policy() -> ScalePolicy {
    ScalePolicy {
        min: 1,
        max: 18,
        boot_time: Duration::from_secs(4),
        spot_price: Some(0.15),
        zone_prices: BTreeMap::from([("a".to_string(), 1.0)]),
    }
}

fn present(spot: u32, reserved: u32) -> BTreeMap<String, EngineCounts> {
    BTreeMap::from([("a".to_string(), EngineCounts { spot, reserved })])
}

fn order(spot: bool, count: u32) -> ScaleOrder {
    let (service, zone) = ("s".to_string(), "a".to_string());
    ScaleOrder {
        group: EngineGroup { service, zone, spot },
        count,
    }
}

fn due(planner: &Planner, now: Time, present: &BTreeMap<String, EngineCounts>) -> Vec<ScaleOrder> {
    planner.due(now, "s", &policy(), present)
}

/// Guards against buying a second set of engines at the full price when no lower price is known.
#[test]
fn wanted_without_price() {
    for spot in [None, Some(1.0), Some(-1.0), Some(f64::NAN)] {
        let unpriced = ScalePolicy {
            spot_price: spot,
            ..policy()
        };
        assert_eq!(target_counts(&unpriced), None, "{spot:?}");
        assert_eq!(Planner::default().due(at(0), "s", &unpriced, &present(0, 9)), []);
    }
    let (spot, reserved) = (17, 1);
    assert_eq!(target_counts(&policy()), Some(EngineCounts { spot, reserved }));
}

/// A zone never has more engines than allowed, and no engines are given back before their replacements have started.
#[test]
fn due_replaces_in_steps() {
    let mut planner = Planner::default();
    assert_eq!(due(&planner, at(0), &present(0, 9)), [order(true, 9)]);
    planner.on_accepted(at(0), order(true, 9));
    assert_eq!(due(&planner, at(4_000), &present(5, 9)), []);
    assert_eq!(due(&planner, at(4_500), &present(9, 9)), [order(false, 1)]);
    planner.on_accepted(at(4_500), order(false, 1));
    assert_eq!(due(&planner, at(5_000), &present(9, 1)), [order(true, 17)]);
    planner.on_accepted(at(5_000), order(true, 17));
    assert_eq!(due(&planner, at(9_500), &present(17, 1)), []);
}

/// All spot engines of a zone are reclaimed and no new ones are available: the order is repeated after a pause, no
/// other engines are bought instead, and an accepted order is not repeated while it is pending.
#[test]
fn due_reclaimed() {
    let mut planner = Planner::default();
    planner.on_accepted(at(0), order(true, 17));
    planner.on_accepted(at(0), order(false, 1));
    assert_eq!(due(&planner, at(5_000), &present(0, 1)), []);
    assert_eq!(due(&planner, at(7_100), &present(0, 1)), [order(true, 17)]);
    planner.on_failed(at(7_100), order(true, 17), true);
    assert_eq!(due(&planner, at(9_000), &present(0, 1)), []);
    assert_eq!(due(&planner, at(9_100), &present(0, 1)), [order(true, 17)]);
    planner.on_accepted(at(9_100), order(true, 17));
    assert_eq!(due(&planner, at(13_000), &present(3, 1)), []);
}

/// Another instance becomes the leader and knows of no earlier orders: engines that are already there are not ordered
/// again.
#[test]
fn due_after_restart() {
    assert_eq!(due(&Planner::default(), at(0), &present(17, 1)), []);
}
