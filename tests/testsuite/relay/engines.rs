//! Knowing the engines.

use std::time::Duration;

use sequoiastream_core::relay::engines::EngineUpdate;
use sequoiastream_core::relay::engines::Engines;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::REREGISTRATION_GRACE;
use sequoiastream_core::relay::engines::STORE_FAILURE_WINDOW;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::time::Time;

use super::entry;

fn ready(sequence: u64, created: u64) -> Entry {
    let mut entry = entry("e", Stage::Decode);
    (entry.sequence, entry.create_revision) = (sequence, created);
    entry
}

fn leaving(sequence: u64) -> Entry {
    let mut entry = ready(sequence, 1);
    entry.leaving = true;
    entry
}

fn removal(revision: u64) -> EngineUpdate {
    EngineUpdate::Removed(revision, "e".to_string())
}

fn available_count(engines: &Engines) -> usize {
    engines.available().values().flatten().count()
}

/// Work goes to an engine that ends under it. Order: the engine says that it leaves, then an earlier word of it, which
/// was on its way, is written over that. Cause: the store's revision alone decides which word is the last.
#[test]
fn leaving_older_word_late() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(5, ready(7, 1)));
    engines.on_update(Time::ZERO, EngineUpdate::Entry(6, leaving(9)));
    assert_eq!(available_count(&engines), 0);
    engines.on_update(Time::ZERO, EngineUpdate::Entry(7, ready(8, 1)));
    assert_eq!(available_count(&engines), 0);
}

/// Work goes to an engine that has left. Order: its entry is removed, then a word from before creates it anew. Cause:
/// what is known of an engine is forgotten with its entry.
#[test]
fn gone_older_word_late() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(5, ready(7, 1)));
    engines.on_update(Time::ZERO, removal(6));
    engines.on_update(Time::ZERO, EngineUpdate::Entry(8, ready(7, 8)));
    assert_eq!(available_count(&engines), 0);
    engines.on_update(Time::ZERO, EngineUpdate::Entry(9, ready(8, 8)));
    assert_eq!(available_count(&engines), 1);
}

#[test]
fn revision_never_back() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(9, leaving(3)));
    assert!(!engines.on_update(Time::ZERO, EngineUpdate::Entry(8, ready(2, 1))));
    assert!(!engines.on_update(Time::ZERO, removal(8)));
    assert_eq!((engines.len(), available_count(&engines)), (1, 0));
}

/// Everybody is refused though all engines live. Order: the store is away, all entries lapse meanwhile, it comes back
/// and shows none. Cause: an entry that is missing is taken for an engine that is gone.
#[test]
fn lapse_with_outage() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(5, ready(1, 1)));
    let back = Time::from_millis(60_000);
    engines.on_store_failure(back);
    engines.on_snapshot(back, 9, Vec::new());
    assert_eq!(available_count(&engines), 1);
    engines.on_tick(back + REREGISTRATION_GRACE - Duration::from_millis(1));
    assert_eq!(available_count(&engines), 1);
    engines.on_tick(back + REREGISTRATION_GRACE);
    assert_eq!(available_count(&engines), 0);
}

#[test]
fn lapse_and_return() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(5, ready(1, 1)));
    engines.on_store_failure(Time::ZERO);
    engines.on_snapshot(Time::ZERO, 9, Vec::new());
    engines.on_update(Time::ZERO, EngineUpdate::Entry(11, ready(2, 11)));
    engines.on_tick(Time::ZERO + REREGISTRATION_GRACE);
    assert_eq!(available_count(&engines), 1);
    assert!(!engines.has_missing());
}

/// An engine that left without a word gets work for too long. Order: a call to the store fails, a while later the
/// engine's entry is removed. Cause: one failed call makes all that follows doubtful.
#[test]
fn gone_long_after_failure() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(5, ready(1, 1)));
    engines.on_store_failure(Time::ZERO);
    assert!(engines.on_update(Time::ZERO + STORE_FAILURE_WINDOW, removal(6)));
    assert_eq!(available_count(&engines), 0);
}

/// What was known of an engine's load is taken for that of another. Order: an engine comes back under its id. Cause:
/// the id is the key.
#[test]
fn key_new_with_birth() {
    let mut engines = Engines::new();
    engines.on_update(Time::ZERO, EngineUpdate::Entry(5, ready(1, 1)));
    let before = engines.available()["chat"][0].key;
    engines.on_update(Time::ZERO, EngineUpdate::Entry(6, ready(2, 1)));
    assert_eq!(engines.available()["chat"][0].key, before);
    engines.on_update(Time::ZERO, EngineUpdate::Entry(7, ready(3, 7)));
    assert_ne!(engines.available()["chat"][0].key, before);
}

#[test]
fn all_drops_absent() {
    let mut engines = Engines::new();
    engines.on_snapshot(Time::ZERO, 5, vec![(4, ready(1, 1))]);
    assert!(engines.on_snapshot(Time::ZERO, 9, Vec::new()));
    assert!(engines.is_empty());
}
