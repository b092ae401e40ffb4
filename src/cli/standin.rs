//! The subcommand `standin`.

use crate::deployment::Example;
use crate::standins::{StandinOptions, serve};
use clap::Args;
use spindle_standin::EngineModel;
use std::path::PathBuf;

/// Which stand-ins to run.
#[derive(Debug, Args)]
pub(super) struct StandinArguments {
    /// Which deployment
    #[arg(long, value_enum, default_value_t)]
    example: Example,
    /// Settings files to write, for daemons that `serve` runs
    #[arg(long, default_value_t = 1)]
    outside: usize,
    /// Daemons that run inside this process
    #[arg(long, default_value_t = 0)]
    inside: usize,
    /// Engines, in place of the example's number
    #[arg(long)]
    engines: Option<usize>,
    /// Configuration changes published a second
    #[arg(long, default_value_t = 0.0)]
    changes: f64,
    /// Where the settings files are written
    #[arg(long, value_name = "DIRECTORY", default_value = ".")]
    directory: PathBuf,
}

impl StandinArguments {
    /// Runs the stand-ins until the process is interrupted.
    ///
    /// # Errors
    ///
    /// A port can't be bound or a file can't be written.
    pub(super) async fn execute(self) -> eyre::Result<()> {
        let Self { example, outside, inside, engines, changes, directory } = self;
        let engine_model = EngineModel::DEFAULT;
        serve(StandinOptions {
            example,
            external_daemons: outside,
            daemons: inside,
            engines,
            changes,
            directory,
            engine_model,
        })
        .await
    }
}
