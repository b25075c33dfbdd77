//! Authority and orders: what engines receive while holders are paused, killed and cut off.

mod processes;
mod seeded;
