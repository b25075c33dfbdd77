//! The upstream client: what it may report about a request that failed.

use std::cell::RefCell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use actix_web::http::Method;
use sequoiastream_upstream::EngineClient;
use sequoiastream_upstream::PlainCall;
use sequoiastream_upstream::PlainClient;
use sequoiastream_upstream::UpstreamError;
use sequoiastream_upstream::wire::GenerateBody;
use uuid::Uuid;

/// An upstream that reads the whole request and closes the connection without an answer.
fn close_after_request() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_order(&mut stream);
    });
    address
}

/// Reads a whole [`order`].
fn read_order(stream: &mut TcpStream) {
    let mut seen = Vec::new();
    let mut buffer = [0; 1024];
    while !seen.ends_with(b"two pellets") {
        let count = stream.read(&mut buffer).expect("the request");
        seen.extend_from_slice(&buffer[..count]);
    }
}

fn order() -> PlainCall {
    PlainCall {
        method: Method::POST,
        path: "/orders".to_string(),
        headers: Vec::new(),
        body: "two pellets".into(),
    }
}

fn generate_body() -> GenerateBody {
    GenerateBody {
        attempt: Uuid::from_u128(1),
        model: "m".to_string(),
        prompt: "short turn".to_string(),
        limit: 3,
        seed: 1,
        offset: 0,
        version: None,
        prefix: None,
        priority: 0,
        import: None,
    }
}

/// Guards against an order that runs twice. An upstream executes an order and dies before it answers; awc uses its
/// connect error `Disconnected` also for a connection that closed after the request was sent. If that counted as a
/// failure to connect, the instance would report `not-run` and the caller would order again.
#[actix_web::test]
async fn send_closed_after_request() {
    let address = close_after_request();
    let result = PlainClient::new()
        .send(address, &order(), Duration::from_secs(5))
        .await;
    let error = result.expect_err("no answer came");
    assert!(
        !error.is_not_started(),
        "{error:?} claims that the order did not run"
    );
}

#[actix_web::test]
async fn send_nobody_listens() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    drop(listener);
    let result = PlainClient::new()
        .send(address, &order(), Duration::from_secs(5))
        .await;
    assert!(matches!(result, Err(UpstreamError::Connect(_))), "{result:?}");
}

/// Guards against a request that reaches a drained engine: the instance is paused while it connects to the engine, the
/// engine is drained during the pause, and the instance sends the request when it resumes.
#[actix_web::test]
async fn generate_permit_lost_while_connecting() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    listener.set_nonblocking(true).expect("the option is supported");
    let accepted = Rc::new(RefCell::new(None));
    let connection = accepted.clone();
    let client = EngineClient::with_permit(Rc::new(move || {
        let (stream, _) = listener.accept().expect("the permit is called after connecting");
        *connection.borrow_mut() = Some(stream);
        false
    }));
    let body = generate_body();
    let generated = tokio::time::timeout(Duration::from_secs(5), client.generate(address, &body)).await;
    let result = generated.expect("a refused request fails without waiting");
    let error = result.expect_err("not permitted");
    assert!(error.is_not_started(), "{error:?}");
    let mut stream = accepted.take().expect("the permit was called");
    stream.set_nonblocking(false).expect("the option is supported");
    let mut received = Vec::new();
    stream
        .read_to_end(&mut received)
        .expect("the connection is closed");
    assert_eq!(received, b"", "sent without a permit");
}

/// An upstream that reads a request and sends `answer`, then closes the connection.
fn answer_and_close(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut seen = Vec::new();
        let mut buffer = [0; 4_096];
        while !is_complete(&seen) {
            let count = stream.read(&mut buffer).expect("the request");
            seen.extend_from_slice(&buffer[..count]);
        }
        stream.write_all(answer.as_bytes()).expect("the answer");
    });
    address
}

/// Whether `request` contains the whole body that its head announces.
fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| {
        line.to_ascii_lowercase()
            .strip_prefix("content-length: ")?
            .parse()
            .ok()
    });
    body.len() >= length.unwrap_or(0)
}

/// Guards against a plain service's answer with neither a length nor chunks that reaches the caller as an empty one.
#[actix_web::test]
async fn send_unframed() {
    for headers in ["", "connection: close\r\n"] {
        let address = answer_and_close(format!("HTTP/1.1 200 OK\r\n{headers}\r\nwhole"));
        let result = PlainClient::new()
            .send(address, &order(), Duration::from_secs(5))
            .await;
        let reply = result.expect("an answer");
        assert_eq!((reply.status, reply.body.as_ref()), (200, b"whole".as_ref()));
    }
}

fn piece(offset: u32) -> String {
    format!(
        r#"{{"attempt":"{}","offset":{offset},"text":"t","finish":null}}"#,
        Uuid::from_u128(1)
    ) + "\n"
}

/// Guards against the stream of an engine with neither a length nor chunks that seems to hold no pieces, and against one
/// that ends within a piece and seems to have ended after the piece before.
#[actix_web::test]
async fn generate_unframed() {
    let half = &piece(1)[..20];
    for (end, is_whole) in [("", true), (half, false)] {
        let address = answer_and_close(format!("HTTP/1.1 200 OK\r\n\r\n{}{end}", piece(0)));
        let generated = EngineClient::new().generate(address, &generate_body()).await;
        let mut stream = generated.expect("an answer");
        let first = stream.next().await.expect("a piece");
        assert_eq!(first.map(|piece| piece.offset), Some(0));
        let rest = stream.next().await;
        match is_whole {
            true => assert!(matches!(rest, Ok(None)), "{rest:?}"),
            false => assert!(matches!(rest, Err(UpstreamError::Broken(_))), "{rest:?}"),
        }
    }
}

/// A plain service that serves the first call on each connection, and then sends a refusal that bears `extra` where the answer
/// to the second one is expected.
fn refuse_second(extra: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\nx-not-started: 1\r\n{extra}content-length: 0\r\n\r\n"
        );
        for answer in ["HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", &refusal] {
            read_order(&mut stream);
            stream.write_all(answer.as_bytes()).expect("the client reads");
        }
    });
    address
}

/// Guards against a caller that is told that its request did not run because of an extra answer to an earlier one on the same
/// connection.
#[actix_web::test]
async fn refusal_of_earlier_attempt() {
    for extra in ["", "x-attempt: 00000000-0000-0000-0000-000000000001\r\n"] {
        let address = refuse_second(extra);
        let client = PlainClient::new();
        let limit = Duration::from_secs(5);
        let first = client.send(address, &order(), limit).await;
        assert!(first.is_ok(), "{first:?}");
        // A connection rests before it is used again.
        tokio::time::sleep(Duration::from_millis(60)).await;
        let error = client.send(address, &order(), limit).await;
        let error = error.expect_err("the second call is refused");
        assert!(!error.is_not_started(), "{extra:?}: {error:?}");
    }
}

/// A plain service that answers the first request with this status, and guarantees that it did not start the attempt.
fn contradict(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        read_order(&mut stream);
        let answer = format!("HTTP/1.1 {status}\r\nx-not-started: 1\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).expect("the client reads");
    });
    address
}

/// Guards against an order that is told to its caller as not run because of a guarantee that its status contradicts.
#[actix_web::test]
async fn refusal_contradicted() {
    let limit = Duration::from_secs(5);
    for status in [
        "200 OK",
        "204 No Content",
        "500 Internal Server Error",
        "504 Gateway Timeout",
    ] {
        let error = PlainClient::new()
            .send_once(contradict(status), &order(), limit)
            .await;
        let error = error.expect_err("no answer can be passed on");
        assert!(!error.is_not_started(), "{status}: {error:?}");
    }
    let error = PlainClient::new()
        .send_once(contradict("503 Service Unavailable"), &order(), limit)
        .await;
    assert!(error.is_err_and(|error| error.is_not_started()));
}
