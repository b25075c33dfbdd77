//! Membership: which instances are reachable, which may accept work, and which are advertised to callers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use sequoiastream_caller::AddressBody;
use sequoiastream_core::config::Version;
use sequoiastream_core::membership::Action;
use sequoiastream_core::membership::Caller;
use sequoiastream_core::membership::Event;
use sequoiastream_core::membership::Heartbeat;
use sequoiastream_core::membership::InstanceInfo;
use sequoiastream_core::membership::Limits;
use sequoiastream_core::membership::Listing;
use sequoiastream_core::membership::LocalInstance;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::membership::MemberTable;
use sequoiastream_core::membership::PartitionPolicy;
use sequoiastream_core::membership::Peer;
use sequoiastream_core::membership::Reachability;
use sequoiastream_core::membership::Standing;
use sequoiastream_core::membership::evaluate_standing;
use sequoiastream_core::membership::rank;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use sequoiastream_kv::ListEntry;
use sequoiastream_kv::ListedState;
use sequoiastream_peer::datagram::MAX_DATAGRAM;
use sequoiastream_standin::platform::Fault;
use sequoiastream_testsupport::answer::Answer;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::KEY;
use sequoiastream_testsupport::http;
use serde_json::Value;

use crate::support::column;
use crate::support::quick_fleet;
use crate::support::quick_fleet_keeping;
use crate::support::wait_for_members;
use crate::support::wait_for_standing;

/// Time after which a leaving upstream gets no new work.
const PROMISE: Duration = Duration::from_secs(3);

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn partition(names: &[&str]) -> Fault {
    Fault {
        cut: names.iter().map(|n| n.to_string()).collect(),
        ..Fault::default()
    }
}

fn outage() -> Fault {
    Fault {
        outage: true,
        ..Fault::default()
    }
}

#[test]
fn judge_cases() {
    let stale = Duration::from_secs(15);
    let (fresh, old) = (Some(Duration::from_secs(1)), Some(Duration::from_secs(60)));
    let reachability = |own, peers, heard, silent| Reachability {
        own_contact: own,
        peer_contact: peers,
        listed: true,
        heard,
        silent,
        ahead: 0,
    };
    let unlisted = Reachability {
        listed: false,
        ..reachability(None, None, 2, 0)
    };
    let behind = Reachability {
        ahead: 1,
        ..reachability(old, old, 7, 0)
    };
    let cases = [
        (
            "hears the service",
            reachability(fresh, None, 0, 7),
            Standing::Current,
        ),
        (
            "hears a peer that does",
            reachability(old, fresh, 7, 0),
            Standing::Current,
        ),
        (
            "all are heard, none does",
            reachability(old, old, 7, 0),
            Standing::Outage,
        ),
        (
            "alone in the deployment",
            reachability(old, None, 0, 0),
            Standing::Outage,
        ),
        ("one is silent", reachability(old, old, 6, 1), Standing::Cut),
        ("hears nobody", reachability(old, None, 0, 7), Standing::Isolated),
        ("never had a list", unlisted, Standing::Cut),
        ("all are heard, one has a later version", behind, Standing::Cut),
    ];
    for (case, reachability, expected) in cases {
        assert_eq!(
            evaluate_standing(&reachability, stale, PartitionPolicy::Stop),
            expected,
            "{case}"
        );
    }
    let split = reachability(old, old, 6, 1);
    assert_eq!(
        evaluate_standing(&split, stale, PartitionPolicy::Serve),
        Standing::Guessing
    );
}

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

async fn refusal(fleet: &Fleet, index: usize) -> (u16, Value) {
    let reply = fleet.complete(index, "which crossover", 3, 1).await;
    let body: Value = reply.json();
    (reply.status, body["error"]["reason"].clone())
}

/// An instance loses both the key-value service and its peer, so it cannot learn that operators drain engines through
/// other instances. After the stale limit it must refuse new work, and report correctly that nothing ran; once
/// reconnected, it must serve again.
#[actix_web::test]
async fn serve_isolated() {
    let fleet = quick_fleet().daemons(2).start_configured().await;
    wait_for_members(&fleet).await;
    fleet.platform_fault(&partition(&["i0"])).await;
    fleet.daemons[1].signal("STOP");
    wait_for_standing(&fleet, 0, "isolated").await;
    let before = fleet.attempts_served(0).await;
    assert_eq!(refusal(&fleet, 0).await, (503, "isolated".into()));
    assert_eq!(fleet.attempts_served(0).await, before, "`not-run` is true");
    fleet.daemons[1].signal("CONT");
    wait_for_standing(&fleet, 0, "current").await;
    assert_eq!(fleet.complete(0, "which crossover", 3, 1).await.status, 200);
}

/// The key-value service is unavailable to all instances. No instance can accept a change, and all listed instances
/// hear each other: continuing to serve is safe, and stopping would only make the fleet useless.
#[actix_web::test]
async fn serve_outage() {
    let fleet = quick_fleet().daemons(3).start_configured().await;
    wait_for_members(&fleet).await;
    fleet.platform_fault(&outage()).await;
    for index in 0..3 {
        wait_for_standing(&fleet, index, "outage").await;
        assert_eq!(fleet.complete(index, "which crossover", 3, 1).await.status, 200);
    }
}

/// The key-value service is unavailable and one listed instance is silent. It may have crashed, or it may be on the
/// other side of a network partition, where it reaches the service and accepts changes. The other instances must stop
/// serving, or continue if operators configured that.
#[actix_web::test]
async fn serve_cut() {
    for (rule, standing, status) in [("stop", "cut", 503), ("serve", "guessing", 200)] {
        let fleet = quick_fleet().daemons(3).daemon_arg(&format!("--on-cut={rule}"));
        let fleet = fleet.start_configured().await;
        wait_for_members(&fleet).await;
        fleet.platform_fault(&outage()).await;
        fleet.daemons[2].signal("STOP");
        wait_for_standing(&fleet, 0, standing).await;
        let reply = fleet.complete(0, "which crossover", 3, 1).await;
        assert_eq!(reply.status, status, "{rule}");
    }
}

async fn list_leaving(fleet: &Fleet, index: usize) {
    let listed = ListEntry {
        name: name(&format!("machine-{index}")),
        zone: name("lodi-a"),
        address: fleet.engines[index].address(),
        peer: None,
        state: ListedState::Leaving,
    };
    let url = format!("{}/control/list/upstreams", fleet.platform.url());
    http::send("PUT", &url, &[], &listed).await;
}

/// Waits until no daemon sends work to the only engine, and checks that none does so afterwards.
async fn wait_until_unused(fleet: &Fleet) {
    for index in 0..3 {
        http::until("the engine gets no work", || async {
            let reply = fleet.complete(index, "which crossover", 1, 1).await;
            (reply.status != 200).then_some(())
        })
        .await;
    }
    let before = fleet.attempts_served(0).await;
    for index in 0..3 {
        assert_eq!(refusal(fleet, index).await, (503, "no-engine".into()));
    }
    assert_eq!(fleet.attempts_served(0).await, before, "new work came after all");
}

/// Starts one long stream through each daemon.
async fn long_streams(fleet: &Fleet) -> Vec<Answer> {
    let mut streams = Vec::new();
    for index in 0..3 {
        streams.push(fleet.stream(index, "a long stream", 900, index as u64).await);
    }
    streams
}

async fn check_completed(streams: Vec<Answer>) {
    for mut stream in streams {
        stream.read_all().await;
        assert_eq!((stream.outcome.as_deref(), stream.tokens), (Some("whole"), 900));
    }
}

/// The platform's list marks an engine's machine as leaving. It must get no new work within 3 s, even from an instance
/// that is disconnected from the platform; streams that already run there complete.
#[actix_web::test]
async fn leave_upstream_cut_instance() {
    let fleet = quick_fleet().daemons(3).start_configured().await;
    wait_for_members(&fleet).await;
    fleet.platform_fault(&partition(&["i2"])).await;
    let streams = long_streams(&fleet).await;
    let listed = Instant::now();
    list_leaving(&fleet, 0).await;
    wait_until_unused(&fleet).await;
    assert!(listed.elapsed() < PROMISE, "{:?}", listed.elapsed());
    check_completed(streams).await;
}

/// An operator withdraws an engine while it serves streams and one instance is disconnected from the platform. The
/// engine must get no new work within 3 s of the accepted change; its streams complete.
#[actix_web::test]
async fn withdraw_engine_cut_instance() {
    let fleet = quick_fleet().daemons(3).start_configured().await;
    wait_for_members(&fleet).await;
    fleet.platform_fault(&partition(&["i2"])).await;
    let streams = long_streams(&fleet).await;
    fleet.apply(0, "withdraw engine e0").await;
    let accepted = Instant::now();
    wait_until_unused(&fleet).await;
    assert!(accepted.elapsed() < PROMISE, "{:?}", accepted.elapsed());
    check_completed(streams).await;
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

/// An instance is paused while an operator drains an engine, and callers' requests queue in its sockets. When it
/// resumes, it must not route them by its outdated configuration: none may reach the drained engine.
#[actix_web::test]
async fn drain_paused_instance() {
    let fleet = quick_fleet()
        .daemon_arg("--asleep-ms=400")
        .daemons(2)
        .engines(2)
        .start_configured()
        .await;
    wait_for_members(&fleet).await;
    fleet.daemons[0].signal("STOP");
    let waiting = (0..12).map(|seed| fleet.complete(0, "short turn", 3, seed));
    let others = async {
        let version = fleet.apply(1, "drain engine e0").await;
        let in_force = || async {
            let seen = column(&fleet, 1, "show instances where instance = i1", "version").await;
            (seen == [version.to_string()]).then_some(())
        };
        http::until("the change is in force at the other", in_force).await;
        let silent = || async {
            let seen = column(&fleet, 1, "show instances where instance = i0", "state").await;
            (seen == ["silent"]).then_some(())
        };
        http::until("the paused one is missed", silent).await;
        let served = fleet.attempts_served(0).await;
        fleet.daemons[0].signal("CONT");
        served
    };
    let (replies, served) = futures_util::join!(futures_util::future::join_all(waiting), others);
    assert_eq!(
        fleet.attempts_served(0).await,
        served,
        "the drained engine got work"
    );
    for reply in replies {
        let outcome = reply.outcome.as_deref();
        assert!(matches!(outcome, Some("whole" | "not-run")), "{reply:?}");
    }
    fleet.wait_until_ready().await;
}

/// State from before a pause is no evidence after it: neither the key-value service's last answer nor heartbeats
/// queued in the socket. Only fresh evidence lets the instance accept work again.
#[test]
fn judge_after_pause() {
    let about = |name: &str| InstanceInfo {
        incarnation: 1,
        number: 1,
        zone: Name::new("lodi-a").expect("a name"),
        address: format!("127.0.0.{}:80", name.len()).parse().expect("an address"),
        peer_address: format!("127.0.0.{}:90", name.len()).parse().expect("an address"),
        state: MemberState::Live,
        version: Version(1),
        silence: 0,
    };
    let beat = |number| Heartbeat {
        info: InstanceInfo {
            number,
            ..about("peer")
        },
        rumors: Vec::new(),
        notices: Vec::new(),
    };
    let peer = Name::new("peer").expect("a name");
    let myself = LocalInstance {
        name: Name::new("me").expect("a name"),
        info: about("me"),
        seed: 1,
    };
    let at = Time::from_millis;
    let mut members = MemberTable::new(myself, Limits::default());
    members.on(at(0), Event::KvContact(at(0)));
    members.on(at(100), Event::Heartbeat(peer.clone(), beat(1)));
    assert_eq!(members.roster(at(1_000)).standing, Standing::Current);
    members.on(at(1_000), Event::Tick);

    let woke = members.on(at(9_000), Event::Heartbeat(peer.clone(), beat(2)));
    assert!(woke.contains(&Action::Resumed), "{woke:?}");
    assert!(!members.roster(at(9_000)).standing.accepts_work());
    members.on(at(9_100), Event::KvContact(at(900)));
    assert!(
        !members.roster(at(9_100)).standing.accepts_work(),
        "an answer from before the pause"
    );

    members.on(at(10_500), Event::Heartbeat(peer, beat(3)));
    assert_eq!(members.roster(at(10_500)).standing, Standing::Current);
}

/// Guards against a roster that is computed after a pause before any event has told the table of it, as when the pause
/// falls between an event and the roster that it publishes. It would be as recent as the clock and confirm the
/// configuration by what was known before the pause, so that the requests that waited in the sockets are sent by it.
#[test]
fn judge_before_event_after_pause() {
    let zone = Name::new("lodi-a").expect("a name");
    let address: SocketAddr = "127.0.0.1:80".parse().expect("an address");
    let myself = LocalInstance {
        name: Name::new("me").expect("a name"),
        info: InstanceInfo::new(1, zone, address, address),
        seed: 1,
    };
    let at = Time::from_millis;
    let mut members = MemberTable::new(myself, Limits::default());
    members.on(at(0), Event::KvContact(at(0)));
    members.on(at(1_000), Event::Tick);
    assert!(members.roster(at(2_500)).standing.accepts_work(), "not paused");
    let roster = members.roster(at(9_000));
    assert!(!roster.standing.accepts_work(), "{:?}", roster.standing);

    assert!(members.on(at(9_001), Event::Tick).contains(&Action::Resumed));
    assert!(!members.roster(at(9_001)).standing.accepts_work());
    members.on(at(9_100), Event::KvContact(at(9_050)));
    assert_eq!(members.roster(at(9_100)).standing, Standing::Current);
}

/// Guards against a peer's contact with the key-value service confirming an older version than the peer's. An instance
/// that resumes after a pause hears from a peer that an engine was drained meanwhile, and would send it the requests
/// that waited until it has fetched the change.
#[test]
fn judge_peer_ahead() {
    let name = |text| Name::new(text).expect("a name");
    let info = |port: u16| {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        InstanceInfo::new(1, name("lodi-a"), address, address)
    };
    let beat = |number, version| Heartbeat {
        info: InstanceInfo {
            number,
            version: Version(version),
            silence: 0,
            ..info(81)
        },
        rumors: Vec::new(),
        notices: Vec::new(),
    };
    let myself = LocalInstance {
        name: name("me"),
        info: info(80),
        seed: 1,
    };
    let at = Time::from_millis;
    let mut members = MemberTable::new(myself, Limits::default());
    let listing = Listing {
        name: name("peer"),
        zone: name("lodi-a"),
        address: info(81).address,
        peer_address: info(81).peer_address,
        state: MemberState::Live,
    };
    members.on(at(0), Event::Listed(vec![listing]));
    members.on(at(0), Event::InForce(Version(1)));
    members.on(at(0), Event::KvContact(at(0)));
    members.on(at(100), Event::Heartbeat(name("peer"), beat(1, 1)));

    members.on(at(9_000), Event::Tick);
    members.on(at(10_500), Event::Heartbeat(name("peer"), beat(2, 2)));
    let standing = members.roster(at(10_500)).standing;
    assert!(
        !standing.accepts_work(),
        "{standing:?} without the peer's version"
    );
    members.on(at(10_600), Event::InForce(Version(2)));
    members.on(at(11_500), Event::Heartbeat(name("peer"), beat(3, 2)));
    assert_eq!(members.roster(at(11_500)).standing, Standing::Current);
}
