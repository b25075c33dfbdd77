//! The decisions of sequoiastream, as state machines that do no I/O.
//!
//! Nothing in this package opens a socket, reads a clock, spawns a thread, sleeps or draws unseeded random numbers.
//! A decision has the signature `fn on(&mut self, now: Time, event: Event) -> Vec<Action>`; the programs around it
//! turn input into events and actions into output. The same code therefore runs in the daemon, in benchmarks and in
//! seeded tests, and a failure can be reproduced from its seed.
//!
//! Invariants are checked in release builds as well, see [`invariant`].

pub mod answer;
pub mod arena;
pub mod attempt;
pub mod authority;
pub mod claims;
pub mod config;
pub mod engine;
pub mod invariant;
pub mod limit;
pub mod log_event;
pub mod membership;
pub mod name;
pub mod outcome;
pub mod poison;
pub mod policy;
pub mod prefix;
pub mod relay;
pub mod retry;
pub mod roles;
pub mod route;
pub mod shutdown;
pub mod snapshot;
pub mod splice;
pub mod time;
