//! Plots the time to the first token of each request over its arrival time.

use super::{LoadRun, RequestOutcome};
use eyre::eyre;
use plotters::prelude::*;
use std::path::Path;

/// The width and height of the plot, in pixels.
const SIZE_PIXELS: (u32, u32) = (960, 480);

/// The radius of a point, in pixels.
const POINT_PIXELS: i32 = 2;

/// Writes an SVG file. Requests without a complete answer are marked in red at the top edge.
///
/// # Errors
///
/// The plot can't be drawn or the file can't be written.
pub fn plot(run: &LoadRun, path: &Path) -> eyre::Result<()> {
    let seconds = run.settings.duration.get().as_secs_f64();
    let points: Vec<(f64, f64)> = run
        .records
        .iter()
        .filter(|record| record.outcome == RequestOutcome::Whole)
        .filter_map(|record| {
            Some((record.arrival.as_secs_f64(), record.first_token?.as_secs_f64() * 1e3))
        })
        .collect();
    let highest = points.iter().map(|(_, millis)| *millis).fold(1.0, f64::max) * 1.1;
    let failed = run.records.iter().filter(|record| record.outcome != RequestOutcome::Whole);
    let failed: Vec<(f64, f64)> =
        failed.map(|record| (record.arrival.as_secs_f64(), highest)).collect();
    draw(path, seconds, highest, &points, &failed).map_err(|error| eyre!("{error}"))
}

fn draw(
    path: &Path,
    seconds: f64,
    highest: f64,
    points: &[(f64, f64)],
    failed: &[(f64, f64)],
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..seconds, 0.0..highest)?;
    chart.configure_mesh().x_desc("arrival, s").y_desc("first token, ms").draw()?;
    chart.draw_series(points.iter().map(|at| Circle::new(*at, POINT_PIXELS, BLUE.filled())))?;
    chart.draw_series(failed.iter().map(|at| Circle::new(*at, POINT_PIXELS, RED.filled())))?;
    area.present()?;
    Ok(())
}
