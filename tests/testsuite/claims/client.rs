//! What a caller and an observer do in the tests of claims.

use std::collections::BTreeMap;

use sequoiastream_standin::plain::PlainFault;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::fleet::KEY;
use sequoiastream_testsupport::http;
use sequoiastream_testsupport::http::Reply;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::support::fleet;

/// Deadline of an order in tests, in milliseconds.
pub const DEADLINE: u64 = 6_000;

/// Three daemons before one plain service, each knowing the other two.
pub async fn three() -> Fleet {
    let fleet = fleet().daemons(3).plain(1).start_configured().await;
    for index in 0..3 {
        listed(&fleet, index).await;
    }
    fleet
}

/// Waits until daemon `index` asks others for claims: it then knows the list.
pub async fn listed(fleet: &Fleet, index: usize) {
    let url = format!("{}/metrics", fleet.daemons[index].url());
    http::until("the list is known", || async {
        let page = http::client().get(&url).send().await.ok()?.body().await.ok()?;
        let page = String::from_utf8_lossy(&page).into_owned();
        let listed = page
            .lines()
            .find_map(|l| l.strip_prefix("sequoiastream_peers_listed "));
        (listed?.parse::<usize>().ok()? >= fleet.daemons.len()).then_some(())
    })
    .await;
}

/// A key of now.
pub fn key() -> String {
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
    let deadline = DEADLINE.to_string();
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
