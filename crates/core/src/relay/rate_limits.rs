//! Limits on the requests per second that engines accept from all instances together, as they report them in answers.
//!
//! A limit applies to one incarnation of an engine, regardless of its entry in the store, until the engine answers
//! without reporting one.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::engines::Incarnation;
use crate::relay::limit_report::LimitReport;
use crate::relay::limit_report::RequestRate;
use crate::time::Time;

/// How long a limit is kept after its engine is no longer known: the engine may register again.
const ABSENCE_RETENTION: Duration = Duration::from_secs(600);

/// How long the end of a limit is kept, so that earlier reports of the limit are recognized as such.
const END_RETENTION: Duration = Duration::from_secs(30);

/// A change of the limit of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// The limit before.
    pub before: Option<RequestRate>,
    /// The limit that applies now.
    pub after: Option<RequestRate>,
}

#[derive(Debug, Clone, Copy)]
struct EngineLimit {
    report: LimitReport,
    /// When the engine was found to be no longer known.
    absent_since: Option<Time>,
}

impl EngineLimit {
    fn is_retained(&self, now: Time) -> bool {
        let is_ended = self.report.limit.is_none() && now.since(self.report.received) >= END_RETENTION;
        let is_gone = self
            .absent_since
            .is_some_and(|at| now.since(at) >= ABSENCE_RETENTION);
        !is_ended && !is_gone
    }
}

/// The limits of all engines that have reported one.
#[derive(Debug, Clone, Default)]
pub struct RateLimits {
    limits: BTreeMap<Incarnation, EngineLimit>,
}

impl RateLimits {
    /// No limits.
    pub fn new() -> RateLimits {
        RateLimits::default()
    }

    /// Records what an engine reported in an answer to this instance. Returns the change, if the limit that applies
    /// changed.
    pub fn on_answer(&mut self, engine: Incarnation, report: LimitReport) -> Option<LimitChange> {
        let Some(known) = self.limits.get_mut(&engine) else {
            // Most engines never report a limit; nothing is kept of them.
            report.limit?;
            self.limits.insert(
                engine,
                EngineLimit {
                    report,
                    absent_since: None,
                },
            );
            return Some(LimitChange {
                before: None,
                after: report.limit,
            });
        };
        let before = known.report.limit;
        if before == report.limit {
            if before.is_some() {
                known.report = known.report.confirmed_by(&report);
            }
            return None;
        }
        if !report.supersedes(&known.report) {
            return None;
        }
        known.report = report;
        Some(LimitChange {
            before,
            after: report.limit,
        })
    }

    /// The limit of an engine, if it has one.
    pub fn limit(&self, engine: Incarnation) -> Option<RequestRate> {
        self.limits.get(&engine)?.report.limit
    }

    /// Number of engines with a limit.
    pub fn count(&self) -> usize {
        self.limits.values().filter(|l| l.report.limit.is_some()).count()
    }

    /// Removes the limits of engines for which `known` has returned false for [`ABSENCE_RETENTION`], and those that
    /// ended [`END_RETENTION`] ago.
    pub fn retain<F>(&mut self, now: Time, known: F)
    where
        F: Fn(Incarnation) -> bool,
    {
        self.limits.retain(|engine, limit| {
            limit.absent_since = match known(*engine) {
                true => None,
                false => limit.absent_since.or(Some(now)),
            };
            limit.is_retained(now)
        });
    }
}
