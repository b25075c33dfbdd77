//! Detection of requests that crash engines.

use std::time::Duration;

use sequoiastream_core::poison::suspects::MIN_CRASHES;
use sequoiastream_core::poison::suspects::NOTE_TTL;
use sequoiastream_core::poison::suspects::Note;
use sequoiastream_core::poison::suspects::Outcome;
use sequoiastream_core::poison::suspects::RequestIdentity;
use sequoiastream_core::poison::suspects::RequestKey;
use sequoiastream_core::poison::suspects::Suspects;
use sequoiastream_core::poison::suspects::durable::MAX_DURABLE_NOTES;
use sequoiastream_core::time::Time;

fn fingerprint(number: u64) -> RequestIdentity {
    RequestIdentity::new("POST", "/", &number.to_be_bytes(), b"")
}

/// Guards against a request that crashes one engine after the other: it is sent to another instance each time, and each
/// instance counts only the crashes that it saw itself.
#[test]
fn convict_over_instances() {
    let mut instances = vec![Suspects::new(); 4];
    for engine in 0..MIN_CRASHES as u64 {
        let index = engine as usize;
        assert!(
            instances
                .iter()
                .all(|i| !i.is_blocked(Time::ZERO, &fingerprint(7)))
        );
        instances[index].on_crash(Time::ZERO, &fingerprint(7), engine);
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
            .all(|i| i.is_blocked(Time::ZERO, &fingerprint(7)) && !i.is_blocked(Time::ZERO, &fingerprint(8)))
    );
}

/// Guards against blocking a harmless request: a single engine breaks it off several times, and failures were counted
/// instead of distinct engines.
#[test]
fn convict_needs_engines() {
    let mut suspects = Suspects::new();
    for _ in 0..20 {
        suspects.on_crash(Time::ZERO, &fingerprint(7), 1);
    }
    assert!(!suspects.is_blocked(Time::ZERO, &fingerprint(7)));
}

#[test]
fn convict_expires() {
    let mut suspects = Suspects::new();
    (0..9).for_each(|engine| suspects.on_crash(Time::ZERO, &fingerprint(7), engine));
    assert!(suspects.is_blocked(Time::ZERO + NOTE_TTL - Duration::from_millis(1), &fingerprint(7)));
    assert!(!suspects.is_blocked(Time::ZERO + NOTE_TTL, &fingerprint(7)));
}

/// Guards against a request that is not blocked again when it crashes the same engines after its first notes expired,
/// because the expired notes are kept in place of the new ones.
#[test]
fn convict_again() {
    let mut suspects = Suspects::new();
    let later = Time::ZERO + NOTE_TTL + Duration::from_secs(9);
    for at in [Time::ZERO, later] {
        (0..MIN_CRASHES as u64).for_each(|engine| suspects.on_crash(at, &fingerprint(7), engine));
        assert!(suspects.is_blocked(at, &fingerprint(7)), "at {at}");
    }
}

#[test]
fn memory_bounded() {
    let mut suspects = Suspects::new();
    for request in 0..3_000 {
        let now = Time::from_millis(request);
        // An engine ends once, so no two requests have a crash in common here.
        (0..3).for_each(|engine| suspects.on_crash(now, &fingerprint(request), request * 3 + engine));
    }
    let now = Time::from_millis(3_000);
    let blocked = (0..3_000)
        .filter(|r| suspects.is_blocked(now, &fingerprint(*r)))
        .count();
    assert!((1_000..=1_024).contains(&blocked), "{blocked}");
    assert!(suspects.is_blocked(now, &fingerprint(2_999)));
}

/// Lets `from` send its notes to `to` for three seconds, a message every 25 ms.
fn tell(from: &mut Suspects, to: &mut Suspects, start: Time) -> Time {
    let step = Duration::from_millis(25);
    (0..120).fold(start, |now, _| {
        from.notes(now).iter().for_each(|note| to.on_note(now, *note));
        now + step
    })
}

/// Guards against a request that crashes one engine more at each instance that started after the instance that saw its
/// crashes was gone: the others know them, and do not pass them on.
#[test]
fn convict_writer_gone() {
    let mut writer = Suspects::new();
    (0..3).for_each(|engine| writer.on_crash(Time::ZERO, &fingerprint(7), engine));
    let (mut other, mut later) = (Suspects::new(), Suspects::new());
    let now = tell(&mut writer, &mut other, Time::ZERO);
    let now = tell(&mut other, &mut later, now);
    assert!(later.is_blocked(now, &fingerprint(7)));
    // Passing notes on must not keep them alive.
    let end = Time::ZERO + NOTE_TTL + Duration::from_secs(1);
    assert!(!other.is_blocked(end, &fingerprint(7)) && !later.is_blocked(end, &fingerprint(7)));
}

/// Guards against a request that goes on crashing engines because the notes about it are never sent again: a message has
/// room for the latest notes only, and later crashes left more than that.
#[test]
fn convict_among_many() {
    let mut suspects = Suspects::new();
    (0..3).for_each(|engine| suspects.on_crash(Time::ZERO, &fingerprint(7), engine));
    (0..90).for_each(|request| suspects.on_crash(Time::ZERO, &fingerprint(100 + request), 50 + request));
    let mut later = Suspects::new();
    let now = tell(&mut suspects, &mut later, Time::ZERO + Duration::from_secs(1));
    assert!(later.is_blocked(now, &fingerprint(7)));
}

/// Guards against blocking a harmless request that was at the same engines as one that crashes them.
#[test]
fn convict_not_neighbour() {
    let mut suspects = Suspects::new();
    for engine in 0..3 {
        suspects.on_crash(Time::ZERO, &fingerprint(7), engine);
        suspects.on_crash(Time::ZERO, &fingerprint(8), engine);
    }
    assert!(
        !suspects.is_blocked(Time::ZERO, &fingerprint(8)),
        "both are alike so far"
    );
    suspects.on_crash(Time::ZERO, &fingerprint(7), 3);
    assert!(suspects.is_blocked(Time::ZERO, &fingerprint(7)));
    assert!(!suspects.is_blocked(Time::ZERO, &fingerprint(8)));
}

/// Guards against blocking a harmless request that was in several crashes: an engine has answered it since, at another
/// instance, and notes of the crashes arrive after that of the answer.
#[test]
fn convict_not_completed() {
    let (mut crashed, mut completed, mut third) = (Suspects::new(), Suspects::new(), Suspects::new());
    (0..2).for_each(|engine| crashed.on_crash(Time::ZERO, &fingerprint(7), engine));
    let now = tell(&mut crashed, &mut completed, Time::ZERO);
    completed.on_completed(now, &fingerprint(7));
    let now = tell(&mut completed, &mut third, now);
    let now = tell(&mut crashed, &mut third, now);
    let now = tell(&mut completed, &mut crashed, now);
    for instance in [&mut crashed, &mut completed, &mut third] {
        assert_eq!(instance.crashes(now, &fingerprint(7)), 0);
        instance.on_crash(now, &fingerprint(7), 2);
        assert!(!instance.is_blocked(now, &fingerprint(7)));
    }
}

/// Guards against a request without a body that goes on crashing engines because it comes from another address each time.
#[test]
fn convict_other_callers() {
    let mut suspects = Suspects::new();
    for (engine, caller) in [(0, "a"), (1, "b"), (2, "c")] {
        let request = RequestIdentity::new("GET", "/order", b"", caller.as_bytes());
        suspects.on_crash(Time::ZERO, &request, engine);
    }
    let request = RequestIdentity::new("GET", "/order", b"", b"d");
    assert!(suspects.is_blocked(Time::ZERO, &request));
}

/// Guards against a request that crashes engines for one caller only, and goes on because others send the same and are
/// answered, and against blocking the others.
#[test]
fn convict_one_caller() {
    for body in [&b""[..], b"{}"] {
        let mut suspects = Suspects::new();
        let of = |caller: &str| RequestIdentity::new("POST", "/popular", body, caller.as_bytes());
        for engine in 0..3 {
            suspects.on_crash(Time::ZERO, &of("a"), engine);
            suspects.on_completed(Time::ZERO, &of("b"));
        }
        assert!(suspects.is_blocked(Time::ZERO, &of("a")), "{body:?}");
        assert!(!suspects.is_blocked(Time::ZERO, &of("b")), "{body:?}");
    }
}

/// Guards against blocking a request for one caller because it ran beside another one that crashes engines: neighbours are
/// told apart by caller as well.
#[test]
fn convict_caller_not_neighbour() {
    let mut suspects = Suspects::new();
    let guilty = RequestIdentity::new("POST", "/a", b"{}", b"a");
    let harmless = RequestIdentity::new("POST", "/b", b"{}", b"b");
    for engine in 0..4 {
        suspects.on_crash(Time::ZERO, &guilty, engine);
        if engine < 3 {
            suspects.on_crash(Time::ZERO, &harmless, engine);
        }
    }
    assert!(suspects.is_blocked(Time::ZERO, &guilty));
    assert!(!suspects.is_blocked(Time::ZERO, &harmless));
}

/// Guards against an instance that starts and forgets the crashes that its peers tell of, because everything before its
/// start seems to have happened at once, and the request was answered before it began to crash engines.
#[test]
fn convict_before_start() {
    let started = Time::from_millis(100);
    let mut suspects = Suspects::new();
    let crashes = (0..MIN_CRASHES as u64).map(|engine| (Outcome::Crashed(engine), 9_000));
    for (outcome, age) in [(Outcome::Completed, 60_000)].into_iter().chain(crashes) {
        let request = RequestKey::Any(fingerprint(7).any);
        suspects.on_note(
            started,
            Note {
                request,
                outcome,
                age,
            },
        );
    }
    assert!(suspects.is_blocked(started, &fingerprint(7)));
    suspects.on_note(
        started,
        Note {
            request: RequestKey::Any(fingerprint(7).any),
            outcome: Outcome::Completed,
            age: 5_000,
        },
    );
    assert!(!suspects.is_blocked(started, &fingerprint(7)));
}

/// Time at which crashes are kept, later than the start.
const KEPT_AT: Time = Time::from_millis(30_000);

/// What an instance keeps that saw a request crash `count` engines.
fn kept_crashes(count: u64) -> Vec<Note> {
    let mut suspects = Suspects::new();
    (0..count).for_each(|engine| suspects.on_crash(KEPT_AT, &fingerprint(7), engine));
    suspects.durable_notes(KEPT_AT)
}

/// Guards against writes for each engine that ends, and against a crash that nobody keeps.
#[test]
fn durable_from_second_crash() {
    assert_eq!(kept_crashes(1), Vec::new());
    assert_eq!(kept_crashes(2).len(), 2);
    let mut started = Suspects::new();
    started.on_durable_notes(Time::ZERO, &kept_crashes(2));
    assert!(!started.is_blocked(Time::ZERO, &fingerprint(7)));
    started.on_crash(Time::ZERO, &fingerprint(7), 9);
    assert!(started.is_blocked(Time::ZERO, &fingerprint(7)));
    assert_eq!(started.durable_notes(Time::ZERO).len(), MIN_CRASHES);
}

/// Guards against blocking a request again that an engine has answered, because an instance starts and reads earlier crashes:
/// their writer has ended, and another instance or a peer tells of the answer.
#[test]
fn durable_cleared_stays_cleared() {
    let kept = kept_crashes(MIN_CRASHES as u64);
    let mut peer = Suspects::new();
    peer.on_durable_notes(KEPT_AT, &kept);
    assert!(peer.is_blocked(KEPT_AT, &fingerprint(7)));
    peer.on_completed(KEPT_AT, &fingerprint(7));
    let cleared = peer.durable_notes(KEPT_AT);
    assert!(cleared.iter().all(|note| note.outcome == Outcome::Completed));
    let mut started = Suspects::new();
    started.on_durable_notes(KEPT_AT, &[kept.clone(), cleared].concat());
    assert!(!started.is_blocked(KEPT_AT, &fingerprint(7)));
    let later = KEPT_AT + Duration::from_secs(20);
    let mut told = Suspects::new();
    told.on_durable_notes(later, &kept);
    assert!(told.is_blocked(later, &fingerprint(7)));
    let notes = peer.notes(later);
    notes.iter().for_each(|note| told.on_note(later, *note));
    assert!(!told.is_blocked(later, &fingerprint(7)));
    told.on_durable_notes(later, &kept);
    assert!(!told.is_blocked(later, &fingerprint(7)));
}

/// Guards against an old completion in the store that clears crashes which this instance saw since.
#[test]
fn durable_completion_keeps_seen() {
    let mut suspects = Suspects::new();
    (0..MIN_CRASHES as u64).for_each(|engine| suspects.on_crash(KEPT_AT, &fingerprint(7), engine));
    let completed = Note {
        request: RequestKey::Any(fingerprint(7).any),
        outcome: Outcome::Completed,
        age: 0,
    };
    suspects.on_durable_notes(KEPT_AT + Duration::from_secs(1), &[completed]);
    assert!(suspects.is_blocked(KEPT_AT + Duration::from_secs(1), &fingerprint(7)));
}

/// Guards against a crash that appears to be recent each time that it is read, and so never ends for the peers.
#[test]
fn durable_not_passed_on() {
    let mut started = Suspects::new();
    started.on_durable_notes(KEPT_AT, &kept_crashes(MIN_CRASHES as u64));
    assert_eq!(started.notes(KEPT_AT), Vec::new());
}

/// Guards against a value that the store refuses, or that instances don't pass on with the changes.
#[test]
fn durable_size_bounded() {
    let mut suspects = Suspects::new();
    for engine in 0..8 {
        (0..500).for_each(|number| suspects.on_crash(KEPT_AT, &fingerprint(number), u64::MAX - engine));
    }
    let notes = suspects.durable_notes(KEPT_AT);
    assert_eq!(notes.len(), MAX_DURABLE_NOTES);
    assert!(postcard::to_stdvec(&notes).expect("notes").len() < 48 * 1024);
}
