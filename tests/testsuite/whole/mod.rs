//! Seeded simulations of the configuration replicators, authorities and claim owners of several instances together.
//!
//! All state machines of an instance are paused, killed and disconnected together, and all instances share one fake
//! key-value service. `docs/design/seeded-runs.md` describes what is checked and what such a run can't show.

mod engines;
mod holders;
mod kv;
mod operators;
mod requests;
mod world;

use crate::claims::client::PrintSeedOnPanic;
use crate::claims::client::seeds_or;
use crate::whole::world::Simulation;

/// Seeds that each run of the test suite uses.
const SEEDS: std::ops::Range<u64> = 0..40;

/// Operators change roles and drain upstreams while whole instances, each with its holder, claim owner and entry, are
/// paused and killed, and while the key-value service is down, slow or loses answers. Failures guarded against: a
/// caller's request runs twice, an engine obeys a former holder, or a drained upstream gets work, because one state
/// machine relies on something that no longer holds for another.
#[test]
fn machines_together() {
    run_seeds(seeds_or(SEEDS));
}

/// A late copy of an order that an engine has carried out arrives when the next order is recorded but has not arrived
/// yet. The copy must change nothing.
#[test]
fn machines_late_copy() {
    let _failing = PrintSeedOnPanic(108);
    Simulation::new(108).run();
}

fn run_seeds(seeds: std::ops::Range<u64>) {
    let mut runs = 0;
    let mut orders = 0;
    let mut changes = 0;
    let mut refused = 0;
    let mut timely = 0;
    let mut disconnected = 0;
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let _failing = PrintSeedOnPanic(seed);
        let mut simulation = Simulation::new(seed);
        simulation.run();
        runs += simulation.runs.len() as u64;
        orders += simulation.applied_orders;
        changes += simulation.kv.accepted.len() as u64;
        refused += simulation.refused_requests;
        timely += simulation.timely_picks;
        disconnected += simulation.disconnected_picks;
    }
    // The test is only meaningful if each of these events happened often.
    let seen = format!(
        "{runs} runs, {orders} orders, {changes} changes, {refused} refused, {timely} timely picks, {disconnected} offline"
    );
    eprintln!("{count} seeds: {seen}");
    assert!(runs > 5 * count, "{seen}");
    assert!(orders > 2 * count, "{seen}");
    assert!(changes > 10 * count, "{seen}");
    assert!(refused > count, "{seen}");
    assert!(timely > 4 * count, "{seen}");
    assert!(10 * disconnected > count, "{seen}");
}
