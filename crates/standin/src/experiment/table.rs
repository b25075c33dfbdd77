//! Renders the results as a table.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Deserialize;
use serde::Serialize;

use crate::load::report::Counts;
use crate::load::report::Report;

/// Result of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Run set.
    pub set: String,
    /// Name of the case.
    pub case: String,
    /// Report of the load.
    pub report: Report,
}

/// Median, minimum and maximum of some values.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// Minimum.
    pub least: f64,
    /// Median.
    pub median: f64,
    /// Maximum.
    pub most: f64,
}

impl Spread {
    /// Computes the spread of `values`; all fields are zero if there are none.
    pub fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or(0.0);
        Spread {
            least: at(0),
            median: at(values.len() / 2),
            most: at(values.len().saturating_sub(1)),
        }
    }
}

/// Groups the rows by case, ordered by the first row of each case.
pub fn by_case(rows: &[Row]) -> Vec<(&str, Vec<&Row>)> {
    let mut cases: Vec<(&str, Vec<&Row>)> = Vec::new();
    for row in rows {
        match cases.iter_mut().find(|(name, _)| *name == row.case) {
            Some((_, rows)) => rows.push(row),
            None => cases.push((&row.case, vec![row])),
        }
    }
    cases
}

/// Goodput of a run: complete answers within the deadline, per second of the run.
pub fn goodput(row: &Row) -> f64 {
    row.report.total.good as f64 / row.report.seconds.max(1.0)
}

/// Renders the table: medians over the seeds, with minimum and maximum.
pub fn render(rows: &[Row]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "| case | good, % of offered | good by phase, % | good by product, % | within both targets, % | first token p95, ms | between p95, ms | role changes | refused, % | late, % | failed, unknown, wrong, doubled, lost, untrue |"
    );
    let _ = writeln!(
        text,
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for (name, rows) in by_case(rows) {
        let _ = writeln!(text, "| {name} | {} |", cells(&rows).join(" | "));
    }
    text
}

fn cells(rows: &[&Row]) -> Vec<String> {
    let of = |value: &dyn Fn(&Report) -> f64| Spread::of(rows.iter().map(|r| value(&r.report)).collect());
    let show = |s: Spread| format!("{:.1} ({:.1}-{:.1})", s.median, s.least, s.most);
    let part = |count: u64, report: &Report| 100.0 * count as f64 / report.total.offered.max(1) as f64;
    let phases = rows.iter().map(|r| r.report.phases.len()).max().unwrap_or(0);
    let by_phase: Vec<String> = (0..phases)
        .map(|i| {
            format!(
                "{:.1}",
                of(&|r| r.phases.get(i).map_or(0.0, |c| c.percent())).median
            )
        })
        .collect();
    let sums: Vec<String> = [
        rows.iter().map(|r| r.report.total.failed).sum::<u64>(),
        rows.iter().map(|r| r.report.total.unknown).sum(),
        rows.iter().map(|r| r.report.total.wrong).sum(),
        rows.iter().map(|r| r.report.doubled).sum(),
        rows.iter().map(|r| r.report.lost).sum(),
        rows.iter().map(|r| r.report.untrue).sum(),
    ]
    .iter()
    .map(u64::to_string)
    .collect();
    vec![
        show(of(&|r| r.total.percent())),
        by_phase.join(", "),
        by_product(rows),
        show(of(&|r| part(r.targets, r))),
        show(of(&|r| r.first.p95)),
        show(of(&|r| r.between.p95)),
        show(of(&|r| r.changes as f64)),
        show(of(&|r| part(r.total.refused, r))),
        show(of(&|r| part(r.total.late, r))),
        sums.join(", "),
    ]
}

fn by_product(rows: &[&Row]) -> String {
    let names = rows
        .first()
        .map(|r| r.report.products.keys())
        .into_iter()
        .flatten();
    let show = |name: &String| {
        let percents = rows
            .iter()
            .filter_map(|r| r.report.products.get(name))
            .map(Counts::percent);
        format!("{name} {:.1}", Spread::of(percents.collect()).median)
    };
    names.map(show).collect::<Vec<String>>().join(", ")
}

/// Goodput of the best fixed split, chosen in hindsight for each phase and seed, as percent of the requests sent, by
/// seed. `None` if there are no runs of the set `splits`.
pub fn hindsight(rows: &[Row]) -> Option<BTreeMap<u64, f64>> {
    let mut best: BTreeMap<u64, Vec<(u64, u64)>> = BTreeMap::new();
    for row in rows.iter().filter(|r| r.set == "splits") {
        let phases = best.entry(row.report.seed).or_default();
        phases.resize(row.report.phases.len(), (0, 0));
        for (known, counts) in phases.iter_mut().zip(&row.report.phases) {
            *known = (known.0.max(counts.good), counts.offered);
        }
    }
    let percent = |phases: Vec<(u64, u64)>| {
        let good: u64 = phases.iter().map(|p| p.0).sum();
        let offered: u64 = phases.iter().map(|p| p.1).sum();
        100.0 * good as f64 / offered.max(1) as f64
    };
    match best.is_empty() {
        true => None,
        false => Some(
            best.into_iter()
                .map(|(seed, phases)| (seed, percent(phases)))
                .collect(),
        ),
    }
}
