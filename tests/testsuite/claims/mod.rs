//! At most once: claims on requests that may not be repeated.

mod client;
mod faults;
mod machines;
mod path;
mod rules;
mod upstreams;
