//! Whom an instance tells about its load.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sequoiastream_core::relay::digest::part;

fn peers(count: u16) -> Vec<SocketAddr> {
    (0..count)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect()
}

#[test]
fn part_all_of_few() {
    for turn in 0..5 {
        let mut told = part(&peers(7), turn, 16);
        told.sort();
        assert_eq!(told, peers(7));
    }
    assert_eq!(part(&[], 3, 16), Vec::new());
}

/// In a large fleet most instances never hear of the others' load. Cause: the first so many by name are told.
#[test]
fn part_goes_round() {
    let peers = peers(349);
    let mut told: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for turn in 0..349 {
        part(&peers, turn, 16)
            .into_iter()
            .for_each(|peer| *told.entry(peer).or_default() += 1);
    }
    assert_eq!(told.len(), 349);
    assert!(told.values().all(|times| *times == 16));
}
