//! Work that peers report, summed up by engine.
//!
//! A choice looks at every engine. With hundreds of peers, it can't look up what each of them reported, so the sum is
//! kept and updated with each message.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::engine_map::EngineMap;
use crate::relay::engines::EngineKey;
use crate::relay::load_tracker::Work;
use crate::time::Time;

/// How long a peer's report is used: three of its messages in a row may be lost.
const REPORT_TTL: Duration = Duration::from_millis(1_000);

#[derive(Debug, Clone, Default)]
struct Report {
    at: Time,
    work: BTreeMap<EngineKey, Work>,
}

/// Work of all peers with a recent report.
#[derive(Debug, Clone, Default)]
pub struct PeerWork {
    peers: BTreeMap<String, Report>,
    /// Sum of all reports in `peers`.
    total: EngineMap<Work>,
    /// Lower bound of the times of the reports in `peers`.
    oldest: Time,
}

impl PeerWork {
    /// Replaces the work that a peer reported earlier.
    pub fn on_peer_report(&mut self, now: Time, peer: &str, work: BTreeMap<EngineKey, Work>) {
        if self.is_stale(now, self.oldest) {
            self.expire(now);
        }
        if self.peers.is_empty() {
            self.oldest = now;
        }
        for (engine, work) in &work {
            let total = self.total.get_or_default(*engine);
            *total = total.plus(*work);
        }
        let report = Report { at: now, work };
        if let Some(previous) = self.peers.insert(peer.to_string(), report) {
            self.subtract(&previous);
        }
    }

    /// Returns the work of the peers at an engine.
    pub fn work(&self, now: Time, engine: EngineKey) -> Work {
        if !self.is_stale(now, self.oldest) {
            return self.total.get(engine).copied().unwrap_or_default();
        }
        // At least one report may be outdated, and the sum is not corrected until the next message.
        let recent = self.peers.values().filter(|r| !self.is_stale(now, r.at));
        let work = recent.filter_map(|r| r.work.get(&engine));
        work.fold(Work::default(), |sum, work| sum.plus(*work))
    }

    /// Returns the age of the oldest report that is still in use, zero if there is none.
    pub fn oldest_report_age(&self, now: Time) -> Duration {
        let ages = self.peers.values().map(|r| now.since(r.at));
        ages.filter(|age| *age <= REPORT_TTL).max().unwrap_or_default()
    }

    fn is_stale(&self, now: Time, at: Time) -> bool {
        now.since(at) > REPORT_TTL
    }

    /// Removes outdated reports.
    fn expire(&mut self, now: Time) {
        let (stale, recent): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.peers)
            .into_iter()
            .partition(|(_, report)| now.since(report.at) > REPORT_TTL);
        self.peers = recent;
        for report in stale.values() {
            self.subtract(report);
        }
        let oldest = self.peers.values().map(|report| report.at).min();
        self.oldest = oldest.unwrap_or(now);
    }

    fn subtract(&mut self, report: &Report) {
        for (engine, work) in &report.work {
            let total = self.total.get_or_default(*engine);
            *total = total.minus(*work);
        }
    }
}
