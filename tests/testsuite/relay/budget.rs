//! The shared retry budget.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;
use sequoiastream_core::relay::budget::BudgetLimits;
use sequoiastream_core::relay::budget::RetryBudget;
use sequoiastream_core::time::Time;

use crate::claims::client::seeds_or;

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 56.0,
};

/// The budget of one of `instances` instances that have been running for long.
fn budget_of(instances: usize) -> RetryBudget {
    let mut budget = RetryBudget::new(LIMITS);
    budget.on_fleet_size(Time::ZERO, instances);
    budget
}

/// Panics if the extra attempts in some window are more than the limits allow for the requests in it.
fn check_sum(seed: u64, requests: &[Time], extras: &[Time]) {
    assert!(!extras.is_empty());
    for end in extras {
        let from = *end - LIMITS.window;
        let within =
            |times: &[Time]| times.partition_point(|t| t <= end) - times.partition_point(|t| *t < from);
        let bound = LIMITS.ratio * within(requests) as f64 + LIMITS.slack;
        assert!(within(extras) as f64 <= bound, "seed {seed}, {end}");
    }
}

/// Guards against retries that overload the engines: all engines fail, and every instance wants to retry each of its
/// requests, in bursts. A separate budget for each instance, or one that is reset at each window, would allow too many.
#[test]
fn take_sum_of_instances() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut instances = vec![budget_of(8); 8];
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
            if budget.try_take(now, "s") {
                extras.push(now);
            }
        }
        check_sum(seed, &requests, &extras);
    }
}

/// Guards against shares of the allowance that are used twice in a window: all engines fail, and processes are killed and
/// started again all the time, one after the other or all at once.
#[test]
fn take_sum_with_restarts() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut instances = vec![budget_of(8); 8];
        let (mut requests, mut extras) = (Vec::new(), Vec::new());
        let mut now = Time::ZERO + LIMITS.window;
        for _ in 0..20_000 {
            now = now + Duration::from_micros(u64::from(random.next_u32()) % 60_000);
            let restarted = match random.next_u32() % 400 {
                0 => 0..8,
                1..8 => {
                    let index = random.next_u32() as usize % 8;
                    index..index + 1
                }
                _ => 0..0,
            };
            for budget in &mut instances[restarted] {
                *budget = RetryBudget::new(LIMITS);
                budget.on_start(now);
                budget.on_fleet_size(now, 8);
            }
            let budget = &mut instances[random.next_u32() as usize % 8];
            budget.on_request(now, "s");
            requests.push(now);
            if budget.try_take(now, "s") {
                extras.push(now);
            }
        }
        check_sum(seed, &requests, &extras);
    }
}

/// Guards against a budget that is used twice in a window: all instances have used what they may when they are killed at
/// the same moment, once or several times in a row, and those that start again know nothing of it.
#[test]
fn take_sum_after_kills_of_all() {
    for seed in seeds_or(0..50) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut instances = vec![budget_of(8); 8];
        let mut requests = Vec::new();
        let mut extras = Vec::new();
        let rate = 20 + random.next_u32() % 400;
        let kill = Time::ZERO + LIMITS.window * 2;
        let gap = Duration::from_millis(500 + u64::from(random.next_u32() % 9_000));
        let kills = (0..1 + random.next_u32() % 3).map(|number| kill + gap * number);
        let mut kills: Vec<Time> = kills.rev().collect();
        // Engines begin to fail shortly before the first kill, so that nothing was taken until then.
        let failure = kill - Duration::from_millis(200);
        let mut now = Time::ZERO;
        while now < kill + gap * 3 + LIMITS.window * 2 {
            now = now + Duration::from_secs(1) / rate;
            if kills.pop_if(|at| *at <= now).is_some() {
                for budget in &mut instances {
                    *budget = RetryBudget::new(LIMITS);
                    budget.on_start(now);
                    budget.on_fleet_size(now, 8);
                }
            }
            let budget = &mut instances[random.next_u32() as usize % 8];
            budget.on_request(now, "s");
            requests.push(now);
            while now >= failure && budget.try_take(now, "s") {
                extras.push(now);
            }
        }
        check_sum(seed, &requests, &extras);
    }
}

/// Guards against an instance that never retries again because it was started once.
#[test]
fn take_all_a_window_after_start() {
    let mut budget = RetryBudget::new(LIMITS);
    budget.on_start(Time::ZERO);
    let mut old = RetryBudget::new(LIMITS);
    let now = Time::ZERO + LIMITS.window + Duration::from_millis(1);
    for budget in [&mut budget, &mut old] {
        (0..100).for_each(|_| budget.on_request(now, "s"));
    }
    assert_eq!(budget.allowed(now, "s"), old.allowed(now, "s"));
}

/// Guards against larger shares for those that remain while instances stop one after the other: what the others have
/// used still counts.
#[test]
fn take_sum_while_others_stop() {
    let mut instances = vec![budget_of(8); 8];
    let mut extras = Vec::new();
    for second in 0..8 {
        let now = Time::ZERO + LIMITS.window + Duration::from_secs(second);
        for budget in &mut instances {
            budget.on_fleet_size(now, 8 - second as usize);
            while budget.try_take(now, "s") {
                extras.push(now);
            }
        }
        instances.pop();
    }
    check_sum(0, &[], &extras);
}

/// Guards against a fleet that stays with small shares after it has become smaller.
#[test]
fn take_more_after_others_stopped() {
    let mut budget = budget_of(8);
    let stopped = Time::ZERO + Duration::from_secs(60);
    budget.on_fleet_size(stopped, 2);
    let before = budget.remaining(stopped + LIMITS.window, "s");
    let after = budget.remaining(stopped + LIMITS.window + Duration::from_millis(1), "s");
    assert_eq!((before, after), (0.5 * 56.0 / 8.0, 0.5 * 56.0 / 2.0));
}

#[test]
fn take_by_service() {
    let mut budget = RetryBudget::new(LIMITS);
    while budget.try_take(Time::ZERO, "a") {}
    assert!(budget.try_take(Time::ZERO, "b"));
}

#[test]
fn take_again_after_window() {
    let mut budget = RetryBudget::new(LIMITS);
    while budget.try_take(Time::ZERO, "a") {}
    assert!(!budget.try_take(Time::ZERO + LIMITS.window, "a"));
    assert!(budget.try_take(Time::ZERO + LIMITS.window + Duration::from_millis(1), "a"));
}
