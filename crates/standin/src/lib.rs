//! Small stand-ins for the systems around sequoiastream, for tests and for trying it out; not published.
//!
//! Each is a plain process: the [`platform`] with its key-value service, leases, watches and lists; an
//! [`engine`] that models continuous batching; a [`plain`] service that counts the runs of each key.
//! All of them have a `/control` interface by which a test injects faults and reads what was recorded.

pub mod engine;
pub mod experiment;
pub mod load;
pub mod plain;
pub mod platform;
pub mod process;
pub mod serve;
