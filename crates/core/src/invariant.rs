//! Invariants that are checked in release builds.
//!
//! A broken invariant means a fault of ours. It must stop the one action that would break a promise, be seen
//! by operators, and leave the traffic of others alone. So a check returns [`Broken`] to its caller, which
//! drops the action, logs event 900 and counts in `sequoiastream_invariants_broken_total`; nothing panics.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use thiserror::Error;

/// How many invariants this process found broken since its start.
static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// An invariant that doesn't hold; the action that would rest on it must not be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("invariant broken: {rule}")]
pub struct Violation {
    /// What should have held.
    pub rule: &'static str,
}

/// Checks that `holds`, and counts where it doesn't.
///
/// # Errors
///
/// [`Broken`] naming `rule` if `holds` is false.
pub fn check(holds: bool, rule: &'static str) -> Result<(), Violation> {
    if holds {
        return Ok(());
    }
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    Err(Violation { rule })
}

/// How many checks failed since the process started.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}
