//! State that engines report in their answers: that they are leaving.
//!
//! Guards against requests to an engine that has reported to this instance that it accepts none. The store also reports
//! leaving engines, but may be unreachable for seconds or updated late. A notice applies to one incarnation of an
//! engine, regardless of its entry in the store: if the entry expires during an outage of the store, the same engine
//! creates it again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::engines::Incarnation;
use crate::time::Time;

/// How long a notice is kept after its engine is no longer known: the engine may register again.
const ABSENCE_RETENTION: Duration = Duration::from_secs(600);

/// State that an engine has reported.
#[derive(Debug, Clone, Copy, Default)]
struct Notice {
    leaving: bool,
    /// When the engine was found to be no longer known.
    absent_since: Option<Time>,
}

impl Notice {
    fn is_unavailable(&self) -> bool {
        self.leaving
    }
}

/// State that engines have reported to this instance, by incarnation.
#[derive(Debug, Clone, Default)]
pub struct EngineNotices(BTreeMap<Incarnation, Notice>);

impl EngineNotices {
    /// No notices.
    pub fn new() -> EngineNotices {
        EngineNotices::default()
    }

    /// Records that an engine is leaving. Returns whether this was not known before.
    pub fn on_leaving(&mut self, engine: Incarnation) -> bool {
        let notice = self.0.entry(engine).or_default();
        !std::mem::replace(&mut notice.leaving, true)
    }

    /// Whether [`EngineNotices::is_unavailable`] holds for any engine.
    pub fn any_unavailable(&self) -> bool {
        self.0.values().any(Notice::is_unavailable)
    }

    /// Whether an engine must get no requests from this instance, because it is leaving.
    pub fn is_unavailable(&self, engine: Incarnation) -> bool {
        self.0.get(&engine).is_some_and(Notice::is_unavailable)
    }

    /// Removes the notices of engines for which `known` has returned false for [`ABSENCE_RETENTION`].
    pub fn retain<F>(&mut self, now: Time, known: F)
    where
        F: Fn(Incarnation) -> bool,
    {
        self.0.retain(|engine, notice| {
            notice.absent_since = match known(*engine) {
                true => None,
                false => notice.absent_since.or(Some(now)),
            };
            let is_retained = notice
                .absent_since
                .is_none_or(|at| now.since(at) < ABSENCE_RETENTION);
            notice.is_unavailable() && is_retained
        });
    }
}
