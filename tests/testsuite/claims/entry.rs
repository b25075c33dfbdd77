//! Tests of the entry instance's state machine, event by event.

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

/// Placeholder for the proof that a request was not sent.
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

/// Begins at time 0 a claim for a request whose deadline is 6 s away. Its owners are `a`, `b`, `c` and `d`.
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

/// Returns the state machine for the next event, the owner that is asked, and the claim request.
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

/// The first owner does not answer and may still write the claim. The next owner is therefore asked with the same
/// token: if it finds that claim, it recognizes it as this request's.
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

/// An entry instance is paused while its claim is granted, and resumes after the deadline. It must not send: its caller
/// has long been told that the outcome is unknown, and the key may have expired.
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
    let unavailable = || answered(Verdict::Unavailable(Duration::from_secs(3)));
    let (claim, ..) = expect_ask(begin());
    let (claim, ..) = expect_ask(claim.on(clocks_at(1), unavailable()));
    let (claim, ..) = expect_ask(claim.on(clocks_at(2), unavailable()));
    let step = claim.on(clocks_at(3), unavailable());
    let EntryStep::Refused(Proof, Refused::Unavailable, retry_after) = step else {
        panic!("{step:?}");
    };
    assert_eq!(retry_after, Some(Duration::from_secs(3)));
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
