//! Decides which connections of callers are evicted when an instance runs short of memory or descriptors.
//!
//! Failure guarded against: callers that don't behave send many large bodies and stop short of their ends, leave answers
//! unread, or open connections and say nothing. The process runs out of memory or descriptors, and ordinary callers get no
//! answers.
//!
//! Memory that is reserved for callers counts against one limit for all of them: bodies that are received, until their
//! requests have ended, and long answers, until their callers have read them. Beyond the limit, the connection with the lowest
//! transfer rate is evicted; one that has just begun only if there is no other. A request that an engine may have begun is
//! never evicted. Beyond the limit on connections, the least recently used idle one is evicted.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;

/// Age from which the rate of a body or an answer says something about its caller.
const MIN_AGE: Duration = Duration::from_secs(1);

/// Limits on what all callers take together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Bytes that are reserved for callers.
    pub memory: usize,
    /// Open connections.
    pub connections: usize,
}

/// A connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionKey(u64);

/// How a connection is evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// Its request is refused, which has not been forwarded. Then it is closed.
    Refuse(ConnectionKey),
    /// It is closed.
    Close(ConnectionKey),
}

/// What a connection carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request, or the head of one.
    Idle,
    /// A body, from the caller.
    Receiving,
    /// A request that is being handled.
    Handling,
    /// A long answer, to the caller.
    Answering,
    /// Nothing that matters: it is being closed.
    Closing,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    phase: Phase,
    /// When the phase began.
    since: Time,
    /// Bytes that were moved in this phase.
    moved: usize,
    /// Bytes that are reserved for it.
    reserved: usize,
}

impl Connection {
    fn age(&self, now: Time) -> Duration {
        now.since(self.since)
    }

    /// Bytes per second in this phase.
    fn rate(&self, now: Time) -> f64 {
        self.moved as f64 / self.age(now).max(MIN_AGE).as_secs_f64()
    }

    fn enter(&mut self, now: Time, phase: Phase) {
        // One that is being closed stays so.
        if self.phase != Phase::Closing {
            self.phase = phase;
            self.since = now;
            self.moved = 0;
        }
    }
}

/// The open connections of callers.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    connections: BTreeMap<ConnectionKey, Connection>,
    /// Bytes that are reserved for all of them, and for those that were closed and whose requests are still handled.
    reserved: usize,
    accepted: u64,
}

impl ConnectionTable {
    /// No connections yet.
    pub fn new(limits: ConnectionLimits) -> ConnectionTable {
        ConnectionTable {
            limits,
            connections: BTreeMap::new(),
            reserved: 0,
            accepted: 0,
        }
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Bytes that are reserved for callers.
    pub fn reserved(&self) -> usize {
        self.reserved
    }

    /// Records a connection that was accepted. Returns its key, and which one is evicted for it.
    pub fn on_accept(&mut self, now: Time) -> (ConnectionKey, Option<Eviction>) {
        let key = ConnectionKey(self.accepted);
        self.accepted += 1;
        let connection = Connection {
            phase: Phase::Idle,
            since: now,
            moved: 0,
            reserved: 0,
        };
        self.connections.insert(key, connection);
        let open = self.connections.values().filter(|c| c.phase != Phase::Closing);
        let is_over = open.count() > self.limits.connections;
        let evicted = is_over.then(|| self.evict(now, self.least_used(now, key)));
        (key, evicted)
    }

    /// Records that the body of a request begins to arrive.
    pub fn on_body(&mut self, now: Time, key: ConnectionKey) {
        self.enter(now, key, Phase::Receiving);
    }

    /// Records that a request is handled, of which nothing more is to arrive.
    pub fn on_handle(&mut self, now: Time, key: ConnectionKey) {
        self.enter(now, key, Phase::Handling);
    }

    /// Records that a long answer begins to leave.
    pub fn on_answer(&mut self, now: Time, key: ConnectionKey) {
        self.enter(now, key, Phase::Answering);
    }

    /// Records that the answer has left.
    pub fn on_answered(&mut self, now: Time, key: ConnectionKey) {
        self.enter(now, key, Phase::Idle);
    }

    /// Records that bytes of a body or an answer were moved.
    pub fn on_moved(&mut self, key: ConnectionKey, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.moved += bytes;
        }
    }

    /// Records that a connection was closed.
    pub fn on_close(&mut self, key: ConnectionKey) {
        self.connections.remove(&key);
    }

    /// Reserves this many bytes for a connection. Returns which ones are evicted for them, which may be this one.
    pub fn reserve(&mut self, now: Time, key: ConnectionKey, bytes: usize) -> Vec<Eviction> {
        self.reserved += bytes;
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.reserved += bytes;
        }
        self.make_room(now, key, 0)
    }

    /// Whether this many bytes can be reserved within the limit, or nothing else is reserved.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.reserved == 0 || self.reserved + bytes <= self.limits.memory
    }

    /// Evicts connections until this many bytes more can be reserved for `key`, as far as any may be evicted.
    pub fn make_room(&mut self, now: Time, key: ConnectionKey, bytes: usize) -> Vec<Eviction> {
        let mut evicted = Vec::new();
        let mut expected = self.reserved + bytes;
        while expected > self.limits.memory {
            let Some(victim) = self.slowest(now, key) else {
                break;
            };
            expected = expected.saturating_sub(self.connections[&victim].reserved);
            evicted.push(self.evict(now, victim));
        }
        evicted
    }

    /// Releases bytes that were reserved for a connection.
    pub fn release(&mut self, key: ConnectionKey, bytes: usize) {
        self.reserved = self.reserved.saturating_sub(bytes);
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.reserved = connection.reserved.saturating_sub(bytes);
        }
    }

    fn enter(&mut self, now: Time, key: ConnectionKey, phase: Phase) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.enter(now, phase);
        }
    }

    fn evict(&mut self, now: Time, key: ConnectionKey) -> Eviction {
        let Some(connection) = self.connections.get_mut(&key) else {
            return Eviction::Close(key);
        };
        let phase = connection.phase;
        connection.enter(now, Phase::Closing);
        match phase {
            Phase::Receiving => Eviction::Refuse(key),
            _ => Eviction::Close(key),
        }
    }

    /// The connection that is evicted when memory is short and `taker` reserves more; `None` if no other one may be evicted and
    /// `taker` is alone or is being handled.
    fn slowest(&self, now: Time, taker: ConnectionKey) -> Option<ConnectionKey> {
        let can_go =
            |c: &Connection| c.reserved > 0 && matches!(c.phase, Phase::Receiving | Phase::Answering);
        let others = || {
            self.connections
                .iter()
                .filter(|(key, c)| **key != taker && can_go(c))
        };
        let old = others().filter(|(_, c)| c.age(now) >= MIN_AGE);
        if let Some((key, _)) = old.min_by(|(_, a), (_, b)| a.rate(now).total_cmp(&b.rate(now))) {
            return Some(*key);
        }
        let is_alone = self
            .connections
            .get(&taker)
            .is_some_and(|c| c.reserved >= self.reserved);
        let is_receiving = self
            .connections
            .get(&taker)
            .is_some_and(|c| c.phase == Phase::Receiving);
        if is_receiving && !is_alone {
            return Some(taker);
        }
        // An answer that is ready takes precedence over bodies that have just begun.
        let receiving = others().filter(|(_, c)| c.phase == Phase::Receiving);
        receiving.map(|(key, _)| *key).next_back()
    }

    /// The connection that is evicted when there are too many, of which `newest` is one.
    fn least_used(&self, now: Time, newest: ConnectionKey) -> ConnectionKey {
        let others = || self.connections.iter().filter(|(key, _)| **key != newest);
        let idle = others().filter(|(_, c)| c.phase == Phase::Idle);
        if let Some((key, _)) = idle.min_by_key(|(_, c)| c.since) {
            return *key;
        }
        let moving = others().filter(|(_, c)| matches!(c.phase, Phase::Receiving | Phase::Answering));
        let old = moving.filter(|(_, c)| c.age(now) >= MIN_AGE);
        let slowest = old.min_by(|(_, a), (_, b)| a.rate(now).total_cmp(&b.rate(now)));
        slowest.map_or(newest, |(key, _)| *key)
    }
}
