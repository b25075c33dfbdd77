//! The contract between the key-value client and the platform.

use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

use futures_util::future::join;
use futures_util::future::join_all;
use sequoiastream_core::name::Name;
use sequoiastream_kv::CallKind;
use sequoiastream_kv::CallMeter;
use sequoiastream_kv::Entry;
use sequoiastream_kv::Expect;
use sequoiastream_kv::KvClient;
use sequoiastream_kv::KvError;
use sequoiastream_kv::KvVersion;
use sequoiastream_kv::Swap;
use sequoiastream_standin::platform::Fault;
use sequoiastream_testsupport::fleet::Fleet;
use sequoiastream_testsupport::http;
use uuid::Uuid;

use crate::support::fleet;

/// Deadline of the clients' calls.
const DEADLINE: Duration = Duration::from_millis(600);

/// Expected outcome of a swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Done,
    Conflict,
    Refused,
    Lapsed,
    Unresolved,
}

/// Starts a platform without daemons or upstreams.
async fn platform() -> Fleet {
    fleet().daemons(0).engines(0).start().await
}

async fn fault(fleet: &Fleet, fault: Fault) {
    fleet.platform_fault(&fault).await;
}

fn lose_answers(lose: u32) -> Fault {
    Fault {
        lose,
        ..Fault::default()
    }
}

fn slow(delay: u64) -> Fault {
    Fault {
        delay,
        ..Fault::default()
    }
}

fn outage() -> Fault {
    Fault {
        outage: true,
        ..Fault::default()
    }
}

fn outcome(result: &Result<Swap, KvError>) -> Outcome {
    match result {
        Ok(Swap::Done(_)) => Outcome::Done,
        Ok(Swap::Conflict(_)) => Outcome::Conflict,
        Err(KvError::Refused(503)) => Outcome::Refused,
        Err(KvError::LeaseLapsed) => Outcome::Lapsed,
        Err(KvError::Unresolved) => Outcome::Unresolved,
        Err(error) => panic!("{error:?}"),
    }
}

/// For each fault: the outcome of a swap under it, and whether the swap's value is stored afterwards.
#[actix_web::test]
async fn swap_table() {
    let cases = [
        ("none", Fault::default(), Outcome::Done, true),
        ("outage", outage(), Outcome::Refused, false),
        ("slow", slow(50), Outcome::Done, true),
        ("too slow", slow(1_800), Outcome::Unresolved, true),
        ("an answer lost", lose_answers(1), Outcome::Done, true),
        ("two answers lost", lose_answers(2), Outcome::Done, true),
        ("all answers lost", lose_answers(9), Outcome::Unresolved, true),
    ];
    let fleet = platform().await;
    let kv = client(&fleet.platform.url());
    for (name, given, expected, stands) in cases {
        let key = format!("table/{}", name.replace(' ', "-"));
        fault(&fleet, given).await;
        let result = kv.swap(&key, Expect::Absent, b"mine", None).await;
        assert_eq!(outcome(&result), expected, "{name}");
        fault(&fleet, Fault::default()).await;
        if stands {
            http::until("the value stands", || async {
                let entry = kv.get(&key).await.expect("an answer");
                (entry.value.as_deref() == Some(b"mine")).then_some(())
            })
            .await;
        } else {
            let entry = kv.get(&key).await.expect("an answer");
            assert_eq!((entry.version, entry.value), (KvVersion(0), None), "{name}");
        }
    }
}

/// The outcome of a swap for each prior state of the key.
#[actix_web::test]
async fn swap_against_table() {
    let fleet = platform().await;
    let kv = client(&fleet.platform.url());
    let lapsed = kv.grant(Duration::from_millis(1)).await.expect("granted");
    http::until("the lease lapses", || async {
        (kv.renew(lapsed).await == Err(KvError::LeaseLapsed)).then_some(())
    })
    .await;
    let first = kv.swap("key", Expect::Absent, b"first", None).await;
    let Ok(Swap::Done(version)) = first else {
        panic!("{first:?}")
    };
    let cases = [
        ("present", Expect::Absent, None, Outcome::Conflict),
        (
            "other version",
            Expect::Version(KvVersion(version.0 + 1)),
            None,
            Outcome::Conflict,
        ),
        (
            "lapsed lease",
            Expect::Version(version),
            Some(lapsed),
            Outcome::Lapsed,
        ),
        ("same version", Expect::Version(version), None, Outcome::Done),
        ("old version", Expect::Version(version), None, Outcome::Conflict),
    ];
    for (name, expect, lease, expected) in cases {
        let result = kv.swap("key", expect, b"next", lease).await;
        assert_eq!(outcome(&result), expected, "{name}");
        if let Ok(Swap::Conflict(Entry { value, .. })) = result {
            assert!(value.is_some(), "{name}: a conflict shows what stands");
        }
    }
    let absent = kv.get("never").await.expect("an answer");
    assert_eq!((absent.version, absent.value), (KvVersion(0), None));
    let unchanged = kv.watch("never", KvVersion(0), Duration::from_millis(20)).await;
    assert_eq!(unchanged, Ok(None));
}

/// The outcome of lease calls under each fault. A lost answer is never reported as success.
#[actix_web::test]
async fn lease_table() {
    let cases = [
        ("none", Fault::default(), Ok(())),
        ("outage", outage(), Err(KvError::Refused(503))),
        ("too slow", slow(1_800), Err(KvError::Timeout(DEADLINE))),
        ("answer lost", lose_answers(1), Err(KvError::Timeout(DEADLINE))),
    ];
    let fleet = platform().await;
    let kv = client(&fleet.platform.url());
    for (name, given, expected) in cases {
        let lease = kv.grant(Duration::from_secs(60)).await.expect("granted");
        fault(&fleet, given.clone()).await;
        assert_eq!(kv.renew(lease).await, expected, "renew: {name}");
        fault(&fleet, given).await;
        let granted = kv.grant(Duration::from_secs(60)).await;
        assert_eq!(granted.map(|_| ()), expected, "grant: {name}");
        fault(&fleet, Fault::default()).await;
        assert_eq!(kv.renew(lease).await, Ok(()), "the lease stands: {name}");
        kv.release(lease).await.expect("released");
        assert_eq!(kv.renew(lease).await, Err(KvError::LeaseLapsed));
    }
}

/// A writer's answer is lost, and before it retries, another writer reads its value and overwrites it. The first must
/// not be told that it lost the race, since its value was stored and acted on, nor that its value is stored.
#[actix_web::test]
async fn swap_overwritten_after_lost_answer() {
    let fleet = platform().await;
    // The first writer's delay is long enough for the second to write in between.
    let a = client_with_deadline(&fleet.platform.url(), Duration::from_secs(2));
    let b = client(&fleet.platform.url());
    fault(&fleet, lose_answers(1)).await;
    let second = async {
        let seen = http::until("the first value stands", || async {
            let entry = b.get("key").await.expect("an answer");
            entry.value.is_some().then_some(entry.version)
        })
        .await;
        b.swap("key", Expect::Version(seen), b"second", None).await
    };
    let (first, second) = join(a.swap("key", Expect::Absent, b"first", None), second).await;
    assert_eq!(outcome(&second), Outcome::Done);
    assert_eq!(first, Err(KvError::Unresolved));
}

/// Eight writers increment one key while answers are lost. The final count is the number of swaps that took effect:
/// at least those reported as done, and at most those plus the unresolved ones.
#[actix_web::test]
async fn swap_concurrent_writers() {
    const WRITERS: usize = 8;
    const SWAPS: usize = 12;
    let fleet = platform().await;
    fault(&fleet, lose_answers(6)).await;
    let writers = (0..WRITERS).map(|_| async {
        let kv = client(&fleet.platform.url());
        let (mut done, mut unresolved) = (0_u64, 0_u64);
        for _ in 0..SWAPS {
            let entry = kv.get("count").await.expect("an answer");
            let count = entry.value.as_deref().map_or(0, |v| v[0]) + 1;
            match kv
                .swap("count", Expect::from(entry.version), &[count], None)
                .await
            {
                Ok(Swap::Done(_)) => done += 1,
                Ok(Swap::Conflict(_)) => {}
                Err(KvError::Unresolved) => unresolved += 1,
                Err(error) => panic!("{error:?}"),
            }
        }
        (done, unresolved)
    });
    let ends = join_all(writers).await;
    let done: u64 = ends.iter().map(|(done, _)| done).sum();
    let unresolved: u64 = ends.iter().map(|(_, unresolved)| unresolved).sum();
    let entry = client(&fleet.platform.url())
        .get("count")
        .await
        .expect("an answer");
    let count = u64::from(entry.value.expect("a value")[0]);
    assert!(
        (done..=done + unresolved).contains(&count),
        "{count}, {done} done, {unresolved} unresolved"
    );
}

/// Guards against an instance that calls too often and starves all others of the service. Beyond its budget, a call
/// waits for its turn, or is not made at all if the wait would be too long.
#[test]
fn meter_budget_spent() {
    let meter = CallMeter::new(10);
    for _ in 0..20 {
        assert_eq!(meter.take(CallKind::Read, Duration::ZERO), Ok(Duration::ZERO));
    }
    assert_eq!(
        meter.take(CallKind::Write, Duration::from_millis(1)),
        Err(KvError::Budget)
    );
    let wait = meter
        .take(CallKind::Read, Duration::from_secs(1))
        .expect("in time");
    assert!(
        wait > Duration::ZERO && wait <= Duration::from_millis(100),
        "{wait:?}"
    );
    assert_eq!(
        (
            meter.count(CallKind::Read).calls,
            meter.count(CallKind::Write).refused
        ),
        (21, 1)
    );
}

/// Guards against all instances reconnecting at once after an outage and overloading the service again. While calls
/// fail, each further call waits a random time; the first successful answer ends that.
#[test]
fn meter_outage_pauses() {
    let meter = CallMeter::new(1_000);
    let take = || {
        meter
            .take(CallKind::Read, Duration::ZERO)
            .expect("within the budget")
    };
    for _ in 0..9 {
        meter.end(CallKind::Read, Some(&KvError::Refused(503)));
    }
    let pauses: Vec<Duration> = (0..50).map(|_| take()).collect();
    assert!(pauses.iter().all(|p| *p <= Duration::from_millis(500)));
    let (least, most) = (pauses.iter().min(), pauses.iter().max());
    assert!(most > least, "the pauses differ: {pauses:?}");
    meter.end(CallKind::Read, None);
    assert_eq!(take(), Duration::ZERO);
    assert_eq!(meter.count(CallKind::Read).failed, 9);
}

fn client(base: &str) -> KvClient {
    client_with_deadline(base, DEADLINE)
}

fn client_with_deadline(base: &str, deadline: Duration) -> KvClient {
    let caller = Name::new("i0").expect("a name");
    KvClient::new(base, &caller, deadline, Uuid::new_v4())
}

/// The platform reads each write and closes the connection without an answer. The writer must not be told that its
/// write did not take effect, since it may have. awc reports such a close as a failed connect.
#[actix_web::test]
async fn swap_closed_without_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let base = format!("http://{}", listener.local_addr().expect("an address"));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut bytes = [0; 4096];
            let _ = stream.and_then(|mut s| s.read(&mut bytes));
        }
    });
    let result = client(&base).swap("a", Expect::Absent, b"x", None).await;
    assert_eq!(result, Err(KvError::Unresolved));
}

/// Nothing listens at the platform's address. The write cannot have taken effect, and the writer is told so.
#[actix_web::test]
async fn swap_refused_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let base = format!("http://{}", listener.local_addr().expect("an address"));
    drop(listener);
    let result = client(&base).swap("a", Expect::Absent, b"x", None).await;
    let error = result.expect_err("nobody listens");
    assert!(matches!(error, KvError::Connect(_)), "{error:?}");
    assert!(!error.is_ambiguous());
}
