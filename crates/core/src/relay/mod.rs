//! Forwards requests unchanged, by routes that operators configure.
//!
//! A route maps a host and a path prefix to services. [`routes`] looks it up, [`engines`] tracks the engines of each
//! service, [`placement`] picks an engine, [`attempt`](crate::attempt) decides what the end of an attempt proves and
//! whether another may follow, [`budget`] limits extra attempts over the whole fleet, which
//! [`arrivals`] counts, [`hedging`] sends slow requests to a second engine, [`streams`] knows which
//! version of the engines began each stream, and [`stages`] splits the
//! engines of a service into those that process prompts and those that generate. [`workspace_shares`] shares the engines
//! between workspaces, and [`fairness`] between kinds of requests and sizes of prompts. Requests that crash engines are
//! detected by [`poison::suspects`](crate::poison::suspects).

pub mod absence;
pub mod arrivals;
pub mod budget;
pub mod cached_parts;
pub mod connections;
pub mod decaying_sum;
pub mod directory;
pub mod engine_map;
pub mod engines;
pub mod event_pace;
pub mod fairness;
pub mod hash;
pub mod hedging;
pub mod interval_spread;
pub mod leader_lease;
pub mod limit_report;
pub mod limit_share;
pub mod load_message;
pub mod load_tracker;
pub mod notices;
pub mod pace_reports;
pub mod peer_work;
pub mod placement;
pub mod prefill_time;
pub mod prompt;
pub mod rank;
pub mod rate_limits;
pub mod reachability;
pub mod records;
pub mod return_schedule;
pub mod revision;
pub mod routes;
pub mod scale;
pub mod scale_need;
pub mod scale_target;
pub mod service_time;
pub mod stages;
pub mod stream_lengths;
pub mod stream_needs;
pub mod streams;
pub mod token_bucket;
pub mod true_time;
pub mod tunnel_peers;
pub mod usage;
pub mod version_history;
pub mod watchers;
pub mod workspace_shares;
pub mod workspace_use;
pub mod workspaces;
