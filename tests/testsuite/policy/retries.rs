use sequoiastream_core::retry::Retries;

use super::name;

// Engines come back after an outage and fall over again. All requests that fail are sent up to three times, beside
// the fresh ones. Cause: each request decides alone that it may be tried again.
#[test]
fn retry_outage_end() {
    let mut retries = Retries::new(3);
    let product = name("assistente");
    let fresh = 1_000;
    let mut sent = 0;
    for _ in 0..fresh {
        retries.fresh(&product);
        sent += 1;
        let mut attempt = 1;
        while retries.retry(&product, attempt).is_some() {
            sent += 1;
            attempt += 1;
        }
    }
    // Ten retries are there before the first request.
    assert!(sent <= fresh * 12 / 10 + 10, "{sent} sent for {fresh} fresh ones");
    assert!(sent > fresh * 11 / 10, "{sent}: the budget is usable");
}

#[test]
fn retry_products_apart() {
    let mut retries = Retries::new(3);
    for _ in 0..30 {
        let _ = retries.retry(&name("failing"), 1);
    }
    assert!(retries.retry(&name("failing"), 1).is_none());
    assert!(retries.retry(&name("other"), 1).is_some());
}
