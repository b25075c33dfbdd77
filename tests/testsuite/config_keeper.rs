//! Accepting and following changes: the order of events that each guard is for.

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

/// A proposal of `who` to quarantine `print`, based on version `base`.
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

/// A head of `count` changes, each by another operator of another thing, and its state.
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

/// A keeper that has seen `head` at revision 1.
fn replicator(head: &Head) -> Replicator {
    let mut replicator = Replicator::new(Time::ZERO, LIMIT);
    replicator.on(Time::ZERO, Event::Read(stored(1, head)));
    replicator
}

fn submit(replicator: &mut Replicator, proposal: Proposal) -> Vec<Action> {
    replicator.on(Time::ZERO, Event::Submitted(SubmissionId(1), Box::new(proposal)))
}

/// Two operators look at version 3. One quarantines a fingerprint; the other, who hasn't seen that, decides on the
/// same fingerprint and would undo it. He is told which change came first; one who decides on something else, and
/// the first operator himself, are not in anyone's way.
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

/// A writer stores its head, is paused before the write reaches the service, and wakes when many changes and two
/// snapshots later nothing of its head holds. Its write must fail, and it must not be tried anew on a
/// configuration that its operator has never seen.
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
        "compared on the service's version of the key"
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

/// The write took effect, its answer was lost, and another change came on top. The operator must be told the
/// version that his change made, and it must not be made a second time.
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

/// The same, but the service stays out: nobody can tell, and the operator is told just that.
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

/// An answer of the service comes late, after a newer one, and offers a configuration that operators have replaced.
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

/// A peer that was cut off for long tells its old configuration, whole and as changes.
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

/// An instance that restarts hears a peer that is itself behind, and then the service. The peer must not be
/// asked first, or the instance would serve an older configuration than before its restart.
#[test]
fn heard_fresh() {
    let peer: SocketAddr = "10.0.0.2:80".parse().expect("an address");
    let mut replicator = Replicator::new(Time::ZERO, LIMIT);
    assert_eq!(
        replicator.on(Time::ZERO, Event::PeerVersion(peer, Version(3))),
        []
    );
    // The service is out: better the peer that is farthest ahead than nothing.
    let later = Time::ZERO + Duration::from_secs(3);
    let ahead: SocketAddr = "10.0.0.3:80".parse().expect("an address");
    assert_eq!(
        replicator.on(Time::ZERO, Event::PeerVersion(ahead, Version(5))),
        []
    );
    let fetch = Action::Fetch(ahead, Version(0));
    assert_eq!(replicator.on(later, Event::Tick), [fetch]);
}

/// The tail is long: its writer stores a snapshot first, swaps in a head with a short tail, and removes the
/// snapshot before the last, which only a reader a whole tail behind could still want.
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

/// An instance has just started and waits for the snapshot when an operator's statement comes in. It must be
/// worked out on the configuration in force, not on the empty one, and not be refused for being based on it.
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

/// An operator gives a command again days later, when its id has left the trail. It must not take effect a
/// second time; ids of later commands must be taken.
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

/// Two histories claim the same version: an invariant of ours is broken, and the one that is in force stays.
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
