//! Authority and orders: what engines receive while holders are paused, killed and cut off.

mod machine;
mod processes;
mod seeded;
