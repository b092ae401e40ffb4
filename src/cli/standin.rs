//! The subcommand `standin`.

use crate::deployment::Example;
use crate::standins::{StandinOptions, serve};
use clap::Args;
use spindle_standin::EngineModel;
use std::path::PathBuf;

/// Arguments of the subcommand `standin`.
#[derive(Debug, Args)]
pub(super) struct StandinArguments {
    /// Example deployment for which stand-ins are run
    #[arg(long, value_enum, default_value_t)]
    example: Example,
    /// Number of settings files to write, for daemons started by `serve`
    #[arg(long, default_value_t = 1)]
    outside: usize,
    /// Number of daemons that run in this process
    #[arg(long, default_value_t = 0)]
    inside: usize,
    /// Number of engines, in place of the number in the example
    #[arg(long)]
    engines: Option<usize>,
    /// Configuration changes to publish per second
    #[arg(long, default_value_t = 0.0)]
    changes: f64,
    /// Directory to which the settings files are written
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
