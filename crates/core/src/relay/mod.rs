//! Forwarding requests unchanged, by routes that operators configure.
//!
//! A route leads from a host and a path prefix to services. [`routes`] finds it, [`engines`] knows who serves,
//! [`place`] picks an engine, [`verdict`] says what the end of an attempt proves and whether another may follow,
//! and [`budget`] bounds how often that happens over the whole fleet.

pub mod book;
pub mod budget;
pub mod digest;
pub mod engines;
pub mod place;
pub mod prompt;
pub mod routes;
pub mod stages;
pub mod verdict;
