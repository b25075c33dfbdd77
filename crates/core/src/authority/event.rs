//! Events and actions of the authority.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::authority::CloseReason;
use crate::authority::Fence;
use crate::authority::Incarnation;
use crate::authority::Order;
use crate::authority::Record;
use crate::authority::RecordVersion;
use crate::config::Fencing;
use crate::config::Role;
use crate::engine::Target;
use crate::name::Name;
use crate::time::Time;

/// Names a call to the platform or an engine, so that a late or doubled answer is told from the one waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct CallId(pub u64);

/// What the configuration says of an engine of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineConfig {
    /// Its name.
    pub name: Name,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// The role that an operator fixed.
    pub role: Option<Role>,
    /// Sequence number of its order that operators released last; 0 if none.
    pub released_sequence: u64,
}

/// What an engine said of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// What it is.
    pub target: Target,
    /// Whether it is away for an order in progress.
    pub away: bool,
    /// Whether it runs and queues nothing.
    pub idle: bool,
    /// Sequence number of the last order that took effect, 0 if none.
    pub sequence: u64,
    /// When the engine made the report, at the earliest.
    pub taken_at: Time,
}

/// What an instance answered when asked to keep work from an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldAnswer {
    /// It gives it nothing new; it has so many requests there.
    InFlight(u32),
    /// It gave no answer.
    Missing,
}

/// How a write of the record ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and made this version.
    Done(RecordVersion),
    /// Another write came first.
    Conflict,
    /// It may or may not have taken effect.
    Unknown,
}

/// How an order that was to be sent ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine carried it out.
    Applied,
    /// The engine has seen this higher fencing number; the order has no effect.
    Stale(Fence),
    /// No byte of it left.
    Unsent,
    /// It may or may not have taken effect.
    Unknown,
}

/// What the process that opened an order knows of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The engine carried it out.
    Applied,
    /// It has not left, and never will.
    Unsent,
    /// It may still be on its way, or that process knows nothing of it.
    Unknown,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time went on.
    Tick,
    /// Nobody holds the lease.
    Vacant,
    /// Somebody else holds the lease.
    Occupied,
    /// The lease was granted; the grant was sent at `sent`.
    Acquired {
        /// Answer to this call.
        call: CallId,
        /// When the grant was sent.
        sent: Time,
    },
    /// The lease could not be had.
    NotAcquired {
        /// Answer to this call.
        call: CallId,
    },
    /// The lease was renewed; the renewal was sent at `sent`.
    Renewed {
        /// Answer to this call.
        call: CallId,
        /// When the renewal was sent.
        sent: Time,
    },
    /// The renewal gave no usable answer.
    RenewFailed {
        /// Answer to this call.
        call: CallId,
    },
    /// The platform does not know the lease any more.
    Expired {
        /// Answer to this call.
        call: CallId,
    },
    /// The record was read; `None` if there is none.
    Read {
        /// Answer to this call.
        call: CallId,
        /// The key's version.
        version: RecordVersion,
        /// The record.
        record: Option<Record>,
    },
    /// The record could not be read.
    ReadFailed {
        /// Answer to this call.
        call: CallId,
    },
    /// A write of the record ended.
    Wrote {
        /// Answer to this call.
        call: CallId,
        /// How.
        outcome: WriteOutcome,
    },
    /// The configuration in force names these engines.
    Configured {
        /// The model that the service's engines shall have loaded.
        model: String,
        /// The engines.
        engines: Vec<EngineConfig>,
    },
    /// The planner wants an engine to be something.
    Proposed {
        /// The engine.
        engine: Name,
        /// What it shall be.
        target: Target,
    },
    /// An engine reported.
    Reported {
        /// The engine.
        engine: Name,
        /// The report.
        report: Report,
    },
    /// All listed instances were asked to keep work from an engine.
    HoldAnswered {
        /// The engine.
        engine: Name,
        /// When they were asked.
        asked: Time,
        /// When the last answer was in.
        done: Time,
        /// What they answered.
        answers: BTreeMap<Name, HoldAnswer>,
    },
    /// The weight store was asked for what an engine is to load.
    WeightsChecked {
        /// The engine.
        engine: Name,
        /// Whether it can be read now.
        ready: bool,
    },
    /// An order that was to be sent ended so.
    Answered {
        /// Answer to this call.
        call: CallId,
        /// The engine.
        engine: Name,
        /// How.
        answer: OrderAnswer,
    },
    /// The process that opened an order was asked what became of it.
    Settled {
        /// The engine.
        engine: Name,
        /// The order's sequence number.
        sequence: u64,
        /// What it said.
        settlement: Settlement,
    },
    /// This instance gives its authority up, since it leaves.
    Resign,
}

/// An order on its way out. Whoever sends it checks the time right before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendOrder {
    /// The call.
    pub call: CallId,
    /// The engine.
    pub engine: Name,
    /// The order; its number is the one to send.
    pub order: Order,
    /// It may only leave before this time.
    pub deadline: Time,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask for the lease.
    Acquire(CallId),
    /// Renew the lease.
    Renew(CallId),
    /// Give the lease up.
    Release,
    /// Read the record.
    Read(CallId),
    /// Write the record if its key still has this version.
    Write {
        /// The call.
        call: CallId,
        /// Version to compare with.
        expect: RecordVersion,
        /// The record.
        record: Record,
    },
    /// Read an engine's report.
    Probe(Name),
    /// Ask all listed instances to keep work from an engine.
    Hold(Name),
    /// Tell them that it may get work again.
    Unhold(Name),
    /// Ask the weight store whether this model can be read.
    AskWeights {
        /// The engine that is to load it.
        engine: Name,
        /// The model.
        model: String,
    },
    /// Send an order.
    Send(SendOrder),
    /// Ask the process that opened an order what became of it.
    AskSettlement {
        /// Its instance.
        holder: Name,
        /// Itself.
        incarnation: Incarnation,
        /// The engine.
        engine: Name,
        /// The order's sequence number.
        sequence: u64,
    },
    /// Tell operators: the authority is held here now, under this number.
    TookOver(Fence),
    /// Tell operators: the authority is no longer held here.
    SteppedDown,
    /// Tell operators: an order is settled.
    Closed {
        /// The engine.
        engine: Name,
        /// The order's sequence number.
        sequence: u64,
        /// What showed it.
        reason: CloseReason,
    },
    /// Tell operators: an engine gets no order until its last one is settled.
    Unsettled {
        /// The engine.
        engine: Name,
        /// The order's sequence number.
        sequence: u64,
    },
    /// Tell operators: an invariant was broken and the action dropped.
    InvariantBroken(&'static str),
}
