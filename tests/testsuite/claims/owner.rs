//! Tests of the owner's state machine, event by event.

use std::time::Duration;

use sequoiastream_core::claims::Bucket;
use sequoiastream_core::claims::Change;
use sequoiastream_core::claims::ClaimRef;
use sequoiastream_core::claims::ClaimRequest;
use sequoiastream_core::claims::ClaimStatus;
use sequoiastream_core::claims::ClaimToken;
use sequoiastream_core::claims::Clocks;
use sequoiastream_core::claims::Edit;
use sequoiastream_core::claims::Fingerprint;
use sequoiastream_core::claims::MAX_ANSWER;
use sequoiastream_core::claims::MAX_BUCKET;
use sequoiastream_core::claims::Owner;
use sequoiastream_core::claims::OwnerAction;
use sequoiastream_core::claims::OwnerEvent;
use sequoiastream_core::claims::OwnerSettings;
use sequoiastream_core::claims::QueryId;
use sequoiastream_core::claims::Record;
use sequoiastream_core::claims::Revision;
use sequoiastream_core::claims::State;
use sequoiastream_core::claims::StoredAnswer;
use sequoiastream_core::claims::Verdict;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;
use uuid::Uuid;

const WALL: u64 = 1_764_700_000_000;

fn clocks_at(millis: u64) -> Clocks {
    Clocks {
        time: Time::from_millis(10_000 + millis),
        wall: WallTime(WALL + millis),
    }
}

/// Returns claim `index`. All claims belong to one bucket.
fn claim_ref(index: u64) -> ClaimRef {
    let name = |text| Name::new(text).expect("a name");
    let key = (0..)
        .map(|salt: u64| {
            Uuid::from_u128(u128::from(WALL) << 80 | 7 << 76 | 2 << 62 | u128::from(index << 20 | salt))
        })
        .map(|uuid| {
            ClaimRef::new(
                &name("dispatch"),
                &name("ordini"),
                &uuid.to_string().parse().expect("a key"),
            )
        })
        .find(|claim| claim.bucket.shard == 3);
    key.expect("some key belongs to the shard")
}

fn claim_request(index: u64, token: u128) -> ClaimRequest {
    ClaimRequest {
        claim: claim_ref(index),
        token: ClaimToken(Uuid::from_u128(token)),
        fingerprint: Fingerprint::new("POST", "/orders", b""),
        wall: WallTime(WALL),
        wait: Duration::from_secs(4),
        run: Duration::from_secs(10),
    }
}

fn claim_event(query: u64, index: u64, token: u128) -> OwnerEvent {
    OwnerEvent::Claim(QueryId(query), claim_request(index, token))
}

fn writes(actions: &[OwnerAction]) -> Vec<(Revision, Bucket)> {
    let write = |action: &OwnerAction| match action {
        OwnerAction::Write(_, revision, bucket) => Some((*revision, bucket.clone())),
        _ => None,
    };
    actions.iter().filter_map(write).collect()
}

fn answers(actions: &[OwnerAction]) -> Vec<(u64, Verdict)> {
    let answer = |action: &OwnerAction| match action {
        OwnerAction::Answer(query, verdict) => Some((query.0, verdict.clone())),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}

fn written(revision: u64) -> OwnerEvent {
    OwnerEvent::Written(claim_ref(0).bucket, Revision(revision))
}

#[test]
fn ask_alone_written_at_once() {
    let mut owner = Owner::new(OwnerSettings::default());
    let actions = owner.on(clocks_at(0), claim_event(1, 0, 1));
    assert_eq!(writes(&actions).len(), 1);
    assert!(
        answers(&actions).is_empty(),
        "granted before the claim was written"
    );
    let actions = owner.on(clocks_at(3), written(7));
    assert_eq!(answers(&actions), vec![(1, Verdict::Granted)]);
}

#[test]
fn asks_waiting_share_write() {
    let mut owner = Owner::new(OwnerSettings::default());
    owner.on(clocks_at(0), claim_event(1, 0, 1));
    for index in 1..20 {
        let actions = owner.on(clocks_at(1), claim_event(1 + index, index, u128::from(1 + index)));
        assert!(
            writes(&actions).is_empty(),
            "a second write while another is in flight"
        );
    }
    let actions = owner.on(clocks_at(3), written(7));
    assert!(
        writes(&actions).is_empty(),
        "written before the write interval elapsed"
    );
    let actions = owner.on(clocks_at(80), OwnerEvent::Tick);
    let all = writes(&actions);
    assert_eq!(all.len(), 1);
    assert_eq!((all[0].0, all[0].1.len()), (Revision(7), 20));
    assert_eq!(answers(&owner.on(clocks_at(83), written(8))).len(), 19);
}

#[test]
fn end_rides_along() {
    let mut owner = Owner::new(OwnerSettings::default());
    owner.on(clocks_at(0), claim_event(1, 0, 1));
    owner.on(clocks_at(3), written(7));
    let edit = Edit {
        id: claim_ref(0).id,
        token: ClaimToken(Uuid::from_u128(1)),
        change: Change::Finish(None),
    };
    let actions = owner.on(clocks_at(10), OwnerEvent::Edit(claim_ref(0).bucket, edit));
    assert!(writes(&actions).is_empty(), "the outcome has a write of its own");
    // Until the outcome is written, a repeat is answered from memory.
    let actions = owner.on(clocks_at(20), claim_event(2, 0, 2));
    assert_eq!(
        answers(&actions),
        vec![(2, Verdict::Held(ClaimStatus::Finished(None)))]
    );
    let actions = owner.on(clocks_at(200), claim_event(3, 1, 3));
    let all = writes(&actions);
    let record = all[0].1.get(&claim_ref(0).id).expect("the claim is stored");
    assert_eq!(record.state, State::Finished { answer: None });
    let actions = owner.on(clocks_at(203), written(8));
    assert_eq!(answers(&actions), vec![(3, Verdict::Granted)]);
    assert!(owner.is_idle());
}

/// The key-value service is unavailable. A new claim is refused immediately, as not run and with a retry delay, rather
/// than shortly before the caller's deadline. From time to time one claim is let through, to test whether the
/// service has recovered.
#[test]
fn ask_when_out_refused_at_once() {
    let mut owner = Owner::new(OwnerSettings::default());
    owner.on(clocks_at(0), claim_event(1, 0, 1));
    let mut now = 5;
    let failed = || OwnerEvent::Failed {
        bucket: claim_ref(0).bucket,
        maybe_written: false,
    };
    while now < 2_000 {
        owner.on(clocks_at(now), failed());
        now += 1_000;
        owner.on(clocks_at(now), OwnerEvent::Tick);
        now += 5;
    }
    owner.on(clocks_at(now), failed());
    let actions = owner.on(clocks_at(now + 1), claim_event(2, 1, 2));
    let all = answers(&actions);
    assert!(
        matches!(all.as_slice(), [(2, Verdict::Unavailable(after))] if *after >= Duration::from_secs(1)),
        "{all:?}"
    );
    assert!(
        answers(&owner.on(clocks_at(now + 1_500), claim_event(3, 2, 3)))
            .iter()
            .all(|(query, _)| *query != 3)
    );
}

/// Returns an owner whose first claim finished, and for which the key-value service then failed for two seconds.
fn owner_in_outage() -> Owner {
    let mut owner = Owner::new(OwnerSettings::default());
    owner.on(clocks_at(0), claim_event(1, 0, 1));
    owner.on(clocks_at(3), written(7));
    let edit = Edit {
        id: claim_ref(0).id,
        token: ClaimToken(Uuid::from_u128(1)),
        change: Change::Finish(None),
    };
    owner.on(clocks_at(10), OwnerEvent::Edit(claim_ref(0).bucket, edit));
    for now in [100, 1_100, 2_100] {
        owner.on(clocks_at(now), claim_event(2, 1, 2));
        let failed = OwnerEvent::Failed {
            bucket: claim_ref(0).bucket,
            maybe_written: false,
        };
        owner.on(clocks_at(now + 5), failed);
    }
    owner
}

/// The key-value service is unavailable, and a client repeats an order that has been answered. The owner has the
/// outcome in memory, and an outcome never changes, so the client gets it.
#[test]
fn ask_when_out_end_known() {
    let mut owner = owner_in_outage();
    let finished = Verdict::Held(ClaimStatus::Finished(None));
    let actions = owner.on(clocks_at(2_110), claim_event(3, 0, 3));
    assert_eq!(actions, vec![OwnerAction::Answer(QueryId(3), finished.clone())]);
    let actions = owner.on(clocks_at(2_110), OwnerEvent::Query(QueryId(4), claim_ref(0)));
    assert_eq!(actions, vec![OwnerAction::Answer(QueryId(4), finished)]);
    let actions = owner.on(clocks_at(2_110), OwnerEvent::Query(QueryId(5), claim_ref(1)));
    assert!(
        matches!(
            actions.as_slice(),
            [OwnerAction::Answer(QueryId(5), Verdict::Unavailable(_))]
        ),
        "{actions:?}"
    );
}

/// It is uncertain whether a write took effect, and a read finds its claim: only the request that asked for it is
/// granted.
#[test]
fn unsure_write_found() {
    let mut owner = Owner::new(OwnerSettings::default());
    let actions = owner.on(clocks_at(0), claim_event(1, 0, 1));
    let (_, bucket) = writes(&actions).remove(0);
    let id = claim_ref(0).bucket;
    let failed = OwnerEvent::Failed {
        bucket: id,
        maybe_written: true,
    };
    assert!(answers(&owner.on(clocks_at(1_000), failed)).is_empty());
    owner.on(clocks_at(1_000), claim_event(2, 0, 2));
    let actions = owner.on(clocks_at(1_050), OwnerEvent::Tick);
    assert!(actions.contains(&OwnerAction::Read(id)), "{actions:?}");
    let actions = owner.on(clocks_at(1_053), OwnerEvent::Current(id, Revision(7), bucket));
    let all = answers(&actions);
    assert_eq!(all[0], (1, Verdict::Granted));
    assert!(
        matches!(all[1], (2, Verdict::Held(ClaimStatus::Running(_)))),
        "{all:?}"
    );
}

/// A stale owner resumes and writes a claim, but its successor has written a claim on that key in the meantime.
#[test]
fn stale_owner_conflict() {
    let mut owner = Owner::new(OwnerSettings::default());
    owner.on(clocks_at(0), claim_event(1, 0, 1));
    let mut current = Bucket::default();
    let record = Record {
        token: ClaimToken(Uuid::from_u128(9)),
        fingerprint: claim_request(0, 9).fingerprint,
        state: State::Unknown,
    };
    current.add(claim_ref(0).id, record);
    let actions = owner.on(
        clocks_at(3),
        OwnerEvent::Current(claim_ref(0).bucket, Revision(8), current),
    );
    assert_eq!(answers(&actions), vec![(1, Verdict::Held(ClaimStatus::Unknown))]);
    assert!(writes(&actions).is_empty());
}

/// An order is refused as "not run", yet its key stays "running" until the deadline 30 s later, although the platform
/// works. Sequence: it is uncertain whether one owner's write of the claim took effect; the entry instance gives up and
/// releases the claim at another owner, which reads the bucket, finds no claim to release and drops the release; then
/// the write takes effect, and the client repeats the order. Cause: a release counts as done because its claim is not
/// stored yet.
#[test]
fn release_before_its_claim() {
    let mut owner = Owner::new(OwnerSettings::default());
    let id = claim_ref(0).bucket;
    let release = Edit {
        id: claim_ref(0).id,
        token: ClaimToken(Uuid::from_u128(1)),
        change: Change::Release,
    };
    owner.on(clocks_at(0), OwnerEvent::Edit(id, release));
    let actions = owner.on(clocks_at(2_000), OwnerEvent::Tick);
    assert_eq!(actions[0], OwnerAction::Read(id));
    owner.on(
        clocks_at(2_005),
        OwnerEvent::Current(id, Revision(3), Bucket::default()),
    );
    // Now the other owner's write takes effect.
    let mut late = Bucket::default();
    let granted = Record {
        token: ClaimToken(Uuid::from_u128(1)),
        fingerprint: Fingerprint::new("POST", "/orders", b""),
        state: State::Granted {
            until: WallTime(WALL + 30_000),
        },
    };
    late.add(claim_ref(0).id, granted);
    let actions = owner.on(clocks_at(2_500), claim_event(2, 0, 2));
    assert_eq!(
        writes(&actions).len(),
        1,
        "the owner has no claim for the key and writes one"
    );
    let actions = owner.on(clocks_at(2_505), OwnerEvent::Current(id, Revision(4), late));
    assert_eq!(
        answers(&actions),
        Vec::new(),
        "reported as running, although it was released"
    );
    let all = writes(&actions);
    let tokens: Vec<Option<ClaimToken>> = all
        .iter()
        .map(|(_, b)| b.get(&claim_ref(0).id).map(|r| r.token))
        .collect();
    assert_eq!(tokens, [Some(ClaimToken(Uuid::from_u128(2)))]);
    let actions = owner.on(clocks_at(2_510), OwnerEvent::Written(id, Revision(5)));
    assert_eq!(answers(&actions), vec![(2, Verdict::Granted)]);
}

/// Guards against a claim that is written after its release: the entry instance gives up on the owner while the claim
/// is queued there for its write, or the claim request arrives after the release. The order is refused as "not run",
/// but its key would stay taken.
#[test]
fn release_before_its_write() {
    let release = Edit {
        id: claim_ref(1).id,
        token: ClaimToken(Uuid::from_u128(2)),
        change: Change::Release,
    };
    let id = claim_ref(0).bucket;
    for released_first in [false, true] {
        let mut owner = Owner::new(OwnerSettings::default());
        owner.on(clocks_at(0), claim_event(1, 0, 1));
        owner.on(clocks_at(3), written(7));
        let mut events = [claim_event(2, 1, 2), OwnerEvent::Edit(id, release.clone())];
        if released_first {
            events.reverse();
        }
        let mut actions = Vec::new();
        for (millis, event) in (4..).zip(events) {
            actions.extend(owner.on(clocks_at(millis), event));
        }
        for millis in [80, 2_100, 4_100] {
            actions.extend(owner.on(clocks_at(millis), OwnerEvent::Tick));
        }
        assert_eq!(writes(&actions), Vec::new(), "released first: {released_first}");
        assert_eq!(
            answers(&actions),
            vec![(2, Verdict::Unavailable(Duration::from_secs(1)))]
        );
        assert!(owner.is_idle());
    }
}

#[test]
fn ask_clock_differs() {
    let mut owner = Owner::new(OwnerSettings::default());
    let wrong = ClaimRequest {
        wall: WallTime(WALL - 6 * 60_000),
        ..claim_request(0, 1)
    };
    let actions = owner.on(clocks_at(0), OwnerEvent::Claim(QueryId(1), wrong));
    assert_eq!(actions, vec![OwnerAction::Answer(QueryId(1), Verdict::ClockSkew)]);
}

#[test]
fn ask_bucket_full() {
    let mut owner = Owner::new(OwnerSettings::default());
    let mut full = Bucket::default();
    for index in 1.. {
        let answer = StoredAnswer {
            status: 200,
            content: None,
            body: vec![0; MAX_ANSWER],
        };
        let record = Record {
            token: ClaimToken(Uuid::from_u128(u128::from(index))),
            fingerprint: claim_request(0, 1).fingerprint,
            state: State::Finished { answer: Some(answer) },
        };
        full.add(claim_ref(index).id, record);
        if full.size() > MAX_BUCKET {
            break;
        }
    }
    owner.on(clocks_at(0), claim_event(1, 0, 1));
    let actions = owner.on(
        clocks_at(3),
        OwnerEvent::Current(claim_ref(0).bucket, Revision(8), full),
    );
    assert_eq!(answers(&actions), vec![(1, Verdict::Full)]);
    assert!(writes(&actions).is_empty());
}

#[test]
fn ask_when_stopping() {
    let mut owner = Owner::new(OwnerSettings::default());
    owner.on(clocks_at(0), OwnerEvent::Stop);
    let actions = owner.on(clocks_at(1), claim_event(1, 0, 1));
    assert_eq!(actions, vec![OwnerAction::Answer(QueryId(1), Verdict::Stopping)]);
}
