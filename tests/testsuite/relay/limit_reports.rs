//! Which report of an engine's request limit applies, and how long reports are kept.

use sequoiastream_core::relay::engines::Engine;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::relay::engines::Stage;
use sequoiastream_core::relay::limit_report::LimitReport;
use sequoiastream_core::relay::limit_report::RequestRate;
use sequoiastream_core::relay::rate_limits::LimitChange;
use sequoiastream_core::relay::rate_limits::RateLimits;
use sequoiastream_core::time::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn rate(limit: f64) -> Option<RequestRate> {
    RequestRate::per_second(limit)
}

/// A report received `received` ms after the start, of a request sent 20 ms earlier.
fn report(limit: Option<RequestRate>, received: u64) -> LimitReport {
    LimitReport {
        limit,
        sent: at(received - 20),
        received: at(received),
    }
}

/// An engine that started at `started`.
fn engine(started: u64) -> Engine {
    let mut entry = super::entry("e0", Stage::Decode);
    entry.started = Some(started);
    Engine::new(EngineKey(0), entry)
}

#[test]
fn limit_begins_changes_ends() {
    let mut limits = RateLimits::new();
    let change = |before, after: Option<RequestRate>| {
        let share = after.map_or(0.0, RequestRate::as_f64);
        Some(LimitChange { before, after, share })
    };
    let seen = [
        (None, 100, None),
        (rate(26.5), 200, change(None, rate(26.5))),
        (rate(26.5), 300, None),
        (rate(12.0), 400, change(rate(26.5), rate(12.0))),
        (rate(30.0), 500, change(rate(12.0), rate(30.0))),
        (None, 600, change(rate(30.0), None)),
        (None, 700, None),
        (rate(5.0), 800, change(None, rate(5.0))),
    ];
    for (limit, received, expected) in seen {
        assert_eq!(
            limits.on_answer(&engine(1), report(limit, received)),
            expected,
            "at {received} ms"
        );
        assert_eq!(limits.limit(engine(1).incarnation()), limit, "at {received} ms");
        assert_eq!(limits.count(), usize::from(limit.is_some()), "at {received} ms");
    }
}

/// Guards against a limit that is lifted by an answer that the engine gave before it set the limit, and that arrives
/// later.
#[test]
fn limit_kept_if_order_uncertain() {
    let mut limits = RateLimits::new();
    limits.on_answer(&engine(1), report(rate(20.0), 200));
    for limit in [None, rate(30.0)] {
        assert_eq!(limits.on_answer(&engine(1), report(limit, 210)), None);
    }
    let stricter = limits.on_answer(&engine(1), report(rate(10.0), 210));
    assert_eq!(stricter.map(|c| c.after), Some(rate(10.0)));
    limits.on_answer(&engine(1), report(rate(10.0), 300));
    assert_eq!(
        limits.on_answer(&engine(1), report(None, 310)),
        None,
        "not later than the confirmation"
    );
    assert_eq!(
        limits.on_answer(&engine(1), report(None, 320)).map(|c| c.after),
        Some(None)
    );
}

/// Guards against a limit that is restored by a report from before its end.
#[test]
fn limit_not_restored_by_earlier_report() {
    let mut limits = RateLimits::new();
    limits.on_answer(&engine(1), report(rate(20.0), 200));
    limits.on_answer(&engine(1), report(None, 300));
    assert_eq!(limits.on_answer(&engine(1), report(rate(20.0), 280)), None);
    let later = limits.on_answer(&engine(1), report(rate(20.0), 290));
    assert_eq!(later.map(|c| c.after), Some(rate(20.0)), "the order is uncertain");
}

/// Guards against requests beyond the limit of an engine whose entry expired and was created again, and against a limit
/// that applies to the next engine with its id.
#[test]
fn limit_of_incarnation() {
    let mut limits = RateLimits::new();
    limits.on_answer(&engine(1), report(rate(20.0), 200));
    assert_eq!(limits.limit(engine(2).incarnation()), None);
    for (second, known, limit) in [
        (0, true, rate(20.0)),
        (900, false, rate(20.0)),
        (1_499, true, rate(20.0)),
        (1_500, false, rate(20.0)),
        (2_099, false, rate(20.0)),
        (2_100, false, None),
    ] {
        limits.retain(at(second * 1_000), |_| known);
        assert_eq!(limits.limit(engine(1).incarnation()), limit, "at {second} s");
    }
}

#[test]
fn rate_values() {
    let rates = [26.5, 0.0, 0.000_4, 0.1, 1e300].map(|r| rate(r).map(RequestRate::as_f64));
    assert_eq!(rates, [26.5, 0.0, 0.0, 0.1, 4_294_967.295].map(Some));
    assert_eq!([-0.5, f64::NAN, f64::INFINITY].map(rate), [None; 3]);
}
