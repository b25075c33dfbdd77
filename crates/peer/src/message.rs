//! The messages themselves.

use sequoiastream_core::authority::Incarnation;
use sequoiastream_core::authority::Settlement;
use sequoiastream_core::name::Name;
use serde::Deserialize;
use serde::Serialize;

/// What goes over UDP: may get lost, come twice or out of order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Only shows that the sender runs.
    Ping,
}

/// A question over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Only asks for an answer.
    Ping,
    /// Asks to keep new work from an engine.
    Hold(Hold),
    /// Says that this engine may get work again.
    Unhold(Name),
    /// Asks what became of an order.
    Settle(SettleOrder),
}

/// The answer to a question over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Answer to [`Request::Ping`].
    Pong,
    /// Answer to [`Request::Hold`]: requests that the peer has at the engine.
    InFlight(u32),
    /// Answer to [`Request::Unhold`].
    Unheld,
    /// Answer to [`Request::Settle`].
    Settled(Settlement),
}

/// Asks to keep new work from an engine before it is changed. Asked again while the change goes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The engine.
    pub engine: Name,
    /// Milliseconds after which the hold lapses.
    pub millis: u64,
}

/// Asks the process that opened an order what became of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleOrder {
    /// The service.
    pub service: Name,
    /// The process.
    pub incarnation: Incarnation,
    /// The engine.
    pub engine: Name,
    /// The order's sequence number.
    pub sequence: u64,
}
