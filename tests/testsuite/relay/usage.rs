//! Counts of requests by window and workspace.

use std::time::Duration;

use sequoiastream_core::relay::usage::CountSource;
use sequoiastream_core::relay::usage::Counts;
use sequoiastream_core::relay::usage::CountsMessage;
use sequoiastream_core::relay::usage::DecidedReports;
use sequoiastream_core::relay::usage::FleetCounts;
use sequoiastream_core::relay::usage::Report;
use sequoiastream_core::relay::usage::Tally;
use sequoiastream_core::relay::usage::Window;
use sequoiastream_peer::datagram::MAX_DATAGRAM;

const LENGTH: Duration = Duration::from_secs(5);

fn source(instance: &str, process: u64) -> CountSource {
    let instance = instance.to_string();
    CountSource { instance, process }
}

fn tally(requests: &[(u64, &str)]) -> Tally {
    let mut tally = Tally::default();
    for (window, workspace) in requests {
        tally.on_begun(Window(*window), workspace);
    }
    tally
}

fn counts(counts: &[(&str, u64)]) -> Counts {
    counts
        .iter()
        .map(|(name, count)| (name.to_string(), *count))
        .collect()
}

#[test]
fn window_at_edges() {
    assert_eq!(Window::at(4_999_999, LENGTH), Window(0));
    assert_eq!(Window::at(5_000_000, LENGTH), Window(1));
    assert_eq!(Window(1).end(LENGTH), 10_000_000);
}

#[test]
fn total_of_instances() {
    let mut fleet_counts = FleetCounts::default();
    fleet_counts.on_counts(source("a", 1), tally(&[(7, "x"), (7, "x"), (8, "y")]));
    fleet_counts.on_counts(source("b", 1), tally(&[(7, "x"), (7, "y")]));
    assert_eq!(fleet_counts.total(Window(7)), counts(&[("x", 3), ("y", 1)]));
    assert_eq!(fleet_counts.total(Window(9)), counts(&[]));
    assert_eq!(fleet_counts.first_window(), Some(Window(7)));
}

/// Guards against requests that are counted twice or not at all: an instance sends its cumulative counts, an older
/// message of it arrives later, then it is killed, restarts and counts from zero.
#[test]
fn total_crossed_and_restarted() {
    let mut fleet_counts = FleetCounts::default();
    fleet_counts.on_counts(source("a", 1), tally(&[(7, "x"), (7, "x")]));
    fleet_counts.on_counts(source("a", 1), tally(&[(7, "x")]));
    fleet_counts.on_counts(source("a", 2), tally(&[(7, "x")]));
    assert_eq!(fleet_counts.total(Window(7)), counts(&[("x", 3)]));
}

#[test]
fn told_forgets_old_windows() {
    let mut fleet_counts = FleetCounts::default();
    fleet_counts.on_counts(source("a", 1), tally(&[(7, "x")]));
    fleet_counts.on_counts(source("b", 1), tally(&[(100, "x")]));
    assert_eq!(fleet_counts.first_window(), Some(Window(100)));
}

#[test]
fn since_keeps_latest() {
    let tally = tally(&[(1, "x"), (2, "x"), (3, "x")]);
    assert_eq!(tally.since(Window(2)), self::tally(&[(2, "x"), (3, "x")]));
    assert!(Tally::default().since(Window(0)).is_empty());
}

#[test]
fn decided_keeps_open() {
    let report = |window: u64| Report {
        window: Window(window),
        body: format!("{window}"),
    };
    let decided =
        DecidedReports::starting_at(Window(4)).advance(Window(6), vec![report(4), report(5)], &[], 3);
    let decided = decided.advance(Window(7), vec![report(6)], &[Window(4)], 3);
    assert_eq!(decided.next, Window(7));
    assert_eq!(decided.open, [report(5), report(6)]);
    let decided = decided.advance(Window(9), vec![report(7), report(8)], &[], 3);
    assert_eq!(decided.open, [report(6), report(7), report(8)]);
}

/// Guards against a report that lacks a fifth of the requests: an instance counts requests of many workspaces, its
/// message exceeds the maximum size of a datagram, and none of it is sent. Split into chunks, each must fit, and all
/// together must contain the same counts.
#[test]
fn parts_fit_datagrams() {
    let mut whole = Tally::default();
    for window in 355_989_796..355_989_799 {
        for workspace in 0..200 {
            for _ in 0..3 {
                whole.on_begun(Window(window), &format!("workspace-{workspace:010}"));
            }
        }
    }
    let mut fleet_counts = FleetCounts::default();
    for tally in whole.chunks(48) {
        let message = CountsMessage {
            process: u64::MAX,
            tally,
        };
        let length = postcard::to_allocvec(&message)
            .expect("a serializable message")
            .len();
        assert!(length < MAX_DATAGRAM - 120, "{length}");
        fleet_counts.on_counts(source("a", 1), message.tally);
    }
    assert_eq!(fleet_counts.total(Window(355_989_797)).values().sum::<u64>(), 600);
}
