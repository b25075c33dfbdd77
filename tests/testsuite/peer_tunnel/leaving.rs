//! Instances that close a tunnel: the peer closes its connection to the upstream immediately.

use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;

use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;
use sequoiastream_peer::responder::Responder;
use sequoiastream_peer::responder::Upstream;
use sequoiastream_peer::tunnel;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

use crate::peer_tunnel::Relay;
use crate::peer_tunnel::closed;
use crate::peer_tunnel::key;
use crate::peer_tunnel::open;
use crate::peer_tunnel::open_through;
use crate::peer_tunnel::proxy::Change;
use crate::peer_tunnel::proxy::Proxy;
use crate::peer_tunnel::start;
use crate::peer_tunnel::within_limit;
use crate::peer_tunnel::write_until_stalled;

/// Guards against an engine that computes for a caller that has disconnected.
#[actix_web::test]
async fn drop_silent_upstream() {
    within_limit(async {
        let (tunnel, mut upstream) = open().await;
        drop(tunnel);
        closed(&upstream).await;
        assert_eq!(upstream.read(&mut [0]).await.expect("an orderly end"), 0);
    })
    .await;
}

/// Guards against an engine that computes for a caller that has disconnected while the peer waits for the engine to
/// read.
#[actix_web::test]
async fn drop_blocked_upload() {
    within_limit(async {
        let (mut tunnel, upstream) = open().await;
        write_until_stalled(&mut tunnel).await;
        drop(tunnel);
        closed(&upstream).await;
    })
    .await;
}

/// Guards against an engine that computes for a caller that has disconnected while the peer waits for the caller to
/// read.
#[actix_web::test]
async fn drop_blocked_download() {
    within_limit(async {
        let (tunnel, mut upstream) = open().await;
        write_until_stalled(&mut upstream).await;
        drop(tunnel);
        closed(&upstream).await;
    })
    .await;
}

/// As [`drop_blocked_upload`], with an answer that the caller has not read.
#[actix_web::test]
async fn drop_blocked_both_ways() {
    within_limit(async {
        let (mut tunnel, mut upstream) = open().await;
        write_until_stalled(&mut tunnel).await;
        write_until_stalled(&mut upstream).await;
        drop(tunnel);
        closed(&upstream).await;
    })
    .await;
}

/// Guards against an engine that computes for an instance that has stopped.
#[actix_web::test]
async fn cut_silent_upstream() {
    within_limit(async {
        let proxy = Proxy::start(start(Relay::new()).await, Change::None, Change::None).await;
        let (_tunnel, upstream) = open_through(proxy.address).await;
        proxy.cut();
        closed(&upstream).await;
    })
    .await;
}

/// Guards against an engine that computes for an instance that has stopped while the peer waits for the engine to read.
#[actix_web::test]
async fn cut_blocked_upload() {
    within_limit(async {
        let proxy = Proxy::start(start(Relay::new()).await, Change::None, Change::None).await;
        let (mut tunnel, upstream) = open_through(proxy.address).await;
        write_until_stalled(&mut tunnel).await;
        proxy.cut();
        closed(&upstream).await;
    })
    .await;
}

/// Guards against a shutdown that never reaches the engine because it waits for the engine to read.
#[actix_web::test]
async fn shutdown_blocked_upload() {
    within_limit(async {
        let (mut tunnel, upstream) = open().await;
        write_until_stalled(&mut tunnel).await;
        tunnel.shutdown().await.expect("at once");
        drop(tunnel);
        closed(&upstream).await;
    })
    .await;
}

#[actix_web::test]
async fn shutdown_silent_upstream() {
    within_limit(async {
        let (mut tunnel, upstream) = open().await;
        tunnel.shutdown().await.expect("at once");
        closed(&upstream).await;
        tunnel
            .read(&mut [0])
            .await
            .expect_err("the upstream has not ended");
    })
    .await;
}

/// Peer whose connections to upstreams never succeed.
#[derive(Debug, Clone, Default)]
struct Connecting {
    /// Notified when a connection is attempted.
    started: Rc<Notify>,
    /// Notified when an attempt is dropped.
    dropped: Rc<Notify>,
}

struct NotifyOnDrop(Rc<Notify>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

impl Responder for Connecting {
    async fn respond(&self, _: Request) -> Response {
        Response::Pong
    }

    async fn connect(&self, _: SocketAddr) -> Option<Upstream> {
        let _attempt = NotifyOnDrop(self.dropped.clone());
        self.started.notify_one();
        pending().await
    }
}

/// Guards against a peer that keeps connecting to an engine for an instance that has closed its connection.
#[actix_web::test]
async fn drop_while_connecting() {
    within_limit(async {
        let responder = Connecting::default();
        let peer = start(responder.clone()).await;
        let key = key();
        tokio::select! {
            _ = tunnel::open(&key, peer, peer) => panic!("the tunnel can't open"),
            () = responder.started.notified() => {}
        }
        responder.dropped.notified().await;
    })
    .await;
}
