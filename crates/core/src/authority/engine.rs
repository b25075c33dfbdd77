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
use crate::authority::wish::Wish;
use crate::config::Fencing;
use crate::name::Name;
use crate::time::Time;

/// What became of the last order that this process opened for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It has not left.
    Unsent,
    /// It left at this time; no answer yet.
    Sent(Time),
    /// The engine carried it out.
    Applied,
    /// It surely has no effect, and won't be sent again.
    Void,
    /// It left, and its answer was lost.
    Lost,
}

/// An order that this process opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Own {
    /// Fencing number under which it was opened.
    pub fence: Fence,
    /// Its sequence number.
    pub sequence: u64,
    /// What became of it.
    pub fate: Fate,
    /// The call that sent it last.
    pub call: CallId,
}

impl Own {
    /// An order whose record was written; it has not left.
    pub fn new(order: &Order, fate: Fate) -> Own {
        Own {
            fence: order.fence,
            sequence: order.sequence,
            fate,
            call: CallId::default(),
        }
    }
}

/// A repeat of the last order with the holder's own number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Raise {
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
    asked: Option<Time>,
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
    pub fn ask(&mut self, now: Time, every: Duration) -> bool {
        let due = self.asked.is_none_or(|asked| now >= asked + every);
        if due {
            self.asked = Some(now);
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
        absence: Duration,
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
                .is_some_and(|since| done >= *since + absence),
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
    pub fn until(&self, report: Option<&Report>, hold: Duration) -> Option<Time> {
        let clear = self.clear?;
        let report = report?;
        let empty = report.idle && !report.away && report.taken_at >= clear.since;
        empty.then(|| clear.asked + hold.saturating_sub(hold / 5))
    }
}

/// What a holder knows of one engine.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// What it shall be.
    pub wish: Wish,
    /// Sequence number of the order that operators released last.
    pub released: u64,
    /// Its last report.
    pub report: Option<Report>,
    /// Reports taken before this say nothing about what to do next.
    pub since: Time,
    /// When the report was last asked for.
    pub probed: Option<Time>,
    /// The drain that goes on, if any.
    pub drain: Option<Drain>,
    /// When the weight store said that what it is to load can be read, and the next time to ask.
    pub weights: Weights,
    /// The last order that this process opened.
    pub own: Option<Own>,
    /// The repeat with the holder's own number.
    pub raise: Raise,
    /// What the process that opened the last order said of it.
    pub settled: Option<(u64, Settlement)>,
    /// When a call for the open order may be made again.
    pub again: Time,
    /// Sequence number that operators were told is unsettled.
    pub told: u64,
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
            wish: Wish::default(),
            released: 0,
            report: None,
            since: Time::ZERO,
            probed: None,
            drain: None,
            weights: Weights::Ask(Time::ZERO),
            own: None,
            raise: Raise::Due,
            settled: None,
            again: Time::ZERO,
            told: 0,
        }
    }

    /// Forgets what a former tenure left behind; what became of own orders stays known.
    pub fn begin(&mut self, now: Time) {
        self.since = now;
        self.probed = None;
        self.drain = None;
        self.weights = Weights::Ask(now);
        self.raise = Raise::Due;
        self.settled = None;
        self.again = now;
        self.told = 0;
        self.wish.proposal = None;
    }

    /// What became of `record`'s order, if this process opened it.
    pub fn fate(&self, record: &OrderRecord) -> Option<Fate> {
        let own = self.own?;
        let same = own.sequence == record.order.sequence && own.fence == record.order.fence;
        same.then_some(own.fate)
    }

    /// The own order leaves by `call`.
    pub fn leave(&mut self, now: Time, call: CallId) {
        if let Some(own) = &mut self.own {
            own.fate = Fate::Sent(now);
            own.call = call;
        }
    }

    /// Takes the answer to `call`; a late answer to an earlier call is dropped.
    pub fn on_answer(&mut self, call: CallId, answer: OrderAnswer) {
        if matches!(self.raise, Raise::Sent(_, sent) if sent == call) {
            self.raise = match answer {
                OrderAnswer::Applied => Raise::Done,
                OrderAnswer::Stale(_) | OrderAnswer::Unsent | OrderAnswer::Unknown => Raise::Due,
            };
        }
        let Some(own) = &mut self.own else { return };
        if own.call != call || !matches!(own.fate, Fate::Sent(_) | Fate::Lost) {
            return;
        }
        own.fate = match answer {
            OrderAnswer::Applied => Fate::Applied,
            OrderAnswer::Stale(_) => Fate::Void,
            OrderAnswer::Unsent => Fate::Unsent,
            OrderAnswer::Unknown => Fate::Lost,
        };
        if answer == OrderAnswer::Applied {
            self.raise = Raise::Done;
        }
    }

    /// The last report, if it was taken after the last thing that may have changed the engine.
    pub fn fresh(&self) -> Option<&Report> {
        self.report
            .as_ref()
            .filter(|report| report.taken_at >= self.since)
    }

    /// Whether the engine has reported lately, so that it is worth waiting for.
    pub fn answers(&self, now: Time, timing: &Timing) -> bool {
        let limit = timing.ttl;
        self.report.as_ref().is_some_and(|r| now <= r.taken_at + limit)
    }

    /// Until when an order that changes the engine may leave, if it is empty.
    pub fn drained(&self, timing: &Timing) -> Option<Time> {
        self.drain.as_ref()?.until(self.report.as_ref(), timing.hold)
    }
}
