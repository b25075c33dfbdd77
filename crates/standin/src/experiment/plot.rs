//! Renders the results as a bar chart.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use crate::experiment::table::Row;
use crate::experiment::table::Spread;
use crate::experiment::table::by_case;

/// Width of the chart, in pixels.
const WIDTH: u32 = 960;

/// Height of the bar of a case including the space around it, in pixels.
const BAR_HEIGHT: u32 = 44;

/// Height of the title and the axes, in pixels.
const FRAME_HEIGHT: u32 = 100;

/// Draws the goodput of each case: a bar for the median and a point for each seed.
///
/// # Errors
///
/// If the file can't be written.
pub fn draw(rows: &[Row], title: &str, path: &Path) -> eyre::Result<()> {
    let cases = by_case(rows);
    let height = FRAME_HEIGHT + BAR_HEIGHT * cases.len() as u32;
    let area = SVGBackend::new(path, (WIDTH, height)).into_drawing_area();
    let draw_error = |e: &dyn std::fmt::Display| eyre!("could not draw {}: {e}", path.display());
    area.fill(&WHITE).map_err(|e| draw_error(&e))?;
    let names: Vec<String> = cases.iter().map(|(name, _)| name.to_string()).collect();
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(240)
        .build_cartesian_2d(0.0..100.0, 0.0..cases.len() as f64)
        .map_err(|e| draw_error(&e))?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(2 * cases.len() + 1)
        .y_label_formatter(&|y| label(&names, *y))
        .x_desc("complete answers within their deadline, % of requests sent")
        .draw()
        .map_err(|e| draw_error(&e))?;
    for (index, (_, rows)) in cases.iter().enumerate() {
        let bottom = index as f64;
        let percents: Vec<f64> = rows.iter().map(|r| r.report.total.percent()).collect();
        let median = Spread::of(percents.clone()).median;
        let bar = Rectangle::new(
            [(0.0, bottom + 0.2), (median, bottom + 0.8)],
            BLUE.mix(0.4).filled(),
        );
        chart.draw_series([bar]).map_err(|e| draw_error(&e))?;
        let points = percents
            .iter()
            .map(|p| Circle::new((*p, bottom + 0.5), 3, BLACK.filled()));
        chart.draw_series(points).map_err(|e| draw_error(&e))?;
    }
    area.present().map_err(|e| draw_error(&e))
}

fn label(names: &[String], y: f64) -> String {
    let middle = (y - y.floor() - 0.5).abs() < 0.01;
    match middle {
        true => names.get(y as usize).cloned().unwrap_or_default(),
        false => String::new(),
    }
}
