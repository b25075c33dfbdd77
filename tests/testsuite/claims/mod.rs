//! At most once: claims on requests that may not be repeated.

pub mod client;
mod entry;
mod faults;
pub mod machines;
mod orders;
mod owner;
mod path;
mod rules;
mod upstreams;
