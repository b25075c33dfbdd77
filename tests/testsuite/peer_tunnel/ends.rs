//! How tunnels end: complete answers, truncated answers, and frames that are not authentic.

use std::io::ErrorKind;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::peer_tunnel::Relay;
use crate::peer_tunnel::open;
use crate::peer_tunnel::open_through;
use crate::peer_tunnel::proxy::Change;
use crate::peer_tunnel::proxy::Proxy;
use crate::peer_tunnel::random_bytes;
use crate::peer_tunnel::start;
use crate::peer_tunnel::within_limit;
use crate::peer_tunnel::write_until_stalled;

/// Length of a part of an answer, in bytes: fits into the buffers of a connection.
const PART: usize = 16 * 1024;

/// Length of a request that is not read to its end, in bytes.
const REQUEST: usize = 4 * 1024 * 1024;

/// Number of repetitions of a test whose outcome could depend on the order in which tasks run.
const REPETITIONS: u64 = 24;

#[actix_web::test]
async fn read_whole_answer() {
    within_limit(async {
        let (mut tunnel, mut upstream) = open().await;
        tunnel.write_all(b"request").await.expect("written");
        let mut request = [0; 7];
        upstream.read_exact(&mut request).await.expect("the request");
        assert_eq!(&request, b"request");
        let answer = random_bytes(1, 1024 * 1024);
        let sent = async {
            upstream.write_all(&answer).await.expect("written");
            drop(upstream);
        };
        let mut received = Vec::new();
        let (read, ()) = tokio::join!(tunnel.read_to_end(&mut received), sent);
        assert_eq!(read.expect("a whole answer"), answer.len());
        assert!(received == answer);
        assert_eq!(tunnel.read(&mut [0]).await.expect("still the end"), 0);
    })
    .await;
}

/// Sends large random data both ways at the same time.
#[actix_web::test]
async fn transfer_both_ways() {
    within_limit(async {
        let (tunnel, upstream) = open().await;
        let up = random_bytes(2, 6 * 1024 * 1024 + 3);
        let down = random_bytes(3, 5 * 1024 * 1024 + 1);
        let (mut tunnel_reader, mut tunnel_writer) = tokio::io::split(tunnel);
        let (mut upstream_reader, mut upstream_writer) = upstream.into_split();
        let mut received_up = vec![0; up.len()];
        let mut received_down = vec![0; down.len()];
        let results = tokio::join!(
            async {
                tunnel_writer.write_all(&up).await?;
                tunnel_writer.flush().await
            },
            upstream_writer.write_all(&down),
            tunnel_reader.read_exact(&mut received_down),
            upstream_reader.read_exact(&mut received_up),
        );
        results.0.expect("sent to the upstream");
        results.1.expect("sent by the upstream");
        results.2.expect("received from the upstream");
        results.3.expect("received by the upstream");
        assert_eq!(blake3::hash(&received_up), blake3::hash(&up));
        assert_eq!(blake3::hash(&received_down), blake3::hash(&down));
    })
    .await;
}

fn assert_reset(result: std::io::Result<usize>) {
    let kind = result.map_err(|e| e.kind());
    assert_eq!(kind, Err(ErrorKind::ConnectionReset));
}

fn reset(upstream: TcpStream) {
    upstream.set_zero_linger().expect("an option");
    drop(upstream);
}

/// Guards against a truncated answer looking complete after the upstream reset its connection.
#[actix_web::test]
async fn read_upstream_reset() {
    within_limit(async {
        let (mut tunnel, mut upstream) = open().await;
        upstream.write_all(b"part").await.expect("written");
        let mut part = [0; 4];
        tunnel.read_exact(&mut part).await.expect("the part");
        reset(upstream);
        assert_reset(tunnel.read(&mut part).await);
        assert_reset(tunnel.read(&mut part).await);
    })
    .await;
}

/// Guards against a truncated answer looking complete because a write to the upstream detected its reset before a read
/// did.
#[actix_web::test]
async fn read_upstream_reset_blocked() {
    within_limit(async {
        for _ in 0..REPETITIONS {
            let (mut tunnel, upstream) = open().await;
            write_until_stalled(&mut tunnel).await;
            reset(upstream);
            assert_reset(tunnel.read(&mut [0]).await);
        }
    })
    .await;
}

/// Guards against losing the part of an answer that the peer had read before the upstream reset its connection.
#[actix_web::test]
async fn read_part_before_reset() {
    within_limit(async {
        for seed in 0..REPETITIONS {
            let (mut tunnel, mut upstream) = open().await;
            let part = random_bytes(seed, PART);
            upstream.write_all(&part).await.expect("written");
            reset(upstream);
            // The peer must discard this: closing its connection with unread bytes would discard the part in flight.
            tunnel.write_all(&vec![0; REQUEST]).await.expect("written");
            let mut received = Vec::new();
            assert_reset(tunnel.read_to_end(&mut received).await);
            assert!(received == part, "{} bytes", received.len());
        }
    })
    .await;
}

/// Guards against losing an early answer when the upstream closes its connection while a request is being sent.
#[actix_web::test]
async fn read_early_answer() {
    within_limit(async {
        for seed in 0..REPETITIONS {
            let (mut tunnel, mut upstream) = open().await;
            let answer = random_bytes(seed, PART);
            upstream.write_all(&answer).await.expect("written");
            drop(upstream);
            tunnel.write_all(&vec![0; REQUEST]).await.expect("written");
            let mut received = Vec::new();
            let read = tunnel.read_to_end(&mut received).await;
            assert_eq!(read.expect("a whole answer"), answer.len());
            assert!(received == answer);
        }
    })
    .await;
}

/// Guards against a truncated answer looking complete after an orderly close of the connection to the peer.
#[actix_web::test]
async fn read_peer_gone() {
    within_limit(async {
        let proxy = Proxy::start(start(Relay::new()).await, Change::None, Change::None).await;
        let (mut tunnel, mut upstream) = open_through(proxy.address).await;
        upstream.write_all(b"part").await.expect("written");
        let mut part = [0; 4];
        tunnel.read_exact(&mut part).await.expect("the part");
        proxy.cut();
        assert_reset(tunnel.read(&mut part).await);
        assert_reset(tunnel.read(&mut part).await);
    })
    .await;
}

/// Guards against accepting an altered or replayed part of an answer.
#[actix_web::test]
async fn read_not_authentic() {
    within_limit(async {
        for (change, authentic) in [(Change::Alter(2), 0), (Change::Replay(2), 4)] {
            let proxy = Proxy::start(start(Relay::new()).await, Change::None, change).await;
            let (mut tunnel, mut upstream) = open_through(proxy.address).await;
            upstream.write_all(b"part").await.expect("written");
            let mut received = Vec::new();
            let read = tunnel.read_to_end(&mut received).await;
            assert_eq!(read.map_err(|e| e.kind()), Err(ErrorKind::InvalidData));
            assert_eq!(received.len(), authentic);
            let again = tunnel.read(&mut [0]).await;
            assert_eq!(again.map_err(|e| e.kind()), Err(ErrorKind::InvalidData));
        }
    })
    .await;
}

/// Guards against forwarding an altered or replayed part of a request to the upstream.
#[actix_web::test]
async fn write_not_authentic() {
    within_limit(async {
        for (change, authentic) in [(Change::Alter(2), 0), (Change::Replay(2), 4)] {
            let proxy = Proxy::start(start(Relay::new()).await, change, Change::None).await;
            let (mut tunnel, mut upstream) = open_through(proxy.address).await;
            tunnel.write_all(b"part").await.expect("written");
            let mut received = Vec::new();
            let read = upstream.read_to_end(&mut received).await;
            assert_eq!(read.expect("the peer closes the connection"), authentic);
            assert_reset(tunnel.read(&mut [0]).await);
        }
    })
    .await;
}
