//! sequoiastream: a serving system for a fixed fleet of model engines under a shifting prompt-to-output mix.
//!
//! This package puts the others together into a daemon and a command-line tool. Decisions live in
//! `sequoiastream-core`; [`ops`] turns input into their events and their actions into output; [`settings`]
//! reads flags and environment variables; [`util`] holds what has no better place.

pub mod ops;
pub mod settings;
pub mod util;
