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

use crate::claims::client::PrintSeedOnPanic;
use crate::claims::client::seeds_or;
use crate::whole::world::World;

/// Seeds that each run of the test suite takes.
const SEEDS: std::ops::Range<u64> = 0..40;

/// Operators change roles and drain while holders, owners and entries are paused and killed as whole instances
/// and the key-value service is out, slow or loses answers. A caller's order could run twice, an engine obey a
/// former holder, or a drained engine get work, where one machine relies on what another no longer holds.
#[test]
fn machines_together() {
    together(seeds_or(SEEDS));
}

/// A late copy of an order that an engine has carried out arrives while the next one is recorded and not there yet.
/// It must change nothing.
#[test]
fn machines_late_copy() {
    let _failing = PrintSeedOnPanic(108);
    World::new(108).run();
}

fn together(seeds: std::ops::Range<u64>) {
    let mut runs = 0;
    let mut orders = 0;
    let mut changes = 0;
    let mut refused = 0;
    let mut timely = 0;
    let mut by_peers = 0;
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let _failing = PrintSeedOnPanic(seed);
        let mut world = World::new(seed);
        world.run();
        runs += world.runs.len() as u64;
        orders += world.applied;
        changes += world.kv.accepted.len() as u64;
        refused += world.refused;
        timely += world.timely;
        by_peers += world.by_peers;
    }
    // The run means something only if each of these happened often.
    let seen = format!(
        "{runs} runs, {orders} orders, {changes} changes, {refused} refused, {timely} picks in time, {by_peers} cut off"
    );
    eprintln!("{count} seeds: {seen}");
    assert!(runs > 5 * count, "{seen}");
    assert!(orders > 2 * count, "{seen}");
    assert!(changes > 10 * count, "{seen}");
    assert!(refused > count, "{seen}");
    assert!(timely > 4 * count, "{seen}");
    assert!(10 * by_peers > count, "{seen}");
}
