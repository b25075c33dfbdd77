//! Integration tests, a module per feature.
//!
//! Tests of failures run real processes; tests of decisions drive `sequoiastream-core` directly. Nothing here
//! sleeps to let something happen: tests wait on events.

mod authority;
mod claims;
mod cli;
mod config;
mod grammar;
mod log_events;
mod path;
mod peer;
mod platform;
mod poison;
mod streams;
mod support;
mod upstream;
