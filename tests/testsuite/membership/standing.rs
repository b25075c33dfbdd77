//! Whether an instance may accept work, by what it has heard.

use std::net::SocketAddr;
use std::time::Duration;

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
use sequoiastream_core::membership::PartitionPolicy;
use sequoiastream_core::membership::Reachability;
use sequoiastream_core::membership::Standing;
use sequoiastream_core::membership::evaluate_standing;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;

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

/// Guards against a roster that is computed after a pause but before the next event, as when the pause falls between an
/// event and the roster published for it. The roster would confirm the configuration by contacts from before the pause,
/// and the requests that waited in the sockets would be sent with an outdated configuration.
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

/// Guards against a peer's contact with the key-value service confirming an older version than the peer's. Sequence: an
/// engine is drained while an instance is paused, and a heartbeat reports the new version when the instance resumes.
/// Until it has fetched that version, it would send waiting requests to the drained engine.
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
