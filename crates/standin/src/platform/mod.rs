//! Stand-in for the platform: key-value service, leases, watches and lists.

mod http;
mod store;

pub use http::Fault;
pub use http::Stats;
pub use http::configure;
pub use store::Store;
