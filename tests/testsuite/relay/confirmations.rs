//! How old an instance's data is, by the store's confirmations and those that peers report.

use std::time::Duration;

use sequoiastream_core::relay::watchers::ConfirmationId;
use sequoiastream_core::relay::watchers::ConfirmedStatus;
use sequoiastream_core::relay::watchers::FleetRank;
use sequoiastream_core::relay::watchers::SyncState;
use sequoiastream_core::relay::watchers::SyncStatus;
use sequoiastream_core::relay::watchers::WatchAction;

use crate::relay::rev;
use crate::relay::watchers::LIMIT;
use crate::relay::watchers::at;

/// The status of a peer with its own confirmation by the store.
fn status(revision: u64, millis: u32) -> ConfirmedStatus {
    let confirmation = ConfirmationId {
        process: 1,
        number: revision,
    };
    ConfirmedStatus::new(rev(revision), millis, confirmation)
}

#[test]
fn duty_listens_while_confirmed() {
    let rank = FleetRank { rank: 4, members: 8 };
    let mut state = SyncState::new(0);
    assert_eq!(
        state.watch_action(rank, LIMIT, at(0)),
        WatchAction::Watch,
        "nothing is known yet"
    );
    state.on_store_answer(at(10), at(0), Duration::ZERO, rev(7));
    assert_eq!(
        state.watch_action(rank, LIMIT, at(10)),
        WatchAction::Listen(at(1_500))
    );
    assert!(!state.on_peer_status(at(900), status(7, 300)));
    assert_eq!(
        state.watch_action(rank, LIMIT, at(1_500)),
        WatchAction::Listen(at(2_100))
    );
    assert_eq!(state.watch_action(rank, LIMIT, at(2_100)), WatchAction::Watch);
    let watcher = FleetRank { rank: 1, members: 8 };
    assert_eq!(state.watch_action(watcher, LIMIT, at(10)), WatchAction::Watch);
}

/// Guards against requests going to an engine that has left. Sequence: a peer knows that the engine leaves, and the
/// peer's status counts as a confirmation of the older data here.
#[test]
fn word_ahead_confirms_nothing() {
    let mut state = SyncState::new(0);
    state.on_store_answer(at(0), at(0), Duration::ZERO, rev(7));
    assert!(state.on_peer_status(at(1_000), status(8, 0)));
    assert_eq!(state.age(at(1_000)), Some(Duration::from_secs(1)));
    state.on_peer_changes(at(1_010), status(8, 5));
    assert_eq!(
        (state.revision(), state.age(at(1_010))),
        (rev(8), Some(Duration::from_millis(5)))
    );
}

/// Guards against an instance that acts on data that is ten seconds old and reports it to its zone as current.
/// Sequence: its watch waits for a second, the instance is paused, the answer waits in its socket, the instance
/// resumes.
#[test]
fn answer_after_pause_is_old() {
    let mut state = SyncState::new(0);
    state.on_store_answer(at(1_000), at(1_000), Duration::ZERO, rev(7));
    state.on_store_answer(at(11_000), at(1_000), LIMIT.watch_timeout(), rev(7));
    assert_eq!(state.age(at(11_000)), Some(Duration::from_secs(9)));
}

/// Guards against the same failure with an answer that reports a change: it may have been sent as soon as the call
/// arrived, and the store may have changed again since.
#[test]
fn change_after_pause_is_older() {
    let mut state = SyncState::new(0);
    state.on_store_answer(at(500), at(500), Duration::ZERO, rev(7));
    state.on_store_answer(at(1_900), at(1_000), LIMIT.watch_timeout(), rev(8));
    assert_eq!(state.age(at(1_900)), Some(Duration::from_millis(900)));
    state.on_store_answer(at(11_000), at(2_000), LIMIT.watch_timeout(), rev(9));
    assert_eq!(state.age(at(11_000)), Some(Duration::from_secs(9)));
}

/// Guards against the same failure with messages of peers that waited during a pause: they report the state at the time
/// at which they were sent.
#[test]
fn word_after_pause_not_believed() {
    let mut state = SyncState::new(0);
    state.on_tick(at(0));
    state.on_store_answer(at(0), at(0), Duration::ZERO, rev(7));
    state.on_tick(at(10_000));
    assert!(!state.on_peer_status(at(10_001), status(7, 20)));
    assert_eq!(state.age(at(10_001)), Some(Duration::from_millis(10_001)));
    state.on_tick(at(10_025));
    state.on_peer_status(at(10_400), status(7, 20));
    assert_eq!(state.age(at(10_400)), Some(Duration::from_millis(20)));
}

/// Guards against a confirmation that never expires. Sequence: two instances that no longer reach the store report the
/// age of its last confirmation to each other, and the transit time of each message is missing from that age.
#[test]
fn confirmation_ages_while_relayed() {
    let transit = Duration::from_millis(3);
    let mut states = [1, 2].map(SyncState::new);
    for state in &mut states {
        state.on_store_answer(at(0), at(0), Duration::ZERO, rev(7));
    }
    for message in 1..=800 {
        let sent = at(message * 12);
        let (from, to) = ((message % 2) as usize, ((message + 1) % 2) as usize);
        let status = states[from].sync_status(sent).expect("the store has answered");
        let received = sent + transit;
        states[to].on_peer_status(received, status);
        let age = states[to].age(received).expect("the store has answered");
        let elapsed = received.since(at(0));
        assert!(
            age + transit >= elapsed,
            "the age of the confirmation is {age:?} after {elapsed:?}"
        );
    }
}

/// Guards against messages from before a pause counting as confirmations if they are read before the next tick.
#[test]
fn message_before_tick_not_believed() {
    let mut state = SyncState::new(0);
    state.on_tick(at(0));
    state.on_store_answer(at(0), at(0), Duration::ZERO, rev(7));
    state.on_peer_status(at(10_000), status(7, 20));
    assert_eq!(state.age(at(10_000)), Some(Duration::from_secs(10)));
}

/// Guards against a confirmation that appears older than it is: the slow answer to a request reports it first, with an
/// age counted from the request, and a later message with the same confirmation is ignored.
#[test]
fn message_after_slow_answer_counts() {
    let mut state = SyncState::new(0);
    state.on_peer_changes(at(0), status(8, 100));
    assert_eq!(state.age(at(900)), Some(Duration::from_secs(1)));
    state.on_peer_status(at(900), status(8, 200));
    assert_eq!(state.age(at(900)), Some(Duration::from_millis(200)));
}

/// Guards against a confirmation that is accepted again because its record was removed, and against an age that is
/// rounded down in messages.
#[test]
fn confirmation_counts_once() {
    let mut state = SyncState::new(0);
    state.on_store_answer(at(0), at(0), Duration::ZERO, rev(7));
    state.on_peer_status(at(1_000), status(7, 0));
    let other = ConfirmationId {
        process: 2,
        number: 1,
    };
    state.on_peer_status(at(16_000), ConfirmedStatus::new(rev(7), 15_000, other));
    state.on_peer_status(at(16_000), status(7, 0));
    assert_eq!(state.age(at(16_000)), Some(Duration::from_secs(15)));
    let age = Duration::from_micros(15_000_001);
    assert_eq!(
        SyncStatus {
            revision: rev(7),
            age
        }
        .age_millis(),
        15_001
    );
}
