//! Which instances are advertised to callers, and in which order.

use std::net::SocketAddr;

use sequoiastream_caller::AddressBody;
use sequoiastream_core::config::Version;
use sequoiastream_core::membership::Caller;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::membership::Peer;
use sequoiastream_core::membership::rank;
use sequoiastream_testsupport::fleet::KEY;
use sequoiastream_testsupport::http;

use crate::membership::name;
use crate::support::column;
use crate::support::quick_fleet_keeping;
use crate::support::wait_for_members;

/// Requests of one conversation are routed to the same instance, to reuse its prefix cache; other conversations are
/// spread over other instances. When an instance leaves, only its conversations move.
#[test]
fn rank_conversations() {
    let zones = ["lodi-a", "lodi-b"];
    let peer = |i: u16| Peer {
        name: name(&format!("i{i}")),
        zone: name(zones[usize::from(i % 2)]),
        address: SocketAddr::from(([10, 0, 0, 1], i)),
        peer_address: SocketAddr::from(([10, 0, 0, 2], i)),
        state: MemberState::Live,
        heard: true,
        version: Version(1),
    };
    let mut peers: Vec<Peer> = (0..8).map(peer).collect();
    let (zone, product) = (name("lodi-a"), name("dispatch"));
    let order = |peers: &[Peer], conversation: usize| {
        let conversation = conversation.to_string();
        let caller = Caller {
            zone: &zone,
            product: &product,
            conversation: &conversation,
        };
        rank(peers, &caller)
    };
    let before: Vec<_> = (0..400).map(|c| order(&peers, c)).collect();
    for addresses in &before {
        let near = addresses[..4].iter().all(|a| a.port() % 2 == 0);
        assert!(near && addresses.len() == 8, "same zone first: {addresses:?}");
    }
    peers[2].state = MemberState::Leaving;
    peers[4].heard = false;
    for (conversation, before) in before.iter().enumerate() {
        let after = order(&peers, conversation);
        let kept: Vec<_> = before
            .iter()
            .filter(|a| ![2, 4].contains(&a.port()))
            .copied()
            .collect();
        assert_eq!(after, kept);
    }
    let first = |port| before.iter().filter(|a| a[0].port() == port).count();
    assert!(
        [0, 2, 4, 6].iter().all(|port| first(*port) > 60),
        "the load is spread"
    );
}

/// A leaving instance is no longer advertised, neither by itself nor by others, but continues to serve.
#[actix_web::test]
async fn name_leaving() {
    let fleet = quick_fleet_keeping(30_000).daemons(3).start_configured().await;
    wait_for_members(&fleet).await;
    let named = |index: usize| {
        let url = format!("{}/v1/addresses?conversation=c", fleet.daemons[index].url());
        async move {
            let key = format!("Bearer {KEY}");
            let reply = http::send("GET", &url, &[("authorization", &key)], "").await;
            reply.json::<AddressBody>()
        }
    };
    http::until("all are named", || async {
        (named(0).await.addresses.len() == 3).then_some(())
    })
    .await;
    assert_eq!(named(0).await.keep, 30.0);
    let leaving = fleet.daemons[2].address();
    fleet.daemons[2].signal("TERM");
    for index in 0..3 {
        http::until("it is named no more", || async {
            (!named(index).await.addresses.contains(&leaving)).then_some(())
        })
        .await;
    }
    assert_eq!(fleet.complete(2, "which crossover", 3, 1).await.status, 200);
    let states = column(&fleet, 0, "show instances where instance = i2", "state").await;
    assert_eq!(states, ["leaving"]);
}
