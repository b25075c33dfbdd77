//! State that engines report in their answers: that they are leaving, or that they accept no requests for some time.
//!
//! Guards against requests to an engine that has reported to this instance that it accepts none. The store also reports
//! leaving engines, but may be unreachable for seconds or updated late. A notice applies to one incarnation of an
//! engine, regardless of its entry in the store: if the entry expires during an outage of the store, the same engine
//! creates it again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::absence::Absence;
use crate::relay::engines::Incarnation;
use crate::time::Time;

/// State that an engine has reported.
#[derive(Debug, Clone, Copy, Default)]
struct Notice {
    leaving: bool,
    /// Until when it accepts no requests from this instance.
    paused_until: Option<Time>,
    absence: Absence,
}

impl Notice {
    fn is_unavailable(&self, now: Time) -> bool {
        self.leaving || self.paused_until.is_some_and(|until| now < until)
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

    /// Records that an engine accepts no requests for the time `pause`. An earlier pause that ends later stays in
    /// force. Returns whether the engine was not paused before.
    pub fn on_pause(&mut self, now: Time, engine: Incarnation, pause: Duration) -> bool {
        let notice = self.0.entry(engine).or_default();
        let previous = notice
            .paused_until
            .replace(now + pause)
            .filter(|until| now < *until);
        notice.paused_until = notice.paused_until.max(previous);
        previous.is_none()
    }

    /// Whether [`EngineNotices::is_unavailable`] holds for any engine.
    pub fn any_unavailable(&self, now: Time) -> bool {
        self.0.values().any(|notice| notice.is_unavailable(now))
    }

    /// Whether an engine must get no requests from this instance, because it is leaving or paused.
    pub fn is_unavailable(&self, now: Time, engine: Incarnation) -> bool {
        self.0
            .get(&engine)
            .is_some_and(|notice| notice.is_unavailable(now))
    }

    /// The time left until the pause of an engine ends; zero if it is not paused.
    pub fn pause_left(&self, now: Time, engine: Incarnation) -> Duration {
        let until = self.0.get(&engine).and_then(|notice| notice.paused_until);
        until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Removes the notices of engines for which `known` has long returned false, and expired pauses.
    pub fn retain<F>(&mut self, now: Time, known: F)
    where
        F: Fn(Incarnation) -> bool,
    {
        self.0.retain(|engine, notice| {
            let is_retained = notice.absence.update(now, known(*engine));
            notice.is_unavailable(now) && is_retained
        });
    }
}
