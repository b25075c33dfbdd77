//! Builders and process handles for the test suite.
//!
//! Tests run the real binaries as processes on ephemeral ports and wait for events: the line `listening` that
//! each process prints, a version in force, or a count that has been reached.

pub mod answer;
pub mod delay;
pub mod fleet;
pub mod http;

pub use sequoiastream_standin::process;
