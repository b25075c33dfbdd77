//! What the holder knows about one engine.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::authority::CallId;
use crate::authority::Fence;
use crate::authority::HoldAnswer;
use crate::authority::Order;
use crate::authority::OrderAnswer;
use crate::authority::OrderRecord;
use crate::authority::Report;
use crate::authority::Settlement;
use crate::authority::Timing;
use crate::authority::desired::DesiredState;
use crate::config::Fencing;
use crate::name::Name;
use crate::time::Time;

/// Progress of the last order that this process opened for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendState {
    /// The order was not sent.
    Unsent,
    /// The order was sent at this time; no answer yet.
    Sent(Time),
    /// The engine carried out the order.
    Applied,
    /// The order is certain to have no effect and will not be sent again.
    Discarded,
    /// The order was sent, and its answer was lost.
    Unanswered,
}

/// An order that this process opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnOrder {
    /// Fencing token under which the order was opened.
    pub fence: Fence,
    /// Sequence number of the order.
    pub sequence: u64,
    /// Progress of the order.
    pub state: SendState,
    /// The call that sent the order last.
    pub call: CallId,
}

impl OwnOrder {
    /// An order that this process opened and that no call has sent yet.
    pub fn new(order: &Order, state: SendState) -> OwnOrder {
        OwnOrder {
            fence: order.fence,
            sequence: order.sequence,
            state,
            call: CallId::default(),
        }
    }
}

/// Repetition of the last order under the holder's own fencing token, which raises the token that the engine
/// has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceRaise {
    /// To be sent.
    Due,
    /// Sent at this time by this call.
    Sent(Time, CallId),
    /// The engine has seen the token.
    Done,
}

/// Drain of an engine before it is changed: the instances route no new requests to it, and those in flight
/// end.
#[derive(Debug, Clone, Default)]
pub struct Drain {
    asked_at: Option<Time>,
    clear: Option<Clear>,
    missing: BTreeMap<Name, Time>,
}

/// Since when all reachable instances hold requests back from the engine and have none in flight there.
#[derive(Debug, Clone, Copy)]
struct Clear {
    since: Time,
    asked: Time,
}

impl Drain {
    /// Whether the next round of asking the instances is due; if so, notes that it starts at `now`.
    pub fn start_round(&mut self, now: Time, interval: Duration) -> bool {
        let due = self.asked_at.is_none_or(|asked_at| now >= asked_at + interval);
        if due {
            self.asked_at = Some(now);
        }
        due
    }

    /// Takes the answers of a round that started at `asked` and ended at `done`.
    ///
    /// An instance that does not answer is waited for until it has been missing for `absence_timeout`. By
    /// then it takes no new work by itself, because it reaches neither the platform nor any instance.
    pub fn on_answers(
        &mut self,
        asked: Time,
        done: Time,
        answers: &BTreeMap<Name, HoldAnswer>,
        absence_timeout: Duration,
    ) {
        self.missing
            .retain(|name, _| answers.get(name) == Some(&HoldAnswer::Missing));
        for (name, answer) in answers {
            if *answer == HoldAnswer::Missing {
                self.missing.entry(name.clone()).or_insert(asked);
            }
        }
        let clear = answers.iter().all(|(name, answer)| match answer {
            HoldAnswer::InFlight(count) => *count == 0,
            HoldAnswer::Missing => self
                .missing
                .get(name)
                .is_some_and(|since| done >= *since + absence_timeout),
        });
        self.clear = match (clear, self.clear) {
            (false, _) => None,
            (true, None) => Some(Clear { since: done, asked }),
            (true, Some(before)) => Some(Clear {
                since: before.since,
                asked: asked.max(before.asked),
            }),
        };
    }

    /// Until when an order that interrupts running work may be sent; `None` if the engine is not known to be
    /// empty.
    ///
    /// The hold expires on the instances by itself, so a round that found no requests counts only for a
    /// limited time. The engine's report must have been taken after that round: an older one does not show
    /// the requests that were on their way to the engine.
    pub fn deadline(&self, report: Option<&Report>, hold_ttl: Duration) -> Option<Time> {
        let clear = self.clear?;
        let report = report?;
        let empty = report.idle && !report.away && report.taken_at >= clear.since;
        empty.then(|| clear.asked + hold_ttl.saturating_sub(hold_ttl / 5))
    }
}

/// What the holder knows about one engine.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// Whether the engine checks fencing tokens.
    pub fencing: Fencing,
    /// The desired state of the engine.
    pub desired: DesiredState,
    /// Sequence number of the order that operators released last.
    pub released_sequence: u64,
    /// The engine's last report.
    pub report: Option<Report>,
    /// Reports taken before this time are too old to decide on.
    pub fresh_since: Time,
    /// When the report was last requested.
    pub probed_at: Option<Time>,
    /// The drain in progress, if any.
    pub drain: Option<Drain>,
    /// Whether the weight store has the weights that the engine is to load, or the next time to ask it.
    pub weights: Weights,
    /// The last order that this process opened.
    pub own: Option<OwnOrder>,
    /// Progress of repeating the last order under the holder's own fencing token.
    pub fence_raise: FenceRaise,
    /// Sequence number of an order, and what the process that opened it answered about it.
    pub settlement: Option<(u64, Settlement)>,
    /// When a call for the open order may be made again.
    pub retry_at: Time,
    /// Sequence number of the order that operators were last notified of as unsettled.
    pub notified_sequence: u64,
}

/// Availability of the weights, according to the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weights {
    /// The weights are not known to be available; the store may be asked from this time on.
    Ask(Time),
    /// The weights can be read.
    Ready,
}

impl EngineState {
    /// An engine about which nothing is known.
    pub fn new(fencing: Fencing) -> EngineState {
        EngineState {
            fencing,
            desired: DesiredState::default(),
            released_sequence: 0,
            report: None,
            fresh_since: Time::ZERO,
            probed_at: None,
            drain: None,
            weights: Weights::Ask(Time::ZERO),
            own: None,
            fence_raise: FenceRaise::Due,
            settlement: None,
            retry_at: Time::ZERO,
            notified_sequence: 0,
        }
    }

    /// Discards the state of an earlier tenure; the progress of this process's own orders is kept.
    pub fn start_tenure(&mut self, now: Time) {
        self.fresh_since = now;
        self.probed_at = None;
        self.drain = None;
        self.weights = Weights::Ask(now);
        self.fence_raise = FenceRaise::Due;
        self.settlement = None;
        self.retry_at = now;
        self.notified_sequence = 0;
        self.desired.proposal = None;
    }

    /// Progress of `record`'s order, if this process opened it.
    pub fn send_state(&self, record: &OrderRecord) -> Option<SendState> {
        let own = self.own?;
        let same = own.sequence == record.order.sequence && own.fence == record.order.fence;
        same.then_some(own.state)
    }

    /// Notes that this process's order is sent at `now` by `call`.
    pub fn mark_sent(&mut self, now: Time, call: CallId) {
        if let Some(own) = &mut self.own {
            own.state = SendState::Sent(now);
            own.call = call;
        }
    }

    /// Takes the answer to `call`; a late answer to an earlier call is ignored.
    pub fn on_answer(&mut self, call: CallId, answer: OrderAnswer) {
        if matches!(self.fence_raise, FenceRaise::Sent(_, sent) if sent == call) {
            self.fence_raise = match answer {
                OrderAnswer::Applied => FenceRaise::Done,
                OrderAnswer::Stale(_) | OrderAnswer::Unsent | OrderAnswer::Unknown => FenceRaise::Due,
            };
        }
        let Some(own) = &mut self.own else { return };
        if own.call != call || !matches!(own.state, SendState::Sent(_) | SendState::Unanswered) {
            return;
        }
        own.state = match answer {
            OrderAnswer::Applied => SendState::Applied,
            OrderAnswer::Stale(_) => SendState::Discarded,
            OrderAnswer::Unsent => SendState::Unsent,
            OrderAnswer::Unknown => SendState::Unanswered,
        };
        if answer == OrderAnswer::Applied {
            self.fence_raise = FenceRaise::Done;
        }
    }

    /// The last report, if it was taken after the last event that may have changed the engine.
    pub fn fresh_report(&self) -> Option<&Report> {
        self.report
            .as_ref()
            .filter(|report| report.taken_at >= self.fresh_since)
    }

    /// Whether the engine has reported recently enough to be worth waiting for.
    pub fn is_responsive(&self, now: Time, timing: &Timing) -> bool {
        let limit = timing.ttl;
        self.report.as_ref().is_some_and(|r| now <= r.taken_at + limit)
    }

    /// Until when an order that changes the engine may be sent; `None` if the engine is not known to be
    /// empty.
    pub fn send_deadline(&self, timing: &Timing) -> Option<Time> {
        self.drain
            .as_ref()?
            .deadline(self.report.as_ref(), timing.hold_ttl)
    }
}
