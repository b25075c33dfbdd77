//! Helpers for tests of claims: sending orders, querying their status, and inspecting the plain upstreams.

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

/// Deadline of an order, in milliseconds.
pub const DEADLINE_MS: u64 = 6_000;

/// Starts three daemons and one plain upstream, and waits until each daemon lists the other two.
pub async fn start_three_daemons() -> Fleet {
    start_fleet(fleet().daemons(3).plain(1)).await
}

/// Starts the fleet and waits until each daemon lists every daemon of the fleet.
pub async fn start_fleet(builder: FleetBuilder) -> Fleet {
    let builder = builder
        .daemon_arg("--heartbeat-ms=100")
        .daemon_arg("--list-ms=100");
    let fleet = builder.start_configured().await;
    let bearer = format!("Bearer {KEY}");
    for daemon in &fleet.daemons {
        let url = format!("{}/v1/addresses", daemon.url());
        http::until("the daemon lists all instances", || async {
            let reply = http::send("GET", &url, &[("authorization", &bearer)], "").await;
            let body: Value = reply.json();
            let listed = body["addresses"].as_array().map_or(0, Vec::len);
            (listed == fleet.daemons.len()).then_some(())
        })
        .await;
    }
    fleet
}

/// Creates an idempotency key with the current time.
pub fn new_key() -> String {
    Uuid::now_v7().to_string()
}

/// Sends an order through daemon `index`. Returns an error if the connection fails.
pub async fn try_order(fleet: &Fleet, index: usize, key: &str, body: &str) -> eyre::Result<Reply> {
    order_at(&fleet.daemons[index].url(), key, body).await
}

/// Sends an order through the daemon at the URL `base`. Returns an error if the connection fails.
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

/// Sends an order through daemon `index`; panics if the connection fails.
pub async fn order(fleet: &Fleet, index: usize, key: &str, body: &str) -> Reply {
    let reply = try_order(fleet, index, key, body).await;
    reply.expect("the daemon answers")
}

/// Queries daemon `index` for the status of the request with `key`.
pub async fn status(fleet: &Fleet, index: usize, key: &str, bearer: &str) -> Value {
    let url = format!("{}/v1/requests/{key}", fleet.daemons[index].url());
    let bearer = format!("Bearer {bearer}");
    http::send("GET", &url, &[("authorization", &bearer)], "")
        .await
        .json()
}

/// Number of runs by idempotency key, summed over all plain upstreams.
pub async fn runs(fleet: &Fleet) -> BTreeMap<String, u32> {
    let mut total = BTreeMap::new();
    for plain in &fleet.plain {
        let runs: BTreeMap<String, u32> = http::read(&format!("{}/control/runs", plain.url())).await;
        for (key, count) in runs {
            *total.entry(key).or_default() += count;
        }
    }
    total
}

/// Injects a fault into plain upstream 0.
pub async fn plain_fault(fleet: &Fleet, fault: &PlainFault) {
    let url = format!("{}/control/fault", fleet.plain[0].url());
    http::send("PUT", &url, &[], fault).await;
}

/// Prints the seed if it is dropped while the thread panics, so that the failed run can be repeated.
pub struct PrintSeedOnPanic(pub u64);

impl Drop for PrintSeedOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failed with seed {}", self.0);
        }
    }
}

/// Returns the range in the environment variable `SEQUOIASTREAM_SEEDS`, such as `600..1000000`, for long runs; `fixed`
/// if the variable is not set.
pub fn seeds_or(fixed: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("SEQUOIASTREAM_SEEDS") else {
        return fixed;
    };
    let (start, end) = text.split_once("..").expect("a range such as 600..1000000");
    let number = |text: &str| text.parse().expect("a number");
    number(start)..number(end)
}
