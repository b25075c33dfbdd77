//! Authority over the engines of one service: which instance may give orders, and when an order may be sent.
//!
//! [`Authority`] is the state machine of one instance for one service. It competes for a lease, takes over
//! the persistent [`Record`] with a compare-and-swap that raises the fencing token, drains an engine before
//! changing it, and records an order as open before sending it. `docs/design/authority.md` compares the
//! designs that were considered.

mod desired;
mod engine;
mod event;
mod lease;
mod machine;
mod orders;
mod record;
mod settings;

pub use event::Action;
pub use event::CallId;
pub use event::EngineConfig;
pub use event::Event;
pub use event::HoldAnswer;
pub use event::OrderAnswer;
pub use event::Report;
pub use event::SendOrder;
pub use event::Settlement;
pub use event::WriteOutcome;
pub use lease::LocalLease;
pub use machine::Authority;
pub use record::CloseReason;
pub use record::Fence;
pub use record::Incarnation;
pub use record::Order;
pub use record::OrderRecord;
pub use record::Phase;
pub use record::Record;
pub use record::RecordVersion;
pub use settings::Settings;
pub use settings::Timing;
