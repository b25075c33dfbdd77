//! Tests of authority and orders: which orders engines receive while holders are paused, killed and disconnected.

mod machine;
mod processes;
mod seeded;
