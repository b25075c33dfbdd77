//! True time estimated from clocks that jump.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::relay::true_time::TrueTime;
use sequoiastream_core::time::Time;

use crate::claims::client::seeds_or;

/// True time at the origin of the monotonic clock, in microseconds.
const ORIGIN: u64 = 1_700_000_000_000_000;

/// Maximum difference between clocks that don't jump, in microseconds.
const MAX_SKEW: u64 = 10_000;

/// Maximum delay of a message, in microseconds.
const MAX_DELAY: u64 = 60_000;

fn micros(seconds: u64) -> u64 {
    u64::try_from(Duration::from_secs(seconds).as_micros()).expect("less than 2^64 microseconds")
}

#[test]
fn lead_of_nobody() {
    assert_eq!(TrueTime::default().offset(Time::from_millis(5)), None);
}

/// A third of the clocks jump by up to five seconds, all in the same direction, at any moment, and back. The error of
/// the true time never exceeds the difference between the other clocks plus the delay of the fastest message of the
/// last two seconds.
#[test]
fn lead_third_jumps() {
    for seed in seeds_or(0..32) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(4..120_u64);
        let clocks: Vec<u64> = (0..count)
            .map(|_| ORIGIN + rng.random_range(0..MAX_SKEW))
            .collect();
        let jump = micros(rng.random_range(1..=5));
        let is_ahead = rng.random_bool(0.5);
        let (from, to) = (micros(6), micros(6 + rng.random_range(1..9)));
        let mut true_time = TrueTime::default();
        for step in 0..200_u64 {
            let at = micros(1) + step * 100_000;
            for (index, clock) in clocks.iter().enumerate() {
                let jumps = (index as u64) * 3 < count && (from..to).contains(&at);
                let clock = match (jumps, is_ahead) {
                    (false, _) => *clock,
                    (true, true) => clock + jump,
                    (true, false) => clock - jump,
                };
                let sent = at - rng.random_range(0..MAX_DELAY);
                true_time.on_clock(Time::from_micros(at), &format!("i{index}"), clock + sent);
            }
            if step < 20 {
                continue;
            }
            let offset = true_time.offset(Time::from_micros(at)).expect("many clocks");
            assert!(
                (ORIGIN - MAX_DELAY / 4..=ORIGIN + MAX_SKEW).contains(&offset),
                "seed {seed}, step {step}: off by {}",
                offset as i64 - ORIGIN as i64
            );
        }
    }
}
