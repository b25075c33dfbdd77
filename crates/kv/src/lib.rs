//! Client of sequoiastream towards the platform.
//!
//! The platform gives a small key-value service with compare-and-swap, leases and watches; a lagging list of
//! live and leaving machines; and a rate-limited weight store. This package speaks its published HTTP
//! protocol, described in `docs/design/platform-protocol.md`.
//!
//! Every call has a deadline and is counted by the instance's [`CallMeter`], which also keeps the call budget. A write whose answer was lost is resolved by
//! reading back, see [`KvClient::swap`].

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
