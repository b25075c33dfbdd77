//! Limits on the requests per second that engines accept from all instances together, as they report them in answers.
//!
//! A limit applies to one incarnation of an engine, regardless of its entry in the store, until the engine answers
//! without reporting one. Each instance keeps to its share of the limit.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::absence::Absence;
use crate::relay::engine_map::EngineMap;
use crate::relay::engines::Engine;
use crate::relay::engines::EngineKey;
use crate::relay::engines::Incarnation;
use crate::relay::limit_report::LimitReport;
use crate::relay::limit_report::PeerLimitReport;
use crate::relay::limit_report::RequestRate;
use crate::relay::limit_share::FleetPosition;
use crate::relay::token_bucket::TokenBucket;
use crate::time::Time;

/// How long the end of a limit is kept, so that earlier reports of the limit are recognized as such.
const END_RETENTION: Duration = Duration::from_secs(30);

/// How long an instance without a share sends no requests after the last report of the limit. It gets no answers that
/// could tell that the limit has ended.
const UNCONFIRMED_TIME: Duration = Duration::from_secs(30);

/// How long an instance passes a report on to its peers: those that get no answers from the engine learn of it only
/// from them. In a fleet of a thousand instances, messages reach all of them within two seconds.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// How long a changed report is passed on in every turn, so that several messages reach each peer even if some are
/// lost.
const NEWS_TIME: Duration = Duration::from_secs(2);

/// A report that has not changed for [`NEWS_TIME`] is passed on once in this many turns.
const REPEAT_TURNS: u32 = 4;

/// Time constant of the mean number of requests per second that is sent to an engine.
const MEAN_TIME: Duration = Duration::from_secs(1);

/// A change of the limit of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The limit before.
    pub before: Option<RequestRate>,
    /// The limit that applies now.
    pub after: Option<RequestRate>,
    /// Requests per second that this instance may send; zero without a limit.
    pub share: f64,
}

#[derive(Debug, Clone, Copy)]
struct EngineLimit {
    report: LimitReport,
    bucket: TokenBucket,
    /// Requests per second that this instance may send.
    share: f64,
    /// When the limit last changed here.
    changed: Time,
    /// When this instance last received the report from the engine itself.
    own_at: Option<Time>,
    absence: Absence,
}

impl EngineLimit {
    /// Whether the limit is in force at this instance.
    fn is_active(&self, now: Time) -> bool {
        let is_confirmed = self.share > 0.0 || now.since(self.report.received) < UNCONFIRMED_TIME;
        self.report.limit.is_some() && is_confirmed
    }

    fn is_long_ended(&self, now: Time) -> bool {
        self.report.limit.is_none() && now.since(self.report.received) >= END_RETENTION
    }
}

/// Mean number of requests per second that this instance sends to an engine.
#[derive(Debug, Clone, Copy, Default)]
struct SendRate {
    updated: Time,
    mean: f64,
}

impl SendRate {
    fn at(&self, now: Time) -> f64 {
        let passed = now.since(self.updated).as_secs_f64();
        self.mean * (-passed / MEAN_TIME.as_secs_f64()).exp()
    }

    fn on_send(&mut self, now: Time) {
        self.mean = self.at(now) + 1.0;
        self.updated = now;
    }
}

/// The limits of all engines that have reported one, and how much of them this instance uses.
#[derive(Debug, Clone, Default)]
pub struct RateLimits {
    limits: BTreeMap<Incarnation, EngineLimit>,
    position: FleetPosition,
    sent: EngineMap<SendRate>,
}

impl RateLimits {
    /// No limits.
    pub fn new() -> RateLimits {
        RateLimits::default()
    }

    /// Sets the position of this instance in the fleet, on which its shares depend.
    pub fn set_position(&mut self, position: FleetPosition) {
        if self.position == position {
            return;
        }
        self.position = position;
        for (engine, known) in &mut self.limits {
            known.share = share(position, *engine, known.report.limit);
        }
    }

    /// Records what an engine reported in an answer to this instance. Returns the change, if the limit that applies
    /// changed.
    pub fn on_answer(&mut self, engine: &Engine, report: LimitReport) -> Option<LimitChange> {
        let incarnation = engine.incarnation();
        let change = self.apply(report.received, incarnation, Some(engine.key), report);
        let known = self.limits.get_mut(&incarnation);
        // The end of a limit is passed on once; answers without one go on for ever.
        let is_news = |known: &&mut EngineLimit| known.report.limit == report.limit && report.limit.is_some();
        if let Some(known) = known.filter(|known| change.is_some() || is_news(known)) {
            known.own_at = Some(report.received);
        }
        change
    }

    /// Records what an engine reported to a peer. `key` is that of the engine, if it is known here. Returns the change,
    /// if the limit that applies changed.
    pub fn on_peer_report(
        &mut self,
        now: Time,
        key: Option<EngineKey>,
        report: &PeerLimitReport,
    ) -> Option<LimitChange> {
        self.apply(now, report.incarnation(), key, report.report(now))
    }

    /// The reports that engines recently made to this instance, for the peers that get a message in this turn.
    pub fn peer_reports(&self, now: Time, turn: u32) -> Vec<PeerLimitReport> {
        let is_due = |known: &EngineLimit| {
            let is_recent = known.own_at.is_some_and(|at| now.since(at) < REPORT_TIME);
            let is_new = now.since(known.changed) < NEWS_TIME;
            is_recent && (is_new || turn.is_multiple_of(REPEAT_TURNS))
        };
        let due = self.limits.iter().filter(|(_, known)| is_due(known));
        due.map(|(engine, known)| PeerLimitReport::new(now, *engine, known.report))
            .collect()
    }

    fn apply(
        &mut self,
        now: Time,
        engine: Incarnation,
        key: Option<EngineKey>,
        report: LimitReport,
    ) -> Option<LimitChange> {
        let known = self.limits.get(&engine).copied();
        let before = known.and_then(|known| known.report.limit);
        // Most engines never report a limit; nothing is kept of them.
        if before == report.limit {
            if let Some(known) = self.limits.get_mut(&engine).filter(|_| before.is_some()) {
                known.report = known.report.confirmed_by(&report);
            }
            return None;
        }
        if known.is_some_and(|known| !report.supersedes(&known.report)) {
            return None;
        }
        let sent = key
            .and_then(|key| self.sent.get(key))
            .map_or(0.0, |sent| sent.at(now));
        let share = share(self.position, engine, report.limit);
        let mut bucket = match (known, before) {
            (Some(known), Some(_)) => known.bucket,
            _ => TokenBucket::empty(now),
        };
        let is_lower = before.is_none_or(|before| report.limit.is_some_and(|limit| limit < before));
        if is_lower {
            bucket.charge_excess(now, share, sent);
        }
        let absence = known.map_or_else(Absence::default, |known| known.absence);
        let limit = EngineLimit {
            report,
            bucket,
            share,
            changed: now,
            own_at: None,
            absence,
        };
        self.limits.insert(engine, limit);
        Some(LimitChange {
            before,
            after: report.limit,
            share,
        })
    }

    /// Records a request or call that is sent to an engine.
    pub fn on_send(&mut self, now: Time, engine: &Engine) {
        self.sent.get_or_default(engine.key).on_send(now);
        let known = self.limits.get_mut(&engine.incarnation());
        if let Some(known) = known.filter(|known| known.is_active(now)) {
            known.bucket.take(now, known.share);
        }
    }

    /// Whether any engine limits its requests.
    pub fn any(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Whether an engine may be sent a request.
    pub fn has_room(&self, now: Time, engine: Incarnation) -> bool {
        let known = self.active(now, engine);
        known.is_none_or(|known| known.bucket.has_token(now, known.share))
    }

    /// Requests per second that this instance may send to an engine, and the time until it may send the next one, which
    /// is `None` if it may send none; `None` if the engine has no limit.
    pub fn wait(&self, now: Time, engine: Incarnation) -> Option<(f64, Option<Duration>)> {
        let known = self.active(now, engine)?;
        Some((known.share, known.bucket.time_to_token(now, known.share)))
    }

    /// Time until an engine may be sent a call that can't be refused, such as an order; `None` if this instance may
    /// send it none.
    pub fn call_delay(&self, now: Time, engine: Incarnation) -> Option<Duration> {
        match self.active(now, engine) {
            Some(known) => known.bucket.time_to_advance(now, known.share),
            None => Some(Duration::ZERO),
        }
    }

    /// The limit of an engine, if it has one.
    pub fn limit(&self, engine: Incarnation) -> Option<RequestRate> {
        self.limits.get(&engine)?.report.limit
    }

    /// Number of engines with a limit.
    pub fn count(&self) -> usize {
        self.limits.values().filter(|l| l.report.limit.is_some()).count()
    }

    /// Removes the limits of engines for which `known` has long returned false, and those that ended
    /// [`END_RETENTION`] ago.
    pub fn retain<F>(&mut self, now: Time, known: F)
    where
        F: Fn(Incarnation) -> bool,
    {
        self.limits.retain(|engine, limit| {
            let is_retained = limit.absence.update(now, known(*engine));
            is_retained && !limit.is_long_ended(now)
        });
    }

    fn active(&self, now: Time, engine: Incarnation) -> Option<&EngineLimit> {
        self.limits.get(&engine).filter(|known| known.is_active(now))
    }
}

fn share(position: FleetPosition, engine: Incarnation, limit: Option<RequestRate>) -> f64 {
    limit.map_or(0.0, |limit| position.share(limit, engine.id))
}
