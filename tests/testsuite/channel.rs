//! Reuse of connections to upstreams.

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use sequoiastream_upstream::channel::ChannelError;
use sequoiastream_upstream::channel::Pool;
use sequoiastream_upstream::channel::call;
use sequoiastream_upstream::patience::within;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

const LIMIT: Duration = Duration::from_secs(5);

/// A connection must be reused after a chunked response has been read to its end. The end of a chunked body is known
/// only after reading it; if the connection were taken to have unread bytes, each stream would open a new connection.
#[actix_web::test]
async fn keep_after_chunks() {
    let connections = Rc::new(Cell::new(0));
    let address = serve_chunks(connections.clone()).await;
    let pool = Pool::new();
    for _ in 0..3 {
        let channel = pool.take(address, LIMIT).await.expect("a connection");
        let mut answer = channel
            .send(empty_request(address), LIMIT)
            .await
            .expect("an answer");
        while answer.next().await.expect("a chunk").is_some() {}
        pool.keep(address, answer);
        // A connection stays idle for a short time before it is used for the next request.
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(connections.get(), 1);
}

/// Guards against each call waiting in vain on another connection that has become silent, although new connections work.
/// Sequence: two connections are idle, and the server answers on neither of them any more.
#[actix_web::test]
async fn silent_idle_closed() {
    let address = serve_once().await;
    let pool = Pool::new();
    let request = |limit| call(&pool, address, empty_request(address), 64, limit);
    let (first, second) = tokio::join!(request(LIMIT), request(LIMIT));
    assert!(first.is_ok() && second.is_ok());
    // A connection stays idle for a short time before it is used for the next request.
    tokio::time::sleep(Duration::from_millis(60)).await;
    let silent = request(Duration::from_millis(200)).await;
    assert_eq!(silent.map(|_| ()), Err(ChannelError::Timeout));
    let answered = request(LIMIT).await;
    assert!(answered.is_ok(), "{answered:?}");
}

/// Guards against bytes that belong to no request being taken for the answer to the next one, such as a confirmation that it
/// did not run. Sequence: the process is stopped while a connection is idle, the server sends another answer meanwhile, and the
/// next request is sent before the process has looked for it.
#[actix_web::test]
async fn extra_answer_unread() {
    let (address, extra_sent) = serve_extra_answer();
    let pool = Pool::new();
    let first = call(&pool, address, empty_request(address), 64, LIMIT).await;
    assert_eq!(first.expect("an answer").status(), 200);
    // Stands for the stop: nothing runs on this thread meanwhile.
    extra_sent.recv_timeout(LIMIT).expect("the server runs");
    let second = call(&pool, address, empty_request(address), 64, LIMIT).await;
    let second = second.expect("an answer on a new connection");
    assert_eq!(
        (second.status().as_u16(), second.body().as_ref()),
        (200, &b"1"[..])
    );
}

/// Guards against an answer that is dropped although it was there in time, because the process was stopped until after the time
/// limit.
#[actix_web::test]
async fn answer_there_after_stop() {
    let (address, is_answered) = serve_late();
    let pool = Pool::new();
    let limit = Duration::from_millis(200);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        // Stands for the stop: nothing runs on this thread meanwhile.
        is_answered.recv_timeout(LIMIT).expect("the server runs");
        std::thread::sleep(limit);
    };
    let asked = within(limit, call(&pool, address, empty_request(address), 64, limit));
    let (answered, ()) = tokio::join!(asked, stop);
    let answered = answered.expect("in time");
    assert_eq!(answered.map(|answer| answer.status().as_u16()), Ok(200));
}

/// Guards against a request that counts as unsent although a part of it was written: the server resets the connection amid
/// the body.
#[actix_web::test]
async fn reset_amid_write() {
    let address = serve_reset();
    let pool = Pool::new();
    for _ in 0..20 {
        let mut request = empty_request(address);
        *request.method_mut() = http::Method::POST;
        *request.body_mut() = Full::new(Bytes::from(vec![b'x'; 16 << 20]));
        let failed = call(&pool, address, request, 64, LIMIT).await;
        assert!(matches!(failed, Err(ChannelError::Broken(_))), "{failed:?}");
    }
}

fn empty_request(address: SocketAddr) -> Request<Full<Bytes>> {
    let request = Request::builder().uri("/").header("host", address.to_string());
    request.body(Full::new(Bytes::new())).expect("a request")
}

/// Starts a server that answers every request with two chunks and counts the connections.
async fn serve_chunks(connections: Rc<Cell<u32>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            connections.set(connections.get() + 1);
            spawn_local(async move {
                let mut buffer = [0; 1024];
                while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
                    if stream.write_all(answer).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Starts a server that answers only the first request on each connection.
async fn serve_once() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let mut buffer = [0; 1024];
                if stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab";
                    stream.write_all(answer).await.expect("an open connection");
                }
                while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
            });
        }
    });
    address
}

/// Starts a server in a thread of its own, which answers with the number of its connection, from 0. After its first answer it
/// sends one more, which declines a request, and says so.
fn serve_extra_answer() -> (SocketAddr, Receiver<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (extra_sent, is_sent) = channel();
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let extra_sent = extra_sent.clone();
            let stream = stream.expect("a connection");
            std::thread::spawn(move || answer_twice(stream, number, &extra_sent));
        }
    });
    (address, is_sent)
}

fn answer_twice(mut stream: TcpStream, number: usize, extra_sent: &Sender<()>) {
    let mut buffer = [0; 1024];
    while stream.read(&mut buffer).is_ok_and(|count| count > 0) {
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
        stream.write_all(answer.as_bytes()).expect("an open connection");
        if number == 0 {
            // As long as a connection stays idle before it is used again.
            std::thread::sleep(Duration::from_millis(60));
            let extra = b"HTTP/1.1 503 Busy\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(extra).expect("an open connection");
            // Fails if the test has ended.
            let _ = extra_sent.send(());
        }
    }
}

/// Starts a server that resets each connection after the first bytes of a request.
fn serve_reset() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut buffer = [0; 1024];
            // A connection that is dropped while it holds unread bytes is reset.
            stream
                .expect("a connection")
                .read_exact(&mut buffer)
                .expect("a request");
        }
    });
    address
}

/// Starts a server in a thread of its own that answers one request after a time, and says so.
fn serve_late() -> (SocketAddr, Receiver<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (answered, is_answered) = channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 1024];
        let count = stream.read(&mut buffer).expect("a request");
        assert!(count > 0, "the caller asks");
        std::thread::sleep(Duration::from_millis(60));
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab";
        stream.write_all(answer).expect("an open connection");
        // Fails if the test has ended.
        let _ = answered.send(());
    });
    (address, is_answered)
}
