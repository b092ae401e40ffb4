//! The subcommand `soak`.

use crate::deployment::Example;
use crate::soak::Soak;
use clap::Args;

/// Arguments of the subcommand `soak`.
#[derive(Debug, Args)]
pub(super) struct SoakArguments {
    /// Example deployment to run
    #[arg(long, value_enum, default_value_t)]
    example: Example,
    /// Seed of the random numbers for load and faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of rounds, each with 20 seconds of load
    #[arg(long, default_value_t = 6)]
    rounds: u32,
    /// Arrivals per second
    #[arg(long, default_value_t = 30.0)]
    rate: f64,
}

impl SoakArguments {
    /// Runs the soak test.
    ///
    /// # Errors
    ///
    /// A deployment does not start, or a guarantee was violated.
    pub(super) async fn execute(self) -> eyre::Result<()> {
        let Self { example, seed, rounds, rate } = self;
        Soak { example, seed, rounds, rate }.execute().await
    }
}
