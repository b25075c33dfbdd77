//! What has no better place.

pub mod clock;
pub mod log_budget;
pub mod logging;
pub mod metrics;
