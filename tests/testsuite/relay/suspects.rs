//! Requests that crash engines.

use std::time::Duration;

use sequoiastream_core::relay::suspects::CrashNote;
use sequoiastream_core::relay::suspects::MIN_CRASHES;
use sequoiastream_core::relay::suspects::NOTE_TTL;
use sequoiastream_core::relay::suspects::Suspects;
use sequoiastream_core::time::Time;

fn note(request: u64, engine: u64) -> CrashNote {
    CrashNote { request, engine }
}

/// One engine after the other goes down. Order: a request crashes its engine, and comes again to another instance each
/// time. Cause: each instance counts by itself.
#[test]
fn convict_over_instances() {
    let mut instances = vec![Suspects::new(); 4];
    for engine in 0..MIN_CRASHES as u64 {
        let index = engine as usize;
        assert!(instances.iter().all(|i| !i.is_blocked(Time::ZERO, 7)));
        instances[index].on_engine_broke(Time::ZERO, note(7, engine));
        let told = instances[index].notes(Time::ZERO);
        for other in &mut instances {
            // A message may come twice.
            told.iter()
                .chain(&told)
                .for_each(|n| other.on_note(Time::ZERO, *n));
        }
    }
    assert!(
        instances
            .iter()
            .all(|i| i.is_blocked(Time::ZERO, 7) && !i.is_blocked(Time::ZERO, 8))
    );
}

/// An innocent request is run no more. Order: one engine breaks off again and again under it. Cause: breaks are counted,
/// not engines.
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

#[test]
fn memory_bounded() {
    let mut suspects = Suspects::new();
    for request in 0..3_000 {
        let now = Time::from_millis(request);
        (0..3).for_each(|engine| suspects.on_note(now, note(request, engine)));
    }
    let now = Time::from_millis(3_000);
    let convicted = (0..3_000).filter(|r| suspects.is_blocked(now, *r)).count();
    assert!((1_000..=1_024).contains(&convicted), "{convicted}");
    assert!(suspects.is_blocked(now, 2_999));
}
