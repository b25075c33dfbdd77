//! Keeps requests that need more than others from being refused for as long as the others are served.
//!
//! Whether there is room for a request depends on its priority and on the work that its prompt still is, so under a
//! lasting overload the same ones are refused each time: those of a less urgent kind, the longest prompts, and those
//! whose shared parts no engine has cached, which therefore stay uncached.
//!
//! While any requests of a service are accepted, each kind of them (a route) is owed at least [`KIND_FLOOR`] of the
//! fraction of the service's requests that is accepted. Within a kind, prompts of each size are owed at least
//! [`SIZE_FLOOR`] of the fraction of the kind's, and those with each amount of work, which caches make smaller, at least
//! [`WORK_FLOOR`]. A deficit counter for each of these groups rises by what each request is owed and falls by one with
//! each that is accepted. A group with a deficit of at least [`OVERDUE`] is overdue: its next request is accepted beyond
//! the limits that refused the others, and these find the queues that it leaves behind.
//!
//! Each instance counts what it decides itself. What holds for the requests at every instance holds for all of them, so
//! no messages are needed. The state is bounded by [`MAX_GROUPS`].

use std::collections::BTreeMap;

use crate::relay::hash::Hash;
use crate::relay::hash::hash_pair;
use crate::time::Time;

/// Fraction of its service's acceptance rate that a kind of request is owed. Below a quarter, a kind counts as starved;
/// the rest is for the error of the rates. A higher floor would take slots from more urgent kinds.
pub const KIND_FLOOR: f64 = 0.3;

/// Fraction of its kind's acceptance rate that prompts of each size are owed.
pub const SIZE_FLOOR: f64 = 0.5;

/// Fraction of its kind's acceptance rate that prompts with each amount of work are owed. Below a quarter, they count as
/// starved. With a higher floor, engines would compute parts for many subjects instead of answering from their caches.
pub const WORK_FLOOR: f64 = 0.3;

/// Deficit from which on a group is overdue. With a higher one, a kind with few requests would wait long for its first
/// acceptance; with a lower one, groups would be overdue by chance.
pub const OVERDUE: f64 = 0.5;

/// Maximum deficit, so that a group that could not be served for long is not preferred for long.
const MAX_DEFICIT: f64 = 8.0;

/// Maximum surplus, so that a group that was served for long is not refused for long.
const MAX_SURPLUS: f64 = 1.0;

/// Weight of a new decision in an acceptance rate, once there were enough of them.
const RATE_GAIN: f64 = 0.02;

/// Maximum number of groups, about 200 KB; beyond it, the one whose last request is the longest ago is forgotten.
const MAX_GROUPS: usize = 4_096;

/// The groups to which a request belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestGroups {
    service: u64,
    kind: u64,
    size: u64,
    work: u64,
}

/// Tokens of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptTokens {
    /// All of them.
    pub size: u32,
    /// Those that an engine still has to process.
    pub work: u32,
}

impl RequestGroups {
    /// The groups of a request on `route` to `service` with a prompt of `tokens`, zero without a prompt. Sizes in a
    /// group, and amounts of work, differ by less than a factor of two.
    pub fn new(service: &str, route: &str, tokens: PromptTokens) -> RequestGroups {
        let service = Hash::new().with(service.as_bytes()).value();
        let kind = hash_pair(service, Hash::new().with(route.as_bytes()).value());
        let class = |name: &[u8], tokens: u32| {
            let class = tokens.max(1).ilog2().to_be_bytes();
            hash_pair(kind, Hash::new().with(name).with(&class).value())
        };
        RequestGroups {
            service,
            kind,
            size: class(b"size", tokens.size),
            work: class(b"work", tokens.work),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Group {
    deficit: f64,
    /// Mean fraction of its requests that was accepted lately.
    rate: f64,
    /// Number of its requests.
    requests: u32,
    last: Time,
}

impl Group {
    fn new(now: Time) -> Group {
        Group {
            deficit: 0.0,
            rate: 0.0,
            requests: 0,
            last: now,
        }
    }

    /// Counts a request that was owed this fraction of an acceptance.
    fn on_decision(&mut self, now: Time, owed: f64, is_accepted: bool) {
        let accepted = f64::from(u8::from(is_accepted));
        self.deficit = (self.deficit + owed - accepted).clamp(-MAX_SURPLUS, MAX_DEFICIT);
        self.requests = self.requests.saturating_add(1);
        // The plain mean at first. With a mean that begins at some value instead, frequent groups would be overdue by it,
        // and rare ones not.
        let gain = RATE_GAIN.max(f64::from(self.requests).recip());
        self.rate += gain * (accepted - self.rate);
        self.last = now;
    }
}

/// What each group of requests is owed.
#[derive(Debug, Clone, Default)]
pub struct FairAdmission {
    groups: BTreeMap<u64, Group>,
}

impl FairAdmission {
    /// Nothing is owed.
    pub fn new() -> FairAdmission {
        FairAdmission::default()
    }

    /// The number of acceptances that a request's groups lack: at least [`OVERDUE`] if it is overdue, otherwise zero.
    pub fn overdue(&self, request: RequestGroups) -> f64 {
        let groups = [request.kind, request.size, request.work];
        let known = groups.iter().filter_map(|key| self.groups.get(key));
        let most = known.map(|group| group.deficit).fold(0.0, f64::max);
        if most < OVERDUE { 0.0 } else { most }
    }

    /// Counts a request that was accepted, or refused for lack of capacity.
    pub fn on_decision(&mut self, now: Time, request: RequestGroups, is_accepted: bool) {
        let service = self.group(now, request.service).rate;
        let kind = self.group(now, request.kind).rate;
        let owed = [
            (request.service, 0.0),
            (request.kind, KIND_FLOOR * service),
            (request.size, SIZE_FLOOR * kind),
            (request.work, WORK_FLOOR * kind),
        ];
        for (key, owed) in owed {
            self.group(now, key).on_decision(now, owed, is_accepted);
        }
        self.evict();
    }

    /// The number of groups that are remembered.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// Whether no group is remembered.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    fn group(&mut self, now: Time, key: u64) -> &mut Group {
        self.groups.entry(key).or_insert_with(|| Group::new(now))
    }

    fn evict(&mut self) {
        while self.groups.len() > MAX_GROUPS {
            let oldest = self.groups.iter().min_by_key(|(_, group)| group.last);
            let Some(key) = oldest.map(|(key, _)| *key) else {
                return;
            };
            self.groups.remove(&key);
        }
    }
}
