//! The subcommand `soak`.

use crate::deployment::Example;
use crate::soak::Soak;
use clap::Args;

/// How long to soak, and what.
#[derive(Debug, Args)]
pub(super) struct SoakArguments {
    /// Which deployment
    #[arg(long, value_enum, default_value_t)]
    example: Example,
    /// The seed of load and faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Rounds of 20 seconds of load
    #[arg(long, default_value_t = 6)]
    rounds: u32,
    /// Arrivals a second
    #[arg(long, default_value_t = 30.0)]
    rate: f64,
}

impl SoakArguments {
    /// Runs the soak.
    ///
    /// # Errors
    ///
    /// A deployment does not start, or a promise was broken.
    pub(super) async fn execute(self) -> eyre::Result<()> {
        let Self { example, seed, rounds, rate } = self;
        Soak { example, seed, rounds, rate }.execute().await
    }
}
