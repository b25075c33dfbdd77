//! Clocks, logging and metrics.

pub mod clock;
pub mod log_budget;
pub mod logging;
pub mod metrics;
