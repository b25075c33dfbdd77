//! What peers said of their work, summed up by engine.
//!
//! A choice looks at every engine; with hundreds of peers it can't ask what each of them said. The sum is kept
//! instead, and changes with each message.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::relay::engine_map::EngineMap;
use crate::relay::engines::EngineKey;
use crate::relay::load_tracker::Work;
use crate::time::Time;

/// What peers said counts for so long: three of their messages may be lost in a row.
const REPORT_TTL: Duration = Duration::from_millis(1_000);

#[derive(Debug, Clone, Default)]
struct Report {
    at: Time,
    work: BTreeMap<EngineKey, Work>,
}

/// The work of all peers that were heard lately.
#[derive(Debug, Clone, Default)]
pub struct PeerWork {
    peers: BTreeMap<String, Report>,
    /// Sum over all in `peers`.
    total: EngineMap<Work>,
    /// No report in `peers` is older.
    oldest: Time,
}

impl PeerWork {
    /// Takes the work that a peer says it has now.
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
        if let Some(before) = self.peers.insert(peer.to_string(), report) {
            self.subtract(&before);
        }
    }

    /// Work of the peers at an engine.
    pub fn work(&self, now: Time, engine: EngineKey) -> Work {
        if !self.is_stale(now, self.oldest) {
            return self.total.get(engine).copied().unwrap_or_default();
        }
        // Until the next message: one report at least may count no more.
        let recent = self.peers.values().filter(|r| !self.is_stale(now, r.at));
        let work = recent.filter_map(|r| r.work.get(&engine));
        work.fold(Work::default(), |sum, work| sum.plus(*work))
    }

    /// Age of the oldest report that still counts, nothing without one.
    pub fn oldest_report_age(&self, now: Time) -> Duration {
        let ages = self.peers.values().map(|r| now.since(r.at));
        ages.filter(|age| *age <= REPORT_TTL).max().unwrap_or_default()
    }

    fn is_stale(&self, now: Time, at: Time) -> bool {
        now.since(at) > REPORT_TTL
    }

    /// Drops reports that count no more.
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
