//! The table of known engines.

use std::time::Duration;

use sequoiastream_core::relay::engines::Departure;
use sequoiastream_core::relay::engines::EngineUpdate;
use sequoiastream_core::relay::engines::Engines;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::REREGISTRATION_GRACE;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::time::Time;

use super::entry;
use super::rev;

fn ready(sequence: u64, created: u64) -> Entry {
    let mut entry = entry("e", Stage::Decode);
    (entry.sequence, entry.create_revision) = (sequence, rev(created));
    entry
}

fn leaving(sequence: u64) -> Entry {
    let mut entry = ready(sequence, 1);
    entry.leaving = true;
    entry
}

fn removal(revision: u64) -> EngineUpdate {
    EngineUpdate::Removed(rev(revision), "e".to_string())
}

fn available_count(engines: &Engines) -> usize {
    engines.available().values().flatten().count()
}

/// Guards against requests going to an engine that stops while they run. Sequence: the engine announces that it leaves,
/// then an earlier write of it that was still on its way replaces that. Cause: the store's revision alone decides which
/// write is the latest.
#[test]
fn leaving_older_word_late() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(5), ready(7, 1)));
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(6), leaving(9)));
    assert_eq!(available_count(&engines), 0);
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(7), ready(8, 1)));
    assert_eq!(available_count(&engines), 0);
}

/// Guards against requests going to an engine that has left. Sequence: its entry is removed, then an earlier write
/// creates it again. Cause: what is known of an engine is discarded together with its entry.
#[test]
fn gone_older_word_late() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(5), ready(7, 1)));
    engines.on_update(Time::ZERO, removal(6));
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(8), ready(7, 8)));
    assert_eq!(available_count(&engines), 0);
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(9), ready(8, 8)));
    assert_eq!(available_count(&engines), 1);
}

#[test]
fn revision_never_back() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(9), leaving(3)));
    assert!(!engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(8), ready(2, 1))));
    assert!(!engines.on_update(Time::ZERO, removal(8)));
    assert_eq!((engines.len(), available_count(&engines)), (1, 0));
}

/// Guards against every request being refused although all engines are running. Sequence: the store is down, all
/// entries expire meanwhile, and the store is back without any. Cause: a missing entry is taken for an engine that is
/// gone.
#[test]
fn lapse_with_outage() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(5), ready(1, 1)));
    let back = Time::from_millis(60_000);
    engines.on_outage_end(back);
    engines.on_snapshot(back, rev(9), Vec::new());
    assert_eq!(available_count(&engines), 1);
    engines.on_tick(back + REREGISTRATION_GRACE - Duration::from_millis(1));
    assert_eq!(available_count(&engines), 1);
    engines.on_tick(back + REREGISTRATION_GRACE);
    assert_eq!(available_count(&engines), 0);
}

#[test]
fn lapse_and_return() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(5), ready(1, 1)));
    engines.on_outage_end(Time::ZERO);
    engines.on_snapshot(Time::ZERO, rev(9), Vec::new());
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(11), ready(2, 11)));
    engines.on_tick(Time::ZERO + REREGISTRATION_GRACE);
    assert_eq!(available_count(&engines), 1);
    assert!(!engines.has_missing());
}

/// Guards against sending requests for too long to an engine that left without an announcement. Sequence: the store is
/// back after an outage, and some time later the engine's entry is removed. Cause: one outage makes everything that
/// follows uncertain.
#[test]
fn gone_long_after_outage() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(5), ready(1, 1)));
    engines.on_outage_end(Time::ZERO);
    assert!(engines.on_update(Time::ZERO + REREGISTRATION_GRACE, removal(6)));
    assert_eq!(available_count(&engines), 0);
}

/// Guards against a request reaching an engine that left three seconds ago. Sequence: an instance learns of a removal
/// more than a second after the store's return, from a peer. Cause: the engine is kept for a fixed time from then on,
/// not from the store's return.
#[test]
fn lapse_heard_late() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(5), ready(1, 1)));
    let back = Time::from_millis(60_000);
    engines.on_outage_end(back);
    engines.on_snapshot(back + Duration::from_millis(1_200), rev(9), Vec::new());
    assert_eq!(available_count(&engines), 1);
    engines.on_tick(back + REREGISTRATION_GRACE);
    assert_eq!(available_count(&engines), 0);
}

/// Guards against taking the known load of an engine for that of another. Sequence: an engine comes back under its id.
/// Cause: the id is the key.
#[test]
fn key_new_with_birth() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(5), ready(1, 1)));
    let before = engines.available()["chat"][0].key;
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(6), ready(2, 1)));
    assert_eq!(engines.available()["chat"][0].key, before);
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(7), ready(3, 7)));
    assert_ne!(engines.available()["chat"][0].key, before);
}

/// Guards against a restarted engine that gets no work: its sequence numbers start again, and its updates would be
/// discarded as late updates from before the restart.
#[test]
fn restarted_counts_anew() {
    let started = |entry: Entry, at| Entry {
        started: Some(at),
        ..entry
    };
    for removed in [false, true] {
        let mut engines = Engines::new();
        engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(5), started(leaving(40), 1)));
        if removed {
            engines.on_update(Time::ZERO, removal(6));
        }
        engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(7), started(ready(1, 5), 2)));
        assert_eq!(available_count(&engines), 1, "removed: {removed}");
        assert!(!engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(8), started(leaving(41), 1))));
        assert_eq!(available_count(&engines), 1, "removed: {removed}");
    }
}

#[test]
fn all_drops_absent() {
    let mut engines = Engines::new();
    engines.on_snapshot(Time::ZERO, rev(5), vec![(rev(4), ready(1, 1))]);
    assert!(engines.on_snapshot(Time::ZERO, rev(9), Vec::new()));
    assert!(engines.is_empty());
}

/// Guards against logs that don't tell an engine that left from one that is kept although its entry has disappeared.
#[test]
fn departures_by_kind() {
    let departed = |engines: &mut Engines| -> Vec<Departure> {
        let departures = engines.take_departures();
        departures.into_iter().map(|(_, departure)| departure).collect()
    };
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(5), ready(1, 1)));
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(6), leaving(2)));
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(7), leaving(3)));
    engines.on_update(Time::ZERO, removal(8));
    assert_eq!(departed(&mut engines), [Departure::Announced, Departure::Removed]);
    engines.on_update(Time::ZERO, EngineUpdate::Entry(rev(9), ready(4, 9)));
    engines.on_outage_end(Time::ZERO);
    engines.on_snapshot(Time::ZERO, rev(10), Vec::new());
    engines.on_snapshot(Time::ZERO, rev(11), Vec::new());
    assert_eq!(departed(&mut engines), [Departure::Missing]);
    engines.on_tick(Time::ZERO + REREGISTRATION_GRACE);
    assert_eq!(departed(&mut engines), [Departure::Overdue]);
}
