//! Forwards requests unchanged, by routes that operators configure.
//!
//! A route maps a host and a path prefix to services. [`routes`] looks it up, [`engines`] tracks the engines of each
//! service, [`place`] picks an engine, [`attempt`](crate::attempt) decides what the end of an attempt proves and
//! whether another may follow, [`budget`] limits extra attempts over the whole fleet, [`stages`] splits the engines of
//! a service into those that process prompts and those that generate, and [`suspects`] detects requests that crash
//! engines.

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
