//! The headline: every experiment of the repository, summed up in one table a question.

use super::table::{guarantees, measures};
use super::{StrategyReport, parse, run};
use crate::load::Progress;
use crate::settings::ExperimentSettings;

/// The experiments that the headline runs, with their names.
const EXPERIMENTS: [(&str, &str); 6] = [
    ("reclaim", include_str!("../../experiments/reclaim.yaml")),
    ("overload", include_str!("../../experiments/overload.yaml")),
    ("outage", include_str!("../../experiments/outage.yaml")),
    ("flood", include_str!("../../experiments/flood.yaml")),
    ("replacement", include_str!("../../experiments/replacement.yaml")),
    ("price", include_str!("../../experiments/price.yaml")),
];

/// Runs every experiment and prints what each promise and each measure came to.
///
/// # Errors
///
/// An experiment holds mistakes, or a deployment does not start.
pub async fn run_all(progress: Progress) -> eyre::Result<()> {
    let mut all = Vec::new();
    for (name, text) in EXPERIMENTS {
        let settings: ExperimentSettings = parse(text)?;
        let outcomes = run(&settings, progress).await?;
        println!("{name}: {}\n\n{}\n", settings.title, measures(&outcomes));
        all.extend(outcomes);
    }
    println!("{}\n", guarantees(&all));
    print_daemon_cost(&all);
    Ok(())
}

fn print_daemon_cost(outcomes: &[StrategyReport]) {
    let cpu: f64 = outcomes.iter().map(|outcome| outcome.daemon_cpu).sum();
    let requests: u64 = outcomes.iter().map(|outcome| outcome.load.offered).sum();
    let tokens: u64 = outcomes.iter().map(|outcome| outcome.load.tokens).sum();
    println!(
        "daemons: {cpu:.2} s of processor time for {requests} requests and {tokens} tokens, \
         {:.0} us a request or {:.1} us a token, control and both parts together",
        1e6 * cpu / (requests as f64).max(1.0),
        1e6 * cpu / (tokens as f64).max(1.0),
    );
}
