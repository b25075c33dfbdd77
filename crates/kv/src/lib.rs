//! Client of the platform.
//!
//! The platform provides a small key-value service with compare-and-swap, leases and watches; a list of live and
//! leaving machines that may lag behind; and a rate-limited weight store. This package implements its published HTTP
//! protocol, described in `docs/design/platform-protocol.md`.
//!
//! Every call has a deadline and is counted by the instance's [`CallMeter`], which also enforces the call budget. A
//! write whose response was lost is resolved by reading the key back, see [`KvClient::swap`].

mod budget;
mod client;
mod envelope;
mod error;
mod lists;
pub mod store;
mod wire;

pub use budget::CallCount;
pub use budget::CallKind;
pub use budget::CallMeter;
pub use budget::DEFAULT_RATE;
pub use client::Entry;
pub use client::Expect;
pub use client::KvClient;
pub use client::KvVersion;
pub use client::LeaseId;
pub use client::Swap;
pub use error::KvError;
pub use lists::ListEntry;
pub use lists::ListedState;
pub use wire::EntryBody;
pub use wire::LeaseBody;
pub use wire::VersionBody;
