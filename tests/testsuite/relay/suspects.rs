//! Detection of requests that crash engines.

use std::time::Duration;

use sequoiastream_core::relay::suspects::CrashNote;
use sequoiastream_core::relay::suspects::MIN_CRASHES;
use sequoiastream_core::relay::suspects::NOTE_TTL;
use sequoiastream_core::relay::suspects::Suspects;
use sequoiastream_core::time::Time;

fn note(request: u64, engine: u64) -> CrashNote {
    CrashNote { request, engine }
}

/// Guards against a request that crashes one engine after the other: it is sent to another instance each time, and each
/// instance counts only the crashes that it saw itself.
#[test]
fn convict_over_instances() {
    let mut instances = vec![Suspects::new(); 4];
    for engine in 0..MIN_CRASHES as u64 {
        let index = engine as usize;
        assert!(instances.iter().all(|i| !i.is_blocked(Time::ZERO, 7)));
        instances[index].on_engine_broke(Time::ZERO, note(7, engine));
        let notes = instances[index].notes(Time::ZERO);
        for other in &mut instances {
            // A message may arrive twice.
            notes
                .iter()
                .chain(&notes)
                .for_each(|n| other.on_note(Time::ZERO, *n));
        }
    }
    assert!(
        instances
            .iter()
            .all(|i| i.is_blocked(Time::ZERO, 7) && !i.is_blocked(Time::ZERO, 8))
    );
}

/// Guards against blocking a harmless request: a single engine breaks it off several times, and failures were counted
/// instead of distinct engines.
#[test]
fn convict_needs_engines() {
    let mut suspects = Suspects::new();
    for _ in 0..20 {
        suspects.on_engine_broke(Time::ZERO, note(7, 1));
    }
    assert!(!suspects.is_blocked(Time::ZERO, 7));
}

#[test]
fn convict_expires() {
    let mut suspects = Suspects::new();
    (0..9).for_each(|engine| suspects.on_engine_broke(Time::ZERO, note(7, engine)));
    assert!(suspects.is_blocked(Time::ZERO + NOTE_TTL - Duration::from_millis(1), 7));
    assert!(!suspects.is_blocked(Time::ZERO + NOTE_TTL, 7));
}

/// Guards against a request that is not blocked again when it crashes the same engines after its first notes expired,
/// because the expired notes are kept in place of the new ones.
#[test]
fn convict_again() {
    let mut suspects = Suspects::new();
    let later = Time::ZERO + NOTE_TTL + Duration::from_secs(9);
    for at in [Time::ZERO, later] {
        (0..MIN_CRASHES as u64).for_each(|engine| suspects.on_engine_broke(at, note(7, engine)));
        assert!(suspects.is_blocked(at, 7), "at {at}");
    }
}

#[test]
fn memory_bounded() {
    let mut suspects = Suspects::new();
    for request in 0..3_000 {
        let now = Time::from_millis(request);
        (0..3).for_each(|engine| suspects.on_note(now, note(request, engine)));
    }
    let now = Time::from_millis(3_000);
    let blocked = (0..3_000).filter(|r| suspects.is_blocked(now, *r)).count();
    assert!((1_000..=1_024).contains(&blocked), "{blocked}");
    assert!(suspects.is_blocked(now, 2_999));
}
