//! The entry's machine, driven event by event.

use std::time::Duration;

use sequoiastream_core::claims::ClaimRef;
use sequoiastream_core::claims::ClaimRequest;
use sequoiastream_core::claims::ClaimStatus;
use sequoiastream_core::claims::ClaimToken;
use sequoiastream_core::claims::Clocks;
use sequoiastream_core::claims::EntryClaim;
use sequoiastream_core::claims::EntryEvent;
use sequoiastream_core::claims::EntryStep;
use sequoiastream_core::claims::Fingerprint;
use sequoiastream_core::claims::Refused;
use sequoiastream_core::claims::Verdict;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;
use uuid::Uuid;

/// Stands for the proof that a request was not sent.
#[derive(Debug)]
struct Proof;

fn clocks_at(millis: u64) -> Clocks {
    Clocks {
        time: Time::from_millis(10_000 + millis),
        wall: WallTime(1_764_700_000_000 + millis),
    }
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// A claim for a request whose deadline is 6 s away, begun at 0; the owners are `a`, `b`, `c` and `d`.
fn begin() -> EntryStep<Proof> {
    let key = "01936f4e-0000-7000-8000-000000000001".parse().expect("a UUIDv7");
    let claim = ClaimRef::new(&name("dispatch"), &name("ordini"), &key);
    let owners = ["a", "b", "c", "d"].map(name).to_vec();
    let fingerprint = Fingerprint::new("POST", "/orders", b"");
    let token = ClaimToken(Uuid::from_u128(1));
    EntryClaim::new(
        Proof,
        claim,
        token,
        fingerprint,
        owners,
        clocks_at(0).time,
        clocks_at(6_000).time,
    )
    .begin(clocks_at(0))
}

/// What is asked and of whom; the machine for the next event.
fn expect_ask(step: EntryStep<Proof>) -> (EntryClaim<Proof>, String, ClaimRequest) {
    match step {
        EntryStep::Ask(claim, owner, request) => (*claim, owner.to_string(), request),
        other => panic!("{other:?}"),
    }
}

fn answered(verdict: Verdict) -> EntryEvent {
    EntryEvent::Answered(verdict)
}

#[test]
fn ask_first_owner_half_wait() {
    let (_, owner, request) = expect_ask(begin());
    assert_eq!(owner, "a");
    assert_eq!(request.wait, Duration::from_secs(2));
    assert_eq!(request.run, Duration::from_secs(2));
}

/// The first owner is silent and may still write the claim. The next one is asked under the same mark, so that it
/// takes what it finds for this request's own.
#[test]
fn silent_next_owner_same_mark() {
    let (claim, _, first) = expect_ask(begin());
    let (claim, owner, second) = expect_ask(claim.on(clocks_at(500), EntryEvent::NoAnswer));
    assert_eq!((owner.as_str(), second.token), ("b", first.token));
    let (_, owner, third) = expect_ask(claim.on(clocks_at(600), answered(Verdict::Stopping)));
    assert_eq!((owner.as_str(), third.token), ("c", first.token));
}

#[test]
fn granted_in_time() {
    let (claim, ..) = expect_ask(begin());
    let step = claim.on(clocks_at(20), answered(Verdict::Granted));
    assert!(matches!(step, EntryStep::Granted(_)), "{step:?}");
}

/// An entry is paused while its claim is granted, and wakes after its deadline. It must not send: its caller has long
/// been told that nothing is known, and its key may have been forgotten.
#[test]
fn granted_after_deadline() {
    let (claim, ..) = expect_ask(begin());
    let step = claim.on(clocks_at(3_600_000), answered(Verdict::Granted));
    assert!(
        matches!(step, EntryStep::Refused(Proof, Refused::TooLate, None)),
        "{step:?}"
    );
}

#[test]
fn out_thrice_refused() {
    let out = || answered(Verdict::Unavailable(Duration::from_secs(3)));
    let (claim, ..) = expect_ask(begin());
    let (claim, ..) = expect_ask(claim.on(clocks_at(1), out()));
    let (claim, ..) = expect_ask(claim.on(clocks_at(2), out()));
    let step = claim.on(clocks_at(3), out());
    let EntryStep::Refused(Proof, Refused::Unavailable, after) = step else {
        panic!("{step:?}");
    };
    assert_eq!(after, Some(Duration::from_secs(3)));
}

#[test]
fn silent_all_refused() {
    let mut step = begin();
    for _ in 0..4 {
        let (claim, ..) = expect_ask(step);
        step = claim.on(clocks_at(10), EntryEvent::NoAnswer);
    }
    assert!(
        matches!(step, EntryStep::Refused(Proof, Refused::Unavailable, Some(_))),
        "{step:?}"
    );
}

#[test]
fn silent_too_long_refused() {
    let (claim, ..) = expect_ask(begin());
    let step = claim.on(clocks_at(4_000), EntryEvent::NoAnswer);
    assert!(
        matches!(step, EntryStep::Refused(Proof, Refused::Unavailable, Some(_))),
        "{step:?}"
    );
}

#[test]
fn verdict_final_table() {
    let cases = [
        (Verdict::Mismatch, Refused::Mismatch),
        (Verdict::ClockSkew, Refused::ClockSkew),
        (Verdict::Full, Refused::Full),
    ];
    for (verdict, expected) in cases {
        let (claim, ..) = expect_ask(begin());
        let step = claim.on(clocks_at(1), answered(verdict));
        let EntryStep::Refused(Proof, refused, _) = step else {
            panic!("{step:?}");
        };
        assert_eq!(refused, expected);
    }
    let (claim, ..) = expect_ask(begin());
    let step = claim.on(clocks_at(1), answered(Verdict::Held(ClaimStatus::Unknown)));
    assert!(matches!(step, EntryStep::Held(ClaimStatus::Unknown)), "{step:?}");
}
