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

/// Identifies a call to the platform or an engine, so that a late or duplicated answer can be told from the
/// expected one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct CallId(pub u64);

/// Configuration of an engine of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineConfig {
    /// Name of the engine.
    pub name: Name,
    /// Whether the engine checks fencing tokens.
    pub fencing: Fencing,
    /// The role that an operator fixed.
    pub role: Option<Role>,
    /// Sequence number of the engine's order that operators released last; 0 if none.
    pub released_sequence: u64,
}

/// An engine's report on itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The engine's current state.
    pub target: Target,
    /// Whether the engine is unavailable because it is carrying out an order.
    pub away: bool,
    /// Whether the engine has no running and no queued requests.
    pub idle: bool,
    /// Sequence number of the last order that took effect; 0 if none.
    pub sequence: u64,
    /// Earliest time at which the engine can have taken the report.
    pub taken_at: Time,
}

/// Answer of an instance that was asked to route no new requests to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldAnswer {
    /// The instance routes no new requests to the engine and has this many in flight there.
    InFlight(u32),
    /// The instance did not answer.
    Missing,
}

/// Outcome of a write of the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and produced this version.
    Done(RecordVersion),
    /// Another write came first.
    Conflict,
    /// The write may or may not have taken effect.
    Unknown,
}

/// Outcome of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine carried out the order.
    Applied,
    /// The engine has seen this higher fencing token; the order has no effect.
    Stale(Fence),
    /// No byte of the order was sent.
    Unsent,
    /// The order may or may not have taken effect.
    Unknown,
}

/// What the process that opened an order knows about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The engine carried out the order.
    Applied,
    /// The order was not sent and never will be.
    Unsent,
    /// The order may still be in flight, or the process knows nothing about it.
    Unknown,
}

/// Input to the authority's state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Nobody holds the lease.
    Vacant,
    /// Another instance holds the lease.
    Occupied,
    /// The lease was granted.
    Acquired {
        /// The call that this answers.
        call: CallId,
        /// When the request for the lease was sent.
        sent: Time,
    },
    /// The lease was not granted.
    NotAcquired {
        /// The call that this answers.
        call: CallId,
    },
    /// The lease was renewed.
    Renewed {
        /// The call that this answers.
        call: CallId,
        /// When the renewal was sent.
        sent: Time,
    },
    /// The renewal got no usable answer.
    RenewFailed {
        /// The call that this answers.
        call: CallId,
    },
    /// The platform no longer knows the lease.
    Expired {
        /// The call that this answers.
        call: CallId,
    },
    /// The record was read.
    Read {
        /// The call that this answers.
        call: CallId,
        /// Version of the record's key.
        version: RecordVersion,
        /// The record; `None` if there is none.
        record: Option<Record>,
    },
    /// The record could not be read.
    ReadFailed {
        /// The call that this answers.
        call: CallId,
    },
    /// A write of the record ended.
    Wrote {
        /// The call that this answers.
        call: CallId,
        /// Outcome of the write.
        outcome: WriteOutcome,
    },
    /// The service's engines according to the configuration in force.
    Configured {
        /// The model that the service's engines are to load.
        model: String,
        /// The engines.
        engines: Vec<EngineConfig>,
    },
    /// The planner proposes a target for an engine.
    Proposed {
        /// The engine.
        engine: Name,
        /// The proposed target.
        target: Target,
    },
    /// An engine reported.
    Reported {
        /// The engine.
        engine: Name,
        /// The report.
        report: Report,
    },
    /// All listed instances were asked to route no new requests to an engine.
    HoldAnswered {
        /// The engine.
        engine: Name,
        /// When the instances were asked.
        asked: Time,
        /// When the last answer arrived.
        done: Time,
        /// Answer of each instance.
        answers: BTreeMap<Name, HoldAnswer>,
    },
    /// The weight store was asked whether the weights that an engine is to load are available.
    WeightsChecked {
        /// The engine.
        engine: Name,
        /// Whether the weights can be read now.
        ready: bool,
    },
    /// Sending an order ended.
    Answered {
        /// The call that this answers.
        call: CallId,
        /// The engine.
        engine: Name,
        /// Outcome of the order.
        answer: OrderAnswer,
    },
    /// The reachable instances use an engine again after its change.
    Unheld(Name),
    /// The process that opened an order was asked for its outcome.
    Settled {
        /// The engine.
        engine: Name,
        /// Sequence number of the order.
        sequence: u64,
        /// What the process answered.
        settlement: Settlement,
    },
    /// This instance gives up its authority because it is leaving.
    Resign,
}

/// An order to be sent. The sender checks the deadline immediately before sending.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendOrder {
    /// Identifies the call.
    pub call: CallId,
    /// The engine.
    pub engine: Name,
    /// The order, with the fencing token to send.
    pub order: Order,
    /// The order may only be sent before this time.
    pub deadline: Time,
}

/// What the caller of the state machine has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Request the lease.
    Acquire(CallId),
    /// Renew the lease.
    Renew(CallId),
    /// Release the lease.
    Release,
    /// Read the record.
    Read(CallId),
    /// Write the record if its key still has the version `expect`.
    Write {
        /// Identifies the call.
        call: CallId,
        /// Version to compare with.
        expect: RecordVersion,
        /// The record to write.
        record: Record,
    },
    /// Read an engine's report.
    Probe(Name),
    /// Ask all listed instances to route no new requests to an engine.
    Hold(Name),
    /// Tell the instances that the engine may get requests again, and report with [`Event::Unheld`] when they use it.
    Unhold(Name),
    /// Ask the weight store whether the weights of a model can be read.
    AskWeights {
        /// The engine that is to load the model.
        engine: Name,
        /// The model.
        model: String,
    },
    /// Send an order.
    Send(SendOrder),
    /// Ask the process that opened an order for its outcome.
    AskSettlement {
        /// The instance that opened the order.
        holder: Name,
        /// The process that opened the order.
        incarnation: Incarnation,
        /// The engine.
        engine: Name,
        /// Sequence number of the order.
        sequence: u64,
    },
    /// Notify operators that this instance holds the authority now, under this fencing token.
    TookOver(Fence),
    /// Notify operators that this instance no longer holds the authority.
    SteppedDown,
    /// Notify operators that an order is settled.
    Closed {
        /// The engine.
        engine: Name,
        /// Sequence number of the order.
        sequence: u64,
        /// The evidence on which the order was closed.
        reason: CloseReason,
    },
    /// Notify operators that an engine gets no further order until its last one is settled.
    Unsettled {
        /// The engine.
        engine: Name,
        /// Sequence number of the order.
        sequence: u64,
    },
    /// Notify operators that an invariant did not hold and that the action was dropped.
    InvariantBroken(&'static str),
}
