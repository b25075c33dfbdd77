//! At-most-once execution: claims on requests that are not idempotent.

pub mod client;
mod entry;
mod faults;
pub mod machines;
mod orders;
mod owner;
mod path;
mod rules;
mod upstreams;
