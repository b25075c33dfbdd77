//! Splitting a service into prefill engines and decode engines.

use std::collections::BTreeMap;

use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::stages::limit_prefill_fraction;
use sequoiastream_core::relay::stages::plan_orders;
use sequoiastream_core::relay::streams::SoftwareVersion;

use super::fleet;

/// Prefill engines followed by decode engines, spread over three zones.
fn split(prefill_engines: usize, decode_engines: usize) -> Vec<Engine> {
    let mut stages = vec![Stage::Prefill; prefill_engines];
    stages.extend(vec![Stage::Decode; decode_engines]);
    let mut engines = fleet(&stages);
    for (index, engine) in engines.iter_mut().enumerate() {
        engine.entry.zone = format!("z{}", index % 3);
    }
    engines
}

/// The orders given so far, with those of a new plan added.
fn apply_orders(
    engines: &[Engine],
    before: &BTreeMap<String, Stage>,
    prefill_fraction: f64,
) -> BTreeMap<String, Stage> {
    let mut after = before.clone();
    for order in plan_orders(engines, before, prefill_fraction) {
        let second = after.insert(order.engine, order.stage);
        assert_eq!(second, None, "an engine gets at most one order in its life");
    }
    after
}

#[test]
fn plan_to_split() {
    let cases = [
        ((3, 6), 0.55, 2),
        ((4, 7), 0.55, 2),
        ((5, 4), 0.55, 0),
        ((6, 3), 0.55, 1),
        ((0, 3), 0.9, 1),
    ];
    for ((prefill_engines, decode_engines), fraction, orders) in cases {
        let engines = split(prefill_engines, decode_engines);
        let planned = plan_orders(&engines, &BTreeMap::new(), fraction);
        assert_eq!(planned.len(), orders, "{prefill_engines}:{decode_engines}");
    }
}

/// Guards against ordering more engines of a large fleet to compute prefills than its instances can keep busy.
#[test]
fn readers_limited_by_capacity() {
    let cases = [
        ((40, 60), 120_000, 0.65),
        ((40, 60), 4_000, 0.48),
        ((40, 60), 1_000, 0.4),
        ((80, 20), 1_000, 0.65),
        ((3, 6), 2_000, 0.65),
        ((0, 4), 0, 0.65),
    ];
    for ((prefill_engines, decode_engines), capacity, expected) in cases {
        let engines = split(prefill_engines, decode_engines);
        let limited = limit_prefill_fraction(&engines, &BTreeMap::new(), 0.65, capacity);
        assert_eq!(
            limited, expected,
            "{prefill_engines}:{decode_engines} at {capacity}"
        );
    }
    let engines = split(36, 54);
    let prefill_fraction = limit_prefill_fraction(&engines, &BTreeMap::new(), 0.65, 1_000);
    assert_eq!(
        plan_orders(&engines, &BTreeMap::new(), prefill_fraction),
        Vec::new()
    );
}

#[test]
fn plan_small_services() {
    for engines in [split(0, 1), split(0, 2), split(0, 0), fleet(&[Stage::Whole; 6])] {
        assert_eq!(plan_orders(&engines, &BTreeMap::new(), 0.55), Vec::new());
    }
}

/// Guards against an engine getting two conflicting orders, one of them late. Sequence: the plan alternates while
/// engines join and leave. Cause: the plan considers only stages, not the orders given.
#[test]
fn plan_one_order_each() {
    let engines = split(3, 8);
    let mut ordered = BTreeMap::new();
    for prefill_fraction in [0.55, 0.2, 0.8, 0.0, 0.7] {
        ordered = apply_orders(&engines, &ordered, prefill_fraction);
    }
    assert!(ordered.len() <= engines.len());
}

#[test]
fn plan_counts_orders_on_their_way() {
    let engines = split(3, 6);
    let ordered = apply_orders(&engines, &BTreeMap::new(), 0.55);
    assert_eq!(plan_orders(&engines, &ordered, 0.55), Vec::new());
}

#[test]
fn plan_keeps_small_difference() {
    let engines = split(3, 6);
    let ordered = apply_orders(&engines, &BTreeMap::new(), 0.55);
    let mut remaining = engines.clone();
    remaining.remove(0);
    assert_eq!(
        plan_orders(&remaining, &ordered, 0.55),
        Vec::new(),
        "one lost engine is not worth an order"
    );
}

#[test]
fn plan_spreads_over_zones() {
    let engines = split(0, 9);
    let zones: Vec<String> = plan_orders(&engines, &BTreeMap::new(), 0.34)
        .iter()
        .filter_map(|order| engines.iter().find(|e| e.entry.id == order.engine))
        .map(|e| e.entry.zone.clone())
        .collect();
    let distinct: std::collections::BTreeSet<&String> = zones.iter().collect();
    assert_eq!((zones.len(), distinct.len()), (3, 3));
}

/// Engines of version 1 followed by engines of version 2, as numbers of prefill and decode engines.
fn split_versions(first: (usize, usize), second: (usize, usize)) -> Vec<Engine> {
    let mut stages = vec![Stage::Prefill; first.0];
    stages.extend(vec![Stage::Decode; first.1]);
    stages.extend(vec![Stage::Prefill; second.0]);
    stages.extend(vec![Stage::Decode; second.1]);
    let mut engines = fleet(&stages);
    for (index, engine) in engines.iter_mut().enumerate() {
        let version = if index < first.0 + first.1 { "1" } else { "2" };
        engine.entry.version = version.to_string();
        engine.version = SoftwareVersion::of(version);
    }
    engines
}

/// Number of engines of each of the two versions that generate once the orders have been carried out.
fn generators(engines: &[Engine], ordered: &BTreeMap<String, Stage>) -> (usize, usize) {
    let count = |version: &str| {
        let engines = engines.iter().filter(|e| e.entry.version == version);
        let stages = engines.map(|e| ordered.get(&e.entry.id).unwrap_or(&e.entry.stage));
        stages.filter(|stage| **stage == Stage::Decode).count()
    };
    (count("1"), count("2"))
}

/// Guards against streams that no engine may continue, while engines of their version only compute prefills.
#[test]
fn plan_replaces_lost_decode_engines_of_a_version() {
    let cases = [
        ((3, 0), (0, 4)),
        ((3, 1), (0, 4)),
        ((2, 0), (3, 3)),
        ((1, 0), (2, 4)),
        ((0, 5), (0, 4)),
        ((4, 3), (3, 0)),
    ];
    for (first, second) in cases {
        let engines = split_versions(first, second);
        let mut ordered = BTreeMap::new();
        for _ in 0..2 {
            ordered = apply_orders(&engines, &ordered, 0.65);
        }
        let (old, new) = generators(&engines, &ordered);
        let wanted = |engines: (usize, usize)| (engines.0 + engines.1).min(2);
        assert!(
            old >= wanted(first) && new >= wanted(second),
            "{first:?} and {second:?}: {old} and {new} engines generate"
        );
    }
}
