//! Tells refused callers when to return to a service whose engines limit their requests, or whose routes differ in
//! priority.
//!
//! Guards against callers that return before an engine may get their requests, or all at the same time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::poison::Fingerprint;
use crate::relay::decaying_sum::DecayingSum;
use crate::time::Time;

/// Half-life of the rate at which requests are accepted: long enough for routes with one request in two seconds.
const RATE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Minimum delay after which a refused caller is to return.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// How long it is remembered when a caller was told to return: callers come back within a third of the time that they
/// have left.
const TOLD_TTL: Duration = Duration::from_secs(10);

/// Maximum number of callers that are remembered, about 400 KB. Others that return count as fresh.
const MAX_TOLD: usize = 4_096;

/// How much earlier than told a caller may return: delays are rounded to milliseconds.
const EARLY_TOLERANCE: Duration = Duration::from_millis(2);

/// Fraction of the route's timeout below which the time left shows that a caller was refused before by another
/// instance: callers set their deadline once, and a delay before a retry takes up to a third of it.
const REPEAT_PART: f64 = 0.85;

/// The limits of a service's engines at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LimitedService {
    /// Requests per second that this instance may send to all of them together.
    pub rate: f64,
    /// Time until one of them may be sent a request; `None` if this instance may send none to any of them.
    pub wait: Option<Duration>,
}

impl LimitedService {
    /// Adds an engine to which this instance may send `rate` requests per second, the next one after `wait`.
    pub fn with(self, rate: f64, wait: Option<Duration>) -> LimitedService {
        LimitedService {
            rate: self.rate + rate,
            wait: self.wait.into_iter().chain(wait).min(),
        }
    }
}

/// A refused caller of a service whose routes differ in priority.
#[derive(Debug, Clone, Copy)]
pub struct RefusedCaller<'a> {
    /// The service.
    pub service: &'a str,
    /// Priority of the request.
    pub priority: u8,
    /// Identifies the request over all its repetitions.
    pub id: Fingerprint,
    /// Maximum delay with which the caller complies.
    pub max: Duration,
    /// A random value of the request, 0 to 1, so that callers refused by several instances don't return together.
    pub spread: f64,
    /// A random delay, for callers that can't return one after the other within `max`.
    pub fallback: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Told {
    at: Time,
    due: Time,
}

/// When the refused callers of each service were told to return.
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule {
    /// Time at which the last caller is to return, by service.
    last: BTreeMap<String, Time>,
    /// By service and priority.
    ranked: BTreeMap<(String, u8), RankedSchedule>,
    told: BTreeMap<Fingerprint, Told>,
    /// The times and keys of `told` in the order of the times, also of entries that were replaced.
    told_order: VecDeque<(Time, Fingerprint)>,
}

/// The callers of one priority.
#[derive(Debug, Clone, Copy, Default)]
struct RankedSchedule {
    accepted: DecayingSum,
    /// Time at which the last refused caller is to return.
    last: Time,
}

impl ReturnSchedule {
    /// A schedule without any callers.
    pub fn new() -> ReturnSchedule {
        ReturnSchedule::default()
    }

    /// The delay after which the next refused caller of a service is to return: one after the other, at the rate of the
    /// engines. `None` if that is more than `max`, or this instance may send the engines no requests.
    pub fn next_delay(
        &mut self,
        now: Time,
        service: &str,
        limited: LimitedService,
        max: Duration,
    ) -> Option<Duration> {
        let first = now + limited.wait?;
        let interval = Duration::try_from_secs_f64(limited.rate.recip()).ok()?;
        let last = self.last.get(service);
        let due = last.map_or(first, |last| first.max(*last + interval));
        let delay = due.since(now);
        if delay > max {
            return None;
        }
        self.last.insert(service.to_string(), due);
        Some(delay)
    }

    /// Records that a request of this priority was accepted.
    pub fn on_accepted(&mut self, now: Time, service: &str, priority: u8, id: Fingerprint) {
        let schedule = self.ranked.entry((service.to_string(), priority)).or_default();
        schedule.accepted.add(now, RATE_HALF_LIFE, 1.0);
        self.told.remove(&id);
    }

    /// The delay after which a refused caller is to return: one after the other, at the rate at which requests of its
    /// priority were recently accepted, or a random delay beyond the maximum. A caller that returned too early gets a
    /// random delay as well: those that retry at once take no places from the others.
    pub fn tell(&mut self, now: Time, caller: RefusedCaller<'_>) -> Duration {
        let is_early = self
            .told
            .get(&caller.id)
            .is_some_and(|told| now + EARLY_TOLERANCE < told.due);
        let place = match is_early {
            true => None,
            false => self.next_place(now, caller),
        };
        let delay = place.unwrap_or(caller.fallback);
        self.remember(now, caller.id, now + delay);
        delay
    }

    fn next_place(&mut self, now: Time, caller: RefusedCaller<'_>) -> Option<Duration> {
        let key = (caller.service.to_string(), caller.priority);
        let schedule = self.ranked.get_mut(&key)?;
        let rate = schedule.accepted.rate(now, RATE_HALF_LIFE);
        let interval = Duration::try_from_secs_f64(rate.recip()).ok()?;
        let first = now + MIN_DELAY + interval.mul_f64(caller.spread);
        let due = first.max(schedule.last + interval);
        let delay = due.since(now);
        if delay > caller.max {
            return None;
        }
        schedule.last = due;
        Some(delay)
    }

    fn remember(&mut self, now: Time, id: Fingerprint, due: Time) {
        while let Some((at, oldest)) = self.told_order.front().copied()
            && (now.since(at) > TOLD_TTL || self.told_order.len() >= MAX_TOLD)
        {
            self.told_order.pop_front();
            if self.told.get(&oldest).is_some_and(|told| told.at == at) {
                self.told.remove(&oldest);
            }
        }
        self.told.insert(id, Told { at: now, due });
        self.told_order.push_back((now, id));
    }

    /// Whether a caller was refused before and returns when told. If another instance may have refused it, the time
    /// `left` of the route's `timeout` tells that it returns, but not when it was to.
    pub fn is_return(&self, now: Time, id: Fingerprint, left: Duration, timeout: Duration) -> bool {
        let told = self.told.get(&id).filter(|told| now.since(told.at) <= TOLD_TTL);
        match told {
            Some(told) => now + EARLY_TOLERANCE >= told.due,
            None => left < timeout.mul_f64(REPEAT_PART),
        }
    }
}
