//! sequoiastream: a serving system for a fixed fleet of model engines under a shifting prompt-to-output mix.
//!
//! This package combines the other packages into a daemon and a command-line tool. Decisions are made by the state
//! machines of `sequoiastream-core`; [`ops`] translates input into their events and carries out their actions;
//! [`settings`] reads flags and environment variables; [`util`] contains clocks, logging and metrics.

pub mod ops;
pub mod settings;
pub mod util;
