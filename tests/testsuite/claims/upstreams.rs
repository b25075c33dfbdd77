//! Orders to upstreams that redirect, close connections, lose answers, or answer late.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use actix_web::http::Method;
use sequoiastream_standin::plain::PlainFault;
use sequoiastream_testsupport::fleet::KEY;
use sequoiastream_testsupport::http;
use sequoiastream_upstream::PlainCall;
use sequoiastream_upstream::PlainClient;
use serde_json::Value;
use serde_json::json;

use super::client::new_key;
use super::client::order;
use super::client::plain_fault;
use super::client::runs;
use super::client::start_fleet;
use super::client::start_three_daemons;
use super::client::status;
use crate::support::fleet;

/// The upstream runs an order and answers with a redirect to the same path. If the redirect is followed, the order runs
/// twice. Cause: an HTTP client that follows redirects automatically.
#[actix_web::test]
async fn order_redirected() {
    let fleet = start_three_daemons().await;
    let fault = PlainFault {
        redirect: true,
        ..PlainFault::default()
    };
    plain_fault(&fleet, &fault).await;
    let key = new_key();
    let reply = order(&fleet, 0, &key, "pellets").await;
    assert_eq!((reply.status, reply.outcome.as_deref()), (307, Some("whole")));
    assert_eq!(runs(&fleet).await.get(&key), Some(&1));
}

/// Guards against callers that repeat an order that has run, because the upstream's own status is taken for the promise that it
/// has not: the outcome says that the answer is whole, whatever the status.
#[actix_web::test]
async fn order_refused_after_run() {
    let fleet = start_three_daemons().await;
    for own in [503, 429, 408, 421] {
        let fault = PlainFault {
            status: own,
            ..PlainFault::default()
        };
        plain_fault(&fleet, &fault).await;
        let key = new_key();
        for _ in 0..2 {
            let reply = order(&fleet, 0, &key, "pellets").await;
            assert_eq!((reply.status, reply.outcome.as_deref()), (own, Some("whole")));
        }
        assert_eq!(runs(&fleet).await.get(&key), Some(&1), "{own}");
    }
}

/// The upstream runs an order, but the connection breaks before the answer, and the client repeats the order through
/// the other instances. If the broken connection counted as an order that did not run, the order would run twice.
#[actix_web::test]
async fn order_answer_lost() {
    let fleet = start_three_daemons().await;
    let fault = PlainFault {
        lose: 1,
        ..PlainFault::default()
    };
    plain_fault(&fleet, &fault).await;
    let key = new_key();
    for index in 0..3 {
        let reply = order(&fleet, index, &key, "pellets").await;
        assert_eq!(
            reply.outcome.as_deref(),
            Some("unknown"),
            "through {index}: {}",
            reply.body
        );
    }
    assert_eq!(status(&fleet, 1, &key, KEY).await["state"], "unknown");
    assert_eq!(runs(&fleet).await.get(&key), Some(&1));
}

/// The upstream refuses an order and states that it did not start: the client may repeat it with the same key.
#[actix_web::test]
async fn order_refused_then_repeated() {
    let fleet = start_three_daemons().await;
    let refusing = PlainFault {
        refuse: true,
        ..PlainFault::default()
    };
    plain_fault(&fleet, &refusing).await;
    let key = new_key();
    let reply = order(&fleet, 0, &key, "pellets").await;
    assert_eq!(reply.outcome.as_deref(), Some("not-run"));
    assert_eq!(runs(&fleet).await.get(&key), None);
    plain_fault(&fleet, &PlainFault::default()).await;
    let repeat = http::until("the claim is released", || async {
        let reply = order(&fleet, 1, &key, "pellets").await;
        (reply.outcome.as_deref() == Some("whole")).then_some(reply)
    })
    .await;
    assert_eq!(repeat.json::<Value>()["run"], 1);
    assert_eq!(runs(&fleet).await.get(&key), Some(&1));
}

/// The upstream answers after the client's deadline. At the deadline the client is told that the outcome is unknown; a
/// repeat gets the answer.
#[actix_web::test]
async fn order_answered_late() {
    let fleet = start_three_daemons().await;
    let fault = PlainFault {
        delay: 1_000,
        ..PlainFault::default()
    };
    plain_fault(&fleet, &fault).await;
    let key = new_key();
    let url = format!("{}/services/ordini/orders", fleet.daemons[0].url());
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", key.as_str()),
        ("sequoiastream-deadline-ms", "400"),
    ];
    let body = json!({ "item": "pellets" });
    let reply = http::send("POST", &url, &headers, &body).await;
    assert_eq!((reply.status, reply.outcome.as_deref()), (504, Some("unknown")));
    http::until("the request is reported as finished", || async {
        let request_status = status(&fleet, 1, &key, KEY).await;
        (request_status["state"] == "finished").then_some(())
    })
    .await;
    let repeat = order(&fleet, 2, &key, "pellets").await;
    assert_eq!((repeat.status, repeat.outcome.as_deref()), (200, Some("whole")));
    assert_eq!(runs(&fleet).await.get(&key), Some(&1));
}

/// One of two upstreams closes connections without an answer during look-ups. A look-up is safe to repeat, so it is
/// retried and the client sees no failure.
#[actix_web::test]
async fn lookup_retried() {
    let fleet = start_fleet(fleet().daemons(1).plain(2)).await;
    let fault = PlainFault {
        lose: 2,
        ..PlainFault::default()
    };
    plain_fault(&fleet, &fault).await;
    let url = format!("{}/services/ordini/lookup", fleet.daemons[0].url());
    let bearer = format!("Bearer {KEY}");
    for _ in 0..4 {
        let reply = http::send("GET", &url, &[("authorization", &bearer)], "").await;
        assert_eq!(reply.outcome.as_deref(), Some("whole"), "{}", reply.body);
    }
}

/// A service deduplicates calls by idempotency key itself. Calls to it are retried with the key passed through; calls
/// without a key are refused. (The stand-in counts every call that reaches it and does not deduplicate.)
#[actix_web::test]
async fn booking_passed_through() {
    let fleet = start_fleet(fleet().daemons(1).plain(1)).await;
    let address = fleet.plain[0].address();
    let statements = format!(
        "withdraw engine p0; create service prenota plain route POST \"/bookings\" dedupes;\
         place engine b0 service prenota zone lodi-a address {address};"
    );
    let version = fleet.apply(0, &statements).await;
    fleet.wait_for_version(version).await;
    let fault = PlainFault {
        lose: 1,
        ..PlainFault::default()
    };
    plain_fault(&fleet, &fault).await;
    let url = format!("{}/services/prenota/bookings", fleet.daemons[0].url());
    let bearer = format!("Bearer {KEY}");
    let without_key = http::send("POST", &url, &[("authorization", &bearer)], "booth 1").await;
    assert_eq!(
        (without_key.status, without_key.outcome.as_deref()),
        (400, Some("not-run"))
    );
    let key = new_key();
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", &key)];
    let reply = http::send("POST", &url, &headers, "booth 1").await;
    assert_eq!(reply.outcome.as_deref(), Some("whole"), "{}", reply.body);
    assert_eq!(runs(&fleet).await.get(&key), Some(&2));
}

/// Number of connections and orders that the upstream received.
#[derive(Debug, Default)]
struct SeenOrders {
    connections: AtomicU32,
    orders: AtomicU32,
}

/// Starts an upstream that answers the first order on a connection and keeps the connection open; after it has received
/// the second order, it closes the connection without an answer.
fn close_on_second(seen: Arc<SeenOrders>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            seen.connections.fetch_add(1, Ordering::SeqCst);
            let seen = seen.clone();
            thread::spawn(move || {
                let mut read = Vec::new();
                let mut buffer = [0; 1024];
                let mut received = 0;
                while let Ok(count @ 1..) = stream.read(&mut buffer) {
                    read.extend_from_slice(&buffer[..count]);
                    if !read.ends_with(b"two pellets") {
                        continue;
                    }
                    read.clear();
                    received += 1;
                    seen.orders.fetch_add(1, Ordering::SeqCst);
                    if received == 2 {
                        return;
                    }
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                }
            });
        }
    });
    address
}

/// An order is sent on a pooled connection just as the upstream closes it. Either the HTTP client sends it again on
/// another connection and the order may run twice, or the outcome of the order stays unknown. Each order that may not
/// be repeated is therefore sent on a new connection.
#[actix_web::test]
async fn send_once_own_connection() {
    let seen = Arc::new(SeenOrders::default());
    let address = close_on_second(seen.clone());
    let client = PlainClient::new();
    let call = PlainCall {
        method: Method::POST,
        path: "/orders".to_string(),
        headers: Vec::new(),
        body: "two pellets".into(),
    };
    for number in 1..=3 {
        let reply = client.send_once(address, &call, Duration::from_secs(5)).await;
        assert_eq!(reply.map(|r| r.status), Ok(200), "order {number}");
        assert_eq!(seen.connections.load(Ordering::SeqCst), number);
        assert_eq!(seen.orders.load(Ordering::SeqCst), number);
    }
}
