//! Calls that must not arrive after a deadline, at sockets of the real kernel.

use std::cell::Cell;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use sequoiastream_upstream::channel::open;
use sequoiastream_upstream::delivery;
use sequoiastream_upstream::delivery::DeliveryError;
use sequoiastream_upstream::delivery::Permit;

const LIMIT: Duration = Duration::from_secs(20);

/// Length of a body that fits into no socket buffer: the kernel of the server holds at most a few megabytes.
const LONG_BODY: usize = 64 << 20;

/// What a server received before the connection ended, and how it ended.
#[derive(Debug, PartialEq, Eq)]
struct Received {
    count: usize,
    end: Result<(), ErrorKind>,
}

/// A server of one connection, in a thread of its own.
struct Server {
    address: SocketAddr,
    received: JoinHandle<Received>,
}

impl Server {
    /// Starts a server that calls `serve` once and then reads until the connection ends.
    fn start<F>(serve: F) -> Server
    where
        F: FnOnce(&mut std::net::TcpStream) -> usize + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let received = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            stream
                .set_read_timeout(Some(LIMIT))
                .expect("an option of all sockets");
            let mut count = serve(&mut stream);
            let mut part = vec![0; 64 << 10];
            loop {
                match stream.read(&mut part) {
                    Ok(0) => return Received { count, end: Ok(()) },
                    Ok(read) => count += read,
                    Err(error) => {
                        let end = Err(error.kind());
                        return Received { count, end };
                    }
                }
            }
        });
        Server { address, received }
    }

    fn received(self) -> Received {
        self.received.join().expect("the server doesn't panic")
    }
}

fn request(address: SocketAddr, body: Bytes) -> Request<Full<Bytes>> {
    let request = Request::post("/").header("host", address.to_string());
    request.body(Full::new(body)).expect("a request")
}

/// Makes a call with a permit that the kernel is told to end after `limit`.
async fn call<P>(
    address: SocketAddr,
    limit: Duration,
    is_valid: P,
    body: Bytes,
) -> Result<Bytes, DeliveryError>
where
    P: Fn() -> bool + Clone + Unpin + 'static,
{
    let stream = open(address, LIMIT).await.expect("a connection");
    let permit = Permit { limit, is_valid };
    let answered = delivery::call(stream, permit, request(address, body), 1 << 20, LIMIT).await;
    answered.map(http::Response::into_body)
}

/// Guards against bytes that the kernel delivers after the call was given up: the connection must be reset, not closed.
#[actix_web::test]
async fn call_expired_reset() {
    let (arrived, mut expire) = tokio::sync::oneshot::channel();
    let server = Server::start(move |stream| {
        let count = stream.read(&mut [0; 4 << 10]).expect("the request");
        arrived.send(()).expect("the test waits for it");
        count
    });
    let is_valid = Rc::new(Cell::new(true));
    let permitted = is_valid.clone();
    let called = call(server.address, LIMIT, move || permitted.get(), Bytes::new());
    let mut called = std::pin::pin!(called);
    tokio::select! {
        answered = &mut called => panic!("{answered:?} before it expires"),
        _ = &mut expire => is_valid.set(false),
    }
    let answered = called.await;
    assert!(matches!(answered, Err(DeliveryError::Expired)), "{answered:?}");
    // The task of the connection ends it.
    tokio::task::yield_now().await;
    assert_eq!(server.received().end, Err(ErrorKind::ConnectionReset));
}

/// Guards against a request that is written although its permit ended after the connection was opened: before the call
/// begins, or between the first check and the write.
#[actix_web::test]
async fn call_expired_unsent() {
    for valid_checks in [0, 1] {
        let server = Server::start(|_| 0);
        let checks = Rc::new(Cell::new(0));
        let is_valid = move || checks.replace(checks.get() + 1) < valid_checks;
        let answered = call(server.address, LIMIT, is_valid, Bytes::new()).await;
        assert!(answered.is_err(), "{answered:?}");
        tokio::task::yield_now().await;
        assert_eq!(server.received().count, 0, "after {valid_checks} checks");
    }
}

/// Guards against bytes that the kernel delivers after the permit while this thread doesn't run: it is blocked until the
/// server, which reads nothing for four times the limit, has read what is left.
#[actix_web::test]
async fn call_expired_while_blocked() {
    let limit = Duration::from_millis(500);
    let (_open, pause): (Sender<()>, Receiver<()>) = channel();
    let server = Server::start(move |_| {
        assert_eq!(pause.recv_timeout(limit * 4), Err(RecvTimeoutError::Timeout));
        0
    });
    let body = Bytes::from(vec![b'x'; LONG_BODY]);
    let called = call(server.address, limit, || true, body);
    let mut called = std::pin::pin!(called);
    // Writes as much as the kernel accepts.
    let moment = tokio::time::timeout(Duration::from_millis(100), &mut called).await;
    assert!(moment.is_err(), "{moment:?} before the server reads");
    let received = server.received();
    assert!(received.count < LONG_BODY, "{received:?}");
    assert_eq!(received.end, Err(ErrorKind::ConnectionReset));
    assert!(called.await.is_err());
}

/// Guards against an answer that is cut off by the reset that follows it.
#[actix_web::test]
async fn answer_read_whole() {
    const ANSWER: usize = 1 << 20;
    let server = Server::start(|stream| {
        let count = stream.read(&mut [0; 4 << 10]).expect("the request");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {ANSWER}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the head is sent");
        stream.write_all(&vec![b'y'; ANSWER]).expect("the body is sent");
        count
    });
    let answered = call(server.address, LIMIT, || true, Bytes::new()).await;
    assert_eq!(answered.expect("an answer").len(), ANSWER);
    tokio::task::yield_now().await;
    assert_eq!(server.received().end, Err(ErrorKind::ConnectionReset));
}
