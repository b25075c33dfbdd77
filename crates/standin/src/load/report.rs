//! Aggregated results of a load run, as the callers observed them.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::load::caller::CallResult;
use crate::load::caller::Ending;

/// Largest time that the histograms record, in microseconds; longer times are clamped to it.
const MAX_MICROS: u64 = 120_000_000;

/// Latency targets of the design size (`docs/DEVELOPERS.md`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyTargets {
    /// Time to the first token, in milliseconds.
    pub first: u64,
    /// Time between tokens, in milliseconds, at the 95th percentile of an answer.
    pub between: u64,
}

impl Default for LatencyTargets {
    fn default() -> LatencyTargets {
        LatencyTargets {
            first: 560,
            between: 48,
        }
    }
}

/// Percentiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Request counts of a whole run, or of a single product, phase or kind of request.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests sent.
    pub offered: u64,
    /// Complete answers within the deadline.
    pub good: u64,
    /// Complete answers after the deadline.
    pub late: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that ran and failed.
    pub failed: u64,
    /// Requests with an unknown outcome, or without any response.
    pub unknown: u64,
    /// Complete answers whose text doesn't match the request.
    pub wrong: u64,
}

impl Counts {
    /// Share of the requests that got a complete answer within the deadline, in percent.
    pub fn percent(&self) -> f64 {
        100.0 * self.good as f64 / self.offered.max(1) as f64
    }

    fn add(&mut self, result: &CallResult, deadline: Duration) {
        self.offered += 1;
        match result.ending {
            Ending::Whole if result.elapsed <= deadline => self.good += 1,
            Ending::Whole => self.late += 1,
            Ending::NotRun => self.refused += 1,
            Ending::Failed => self.failed += 1,
            Ending::Unknown => self.unknown += 1,
            Ending::Wrong => self.wrong += 1,
        }
    }
}

/// The report of a load run.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Report {
    /// Seed from which the jobs were generated.
    pub seed: u64,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Counts over all requests.
    pub total: Counts,
    /// Counts by product.
    pub products: BTreeMap<String, Counts>,
    /// Counts by the phase in which the request was sent.
    pub phases: Vec<Counts>,
    /// Counts by kind of request.
    pub kinds: BTreeMap<String, Counts>,
    /// Number of refused or failed requests by the reason that the response gives.
    pub reasons: BTreeMap<String, u64>,
    /// Time to the first token.
    pub first: Percentiles,
    /// Time between tokens.
    pub between: Percentiles,
    /// Number of streamed answers that met both latency targets.
    pub targets: u64,
    /// Orders that ran more than once.
    pub doubled: u64,
    /// Orders reported as complete that never ran.
    pub lost: u64,
    /// Orders reported as not run that did run.
    pub untrue: u64,
    /// Role changes that took effect at the engines.
    pub changes: u64,
}

/// Aggregates call results into a [`Report`].
#[derive(Debug)]
pub struct Recorder {
    report: Report,
    first: Histogram<u64>,
    between: Histogram<u64>,
    targets: LatencyTargets,
}

impl Recorder {
    /// Creates an empty recorder.
    pub fn new(seed: u64, targets: LatencyTargets) -> Recorder {
        let histogram = || Histogram::new_with_max(MAX_MICROS, 3).expect("valid histogram bounds");
        Recorder {
            report: Report {
                seed,
                ..Report::default()
            },
            first: histogram(),
            between: histogram(),
            targets,
        }
    }

    /// Adds the result of a call.
    pub fn add(&mut self, result: &CallResult, product: &str, kind: &str, phase: usize, deadline: Duration) {
        let report = &mut self.report;
        report.total.add(result, deadline);
        report
            .products
            .entry(product.to_string())
            .or_default()
            .add(result, deadline);
        report
            .kinds
            .entry(kind.to_string())
            .or_default()
            .add(result, deadline);
        if report.phases.len() <= phase {
            report.phases.resize(phase + 1, Counts::default());
        }
        report.phases[phase].add(result, deadline);
        if let Some(reason) = &result.reason {
            *report.reasons.entry(reason.clone()).or_default() += 1;
        }
        let Some(first) = result.first_token else { return };
        self.first.saturating_record(first.as_micros() as u64);
        for gap in &result.token_gaps {
            self.between.saturating_record(gap.as_micros() as u64);
        }
        self.report.targets += u64::from(meets_targets(result, first, self.targets));
    }

    /// Computes the percentiles and returns the report. `seconds` is the duration of the run.
    pub fn finish(mut self, seconds: f64) -> Report {
        self.report.seconds = seconds;
        self.report.first = percentiles(&self.first);
        self.report.between = percentiles(&self.between);
        self.report
    }
}

fn meets_targets(result: &CallResult, first: Duration, targets: LatencyTargets) -> bool {
    let limit = Duration::from_millis(targets.between);
    let slow = result.token_gaps.iter().filter(|gap| **gap > limit).count();
    let smooth = slow * 20 <= result.token_gaps.len();
    result.ending == Ending::Whole && first <= Duration::from_millis(targets.first) && smooth
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:6.1}% good  offered {:6}  good {:6}  late {:5}  refused {:5}  failed {:4}  unknown {:4}  wrong {:3}",
            self.percent(),
            self.offered,
            self.good,
            self.late,
            self.refused,
            self.failed,
            self.unknown,
            self.wrong,
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {:.1} s", self.seed, self.seconds)?;
        writeln!(f, "total            {}", self.total)?;
        for (name, counts) in &self.products {
            writeln!(f, "product {name:8} {counts}")?;
        }
        for (name, counts) in &self.kinds {
            writeln!(f, "kind {name:11} {counts}")?;
        }
        for (index, counts) in self.phases.iter().enumerate() {
            writeln!(f, "phase {index:<10} {counts}")?;
        }
        for (reason, count) in &self.reasons {
            writeln!(f, "refused {reason}: {count}")?;
        }
        let (first, between) = (self.first, self.between);
        writeln!(
            f,
            "first token ms    p50 {:.1}  p95 {:.1}  p99 {:.1}",
            first.p50, first.p95, first.p99
        )?;
        writeln!(
            f,
            "between tokens ms p50 {:.1}  p95 {:.1}  p99 {:.1}",
            between.p50, between.p95, between.p99
        )?;
        write!(
            f,
            "targets met {}  doubled {}  lost {}  untrue not-run {}  role changes {}",
            self.targets, self.doubled, self.lost, self.untrue, self.changes
        )
    }
}
