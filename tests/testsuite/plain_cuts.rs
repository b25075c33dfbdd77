//! Answers of plain services that are cut at any byte, on connections that are closed as if they were complete.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use actix_web::http::Method;
use sequoiastream_upstream::PlainCall;
use sequoiastream_upstream::PlainClient;
use sequoiastream_upstream::UpstreamError;

const LIMIT: Duration = Duration::from_secs(5);

/// A service that sends the first `n` bytes of `answer` to request number `n` and closes the connection.
fn cutting_service(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for cut in 0..=answer.len() {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut request = Vec::new();
            let mut buffer = [0; 1_024];
            while !request.ends_with(b"\r\n\r\n") {
                let count = stream.read(&mut buffer).expect("the request");
                request.extend_from_slice(&buffer[..count]);
            }
            stream
                .write_all(&answer.as_bytes()[..cut])
                .expect("an open connection");
        }
    });
    address
}

/// Guards against an answer that looks complete although its service stopped within its head, right after it, or within a body
/// whose length is known.
#[actix_web::test]
async fn cut_answer_not_whole() {
    let (unframed, length, chunks) = (
        "HTTP/1.1 200 OK\r\nserver: s\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhol",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r",
    );
    let call = PlainCall {
        method: Method::GET,
        path: "/".to_string(),
        headers: Vec::new(),
        body: "".into(),
    };
    for answer in [unframed, length, chunks] {
        let address = cutting_service(answer);
        for cut in 0..=answer.len() {
            let result = PlainClient::new().send(address, &call, LIMIT).await;
            assert!(
                matches!(result, Err(UpstreamError::Broken(_))),
                "{answer:?} cut at {cut}: {result:?}"
            );
        }
    }
}
