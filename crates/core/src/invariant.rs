//! Invariants that are checked in release builds as well.
//!
//! A violated invariant means a bug in this project. The violation must stop the one action that would break a
//! guarantee, be visible to operators, and leave all other traffic alone. Therefore a check returns [`Violation`] to
//! its caller, which drops the action, logs event 900 and counts in `sequoiastream_invariants_broken_total`; nothing
//! panics.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use thiserror::Error;

/// Number of violations found since the process started.
static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// An invariant that doesn't hold; the action that relies on it must not be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("invariant broken: {rule}")]
pub struct Violation {
    /// The condition that should have held.
    pub rule: &'static str,
}

/// Checks an invariant, and counts a violation if `holds` is false.
///
/// # Errors
///
/// Returns a [`Violation`] of `rule` if `holds` is false.
pub fn check(holds: bool, rule: &'static str) -> Result<(), Violation> {
    if holds {
        return Ok(());
    }
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    Err(Violation { rule })
}

/// Returns the number of checks that have failed since the process started.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}
