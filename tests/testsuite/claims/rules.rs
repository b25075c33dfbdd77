//! Table-driven tests of the rules for claims.

use std::time::Duration;

use sequoiastream_core::claims::BUCKET_TTL;
use sequoiastream_core::claims::Candidate;
use sequoiastream_core::claims::ClockWatch;
use sequoiastream_core::claims::Clocks;
use sequoiastream_core::claims::IdempotencyKey;
use sequoiastream_core::claims::KeyAgeCheck;
use sequoiastream_core::claims::KeyError;
use sequoiastream_core::claims::MAX_DEADLINE;
use sequoiastream_core::claims::MAX_FUTURE;
use sequoiastream_core::claims::MAX_SKEW;
use sequoiastream_core::claims::Owners;
use sequoiastream_core::claims::RETENTION;
use sequoiastream_core::claims::repeat_of;
use sequoiastream_core::config::Repeat;
use sequoiastream_core::config::Route;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;
use sequoiastream_core::time::WallTime;
use uuid::Uuid;

/// Wall clock at time 0, in milliseconds since the Unix epoch.
const WALL: u64 = 1_764_700_000_000;

fn clocks(seconds: i64, step: i64) -> Clocks {
    Clocks {
        time: Time::from_millis((100_000 + seconds * 1_000) as u64),
        wall: WallTime((WALL as i64 + (seconds + step) * 1_000) as u64),
    }
}

fn key_at(seconds: i64) -> IdempotencyKey {
    let seconds = (WALL as i64 / 1_000 + seconds) as u64;
    let time = uuid::Timestamp::from_unix(uuid::NoContext, seconds, 0);
    Uuid::new_v7(time).to_string().parse().expect("a UUIDv7")
}

#[test]
fn check_window_table() {
    let clock = KeyAgeCheck::new(clocks(0, 0));
    let retention = RETENTION.as_secs() as i64;
    let cases = [
        ("now", key_at(0), clocks(0, 0), Ok(())),
        ("last second", key_at(0), clocks(retention, 0), Ok(())),
        ("too old", key_at(0), clocks(retention + 1, 0), Err(KeyError::Old)),
        ("a little ahead", key_at(60), clocks(0, 0), Ok(())),
        ("too far ahead", key_at(62), clocks(0, 0), Err(KeyError::Future)),
        (
            "clock stepped back",
            key_at(0),
            clocks(retention + 1, -retention),
            Err(KeyError::ClockStepped),
        ),
        (
            "clock stepped ahead",
            key_at(0),
            clocks(10, retention),
            Err(KeyError::ClockStepped),
        ),
        ("small step", key_at(0), clocks(10, 100), Ok(())),
    ];
    for (case, key, now, expected) in cases {
        assert_eq!(clock.check(&key, now), expected, "{case}");
    }
}

/// A client repeats an order an hour later through an instance whose clock is slow. If the claim were deleted by then,
/// the order would run twice. Cause: a bucket is deleted while a key that belongs to it is still accepted.
#[test]
fn keep_outlasts_window() {
    let slot = Duration::from_secs(10);
    // The bucket is created as early, and requested as late, as the largest tolerated clock error permits: each clock
    // may be off by MAX_SKEW at its start, and later step by the same amount.
    let max_error = MAX_SKEW * 2;
    let needed = MAX_FUTURE + max_error + slot + RETENTION + max_error + MAX_DEADLINE;
    assert!(
        needed < BUCKET_TTL,
        "buckets must be kept for {needed:?}, but BUCKET_TTL is {BUCKET_TTL:?}"
    );
}

#[test]
fn repeat_of_table() {
    let route = |method: &str, path: &str, repeat| Route {
        method: method.to_string(),
        path: path.to_string(),
        repeat,
    };
    let routes = [
        route("POST", "/orders", Repeat::Never),
        route("POST", "/orders/quote", Repeat::Safe),
        route("POST", "/bookings", Repeat::Dedupes),
        route("GET", "/", Repeat::Safe),
    ];
    let cases = [
        ("POST", "/orders", Repeat::Never),
        ("POST", "/orders/7?x=/quote", Repeat::Never),
        ("POST", "/orders/quote?x=1", Repeat::Safe),
        ("POST", "/orders/quotes", Repeat::Never),
        ("POST", "/orders/quote/../7", Repeat::Never),
        ("POST", "/orders/quote//", Repeat::Never),
        ("POST", "/orders/%71uote", Repeat::Never),
        ("POST", "/bookings", Repeat::Dedupes),
        ("POST", "/nowhere", Repeat::Never),
        ("GET", "/lookup?a=b", Repeat::Safe),
        ("GET", "/../orders", Repeat::Never),
        ("DELETE", "/orders", Repeat::Never),
    ];
    for (method, path, expected) in cases {
        assert_eq!(repeat_of(&routes, method, path), expected, "{method} {path}");
    }
}

fn instances(count: usize) -> Vec<Name> {
    let name = |index| Name::new(&format!("i{index}")).expect("a name");
    (0..count).map(name).collect()
}

fn heard(names: &[Name]) -> impl Iterator<Item = Candidate<'_>> {
    names.iter().map(|name| Candidate { name, heard: true })
}

#[test]
fn owners_leave_only_their_shards() {
    let owners = Owners::default();
    let (all, remaining) = (instances(8), instances(7));
    let now = Time::from_millis(1);
    for shard in 0..512 {
        let before = owners.ranked(heard(&all), shard, now);
        let after = owners.ranked(heard(&remaining), shard, now);
        let kept: Vec<_> = before.iter().filter(|n| **n != all[7]).cloned().collect();
        assert_eq!(kept, after, "shard {shard}");
    }
}

#[test]
fn owners_suspect_comes_last() {
    let mut owners = Owners::default();
    let names = instances(3);
    let now = Time::from_millis(1);
    let order = owners.ranked(heard(&names), 5, now);
    let suspect_last = vec![order[1].clone(), order[2].clone(), order[0].clone()];
    let unheard = names.iter().map(|name| Candidate {
        name,
        heard: *name != order[0],
    });
    assert_eq!(owners.ranked(unheard, 5, now), suspect_last);
    owners.suspect(&order[0], now);
    assert_eq!(owners.ranked(heard(&names), 5, now), suspect_last);
    let later = now + Duration::from_secs(3);
    assert_eq!(owners.ranked(heard(&names), 5, later), order);
}

/// A clock that is wrong from the start runs as steadily as a correct one; only a comparison with peers reveals it.
#[test]
fn trust_clocks_table() {
    let names = instances(3);
    let (right, wrong) = (WallTime(WALL), WallTime(WALL - 3 * 3_600_000));
    let cases = [
        ("alone", vec![], true),
        ("two that agree", vec![right], true),
        ("two that disagree", vec![wrong], false),
        ("one of the others is wrong", vec![right, wrong], true),
        ("this one is wrong", vec![wrong, wrong], false),
        ("two of three others are wrong", vec![right, wrong, wrong], false),
    ];
    for (case, times, expected) in cases {
        let mut watch = ClockWatch::default();
        for (name, time) in names.iter().zip(times) {
            watch.on_time(name, right, time);
        }
        assert_eq!(watch.is_trusted(), expected, "{case}");
    }
}

#[test]
fn next_clock_unasked_first() {
    let names = instances(3);
    let mut watch = ClockWatch::default();
    assert_eq!(watch.next(&[], None), None);
    watch.on_time(&names[0], WallTime(WALL), WallTime(WALL));
    assert_eq!(watch.next(&names, Some(&names[0])), Some(&names[1]));
    watch.on_time(&names[1], WallTime(WALL), WallTime(WALL));
    watch.on_time(&names[2], WallTime(WALL), WallTime(WALL));
    assert_eq!(watch.next(&names, Some(&names[1])), Some(&names[2]));
    assert_eq!(watch.next(&names, Some(&names[2])), Some(&names[0]));
}
