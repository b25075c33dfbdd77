//! The shared retry budget.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;
use sequoiastream_core::relay::budget::BudgetLimits;
use sequoiastream_core::relay::budget::RetryBudget;
use sequoiastream_core::time::Time;

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 56.0,
};

/// Guards against retries that overload the engines: all engines fail, and every instance wants to retry each of its
/// requests, in bursts. A separate budget for each instance, or one that is reset at each window, would allow too many.
#[test]
fn take_sum_of_instances() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut instances = vec![RetryBudget::new(LIMITS); 8];
        let (mut requests, mut extras) = (Vec::new(), Vec::new());
        let mut now = Time::ZERO;
        for _ in 0..30_000 {
            let pause = if random.next_u32().is_multiple_of(500) {
                2_000_000
            } else {
                3_000
            };
            now = now + Duration::from_micros(u64::from(random.next_u32()) % pause);
            let budget = &mut instances[random.next_u32() as usize % 8];
            budget.on_request(now, "s");
            requests.push(now);
            if budget.try_take(now, "s", 8) {
                extras.push(now);
            }
        }
        assert!(!extras.is_empty());
        for end in &extras {
            let from = *end - LIMITS.window;
            let within =
                |times: &[Time]| times.partition_point(|t| t <= end) - times.partition_point(|t| *t < from);
            let bound = LIMITS.ratio * within(&requests) as f64 + LIMITS.slack;
            assert!(within(&extras) as f64 <= bound, "seed {seed}, {end}");
        }
    }
}

#[test]
fn take_by_service() {
    let mut budget = RetryBudget::new(LIMITS);
    while budget.try_take(Time::ZERO, "a", 1) {}
    assert!(budget.try_take(Time::ZERO, "b", 1));
}

#[test]
fn take_again_after_window() {
    let mut budget = RetryBudget::new(LIMITS);
    while budget.try_take(Time::ZERO, "a", 1) {}
    assert!(!budget.try_take(Time::ZERO + LIMITS.window, "a", 1));
    assert!(budget.try_take(Time::ZERO + LIMITS.window + Duration::from_millis(1), "a", 1));
}
