//! Messages between instances.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sequoiastream_core::config::Update;
use sequoiastream_core::config::Version;
use sequoiastream_core::name::Name;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::watchers::ConfirmationId;
use sequoiastream_peer::PeerError;
use sequoiastream_peer::call::CallClient;
use sequoiastream_peer::call::MAX_FRAME;
use sequoiastream_peer::datagram::DatagramSocket;
use sequoiastream_peer::message::Datagram;
use sequoiastream_peer::message::Request;
use sequoiastream_peer::message::Response;
use sequoiastream_peer::message::StoreItem;
use sequoiastream_peer::message::StorePage;
use sequoiastream_peer::responder::Responder;
use sequoiastream_peer::seal::ClusterKey;
use sequoiastream_peer::seal::ReplayWindow;
use sequoiastream_peer::serve;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use uuid::Uuid;

const LIMIT: Duration = Duration::from_secs(5);

#[derive(Debug, Clone)]
struct Pong;

impl Responder for Pong {
    async fn respond(&self, _: Request) -> Response {
        Response::Pong
    }
}

fn key() -> ClusterKey {
    ClusterKey::new("cluster-key-for-tests")
}

#[actix_web::test]
async fn call_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    actix_web::rt::spawn(serve(listener, key(), Pong));
    let client = CallClient::new(key());
    for _ in 0..3 {
        assert_eq!(
            client.call(address, &Request::Ping, LIMIT).await,
            Ok(Response::Pong)
        );
    }
}

#[actix_web::test]
async fn call_wrong_key() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    actix_web::rt::spawn(serve(listener, key(), Pong));
    let stranger = CallClient::new(ClusterKey::new("another key altogether"));
    let result = stranger.call(address, &Request::Ping, LIMIT).await;
    assert!(matches!(result, Err(PeerError::Broken(_))), "{result:?}");
}

#[actix_web::test]
async fn receive_wrong_key() {
    let bind = |key, name: &str| {
        let name = Name::new(name).expect("a name");
        DatagramSocket::bind(
            "127.0.0.1:0".parse().expect("an address"),
            key,
            name,
            Uuid::now_v7(),
        )
    };
    let receiver = bind(key(), "receiver").await.expect("a port is free");
    let stranger = bind(ClusterKey::new("another key altogether"), "stranger")
        .await
        .expect("a port is free");
    let to = receiver.address().expect("it is bound");
    stranger.send(to, Datagram::Ping).await.expect("sent");
    assert_eq!(receiver.receive().await, Err(PeerError::Forged));
}

#[test]
fn window_replayed() {
    let mut window = ReplayWindow::new();
    let (name, old, new) = (
        Name::new("a").expect("a name"),
        Uuid::from_u128(1),
        Uuid::from_u128(2),
    );
    let cases = [
        (old, 5, Ok(())),
        (old, 5, Err(PeerError::Replayed)),
        (old, 3, Ok(())),
        (old, 3, Err(PeerError::Replayed)),
        (old, 200, Ok(())),
        (old, 136, Err(PeerError::Replayed)),
        (old, 137, Ok(())),
        (new, 1, Ok(())),
        (old, 201, Err(PeerError::Replayed)),
    ];
    for (incarnation, counter, expected) in cases {
        assert_eq!(
            window.accept(&name, incarnation, counter),
            expected,
            "counter {counter}"
        );
    }
}

/// Guards against an unreadable configuration answer to an instance that is far behind: postcard writes no field names,
/// so a field that is omitted when empty shifts all that follow.
#[actix_web::test]
async fn call_config_whole() {
    #[derive(Debug, Clone)]
    struct Whole;
    impl Responder for Whole {
        async fn respond(&self, _: Request) -> Response {
            Response::Config(Update::Snapshot(Box::default()))
        }
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    actix_web::rt::spawn(serve(listener, key(), Whole));
    let client = CallClient::new(key());
    let answer = client.call(address, &Request::Config(Version(0)), LIMIT).await;
    assert_eq!(answer, Ok(Response::Config(Update::Snapshot(Box::default()))));
}

/// Guards against an instance of an earlier version whose messages are taken for something else while a fleet is upgraded: a
/// variant that is no longer used is read as such, whatever follows it.
#[test]
fn retired_messages_ignored() {
    let old_load = [2, 0, 0, 200, 1, 30, 5, 7, 1, 1, 0];
    assert_eq!(postcard::from_bytes(&old_load), Ok(Datagram::RetiredLoad));
    assert_eq!(postcard::from_bytes(&[4, 1, 30, 5]), Ok(Datagram::RetiredProof));
    let old_since = postcard::to_allocvec(&(11_u32, 285_u64)).expect("it serializes");
    assert_eq!(postcard::from_bytes(&old_since), Ok(Request::RetiredSince));
}

/// A page of `count` engine entries of similar size.
fn engine_page(count: u64) -> StorePage {
    let item = |number: u64| StoreItem {
        key: format!("engines/i-{number:010}"),
        value: format!(
            "{{\"service\":\"chat\",\"address\":\"10.1.64.9:8080\",\"seq\":{number},\"rest\":\"{:0>200}\"}}",
            7
        )
        .into_bytes(),
        revision: Revision::new(0, number),
        created: Revision::new(0, number),
    };
    StorePage {
        revision: Revision::new(0, count),
        age: 3,
        confirmation: ConfirmationId::default(),
        items: (0..count).map(item).collect(),
        more: false,
    }
}

/// Answers every request with a page of this many entries.
#[derive(Debug, Clone)]
struct PageResponder(u64);

impl Responder for PageResponder {
    async fn respond(&self, _: Request) -> Response {
        Response::Page(engine_page(self.0))
    }
}

async fn request_page(count: u64) -> Result<Response, PeerError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    actix_web::rt::spawn(serve(listener, key(), PageResponder(count)));
    let client = CallClient::new(key());
    client.call(address, &Request::Page(String::new()), LIMIT).await
}

/// Guards against pages of thousands of engine entries exceeding the frame limit and saturating the links of small
/// instances at startup.
#[actix_web::test]
async fn call_compressed() {
    let count = 10_000;
    let size = postcard::to_allocvec(&engine_page(count))
        .expect("a page serializes")
        .len();
    assert!(size > MAX_FRAME, "{size}");
    assert_eq!(request_page(count).await, Ok(Response::Page(engine_page(count))));
}

/// Guards against sending an answer that exceeds the limit for uncompressed messages, even if it compresses well.
#[actix_web::test]
async fn call_too_long() {
    let answer = request_page(40_000).await;
    assert!(
        matches!(answer, Err(PeerError::Broken(_))),
        "{:?}",
        answer.is_ok()
    );
}

/// Passes connections on to `address`; those that were opened before `silent` is set pass nothing on any more. Returns
/// its own address.
async fn start_proxy(address: SocketAddr, silent: Rc<Cell<bool>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let own = listener.local_addr().expect("it is bound");
    actix_web::rt::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let (silent, was_silent) = (silent.clone(), silent.get());
            actix_web::rt::spawn(async move {
                let mut far = TcpStream::connect(address).await.expect("the peer listens");
                let (mut there, mut back) = ([0; 4_096], [0; 4_096]);
                loop {
                    let passed = tokio::select! {
                        read = near.read(&mut there) => match read {
                            Ok(count) if count > 0 && silent.get() == was_silent => far.write_all(&there[..count]).await,
                            Ok(count) if count > 0 => Ok(()),
                            _ => return,
                        },
                        read = far.read(&mut back) => match read {
                            Ok(count) if count > 0 => near.write_all(&back[..count]).await,
                            _ => return,
                        },
                    };
                    passed.expect("an open connection");
                }
            });
        }
    });
    own
}

/// Guards against each call waiting in vain on another connection that has become silent, although new connections work.
#[actix_web::test]
async fn call_after_silence() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    actix_web::rt::spawn(serve(listener, key(), PageResponder(1)));
    let silent = Rc::new(Cell::new(false));
    let proxy = start_proxy(address, silent.clone()).await;
    let client = CallClient::new(key());
    let request = Request::Page(String::new());
    let (first, second) = tokio::join!(
        client.call(proxy, &request, LIMIT),
        client.call(proxy, &request, LIMIT)
    );
    assert!(first.is_ok() && second.is_ok());
    silent.set(true);
    let unanswered = client.call(proxy, &request, Duration::from_millis(200)).await;
    assert_eq!(unanswered, Err(PeerError::Timeout));
    assert!(client.call(proxy, &request, LIMIT).await.is_ok());
}
