//! The persistent record of a service's authority, stored under the key `authority/<service>`.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::engine::Target;
use crate::name::Name;

/// A fencing token: raised by each take-over and by each order that is opened for a service, never lowered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Fence(pub u64);

impl Fence {
    /// The next higher token.
    pub fn next(self) -> Fence {
        Fence(self.0 + 1)
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies one run of an instance's process; drawn at random at each start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Incarnation(pub Uuid);

/// Version that the key-value service assigns to the record's key; 0 stands for an absent key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct RecordVersion(pub u64);

/// An order to an engine. It states the engine's target state rather than a step, so repeating it is
/// harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token under which the order was opened.
    pub fence: Fence,
    /// Number of the order among the orders to its engine, starting at 1.
    pub sequence: u64,
    /// Identifier of the order.
    pub id: Uuid,
    /// Target state of the engine.
    pub target: Target,
}

impl Order {
    /// An order whose id is derived from its other fields, so that the same order has the same id on every
    /// instance.
    pub fn new(service: &Name, engine: &Name, fence: Fence, sequence: u64, target: Target) -> Order {
        let text = format!("{service}/{engine}/{fence}/{sequence}/{target:?}");
        let hash = blake3::hash(text.as_bytes());
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.as_bytes()[..16]);
        Order {
            fence,
            sequence,
            id: Uuid::from_bytes(bytes),
            target,
        }
    }
}

/// Whether an order may still be in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The order may still be sent, be in flight or have taken effect.
    Open,
    /// The order is settled: it can no longer take effect, or it took effect and cannot arrive a second time.
    Closed(CloseReason),
}

/// The evidence on which an order was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CloseReason {
    /// The engine answered that it carried out the order.
    Answered,
    /// The engine's report shows the order's effect.
    Reported,
    /// The process that opened the order states that the engine carried it out.
    Acknowledged,
    /// The process that opened the order never sent it, or the engine refused it, and it never will be sent.
    Unsent,
    /// An operator's statement released the engine from the order.
    Released,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            CloseReason::Answered => "answered",
            CloseReason::Reported => "reported",
            CloseReason::Acknowledged => "acknowledged",
            CloseReason::Unsent => "unsent",
            CloseReason::Released => "released",
        })
    }
}

/// The last order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub order: Order,
    /// Whether the order may still be in flight.
    pub phase: Phase,
    /// The instance that opened the order.
    pub holder: Name,
    /// The process that opened the order.
    pub incarnation: Incarnation,
}

/// The holder of a service's authority, and the last order to each engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The instance that holds the authority.
    pub holder: Name,
    /// The process that holds the authority.
    pub incarnation: Incarnation,
    /// Highest fencing token issued.
    pub fence: Fence,
    /// The last order to each engine that ever received one.
    pub engines: BTreeMap<Name, OrderRecord>,
}
