//! Integration tests, a module per feature.
//!
//! Tests of failures run real processes; tests of decisions drive `sequoiastream-core` directly. Nothing here
//! sleeps to let something happen: tests wait on events.

mod cli;
mod config;
mod config_keeper;
mod config_run;
mod grammar;
mod log_events;
mod path;
mod peer;
mod support;
mod upstream;
