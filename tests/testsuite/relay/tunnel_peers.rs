//! Selection of the peers that are asked for a tunnel.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sequoiastream_core::relay::tunnel_peers::TunnelPeer;
use sequoiastream_core::relay::tunnel_peers::choose;

/// Number of random draws.
const DRAWS: u64 = 3_000;

/// Peers 1, 2, ... in these zones, of which those with an upper-case letter are detached.
fn peers(zones: &[&str]) -> Vec<TunnelPeer> {
    let peers = (1..).zip(zones).map(|(number, zone)| TunnelPeer {
        zone: zone.to_lowercase().parse().expect("a name"),
        address: SocketAddr::from(([10, 0, 0, number], 8_144)),
        detached: zone.to_lowercase() != *zone,
    });
    peers.collect()
}

/// How often each pair of peers is chosen for an engine in zone `a`, by the last bytes of their addresses.
fn choices(zones: &[&str]) -> BTreeMap<Vec<u8>, u64> {
    let peers = peers(zones);
    let last_byte = |address: SocketAddr| match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => unreachable!("only IPv4 addresses are used"),
    };
    let mut choices = BTreeMap::new();
    for draw in 0..DRAWS {
        let draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let chosen = choose(&peers, "a", draw).into_iter().map(last_byte);
        *choices.entry(chosen.collect()).or_default() += 1;
    }
    choices
}

#[test]
fn choose_own_zone_first() {
    let pairs = choices(&["b", "a", "b"]);
    let expected = [vec![2, 1], vec![2, 3]];
    assert_eq!(pairs.into_keys().collect::<Vec<_>>(), expected);
    assert!(choices(&["a", "b", "a"]).keys().all(|pair| !pair.contains(&2)));
}

/// Guards against tunnel requests to peers that have lost their engines too.
#[test]
fn choose_no_detached() {
    assert_eq!(choices(&["A", "b"]).into_keys().collect::<Vec<_>>(), [[2]]);
    assert_eq!(choices(&["A", "B"]), BTreeMap::from([(vec![], DRAWS)]));
    assert_eq!(choices(&[]), BTreeMap::from([(vec![], DRAWS)]));
}

/// Guards against one peer that carries the tunnels of all requests of an instance while the others carry none.
#[test]
fn choose_spreads() {
    let pairs = choices(&["a", "a", "a", "a", "a"]);
    assert_eq!(pairs.len(), 20, "every pair in each order: {pairs:?}");
    let fair = DRAWS / 20;
    assert!(
        pairs.values().all(|count| (fair / 2..=fair * 2).contains(count)),
        "{pairs:?}"
    );
}

/// Requests with the same draw go to the same peers while the peers stay the same, in whatever order they are listed.
#[test]
fn choose_by_draw_alone() {
    let peers = peers(&["a", "a", "b", "b", "a"]);
    let reversed: Vec<TunnelPeer> = peers.iter().rev().cloned().collect();
    for draw in 0..100 {
        assert_eq!(choose(&peers, "a", draw), choose(&reversed, "a", draw));
    }
}
