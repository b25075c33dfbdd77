//! Counts the open connections, and says when they are to be closed after an answer.
//!
//! Guards against an instance that has no descriptors left: callers that were refused return on new connections and leave
//! the old ones open, until the instance can accept none and requests on new ones stay unanswered.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use rustix::process::Resource;
use rustix::process::getrlimit;

/// Fraction of the descriptors that callers' connections may take before they are closed after each answer. The rest is for
/// those on which an answer is awaited, and for connections to engines.
const KEPT_PART: f64 = 0.5;

/// The connections of an instance's servers.
#[derive(Debug, Clone)]
pub(super) struct Connections {
    open: Arc<AtomicUsize>,
    /// Number beyond which connections are closed after an answer.
    max_kept: usize,
}

/// Counts one connection as open until dropped.
#[derive(Debug)]
pub(super) struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Connections {
    /// No connections, in a process that may have this many descriptors open according to its settings.
    pub(super) fn new(descriptors: Option<u64>) -> Connections {
        let limits = [descriptors, getrlimit(Resource::Nofile).current];
        let max = limits.into_iter().flatten().min();
        let max_kept = max.map_or(usize::MAX, |max| (max as f64 * KEPT_PART) as usize);
        Connections {
            open: Arc::default(),
            max_kept,
        }
    }

    /// Counts a connection that was accepted.
    pub(super) fn accept(&self) -> OpenConnection {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenConnection(self.open.clone())
    }

    /// Whether so many are open that each is to be closed after its next answer.
    pub(super) fn are_many(&self) -> bool {
        self.open.load(Ordering::Relaxed) > self.max_kept
    }
}
