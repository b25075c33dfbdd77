//! Which addresses callers are told.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use sequoiastream_core::relay::directory::Entrance;
use sequoiastream_core::relay::directory::choose;

/// Addresses that a caller takes.
const MOST: usize = 64;

/// So many instances of each zone, every tenth of them four times as large as the others.
fn fleet(sizes: &[usize]) -> Vec<Entrance> {
    let zones = sizes.iter().enumerate();
    let entrances = zones.flat_map(|(zone, size)| {
        (0..*size).map(move |index| Entrance {
            address: SocketAddr::from(([10, zone as u8, 0, index as u8], 8_144)),
            zone: format!("z{zone}").parse().expect("a name"),
            capacity: if index % 10 == 0 { 500 } else { 125 },
        })
    });
    entrances.collect()
}

/// What comes to each instance, if each zone has the same number of callers, which pick at random.
fn shares(fleet: &[Entrance], zones: usize) -> BTreeMap<SocketAddr, f64> {
    let mut shares: BTreeMap<SocketAddr, f64> = fleet.iter().map(|e| (e.address, 0.0)).collect();
    for zone in 0..zones {
        let told = choose(fleet, Some(&format!("z{zone}")), "10.9.0.1", MOST);
        let part = 1.0 / (told.len() * zones) as f64;
        told.iter()
            .for_each(|address| *shares.entry(*address).or_default() += part);
    }
    shares
}

#[test]
fn choose_all_of_few() {
    let fleet = fleet(&[3, 3, 2]);
    let all: Vec<SocketAddr> = fleet.iter().map(|e| e.address).collect();
    for zone in [None, Some("z1"), Some("nowhere")] {
        assert_eq!(choose(&fleet, zone, "10.9.0.1", MOST), all);
    }
    assert_eq!(choose(&[], None, "10.9.0.1", MOST), Vec::new());
}

/// A third of 195 instances carries all requests, the others none. Order: callers are told of all, and take the first 64.
/// Every instance gets its part, and none more than twice as much.
#[test]
fn choose_spreads_by_capacity() {
    let fleet = fleet(&[34, 29, 30, 36, 35, 31]);
    let shares = shares(&fleet, 6);
    let capacity: u32 = fleet.iter().map(|e| e.capacity).sum();
    for entrance in &fleet {
        let fair = f64::from(entrance.capacity) / f64::from(capacity);
        let share = shares[&entrance.address];
        assert!(share > 0.0, "{entrance:?} gets nothing");
        assert!(
            share < 2.0 * fair,
            "{entrance:?} gets {share}, its part is {fair}"
        );
    }
}

#[test]
fn choose_own_zone_first() {
    let fleet = fleet(&[34, 29, 30, 36, 35, 31]);
    let told = choose(&fleet, Some("z3"), "10.9.0.1", MOST);
    assert_eq!(told.len(), MOST);
    let own = fleet.iter().filter(|e| e.zone.as_str() == "z3");
    assert!(own.map(|e| e.address).all(|address| told.contains(&address)));
}

/// A zone with one instance and most of the callers. They are told others too, so that it isn't overrun.
#[test]
fn choose_beyond_small_zone() {
    let fleet = fleet(&[1, 80, 80]);
    let told = choose(&fleet, Some("z0"), "10.9.0.1", MOST);
    assert_eq!(told.len(), MOST);
    assert!(told.contains(&fleet[0].address));
}

/// Callers drop connections that the next answer doesn't name. When an instance goes, an answer changes by that one and
/// its substitute; without change, by nothing.
#[test]
fn choose_stays_the_same() {
    let fleet = fleet(&[34, 29, 30, 36, 35, 31]);
    for gone in [0, 17, 100, 194] {
        let mut left = fleet.clone();
        left.remove(gone);
        for zone in 0..6 {
            let zone = format!("z{zone}");
            let before: BTreeSet<SocketAddr> = choose(&fleet, Some(&zone), "10.9.0.1", MOST)
                .into_iter()
                .collect();
            let after: BTreeSet<SocketAddr> =
                choose(&left, Some(&zone), "10.9.0.1", MOST).into_iter().collect();
            assert!(before.difference(&after).count() <= 1, "{zone} without {gone}");
        }
    }
}

/// A third of a large zone carries nothing. Order: its callers are all told the same part of it. What they are told differs
/// from caller to caller, and stays the same for each.
#[test]
fn choose_differs_by_caller() {
    let fleet = fleet(&[100, 4]);
    let told = |caller: u8| choose(&fleet, Some("z0"), &format!("10.9.0.{caller}"), MOST);
    let all: BTreeSet<SocketAddr> = (0..20).flat_map(told).collect();
    assert_eq!(all.len(), 100);
    assert_eq!(told(3), told(3));
}
