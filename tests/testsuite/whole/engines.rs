//! Fake engines: one checks fencing tokens, one ignores them. Both assert that the orders they receive are valid.

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiastream_core::authority::Fence;
use sequoiastream_core::authority::Order;
use sequoiastream_core::authority::OrderAnswer;
use sequoiastream_core::authority::Report;
use sequoiastream_core::config::Fencing;
use sequoiastream_core::config::Role;
use sequoiastream_core::engine::Target;
use sequoiastream_core::time::Time;

/// How long an engine is unavailable while it changes its target.
const CHANGE_DURATION: Duration = Duration::from_secs(2);

struct HistoryEntry {
    at: Time,
    target: Target,
    sequence: u64,
    away_until: Time,
}

pub struct Engine {
    pub fencing: Fencing,
    pub target: Target,
    sequence: u64,
    fence: Fence,
    away_until: Time,
    orders: BTreeMap<u64, Order>,
    history: Vec<HistoryEntry>,
}

impl Engine {
    pub fn new(fencing: Fencing) -> Engine {
        let mut engine = Engine {
            fencing,
            target: Target {
                role: Role::Mixed,
                model: "m".to_string(),
                adapter: None,
                version: 1,
            },
            sequence: 0,
            fence: Fence(0),
            away_until: Time::ZERO,
            orders: BTreeMap::new(),
            history: Vec::new(),
        };
        engine.record_state(Time::ZERO);
        engine
    }

    fn record_state(&mut self, at: Time) {
        self.history.push(HistoryEntry {
            at,
            target: self.target.clone(),
            sequence: self.sequence,
            away_until: self.away_until,
        });
    }

    /// Carries out an order; returns the answer, and whether the engine's target changed.
    ///
    /// An order that takes effect must be the last recorded one, must not be older than any order before it, and must
    /// be identical whenever it arrives again. A late copy of the previous order may reach an engine that checks
    /// fencing tokens before the next order does (seed 108); it must change nothing, not even the token.
    pub fn apply(&mut self, now: Time, order: Order, recorded: &Order) -> (OrderAnswer, bool) {
        if self.fencing == Fencing::Checked && order.fence < self.fence {
            return (OrderAnswer::Stale(self.fence), false);
        }
        let copy = self.fencing == Fencing::Checked
            && order.fence <= self.fence
            && order.sequence == self.sequence
            && order.target == self.target;
        assert!(
            recorded.sequence == order.sequence || copy,
            "{now}: an order that is not the last recorded one took effect"
        );
        assert!(
            order.sequence >= self.sequence,
            "{now}: an older order took effect after a newer one"
        );
        let first = self.orders.entry(order.sequence).or_insert_with(|| order.clone());
        let same = first.id == order.id && first.target == order.target;
        assert!(
            same,
            "{now}: conflicting orders with one sequence number took effect"
        );
        self.fence = self.fence.max(order.fence);
        self.sequence = order.sequence;
        let changed = self.target != order.target;
        if changed {
            self.target = order.target;
            self.away_until = now + CHANGE_DURATION;
        }
        self.record_state(now);
        (OrderAnswer::Applied, changed)
    }

    /// The report of a probe whose data is `lag` old.
    pub fn report(&self, now: Time, lag: Duration) -> Report {
        let taken = now - lag;
        let shown = self.history.iter().rev().find(|past| past.at <= taken);
        let past = shown.unwrap_or(&self.history[0]);
        Report {
            target: past.target.clone(),
            away: taken < past.away_until,
            idle: true,
            sequence: past.sequence,
            taken_at: taken,
        }
    }
}
