//! Reports to the cloud API, for all instances, how many requests of each workspace engines began, as counted by
//! [`sequoiastream_core::relay::usage`].

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sequoiastream_core::log_event;
use sequoiastream_core::relay::revision::Revision;
use sequoiastream_core::relay::usage::DecidedReports;
use sequoiastream_core::relay::usage::Report;
use sequoiastream_core::relay::usage::Window;
use sequoiastream_kv::store::Put;
use sequoiastream_kv::store::Store;
use sequoiastream_kv::store::StoreError;
use sequoiastream_kv::store::Write;

use crate::log_event;
use crate::ops::relay::cloud::CloudClient;
use crate::ops::relay::peers::Fleet;
use crate::ops::relay::shared::Shared;
use crate::util::clock;

/// Time between two checks for windows to report.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long after its end a window is decided: by then all instances have sent their counts, even if two messages of an
/// instance were lost.
const DECISION_DELAY: Duration = Duration::from_millis(1_800);

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Maximum number of reports that are kept while the platform does not accept them.
const MAX_OPEN_REPORTS: usize = 12;

/// The decided reports, the revision of their record in the store, zero if there is none, and the windows that were
/// accepted since the record was written.
#[derive(Debug, Clone)]
struct ReportState {
    decided: DecidedReports,
    revision: Revision,
    accepted: Vec<Window>,
}

impl ReportState {
    /// What was decided, without the reports that the platform has accepted.
    fn remaining(&self) -> DecidedReports {
        let DecidedReports { next, open } = &self.decided;
        let open = open.iter().filter(|r| !self.accepted.contains(&r.window));
        DecidedReports {
            next: *next,
            open: open.cloned().collect(),
        }
    }
}

/// Reports windows while this instance is the leader.
pub async fn run(
    shared: Arc<Shared>,
    store: Rc<dyn Store>,
    fleet: Fleet,
    cloud: CloudClient,
    length: Duration,
) {
    let mut reporter = Reporter {
        shared,
        store,
        fleet,
        cloud,
        length,
        state: None,
        last: None,
    };
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !reporter.cloud.is_leader() {
            reporter.state = None;
            continue;
        }
        if let Err(error) = reporter.step().await {
            log_event!(info, log_event::KV_FAILED, %error, call = "usage");
            reporter.state = None;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

struct Reporter {
    shared: Arc<Shared>,
    store: Rc<dyn Store>,
    fleet: Fleet,
    cloud: CloudClient,
    length: Duration,
    state: Option<ReportState>,
    /// What this process decided last, less what the platform has accepted.
    last: Option<DecidedReports>,
}

impl Reporter {
    async fn step(&mut self) -> Result<(), StoreError> {
        let mut state = match self.state.take() {
            Some(state) => state,
            None => self.read().await?,
        };
        let (next, reports) = self.due(state.decided.next);
        match reports.is_empty() {
            true => state.decided.next = next,
            false => self.decide(&mut state, next, reports).await?,
        }
        self.send(&mut state).await;
        self.last = Some(state.remaining());
        self.state = Some(state);
        Ok(())
    }

    /// Reads what earlier leaders decided. If there is no record, the windows before the first count are not reported.
    ///
    /// Guards against reporting a window again because the store was restored from a copy with an earlier record: what this
    /// process decided later still holds, and no window is decided that peers know as decided.
    async fn read(&self) -> Result<ReportState, StoreError> {
        let key = &self.shared.translate.keys().usage;
        let page = self.store.range(key, "").await?;
        let item = page.items.into_iter().find(|item| item.key == *key);
        let (decided, revision) = match item {
            Some(item) => {
                let decided = serde_json::from_slice(&item.value);
                let decided = decided.map_err(|e| StoreError::Unreadable(e.to_string()))?;
                (decided, item.revision)
            }
            None => (DecidedReports::starting_at(Window(0)), Revision::ZERO),
        };
        let last = self.last.clone().filter(|last| last.next > decided.next);
        let mut decided = last.unwrap_or(decided);
        decided.next = decided.next.max(self.fleet.decided_until());
        Ok(ReportState {
            decided,
            revision,
            accepted: Vec::new(),
        })
    }

    /// The reports of the windows from `next` on that are over, and the first window that isn't.
    fn due(&self, next: Window) -> (Window, Vec<Report>) {
        let now = self.shared.true_micros(clock::now());
        let delay = u64::try_from(DECISION_DELAY.as_micros()).unwrap_or(u64::MAX);
        let current = Window::at(now.saturating_sub(delay), self.length);
        let Some(first) = self.fleet.first_counted_window() else {
            return (next, Vec::new());
        };
        let mut reports = Vec::new();
        let mut window = next.max(first);
        while window < current {
            let counts = self.fleet.total_counts(window);
            if !counts.is_empty() {
                let body = self.shared.translate.usage(window, &counts);
                reports.push(Report { window, body });
            }
            window = window.next();
        }
        (next.max(window), reports)
    }

    /// Writes the reports to the store, before any of them is sent.
    async fn decide(
        &self,
        state: &mut ReportState,
        next: Window,
        reports: Vec<Report>,
    ) -> Result<(), StoreError> {
        let windows: Vec<u64> = reports.iter().map(|r| r.window.0).collect();
        let decided = state
            .decided
            .advance(next, reports, &state.accepted, MAX_OPEN_REPORTS);
        let value = serde_json::to_vec(&decided).map_err(|e| StoreError::Unreadable(e.to_string()))?;
        let put = Put {
            key: self.shared.translate.keys().usage.clone(),
            value: Bytes::from(value),
            lease: None,
        };
        let write = Write::conditional(put, state.revision);
        // If the answer is lost, everything is read again: the store then holds what was decided.
        state.revision = self.store.write(write).await?;
        state.decided = decided;
        state.accepted.clear();
        self.fleet.on_decided(next);
        log_event!(
            info,
            log_event::USAGE_DECIDED,
            ?windows,
            revision = %state.revision
        );
        Ok(())
    }

    async fn send(&self, state: &mut ReportState) {
        let open = state.decided.open.iter();
        let open: Vec<Report> = open
            .filter(|r| !state.accepted.contains(&r.window))
            .cloned()
            .collect();
        for report in open {
            let window = report.window.0;
            match self
                .cloud
                .post(&self.shared.translate.paths().usage, report.body)
                .await
            {
                Ok(()) => {
                    log_event!(info, log_event::USAGE_SENT, window);
                    state.accepted.push(report.window);
                }
                Err(error) => {
                    log_event!(info, log_event::CLOUD_FAILED, %error, call = "usage", window);
                    tokio::time::sleep(RETRY_DELAY).await;
                    return;
                }
            }
        }
    }
}
