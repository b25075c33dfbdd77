//! Forwarding requests unchanged, by routes that operators configure.
//!
//! A route leads from a host and a path prefix to services. [`routes`] finds it, [`engines`] knows who serves,
//! [`placement`] picks an engine, [`attempt`](crate::attempt) says what its end proves and whether another may follow,
//! [`budget`] bounds how often that happens over the whole fleet, [`stages`] splits a service into engines that read
//! prompts and engines that generate, and [`suspects`] knows requests that crash engines.

pub mod budget;
pub mod cached_parts;
pub mod digest;
pub mod directory;
pub mod engine_map;
pub mod engines;
pub mod hash;
pub mod lead;
pub mod load_tracker;
pub mod peer_work;
pub mod placement;
pub mod prefill_time;
pub mod prompt;
pub mod records;
pub mod routes;
pub mod scale;
pub mod stages;
pub mod suspects;
pub mod truth;
pub mod usage;
pub mod watchers;
pub mod workspaces;
