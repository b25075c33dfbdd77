//! Forwarding requests unchanged, by routes that operators configure.
//!
//! A route leads from a host and a path prefix to services. [`routes`] finds it, [`engines`] knows who serves,
//! [`place`] picks an engine, [`attempt`](crate::attempt) says what its end proves and whether another may follow,
//! [`budget`] bounds how often that happens over the whole fleet, [`stages`] splits a service into engines that read
//! prompts and engines that generate, and [`suspects`] knows requests that crash engines.

pub mod book;
pub mod budget;
pub mod by_engine;
pub mod directory;
pub mod engines;
pub mod hash;
pub mod leader_lease;
pub mod load_message;
pub mod pace;
pub mod parts;
pub mod place;
pub mod prompt;
pub mod records;
pub mod routes;
pub mod scale;
pub mod stages;
pub mod suspects;
pub mod told;
pub mod true_time;
pub mod usage;
pub mod watchers;
pub mod workspaces;
