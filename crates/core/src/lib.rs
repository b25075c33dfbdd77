//! Decisions of sequoiastream as state machines without input or output.
//!
//! Nothing in this package opens a socket, reads a clock, starts a thread, sleeps or draws unseeded
//! random numbers. A decision has the shape `fn on(&mut self, now: Time, event: Event) -> Vec<Action>`:
//! the processes at the edges turn input into events and actions into output. The same code therefore runs in
//! the daemon, in a bench and in a seeded test, and a failure replays from its seed.
//!
//! Invariants are checked here in release builds too, see [`invariant`].

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
