//! Orders through real processes without process failures.

use sequoiastream_standin::plain::PlainFault;
use sequoiastream_testsupport::fleet::KEY;
use sequoiastream_testsupport::http;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use super::client::new_key;
use super::client::order;
use super::client::plain_fault;
use super::client::runs;
use super::client::start_three_daemons;
use super::client::status;

/// A client repeats an order through every instance, because the answer came late. The order runs once, and each
/// repeat gets the first answer.
#[actix_web::test]
async fn order_repeated_elsewhere() {
    let fleet = start_three_daemons().await;
    let key = new_key();
    let first = order(&fleet, 0, &key, "pellets").await;
    assert_eq!((first.status, first.outcome.as_deref()), (200, Some("whole")));
    for index in [1, 2, 0] {
        let repeated = order(&fleet, index, &key, "pellets").await;
        assert_eq!(repeated, first);
    }
    assert_eq!(runs(&fleet).await.get(&key), Some(&1));
    let request_status = status(&fleet, 1, &key, KEY).await;
    assert_eq!(request_status["state"], "finished");
    assert_eq!(request_status["answer"], json!(first.body));
}

/// A client uses one key for two different orders: the second order must not get the answer to the first.
#[actix_web::test]
async fn order_key_reused() {
    let fleet = start_three_daemons().await;
    let key = new_key();
    order(&fleet, 0, &key, "booth 1").await;
    let other = order(&fleet, 1, &key, "booth 2").await;
    assert_eq!((other.status, other.outcome.as_deref()), (422, Some("not-run")));
    assert_eq!(other.json::<Value>()["error"]["reason"], "key-reused");
    assert_eq!(runs(&fleet).await.get(&key), Some(&1));
}

#[actix_web::test]
async fn order_key_refused_table() {
    let fleet = start_three_daemons().await;
    let at = |seconds: u64| {
        let time = uuid::Timestamp::from_unix(uuid::NoContext, seconds, 0);
        Uuid::new_v7(time).to_string()
    };
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now = now.expect("after the epoch").as_secs();
    let cases = [
        ("none", 400, "bad-request"),
        ("f3d2bb6e-7d3c-4a77-9d0b-0b3a1c2d4e5f", 400, "bad-request"),
        (&at(now - 3700), 400, "key-expired"),
        (&at(now + 120), 400, "bad-request"),
    ];
    for (key, code, reason) in cases {
        let reply = order(&fleet, 0, key, "pellets").await;
        assert_eq!(
            (reply.status, reply.outcome.as_deref()),
            (code, Some("not-run")),
            "{key}"
        );
        assert_eq!(reply.json::<Value>()["error"]["reason"], reason, "{key}");
    }
    assert!(runs(&fleet).await.is_empty());
}

#[actix_web::test]
async fn order_running_then_late() {
    let fleet = start_three_daemons().await;
    let key = new_key();
    let fault = PlainFault {
        delay: 1_500,
        ..PlainFault::default()
    };
    plain_fault(&fleet, &fault).await;
    let repeat = async {
        http::until("the order is running", || async {
            runs(&fleet).await.contains_key(&key).then_some(())
        })
        .await;
        let repeat = order(&fleet, 1, &key, "pellets").await;
        (repeat, status(&fleet, 2, &key, KEY).await)
    };
    let (first, (repeat, request_status)) = futures_util::join!(order(&fleet, 0, &key, "pellets"), repeat);
    assert_eq!(first.outcome.as_deref(), Some("whole"));
    assert_eq!((repeat.status, repeat.outcome.as_deref()), (409, Some("unknown")));
    assert!(repeat.retry_after.is_some());
    assert_eq!(request_status["state"], "running");
    assert_eq!(runs(&fleet).await.get(&key), Some(&1));
}

/// A product queries the key of another product: the answer must not reveal that the request exists.
#[actix_web::test]
async fn status_other_product() {
    let fleet = start_three_daemons().await;
    let version = fleet
        .apply(0, "create product rival key \"key-of-the-rival\" share 10;")
        .await;
    fleet.wait_for_version(version).await;
    let key = new_key();
    order(&fleet, 0, &key, "pellets").await;
    let request_status = status(&fleet, 1, &key, "key-of-the-rival").await;
    assert_eq!(request_status["state"], "never-seen");
}

#[actix_web::test]
async fn show_claims() {
    let fleet = start_three_daemons().await;
    for _ in 0..8 {
        order(&fleet, 0, &new_key(), "pellets").await;
    }
    let mut rows = 0;
    for index in 0..3 {
        let reply = fleet.statement(index, Uuid::new_v4(), "show claims").await;
        rows += reply.json::<Value>()["table"]["rows"]
            .as_array()
            .map_or(0, Vec::len);
    }
    assert_eq!(rows, 8);
}
