//! Load and health of engines.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiastream_core::attempt::End;
use sequoiastream_core::relay::book::Book;
use sequoiastream_core::relay::book::Work;
use sequoiastream_core::relay::engines::EngineKey;
use sequoiastream_core::time::Time;

const ENGINE: EngineKey = EngineKey(3);

fn work(requests: u32, tokens: u64) -> Work {
    Work { requests, tokens }
}

#[test]
fn work_until_end() {
    let mut book = Book::new();
    let first = book.begin(Time::ZERO, ENGINE, 900);
    let second = book.begin(Time::ZERO, ENGINE, 100);
    assert_eq!(book.own(ENGINE), work(2, 1_000));
    book.read(first);
    book.read(first);
    assert_eq!(book.own(ENGINE), work(2, 100));
    for ticket in [second, second, first] {
        book.end(Time::ZERO, ticket);
    }
    assert_eq!(book.own(ENGINE), Work::default());
}

#[test]
fn work_of_peers_expires() {
    let mut book = Book::new();
    book.begin(Time::ZERO, ENGINE, 10);
    book.on_peer(Time::ZERO, "b", BTreeMap::from([(ENGINE, work(4, 400))]));
    assert_eq!(book.work(Time::from_millis(900), ENGINE), work(5, 410));
    assert_eq!(book.work(Time::from_millis(1_100), ENGINE), work(1, 10));
}

/// Every check is refused for minutes though engines are free. Order: links are slow for a while, the mean time of a
/// hand-over grows beyond what any check can wait, none is sent any more. Cause: a mean that only those correct who
/// are let in by it.
#[test]
fn handover_forgotten() {
    let mut book = Book::new();
    let usual = book.handover(Time::ZERO, ENGINE);
    for _ in 0..50 {
        book.on_handover(Time::ZERO, ENGINE, Duration::from_millis(600));
    }
    assert!(book.handover(Time::ZERO, ENGINE) > Duration::from_millis(500));
    let later = book.handover(Time::from_millis(4_000), ENGINE);
    assert!(later < usual * 2, "{later:?}");
    assert_eq!(book.handover(Time::ZERO, EngineKey(4)), usual);
}

/// One engine draws all requests and serves none. Order: it declines whatever comes, so it has no work. Cause: the
/// engine with the least work is the best choice.
#[test]
fn avoid_declining() {
    let mut book = Book::new();
    book.judge(Time::ZERO, ENGINE, End::Declined);
    assert!(book.is_avoided(Time::from_millis(200), ENGINE));
    assert!(!book.is_avoided(Time::from_millis(300), ENGINE));
}

#[test]
fn avoid_longer_with_each_fault() {
    let mut book = Book::new();
    let mut pauses = Vec::new();
    for _ in 0..6 {
        book.judge(Time::ZERO, ENGINE, End::Broken);
        let avoided = (0..20_000)
            .step_by(100)
            .filter(|ms| book.is_avoided(Time::from_millis(*ms), ENGINE));
        pauses.push(avoided.count() / 5);
    }
    assert_eq!(pauses, [1, 2, 4, 8, 16, 16]);
    book.judge(Time::ZERO, ENGINE, End::Answered);
    assert!(!book.is_avoided(Time::ZERO, ENGINE));
}

#[test]
fn speed_learned() {
    let mut book = Book::new();
    let usual = book.speed(ENGINE);
    book.on_read(ENGINE, 100, Duration::from_millis(50));
    assert_eq!(book.speed(ENGINE), usual);
    for _ in 0..60 {
        book.on_read(ENGINE, 8_000, Duration::from_millis(100));
    }
    let speed = book.speed(ENGINE);
    assert!((79.0..85.0).contains(&speed), "{speed}");
}

#[test]
fn queue_only_over_slots() {
    let mut book = Book::new();
    for millis in 0..40 {
        let ticket = book.begin(Time::from_millis(millis), ENGINE, 0);
        book.end(Time::from_millis(millis + 160), ticket);
    }
    for _ in 0..15 {
        book.begin(Time::from_millis(500), ENGINE, 0);
    }
    assert_eq!(book.queue(Time::from_millis(500), ENGINE, 16), Duration::ZERO);
    book.begin(Time::from_millis(500), ENGINE, 0);
    let wait = book.queue(Time::from_millis(500), ENGINE, 16);
    assert_eq!(wait, Duration::from_millis(10));
}
