//! The subcommands for operators, which are clients of the administration API.

use super::{EXIT_INVALID, block_on};
use crate::burn;
use crate::settings::check_document;
use crate::show;
use clap::{Args, Subcommand, ValueEnum};
use eyre::{WrapErr, eyre};
use spindle_operator::{AdminClient, AdminError, AdminRefusal};
use spindle_policy::burn::BurnReport;
use spindle_policy::spend::CostReport;
use spindle_types::{Intent, Problems};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The environment variable from which the key is read if `--key-file` is not given.
const KEY_VARIABLE: &str = "BRONZESPINDLE_KEY";

/// Subcommands for operators.
#[derive(Debug, Subcommand)]
pub(super) enum OperateCommand {
    /// Computes a plan for an intent and shows it with its cost; it takes effect only once confirmed
    Plan {
        /// Intent file in YAML
        intent: PathBuf,
        #[command(flatten)]
        access: Access,
    },
    /// Lists the newest plans, or shows one
    Plans {
        /// Digest of the plan, or its first digits
        plan: Option<String>,
        #[command(flatten)]
        access: Access,
    },
    /// Puts a plan in force exactly as it was shown
    Confirm {
        /// Digest of the plan, or its first digits
        plan: String,
        #[command(flatten)]
        access: Access,
    },
    /// Rejects a plan, which can't be confirmed afterwards
    Reject {
        /// Digest of the plan, or its first digits
        plan: String,
        #[command(flatten)]
        access: Access,
    },
    /// Shows reports on service levels and spend
    #[command(subcommand)]
    Report(ReportCommand),
    /// Shows the plan in force, the running instances and their cost
    Status {
        #[command(flatten)]
        access: Access,
    },
}

/// The reports.
#[derive(Debug, Subcommand)]
pub(super) enum ReportCommand {
    /// Service levels by team and model, with the burn rates of their error budgets
    Burn {
        /// Output format
        #[arg(long, value_enum, default_value_t)]
        format: Format,
        #[command(flatten)]
        access: Access,
    },
    /// Spend by pool, data centre, market and team, compared with the plan and the budgets
    Cost {
        /// Output format
        #[arg(long, value_enum, default_value_t)]
        format: PlainFormat,
        #[command(flatten)]
        access: Access,
    },
}

/// The output format of a report without plots.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub(super) enum PlainFormat {
    /// A table
    #[default]
    Table,
    /// JSON
    Json,
}

/// The output format of a report.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub(super) enum Format {
    /// A table
    #[default]
    Table,
    /// JSON
    Json,
    /// An HTML page with plots
    Html,
}

/// The address of the administration API and the key for it.
#[derive(Debug, Args)]
pub(super) struct Access {
    /// Address of the administration API of any daemon
    #[arg(long, value_name = "IP:PORT")]
    admin: SocketAddr,
    /// File with the key; without it, the key is read from BRONZESPINDLE_KEY
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
}

impl Access {
    /// Creates a client with the key from the file or the environment.
    fn client(&self) -> eyre::Result<AdminClient> {
        let key = match &self.key_file {
            Some(path) => {
                std::fs::read_to_string(path).wrap_err_with(|| format!("{}", path.display()))?
            }
            None => std::env::var(KEY_VARIABLE)
                .map_err(|_| eyre!("no key: use --key-file or set {KEY_VARIABLE}"))?,
        };
        Ok(AdminClient::new(self.admin, key.trim().to_owned()))
    }
}

/// Runs a subcommand and prints its output.
pub(super) fn execute(command: OperateCommand) -> eyre::Result<ExitCode> {
    let mut code = ExitCode::SUCCESS;
    block_on(async {
        match output(command).await {
            Ok(text) => {
                println!("{}", text.trim_end());
                Ok(())
            }
            Err(Failure::Invalid(problems)) => {
                eprintln!("{problems}");
                code = ExitCode::from(EXIT_INVALID);
                Ok(())
            }
            Err(Failure::Other(error)) => Err(error),
        }
    })?;
    Ok(code)
}

/// Why a subcommand failed. Mistakes in the input have their own exit code.
enum Failure {
    Invalid(Problems),
    Other(eyre::Report),
}

impl From<eyre::Report> for Failure {
    fn from(error: eyre::Report) -> Self {
        Self::Other(error)
    }
}

impl From<AdminError> for Failure {
    fn from(error: AdminError) -> Self {
        match error {
            AdminError::Refused(AdminRefusal::Invalid { problems }) => Self::Invalid(problems),
            other => Self::Other(other.into()),
        }
    }
}

/// Runs a subcommand and returns its output.
async fn output(command: OperateCommand) -> Result<String, Failure> {
    Ok(match command {
        OperateCommand::Plan { intent, access } => {
            let intent = load_intent(&intent)?;
            let view = access.client()?.plan(&intent).await?;
            let confirm = format!("confirm with: bronzespindle confirm {}", view.digest);
            format!("{}{confirm}", show::plan(&view))
        }
        OperateCommand::Plans { plan: None, access } => {
            show::plans(&access.client()?.plans().await?)
        }
        OperateCommand::Plans { plan: Some(plan), access } => {
            show::plan(&access.client()?.show(&plan).await?)
        }
        OperateCommand::Confirm { plan, access } => {
            let confirmed = access.client()?.confirm(&plan).await?;
            format!("in force with revision {}", confirmed.revision)
        }
        OperateCommand::Reject { plan, access } => {
            access.client()?.reject(&plan).await?;
            "rejected".to_owned()
        }
        OperateCommand::Report(ReportCommand::Burn { format, access }) => {
            burn_text(&access.client()?.burn().await?, format)?
        }
        OperateCommand::Report(ReportCommand::Cost { format, access }) => {
            cost_text(&access.client()?.cost().await?, format)?
        }
        OperateCommand::Status { access } => show::status(&access.client()?.status().await?),
    })
}

/// Reads and validates an intent.
fn load_intent(path: &Path) -> Result<Intent, Failure> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("{}", path.display()))?;
    let intent: Intent = check_document(&text).map_err(Failure::Invalid)?;
    let problems = intent.check();
    problems.finish(|| intent).map_err(Failure::Invalid)
}

fn burn_text(report: &BurnReport, format: Format) -> eyre::Result<String> {
    match format {
        Format::Table => Ok(burn::table(report)),
        Format::Json => Ok(serde_json::to_string_pretty(report)?),
        Format::Html => burn::page(report),
    }
}

fn cost_text(report: &CostReport, format: PlainFormat) -> eyre::Result<String> {
    match format {
        PlainFormat::Table => Ok(show::cost(report)),
        PlainFormat::Json => Ok(serde_json::to_string_pretty(report)?),
    }
}
