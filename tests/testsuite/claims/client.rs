//! What a caller and an observer do in the tests of claims.

use std::collections::BTreeMap;
use std::ops::Range;

use sequoiastream_standin::plain::PlainFault;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::FleetBuilder;
use sequoiastream_testsupport::fleet::KEY;
use sequoiastream_testsupport::http;
use sequoiastream_testsupport::http::Reply;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::support::fleet;

/// Deadline of an order in tests, in milliseconds.
pub const DEADLINE_MS: u64 = 6_000;

/// Three daemons before one plain service, each knowing the other two.
pub async fn start_three_daemons() -> Fleet {
    start_fleet(fleet().daemons(3).plain(1)).await
}

/// Starts the fleet and waits until each daemon knows the others.
pub async fn start_fleet(builder: FleetBuilder) -> Fleet {
    let builder = builder
        .daemon_arg("--heartbeat-ms=100")
        .daemon_arg("--list-ms=100");
    let fleet = builder.start_configured().await;
    let bearer = format!("Bearer {KEY}");
    for daemon in &fleet.daemons {
        let url = format!("{}/v1/addresses", daemon.url());
        http::until("every instance is named", || async {
            let reply = http::send("GET", &url, &[("authorization", &bearer)], "").await;
            let body: Value = reply.json();
            let named = body["addresses"].as_array().map_or(0, Vec::len);
            (named == fleet.daemons.len()).then_some(())
        })
        .await;
    }
    fleet
}

/// A key of now.
pub fn new_key() -> String {
    Uuid::now_v7().to_string()
}

/// Orders through daemon `index`; the connection may fail.
pub async fn try_order(fleet: &Fleet, index: usize, key: &str, body: &str) -> eyre::Result<Reply> {
    order_at(&fleet.daemons[index].url(), key, body).await
}

/// Orders through the daemon at `base`; the connection may fail.
pub async fn order_at(base: &str, key: &str, body: &str) -> eyre::Result<Reply> {
    let url = format!("{base}/services/ordini/orders");
    let bearer = format!("Bearer {KEY}");
    let deadline = DEADLINE_MS.to_string();
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", key),
        ("sequoiastream-deadline-ms", deadline.as_str()),
    ];
    http::try_send("POST", &url, &headers, &json!({ "item": body })).await
}

/// Orders through daemon `index`.
pub async fn order(fleet: &Fleet, index: usize, key: &str, body: &str) -> Reply {
    let reply = try_order(fleet, index, key, body).await;
    reply.expect("the daemon answers")
}

/// What daemon `index` says of the request with `key`.
pub async fn status(fleet: &Fleet, index: usize, key: &str, bearer: &str) -> Value {
    let url = format!("{}/v1/requests/{key}", fleet.daemons[index].url());
    let bearer = format!("Bearer {bearer}");
    http::send("GET", &url, &[("authorization", &bearer)], "")
        .await
        .json()
}

/// Runs of each key at all plain upstreams together.
pub async fn runs(fleet: &Fleet) -> BTreeMap<String, u32> {
    let mut sum = BTreeMap::new();
    for plain in &fleet.plain {
        let runs: BTreeMap<String, u32> = http::read(&format!("{}/control/runs", plain.url())).await;
        for (key, count) in runs {
            *sum.entry(key).or_default() += count;
        }
    }
    sum
}

/// Makes plain upstream 0 misbehave.
pub async fn plain_fault(fleet: &Fleet, fault: &PlainFault) {
    let url = format!("{}/control/fault", fleet.plain[0].url());
    http::send("PUT", &url, &[], fault).await;
}

/// Names the seed of a run that fails.
pub struct PrintSeedOnPanic(pub u64);

impl Drop for PrintSeedOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failed with seed {}", self.0);
        }
    }
}

/// The fixed seeds, or those of the variable `SEQUOIASTREAM_SEEDS`, such as `600..1000000`, for long runs.
pub fn seeds_or(fixed: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("SEQUOIASTREAM_SEEDS") else {
        return fixed;
    };
    let (from, to) = text.split_once("..").expect("a range such as 600..1000000");
    let number = |text: &str| text.parse().expect("a number");
    number(from)..number(to)
}
