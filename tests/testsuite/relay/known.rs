//! The replica of the store, and what an instance sends to peers from it.

use std::time::Duration;

use bytes::Bytes;
use sequoiastream::ops::relay::edge::StoreKeys;
use sequoiastream::ops::relay::edge::Translate;
use sequoiastream::ops::relay::known::StoreReplica;
use sequoiastream_core::relay::watchers::ConfirmationId;
use sequoiastream_core::relay::watchers::ConfirmedStatus;
use sequoiastream_core::time::Time;
use sequoiastream_kv::store::Change;
use sequoiastream_kv::store::Item;

use super::instance::TestDialect;
use super::rev;

const NOW: Time = Time::from_millis(60_000);

fn keys() -> StoreKeys {
    TestDialect::new().keys().clone()
}

fn item(key: &str, revision: u64, bytes: usize) -> Item {
    Item {
        key: key.to_string(),
        value: Bytes::from(vec![b'x'; bytes]),
        revision: rev(revision),
        created: rev(revision),
    }
}

/// A replica that contains two engines as of revision 10.
fn replica() -> StoreReplica {
    let replica = StoreReplica::new();
    replica.on_snapshot(
        &keys(),
        rev(10),
        &[item("engines/a", 3, 1), item("engines/b", 7, 1)],
    );
    replica.on_store_answer(NOW, NOW, Duration::ZERO, rev(10));
    replica
}

fn removal(key: &str, revision: u64) -> Change {
    let key = key.to_string();
    Change::Removed {
        key,
        revision: rev(revision),
    }
}

/// What is sent to a peer that knows `revision`: revisions of the items written since, keys removed, revisions of large
/// items.
fn reported(replica: &StoreReplica, revision: u64) -> Option<(Vec<u64>, Vec<String>, Vec<u64>)> {
    let changes = replica.changes_since(NOW, rev(revision))?;
    let items = changes.items.iter().map(|item| item.revision.number).collect();
    let removed = changes.removed.into_iter().map(|(_, key)| key).collect();
    let large = changes
        .large
        .iter()
        .map(|(revision, _)| revision.number)
        .collect();
    Some((items, removed, large))
}

#[test]
fn tell_since_what_changed() {
    let replica = replica();
    replica.on_change(&keys(), &Change::Put(item("engines/a", 11, 1)));
    replica.on_change(&keys(), &removal("engines/b", 12));
    replica.on_change(&keys(), &Change::Put(item("config", 13, 60_000)));
    replica.on_change(&keys(), &Change::Put(item("others/x", 14, 1)));
    replica.on_store_answer(NOW, NOW, Duration::ZERO, rev(14));
    let b = "engines/b".to_string();
    assert_eq!(
        reported(&replica, 10),
        Some((vec![11], vec![b.clone()], vec![13]))
    );
    assert_eq!(reported(&replica, 11), Some((vec![], vec![b], vec![13])));
    assert_eq!(reported(&replica, 13), Some((vec![], vec![], vec![])));
}

/// Guards against requests going to an engine that is gone. Sequence: an instance lags further behind than its peer's
/// history of removals reaches, and takes what the peer sends for all changes since.
#[test]
fn tell_since_before_it_knew() {
    let replica = replica();
    assert_eq!(reported(&replica, 9), None);
    for revision in 11..2_100 {
        replica.on_change(&keys(), &removal(&format!("engines/{revision}"), revision));
    }
    replica.on_store_answer(NOW, NOW, Duration::ZERO, rev(2_100));
    assert_eq!(reported(&replica, 10), None);
    let (_, removed, _) = reported(&replica, 2_000).expect("a recent revision");
    assert_eq!(removed.len(), 99);
}

/// Guards against sending everything to each listener after each failed call of its watcher. Cause: reading everything
/// counts as a new beginning, although the removals since can be derived from it.
#[test]
fn tell_since_across_a_read() {
    let replica = replica();
    replica.on_snapshot(
        &keys(),
        rev(20),
        &[item("engines/b", 7, 1), item("engines/c", 15, 1)],
    );
    replica.on_store_answer(NOW, NOW, Duration::ZERO, rev(20));
    let a = "engines/a".to_string();
    assert_eq!(reported(&replica, 10), Some((vec![15], vec![a], vec![])));
}

#[test]
fn tell_ages() {
    let replica = replica();
    let later = NOW + Duration::from_millis(300);
    let changes = replica.changes_since(later, rev(10)).expect("the full history");
    assert_eq!((changes.age, replica.page(later, "").age), (300, 300));
    assert_eq!(changes.confirmation, replica.page(later, "").confirmation);
    let confirmation = ConfirmationId {
        process: 1,
        number: 1,
    };
    let status = ConfirmedStatus::new(rev(10), 40, confirmation);
    assert!(!replica.on_peer_status(later, status));
    let page = replica.page(later, "");
    assert_eq!((page.age, page.confirmation), (40, confirmation));
    assert_eq!(StoreReplica::new().page(later, "").age, u32::MAX);
}

/// Guards against an answer to a starting peer that exceeds the frame limit, as with ten thousand engines.
#[test]
fn tell_in_pages() {
    let replica = StoreReplica::new();
    let items = ["a", "b", "c", "d"].map(|name| item(&format!("engines/{name}"), 3, 200 * 1024));
    replica.on_snapshot(&keys(), rev(10), &items);
    let mut after = String::new();
    let mut pages = Vec::new();
    loop {
        let page = replica.page(NOW, &after);
        pages.push(page.items.iter().map(|item| item.key.clone()).collect::<Vec<_>>());
        assert_eq!(page.revision, replica.revision());
        match page.more {
            true => after = page.items.last().expect("a non-empty page").key.clone(),
            false => break,
        }
    }
    assert_eq!(pages, [["engines/a", "engines/b"], ["engines/c", "engines/d"]]);
}

/// Guards against an answer that exceeds the frame limit while ten thousand engines register, and against a truncated
/// answer that passes for a complete one.
#[test]
fn tell_since_in_parts() {
    let replica = replica();
    for revision in 11..61 {
        replica.on_change(
            &keys(),
            &Change::Put(item(&format!("engines/{revision}"), revision, 20_000)),
        );
    }
    replica.on_change(&keys(), &removal("engines/a", 62));
    replica.on_store_answer(NOW, NOW, Duration::ZERO, rev(62));
    let first = replica.changes_since(NOW, rev(10)).expect("a recent revision");
    assert_eq!(
        (first.items.len(), first.revision, first.age),
        (27, rev(37), u32::MAX)
    );
    assert_eq!(first.removed, []);
    let second = replica
        .changes_since(NOW, first.revision)
        .expect("a recent revision");
    assert_eq!(
        (second.items.len(), second.revision, second.age),
        (23, rev(62), 0)
    );
    assert_eq!(second.removed, [(rev(62), "engines/a".to_string())]);
}
