//! What has no better place.

pub mod clock;
pub mod logging;
pub mod metrics;
