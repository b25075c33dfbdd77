//! Stand-ins: small simulated versions of the systems around sequoiastream, for tests and demonstrations; not
//! published.
//!
//! Each runs as a process of its own: the [`platform`] with its key-value service, leases, watches and lists; an
//! [`engine`] that models continuous batching; a [`plain`] service that counts the runs of each idempotency key.
//! All of them have a `/control` interface through which a test injects faults and reads what was recorded.

pub mod engine;
pub mod experiment;
pub mod load;
pub mod plain;
pub mod platform;
pub mod process;
pub mod serve;
