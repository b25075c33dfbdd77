//! Which connections of callers are evicted when memory or descriptors run short.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;
use sequoiastream_core::relay::connections::ConnectionKey;
use sequoiastream_core::relay::connections::ConnectionLimits;
use sequoiastream_core::relay::connections::ConnectionTable;
use sequoiastream_core::relay::connections::Eviction;
use sequoiastream_core::time::Time;

const LIMITS: ConnectionLimits = ConnectionLimits {
    memory: 1_000,
    connections: 10,
};

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(seconds)
}

fn receiving(table: &mut ConnectionTable, now: Time) -> ConnectionKey {
    let (key, _) = table.on_accept(now);
    table.on_body(now, key);
    key
}

/// Guards against a body of legal size that is refused although nobody else holds anything.
#[test]
fn alone_may_exceed() {
    let mut table = ConnectionTable::new(LIMITS);
    let key = receiving(&mut table, at(0));
    assert_eq!(table.reserve(at(0), key, 3_000), []);
    assert_eq!(table.reserve(at(5), key, 3_000), []);
}

/// Guards against a caller that makes progress and goes for one that has stalled or trickles.
#[test]
fn slowest_goes() {
    let mut table = ConnectionTable::new(LIMITS);
    let [stalled, trickling, fast] = [0, 0, 3].map(|second| receiving(&mut table, at(second)));
    table.reserve(at(0), stalled, 400);
    table.on_moved(stalled, 400);
    table.reserve(at(0), trickling, 400);
    table.on_moved(trickling, 450);
    table.reserve(at(3), fast, 100);
    table.on_moved(fast, 100_000);
    assert_eq!(table.reserve(at(4), fast, 200), [Eviction::Refuse(stalled)]);
}

/// Guards against a request that an engine may have begun and that goes for a body.
#[test]
fn handled_never_goes() {
    let mut table = ConnectionTable::new(LIMITS);
    let handled = receiving(&mut table, at(0));
    table.reserve(at(0), handled, 900);
    table.on_handle(at(1), handled);
    let newest = receiving(&mut table, at(9));
    assert_eq!(table.reserve(at(9), newest, 200), [Eviction::Refuse(newest)]);
    table.release(handled, 900);
    let next = receiving(&mut table, at(9));
    assert_eq!(table.reserve(at(9), next, 500), []);
}

/// Guards against an answer that is there and goes for a body that has just begun.
#[test]
fn answer_before_new_body() {
    let mut table = ConnectionTable::new(LIMITS);
    let body = receiving(&mut table, at(0));
    table.reserve(at(0), body, 900);
    let (answered, _) = table.on_accept(at(0));
    table.on_answer(at(0), answered);
    assert_eq!(table.reserve(at(0), answered, 300), [Eviction::Refuse(body)]);
}

/// Guards against connections in use that go for new ones while others carry nothing.
#[test]
fn idle_goes_for_new() {
    let mut table = ConnectionTable::new(LIMITS);
    let busy = receiving(&mut table, at(0));
    table.on_handle(at(0), busy);
    let idle: Vec<ConnectionKey> = (1..10).map(|second| table.on_accept(at(second)).0).collect();
    let (_, evicted) = table.on_accept(at(20));
    assert_eq!(evicted, Some(Eviction::Close(idle[0])));
    table.on_body(at(21), idle[1]);
    table.on_answered(at(22), idle[1]);
    let (_, evicted) = table.on_accept(at(23));
    assert_eq!(evicted, Some(Eviction::Close(idle[2])));
}

/// Of any events: once those that were told to go have gone, memory and connections are within their limits, unless one
/// connection takes all memory alone or requests are handled; and no handled request was told to go.
#[test]
fn limits_hold_seeded() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut table = ConnectionTable::new(LIMITS);
        // Key, bytes held, whether its request is handled.
        let mut open: Vec<(ConnectionKey, usize, bool)> = Vec::new();
        for step in 0..400_u64 {
            let now = Time::ZERO + Duration::from_millis(step * 300);
            let index = random.next_u32() as usize % open.len().max(1);
            let evicted = match (random.next_u32() % 6, open.get_mut(index)) {
                (0 | 1, _) | (_, None) => {
                    let (key, evicted) = table.on_accept(now);
                    open.push((key, 0, false));
                    evicted.into_iter().collect()
                }
                (2, Some((key, _, is_handled))) if !*is_handled => {
                    table.on_body(now, *key);
                    Vec::new()
                }
                (3 | 4, Some((key, held, is_handled))) if !*is_handled => {
                    let bytes = random.next_u32() as usize % 400;
                    table.on_body(now, *key);
                    table.on_moved(*key, bytes);
                    *held += bytes;
                    table.reserve(now, *key, bytes)
                }
                (5, Some((key, held, is_handled))) => {
                    *is_handled = !*is_handled;
                    match *is_handled {
                        true => table.on_handle(now, *key),
                        false => {
                            table.release(*key, std::mem::take(held));
                            table.on_answered(now, *key);
                        }
                    }
                    Vec::new()
                }
                _ => Vec::new(),
            };
            for eviction in evicted {
                let (Eviction::Refuse(key) | Eviction::Close(key)) = eviction;
                let position = open.iter().position(|(other, ..)| *other == key);
                let (_, held, is_handled) = open.remove(position.expect("it is open"));
                assert!(!is_handled, "seed {seed}, step {step}");
                table.release(key, held);
                table.on_close(key);
            }
            let handled = open.iter().filter(|(.., is_handled)| *is_handled).count();
            assert!(
                open.len() <= LIMITS.connections.max(handled + 1),
                "seed {seed}, step {step}"
            );
            let held: usize = open.iter().map(|(_, held, _)| held).sum();
            assert_eq!(table.reserved(), held, "seed {seed}, step {step}");
            let holders = open
                .iter()
                .filter(|(_, held, is_handled)| *held > 0 && !is_handled);
            assert!(
                held <= LIMITS.memory || holders.count() <= 1,
                "seed {seed}, step {step}"
            );
        }
    }
}
