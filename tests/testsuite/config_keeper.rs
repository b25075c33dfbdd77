//! Accepting and replicating configuration changes: for each safeguard, the sequence of events that requires it.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_core::config::Action;
use sequoiastream_core::config::Base;
use sequoiastream_core::config::Command;
use sequoiastream_core::config::CommandId;
use sequoiastream_core::config::CommandStatus;
use sequoiastream_core::config::Event;
use sequoiastream_core::config::Follower;
use sequoiastream_core::config::Head;
use sequoiastream_core::config::Outcome;
use sequoiastream_core::config::Progress;
use sequoiastream_core::config::Proposal;
use sequoiastream_core::config::ProposalError;
use sequoiastream_core::config::Replicator;
use sequoiastream_core::config::Resource;
use sequoiastream_core::config::Revision;
use sequoiastream_core::config::State;
use sequoiastream_core::config::StoredHead;
use sequoiastream_core::config::SubmissionId;
use sequoiastream_core::config::SubmitError;
use sequoiastream_core::config::SwapResult;
use sequoiastream_core::config::Version;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;
use uuid::Uuid;

const LIMIT: Duration = Duration::from_secs(10);

/// A proposal by `who` to quarantine the fingerprint `print`, based on version `base`.
fn proposal(id: u128, who: &str, print: &str, base: Base) -> Proposal {
    Proposal {
        id: CommandId(Uuid::from_u128(id)),
        who: who.to_string(),
        from: "10.0.0.9:40000".to_string(),
        when: WallTime(0),
        statement: format!("quarantine fingerprint {print}"),
        commands: vec![Command::Quarantine {
            fingerprint: print.to_string(),
        }],
        base,
    }
}

fn implied(version: u64) -> Base {
    Base::Implied(Version(version))
}

/// A head of `count` changes, each by a different operator to a different resource, and the resulting state.
fn history(count: u64) -> (Head, State) {
    let (mut head, mut state) = (Head::default(), State::default());
    for i in 1..=count {
        let change = proposal(u128::from(i), &format!("o{i}"), &format!("f{i}"), implied(i - 1));
        head = head.push(&state, &change).expect("it can be applied");
        state
            .apply(head.tail.back().expect("just pushed"))
            .expect("it follows");
    }
    (head, state)
}

fn stored(revision: u64, head: &Head) -> StoredHead {
    StoredHead {
        revision: Revision(revision),
        head: head.clone(),
    }
}

/// A replicator that has read `head` at revision 1.
fn replicator(head: &Head) -> Replicator {
    let mut replicator = Replicator::new(Time::ZERO, LIMIT);
    replicator.on(Time::ZERO, Event::Read(stored(1, head)));
    replicator
}

fn submit(replicator: &mut Replicator, proposal: Proposal) -> Vec<Action> {
    replicator.on(Time::ZERO, Event::Submitted(SubmissionId(1), Box::new(proposal)))
}

/// Two operators act on version 3. One quarantines a fingerprint; the other, unaware of that, changes the same
/// fingerprint and would undo it. The second must be rejected with the change that came first. A change to another
/// resource, or another change by the first operator, does not conflict.
#[test]
fn check_racing() {
    let (head, state) = history(3);
    let first = proposal(100, "amina", "beef", implied(3));
    let head = head.push(&state, &first).expect("accepted");
    let mut state = state;
    state
        .apply(head.tail.back().expect("just pushed"))
        .expect("it follows");
    let lost = ProposalError::Conflict {
        resource: Resource::Fingerprint("beef".to_string()),
        version: Version(4),
        who: "amina".to_string(),
        statement: "quarantine fingerprint beef".to_string(),
        base: Version(3),
    };
    let cases = [
        (proposal(101, "baraka", "beef", implied(3)), Err(lost.clone())),
        (proposal(102, "baraka", "cafe", implied(3)), Ok(None)),
        (proposal(103, "baraka", "beef", implied(4)), Ok(None)),
        (proposal(104, "amina", "beef", implied(3)), Ok(None)),
        (
            proposal(105, "amina", "beef", Base::Explicit(Version(3))),
            Err(lost),
        ),
        (proposal(100, "amina", "beef", implied(3)), Ok(Some(Version(4)))),
    ];
    for (proposal, expected) in cases {
        assert_eq!(head.check(&state, &proposal), expected, "{:?}", proposal.id);
    }
}

/// A writer is paused before its write reaches the key-value service, and resumes many changes and two snapshots later,
/// when its head is out of date. The write must fail, and must not be retried on a configuration that its operator has
/// never seen.
#[test]
fn swap_paused_writer() {
    let (head, _) = history(3);
    let mut replicator = replicator(&head);
    let actions = submit(&mut replicator, proposal(100, "amina", "beef", implied(3)));
    let expect = match actions.as_slice() {
        [Action::SwapHead(SubmissionId(1), revision, _)] => *revision,
        other => panic!("{other:?}"),
    };
    assert_eq!(
        expect,
        Revision(1),
        "the write must be conditional on the revision of the stored head"
    );
    let (later, state) = history(40);
    let later = later.shorten();
    let woken = Time::ZERO + LIMIT + Duration::from_secs(50);
    let conflict = SwapResult::Conflict(stored(90, &later));
    let actions = replicator.on(woken, Event::Swapped(SubmissionId(1), conflict));
    assert_eq!(actions, [Action::ReadSnapshot(Version(40))]);
    let actions = replicator.on(woken, Event::Snapshot(Some(Box::new(state))));
    let answer = Action::Answer(SubmissionId(1), Err(SubmitError::TimedOut));
    assert_eq!(actions, [Action::Publish, answer]);
}

/// A write takes effect, its response is lost, and another change follows. The operator must be told the version that
/// the change created, and the change must not be applied a second time.
#[test]
fn swap_answer_lost() {
    let (head, state) = history(3);
    let mut replicator = replicator(&head);
    let ours = proposal(100, "amina", "beef", implied(3));
    submit(&mut replicator, ours.clone());
    assert_eq!(
        replicator.on(Time::ZERO, Event::Swapped(SubmissionId(1), SwapResult::Unknown)),
        [Action::Read]
    );
    let taken = head.push(&state, &ours).expect("accepted");
    let mut state = state;
    state
        .apply(taken.tail.back().expect("just pushed"))
        .expect("it follows");
    let above = taken.push(&state, &proposal(101, "baraka", "cafe", implied(4)));
    let actions = replicator.on(Time::ZERO, Event::Read(stored(9, &above.expect("accepted"))));
    let outcome = Outcome {
        version: Version(4),
        repeated: false,
    };
    assert_eq!(
        actions,
        [Action::Publish, Action::Answer(SubmissionId(1), Ok(outcome))]
    );
}

/// As above, but the key-value service stays unavailable: the operator must be told that the outcome is unknown.
#[test]
fn swap_answer_lost_service_out() {
    let (head, _) = history(3);
    let mut replicator = replicator(&head);
    submit(&mut replicator, proposal(100, "amina", "beef", implied(3)));
    replicator.on(Time::ZERO, Event::Swapped(SubmissionId(1), SwapResult::Unknown));
    replicator.on(Time::ZERO, Event::ReadFailed);
    let actions = replicator.on(Time::ZERO + LIMIT, Event::Tick);
    assert_eq!(
        actions,
        [Action::Answer(SubmissionId(1), Err(SubmitError::Unknown))]
    );
}

/// A delayed response of the key-value service, received after a newer one, must not bring back a replaced
/// configuration.
#[test]
fn stored_from_the_past() {
    let (old, _) = history(3);
    let (new, _) = history(5);
    let mut follower = Follower::default();
    assert_eq!(follower.on_stored(stored(7, &new)), Progress::Advanced);
    assert_eq!(follower.on_stored(stored(4, &old)), Progress::Stale);
    assert_eq!(follower.on_stored(stored(9, &old)), Progress::Stale);
    assert_eq!(follower.stored().map(|s| s.revision), Some(Revision(7)));
    assert_eq!(follower.state().version, Version(5));
}

/// A peer that was disconnected for long sends its old configuration, as a full state and as changes; both are ignored.
#[test]
fn update_stale_peer() {
    let (head, state) = history(5);
    let mut follower = Follower::default();
    follower.on_stored(stored(1, &head));
    let mut stale = Follower::default();
    stale.on_stored(stored(1, &history(3).0));
    for after in [Version(0), Version(2), Version(9)] {
        let progress = follower.on_update(stale.update_after(after));
        assert!(
            matches!(progress, Progress::Unchanged | Progress::Stale),
            "{progress:?}"
        );
        assert_eq!(follower.state(), &state);
    }
}

/// A restarted instance may hear from a peer that is itself behind before it hears from the key-value service. It
/// must not fetch from the peer first, or it would serve an older configuration than before its restart.
#[test]
fn heard_fresh() {
    let peer: SocketAddr = "10.0.0.2:80".parse().expect("an address");
    let mut replicator = Replicator::new(Time::ZERO, LIMIT);
    assert_eq!(
        replicator.on(Time::ZERO, Event::PeerVersion(peer, Version(3))),
        []
    );
    // If the service stays unavailable, the peer with the highest version is used instead.
    let later = Time::ZERO + Duration::from_secs(3);
    let ahead: SocketAddr = "10.0.0.3:80".parse().expect("an address");
    assert_eq!(
        replicator.on(Time::ZERO, Event::PeerVersion(ahead, Version(5))),
        []
    );
    let fetch = Action::Fetch(ahead, Version(0));
    assert_eq!(replicator.on(later, Event::Tick), [fetch]);
}

/// If the tail is long, the writer first stores a snapshot, then swaps in a head with a short tail and removes the
/// snapshot before the previous one, which only a reader that is a whole tail behind could still need.
#[test]
fn submit_tail_long() {
    let (mut head, state) = history(40);
    head.prior = Version(1);
    head.base = Version(2);
    let mut replicator = Replicator::new(Time::ZERO, LIMIT);
    replicator.on(Time::ZERO, Event::Read(stored(1, &head)));
    let actions = submit(&mut replicator, proposal(100, "amina", "beef", implied(40)));
    assert_eq!(actions, [Action::StoreSnapshot(SubmissionId(1), Box::new(state))]);
    let event = Event::SnapshotStored(SubmissionId(1), Version(40), true);
    let actions = replicator.on(Time::ZERO, event);
    let [Action::SwapHead(_, Revision(1), next)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(
        (next.base, next.prior, next.version),
        (Version(40), Version(2), Version(41))
    );
    assert_eq!(next.tail.len(), 9);
    let done = Event::Swapped(SubmissionId(1), SwapResult::Done(Revision(2)));
    let actions = replicator.on(Time::ZERO, done);
    let outcome = Outcome {
        version: Version(41),
        repeated: false,
    };
    let answer = Action::Answer(SubmissionId(1), Ok(outcome));
    assert_eq!(
        actions,
        [Action::Publish, Action::RemoveSnapshot(Version(1)), answer]
    );
}

/// A statement that arrives while a newly started instance waits for the snapshot must be evaluated against the current
/// configuration instead of the empty one, and must not be rejected for being based on the empty one.
#[test]
fn submit_before_snapshot() {
    let (head, state) = history(40);
    let mut replicator = Replicator::new(Time::ZERO, LIMIT);
    replicator.on(Time::ZERO, Event::Read(stored(1, &head.shorten())));
    let waits = submit(&mut replicator, proposal(100, "amina", "f3", implied(0)));
    assert_eq!(waits, []);
    let actions = replicator.on(Time::ZERO, Event::Snapshot(Some(Box::new(state))));
    assert!(
        matches!(
            actions.as_slice(),
            [Action::Publish, Action::SwapHead(_, Revision(1), _)]
        ),
        "{actions:?}"
    );
}

/// A command that is submitted again days later, when its id is no longer in the trail, must not take effect a second
/// time. Ids of later commands must be accepted.
#[test]
fn find_forgotten() {
    let id = |second: u64| {
        let time = uuid::Timestamp::from_unix(uuid::NoContext, second, 0);
        CommandId(Uuid::new_v7(time))
    };
    let (mut head, mut state) = (Head::default(), State::default());
    let first = id(1_000);
    for i in 0..600 {
        let mut change = proposal(0, "o", &format!("f{i}"), implied(i));
        change.id = if i == 0 { first } else { id(2_000 + i) };
        head = head.push(&state, &change).expect("it can be applied");
        head.tail.drain(..head.tail.len() - 1);
        state.apply(&head.tail[0]).expect("it follows");
    }
    assert_eq!(state.find(first), CommandStatus::Expired);
    assert_eq!(state.find(id(1_500)), CommandStatus::Expired);
    assert_eq!(state.find(id(9_000)), CommandStatus::New);
    let mut again = proposal(0, "o", "f0", implied(600));
    again.id = first;
    assert_eq!(head.check(&state, &again), Err(ProposalError::Expired));
}

/// Two histories with different changes for the same version violate an invariant; the one in force must be kept.
#[test]
fn apply_fork() {
    let (head, state) = history(4);
    let mut follower = Follower::default();
    follower.on_stored(stored(1, &head));
    let (short, below) = history(3);
    let other = short
        .push(&below, &proposal(999, "o", "x", implied(3)))
        .expect("accepted");
    let progress = follower.on_stored(stored(2, &other));
    assert!(matches!(progress, Progress::Inconsistent(_)), "{progress:?}");
    assert_eq!(follower.state(), &state);
}
