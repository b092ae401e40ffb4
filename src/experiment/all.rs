//! Runs all experiments of the repository and prints their summary tables.

use super::table::{guarantee_table, measurement_table};
use super::{StrategyReport, parse, run};
use crate::load::Progress;
use crate::settings::ExperimentSettings;

/// The names and YAML documents of the experiments, in the order in which they run.
const EXPERIMENTS: [(&str, &str); 6] = [
    ("reclaim", include_str!("../../experiments/reclaim.yaml")),
    ("overload", include_str!("../../experiments/overload.yaml")),
    ("outage", include_str!("../../experiments/outage.yaml")),
    ("flood", include_str!("../../experiments/flood.yaml")),
    ("replacement", include_str!("../../experiments/replacement.yaml")),
    ("price", include_str!("../../experiments/price.yaml")),
];

/// Runs every experiment and prints the measurements of each, the checked guarantees, and the
/// daemons' CPU cost.
///
/// # Errors
///
/// An experiment document is invalid, or a deployment does not start.
pub async fn run_all(progress: Progress) -> eyre::Result<()> {
    let mut all = Vec::new();
    for (name, text) in EXPERIMENTS {
        let settings: ExperimentSettings = parse(text)?;
        let reports = run(&settings, progress).await?;
        println!("{name}: {}\n\n{}\n", settings.title, measurement_table(&reports));
        all.extend(reports);
    }
    println!("{}\n", guarantee_table(&all));
    print_daemon_cost(&all);
    Ok(())
}

fn print_daemon_cost(reports: &[StrategyReport]) {
    let cpu: f64 = reports.iter().map(|report| report.daemon_cpu).sum();
    let requests: u64 = reports.iter().map(|report| report.load.offered).sum();
    let tokens: u64 = reports.iter().map(|report| report.load.tokens).sum();
    println!(
        "daemons: {cpu:.2} s of CPU time for {requests} requests and {tokens} tokens, {:.0} us per \
         request or {:.1} us per token, including the control plane",
        1e6 * cpu / (requests as f64).max(1.0),
        1e6 * cpu / (tokens as f64).max(1.0),
    );
}
