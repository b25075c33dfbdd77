//! Which versions have served, and when a stream without a record can have only one.

use std::collections::BTreeSet;

use sequoiastream_core::relay::engines::EngineUpdate;
use sequoiastream_core::relay::engines::Engines;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::streams::SoftwareVersion;
use sequoiastream_core::relay::version_history::ServiceVersion;
use sequoiastream_core::relay::version_history::VersionHistory;
use sequoiastream_core::relay::version_history::VersionRecord;
use sequoiastream_core::time::Time;

use super::rev;

fn at(seconds: u64) -> Time {
    Time::from_micros((1_000 + seconds) * 1_000_000)
}

fn serving(versions: &[&str]) -> BTreeSet<ServiceVersion> {
    let entries = versions.iter().map(|version| ServiceVersion {
        service: "chat".to_string(),
        version: SoftwareVersion::of(version),
    });
    entries.collect()
}

fn record(versions: &[&str]) -> VersionRecord {
    let versions = versions.iter().map(|version| SoftwareVersion::of(version));
    VersionRecord {
        services: [("chat".to_string(), versions.collect())].into(),
    }
}

/// A history that begins with the deployment.
fn new_history() -> VersionHistory {
    let mut history = VersionHistory::new();
    history.on_no_record(at(0), true);
    history
}

fn only(history: &VersionHistory, seconds: u64) -> Option<SoftwareVersion> {
    history.only_version(at(seconds), "chat")
}

fn v(name: &str) -> Option<SoftwareVersion> {
    Some(SoftwareVersion::of(name))
}

/// Guards against a process that takes the versions which it has seen for all that have served.
#[test]
fn only_version_new_process() {
    let mut history = VersionHistory::new();
    history.on_served(at(0), &serving(&["v2"]));
    assert_eq!(only(&history, 0), None);
    history.on_no_record(at(0), false);
    assert_eq!(only(&history, 59), None);
    assert_eq!(only(&history, 60), v("v2"));
}

/// Guards against forgetting a version that left before this process started, and against refusing for ever because of it.
#[test]
fn only_version_recorded() {
    let mut history = VersionHistory::new();
    history.on_served(at(0), &serving(&["v2"]));
    history.on_record(at(1), &record(&["v1", "v2"]));
    assert_eq!(only(&history, 60), None);
    assert_eq!(only(&history, 61), v("v2"));
}

/// Guards against forgetting a version that served again unseen: the record named it half a minute ago, and this process saw
/// its engines leave before that.
#[test]
fn only_version_recorded_again() {
    let mut history = new_history();
    history.on_served(at(0), &serving(&["v1", "v2"]));
    history.on_served(at(1), &serving(&["v2"]));
    history.on_record(at(50), &record(&["v1", "v2"]));
    assert_eq!(only(&history, 61), None);
}

/// Guards against taking a version for gone while streams that it began still run.
#[test]
fn only_version_just_gone() {
    let mut history = new_history();
    history.on_served(at(0), &serving(&["v1"]));
    assert_eq!(only(&history, 1), v("v1"));
    history.on_served(at(5), &serving(&["v1", "v2"]));
    history.on_served(at(10), &serving(&["v2"]));
    assert_eq!(only(&history, 69), None);
    assert_eq!(only(&history, 70), v("v2"));
}

/// Guards against a record that claims more than is known: a process creates it only with a complete history.
#[test]
fn next_record_created() {
    let mut history = VersionHistory::new();
    history.on_served(at(0), &serving(&["v1"]));
    assert_eq!(history.next_record(at(0), None, true), None);
    history.on_no_record(at(0), false);
    assert_eq!(history.next_record(at(59), None, true), None);
    assert_eq!(history.next_record(at(60), None, true), Some(record(&["v1"])));
    assert_eq!(
        new_history().next_record(at(0), None, false),
        Some(VersionRecord::default())
    );
}

/// Guards against a version that is missing from the record, or removed while streams that it began still run, and
/// against instances that add and remove one in turn.
#[test]
fn next_record_replaced() {
    let mut history = new_history();
    history.on_served(at(0), &serving(&["v1", "v2"]));
    let before = record(&["v1"]);
    let both = record(&["v1", "v2"]);
    assert_eq!(
        history.next_record(at(0), Some(&before), false),
        Some(both.clone())
    );
    assert_eq!(history.next_record(at(0), Some(&both), true), None);
    history.on_served(at(10), &serving(&["v2"]));
    assert_eq!(history.next_record(at(69), Some(&both), true), None);
    assert_eq!(history.next_record(at(69), Some(&record(&["v2"])), false), None);
    assert_eq!(history.next_record(at(70), Some(&both), false), None);
    assert_eq!(
        history.next_record(at(70), Some(&both), true),
        Some(record(&["v2"]))
    );
}

/// Guards against a created record that lacks a version which left half a minute before, and may have begun streams that run.
#[test]
fn next_record_created_late() {
    let mut history = VersionHistory::new();
    history.on_no_record(at(0), false);
    history.on_served(at(0), &serving(&["v1", "v2"]));
    history.on_served(at(20), &serving(&["v2"]));
    let record = history.next_record(at(60), None, true).expect("a record");
    assert_eq!(record, self::record(&["v1", "v2"]));
    let mut restarted = VersionHistory::new();
    restarted.on_served(at(61), &serving(&["v2"]));
    restarted.on_record(at(61), &record);
    assert_eq!(only(&restarted, 61), None);
}

/// Guards against a version that never leaves the record, because each new process adds what it has only read there.
#[test]
fn next_record_read_only() {
    let both = record(&["v1", "v2"]);
    let mut old = new_history();
    old.on_served(at(0), &serving(&["v1", "v2"]));
    old.on_served(at(1), &serving(&["v2"]));
    let mut new = VersionHistory::new();
    new.on_served(at(50), &serving(&["v2"]));
    new.on_record(at(50), &both);
    let removed = old.next_record(at(61), Some(&both), true);
    assert_eq!(removed, Some(record(&["v2"])));
    assert_eq!(new.next_record(at(61), removed.as_ref(), false), None);
}

fn update(revision: u64, version: &str, leaving: bool) -> EngineUpdate {
    let entry = Entry {
        version: version.to_string(),
        leaving,
        sequence: revision,
        ..super::entry(&format!("e-{version}"), Stage::Decode)
    };
    EngineUpdate::Entry(rev(revision), entry)
}

/// Guards against a version that does not count because its engines announced that they leave, or came and went between two
/// looks.
#[test]
fn take_versions_leaving() {
    let mut engines = Engines::new();
    engines.on_update(at(0), update(1, "v1", true));
    engines.on_update(at(0), update(2, "v2", false));
    assert_eq!(engines.take_versions(), serving(&["v1", "v2"]));
    engines.on_update(at(1), EngineUpdate::Removed(rev(3), "e-v1".to_string()));
    engines.on_update(at(1), update(4, "v3", false));
    engines.on_update(at(1), EngineUpdate::Removed(rev(5), "e-v3".to_string()));
    assert_eq!(engines.take_versions(), serving(&["v1", "v2", "v3"]));
    assert_eq!(engines.take_versions(), serving(&["v2"]));
}
