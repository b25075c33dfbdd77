use sequoiastream_core::retry::RetryBudgets;

use super::name;

// Guards against retries that each request decides on alone. After an outage, every failed request would be sent up
// to three times in addition to the new ones, and the recovering engines would be overloaded and fail again.
#[test]
fn retry_outage_end() {
    const FRESH: u32 = 1_000;
    let mut retries = RetryBudgets::new(3);
    let product = name("assistente");
    for round in 0..3 {
        let mut sent = 0;
        for _ in 0..FRESH {
            retries.record_request(&product);
            sent += 1;
            let mut attempt = 1;
            while retries.take_retry(&product, attempt).is_some() {
                sent += 1;
                attempt += 1;
            }
        }
        // The budget starts with ten retries; after that it grows only by its share of requests.
        let start = if round == 0 { 10 } else { 0 };
        assert!(
            sent <= FRESH * 12 / 10 + start,
            "{sent} sent for {FRESH} fresh ones"
        );
        assert!(sent > FRESH * 11 / 10, "{sent}: the budget is usable");
    }
}

#[test]
fn retry_products_apart() {
    let mut retries = RetryBudgets::new(3);
    for _ in 0..30 {
        let _ = retries.take_retry(&name("failing"), 1);
    }
    assert!(retries.take_retry(&name("failing"), 1).is_none());
    assert!(retries.take_retry(&name("other"), 1).is_some());
}
