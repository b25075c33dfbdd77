//! How long the notices of engines apply, and to which incarnations.

use std::time::Duration;

use sequoiastream_core::relay::engines::Incarnation;
use sequoiastream_core::relay::notices::EngineNotices;
use sequoiastream_core::time::Time;

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn engine(started: Option<u64>) -> Incarnation {
    Incarnation { id: 7, started }
}

/// Guards against work for a leaving engine whose entry expired and was created again.
#[test]
fn leaving_kept_while_absent() {
    let mut notices = EngineNotices::new();
    assert!(notices.on_leaving(engine(None)));
    assert!(!notices.on_leaving(engine(None)), "already known");
    for (second, known, unavailable) in [
        (0, true, true),
        (900, false, true),
        (1_499, false, true),
        (1_499, true, true),
        (1_500, false, true),
        (2_099, false, true),
        (2_100, false, false),
    ] {
        notices.retain(at(second), |_| known);
        assert_eq!(
            notices.is_unavailable(at(second), engine(None)),
            unavailable,
            "at {second} s"
        );
    }
}

/// Guards against an engine that gets no work because an earlier one with the same id was leaving.
#[test]
fn leaving_of_other_incarnation() {
    let mut notices = EngineNotices::new();
    notices.on_leaving(engine(Some(1)));
    let unavailable = [Some(1), Some(2), None].map(|started| notices.is_unavailable(at(0), engine(started)));
    assert_eq!(unavailable, [true, false, false]);
}

/// Guards against requests to a paused engine because a later notice asks for a pause that ends earlier.
#[test]
fn pause_until_latest_end() {
    let mut notices = EngineNotices::new();
    let pause = Duration::from_secs;
    assert!(notices.on_pause(at(0), engine(None), pause(3)));
    assert!(!notices.on_pause(at(1), engine(None), pause(1)), "already paused");
    assert_eq!(notices.pause_left(at(1), engine(None)), pause(2));
    notices.retain(at(2), |_| true);
    let unavailable = |second| {
        [
            notices.is_unavailable(at(second), engine(None)),
            notices.any_unavailable(at(second)),
        ]
    };
    assert_eq!([2, 3].map(unavailable), [[true; 2], [false; 2]]);
    assert!(
        notices.on_pause(at(4), engine(None), Duration::MAX),
        "a new pause"
    );
    assert!(notices.is_unavailable(at(1_000_000), engine(None)));
}
