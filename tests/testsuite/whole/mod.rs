//! One seeded run over the keepers, authorities and claims' owners of several instances together.
//!
//! All machines of an instance share its pauses, kills and cuts, and one fake key-value service. What is
//! checked, and what such a run can't show, stands in `docs/design/seeded-runs.md`.

mod engines;
mod holders;
mod kv;
mod operators;
mod requests;
mod world;

use crate::claims::client::Failing;
use crate::claims::client::seeds_or;
use crate::whole::world::Simulation;

/// Seeds that each run of the test suite takes.
const SEEDS: std::ops::Range<u64> = 0..40;

/// Operators change roles and drain while holders, owners and entries are paused and killed as whole instances
/// and the key-value service is out, slow or loses answers. A caller's order could run twice, an engine obey a
/// former holder, or a drained engine get work, where one machine relies on what another no longer holds.
#[test]
fn machines_together() {
    run_seeds(seeds_or(SEEDS));
}

/// A late copy of an order that an engine has carried out arrives while the next one is recorded and not there yet.
/// It must change nothing.
#[test]
fn machines_late_copy() {
    let _failing = Failing(108);
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
        let _failing = Failing(seed);
        let mut simulation = Simulation::new(seed);
        simulation.run();
        runs += simulation.runs.len() as u64;
        orders += simulation.applied_orders;
        changes += simulation.kv.accepted.len() as u64;
        refused += simulation.refused_requests;
        timely += simulation.timely_picks;
        disconnected += simulation.disconnected_picks;
    }
    // The run means something only if each of these happened often.
    let seen = format!(
        "{runs} runs, {orders} orders, {changes} changes, {refused} refused, {timely} picks in time, {disconnected} cut off"
    );
    eprintln!("{count} seeds: {seen}");
    assert!(runs > 5 * count, "{seen}");
    assert!(orders > 2 * count, "{seen}");
    assert!(changes > 10 * count, "{seen}");
    assert!(refused > count, "{seen}");
    assert!(timely > 4 * count, "{seen}");
    assert!(10 * disconnected > count, "{seen}");
}
