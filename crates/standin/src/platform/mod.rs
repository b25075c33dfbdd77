//! Stand-in for the platform.

mod http;
mod store;

pub use http::Fault;
pub use http::Stats;
pub use http::configure;
pub use store::Store;
