//! The subcommand `experiment`.

use crate::experiment::{load_file, print_reports, run, run_all};
use crate::fit::{Line, points};
use crate::load::Progress;
use crate::process::Sampler;
use clap::{Args, Subcommand};
use eyre::WrapErr;
use serde_json::json;
use spindle_types::Span;
use std::path::PathBuf;

/// Arguments of the subcommand `experiment`.
#[derive(Debug, Args)]
pub(super) struct ExperimentArguments {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Debug, Subcommand)]
enum Experiment {
    /// Runs one experiment
    Run {
        /// Experiment file in YAML
        file: PathBuf,
        /// Prints one line of JSON per run
        #[arg(long)]
        json: bool,
    },
    /// Runs every experiment of the repository and prints a summary of all results
    Headline,
    /// Measures the resource usage of a process and prints it as one line of JSON
    Usage {
        /// Process id
        #[arg(long, value_name = "PID")]
        process: u32,
        /// Duration of the measurement
        #[arg(long, default_value = "10s")]
        duration: Span,
        /// Size that is varied between runs; copied to the output
        #[arg(long, default_value_t = 0.0)]
        size: f64,
    },
    /// Fits a straight line through lines of JSON
    Fit {
        /// File with one JSON document per line
        file: PathBuf,
        /// JSON pointer to the x value
        #[arg(long, default_value = "/size")]
        x: String,
        /// JSON pointer to the y value
        #[arg(long)]
        y: String,
        /// Value of x at which the line is evaluated
        #[arg(long)]
        at: Option<f64>,
    },
}

impl ExperimentArguments {
    /// Runs the subcommand and prints its results.
    ///
    /// # Errors
    ///
    /// A file can't be read or contains mistakes, or a deployment does not start.
    pub(super) async fn execute(self) -> eyre::Result<()> {
        match self.experiment {
            Experiment::Run { file, json } => {
                let settings = load_file(&file)?;
                let outcomes = run(&settings, Progress::Shown).await?;
                if !json {
                    print_reports(&settings, &outcomes);
                    return Ok(());
                }
                for outcome in outcomes {
                    println!("{}", serde_json::to_string(&outcome)?);
                }
                Ok(())
            }
            Experiment::Headline => run_all(Progress::Shown).await,
            Experiment::Usage { process, duration, size } => {
                let sampler = Sampler::start(process)?;
                tokio::time::sleep(duration.get()).await;
                println!("{}", json!({ "size": size, "process": sampler.finish()? }));
                Ok(())
            }
            Experiment::Fit { file, x, y, at } => fit(&file, &x, &y, at),
        }
    }
}

/// Prints the points of a file and the straight line fitted through them.
fn fit(file: &PathBuf, x: &str, y: &str, at: Option<f64>) -> eyre::Result<()> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    let points = points(&text, x, y)?;
    for (x, y) in &points {
        println!("{x} {y}");
    }
    let line = Line::fit(&points)?;
    let Line { intercept, slope, slope_error, determination } = line;
    println!(
        "intercept {intercept:.6} slope {slope:.6e} ± {slope_error:.1e} R² {determination:.4}"
    );
    if let Some(at) = at {
        println!("at {at}: {:.6}", line.at(at));
    }
    Ok(())
}
