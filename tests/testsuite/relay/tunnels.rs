//! Instances that can't connect to their engines and reach them through a peer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sequoiastream::ops::relay::connect;
use sequoiastream::util::clock;
use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Entry;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::reachability::Path;
use sequoiastream_core::relay::routes::RouteKind;
use sequoiastream_core::relay::tunnel_peers::TunnelPeer;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;
use sequoiastream_peer::responder::Responder;
use sequoiastream_peer::responder::Upstream;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::answers::event_stream;
use super::engine::Action;
use super::engine::ReceivedRequest;
use super::engine::ScriptedEngine;
use super::engine::UnreachableAddress;
use super::engine::answer;
use super::engine::head;
use super::instance::Instance;
use super::instance::get_request;
use super::instance::status;
use super::wait_until;

/// A peer that reaches the engine.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    /// Address at which the peer finds the engine; `None` if it can't connect either.
    engine: Option<SocketAddr>,
    /// Number of tunnels that it was asked for.
    asked: Rc<Cell<usize>>,
}

impl Peer {
    pub(super) fn new(engine: Option<SocketAddr>) -> Peer {
        Peer {
            engine,
            asked: Rc::default(),
        }
    }

    /// Starts to serve and returns its address.
    pub(super) async fn start(&self, instance: &Instance) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("a bound listener");
        let serve = sequoiastream_peer::serve(listener, instance.shared.key.clone(), self.clone());
        actix_web::rt::spawn(serve);
        address
    }
}

impl Responder for Peer {
    async fn respond(&self, _: Request) -> Response {
        Response::NotServed
    }

    async fn connect(&self, _: SocketAddr) -> Option<Upstream> {
        self.asked.set(self.asked.get() + 1);
        TcpStream::connect(self.engine?).await.ok().map(Upstream::from)
    }
}

/// Forwards one connection to the peer at `address` until `lost` is notified, which simulates the loss of the peer.
async fn breakable_link(address: SocketAddr, lost: &Rc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let link = listener.local_addr().expect("a bound listener");
    let lost = lost.clone();
    actix_web::rt::spawn(async move {
        let (mut near, _) = listener.accept().await.expect("a connection");
        let mut far = TcpStream::connect(address).await.expect("a listening peer");
        tokio::select! {
            _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
            () = lost.notified() => {}
        }
    });
    link
}

/// How direct connections to an engine fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectFailure {
    Refused,
    Hanging,
}

/// An address to which connections fail in this way.
async fn unreachable_address(failure: ConnectFailure) -> UnreachableAddress {
    match failure {
        ConnectFailure::Refused => UnreachableAddress::refusing(),
        ConnectFailure::Hanging => UnreachableAddress::hanging().await,
    }
}

/// Sets the instance's only engine to one at `address`, and its tunnel peers to `peers`.
pub(super) fn detach(instance: &Instance, address: SocketAddr, peers: &[SocketAddr]) {
    let entry = Entry {
        address,
        ..super::entry("e0", Stage::Whole)
    };
    let peers = peers.iter().map(|address| TunnelPeer {
        zone: "a".parse().expect("a name"),
        address: *address,
        detached: false,
    });
    let peers = Arc::new(peers.collect());
    instance.shared.publish(|view| {
        view.set_engines([("chat".to_string(), vec![Engine::new(EngineKey(0), entry)])].into());
        view.tunnel_peers = peers;
    });
}

fn whole_stream(request: &ReceivedRequest) -> Action {
    Action::Send(event_stream(request, 1..=2) + "0\r\n\r\n")
}

/// Guards against an instance that fails its callers because its own links to the engines are cut, while its peers reach
/// all of them.
#[actix_web::test]
async fn served_through_peer() {
    for failure in [ConnectFailure::Refused, ConnectFailure::Hanging] {
        for kind in [
            RouteKind::Once,
            RouteKind::Idempotent,
            RouteKind::Stream,
            RouteKind::Resumable,
        ] {
            let engine = ScriptedEngine::start(move |_, request| {
                vec![match kind.is_stream() {
                    true => whole_stream(request),
                    false => answer(request, "whole"),
                }]
            })
            .await;
            let unreachable = unreachable_address(failure).await;
            let instance = Instance::start(kind, &[], |_| {});
            let peer = Peer::new(Some(engine.address()));
            detach(&instance, unreachable.address, &[peer.start(&instance).await]);
            let got = instance.get("/r/x", "q1", "x-deadline: 1000\r\n").await;
            assert_eq!(status(&got), "200", "{failure:?} {kind:?} {got}");
            let log = engine.log();
            assert_eq!(log.requests.len(), 1, "{failure:?} {kind:?}");
            let left: u64 = log.requests[0]
                .header("x-deadline")
                .and_then(|left| left.parse().ok())
                .expect("the time left");
            assert!(left < 1_000, "{failure:?} {kind:?} {left}");
        }
    }
}

/// Guards against executing a non-repeatable request twice when the peer that relays it is lost after the engine
/// received it. The caller must not be told that it was not executed.
#[actix_web::test]
async fn once_peer_lost() {
    let lost = Rc::new(Notify::new());
    let on_request = lost.clone();
    let engine = ScriptedEngine::start(move |_, _| {
        on_request.notify_one();
        vec![Action::Hold]
    })
    .await;
    let unreachable = UnreachableAddress::refusing();
    let instance = Instance::start(RouteKind::Once, &[], |route| route.max_attempts = 3);
    let peer = Peer::new(Some(engine.address()));
    let address = peer.start(&instance).await;
    let links = [
        breakable_link(address, &lost).await,
        breakable_link(address, &lost).await,
    ];
    detach(&instance, unreachable.address, &links);
    let got = instance.get("/r/x", "q1", "").await;
    assert_eq!(status(&got), "502", "{got}");
    assert_eq!(engine.log().requests.len(), 1);
    engine.wait_for(|log| log.disconnects == 1).await;
}

/// Guards against treating an answer without a length as complete after the peer that relayed it was lost.
#[actix_web::test]
async fn answer_peer_lost() {
    let lost = Rc::new(Notify::new());
    let on_request = lost.clone();
    let engine = ScriptedEngine::start(move |_, request| {
        on_request.notify_one();
        let head = head(request, "connection: close\r\n");
        vec![Action::Send(head + "text"), Action::Hold]
    })
    .await;
    let unreachable = UnreachableAddress::refusing();
    let instance = Instance::start(RouteKind::Once, &[], |_| {});
    let peer = Peer::new(Some(engine.address()));
    let link = breakable_link(peer.start(&instance).await, &lost).await;
    detach(&instance, unreachable.address, &[link]);
    let got = instance.get("/r/x", "q1", "").await;
    assert_eq!(status(&got), "502", "{got}");
}

/// Guards against an answer without a length that is truncated by the engine and looks complete when relayed by a peer.
#[actix_web::test]
async fn answer_cut_not_whole() {
    for (end, expected) in [(Action::Close, "200"), (Action::Reset, "502")] {
        let engine = ScriptedEngine::start(move |_, request| {
            let head = head(request, "connection: close\r\n");
            vec![Action::Send(head + "text"), end.clone()]
        })
        .await;
        let unreachable = UnreachableAddress::refusing();
        let instance = Instance::start(RouteKind::Once, &[], |_| {});
        let peer = Peer::new(Some(engine.address()));
        detach(&instance, unreachable.address, &[peer.start(&instance).await]);
        let got = instance.get("/r/x", "q1", "").await;
        assert_eq!(status(&got), expected, "{got}");
    }
}

/// Guards against an engine that computes for a caller that has disconnected from an instance that uses a tunnel.
#[actix_web::test]
async fn caller_left() {
    let engine = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
    let unreachable = UnreachableAddress::refusing();
    let instance = Instance::start(RouteKind::Once, &[], |_| {});
    let peer = Peer::new(Some(engine.address()));
    detach(&instance, unreachable.address, &[peer.start(&instance).await]);
    let mut caller = instance.connect().await;
    caller.send(&get_request("/r/x", "q", "")).await;
    engine.wait_for(|log| log.requests.len() == 1).await;
    drop(caller);
    engine.wait_for(|log| log.disconnects == 1).await;
}

/// Guards against a request that is forwarded between instances none of which reaches the engine, or held until its
/// deadline: each peer is asked once, and the refusal says that nothing was executed.
#[actix_web::test]
async fn refused_if_no_peer_reaches() {
    let unreachable = UnreachableAddress::refusing();
    let instance = Instance::start(RouteKind::Once, &[], |_| {});
    let (one, other) = (Peer::new(None), Peer::new(None));
    let peers = [one.start(&instance).await, other.start(&instance).await];
    detach(&instance, unreachable.address, &peers);
    let got = instance.get("/r/x", "q1", "x-deadline: 5000\r\n").await;
    assert_eq!(status(&got), "503", "{got}");
    assert_eq!([one.asked.get(), other.asked.get()], [1, 1]);
}

/// Guards against requests that still use tunnels after the instance reaches its engine directly again.
#[actix_web::test]
async fn direct_again() {
    let engine = ScriptedEngine::start(|_, request| vec![answer(request, "whole")]).await;
    let unreachable = UnreachableAddress::refusing();
    let instance = Instance::start(RouteKind::Idempotent, &[], |_| {});
    let peer = Peer::new(Some(engine.address()));
    let peers = [peer.start(&instance).await];
    detach(&instance, unreachable.address, &peers);
    assert_eq!(status(&instance.get("/r/x", "q1", "").await), "200");
    let is_detached = || {
        let now = clock::now();
        instance
            .shared
            .traffic()
            .reachability
            .is_detached(now, EngineKey(0))
    };
    assert!(is_detached());
    detach(&instance, engine.address(), &peers);
    for number in 0.. {
        let got = instance.get("/r/x", &format!("again{number}"), "").await;
        assert_eq!(status(&got), "200");
        if !is_detached() {
            break;
        }
    }
    let asked = peer.asked.get();
    assert_eq!(status(&instance.get("/r/x", "last", "").await), "200");
    assert_eq!(peer.asked.get(), asked);
}

/// Guards against an instance that gets no requests because it has lost its engines, and that therefore never detects
/// that it reaches them again.
#[actix_web::test]
async fn direct_again_without_requests() {
    let engine = ScriptedEngine::start(|_, request| vec![answer(request, "whole")]).await;
    let unreachable = UnreachableAddress::refusing();
    let instance = Instance::start(RouteKind::Idempotent, &[], |_| {});
    let peer = Peer::new(Some(engine.address()));
    let peers = [peer.start(&instance).await];
    detach(&instance, unreachable.address, &peers);
    assert_eq!(status(&instance.get("/r/x", "q1", "").await), "200");
    detach(&instance, engine.address(), &peers);
    let detached = || instance.shared.traffic().reachability.detached(clock::now());
    assert_eq!(detached(), [EngineKey(0)]);
    wait_until(|| detached().is_empty()).await;
    assert_eq!(engine.log().requests.len(), 1);
}

/// Guards against requests that are all sent on idle connections which hang since the links were cut: after the first
/// one without an answer, the others are closed.
#[actix_web::test]
async fn idle_connections_closed() {
    let hanging = ScriptedEngine::start(|number, request| match number {
        0 => vec![answer(request, "direct")],
        _ => vec![Action::Hold],
    })
    .await;
    let instance = Instance::start(RouteKind::Once, &[(&hanging, Stage::Whole)], |route| {
        route.timeout = Duration::from_millis(300);
    });
    assert_eq!(status(&instance.get("/r/x", "q0", "").await), "200");
    assert_eq!(status(&instance.get("/r/x", "q1", "").await), "504");
    let engine = ScriptedEngine::start(|_, request| vec![answer(request, "whole")]).await;
    let unreachable = UnreachableAddress::refusing();
    let peer = Peer::new(Some(engine.address()));
    detach(&instance, unreachable.address, &[peer.start(&instance).await]);
    assert_eq!(status(&instance.get("/r/x", "q2", "").await), "200");
}

/// Guards against an instance that connects to arbitrary addresses for its peers, or that chains tunnels: it connects
/// directly, and only to engines that it knows and can reach.
#[actix_web::test]
async fn connects_only_directly() {
    let engine = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
    let stranger = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    let shared = &instance.shared;
    assert!(connect::for_peer(shared, stranger.address()).await.is_none());
    assert!(connect::for_peer(shared, engine.address()).await.is_some());
    {
        let (now, mut traffic) = (clock::now(), shared.traffic());
        traffic.reachability.on_direct_failed(now, EngineKey(0));
        traffic.reachability.on_connected(now, EngineKey(0), Path::Tunnel);
    }
    assert!(connect::for_peer(shared, engine.address()).await.is_none());
    assert_eq!(stranger.log().connections, 0);
}

/// Guards against a shutdown that aborts requests relayed for a peer: the instance waits for them and opens no more
/// tunnels.
#[actix_web::test]
async fn shutdown_waits_for_tunnels() {
    let engine = ScriptedEngine::start(|_, _| vec![Action::Hold]).await;
    let instance = Instance::start(RouteKind::Once, &[(&engine, Stage::Whole)], |_| {});
    let shared = &instance.shared;
    let tunnel = connect::for_peer(shared, engine.address()).await;
    assert!(tunnel.is_some());
    assert_eq!(shared.running(), 1);
    shared.leave(clock::now());
    assert!(connect::for_peer(shared, engine.address()).await.is_none());
    drop(tunnel);
    assert_eq!(shared.running(), 0);
}

/// A peer that reaches the engine, and during whose connection the instance learns that the engine has left.
#[derive(Debug, Clone)]
struct PeerOfLeavingEngine {
    engine: SocketAddr,
    /// Notified when the connection is asked for; the engine is gone when `left` is notified.
    asked: Rc<Notify>,
    left: Rc<Notify>,
}

impl Responder for PeerOfLeavingEngine {
    async fn respond(&self, _: Request) -> Response {
        Response::NotServed
    }

    async fn connect(&self, _: SocketAddr) -> Option<Upstream> {
        self.asked.notify_one();
        self.left.notified().await;
        TcpStream::connect(self.engine).await.ok().map(Upstream::from)
    }
}

/// Guards against a request reaching an engine that left while the connection to it was opened: nothing was checked between
/// the choice of the engine and the send.
#[actix_web::test]
async fn engine_leaves_while_connecting() {
    let engine = ScriptedEngine::start(|_, request| vec![answer(request, "whole")]).await;
    let instance = Instance::start(RouteKind::Idempotent, &[(&engine, Stage::Whole)], |_| {});
    let hanging = UnreachableAddress::hanging().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("a bound listener");
    let peer = PeerOfLeavingEngine {
        engine: engine.address(),
        asked: Rc::default(),
        left: Rc::default(),
    };
    actix_web::rt::spawn(sequoiastream_peer::serve(
        listener,
        instance.shared.key.clone(),
        peer.clone(),
    ));
    detach(&instance, hanging.address, &[address]);
    let (got, ()) = tokio::join!(instance.get("/r/x", "q1", ""), async {
        peer.asked.notified().await;
        instance
            .shared
            .publish(|view| view.set_engines(Default::default()));
        peer.left.notify_one();
    });
    assert_eq!(status(&got), "503", "{got}");
    assert_eq!(engine.log().requests.len(), 0);
}
