//! The fake key-value service and the fake engines of the simulations.

use std::time::Duration;

use sequoiastream_core::authority::CallId;
use sequoiastream_core::authority::Event;
use sequoiastream_core::authority::Incarnation;
use sequoiastream_core::authority::Order;
use sequoiastream_core::authority::OrderAnswer;
use sequoiastream_core::authority::RecordVersion;
use sequoiastream_core::authority::Report;
use sequoiastream_core::authority::WriteOutcome;
use sequoiastream_core::config::Fencing;
use sequoiastream_core::name::Name;
use sequoiastream_core::time::Time;

use crate::authority::seeded::Engine;
use crate::authority::seeded::KvCall;
use crate::authority::seeded::Simulation;
use crate::authority::seeded::TTL;

impl Simulation {
    /// Carries out a call to the key-value service and returns its answer. A call that took effect may be answered as
    /// if its outcome were unknown.
    pub(super) fn serve_kv_call(
        &mut self,
        node: usize,
        by: Incarnation,
        call: CallId,
        kv_call: KvCall,
        sent: Time,
    ) -> Event {
        let in_outage = self.now < self.kv.outage_until;
        let lost = self.chance(5);
        let owned = self
            .kv
            .lease
            .filter(|(n, i, end)| (*n, *i) == (node, by) && self.now < *end);
        let free = self.kv.lease.is_none_or(|(_, _, end)| self.now >= end);
        match kv_call {
            KvCall::Acquire if in_outage || !free => Event::NotAcquired { call },
            KvCall::Acquire => {
                self.kv.lease = Some((node, by, self.now + TTL));
                match lost {
                    true => Event::NotAcquired { call },
                    false => Event::Acquired { call, sent },
                }
            }
            KvCall::Renew if in_outage => Event::RenewFailed { call },
            KvCall::Renew => match owned {
                None => Event::Expired { call },
                Some(_) => {
                    self.kv.lease = Some((node, by, self.now + TTL));
                    match lost {
                        true => Event::RenewFailed { call },
                        false => Event::Renewed { call, sent },
                    }
                }
            },
            KvCall::Read if in_outage || lost => Event::ReadFailed { call },
            KvCall::Read => Event::Read {
                call,
                version: RecordVersion(self.kv.version),
                record: self.kv.record.clone(),
            },
            KvCall::Write(_, _) if in_outage => Event::Wrote {
                call,
                outcome: WriteOutcome::Unknown,
            },
            KvCall::Write(expect, record) => {
                let written = match expect == self.kv.version {
                    true => {
                        self.kv.version += 1;
                        self.kv.record = Some(*record);
                        WriteOutcome::Done(RecordVersion(self.kv.version))
                    }
                    false => WriteOutcome::Conflict,
                };
                let written = if lost { WriteOutcome::Unknown } else { written };
                Event::Wrote {
                    call,
                    outcome: written,
                }
            }
        }
    }

    /// Delivers an order to an engine. Checks that an order that takes effect is the last recorded one, is not older
    /// than any order before it, and is identical whenever it arrives again. A late copy of the previous order may
    /// reach an engine that checks fencing tokens before the next order does; it must change nothing, not even the
    /// token.
    pub(super) fn apply_order(&mut self, name: &Name, order: Order) -> OrderAnswer {
        let (seed, now) = (self.seed, self.now);
        let recorded = self.kv.record.as_ref().and_then(|r| r.engines.get(name)).cloned();
        let engine = self.engines.get_mut(name).expect("known");
        if engine.fencing == Fencing::Checked && order.fence < engine.fence {
            return OrderAnswer::Stale(engine.fence);
        }
        let recorded = recorded.expect("each order is recorded before it is sent").order;
        let copy = engine.fencing == Fencing::Checked
            && order.fence <= engine.fence
            && order.sequence == engine.sequence
            && order.target == engine.target;
        assert!(
            recorded.sequence == order.sequence || copy,
            "seed {seed} at {now}: order at {name} is not the last recorded one"
        );
        assert!(
            order.sequence >= engine.sequence,
            "seed {seed} at {now}: older order at {name} after a newer one"
        );
        let first = engine
            .orders
            .entry(order.sequence)
            .or_insert_with(|| order.clone());
        let same = first.id == order.id && first.target == order.target;
        assert!(
            same,
            "seed {seed} at {now}: conflicting orders at {name} with one sequence number"
        );
        engine.fence = engine.fence.max(order.fence);
        engine.sequence = order.sequence;
        if engine.target != order.target {
            engine.target = order.target;
            engine.away_until = now + Duration::from_secs(2);
            self.applied_orders += 1;
        }
        let state = (now, engine.target.clone(), engine.sequence, engine.away_until);
        engine.history.push(state);
        OrderAnswer::Applied
    }
}

impl Engine {
    pub(super) fn report(&self, now: Time, lag: Duration) -> Report {
        let taken = now - lag;
        let shown = self.history.iter().rev().find(|(at, ..)| *at <= taken);
        let (_, target, sequence, away) = shown.unwrap_or(&self.history[0]);
        Report {
            target: target.clone(),
            away: taken < *away,
            idle: true,
            sequence: *sequence,
            taken_at: taken,
        }
    }
}
