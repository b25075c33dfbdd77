//! When refused callers return, and that they then go before fresh ones.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiastream_core::poison::Fingerprint;
use sequoiastream_core::poison::suspects::RequestIdentity;
use sequoiastream_core::relay::rank::RankedRequest;
use sequoiastream_core::relay::rank::SlotUse;
use sequoiastream_core::relay::return_schedule::RefusedCaller;
use sequoiastream_core::relay::return_schedule::ReturnSchedule;
use sequoiastream_core::time::Time;

use super::rank::ranks;

fn id(number: u32) -> Fingerprint {
    RequestIdentity::new("POST", "/b/", &number.to_be_bytes(), b"").any
}

/// The bulk caller `number`, who complies with delays of up to 600 ms. Every other one draws 0.25.
fn caller(number: u32) -> RefusedCaller<'static> {
    RefusedCaller {
        service: "chat",
        priority: 2,
        id: id(number),
        max: Duration::from_millis(600),
        spread: f64::from(number % 2) / 4.0,
        fallback: Duration::from_millis(599),
    }
}

/// A schedule of a service that has accepted 20 bulk requests a second until the time that is returned.
fn busy_schedule() -> (ReturnSchedule, Time) {
    let mut schedule = ReturnSchedule::new();
    for turn in 0..1_000 {
        schedule.on_accepted(Time::from_millis(turn * 50), "chat", 2, id(1_000_000));
    }
    (schedule, Time::from_millis(50_000))
}

/// Guards against callers that were refused together and return together, and against delays beyond what they accept.
#[test]
fn return_one_after_the_other() {
    let (mut schedule, now) = busy_schedule();
    let delays: Vec<Duration> = (0..30).map(|n| schedule.tell(now, caller(n))).collect();
    let (placed, random): (Vec<Duration>, Vec<Duration>) =
        delays.iter().partition(|delay| **delay < caller(0).fallback);
    let gaps: Vec<Duration> = placed.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(placed.len() >= 9, "{delays:?}");
    assert!(placed[0] >= Duration::from_millis(100), "{delays:?}");
    assert!(
        gaps.iter().all(|gap| (45..60).contains(&gap.as_millis())),
        "{gaps:?}"
    );
    assert!(random.iter().all(|delay| *delay <= caller(0).max), "{random:?}");
    // The next second has places again, and the most urgent callers have places of their own.
    assert!(schedule.tell(now + Duration::from_secs(1), caller(99)) < caller(99).fallback);
    let urgent = RefusedCaller {
        priority: 0,
        ..caller(100)
    };
    schedule.on_accepted(now, "chat", 0, id(1_000_001));
    assert_eq!(schedule.tell(now, urgent), Duration::from_millis(100));
    let next = RefusedCaller {
        id: id(101),
        ..urgent
    };
    assert_eq!(
        schedule.tell(now, next),
        next.fallback,
        "at one request in seven seconds"
    );
}

/// Guards against a delay computed from nothing, and against instances that tell their first callers the same time.
#[test]
fn return_without_rate_and_between_instances() {
    let mut idle = ReturnSchedule::new();
    assert_eq!(idle.tell(Time::ZERO, caller(0)), caller(0).fallback);
    let first = [0, 1].map(|n| {
        let (mut schedule, now) = busy_schedule();
        schedule.tell(now, caller(n))
    });
    assert!(first[1] >= first[0] + Duration::from_millis(10), "{first:?}");
}

/// Guards against callers that profit from a retry at once: it counts as fresh, and takes no place from those who wait.
#[test]
fn return_only_when_told() {
    let (mut schedule, now) = busy_schedule();
    let (left, timeout) = (Duration::from_millis(1_950), Duration::from_secs(2));
    let delay = schedule.tell(now, caller(0));
    let early = now + Duration::from_millis(10);
    assert!(!schedule.is_return(early, id(0), left, timeout));
    assert!(!schedule.is_return(early, id(0), Duration::from_secs(1), timeout));
    assert!(schedule.is_return(now + delay, id(0), left, timeout));
    let next = schedule.clone().tell(early, caller(2));
    for _ in 0..3 {
        assert_eq!(schedule.tell(early, caller(0)), caller(0).fallback);
    }
    assert_eq!(schedule.tell(early, caller(2)), next);
    // Another instance recognizes the caller by the time that it has left.
    let other = ReturnSchedule::new();
    assert!(!other.is_return(early, id(0), left, timeout));
    assert!(other.is_return(early, id(0), Duration::from_millis(1_500), timeout));
    // Once accepted, the same request is a fresh one.
    schedule.on_accepted(now + delay, "chat", 2, id(0));
    assert!(!schedule.is_return(now + delay, id(0), left, timeout));
}

/// Guards against memory that grows with every refused caller, and with callers that retry at once.
#[test]
fn return_memory_bounded() {
    let (mut schedule, now) = busy_schedule();
    for number in 0..20_000 {
        schedule.tell(now, caller(number));
    }
    let due = now + caller(0).fallback;
    let known = (0..20_000).filter(|n| schedule.is_return(due, id(*n), Duration::MAX, Duration::MAX));
    assert_eq!(known.count(), 4_096);
    let forgotten = now + Duration::from_secs(11);
    assert!(!schedule.is_return(forgotten, id(19_999), Duration::MAX, Duration::MAX));
}

/// What became of the callers of one kind in [`run_callers`].
#[derive(Debug, Default, Clone, Copy)]
struct Served {
    callers: u32,
    at_first: u32,
    on_return: u32,
    /// Returns, whether served or not.
    returns: u32,
}

/// A request that is to arrive.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    number: u32,
    began: Time,
    tries: u32,
}

/// Bulk requests at 96 slots that hold them for 250 ms, for 20 s: 1.7 times as many as the part for them can serve.
/// Callers wait for up to 2 s and return when told, but every second one repeats `hasty` times at once instead. Returns
/// the results of those that comply. If `returns_first` is false, returns count as fresh.
fn run_callers(hasty: u32, returns_first: bool) -> Served {
    let (ranks, mut schedule) = (ranks(&[0, 2]), ReturnSchedule::new());
    let timeout = Duration::from_secs(2);
    let mut queue: BTreeMap<(Time, u32), Arrival> = BTreeMap::new();
    for number in 0..9_792 {
        let began = Time::from_micros(u64::from(number) * 2_042);
        let tries = 0;
        queue.insert((began, number), Arrival { number, began, tries });
    }
    let (mut running, mut served) = (Vec::new(), Served::default());
    while let Some(((now, _), arrival)) = queue.pop_first() {
        running.retain(|end| *end > now);
        let left = timeout.saturating_sub(now.since(arrival.began));
        let is_return = returns_first && schedule.is_return(now, id(arrival.number), left, timeout);
        let turn = RankedRequest {
            priority: 2,
            is_return,
        };
        let complies = arrival.number.is_multiple_of(2);
        let is_served = (running.len() as f64) < 96.0 * ranks.part(turn, SlotUse::Stream);
        if complies {
            served.callers += u32::from(arrival.tries == 0);
            served.returns += u32::from(arrival.tries > 0);
            served.at_first += u32::from(is_served && arrival.tries == 0);
            served.on_return += u32::from(is_served && arrival.tries > 0);
        }
        if is_served {
            running.push(now + Duration::from_millis(250));
            schedule.on_accepted(now, "chat", 2, id(arrival.number));
            continue;
        }
        let max = left.mul_f64(0.3).max(Duration::from_millis(100));
        let draw = f64::from(arrival.number.wrapping_mul(2_654_435_769) >> 16) / 65_536.0;
        let refused = RefusedCaller {
            max,
            spread: draw,
            fallback: max.mul_f64(0.3 + 0.7 * draw),
            ..caller(arrival.number)
        };
        let told = schedule.tell(now, refused);
        let delay = match complies {
            true => told,
            false if arrival.tries < hasty => Duration::from_millis(1),
            false => continue,
        };
        let tries = arrival.tries + 1;
        if now.since(arrival.began) + delay < timeout {
            queue.insert((now + delay, arrival.number), Arrival { tries, ..arrival });
        }
    }
    served
}

/// Guards against callers who return when told and lose their turn to fresh ones, in a burst of 1.7 times what fits;
/// also beside as many who repeat at once, three times as often.
#[test]
fn returns_before_fresh_beside_hasty_callers() {
    for hasty in [0, 3, 9] {
        let served = run_callers(hasty, true);
        let all = served.at_first + served.on_return;
        assert!(all * 100 > served.callers * 98, "{hasty}: {served:?}");
    }
    // The same load serves fewer of them if returns count as fresh.
    let alike = run_callers(9, false);
    assert!(
        (alike.at_first + alike.on_return) * 100 < alike.callers * 80,
        "{alike:?}"
    );
}
