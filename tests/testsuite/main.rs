//! Integration tests, a module per feature.
//!
//! Tests of failures run real processes; tests of decisions drive `sequoiastream-core` directly. Nothing here
//! sleeps to let something happen: tests wait on events.

mod answers;
mod attempts;
mod authority;
mod callers;
mod channel;
mod ci;
mod claims;
mod cli;
mod config;
mod config_fleet;
mod config_keeper;
mod config_run;
mod delivery;
mod explain;
mod grammar;
mod log_events;
mod membership;
mod metrics;
mod outcomes;
mod path;
mod peer;
mod peer_tunnel;
mod plain_cuts;
mod platform;
mod poison;
mod policy;
mod promises;
mod relay;
mod shutdown;
mod streams;
mod support;
mod suspects;
mod together;
mod upstream;
mod whole;
