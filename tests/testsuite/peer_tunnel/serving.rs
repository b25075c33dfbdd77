//! Which tunnels a peer serves.

use std::net::SocketAddr;
use std::time::Duration;

use sequoiastream_peer::PeerError;
use sequoiastream_peer::call::CallClient;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;
use sequoiastream_peer::responder::Responder;
use sequoiastream_peer::seal::ClusterKey;
use sequoiastream_peer::tunnel;

use crate::peer_tunnel::Relay;
use crate::peer_tunnel::closed;
use crate::peer_tunnel::key;
use crate::peer_tunnel::listen;
use crate::peer_tunnel::open_through;
use crate::peer_tunnel::proxy::Change;
use crate::peer_tunnel::proxy::Proxy;
use crate::peer_tunnel::start;
use crate::peer_tunnel::within_limit;

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// An address where nothing listens.
async fn unused_address() -> SocketAddr {
    listen().await.1
}

/// Peer that serves no tunnels.
#[derive(Debug, Clone)]
struct Pong;

impl Responder for Pong {
    async fn respond(&self, _: Request) -> Response {
        Response::Pong
    }
}

/// Guards against treating a peer that can't reach the engine as one that is down.
#[actix_web::test]
async fn open_unreachable() {
    within_limit(async {
        let upstream = unused_address().await;
        let peers = [start(Relay::new()).await, start(Pong).await];
        for peer in peers {
            let error = tunnel::open(&key(), peer, upstream)
                .await
                .expect_err("nothing listens");
            assert_eq!(error, PeerError::Unreachable);
            assert!(error.is_not_sent());
        }
    })
    .await;
}

#[actix_web::test]
async fn call_after_unreachable() {
    within_limit(async {
        let proxy = Proxy::start(start(Pong).await, Change::None, Change::None).await;
        let client = CallClient::new(key());
        let connect = Request::Connect(unused_address().await);
        let answer = client.call(proxy.address, &connect, CALL_TIMEOUT).await;
        assert_eq!(answer, Ok(Response::Unreachable));
        let answer = client.call(proxy.address, &Request::Ping, CALL_TIMEOUT).await;
        assert_eq!(answer, Ok(Response::Pong));
        assert_eq!(proxy.accepted.get(), 1);
    })
    .await;
}

/// Guards against a process without the cluster key reaching engines through an instance.
#[actix_web::test]
async fn open_wrong_key() {
    within_limit(async {
        let responder = Relay::new();
        let peer = start(responder.clone()).await;
        let (_listener, upstream) = listen().await;
        let stranger = ClusterKey::new("another key altogether");
        let opened = tunnel::open(&stranger, peer, upstream).await;
        assert!(matches!(opened, Err(PeerError::Broken(_))), "{opened:?}");
        assert_eq!(responder.attempts.get(), 0);
    })
    .await;
}

/// Guards against an instance running out of file descriptors by serving tunnels.
#[actix_web::test]
async fn open_above_limit() {
    within_limit(async {
        let responder = Relay {
            limit: 2,
            ..Relay::new()
        };
        let peer = start(responder.clone()).await;
        let (first, upstream) = open_through(peer).await;
        let _second = open_through(peer).await;
        let (_listener, third) = listen().await;
        let refused = tunnel::open(&key(), peer, third).await;
        assert_eq!(refused.expect_err("two are open"), PeerError::Unreachable);
        assert_eq!(responder.attempts.get(), 2);
        drop(first);
        closed(&upstream).await;
        tunnel::open(&key(), peer, third).await.expect("one has ended");
    })
    .await;
}
