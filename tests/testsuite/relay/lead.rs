//! The lease of the leader, the one instance that acts for the fleet. The seeded runs draw pauses, outages for some
//! instances, lost answers, slow links and partitions that outlast the lease, and check the calls in the order in which
//! the API receives them.
//! `SEQUOIASTREAM_SEEDS=1000..5000` runs other seeds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sequoiastream_core::relay::leader_lease::LeaderLease;
use sequoiastream_core::relay::leader_lease::LeaseAction;
use sequoiastream_core::time::Time;

use crate::claims::client::seeds_or;

const LEASE: Duration = Duration::from_secs(3);

/// Lengths of the lease in the seeded runs.
const LEASES: [Duration; 3] = [Duration::from_secs(1), LEASE, Duration::from_secs(8)];

/// Simulated time per step of a run.
const STEP: Duration = Duration::from_millis(20);

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

#[test]
fn step_by_rank() {
    let mut first = LeaderLease::new(LEASE);
    let mut third = LeaderLease::new(LEASE);
    assert_eq!(first.next_action(at(0), true, 0), LeaseAction::Acquire);
    assert_eq!(third.next_action(at(0), true, 2), LeaseAction::Wait);
    assert_eq!(third.next_action(at(599), true, 2), LeaseAction::Wait);
    assert_eq!(third.next_action(at(600), true, 2), LeaseAction::Acquire);
    assert_eq!(third.next_action(at(700), false, 2), LeaseAction::Wait);
    assert_eq!(
        third.next_action(at(800), true, 2),
        LeaseAction::Wait,
        "its delay starts again"
    );
}

/// Guards against the first call of a holder overtaking the last call of the holder before it.
#[test]
fn fence_after_a_lease() {
    let mut leader = LeaderLease::new(LEASE);
    leader.on_acquired(at(10), at(0), 7);
    leader.on_renewed(at(1_000));
    leader.on_renewed(at(2_000));
    assert_eq!(leader.fence(at(3_009)), None);
    assert_eq!(leader.fence(at(3_010)), Some(7));
}

/// Guards against two instances acting at once: a holder is paused, its lease expires, another instance acquires it,
/// and the first one goes on calling.
#[test]
fn fence_ends_before_lease() {
    let mut leader = LeaderLease::new(LEASE);
    leader.on_acquired(at(10), at(0), 7);
    leader.on_renewed(at(2_000));
    assert_eq!(leader.fence(at(4_099)), Some(7));
    assert_eq!(leader.fence(at(4_100)), None);
    leader.on_lost(at(4_200));
    assert!(!leader.is_held());
}

/// Guards against a call that is on its way beyond the lease: the end of its permit follows the renewals, and a later lease
/// of the same instance doesn't permit it again.
#[test]
fn permit_ends_with_lease() {
    let mut leader = LeaderLease::new(LEASE);
    leader.on_acquired(at(10), at(0), 7);
    leader.on_renewed(at(2_000));
    let permit = leader.permit(at(4_099)).expect("the lease is valid");
    assert_eq!((permit.fence, permit.until), (7, at(5_000)));
    assert!(leader.is_valid(at(4_999), 7));
    assert!(!leader.is_valid(at(5_000), 7));
    leader.on_renewed(at(4_000));
    assert!(leader.is_valid(at(6_999), 7), "it was renewed");
    leader.on_lost(at(6_000));
    assert!(!leader.is_valid(at(6_000), 7));
    leader.on_acquired(at(6_500), at(6_400), 9);
    assert!(!leader.is_valid(at(6_500), 7), "of an earlier lease");
}

#[test]
fn step_renews_and_rests_after_failure() {
    let mut leader = LeaderLease::new(LEASE);
    leader.on_acquired(at(10), at(0), 7);
    assert_eq!(leader.next_action(at(900), false, 0), LeaseAction::Wait);
    assert_eq!(leader.next_action(at(1_000), false, 0), LeaseAction::Renew);
    leader.on_failure(at(1_000));
    assert_eq!(leader.next_action(at(1_300), false, 0), LeaseAction::Wait);
    assert_eq!(leader.next_action(at(1_400), false, 0), LeaseAction::Renew);
}

/// A call for the lease that is in transit.
#[derive(Debug, Clone, Copy)]
enum Call {
    Acquire,
    Renew(u64),
}

#[derive(Debug)]
struct Pending {
    call: Call,
    sent: Time,
    arrives: Time,
    answers: Option<Time>,
    result: Option<Result<(u64, u64), bool>>,
}

#[derive(Debug)]
struct Instance {
    leader: LeaderLease,
    lease: Option<u64>,
    pending: Option<Pending>,
    paused: Time,
    unreachable: Time,
    sees_free: bool,
}

#[derive(Debug)]
struct Store {
    lease: Duration,
    revision: u64,
    leases: BTreeMap<u64, Time>,
    record: Option<(u64, u64)>,
}

impl Store {
    fn expire(&mut self, now: Time) {
        self.leases.retain(|_, until| now < *until);
        if self
            .record
            .is_some_and(|(lease, _)| !self.leases.contains_key(&lease))
        {
            self.record = None;
            self.revision += 1;
        }
    }

    /// Returns the lease and the fencing token. The error says whether the lease has ended.
    fn call(&mut self, now: Time, call: Call) -> Result<(u64, u64), bool> {
        self.revision += 1;
        let until = now + self.lease;
        match call {
            Call::Acquire if self.record.is_some() => Err(false),
            Call::Acquire => {
                let lease = self.revision;
                self.leases.insert(lease, until);
                self.record = Some((lease, self.revision));
                Ok((lease, self.revision))
            }
            Call::Renew(lease) => match self.leases.get_mut(&lease) {
                Some(ends) => {
                    *ends = until;
                    Ok((lease, 0))
                }
                None => Err(true),
            },
        }
    }
}

/// A call to the API that is in transit, ordered by its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ApiCall {
    arrives: Time,
    /// Index of the calling instance.
    caller: usize,
    fence: u64,
}

struct Run {
    rng: ChaCha8Rng,
    lease: Duration,
    store: Store,
    instances: Vec<Instance>,
    calls: BTreeSet<ApiCall>,
    /// Calls in the order in which they arrived.
    arrived: Vec<(Time, usize, u64)>,
    /// Calls to the store that are in transit and whose senders were killed.
    orphans: Vec<(Time, Call)>,
}

impl Run {
    fn new(seed: u64, lease: Duration) -> Run {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(1..9);
        let instance = |_| Instance::started(lease);
        Run {
            rng,
            lease,
            store: Store {
                lease,
                revision: 0,
                leases: BTreeMap::new(),
                record: None,
            },
            instances: (0..count).map(instance).collect(),
            calls: BTreeSet::new(),
            arrived: Vec::new(),
            orphans: Vec::new(),
        }
    }

    /// Kills all instances and starts them again. What they have sent is still delivered.
    fn kill_all(&mut self, now: Time) {
        let is_store_away = self.rng.random_bool(0.5);
        let limit = self.lease.as_millis() as u64 * 2;
        for index in 0..self.instances.len() {
            let away = Duration::from_millis(self.rng.random_range(0..limit));
            let killed = std::mem::replace(&mut self.instances[index], Instance::started(self.lease));
            let sent = killed.pending.filter(|pending| pending.result.is_none());
            self.orphans
                .extend(sent.map(|pending| (pending.arrives.max(killed.unreachable), pending.call)));
            if is_store_away {
                self.instances[index].unreachable = now + away;
            }
        }
    }

    fn delay(&mut self, limit: u64) -> Duration {
        let limit = if self.rng.random_bool(0.1) {
            limit
        } else {
            limit / 20
        };
        Duration::from_millis(self.rng.random_range(1..=limit.max(2)))
    }

    /// Time for which the kernel of the caller holds a call to the API: in one of ten cases as long as a partition that
    /// outlasts the lease.
    fn api_delay(&mut self) -> Duration {
        let limit = self.lease.as_millis() as u64;
        self.delay(limit * 4)
    }

    /// Time that a call to the API takes through the network, less than a lease.
    fn transit_delay(&mut self) -> Duration {
        let limit = self.lease.as_millis() as u64;
        self.delay(limit * 9 / 10)
    }

    fn inject_fault(&mut self, now: Time) {
        let limit = self.lease.as_millis() as u64 * 3;
        let length = Duration::from_millis(self.rng.random_range(200..limit));
        let index = self.rng.random_range(0..self.instances.len());
        match self.rng.random_bool(0.5) {
            true => self.instances[index].paused = now + length,
            false => self.instances[index].unreachable = now + length,
        }
    }

    fn step(&mut self, now: Time) {
        self.store.expire(now);
        if self.rng.random_bool(0.02) {
            self.inject_fault(now);
        }
        let (due, left) = std::mem::take(&mut self.orphans)
            .into_iter()
            .partition(|(arrives, _)| *arrives <= now);
        self.orphans = left;
        for (_, call) in due {
            // Nobody is left to hear the answer.
            let _ = self.store.call(now, call);
        }
        while let Some(call) = self.calls.first().copied().filter(|call| call.arrives <= now) {
            self.calls.remove(&call);
            self.arrived.push((call.arrives, call.caller, call.fence));
        }
        for index in 0..self.instances.len() {
            self.deliver(now, index);
            if now >= self.instances[index].paused {
                self.run_instance(now, index);
            }
        }
    }

    /// Delivers a call to the store, whether or not its sender is running.
    fn deliver(&mut self, now: Time, index: usize) {
        let instance = &mut self.instances[index];
        let Some(pending) = &mut instance.pending else {
            return;
        };
        if pending.result.is_none() && now >= pending.arrives && now >= instance.unreachable {
            pending.result = Some(self.store.call(now, pending.call));
        }
    }

    fn run_instance(&mut self, now: Time, index: usize) {
        let is_free = self.store.record.is_none();
        let refreshes = self.rng.random_bool(0.3);
        let delays = [self.delay(800), self.delay(800)];
        let (held, transit) = (self.api_delay(), self.transit_delay());
        let is_lost = self.rng.random_bool(0.05);
        let instance = &mut self.instances[index];
        if refreshes && now >= instance.unreachable {
            instance.sees_free = is_free;
        }
        instance.handle_answer(now);
        if instance.pending.is_none() {
            let call = match instance.leader.next_action(now, instance.sees_free, index as u32) {
                LeaseAction::Wait => None,
                LeaseAction::Acquire => Some(Call::Acquire),
                LeaseAction::Renew => instance.lease.map(Call::Renew),
            };
            instance.pending = call.map(|call| Pending {
                call,
                sent: now,
                arrives: now + delays[0],
                answers: (!is_lost).then(|| now + delays[0] + delays[1]),
                result: None,
            });
        }
        // The kernel discards a call that it could not send before the permit ends.
        let permit = instance.leader.permit(now);
        if let Some(permit) = permit.filter(|permit| now + held < permit.until) {
            self.calls.insert(ApiCall {
                arrives: now + held + transit,
                caller: index,
                fence: permit.fence,
            });
        }
    }
}

impl Instance {
    /// An instance that has just started, and knows nothing.
    fn started(lease: Duration) -> Instance {
        Instance {
            leader: LeaderLease::new(lease),
            lease: None,
            pending: None,
            paused: Time::ZERO,
            unreachable: Time::ZERO,
            sees_free: true,
        }
    }

    fn handle_answer(&mut self, now: Time) {
        let Some(pending) = &self.pending else { return };
        let (call, sent) = (pending.call, pending.sent);
        let is_answered = pending.result.is_some() && pending.answers.is_some_and(|at| now >= at);
        if !is_answered {
            if now.since(sent) > Duration::from_secs(2) {
                self.pending = None;
                self.leader.on_failure(now);
            }
            return;
        }
        let result = self.pending.take().and_then(|pending| pending.result);
        match (call, result) {
            (Call::Acquire, Some(Ok((lease, fence)))) => {
                self.lease = Some(lease);
                self.leader.on_acquired(now, sent, fence);
            }
            (Call::Renew(_), Some(Ok(_))) => self.leader.on_renewed(sent),
            (Call::Renew(_), Some(Err(true))) => self.leader.on_lost(now),
            _ => self.leader.on_failure(now),
        }
    }
}

/// Guards against two instances acting at once or alternately, and against a late call that arrives after a call of a
/// later holder. Sequence: pauses, outages for some instances, lost answers and calls that are held up for up to four times
/// the length of the lease and then take nearly a lease through the network, drawn for each seed, with a short, an ordinary
/// and a long lease.
#[test]
fn fence_never_falls_seeded() {
    for lease in LEASES {
        let mut acted = 0;
        for seed in seeds_or(0..48) {
            let mut run = Run::new(seed, lease);
            for step in 0..4_000 {
                run.step(at(0) + STEP * step);
            }
            check_calls(seed, lease, &run.arrived);
            acted += usize::from(!run.arrived.is_empty());
        }
        assert!(acted > 0, "some instance acts");
    }
}

/// Guards against two holders at once or alternately after all instances were killed at the same moment, once or several
/// times in a row: none of those that start again knows who held the lease, and calls of the killed ones are still on their
/// way.
#[test]
fn fence_never_falls_with_kills_of_all() {
    for lease in LEASES {
        let mut acted = 0;
        for seed in seeds_or(0..50) {
            let mut run = Run::new(seed, lease);
            let mut next_kill = 400;
            for step in 0..4_000 {
                if step == next_kill {
                    run.kill_all(at(0) + STEP * step);
                    let is_series = run.rng.random_bool(0.5);
                    next_kill += match is_series {
                        true => run.rng.random_range(5..100),
                        false => run.rng.random_range(300..900),
                    };
                }
                run.step(at(0) + STEP * step);
            }
            check_calls(seed, lease, &run.arrived);
            acted += usize::from(!run.arrived.is_empty());
        }
        assert!(acted > 0, "some instance acts");
    }
}

fn check_calls(seed: u64, lease: Duration, arrived: &[(Time, usize, u64)]) {
    for pair in arrived.windows(2) {
        assert!(
            pair[0].2 <= pair[1].2,
            "seed {seed}, lease {lease:?}: a lower fencing token after a higher one: {pair:?}"
        );
        let is_same = pair[0].1 == pair[1].1;
        assert!(
            is_same || pair[0].2 < pair[1].2,
            "seed {seed}, lease {lease:?}: two instances with the same fencing token: {pair:?}"
        );
    }
    let mut holders: Vec<(Time, Time, usize)> = Vec::new();
    for (time, index, _) in arrived {
        match holders.last_mut() {
            Some((_, last, holder)) if holder == index => *last = *time,
            _ => holders.push((*time, *time, *index)),
        }
    }
    for terms in holders.windows(3) {
        let is_turn = terms[0].2 == terms[2].2 && terms[2].0.since(terms[0].1) < lease;
        assert!(
            !is_turn,
            "seed {seed}, lease {lease:?}: two instances alternate within the duration of a lease: {terms:?}"
        );
    }
}

/// Another instance acts soon after the holder is lost.
#[test]
fn fence_after_holder_lost() {
    let mut run = Run::new(3, LEASE);
    run.instances.truncate(2);
    while run.instances.len() < 2 {
        run.instances.push(Run::new(4, LEASE).instances.remove(0));
    }
    let mut now = at(0);
    let mut acts = |run: &mut Run, index: usize, limit: u32| {
        for _ in 0..limit {
            now = now + STEP;
            for (other, instance) in run.instances.iter_mut().enumerate() {
                instance.paused = if other == index { Time::ZERO } else { now + STEP };
                instance.unreachable = Time::ZERO;
            }
            run.step(now);
            if run.instances[index].leader.fence(now).is_some() {
                return true;
            }
        }
        false
    };
    assert!(acts(&mut run, 0, 500), "the first instance acts");
    assert!(
        acts(&mut run, 1, 500),
        "the other instance acts within ten seconds"
    );
}
