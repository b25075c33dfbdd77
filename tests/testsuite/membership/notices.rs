//! Notices of leaving upstreams, which instances relay to each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::ops::RangeInclusive;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::membership::Action;
use sequoiastream_core::membership::Event;
use sequoiastream_core::membership::Heartbeat;
use sequoiastream_core::membership::InstanceInfo;
use sequoiastream_core::membership::LeavingNotice;
use sequoiastream_core::membership::Limits;
use sequoiastream_core::membership::Listing;
use sequoiastream_core::membership::LocalInstance;
use sequoiastream_core::membership::MemberState;
use sequoiastream_core::membership::MemberTable;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;

use crate::claims::client::PrintSeedOnPanic;
use crate::claims::client::seeds_or;
use crate::membership::name;

/// How long an upstream counts as leaving after it was last listed as leaving.
const NOTICE_TTL: Duration = Duration::from_secs(30);

/// Start time of the notice simulations.
const START: Time = Time::from_millis(3_600_000);

/// Time step of the notice simulations.
const STEP: Duration = Duration::from_millis(20);

/// An upstream that is leaving.
fn upstream() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 3], 80))
}

/// The table of one of `count` instances that know each other; `incarnation` is its start time by its wall clock.
fn member_table(index: usize, count: usize, incarnation: u64) -> MemberTable {
    let address = |i: usize| SocketAddr::from(([10, 0, 0, 1], 10_000 + i as u16));
    let local = LocalInstance {
        name: name(&format!("i{index}")),
        info: InstanceInfo::new(incarnation, name("a"), address(index), address(index)),
        seed: index as u64,
    };
    let listing = |i: usize| Listing {
        name: name(&format!("i{i}")),
        zone: name("a"),
        address: address(i),
        peer_address: address(i),
        state: MemberState::Live,
    };
    let mut table = MemberTable::new(local, Limits::default());
    table.on(START, Event::Listed((0..count).map(listing).collect()));
    table
}

/// Simulation of instances that send heartbeats to each other and share a monotonic clock.
struct NoticeSimulation {
    tables: Vec<MemberTable>,
    rng: ChaCha8Rng,
    /// Range of the random transit time of each message, in milliseconds.
    transit_millis: RangeInclusive<u64>,
    /// Probability that a message is lost.
    loss: f64,
    /// Messages to the last instance that arrive in this interval are delivered at its end.
    delayed: Range<Time>,
    /// Recipient, sender and heartbeat, by arrival time and sequence number.
    messages: BTreeMap<(Time, usize), (usize, Name, Heartbeat)>,
    sent: usize,
    /// For each instance, how often its notice expired, and when it last counted the upstream as leaving.
    expirations: Vec<(usize, Time)>,
}

impl NoticeSimulation {
    fn new(count: usize, millis: u64) -> NoticeSimulation {
        NoticeSimulation {
            tables: (0..count).map(|i| member_table(i, count, 1_000)).collect(),
            rng: ChaCha8Rng::seed_from_u64(1),
            transit_millis: millis..=millis,
            loss: 0.0,
            delayed: START..START,
            messages: BTreeMap::new(),
            sent: 0,
            expirations: vec![(0, Time::ZERO); count],
        }
    }

    fn handle(&mut self, now: Time, index: usize, event: Event) {
        for action in self.tables[index].on(now, event) {
            let Action::Send(to, beat) = action else { continue };
            let to = usize::from(to.port() - 10_000);
            let transit = self.rng.random_range(self.transit_millis.clone());
            let is_lost = self.rng.random_bool(self.loss);
            if is_lost {
                continue;
            }
            let mut arrival = now + Duration::from_millis(transit);
            if to + 1 == self.tables.len() && self.delayed.contains(&arrival) {
                arrival = self.delayed.end;
            }
            let message = (to, name(&format!("i{index}")), beat);
            self.messages.insert((arrival, self.sent), message);
            self.sent += 1;
        }
    }

    /// Runs for `time`. The instances `list_readers` read a list that shows the upstream as leaving, each second until
    /// `listed`. Returns how long after that an instance last counted it as leaving.
    fn run(&mut self, time: Duration, list_readers: Range<usize>, listed: Duration) -> Duration {
        let mut now = START;
        while now <= START + time {
            while let Some(message) = self.messages.first_entry().filter(|m| m.key().0 <= now) {
                let (to, from, beat) = message.remove();
                self.handle(now, to, Event::Heartbeat(from, beat));
            }
            for index in 0..self.tables.len() {
                let phase = STEP * (index as u32 * 7 % 50);
                if (now.since(START) + phase).as_millis().is_multiple_of(1_000) {
                    if list_readers.contains(&index) && now <= START + listed {
                        self.handle(now, index, Event::Leaving(vec![upstream()]));
                    }
                    self.handle(now, index, Event::Tick);
                }
            }
            self.record_leaving(now);
            now = now + STEP;
        }
        let last = self.expirations.iter().map(|(_, last)| *last).max();
        last.expect("an instance").since(START + listed)
    }

    fn record_leaving(&mut self, now: Time) {
        for (table, (expired, last)) in self.tables.iter().zip(&mut self.expirations) {
            if table.roster(now).leaving.contains(&upstream()) {
                *last = now;
            } else if *last + STEP == now {
                *expired += 1;
            }
        }
    }
}

/// Guards against a notice whose age decreases with each relay, because the age in a message excludes its transit time:
/// an upstream that is available again would get no work from the whole fleet for minutes.
#[test]
fn notice_ends_while_relayed() {
    let cases = [(2, 0), (2, 200), (2, 400), (8, 200), (8, 400)];
    let run = |(count, millis)| {
        let mut run = NoticeSimulation::new(count, millis);
        run.run(Duration::from_secs(300), 0..1, Duration::ZERO)
    };
    let lasted = cases.map(run);
    let range = NOTICE_TTL..=NOTICE_TTL + Duration::from_secs(2);
    assert!(lasted.iter().all(|l| range.contains(l)), "{cases:?}: {lasted:?}");
}

/// Guards against an instance that receives delayed messages and accepts the old notices in them as recent: it would
/// renew them for the whole fleet.
#[test]
fn notice_ends_read_late() {
    // Instances that read the list, last second of the listing, and first second of the delay.
    let cases = [
        (0..1, 0, 12),
        (0..1, 0, 0),
        (0..8, 3, 12),
        (0..7, 8, 12),
        (0..7, 8, 6),
    ];
    let second = Duration::from_secs;
    let run = |(list_readers, listed, from)| {
        let mut run = NoticeSimulation::new(8, 20);
        run.delayed = START + second(from)..START + second(35 + listed);
        run.run(second(300), list_readers, second(listed))
    };
    let lasted = cases.clone().map(run);
    let limit = NOTICE_TTL + second(2);
    assert!(lasted.iter().all(|l| *l <= limit), "{cases:?}: {lasted:?}");
}

/// Guards against the same failures with random numbers of list readers, transit times, lost messages, wall clocks up
/// to an hour apart, and an instance that receives delayed messages; and against a notice that expires while the
/// upstream is listed as leaving.
#[test]
fn notice_ends_drawn() {
    let second = Duration::from_secs;
    for seed in seeds_or(0..16) {
        let _failing = PrintSeedOnPanic(seed);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..=12);
        let mut run = NoticeSimulation::new(count, 0);
        for index in 0..count {
            run.tables[index] = member_table(index, count, rng.random_range(1..3_600_000));
        }
        run.transit_millis = rng.random_range(0..=20)..=rng.random_range(20..=500);
        run.loss = rng.random_range(0.0..0.3);
        run.rng = ChaCha8Rng::seed_from_u64(seed);
        let (list_readers, listed) = (0..rng.random_range(1..count), rng.random_range(0..40));
        let from = rng.random_range(0..60);
        run.delayed = START + second(from)..START + second(from + rng.random_range(0..60));
        run.run(second(200), list_readers.clone(), second(listed));
        let delay_end = run.delayed.end;
        let expiration = START + second(listed) + NOTICE_TTL;
        for (index, (expired, last)) in run.expirations.iter().enumerate() {
            let is_delayed = index + 1 == count;
            let limit = match is_delayed {
                true => expiration.max(delay_end) + second(4),
                false => expiration + second(4),
            };
            assert!(
                *last <= limit,
                "i{index} counts the upstream as leaving until {last}, expected until {expiration}"
            );
            let is_uninterrupted = *expired == 1 && *last + second(2) >= expiration;
            assert!(
                is_delayed || is_uninterrupted,
                "on i{index} the notice expires {expired} times, last at {last}"
            );
        }
    }
}

/// Guards against a notice that is ignored as outdated while the upstream is still listed as leaving. Sequence: the
/// list is read by one instance, then by another whose wall clock is two hours behind, and that instance restarts.
#[test]
fn notice_renewed_while_listed() {
    let second = Duration::from_secs;
    let mut run = NoticeSimulation::new(4, 200);
    run.tables[0] = member_table(0, 4, 9_000_000);
    assert_eq!(run.run(second(5), 0..1, second(5)), Duration::ZERO);
    run.messages.clear();
    let next_heartbeat = |table: &mut MemberTable, now| {
        let sends = table.on(now, Event::Tick).into_iter();
        let mut beats = sends.filter_map(|action| match action {
            Action::Send(_, beat) => Some(beat),
            _ => None,
        });
        beats.next().expect("each tick sends heartbeats")
    };
    let mut list_reader = run.tables.remove(1);
    let mut receiver = run.tables.remove(1);
    for s in 6..120 {
        let now = START + second(s);
        if s == 60 {
            let heartbeat = next_heartbeat(&mut receiver, now);
            list_reader = member_table(1, 4, 61_000);
            list_reader.on(now, Event::Heartbeat(name("i2"), heartbeat));
        }
        list_reader.on(now, Event::Leaving(vec![upstream()]));
        let heartbeat = next_heartbeat(&mut list_reader, now);
        receiver.on(now, Event::Heartbeat(name("i1"), heartbeat));
        assert!(receiver.roster(now).leaving.contains(&upstream()), "second {s}");
    }
    let expiration = START + second(119) + NOTICE_TTL;
    assert!(receiver.roster(expiration).leaving.contains(&upstream()));
    assert!(receiver.roster(expiration + second(1)).leaving.is_empty());
}

/// Guards against an older notice, from an instance whose wall clock is ahead, replacing the later local one.
#[test]
fn notice_kept_despite_skew() {
    let second = Duration::from_secs;
    let mut run = NoticeSimulation::new(2, 0);
    run.tables[0] = member_table(0, 2, 9_000_000);
    run.handle(START, 0, Event::Leaving(vec![upstream()]));
    run.handle(START + second(20), 1, Event::Leaving(vec![upstream()]));
    for now in [25, 26, 27].map(|s| START + second(s)) {
        run.handle(now, 0, Event::Tick);
        run.handle(now, 1, Event::Tick);
        while let Some((_, (to, from, beat))) = run.messages.pop_first() {
            run.handle(now, to, Event::Heartbeat(from, beat));
        }
    }
    for (index, table) in run.tables.iter().enumerate() {
        let leaving = |s| table.roster(START + second(s)).leaving.len();
        assert_eq!((leaving(50), leaving(51)), (1, 0), "instance {index}");
    }
}

/// Guards against the notices of an instance that has restarted with its wall clock behind being ignored by its peers,
/// because they know a notice with a higher number.
#[test]
fn notice_renewed_clock_behind() {
    let second = Duration::from_secs;
    let mut run = NoticeSimulation::new(3, 20);
    run.tables[0] = member_table(0, 3, 9_000_000);
    let lasted = run.run(second(100), 0..1, Duration::ZERO);
    assert!(lasted < second(32), "{lasted:?}");
    run.messages.clear();
    run.tables[0] = member_table(0, 3, 1_000);
    let mut leaving_at = None;
    for s in 100..110 {
        let now = START + second(s);
        run.handle(now, 0, Event::Leaving(vec![upstream()]));
        for index in 0..3 {
            run.handle(now, index, Event::Tick);
        }
        while let Some((_, (to, from, beat))) = run.messages.pop_first() {
            run.handle(now, to, Event::Heartbeat(from, beat));
        }
        let is_leaving = |t: &MemberTable| t.roster(now).leaving.contains(&upstream());
        if run.tables.iter().all(is_leaving) {
            leaving_at = leaving_at.or(Some(s));
        }
    }
    assert!(leaving_at.is_some_and(|s| s <= 101), "{leaving_at:?}");
}

/// Guards against a notice with too low a number from an instance that has just started and has received a notice from
/// before its start.
#[test]
fn notice_number_older_than_start() {
    let mut run = NoticeSimulation::new(2, 0);
    let old = LeavingNotice {
        address: upstream(),
        age: 4_000_000,
        number: u64::MAX / 2,
    };
    let peer = SocketAddr::from(([10, 0, 0, 1], 10_000));
    let beat = Heartbeat {
        info: InstanceInfo::new(1, name("a"), peer, peer),
        rumors: Vec::new(),
        notices: vec![old],
    };
    run.handle(START, 1, Event::Heartbeat(name("i0"), beat));
    assert!(run.tables[1].roster(START).leaving.is_empty());
    run.handle(START, 1, Event::Leaving(vec![upstream()]));
    run.handle(START, 1, Event::Tick);
    let (_, _, sent) = run.messages.values().next().expect("a heartbeat");
    assert_eq!((sent.notices[0].age, sent.notices[0].number), (0, old.number + 1));
}

/// Guards against notices that are stored or sent indefinitely.
#[test]
fn notice_forgotten() {
    let minutes = |m: u64| Duration::from_secs(m * 60);
    let mut run = NoticeSimulation::new(3, 400);
    run.run(minutes(6), 0..1, Duration::ZERO);
    let now = START + minutes(6);
    assert!(run.messages.values().all(|(_, _, beat)| beat.notices.is_empty()));
    let old = LeavingNotice {
        address: upstream(),
        age: 0,
        number: 1,
    };
    let mut beat = Heartbeat {
        info: InstanceInfo::new(1, name("a"), upstream(), upstream()),
        rumors: Vec::new(),
        notices: vec![old],
    };
    run.handle(now, 1, Event::Heartbeat(name("i0"), beat.clone()));
    assert!(
        run.tables[1].roster(now).leaving.is_empty(),
        "a retained notice is not renewed"
    );
    let now = START + minutes(11);
    run.handle(now, 1, Event::Tick);
    beat.info.number += 1;
    run.handle(now, 1, Event::Heartbeat(name("i0"), beat));
    assert_eq!(
        run.tables[1].roster(now).leaving.len(),
        1,
        "a removed notice is accepted again"
    );
}
