//! The recipients of messages about load, and the size of these messages.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_core::relay::cached_parts::PrefillRecord;
use sequoiastream_core::relay::load_message::LoadMessage;
use sequoiastream_core::relay::load_message::LoadPeers;
use sequoiastream_core::relay::load_message::round_robin;
use sequoiastream_core::relay::load_tracker::Work;
use sequoiastream_peer::datagram::MAX_DATAGRAM;

fn peers(count: u16) -> Vec<SocketAddr> {
    (0..count)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect()
}

#[test]
fn part_all_of_few() {
    for turn in 0..5 {
        let mut recipients = round_robin(&peers(7), turn, 16);
        recipients.sort();
        assert_eq!(recipients, peers(7));
    }
    assert_eq!(round_robin(&[], 3, 16), Vec::new());
}

/// Guards against most instances of a large fleet never learning of the others' load. Cause: a fixed number of peers,
/// the first ones by name, get all messages.
#[test]
fn part_goes_round() {
    let peers = peers(349);
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for turn in 0..349 {
        round_robin(&peers, turn, 16)
            .into_iter()
            .for_each(|peer| *counts.entry(peer).or_default() += 1);
    }
    assert_eq!(counts.len(), 349);
    assert!(counts.values().all(|count| *count == 16));
}

/// Guards against a thousand small instances spending all their time on messages about each other's load. Idle
/// instances get messages from few peers at any fleet size, and every instance reaches all peers eventually; busy
/// instances of one zone get each other's messages as in a small fleet.
#[test]
fn recipients_by_fleet_size() {
    let few = peers(16);
    let (same_zone, other_zones) = few.split_at(4);
    fn count(same_zone: &[SocketAddr], other_zones: &[SocketAddr], busy: &[SocketAddr], turn: u32) -> usize {
        let load_peers = LoadPeers {
            same_zone,
            other_zones,
            busy,
        };
        load_peers.recipients(turn).len()
    }
    assert_eq!(count(same_zone, other_zones, &[], 1), 16, "all of a small fleet");
    for size in [985, 2_000] {
        let all = peers(size);
        let (same_zone, other_zones) = all.split_at(usize::from(size / 6));
        let busy = &same_zone[..10];
        assert_eq!(count(same_zone, other_zones, busy, 1), 10);
        assert_eq!(count(same_zone, other_zones, &[], 1), 0);
        assert_eq!(count(same_zone, other_zones, &[], 32), 9);
        let load_peers = LoadPeers {
            same_zone,
            other_zones,
            busy,
        };
        assert_eq!(load_peers.turns(), 1);
        let rounds = (0..u32::from(size)).flat_map(|round| load_peers.recipients(round * 16));
        let reached: BTreeSet<SocketAddr> = rounds.collect();
        assert_eq!(reached.len(), usize::from(size));
    }
}

/// Guards against the load of the busiest instance being unknown to all others. Sequence: it has work at 200 engines,
/// so its message is longer than a datagram may be and is not sent. Trimmed to the limit, the message reports the
/// engines on which the instance has most work.
#[test]
fn trim_keeps_most_work() {
    let work = |index: u32| Work {
        requests: index,
        prefill: Duration::ZERO,
    };
    let all = (1..=200).map(|index| (format!("i-{index:010}"), work(index)));
    let reads = (0..10).map(|part| PrefillRecord {
        engine: 7,
        part,
        tokens: 1,
    });
    let message = LoadMessage::new(all.collect(), reads.collect());
    let full_length = postcard::to_allocvec(&message)
        .expect("a serializable message")
        .len();
    assert!(full_length > MAX_DATAGRAM, "{full_length}");
    let trimmed = message.trim(MAX_DATAGRAM as f64 / full_length as f64 * 0.8);
    let length = postcard::to_allocvec(&trimmed)
        .expect("a serializable message")
        .len();
    assert!((600..MAX_DATAGRAM - 120).contains(&length), "{length}");
    assert!(
        trimmed
            .shares
            .iter()
            .all(|share| share.requests > 200 - trimmed.shares.len() as u32)
    );
    let parts: Vec<u64> = trimmed.reads.iter().map(|read| read.part).collect();
    assert_eq!(parts.last(), Some(&9), "the latest are kept: {parts:?}");
}
