//! Size and recipients of heartbeats.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use sequoiastream_core::config::Version;
use sequoiastream_core::membership::Action;
use sequoiastream_core::membership::Event;
use sequoiastream_core::membership::Heartbeat;
use sequoiastream_core::membership::InstanceInfo;
use sequoiastream_core::membership::Limits;
use sequoiastream_core::membership::Listing;
use sequoiastream_core::membership::LocalInstance;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::membership::MemberTable;
use sequoiastream_core::time::Time;
use sequoiastream_peer::datagram::MAX_DATAGRAM;

use crate::membership::name;

/// Guards against heartbeats that exceed the datagram size when instances and zones have names of the maximum length.
/// Such a heartbeat would not be sent at all, and each instance would consider all others silent.
#[test]
fn send_longest_names() {
    let long = |i: usize| name(&format!("i{i:0>62}"));
    let about = |i: u16| InstanceInfo {
        incarnation: u64::MAX,
        number: u64::MAX / 2,
        zone: long(usize::from(i)),
        address: SocketAddr::from(([255; 16], 60_000 + i)),
        peer_address: SocketAddr::from(([255; 16], 61_000 + i)),
        state: MemberState::Live,
        version: Version(u64::MAX),
        silence: u32::MAX,
    };
    let myself = LocalInstance {
        name: long(0),
        info: about(0),
        seed: 1,
    };
    let now = Time::from_millis(3_600_000);
    let mut members = MemberTable::new(myself, Limits::default());
    for i in 1..30 {
        let beat = Heartbeat {
            info: about(i),
            rumors: Vec::new(),
            notices: Vec::new(),
        };
        members.on(now, Event::Heartbeat(long(usize::from(i)), beat));
    }
    let leaving = (0..40).map(|i| SocketAddr::from(([255; 16], 50_000 + i)));
    members.on(now, Event::Leaving(leaving.collect()));
    let mut sent = 0;
    for action in members.on(now, Event::Tick) {
        if let Action::Send(_, beat) = action {
            let bytes = postcard::to_allocvec(&beat).expect("it can be written").len();
            // The frame adds its sender, incarnation, counter and tag.
            assert!(bytes + 64 + 16 + 10 + 16 <= MAX_DATAGRAM, "{bytes}");
            assert!(beat.rumors.len() >= 2, "{}", beat.rumors.len());
            sent += 1;
        }
    }
    assert_eq!(sent, 2);
}

/// Guards against nearly all heartbeats of a large fleet crossing zones, where traffic is expensive: two of sixteen do at
/// both fleet sizes, and nearly all peers get some.
#[test]
fn send_mostly_in_zone() {
    for size in [985, 2_000] {
        let zone = |i: u16| name(["a", "b", "c", "d", "e", "f"][usize::from(i % 6)]);
        let address = |i: u16| SocketAddr::from(([10, 0, 0, 1], 10_000 + i));
        let about = |i: u16| InstanceInfo::new(1, zone(i), address(i), address(i));
        let myself = LocalInstance {
            name: name("i0"),
            info: about(0),
            seed: 1,
        };
        let limits = Limits {
            fanout: 16,
            cross_zone: 2,
            ..Limits::default()
        };
        let mut members = MemberTable::new(myself, limits);
        let now = Time::from_millis(3_600_000);
        let listing = |i: u16| Listing {
            name: name(&format!("i{i}")),
            zone: zone(i),
            address: address(i),
            peer_address: address(i),
            state: MemberState::Live,
        };
        members.on(now, Event::Listed((1..size).map(listing).collect()));
        let mut reached = BTreeSet::new();
        for _ in 0..4_000 {
            let sends = members.on(now, Event::Tick).into_iter();
            let sends = sends.filter_map(|action| match action {
                Action::Send(to, _) => Some(to),
                _ => None,
            });
            let sends: Vec<SocketAddr> = sends.collect();
            let cross_zone = sends.iter().filter(|to| (to.port() - 10_000) % 6 != 0).count();
            assert_eq!((sends.len(), cross_zone), (16, 2));
            reached.extend(sends);
        }
        assert!(reached.len() > usize::from(size) * 99 / 100, "{}", reached.len());
    }
}
