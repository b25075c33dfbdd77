//! What the daemon and the command-line tool do.
//!
//! [`daemon`] starts the parts: [`control`] on a thread of its own, [`dispatch`] on each traffic thread,
//! [`exchange`] around each HTTP exchange, and
//! [`shared`] between them. [`relay`] forwards requests unchanged, by routes. [`client`] is what the command-line tool uses, and [`explain`] reads logs for it.

pub mod client;
pub mod control;
pub mod daemon;
pub mod dispatch;
pub mod exchange;
pub mod explain;
pub mod policy;
pub mod relay;
pub mod shared;
pub mod stops;
pub mod tables;
