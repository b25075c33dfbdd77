//! How many requests of each workspace engines began, by window of true time.
//!
//! Each instance counts its own and tells its running counts to a few others, so that an instance that is killed loses only
//! what it had not told. The one that reports sums them up.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Windows that are kept: reports may be held up for as long as the platform is away.
const MAX_WINDOWS: usize = 12;

/// A window of true time, counted from the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Window(pub u64);

impl Window {
    /// The window in which `micros` since the epoch lies, if each is `length` long.
    pub fn at(micros: u64, length: Duration) -> Window {
        Window(micros / Window::micros(length))
    }

    /// When it ends, in microseconds since the epoch.
    pub fn end(self, length: Duration) -> u64 {
        (self.0 + 1).saturating_mul(Window::micros(length))
    }

    /// The one after it.
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

    /// The counts of the windows from `first` on.
    pub fn since(&self, first: Window) -> Tally {
        Tally(self.0.range(first..).map(|(w, c)| (*w, c.clone())).collect())
    }

    /// The same counts in parts of at most `most` workspaces of a window each: a message has an end.
    pub fn chunks(&self, most: usize) -> Vec<Tally> {
        let windows = self.0.iter().flat_map(|(window, counts)| {
            let all: Vec<(&String, &u64)> = counts.iter().collect();
            let parts = all.chunks(most.max(1)).map(|part| {
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

/// A process that counts: another start of an instance begins anew.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CountSource {
    /// The instance.
    pub instance: String,
    /// Its start.
    pub process: u64,
}

/// What an instance tells of its counts: running ones, so that the later of two messages says more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsMessage {
    /// The start of the sender.
    pub process: u64,
    /// Its counts of the latest windows.
    pub tally: Tally,
}

/// The counts of all instances.
#[derive(Debug, Clone, Default)]
pub struct FleetCounts(BTreeMap<CountSource, Tally>);

impl FleetCounts {
    /// Takes what an instance tells. Messages may cross: running counts never fall.
    pub fn on_counts(&mut self, source: CountSource, tally: Tally) {
        let known = self.0.entry(source).or_default();
        for (window, counts) in tally.0 {
            let known = known.0.entry(window).or_default();
            for (workspace, count) in counts {
                let former = known.entry(workspace).or_default();
                *former = count.max(*former);
            }
        }
        let latest = self.latest_window();
        let horizon = Window(latest.0.saturating_sub(MAX_WINDOWS as u64));
        for tally in self.0.values_mut() {
            tally.0 = tally.0.split_off(&horizon);
        }
        self.0.retain(|_, tally| !tally.0.is_empty());
    }

    /// The sum of a window.
    pub fn total(&self, window: Window) -> Counts {
        let mut total = Counts::new();
        for counts in self.0.values().filter_map(|tally| tally.0.get(&window)) {
            for (workspace, count) in counts {
                *total.entry(workspace.clone()).or_default() += count;
            }
        }
        total
    }

    /// The first window of which something is known.
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

/// A report that is decided and must never be made otherwise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its window.
    pub window: Window,
    /// The body, byte for byte as it is sent.
    pub body: String,
}

/// The reports that are decided, as the store keeps them.
///
/// Failure guarded against: two holders report a window with different counts. What is reported is written here first, on
/// the condition that nobody else has changed it, and then only repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedReports {
    /// No earlier window is decided on any more.
    pub next: Window,
    /// Reports that the platform may not have yet.
    pub open: Vec<Report>,
}

impl DecidedReports {
    /// Nothing before `next`.
    pub fn starting_at(next: Window) -> DecidedReports {
        let open = Vec::new();
        DecidedReports { next, open }
    }

    /// With the reports of the windows up to `next`, and without those that the platform has accepted; at most the latest
    /// `most` stay.
    pub fn advance(
        &self,
        next: Window,
        reports: Vec<Report>,
        accepted: &[Window],
        most: usize,
    ) -> DecidedReports {
        let open = self
            .open
            .iter()
            .filter(|r| !accepted.contains(&r.window))
            .cloned();
        let mut open: Vec<Report> = open.chain(reports).collect();
        open.drain(..open.len().saturating_sub(most));
        DecidedReports { next, open }
    }
}
