//! Renders the burn-rate report of service levels as a text table and as a self-contained HTML
//! page.

use plotters::prelude::*;
use spindle_policy::burn::{BurnReport, BurnRow};
use std::fmt::Write;
use tabled::settings::Style;
use tabled::{Table, Tabled};

/// The width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (860, 220);

/// The number of milliseconds in an hour.
const HOUR_MS: f64 = 3_600_000.0;

#[derive(Tabled)]
struct Row {
    team: String,
    model: String,
    indicator: String,
    events: u64,
    #[tabled(rename = "1 h")]
    attainment_1h: String,
    #[tabled(rename = "6 h")]
    attainment_6h: String,
    #[tabled(rename = "24 h")]
    attainment_24h: String,
    #[tabled(rename = "burn 5 min")]
    burn_5min: String,
    #[tabled(rename = "burn 1 h")]
    burn_1h: String,
    #[tabled(rename = "budget left")]
    budget_left: String,
    alert: String,
}

impl From<&BurnRow> for Row {
    fn from(row: &BurnRow) -> Self {
        let window = |minutes| row.windows.iter().find(|window| window.minutes == minutes);
        let attainment = |minutes| {
            window(minutes).map_or_else(String::new, |w| format!("{:.2}%", w.attainment * 100.0))
        };
        let rate = |minutes| window(minutes).map_or_else(String::new, |w| format!("{:.2}", w.rate));
        Self {
            team: row.team.to_string(),
            model: row.model.to_string(),
            indicator: row.indicator.to_string(),
            events: row.events,
            attainment_1h: attainment(60),
            attainment_6h: attainment(360),
            attainment_24h: attainment(1_440),
            burn_5min: rate(5),
            burn_1h: rate(60),
            budget_left: format!("{:.1}%", row.budget_left * 100.0),
            alert: row.alert.map_or_else(String::new, |severity| severity.to_string()),
        }
    }
}

/// The report as a text table.
pub(crate) fn table(report: &BurnReport) -> String {
    let table = Table::new(report.rows.iter().map(Row::from)).with(Style::psql()).to_string();
    format!("service levels at {}, objective 95%\n{table}", report.at)
}

/// The report as an HTML page with a plot of the burn rate for each row of the table.
///
/// # Errors
///
/// A plot can't be drawn.
pub(crate) fn page(report: &BurnReport) -> eyre::Result<String> {
    let mut page = String::from(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service levels</title><style>body{font-family:sans-serif;margin:2em}\
         pre{background:#f4f4f4;padding:1em;overflow-x:auto}</style></head><body>\n\
         <h1>Service levels</h1>\n",
    );
    writeln!(page, "<pre>{}</pre>", table(report))?;
    for row in &report.rows {
        let BurnRow { team, model, indicator, .. } = row;
        writeln!(page, "<h2>{team}, {model}: burn rate of {indicator}</h2>")?;
        page.push_str(&plot(row, report.at.0)?);
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn plot(row: &BurnRow, now_ms: u64) -> eyre::Result<String> {
    let ago = |at: u64| (at as f64 - now_ms as f64) / HOUR_MS;
    let points: Vec<_> = row.series.iter().map(|(at, rate)| (ago(at.0), *rate)).collect();
    let first = points.first().map_or(-1.0, |(hours, _)| hours.min(-1.0));
    let top = points.iter().map(|(_, rate)| *rate).fold(2.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(45)
            .build_cartesian_2d(first..0.0, 0.0..top)?;
        chart.configure_mesh().x_desc("hours").y_desc("burn rate").draw()?;
        chart.draw_series(LineSeries::new([(first, 1.0), (0.0, 1.0)], &RED))?;
        chart.draw_series(LineSeries::new(points.iter().copied(), &BLUE))?;
        chart.draw_series(points.iter().map(|point| Circle::new(*point, 2, BLUE.filled())))?;
        area.present()?;
    }
    Ok(svg)
}
