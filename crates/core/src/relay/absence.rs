//! How long what an engine reported is kept after its entry in the store is gone.

use std::time::Duration;

use crate::time::Time;

/// How long reports are kept after their engine is no longer known: the engine may register again.
const ABSENCE_RETENTION: Duration = Duration::from_secs(600);

/// Since when an engine is no longer known, if it is not.
#[derive(Debug, Clone, Copy, Default)]
pub struct Absence(Option<Time>);

impl Absence {
    /// Records whether the engine is known at `now`. Returns whether its reports are kept.
    pub fn update(&mut self, now: Time, is_known: bool) -> bool {
        self.0 = match is_known {
            true => None,
            false => self.0.or(Some(now)),
        };
        self.0.is_none_or(|at| now.since(at) < ABSENCE_RETENTION)
    }
}
