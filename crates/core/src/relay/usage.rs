//! Counts the requests of each workspace that engines began, by window of true time.
//!
//! Each instance counts its own requests and sends its running counts to a few others, so that an instance that is
//! killed loses only what it had not sent. The instance that reports sums them up.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Windows that are kept: reports may be delayed for as long as the platform is unavailable.
const MAX_WINDOWS: usize = 12;

/// A window of true time, counted from the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Window(pub u64);

impl Window {
    /// The window of length `length` that contains `micros`, in microseconds since the epoch.
    pub fn at(micros: u64, length: Duration) -> Window {
        Window(micros / Window::micros(length))
    }

    /// When it ends, in microseconds since the epoch.
    pub fn end(self, length: Duration) -> u64 {
        (self.0 + 1).saturating_mul(Window::micros(length))
    }

    /// The window after it.
    pub fn next(self) -> Window {
        Window(self.0 + 1)
    }

    fn micros(length: Duration) -> u64 {
        u64::try_from(length.as_micros()).unwrap_or(u64::MAX).max(1)
    }
}

/// Requests by workspace.
pub type Counts = BTreeMap<String, u64>;

/// Counts by window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally(BTreeMap<Window, Counts>);

impl Tally {
    /// Counts a request that an engine began in a window.
    pub fn on_begun(&mut self, window: Window, workspace: &str) {
        let counts = self.0.entry(window).or_default();
        match counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                counts.insert(workspace.to_string(), 1);
            }
        }
        while self.0.len() > MAX_WINDOWS {
            self.0.pop_first();
        }
    }

    /// The counts of `first` and all later windows.
    pub fn since(&self, first: Window) -> Tally {
        Tally(self.0.range(first..).map(|(w, c)| (*w, c.clone())).collect())
    }

    /// The same counts in parts of at most `max` workspaces of one window each: the size of a message is limited.
    pub fn chunks(&self, max: usize) -> Vec<Tally> {
        let windows = self.0.iter().flat_map(|(window, counts)| {
            let all: Vec<(&String, &u64)> = counts.iter().collect();
            let parts = all.chunks(max.max(1)).map(|part| {
                let counts: Counts = part
                    .iter()
                    .map(|(name, count)| ((*name).clone(), **count))
                    .collect();
                Tally(BTreeMap::from([(*window, counts)]))
            });
            parts.collect::<Vec<_>>()
        });
        windows.collect()
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A process that counts: counts start at zero with each start of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CountSource {
    /// The instance.
    pub instance: String,
    /// Identifies its start.
    pub process: u64,
}

/// The counts that an instance sends: running totals, so that the later of two messages includes the earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsMessage {
    /// Identifies the start of the sender.
    pub process: u64,
    /// Its counts of the latest windows.
    pub tally: Tally,
}

/// The counts of all instances.
#[derive(Debug, Clone, Default)]
pub struct FleetCounts(BTreeMap<CountSource, Tally>);

impl FleetCounts {
    /// Adds the counts that an instance sent. Messages may arrive out of order: running counts never decrease.
    pub fn on_counts(&mut self, source: CountSource, tally: Tally) {
        let known = self.0.entry(source).or_default();
        for (window, counts) in tally.0 {
            let known = known.0.entry(window).or_default();
            for (workspace, count) in counts {
                let previous = known.entry(workspace).or_default();
                *previous = count.max(*previous);
            }
        }
        let latest = self.latest_window();
        let oldest = Window(latest.0.saturating_sub(MAX_WINDOWS as u64));
        for tally in self.0.values_mut() {
            tally.0 = tally.0.split_off(&oldest);
        }
        self.0.retain(|_, tally| !tally.0.is_empty());
    }

    /// The sum of a window over all instances.
    pub fn total(&self, window: Window) -> Counts {
        let mut total = Counts::new();
        for counts in self.0.values().filter_map(|tally| tally.0.get(&window)) {
            for (workspace, count) in counts {
                *total.entry(workspace.clone()).or_default() += count;
            }
        }
        total
    }

    /// The first window with known counts.
    pub fn first_window(&self) -> Option<Window> {
        self.0
            .values()
            .filter_map(|tally| tally.0.keys().next())
            .min()
            .copied()
    }

    fn latest_window(&self) -> Window {
        let latest = self
            .0
            .values()
            .filter_map(|tally| tally.0.keys().next_back())
            .max();
        latest.copied().unwrap_or(Window(0))
    }
}

/// A report that is decided and must never change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its window.
    pub window: Window,
    /// The body, byte for byte as it is sent.
    pub body: String,
}

/// The decided reports, as stored in the store.
///
/// Guards against two holders of the lease that report a window with different counts. A report is written here before
/// it is sent, on the condition that nobody else has changed the record, and is only repeated afterwards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedReports {
    /// The first window that may still be decided.
    pub next: Window,
    /// Reports that the platform may not have received yet.
    pub open: Vec<Report>,
}

impl DecidedReports {
    /// No reports; windows before `next` are not reported.
    pub fn starting_at(next: Window) -> DecidedReports {
        let open = Vec::new();
        DecidedReports { next, open }
    }

    /// The record with the reports of the windows up to `next`, and without those that the platform has accepted; at
    /// most the latest `max` are kept.
    pub fn advance(
        &self,
        next: Window,
        reports: Vec<Report>,
        accepted: &[Window],
        max: usize,
    ) -> DecidedReports {
        let open = self
            .open
            .iter()
            .filter(|r| !accepted.contains(&r.window))
            .cloned();
        let mut open: Vec<Report> = open.chain(reports).collect();
        open.drain(..open.len().saturating_sub(max));
        DecidedReports { next, open }
    }
}
