//! The persistent record of a service's authority, the value of the key `authority/<service>`.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::engine::Target;
use crate::name::Name;

/// A fencing number: raised by each take-over and each opened order of a service, never lowered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Fence(pub u64);

impl Fence {
    /// The number after this one.
    pub fn next(self) -> Fence {
        Fence(self.0 + 1)
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies one run of an instance's process; drawn anew at each start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Incarnation(pub Uuid);

/// The key-value service's own version of the record's key; 0 stands for an absent key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct RecordVersion(pub u64);

/// An order to an engine. It says what the engine shall be, so that the same order twice is harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number under which it was opened.
    pub fence: Fence,
    /// Counts the orders of its engine, from 1.
    pub sequence: u64,
    /// Names it.
    pub id: Uuid,
    /// What the engine shall be.
    pub target: Target,
}

impl Order {
    /// An order whose id follows from the rest, so that the same order has the same id everywhere.
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

/// Whether an order may still be on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It may leave, be on its way or have taken effect.
    Open,
    /// It is settled: it can't take effect any more, or did so and can't come a second time.
    Closed(CloseReason),
}

/// What showed that an order is settled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CloseReason {
    /// The engine answered that it carried the order out.
    Answered,
    /// The engine's report shows it.
    Reported,
    /// The process that opened it says that the engine carried it out.
    Acknowledged,
    /// The process that opened it never sent it, or the engine refused it, and it never will be sent.
    Unsent,
    /// An operator's statement released it.
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
    /// Whether it may still be on its way.
    pub phase: Phase,
    /// The instance that opened it.
    pub holder: Name,
    /// The process that opened it.
    pub incarnation: Incarnation,
}

/// Who has the authority of a service, and the last order to each engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The instance that holds the authority.
    pub holder: Name,
    /// Its process.
    pub incarnation: Incarnation,
    /// Highest fencing number given out.
    pub fence: Fence,
    /// The last order to each engine that ever got one.
    pub engines: BTreeMap<Name, OrderRecord>,
}
