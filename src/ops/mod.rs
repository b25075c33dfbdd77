//! Operations of the daemon and the command-line tool.
//!
//! [`daemon`] starts the components: [`control`] on its own thread, [`dispatch`] on each traffic thread, and
//! [`exchange`] as middleware around each HTTP exchange. [`shared`] is the state that the threads share.
//! [`relay`] forwards requests unchanged according to routes. The command-line tool uses [`client`] to send
//! statements to an instance, and [`explain`] to find the history of a request in logs.

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
