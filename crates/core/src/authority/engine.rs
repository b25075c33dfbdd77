//! What a holder knows of one engine.

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

/// What became of the last order that this process opened for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendState {
    /// It has not left.
    Unsent,
    /// It left at this time; no answer yet.
    Sent(Time),
    /// The engine carried it out.
    Applied,
    /// It surely has no effect, and won't be sent again.
    Discarded,
    /// It left, and its answer was lost.
    Unanswered,
}

/// An order that this process opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnOrder {
    /// Fencing number under which it was opened.
    pub fence: Fence,
    /// Its sequence number.
    pub sequence: u64,
    /// What became of it.
    pub state: SendState,
    /// The call that sent it last.
    pub call: CallId,
}

impl OwnOrder {
    /// An order whose record was written; it has not left.
    pub fn new(order: &Order, state: SendState) -> OwnOrder {
        OwnOrder {
            fence: order.fence,
            sequence: order.sequence,
            state,
            call: CallId::default(),
        }
    }
}

/// A repeat of the last order with the holder's own number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceRaise {
    /// Not made yet.
    Due,
    /// Sent at this time by this call.
    Sent(Time, CallId),
    /// The engine knows the number.
    Done,
}

/// Keeping work from an engine before it is changed.
#[derive(Debug, Clone, Default)]
pub struct Drain {
    asked_at: Option<Time>,
    clear: Option<Clear>,
    missing: BTreeMap<Name, Time>,
}

/// Since when all reachable instances keep work from the engine and have none there.
#[derive(Debug, Clone, Copy)]
struct Clear {
    since: Time,
    asked: Time,
}

impl Drain {
    /// Whether the next round is due; notes that it is made.
    pub fn start_round(&mut self, now: Time, interval: Duration) -> bool {
        let due = self.asked_at.is_none_or(|asked_at| now >= asked_at + interval);
        if due {
            self.asked_at = Some(now);
        }
        due
    }

    /// Takes the answers of a round that was asked at `asked` and ended at `done`.
    ///
    /// An instance that gives no answer is waited for until it has been missing for `absence`: by then it
    /// takes no new work by itself, for it hears neither the platform nor any instance.
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

    /// Until when an order that cuts running work may leave; `None` if the engine is not known to be empty.
    ///
    /// The hold lapses at the instances by itself, so a clear round is worth nothing once it is old. The
    /// engine's report must come from after the round: an older one doesn't show what was under way to it.
    pub fn deadline(&self, report: Option<&Report>, hold_ttl: Duration) -> Option<Time> {
        let clear = self.clear?;
        let report = report?;
        let empty = report.idle && !report.away && report.taken_at >= clear.since;
        empty.then(|| clear.asked + hold_ttl.saturating_sub(hold_ttl / 5))
    }
}

/// What a holder knows of one engine.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// What it shall be.
    pub desired: DesiredState,
    /// Sequence number of the order that operators released last.
    pub released_sequence: u64,
    /// Its last report.
    pub report: Option<Report>,
    /// Reports taken before this say nothing about what to do next.
    pub fresh_since: Time,
    /// When the report was last asked for.
    pub probed_at: Option<Time>,
    /// The drain that goes on, if any.
    pub drain: Option<Drain>,
    /// When the weight store said that what it is to load can be read, and the next time to ask.
    pub weights: Weights,
    /// The last order that this process opened.
    pub own: Option<OwnOrder>,
    /// The repeat with the holder's own number.
    pub fence_raise: FenceRaise,
    /// What the process that opened the last order said of it.
    pub settlement: Option<(u64, Settlement)>,
    /// When a call for the open order may be made again.
    pub retry_at: Time,
    /// Sequence number that operators were told is unsettled.
    pub notified_sequence: u64,
}

/// What the weight store said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weights {
    /// It was not asked; it may be at this time.
    Ask(Time),
    /// It can be read.
    Ready,
}

impl EngineState {
    /// An engine of which nothing is known.
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

    /// Forgets what a former tenure left behind; what became of own orders stays known.
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

    /// What became of `record`'s order, if this process opened it.
    pub fn send_state(&self, record: &OrderRecord) -> Option<SendState> {
        let own = self.own?;
        let same = own.sequence == record.order.sequence && own.fence == record.order.fence;
        same.then_some(own.state)
    }

    /// The own order leaves by `call`.
    pub fn mark_sent(&mut self, now: Time, call: CallId) {
        if let Some(own) = &mut self.own {
            own.state = SendState::Sent(now);
            own.call = call;
        }
    }

    /// Takes the answer to `call`; a late answer to an earlier call is dropped.
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

    /// The last report, if it was taken after the last thing that may have changed the engine.
    pub fn fresh_report(&self) -> Option<&Report> {
        self.report
            .as_ref()
            .filter(|report| report.taken_at >= self.fresh_since)
    }

    /// Whether the engine has reported lately, so that it is worth waiting for.
    pub fn is_responsive(&self, now: Time, timing: &Timing) -> bool {
        let limit = timing.ttl;
        self.report.as_ref().is_some_and(|r| now <= r.taken_at + limit)
    }

    /// Until when an order that changes the engine may leave, if it is empty.
    pub fn send_deadline(&self, timing: &Timing) -> Option<Time> {
        self.drain
            .as_ref()?
            .deadline(self.report.as_ref(), timing.hold_ttl)
    }
}
